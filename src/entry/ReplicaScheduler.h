// Assigns requests of one traffic thread to endpoints: choice of a replica, fair queueing, and demand for cold starts.
//
// Requests for a model wait in one fair queue per model until a replica has room. While a model has no replica, waiting
// requests are reported to placement as demand, which loads one.
//
// All methods must be called on the scheduler's own traffic thread. acquire() suspends.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "entry/DaemonContext.h"
#include "entry/Outcome.h"
#include "net/Loop.h"
#include "routing/EndpointChoice.h"
#include "routing/FairQueue.h"

namespace rattanshunt::entry {

struct ReplicaRequest {
    std::string model; // name of a model or adapter
    std::string account;
    double weight = 1; // of the account, in the fair queue
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    double tokens = 1;             // expected cost
    uint64_t promptPrefixHash = 0; // routing::prefixHash() of the prompt
    base::TimePoint arrivedAt {};
    base::TimePoint deadline {};
    std::set<std::string> excludedEndpoints; // already failed for this request
    const bool* isCancelled = nullptr;       // optional; becomes true if the caller disconnects
};

struct ReplicaGrant {
    Reason reason = Reason::None;       // why no endpoint was assigned
    resources::EndpointInfo endpoint;   // valid if `reason` is None; release() it after use
    bool wasColdStart = false;          // waited until a replica was loaded
    base::Duration coldStartWait { 0 }; // time in the queue; 0 without a cold start
};

class ReplicaScheduler {
public:
    ReplicaScheduler(net::Loop&, DaemonContext&);

    // Waits for an endpoint with a loaded replica, until the request's deadline at most.
    ReplicaGrant acquire(const ReplicaRequest&);

    // Ends the use of an endpoint; `tokens` is the number of tokens that it served.
    void release(const std::string& model, const resources::EndpointInfo&, double tokens);

    // Avoids an endpoint that could not be reached for half a second.
    void recordFailure(const resources::EndpointInfo&);

    // The less loaded of two endpoints of a service's pool, drawn by `hash`; nothing if none is usable. The caller
    // decrements EndpointLoad::ownInFlight after use.
    std::optional<resources::EndpointInfo> chooseServiceEndpoint(
        const std::string& pool, uint64_t hash, const std::set<std::string>& excludedEndpoints);

private:
    struct ModelQueue {
        routing::FairQueue fairQueue;
        std::map<uint64_t, net::Event*> waiters;
        base::TimePoint rateMeasuredSince {}; // first release() after the queue last became non-empty
        double tokensServed = 0;              // since rateMeasuredSince
        base::TimePoint useReportedAt {};     // last report of use to placement
    };

    std::optional<resources::EndpointInfo> tryChooseEndpoint(
        const ReplicaRequest&, uint64_t hash, bool& hasReplica) const;
    ReplicaGrant waitForReplica(const ReplicaRequest&, uint64_t id);
    void wakeFront(ModelQueue&);
    static double serviceRate(const ModelQueue&, base::TimePoint now); // tokens per second; 0: unknown
    void reportUse(const std::string& model, ModelQueue&);

    net::Loop& m_loop;
    DaemonContext& m_context;
    routing::EndpointChoiceOptions m_choiceOptions;
    std::map<std::string, ModelQueue> m_queues;
    size_t m_waitingRequests = 0;
    uint64_t m_lastId = 0;
};

} // namespace rattanshunt::entry

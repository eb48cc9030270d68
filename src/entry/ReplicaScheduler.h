// Gives requests of one traffic thread the right to send to a replica: choice, fair waiting, cold starts.
//
// Own thread only. acquire() suspends.
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
    std::string model; // or adapter
    std::string account;
    double weight = 1; // of the account
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    double tokens = 1;             // cost
    uint64_t promptPrefixHash = 0; // routing::prefixHash() of the prompt
    base::TimePoint arrivedAt {};
    base::TimePoint deadline {};
    std::set<std::string> excludedEndpoints; // endpoints that failed this request
    const bool* isCancelled = nullptr;       // set when the caller has gone
};

struct ReplicaGrant {
    Reason reason = Reason::None;     // why there is none
    resources::EndpointInfo endpoint; // valid if `reason` is None; release() it afterwards
    bool wasColdStart = false;        // had to wait for a replica to be loaded
    base::Duration coldStartWait { 0 };
};

class ReplicaScheduler {
public:
    ReplicaScheduler(net::Loop&, DaemonContext&);

    ReplicaGrant acquire(const ReplicaRequest&);
    void release(const std::string& model, const resources::EndpointInfo&, double tokens);

    // Keeps requests away from an endpoint that could not be reached, for a while.
    void recordFailure(const resources::EndpointInfo&);

    // An instance of a plain service's pool, or nothing.
    std::optional<resources::EndpointInfo> chooseServiceEndpoint(
        const std::string& pool, uint64_t hash, const std::set<std::string>& avoided);

private:
    struct ModelQueue {
        routing::FairQueue fairQueue;
        std::map<uint64_t, net::Event*> waiters;
        base::TimePoint rateMeasuredSince {}; // first end of a request since requests have waited without a break
        double tokensServed = 0;              // since then
        base::TimePoint useReportedAt {};
    };

    std::optional<resources::EndpointInfo> tryChooseEndpoint(
        const ReplicaRequest&, uint64_t hash, bool& hasReplica) const;
    ReplicaGrant waitForReplica(const ReplicaRequest&, uint64_t id);
    void wakeFront(ModelQueue&);
    static double serviceRate(const ModelQueue&, base::TimePoint now); // tokens a second; 0: not known
    void reportUse(const std::string& model, ModelQueue&);

    net::Loop& m_loop;
    DaemonContext& m_context;
    routing::EndpointChoiceOptions m_choiceOptions;
    std::map<std::string, ModelQueue> m_queues;
    size_t m_waitingRequests = 0;
    uint64_t m_lastId = 0;
};

} // namespace rattanshunt::entry

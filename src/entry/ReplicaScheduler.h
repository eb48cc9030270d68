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

struct ReplicaAsk {
    std::string model; // or adapter
    std::string account;
    double weight = 1; // of the account
    resources::ValueClass value = resources::ValueClass::Normal;
    double tokens = 1;   // cost
    uint64_t prefix = 0; // routing::prefixHash() of the prompt
    base::TimePoint arrivedAt {};
    base::TimePoint deadline {};
    std::set<std::string> avoided;     // endpoints that failed this request
    const bool* isCancelled = nullptr; // set when the caller has gone
};

struct ReplicaGrant {
    Reason reason = Reason::None;     // why there is none
    resources::EndpointInfo endpoint; // valid if `reason` is None; release() it afterwards
    bool wasCold = false;             // had to wait for a replica to be loaded
    base::Duration coldWait { 0 };
};

class Replicas {
public:
    Replicas(net::Loop&, Backbone&);

    ReplicaGrant acquire(const ReplicaAsk&);
    void release(const std::string& model, const resources::EndpointInfo&, double tokens);

    // Keeps requests away from an endpoint that could not be reached, for a while.
    void noteFailure(const resources::EndpointInfo&);

    // An instance of a plain service's pool, or nothing.
    std::optional<resources::EndpointInfo> chooseService(
        const std::string& pool, uint64_t draw, const std::set<std::string>& avoided);

private:
    struct ModelQueue {
        routing::FairQueue queue;
        std::map<uint64_t, net::Event*> waiters;
        base::TimePoint servingSince {}; // first end of a request since requests have waited without a break
        double tokensServed = 0;         // since then
        base::TimePoint usedReportedAt {};
    };

    std::optional<resources::EndpointInfo> tryChoose(const ReplicaAsk&, uint64_t draw, bool& hasReplica) const;
    ReplicaGrant wait(const ReplicaAsk&, uint64_t id);
    void wakeFront(ModelQueue&);
    static double serviceRate(const ModelQueue&, base::TimePoint now); // tokens a second; 0: not known
    void noteUse(const std::string& model, ModelQueue&);

    net::Loop& m_loop;
    Backbone& m_backbone;
    routing::ChoiceOptions m_options;
    std::map<std::string, ModelQueue> m_queues;
    size_t m_waiting = 0;
    uint64_t m_lastId = 0;
};

} // namespace rattanshunt::entry

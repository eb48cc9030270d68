// Serves callers: finds route, account and replica of each request and answers it whole or with a truthful refusal.
//
// Contents
//   [1] Options         GatewayOptions
//   [2] Gateway
//
// Decisions are free functions in files of their own: RequestPlan.h (repeats and refusals), ReplicaChoice.h (which
// replica), RepeatBudget.h, quota/Grants.h (usage). This file carries them out and writes one log line for each.
//
// Own thread only.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "hub/HubSync.h"
#include "gateway/ReplicaConnectionPool.h"
#include "gateway/RetryBudget.h"
#include "gateway/ReplicaSelection.h"
#include "gateway/RequestContext.h"
#include "gateway/WaitPolicy.h"
#include "net/Http.h"

namespace rattanshunt::gateway {

// ---- [1] Options -------------------------------------------------------------------------------

struct GatewayOptions {
    base::Millis revokeLimit { 4800 }; // age of configuration up to which keys are trusted
    base::Millis denyLimit { 1800 };   // age up to which an unknown route or key is refused for good
    base::Millis retryAfter { 300 };   // when a refused caller may come back, if nothing better is known
    double longPrompt = 2500;          // tokens from which on reading a prompt delays others
    base::Millis drainWait { 1000 };   // that a request may wait for a replica while the process stops
    base::Seconds rateTime { 10 };     // over which arrivals are smoothed
    WaitOptions waiting;
    base::Millis sweepInterval { 1000 };   // between two looks for idle connections
    base::Millis troubleHalfLife { 2500 }; // of a replica's failures
    base::Millis goodTime { 2000 }; // after a whole answer, for which a replica that is silent to the hub is used on
    RepeatBudgetOptions repeats;
    ReplicaChoiceOptions engineChoice;
    // Plain replicas have few slots and short calls: one request more or less on them costs no waiting.
    ReplicaChoiceOptions plainChoice { .connectionCost = 0.2 };
    ChannelOptions channels;
};

// ---- [2] Gateway -------------------------------------------------------------------------------

class Gateway {
public:
    Gateway(net::Loop&, GatewayOptions, const Dialect&, hub::Fabric&);

    // -- commands --
    bool listen(const base::Address&, std::string& error);
    // Answers end their connections from now on. A request that has waited long for a replica is refused, so that it
    // can be served elsewhere.
    void beginDrain();
    void stopAccepting(); // closes idle connections too
    void closeAll();
    void reconfigure(const GatewayOptions&); // for what begins from now on

    // -- queries --
    hub::DemandTable demand();                               // of this daemon, now
    base::Address address() const { return m_server->address; } // as bound; valid once it listens
    size_t underWay() const { return m_sessions.size(); }
    bool isDraining() const { return m_isDraining; }
    bool mayServe(base::BootTime now) const; // knows a configuration that is fresh enough for keys

private:
    // What this daemon has seen of a replica.
    struct ReplicaUse {
        int64_t bornMillis = 0;
        double ownNow = 0;
        double ownThen = 0;
        double unread = 0; // requests under way whose first byte has not come
        double reported = 0;
        double waiting = 0; // of `reported`
        base::BootTime reportedAt {};
        double trouble = 0;
        base::BootTime troubleAt {};
        base::BootTime goodAt {}; // the last whole answer
    };

    struct Refusal {
        const char* why = "";
        std::optional<base::Millis> retryAfter;
    };

    void serve(net::HttpExchange&);
    bool admit(Session&);
    bool findRoute(Session&);
    bool findAccount(Session&);
    void runAttempts(Session&);
    const directory::Replica* awaitReplica(Session&, const std::set<std::string>& tried, Refusal&);
    const directory::Replica* chooseReplica(Session&, const std::set<std::string>& tried, bool& isHeldSomewhere);
    std::optional<base::BootTime> readyEstimate(const Session&) const;
    AttemptResult attempt(Session&, const directory::Replica&);
    void finish(Session&, NextStep, const AttemptResult&, std::optional<base::Millis> retryAfter);
    void refuse(Session&, int status, const char* why, std::optional<base::Millis> retryAfter);
    void note(const Session&, int status, const char* outcome, const char* why);
    ReplicaUse& useOf(const directory::Replica&);
    double troubleOf(ReplicaUse&, base::BootTime now) const;
    void wakeWaiting();
    void decayRates(base::BootTime now);

    net::Loop& m_loop;
    GatewayOptions m_options;
    const Dialect& m_dialect;
    hub::Fabric& m_fabric;
    Channels m_channels;
    std::optional<net::HttpServerHandle> m_server;
    std::set<Session*> m_sessions;
    std::set<Session*> m_waiting;
    std::map<std::string, ReplicaUse> m_uses;      // by replica
    std::map<std::string, RepeatBudget> m_repeats; // by service
    std::map<hub::DemandKey, double> m_rates;   // arrivals a second, as of m_ratesAt
    base::BootTime m_ratesAt {};
    bool m_isDraining = false;
};

} // namespace rattanshunt::gateway

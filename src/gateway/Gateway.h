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

#include "gateway/ReplicaConnectionPool.h"
#include "gateway/ReplicaSelection.h"
#include "gateway/RequestContext.h"
#include "gateway/RetryBudget.h"
#include "gateway/WaitPolicy.h"
#include "hub/HubSync.h"
#include "net/Http.h"

namespace rattanshunt::gateway {

// ---- [1] Options -------------------------------------------------------------------------------

struct GatewayOptions {
    base::Millis maxConfigurationAgeForKeys { 4800 };   // age of configuration up to which keys are trusted
    base::Millis maxConfigurationAgeForDenial { 1800 }; // age up to which an unknown route or key is refused for good
    base::Millis defaultRetryAfter { 300 }; // when a refused caller may come back, if nothing better is known
    double longPromptTokens = 2500;         // tokens from which on reading a prompt delays others
    base::Millis maxDrainWait { 1000 };     // that a request may wait for a replica while the process stops
    base::Seconds rateTimeConstant { 10 };  // over which arrivals are smoothed
    WaitOptions waiting;
    base::Millis sweepInterval { 1000 };   // between two looks for idle connections
    base::Millis failureHalfLife { 2500 }; // of a replica's failures
    base::Millis recentSuccessPeriod {
        2000
    }; // after a whole answer, for which a replica that is silent to the hub is used on
    RetryBudgetOptions retryBudget;
    ReplicaSelectionOptions engineSelection;
    // Plain replicas have few slots and short calls: one request more or less on them costs no waiting.
    ReplicaSelectionOptions plainSelection { .connectionCost = 0.2 };
    ReplicaConnectionOptions connections;
};

// ---- [2] Gateway -------------------------------------------------------------------------------

class Gateway {
public:
    Gateway(net::Loop&, GatewayOptions, const WireCodec&, hub::HubSync&);

    // -- commands --
    bool listen(const base::Address&, std::string& error);
    // Answers end their connections from now on. A request that has waited long for a replica is refused, so that it
    // can be served elsewhere.
    void beginDrain();
    void stopAccepting(); // closes idle connections too
    void closeAll();
    void reconfigure(const GatewayOptions&); // for what begins from now on

    // -- queries --
    hub::DemandTable demand();                                  // of this daemon, now
    base::Address address() const { return m_server->address; } // as bound; valid once it listens
    size_t requestsInFlight() const { return m_requests.size(); }
    bool isDraining() const { return m_isDraining; }
    bool hasFreshConfiguration(base::BootTime now) const; // knows a configuration that is fresh enough for keys

private:
    // What this daemon has seen of a replica.
    struct ReplicaStats {
        int64_t startedAtMillis = 0;
        double ownInFlight = 0;
        double ownInFlightAtReport = 0;
        double ownAwaitingFirstByte = 0; // requests under way whose first byte has not come
        double reportedInFlight = 0;
        double reportedWaiting = 0; // of `reported`
        base::BootTime reportedAt {};
        double failureScore = 0;
        base::BootTime failureScoreAt {};
        base::BootTime lastSuccessAt {}; // the last whole answer
    };

    struct Refusal {
        const char* reason = "";
        std::optional<base::Millis> retryAfter;
    };

    void serve(net::HttpExchange&);
    bool admit(RequestContext&);
    bool findRoute(RequestContext&);
    bool findAccount(RequestContext&);
    void runAttempts(RequestContext&);
    const directory::Replica* awaitReplica(RequestContext&, const std::set<std::string>& tried, Refusal&);
    const directory::Replica* selectReplica(RequestContext&, const std::set<std::string>& tried, bool& isHeldSomewhere);
    std::optional<base::BootTime> estimatedReadyAt(const RequestContext&) const;
    AttemptResult runAttempt(RequestContext&, const directory::Replica&);
    void finish(RequestContext&, NextStep, const AttemptResult&, std::optional<base::Millis> retryAfter);
    void refuse(RequestContext&, int status, const char* why, std::optional<base::Millis> retryAfter);
    void recordRequestEnd(const RequestContext&, int status, const char* outcome, const char* why);
    ReplicaStats& statsOf(const directory::Replica&);
    double decayedFailureScore(ReplicaStats&, base::BootTime now) const;
    void wakeWaiting();
    void decayArrivalRates(base::BootTime now);

    net::Loop& m_loop;
    GatewayOptions m_options;
    const WireCodec& m_codec;
    hub::HubSync& m_hubSync;
    ReplicaConnectionPool m_connectionPool;
    std::optional<net::HttpServerHandle> m_server;
    std::set<RequestContext*> m_requests;
    std::set<RequestContext*> m_waitingRequests;
    std::map<std::string, ReplicaStats> m_replicaStats; // by replica
    std::map<std::string, RetryBudget> m_retryBudgets;  // by service
    std::map<hub::DemandKey, double> m_arrivalRates;    // arrivals a second, as of m_ratesAt
    base::BootTime m_arrivalRatesAt {};
    bool m_isDraining = false;
};

} // namespace rattanshunt::gateway

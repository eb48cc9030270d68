// Serves callers: determines the route, account and replica of each request and sends a complete response or a refusal.
// A refusal is sent only if the request certainly has not been executed.
//
// Contents
//   [1] Options         GatewayOptions
//   [2] Gateway
//
// Decisions are free functions in files of their own: attempts/RetryPolicy.h (retries and refusals),
// ReplicaSelection.h, RetryBudget.h, WaitPolicy.h, quota/TokenReservations.h, limits/ReplicaLimits.h,
// streams/StreamOrigins.h. Gateway carries them out and logs them.
//
// Call from the owning thread only.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "admission/WaitingQueue.h"
#include "gateway/ExplainWhere.h"
#include "gateway/OwnLoad.h"
#include "gateway/ReplicaSelection.h"
#include "gateway/RequestContext.h"
#include "gateway/RetryBudget.h"
#include "gateway/StopPolicy.h"
#include "gateway/WaitPolicy.h"
#include "hub/HubSync.h"
#include "net/Http.h"
#include "pace/ReplicaPace.h"
#include "reach/ReplicaDialer.h"
#include "spill/SpillPlan.h"

namespace rattanshunt::gateway {

// ---- [1] Options -------------------------------------------------------------------------------

struct GatewayOptions {
    base::Millis maxConfigurationAgeForKeys { 4800 };   // up to this age API keys are trusted
    base::Millis lateConfigurationAge { 1800 };         // from which on the store is taken for silent
    base::Millis maxConfigurationAgeForDenial { 1800 }; // up to this age an unknown route or key gets 404 or 401
    base::Millis defaultRetryAfter { 300 };             // Retry-After of a refusal without an estimate
    double longPromptTokens = 2500;                     // prompts of this length delay other requests during prefill
    base::Millis maxDrainWait { 1000 };                 // for a replica, while the process is draining
    size_t maxHeldForTokens = 400;                      // requests that wait for tokens of their account
    base::Millis minPermitPause { 50 };                 // between two requests for a permit to one replica
    base::Millis coldPermitPause { 1 };                 // the same to cold replicas of a service, times the daemons
    base::Seconds rateTimeConstant { 10 };              // for smoothing arrival rates
    base::Millis loggedDirectoryAge { 1000 };           // sends on older knowledge of the replicas are logged
    WaitOptions waiting;
    admission::WaitingOptions waitingQueue;
    base::Millis sweepInterval { 1000 };   // for closing expired idle connections
    base::Millis silenceInterval { 250 };  // between two looks at requests that wait for bytes from replicas
    base::Millis lostLinkSilence { 500 };  // of an attempt, after which it is given up when no replica is reached
    base::Millis failureHalfLife { 2500 }; // of a replica's failureScore
    // A replica that the hub cannot reach is used for this long after its last complete response to this daemon.
    base::Millis recentSuccessPeriod { 2000 };
    RetryBudgetOptions retryBudget;
    ReplicaSelectionOptions engineSelection;
    // Replicas without an engine have few slots and short calls: one request more or less causes no waiting.
    ReplicaSelectionOptions plainSelection { .connectionCost = 0.2 };
    OwnLoadOptions ownLoad;
    pace::PaceOptions pace;
    net::ConnectionPoolOptions connections;
    ResponseMemoryOptions responseMemory;
    net::MemoryPlan memoryPlan; // as of the start; does not change
};

// ---- [2] Gateway -------------------------------------------------------------------------------

class Gateway {
public:
    Gateway(net::Loop&, GatewayOptions, const WireCodec&, hub::HubSync&, reach::ReplicaDialer&);
    ~Gateway();

    // -- commands --
    bool listen(const base::Address&, std::string& error);
    // From now on responses close their connections. A request that has waited for maxDrainWait, or whose response
    // would probably not end before `endsAt`, is refused, so that it can be served elsewhere.
    void beginDrain(base::BootTime endsAt = base::BootTime::max());
    void stopAccepting(); // also closes idle connections
    // Ends all attempts: what was sent gets 502, what was not is refused, a stream that has begun is broken off.
    void endRequests();
    void closeAll();
    void reconfigure(const GatewayOptions&); // applies to work that begins after the call

    // -- queries --
    // Where a request would go now, and why. Sends nothing, takes no quota and changes nothing.
    nlohmann::json explainWhere(net::HttpExchange&, const WhereQuestion&);
    hub::DemandTable demand();                                  // this daemon's current demand
    base::Address address() const { return m_server->address; } // as bound; valid after listen()
    size_t requestsInFlight() const { return m_requests.size(); }

    // Connections of callers; after stopAccepting(), only those with a request that is being read or served.
    const net::MemoryAccount& memory() const { return m_memory; }
    size_t connectionCount() const { return m_server->connectionCount(); }
    bool isDraining() const { return m_isDraining; }
    bool hasFreshConfiguration(base::BootTime now) const; // not older than maxConfigurationAgeForKeys

private:
    // What this daemon has observed of a replica.
    struct ReplicaStats {
        int64_t startedAtMillis = 0;
        OwnLoad ownLoad;
        double ownInFlightAtReport = 0;
        double ownAwaitingFirstByte = 0; // requests in flight whose first byte has not arrived
        double reportedInFlight = 0;
        double reportedWaiting = 0; // part of reportedInFlight
        base::BootTime reportedAt {};
        double failureScore = 0;
        base::BootTime failureScoreAt {};
        base::BootTime lastSuccessAt {};    // time of the last complete response
        base::BootTime noPermitBefore {};   // a permit was denied; another one is asked for then
        base::BootTime permitExpectedAt {}; // after a permit was denied
        pace::ReplicaPace pace;
    };

    struct ReplicaChoice {
        const directory::Replica* replica = nullptr; // null: none can take the request now
        bool needsPermit = false;
        bool isCold = false;
        bool isInHomes = false;  // a replica that may be used is in the request's homes
        bool hasVersion = false; // a replica of the version that began the stream serves, and can get the model
        bool hasUsable = false;  // a replica has the model, but may be full, limited or tried already
        std::optional<base::BootTime> permitAt; // if all others are limited: when one is expected to have a permit
    };

    struct Refusal {
        const char* reason = "";
        std::optional<base::Millis> retryAfter;
    };

    void serve(net::HttpExchange&);
    bool admit(RequestContext&);
    bool findRoute(RequestContext&);
    bool findAccount(RequestContext&);
    bool takeTokens(RequestContext&);
    bool awaitHub(RequestContext&);
    quota::TokenAsk tokenAskOf(const RequestContext&) const;
    void refuseTokens(RequestContext&, const Account&, const hub::QuotaAnswer&);
    bool findStreamVersion(RequestContext&);
    void recordStreamVersion(RequestContext&, const ReplicaEntry&);
    void runAttempts(RequestContext&);
    const directory::Replica* awaitReplica(RequestContext&, const std::set<std::string>& tried, Refusal&);
    ReplicaChoice selectReplica(RequestContext&, const std::set<std::string>& tried);
    void setDataCenterCosts(RequestContext&, std::vector<ReplicaCandidate>&,
        const std::vector<const directory::Replica*>&, double fixedCost);
    std::string chooseSpillTarget(const RequestContext&, const std::map<std::string, spill::DataCenterKnowledge>&);
    double expectedTransferSeconds(const RequestContext&) const;
    void recordTransfer(const RequestContext&, const ReplicaEntry&, const AttemptResult&);
    std::optional<base::BootTime> estimatedReadyAt(const RequestContext&) const;
    AttemptResult runAttempt(RequestContext&, const directory::Replica&);
    const char* openConnection(
        RequestContext&, const ReplicaEntry&, std::unique_ptr<net::HttpConnection>&, base::TimePoint deadline);
    void confirmConnectionEnd(RequestContext&, const ReplicaEntry&, AttemptResult&);
    void giveUpSilentAttempts();
    void armSilenceCheck();
    void checkSilence();
    std::optional<Refusal> partRefusal(RequestContext&);
    void beginPartEvidence(RequestContext&);
    void recordPartEvidence(RequestContext&, const ReplicaEntry&, AttemptResult&);
    void finish(RequestContext&, NextStep, AttemptResult&, std::optional<base::Millis> retryAfter);
    void refuse(RequestContext&, int status, const char* reason, std::optional<base::Millis> retryAfter);
    void recordRequestEnd(const RequestContext&, int status, const char* outcome, const char* reason);
    ReplicaStats& statsOf(const directory::Replica&);
    void recordLoad(ReplicaStats&, double running, double waiting, base::BootTime reportedAt);
    void recordPace(ReplicaStats&, const ResponseHead::Load&, base::BootTime now);
    void recordTimes(ReplicaStats&, const RequestContext&, const AttemptResult&, uint64_t eventsBefore);
    void addPace(ReplicaCandidate&, const ReplicaStats&, const ReplicaSelectionOptions&, base::BootTime now) const;
    void recordLimit(const RequestContext&, const ReplicaEntry&, const NamedLimit&, base::BootTime requestedAt);
    bool hasPermitFor(const RequestContext&, const ReplicaEntry&, base::BootTime now) const;
    directory::ReplicaLife lifeOf(const RequestContext&, const directory::Replica&, base::BootTime now) const;
    void acquirePermit(RequestContext&, const directory::Replica&, bool isCold);
    void releasePermit(RequestContext&);
    nlohmann::json explainSelection(RequestContext&);
    const char* exclusionReason(const RequestContext&, const directory::Replica&, base::BootTime now) const;
    const char* findSendObstacle(RequestContext&, const ReplicaEntry&);
    void recordSend(const RequestContext&, const ReplicaEntry&, base::BootTime attemptBegunAt);
    double decayedFailureScore(ReplicaStats&, base::BootTime now) const;
    admission::WaitingTerms waitingTerms(const RequestContext&, const std::set<std::string>& tried) const;
    void offerSlots();
    void wakeFirstWaiting();
    void wakeAllWaiting();
    bool mustWaitForOthers(const RequestContext&, const admission::WaitingTerms&, base::BootTime now);
    void recordSlotTaken(const admission::WaitingTerms&, base::BootTime now);
    void recordNoSlot(RequestContext&, base::BootTime now);
    void waitForSlot(RequestContext&, const admission::WaitingTerms&, base::Duration recheckAfter);
    void endWait(RequestContext&);
    void decayArrivalRates(base::BootTime now);
    bool mayEndInTime(const RequestContext&, base::BootTime now) const;

    net::Loop& m_loop;
    GatewayOptions m_options;
    const WireCodec& m_codec;
    hub::HubSync& m_hubSync;
    reach::ReplicaDialer& m_dialer;
    net::ConnectionPool m_connectionPool;
    net::MemoryAccount m_memory;
    ResponseMemory m_responseMemory;
    std::optional<net::HttpServerHandle> m_server;
    std::set<RequestContext*> m_requests;
    std::set<RequestContext*> m_waitingRequests;            // for a slot, a permit or newer knowledge of replicas
    admission::WaitingQueue<RequestContext> m_waitingQueue; // those that wait for a slot
    size_t m_requestsHeldForTokens = 0;
    std::map<std::string, ReplicaStats> m_replicaStats;         // by replica id
    std::map<std::string, RetryBudget> m_retryBudgets;          // by service name
    std::map<std::string, base::BootTime> m_noColdPermitBefore; // by service name; one was denied
    std::map<hub::DemandKey, double> m_arrivalRates;            // arrivals per second, as of m_arrivalRatesAt
    base::BootTime m_arrivalRatesAt {};
    std::map<hub::ModelKey, pace::UsualTimes> m_usualEventTimes; // by service and model
    std::map<hub::ModelKey, spill::SpillCredits> m_spillCredits;
    std::map<hub::ModelKey, double> m_transferSeconds; // mean cost of serving a request in another data centre
    std::map<std::string, double> m_responseBytes;     // mean of a response, by route
    std::map<std::string, base::BootTime> m_partRefusalLoggedAt; // by part
    std::map<std::string, UsualTime> m_usualTimes; // by route, from sending a request to the end of its response
    net::TimerId m_silenceTimer = 0;               // 0: not set
    base::BootTime m_endsAt = base::BootTime::max();
    size_t m_checkedBodyBytes = 0; // for which a shortage of memory was logged
    bool m_isDraining = false;
    bool m_isEnding = false;
    bool m_isExplaining = false; // a selection has no effects
};

} // namespace rattanshunt::gateway

// Runs model placement at the hub: polls replicas for their reports, plans jobs, sends the orders and follows them
// until they are complete.
//
// Each job runs in its own fiber and sends its orders one after another. What the replica holds after them, and whether
// an order fits, is decided in ReplicaLedger.h.
//
// Own thread only.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "hub/HubSync.h"
#include "models/ModelPlan.h"
#include "models/ReplicaLedger.h"
#include "models/StoreConcurrency.h"
#include "net/Http.h"
#include "reach/ReplicaDialer.h"

namespace rattanshunt::models {

struct PlacerOptions {
    base::Millis idlePlanInterval { 100 };       // between two plans, without new demand or a finished job
    base::Millis minPlanInterval { 25 };         // minimum between two plans
    base::Millis idleUnloadDuration { 120 };     // of a model without running requests
    base::Millis loadMargin { 25 };              // beyond the estimated duration of a load
    base::Millis reportInterval { 600 };         // between two reports of a replica without a job
    base::Millis reportTimeout { 400 };          // for one report
    base::Millis silenceTimeout { 1300 };        // without a report, after which a replica counts as unreachable
    base::Millis orderTimeout { 800 };           // for connecting and for the answer to an order
    base::Millis orderPollInterval { 60 };       // between two reports while waiting for an order
    base::Seconds orderCompletionTimeout { 20 }; // after which an order for a model, and its job, are given up
    base::Millis adapterOrderCompletionTimeout { 3000 }; // the same for an order for an adapter
    LedgerOptions ledger;
    base::Seconds storeRateWindow { 5 };        // over which the weight store's limit on loads is enforced
    base::Millis adapterReadyDelay { 20 };      // from the acceptance of an adapter until it can be used
    base::Millis takeoverSettlePeriod { 1800 }; // after an election, until the members' arrival rates are known
    base::Millis awaitingFirstByteTimeConstant { 1500 }; // of the smoothing of requests without a first byte
    double minAwaitingFirstByte = 0.01;                  // smoothed value below which a model's entry is dropped
    base::Millis firstReadyEstimate { 1200 };            // from the first allowed order until a model is ready
    double initialStoreConcurrency = 4; // concurrent loads of the weight store, before any load has finished
    PlanOptions plan;
};

class Placer {
public:
    Placer(net::Loop&, PlacerOptions, hub::HubSync&, const gateway::WireCodec&, reach::ReplicaDialer&);

    // -- commands --
    void start();
    void stop() { m_isStopping = true; }

private:
    // The hub's state for one replica, beyond what the directory holds.
    struct ReplicaState {
        int64_t startedAtMillis = 0;
        bool hasJob = false; // of this hub; no other job starts
        ReplicaLedger ledger;
        bool isReportPending = false;                             // a report was requested and its call has not ended
        int missedReports = 0;                                    // consecutive report calls that failed
        base::BootTime lastReportAt {};                           // when the last report that arrived was requested
        base::BootTime reportRequestedAt {};                      // when the last report was requested
        std::string loadingModel;                                 // by the current job; empty: none
        std::vector<std::pair<std::string, std::string>> leaving; // models and adapters that the job unloads
        gateway::ReplicaReport report;                            // the last that arrived; it may lag behind the ledger
        std::unique_ptr<net::HttpConnection> reportConnection;    // carries nothing but reports
        bool namesLimitInReports = false; // so that a report without one counts as an answer without a limit
    };

    void tick();
    void smoothAwaitingFirstByte(hub::DemandTable&, base::BootTime now);
    void beginTerm();
    void requestDueReports(base::BootTime now);
    bool requestReport(const std::string& id);
    void logCall(const std::string& id, const ReplicaState&, const char* kind) const;
    void recordLimit(
        const std::string& id, ReplicaState&, const net::HttpResponse&, base::BootTime requestedAt, bool isReport);
    bool isLimited(const std::string& id, const ReplicaState&) const;
    bool isQuiet(const std::string& id, const ReplicaState&) const;
    void updateReachability(const std::string& id, ReplicaState&, bool hasAnswered);
    void planService(const gateway::Service&, const hub::DemandTable&, base::BootTime now,
        std::map<hub::ModelKey, base::BootTime>& readyEstimates);
    void runJob(PlanJob);
    bool runJobOrders(const PlanJob&, ReplicaState&);
    bool waitForOrder(
        const PlanJob&, ReplicaState&, const gateway::ModelOrder&, bool wasAccepted, base::BootTime giveUpAt);
    void publishReadyTime(const std::string& id, const std::string& model, base::BootTime readyAt, bool isConfirmed);
    bool executeOrder(const PlanJob&, ReplicaState&, const gateway::ModelOrder&);
    gateway::OrderResult sendOrder(const std::string& id, const gateway::ModelOrder&);
    bool orderFits(const std::string& id, const ReplicaState&, const gateway::ModelOrder&) const;
    const gateway::Engine* engineOf(const std::string& id) const;
    void publishPlacement(const std::string& id);
    static std::vector<gateway::LoadedModel> modelsInUse(const ReplicaState&);
    double storeLoadsLeft(const gateway::Engine&, base::BootTime now);

    net::Loop& m_loop;
    PlacerOptions m_options;
    hub::HubSync& m_hubSync;
    const gateway::WireCodec& m_codec;
    reach::ReplicaDialer& m_dialer;
    bool m_isStopping = false;
    bool m_wasHub = false;
    net::Event m_wake;          // set when a member reports demand or a job has ended
    int64_t m_fencingToken = 0; // of the term that the state below belongs to
    std::map<std::string, std::shared_ptr<ReplicaState>> m_replicaStates; // by replica id
    std::deque<base::BootTime> m_storeLoadStarts; // start times of store loads within `storeRateWindow`
    base::BootTime m_hubSince {};                 // start of the term
    size_t m_storeLoadsRunning = 0;
    StoreConcurrency m_storeConcurrency;
    std::map<hub::ModelKey, double> m_awaitingFirstByte; // requests without a first byte, smoothed over time
    base::BootTime m_smoothedAt {};
};

} // namespace rattanshunt::models

// Carries out placement at the hub: asks replicas for their reports, plans, gives orders and follows them.
//
// Each job runs in a fiber of its own and its orders go one after another. Every order carries the number of orders
// that the replica had taken, so that one which arrives late finds another number and fails, whatever it was.
//
// Q: What counts as loaded after an order without an answer?  A: Nothing changes until a report shows the number of
//    orders taken; a late order for the number before can't overcommit, as it was planned for that state.
//
// Own thread only.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "hub/HubSync.h"
#include "models/ModelPlan.h"
#include "models/StoreConcurrency.h"
#include "net/Http.h"

namespace rattanshunt::models {

struct PlacerOptions {
    base::Millis idlePlanInterval { 100 };               // without news
    base::Millis minPlanInterval { 25 };                 // between two plans, with news
    base::Millis idleUnloadDuration { 120 };             // of a model without runs
    base::Millis loadMargin { 25 };                      // beyond the time of a load from disk or memory
    base::Millis reportInterval { 600 };                 // between two reports of a replica that is not engaged
    base::Millis reportTimeout { 400 };                  // for one report
    base::Millis silenceTimeout { 1300 };                // without a report, after which a replica counts as silent
    base::Millis orderTimeout { 800 };                   // for the answer to an order
    base::Millis orderPollInterval { 60 };               // between two reports while an order is under way
    base::Seconds orderCompletionTimeout { 20 };         // after which a job is given up
    base::Millis adapterOrderCompletionTimeout { 3000 }; // the same for an adapter
    base::Millis maxReportLag { 1500 };                  // by which a report may be behind
    base::Seconds storeRateWindow { 5 };                 // of the weight store's limit on loads
    base::Millis adapterReadyDelay { 20 };               // until an accepted adapter can be used
    base::Millis takeoverSettlePeriod { 1800 };          // after a takeover, until the members' rates are known
    base::Millis awaitingFirstByteTimeConstant { 1500 }; // over which requests without a first byte are smoothed
    double minAwaitingFirstByte = 0.01;       // requests without a first byte below which a model is forgotten
    base::Millis firstReadyEstimate { 1200 }; // until models are ready, counted from when orders are allowed
    double initialStoreConcurrency = 4;       // of the weight store at full speed, until it is measured
    PlanOptions plan;
};

class Placer {
public:
    Placer(net::Loop&, PlacerOptions, hub::HubSync&, const gateway::WireCodec&);

    // -- commands --
    void start();
    void stop() { m_isStopping = true; }

private:
    // What the hub knows of a replica beyond the directory.
    struct ReplicaState {
        int64_t startedAtMillis = 0;
        bool hasJob = false;
        bool isHeldCurrent = false;             // `held` is what the replica holds after `ordersTaken` orders
        bool isOrderPending = false;            // an order is on its way
        base::BootTime lastOrderDoneAt {};      // when the last order was answered, or given up
        bool isReportPending = false;           // a report is under way
        int missedReports = 0;                  // reports in a row that did not come
        base::BootTime lastReportAt {};         // when the last report was asked for that came
        int64_t ordersAccepted = 0;             // at least; by reports and accepted orders
        base::BootTime reportRequestedAt {};    // for the last report
        std::string loadingModel;               // model on its way
        std::vector<gateway::LoadedModel> held; // as of ordersTaken
        gateway::ReplicaReport report;
        std::unique_ptr<net::HttpConnection> connection;
    };

    void tick();
    void smoothAwaitingFirstByte(hub::DemandTable&, base::BootTime now);
    void beginTerm();
    void requestDueReports(base::BootTime now);
    bool requestReport(const std::string& id);
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
    bool orderFits(const std::string& id, const gateway::ModelOrder&) const;
    const gateway::Engine* engineOf(const std::string& id) const;
    void publishPlacement(const std::string& id);
    double storeLoadsLeft(const gateway::Engine&, base::BootTime now);

    net::Loop& m_loop;
    PlacerOptions m_options;
    hub::HubSync& m_hubSync;
    const gateway::WireCodec& m_codec;
    bool m_isStopping = false;
    bool m_wasHub = false;
    net::Event m_wake;          // a member reports demand, or a job has ended
    int64_t m_fencingToken = 0; // the fencing token that the state below belongs to
    std::map<std::string, std::shared_ptr<ReplicaState>> m_replicaStates; // by replica
    std::deque<base::BootTime> m_storeLoadStarts;                         // begun in the last window
    base::BootTime m_hubSince {};
    size_t m_storeLoadsRunning = 0;
    StoreConcurrency m_storeConcurrency;
    std::map<hub::ModelKey, double> m_awaitingFirstByte; // requests without a first byte, smoothed
    base::BootTime m_smoothedAt {};
};

} // namespace rattanshunt::models

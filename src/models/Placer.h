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
    base::Millis planInterval { 100 };       // without news
    base::Millis planPause { 25 };           // between two plans, with news
    base::Millis unloadTime { 120 };         // of a model without runs
    base::Millis loadSlack { 25 };           // beyond the time of a load from disk or memory
    base::Millis reportInterval { 600 };     // between two reports of a replica that is not engaged
    base::Millis reportTime { 400 };         // for one report
    base::Millis silentTime { 1300 };        // without a report, after which a replica counts as silent
    base::Millis orderTime { 800 };          // for the answer to an order
    base::Millis followInterval { 60 };      // between two reports while an order is under way
    base::Seconds followTime { 20 };         // after which a job is given up
    base::Millis adapterFollowTime { 3000 }; // the same for an adapter
    base::Millis reportLagMost { 1500 };     // by which a report may be behind
    base::Seconds ceilingWindow { 5 };       // of the weight store's limit on loads
    base::Millis adapterTime { 20 };         // until an accepted adapter can be used
    base::Millis settleTime { 1800 };        // after a takeover, until the members' rates are known
    base::Millis readingTime { 1500 };       // over which requests without a first byte are smoothed
    double readingLeast = 0.01;              // requests without a first byte below which a model is forgotten
    base::Millis firstJobs { 1200 };         // until models are ready, counted from when orders are allowed
    double storeLoadsAtOnce = 4;             // of the weight store at full speed, until it is measured
    PlanOptions plan;
};

class Placer {
public:
    Placer(net::Loop&, PlacerOptions, hub::Fabric&, const gateway::Dialect&);

    // -- commands --
    void start();
    void stop() { m_isStopping = true; }

private:
    // What the hub knows of a replica beyond the directory.
    struct Follow {
        int64_t bornMillis = 0;
        bool isEngaged = false;
        bool isSettled = false;               // `held` is what the replica holds after `ordersTaken` orders
        bool isOrdering = false;              // an order is on its way
        base::BootTime orderedAt {};          // when the last order was answered, or given up
        bool isAsking = false;                // a report is under way
        int missed = 0;                       // reports in a row that did not come
        base::BootTime answeredAt {};         // when the last report was asked for that came
        int64_t ordersTaken = 0;              // at least; by reports and accepted orders
        base::BootTime askedAt {};            // for the last report
        std::string coming;                   // model on its way
        std::vector<gateway::HeldModel> held; // as of ordersTaken
        gateway::ReplicaReport report;
        std::unique_ptr<net::HttpConnection> connection;
    };

    void tick();
    void smoothReading(hub::DemandTable&, base::BootTime now);
    void beginHub();
    void askReports(base::BootTime now);
    bool askReport(const std::string& id);
    void noteSilence(const std::string& id, Follow&, bool hasAnswered);
    void planService(const gateway::Service&, const hub::DemandTable&, base::BootTime now,
        std::map<hub::ModelKey, base::BootTime>& outlook);
    void runJob(PlanJob);
    bool runSteps(const PlanJob&, Follow&);
    bool followOrder(const PlanJob&, Follow&, const gateway::ModelOrder&, bool wasAccepted, base::BootTime giveUpAt);
    void expectReady(const std::string& id, const std::string& model, base::BootTime readyAt, bool isSure);
    bool orderAndFollow(const PlanJob&, Follow&, const gateway::ModelOrder&);
    gateway::OrderAnswer sendOrder(const std::string& id, const gateway::ModelOrder&);
    bool fits(const std::string& id, const gateway::ModelOrder&) const;
    const gateway::Engine* engineOf(const std::string& id) const;
    void publish(const std::string& id);
    double storeLoadsLeft(const gateway::Engine&, base::BootTime now);

    net::Loop& m_loop;
    PlacerOptions m_options;
    hub::Fabric& m_fabric;
    const gateway::Dialect& m_dialect;
    bool m_isStopping = false;
    bool m_wasHub = false;
    net::Event m_wake;                                        // a member reports demand, or a job has ended
    int64_t m_token = 0;                                      // the fencing token that the state below belongs to
    std::map<std::string, std::shared_ptr<Follow>> m_follows; // by replica
    std::deque<base::BootTime> m_storeLoads;                  // begun in the last window
    base::BootTime m_hubSince {};
    size_t m_storeLoadsRunning = 0;
    StoreSpeed m_storeSpeed;
    std::map<hub::ModelKey, double> m_reading; // requests without a first byte, smoothed
    base::BootTime m_readingAt {};
};

} // namespace rattanshunt::models

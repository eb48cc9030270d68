// Decides what to load and unload, for all models of one weight store.
//
// Contents
//   [1] Input           PlannerModel, PlannerEndpoint, demand
//   [2] Planner         state that the owner keeps
//   [3] Decisions       plannerNext(): the next change to the records, and the order that follows it
//   [4] Reports         plannerResolve(): what an endpoint's report says about unresolved orders
//
// One daemon owns the decisions. Loads wait in one queue for the weight store: by value class, then by how long
// requests have waited, and among equals the client account that had least comes first. A cold model gets one
// decision, however many daemons ask for it. Endpoints are chosen by where the checkpoint is nearest.
//
// Pure; the caller's thread owns the data.
//
// Q: Why was a model placed where it is?   A: Change::reason, the log line "placement.load" and `explain model` say so.
// Q: Why is a model not unloaded?          A: It is kept while requests wait or run, for its idle time after the last
//    one, and longer while nobody needs the memory and `unloadsIdle` is off.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"
#include "placement/PlacementRecords.h"
#include "resources/Resources.h"

namespace rattanshunt::placement {

// ---- [1] Input ---------------------------------------------------------------------------------

enum class CheckpointTier {
    Remote,
    Disk,
    Memory,
};

// What the planner knows of one model or adapter.
struct PlannerModel {
    std::string name;
    std::string pool;
    std::string base; // for an adapter: the model that it adapts; else empty
    int64_t bytes = 0;
    int replicas = 1;
    int minReplicas = 0;
    base::Duration idleTime { 0 };

    std::vector<Place> places; // as in the record
    bool isBusy = false;       // a change to its record is being written

    size_t waitingCount = 0;                                         // requests that wait for a replica
    resources::ValueClass waitingValue = resources::ValueClass::Low; // highest among them
    base::TimePoint waitingSince {};                                 // arrival of the oldest
    std::string waitingAccount;                                      // of the oldest
    double load = 0;                                                 // requests in flight for each slot of its replicas
    base::TimePoint lastUsed {};
};

struct PlannerEndpoint {
    std::string id;
    std::string pool;
    std::string boot; // as the endpoint itself last said; empty: not known, so nothing is concluded from it
    int64_t memoryBytes = 0;
    bool isLive = true;  // false: leaving or gone; it gets nothing new
    bool isGone = false; // the platform says that it has ended
    Ledger ledger;
    std::map<std::string, CheckpointTier> cached; // checkpoints near it
    bool isBusy = false;                          // a change to its ledger is being written
};

struct PlannerOptions {
    size_t storeLoads = 4;             // loads of models at once
    size_t adapterLoads = 30;          // loads of adapters at once, over all endpoints
    double scaleUpLoad = 0.85;         // a model with more load gets another replica
    base::Seconds evictionGrace { 2 }; // a model used so recently is not evicted for another
    bool ordersByValue = true;         // off: first come, first served, for comparison
    bool sparesNear = true;            // off: ignores where checkpoints are, for comparison
    bool unloadsIdle = true;           // unload after the idle time even if nobody needs the memory
    bool keepsUnresolved = true;       // switched off only by tests that show what it prevents
};

// ---- [2] Planner -------------------------------------------------------------------------------

struct Planner {
    PlannerOptions options;
    std::map<std::string, PlannerModel> models;
    std::map<std::string, PlannerEndpoint> endpoints;
    std::map<std::string, double> servedBytes; // loaded for each account, for fairness among equals
};

// ---- [3] Decisions -----------------------------------------------------------------------------

enum class ChangeKind { Load, Unload, Forget }; // drop a place whose endpoint has started anew or is gone

struct Change {
    ChangeKind kind = ChangeKind::Load;
    std::string model;
    std::string endpoint;
    std::string order; // of the place, for Unload and Forget
    std::string reason;
};

// The most urgent change that can be made now, or nothing. Does not alter the planner.
std::optional<Change> plannerNext(const Planner&, base::TimePoint now);

// Makes the records' content after `change`. False if it no longer applies: memory, count or state forbid it.
bool plannerPrepare(const Planner&, const Change&, const std::string& orderId, int64_t fencing, ModelRecord&, Ledger&);

// ---- [4] Reports -------------------------------------------------------------------------------

// What an endpoint says about itself.
struct EndpointReport {
    std::string boot;
    std::set<std::string> loadedOrders;  // load orders whose model is in memory now
    std::set<std::string> loadingOrders; // load orders that were accepted and are under way
    std::set<std::string> endedOrders;   // orders that failed, were refused as fenced, or were unloaded
    int64_t highestFencing = 0;          // orders with a lower number are refused from now on
    bool checksFencing = false;
};

enum class Resolution {
    Open, // the order may still arrive or is under way
    Loaded,
    Ended, // it has no effect now and never will
};

// What `report` says about the order behind `place`.
Resolution plannerResolve(const Place&, const EndpointReport&, const PlannerOptions&);

// Loads under way, of models or of adapters.
size_t plannerLoading(const Planner&, bool adapters);

} // namespace rattanshunt::placement

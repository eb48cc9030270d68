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
struct PlacementModelState {
    std::string name;
    std::string pool;
    std::string base; // for an adapter: the model that it adapts; else empty
    int64_t bytes = 0;
    int maxReplicas = 1;
    int minReplicas = 0;
    base::Duration idleTime { 0 };

    std::vector<PlacedReplica> placedReplicas; // as in the record
    bool hasPendingWrite = false;              // a change to its record is being written

    size_t waitingCount = 0;                                                  // requests that wait for a replica
    resources::PriorityClass waitingPriority = resources::PriorityClass::Low; // highest among them
    base::TimePoint waitingSince {};                                          // arrival of the oldest
    std::string waitingAccount;                                               // of the oldest
    double loadPerSlot = 0; // requests in flight for each slot of its replicas
    base::TimePoint lastUsedAt {};
};

struct PlacementEndpointState {
    std::string id;
    std::string pool;
    std::string bootId; // as the endpoint itself last said; empty: not known, so nothing is concluded from it
    int64_t memoryBytes = 0;
    bool isLive = true;  // false: leaving or gone; it gets nothing new
    bool isGone = false; // the platform says that it has ended
    MemoryLedger ledger;
    std::map<std::string, CheckpointTier> cachedCheckpoints; // checkpoints near it
    bool hasPendingWrite = false;                            // a change to its ledger is being written
};

struct PlacementOptions {
    size_t maxStoreLoads = 4;             // loads of models at once
    size_t maxAdapterLoads = 30;          // loads of adapters at once, over all endpoints
    double scaleUpLoadPerSlot = 0.85;     // a model with more load gets another replica
    base::Seconds evictionGrace { 2 };    // a model used so recently is not evicted for another
    bool ordersByPriority = true;         // off: first come, first served, for comparison
    bool prefersCachedCheckpoints = true; // off: ignores where checkpoints are, for comparison
    bool unloadsIdleModels = true;        // unload after the idle time even if nobody needs the memory
    bool keepsUnresolvedOrders = true;    // switched off only by tests that show what it prevents
};

// ---- [2] Planner -------------------------------------------------------------------------------

struct PlacementPlanner {
    PlacementOptions options;
    std::map<std::string, PlacementModelState> models;
    std::map<std::string, PlacementEndpointState> endpoints;
    std::map<std::string, double> loadedBytesByAccount; // loaded for each account, for fairness among equals
};

// ---- [3] Decisions -----------------------------------------------------------------------------

enum class PlacementChangeKind { Load, Unload, Forget }; // drop a place whose endpoint has started anew or is gone

struct PlacementChange {
    PlacementChangeKind kind = PlacementChangeKind::Load;
    std::string model;
    std::string endpoint;
    std::string orderId; // of the place, for Unload and Forget
    std::string reason;
};

// The most urgent change that can be made now, or nothing. Does not alter the planner.
std::optional<PlacementChange> placementNextChange(const PlacementPlanner&, base::TimePoint now);

// Makes the records' content after `change`. False if it no longer applies: memory, count or state forbid it.
bool placementApplyChange(const PlacementPlanner&, const PlacementChange&, const std::string& orderId, int64_t fencing,
    ModelRecord&, MemoryLedger&);

// ---- [4] Reports -------------------------------------------------------------------------------

// What an endpoint says about itself.
struct EndpointReport {
    std::string bootId;
    std::set<std::string> loadedOrders;  // load orders whose model is in memory now
    std::set<std::string> loadingOrders; // load orders that were accepted and are under way
    std::set<std::string> endedOrders;   // orders that failed, were refused as fenced, or were unloaded
    int64_t highestFencingToken = 0;     // orders with a lower number are refused from now on
    bool checksFencing = false;
};

enum class OrderResolution {
    Pending, // the order may still arrive or is under way
    Loaded,
    Ended, // it has no effect now and never will
};

// What `report` says about the order behind `place`.
OrderResolution placementResolveOrder(const PlacedReplica&, const EndpointReport&, const PlacementOptions&);

// Loads under way, of models or of adapters.
size_t placementLoadingCount(const PlacementPlanner&, bool adapters);

} // namespace rattanshunt::placement

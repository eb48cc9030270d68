// Decides which models to load and unload on which endpoints, for all models of one weight store.
//
// Contents
//   [1] Input           PlacementModelState, PlacementEndpointState, PlacementOptions
//   [2] Planner         PlacementPlanner: the state that the owner keeps
//   [3] Decisions       placementNextChange(), placementApplyChange(): the next change to the records
//   [4] Reports         placementResolveOrder(): the state of an order according to an endpoint's report
//
// One daemon, the owner, makes all decisions. Loads share one queue for the weight store. It is ordered by priority
// class, then by how long requests have waited; among equals, the account for which the fewest bytes have been loaded
// comes first. A model that is not loaded gets one decision, however many daemons report demand for it. The endpoint
// with the fastest access to the checkpoint is preferred.
//
// No I/O and no locking. Not thread-safe: the caller serializes access to a PlacementPlanner.
//
// Q: Why was a model placed on its endpoint?
// A: See PlacementChange::reason, the log event "placement.load" and `explain model`.
//
// Q: Why is a model not unloaded?
// A: It is kept while requests wait or run, for its idle time after the last request, and longer if no other model
//    needs the memory and `unloadsIdleModels` is off.
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

// What the planner knows about one model or adapter.
struct PlacementModelState {
    std::string name;
    std::string pool;
    std::string base;  // the model that an adapter applies to; empty for a model
    int64_t bytes = 0; // of endpoint memory, per replica
    int maxReplicas = 1;
    int minReplicas = 0;
    base::Duration idleTime { 0 }; // unloaded after this long without a request

    std::vector<PlacedReplica> placedReplicas; // as in the model record
    bool hasPendingWrite = false;              // a change to its record is in flight

    size_t waitingCount = 0;                                                  // requests that wait for a replica
    resources::PriorityClass waitingPriority = resources::PriorityClass::Low; // highest of these requests
    base::TimePoint waitingSince {};                                          // arrival of the oldest of them
    std::string waitingAccount;                                               // account of the oldest of them
    double loadPerSlot = 0; // requests in flight per batch slot of its ready replicas
    base::TimePoint lastUsedAt {};
};

struct PlacementEndpointState {
    std::string id;
    std::string pool;
    std::string bootId; // from the endpoint's last report; empty: no report yet, so nothing is concluded
    int64_t memoryBytes = 0;
    bool isLive = true;  // false: leaving or gone; gets no new replicas
    bool isGone = false; // the platform's instance list says that it has ended
    MemoryLedger ledger;
    std::map<std::string, CheckpointTier> cachedCheckpoints; // by model; not listed: Remote
    bool hasPendingWrite = false;                            // a change to its ledger is in flight
};

struct PlacementOptions {
    size_t maxStoreLoads = 4;             // concurrent loads of models
    size_t maxAdapterLoads = 30;          // concurrent loads of adapters, on all endpoints together
    double scaleUpLoadPerSlot = 0.85;     // a model with a higher loadPerSlot gets another replica
    base::Seconds evictionGrace { 2 };    // a model used this recently is not evicted
    bool ordersByPriority = true;         // off: first come, first served; for comparison
    bool prefersCachedCheckpoints = true; // off: ignores where checkpoints are cached; for comparison
    bool unloadsIdleModels = true;        // unload after the idle time even if no other model needs the memory
    bool keepsUnresolvedOrders = true;    // off only in tests that show what it prevents
};

// ---- [2] Planner -------------------------------------------------------------------------------

struct PlacementPlanner {
    PlacementOptions options;
    std::map<std::string, PlacementModelState> models;
    std::map<std::string, PlacementEndpointState> endpoints;
    std::map<std::string, double> loadedBytesByAccount; // for fairness among equally urgent models
};

// ---- [3] Decisions -----------------------------------------------------------------------------

// Forget removes a replica from the records: its load failed, it was unloaded, or its endpoint restarted or is gone.
enum class PlacementChangeKind { Load, Unload, Forget };

struct PlacementChange {
    PlacementChangeKind kind = PlacementChangeKind::Load;
    std::string model;
    std::string endpoint;
    std::string orderId; // load order of the replica, for Unload and Forget
    std::string reason;
};

// Returns the most urgent change that can be made now, if any. Does not modify the planner.
std::optional<PlacementChange> placementNextChange(const PlacementPlanner&, base::TimePoint now);

// Computes the records as they are after the change. `orderId` and `fencingToken` belong to the order that follows.
// Returns false if memory, replica count or state no longer allow the change. Does not modify the planner.
bool placementApplyChange(const PlacementPlanner&, const PlacementChange&, const std::string& orderId,
    int64_t fencingToken, ModelRecord&, MemoryLedger&);

// ---- [4] Reports -------------------------------------------------------------------------------

// An endpoint's report about itself.
struct EndpointReport {
    std::string bootId;
    std::set<std::string> loadedOrders;  // load orders whose model is in memory
    std::set<std::string> loadingOrders; // load orders that were accepted and are in progress
    std::set<std::string> endedOrders;   // load orders that failed, were fenced off, or whose model was unloaded
    int64_t highestFencingToken = 0;     // orders with a lower token are refused from now on
    bool checksFencing = false;
};

enum class OrderResolution {
    Pending, // the order may still arrive or is in progress
    Loaded,
    Ended, // it has no effect now and cannot have one later
};

// Returns the state of a replica's load order according to the endpoint's report.
OrderResolution placementResolveOrder(const PlacedReplica&, const EndpointReport&, const PlacementOptions&);

// Returns the number of replicas being loaded, of adapters if `ofAdapters`, else of models.
size_t placementLoadingCount(const PlacementPlanner&, bool ofAdapters);

} // namespace rattanshunt::placement

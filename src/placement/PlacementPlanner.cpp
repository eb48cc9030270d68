#include "placement/PlacementPlanner.h"

#include <algorithm>

namespace rattanshunt::placement {

namespace {

    size_t replicaCount(const PlacementModelState& model, PlacedReplicaState state)
    {
        return static_cast<size_t>(std::count_if(model.placedReplicas.begin(), model.placedReplicas.end(),
            [&](const PlacedReplica& replica) { return replica.state == state; }));
    }

    bool isAdapter(const PlacementModelState& model)
    {
        return !model.base.empty();
    }

    bool hasReplicaOn(const PlacementModelState& model, const std::string& endpoint)
    {
        return std::any_of(model.placedReplicas.begin(), model.placedReplicas.end(),
            [&](const PlacedReplica& replica) { return replica.endpoint == endpoint; });
    }

    bool hasReadyReplicaOn(const PlacementModelState& model, const std::string& endpoint)
    {
        return std::any_of(model.placedReplicas.begin(), model.placedReplicas.end(), [&](const PlacedReplica& replica) {
            return replica.endpoint == endpoint && replica.state == PlacedReplicaState::Ready;
        });
    }

    // Returns true if requests wait for a first replica or the model has fewer ready replicas than its minimum.
    bool needsReplica(const PlacementModelState& model)
    {
        if (model.hasPendingWrite || static_cast<int>(model.placedReplicas.size()) >= model.maxReplicas)
            return false;
        if (replicaCount(model, PlacedReplicaState::Loading))
            return false;
        size_t ready = replicaCount(model, PlacedReplicaState::Ready);
        return (model.waitingCount && !ready) || static_cast<int>(ready) < model.minReplicas;
    }

    bool isOverloaded(const PlacementModelState& model, const PlacementOptions& options)
    {
        return !model.hasPendingWrite && static_cast<int>(model.placedReplicas.size()) < model.maxReplicas
            && !replicaCount(model, PlacedReplicaState::Loading) && replicaCount(model, PlacedReplicaState::Ready)
            && model.loadPerSlot > options.scaleUpLoadPerSlot;
    }

    double loadedBytesFor(const PlacementPlanner& planner, const PlacementModelState& model)
    {
        auto found = planner.loadedBytesByAccount.find(model.waitingAccount);
        return found == planner.loadedBytesByAccount.end() ? 0 : found->second;
    }

    bool isMoreUrgent(const PlacementPlanner& planner, const PlacementModelState& a, const PlacementModelState& b)
    {
        bool aWaits = a.waitingCount > 0;
        bool bWaits = b.waitingCount > 0;
        if (aWaits != bWaits)
            return aWaits;
        if (planner.options.ordersByPriority) {
            if (a.waitingPriority != b.waitingPriority)
                return a.waitingPriority > b.waitingPriority;
            base::Duration ageDifference = a.waitingSince - b.waitingSince;
            // Requests of one burst, less than 1 s apart, count as equally old, so that fairness among accounts
            // decides.
            bool areSameAge = ageDifference > -base::Seconds(1) && ageDifference < base::Seconds(1);
            double aLoadedBytes = loadedBytesFor(planner, a);
            double bLoadedBytes = loadedBytesFor(planner, b);
            if (areSameAge && aLoadedBytes != bLoadedBytes)
                return aLoadedBytes < bLoadedBytes;
        }
        if (a.waitingSince != b.waitingSince)
            return a.waitingSince < b.waitingSince;
        return a.name < b.name;
    }

    std::vector<const PlacementModelState*> modelsByUrgency(const PlacementPlanner& planner)
    {
        std::vector<const PlacementModelState*> candidates;
        for (auto& [name, model] : planner.models) {
            if (needsReplica(model) || isOverloaded(model, planner.options))
                candidates.push_back(&model);
        }
        std::sort(candidates.begin(), candidates.end(),
            [&](const PlacementModelState* a, const PlacementModelState* b) { return isMoreUrgent(planner, *a, *b); });
        return candidates;
    }

    bool mayHost(
        const PlacementPlanner& planner, const PlacementModelState& model, const PlacementEndpointState& endpoint)
    {
        if (endpoint.bootId.empty() || !endpoint.isLive || endpoint.hasPendingWrite || endpoint.pool != model.pool
            || hasReplicaOn(model, endpoint.id))
            return false;
        if (!isAdapter(model))
            return true;
        auto base = planner.models.find(model.base);
        return base != planner.models.end() && hasReadyReplicaOn(base->second, endpoint.id);
    }

    int64_t freeBytes(const PlacementEndpointState& endpoint)
    {
        if (endpoint.ledger.bootId != endpoint.bootId && endpoint.ledger.reservations.empty())
            return endpoint.memoryBytes;
        return endpoint.memoryBytes - memoryLedgerReservedBytes(endpoint.ledger);
    }

    CheckpointTier checkpointTierOn(
        const PlacementPlanner& planner, const PlacementModelState& model, const PlacementEndpointState& endpoint)
    {
        auto found = endpoint.cachedCheckpoints.find(model.name);
        if (!planner.options.prefersCachedCheckpoints || found == endpoint.cachedCheckpoints.end())
            return CheckpointTier::Remote;
        return found->second;
    }

    // Returns true if a replica of the model may be unloaded: no request waits for it or uses it, nor an adapter of it,
    // it was not used within the eviction grace, and it has more ready replicas than its minimum.
    bool isEvictable(const PlacementPlanner& planner, const PlacementModelState& model, base::TimePoint now)
    {
        if (model.hasPendingWrite || model.waitingCount || model.loadPerSlot > 0)
            return false;
        if (now - model.lastUsedAt < planner.options.evictionGrace)
            return false;
        if (static_cast<int>(replicaCount(model, PlacedReplicaState::Ready)) <= model.minReplicas)
            return false;
        for (auto& [name, adapter] : planner.models) {
            bool isInUse = adapter.base == model.name && (adapter.waitingCount || adapter.loadPerSlot > 0);
            if (isInUse)
                return false;
        }
        return true;
    }

    // Returns an adapter of `model` on `endpoint`, if any. Adapters must be unloaded before their base model.
    const PlacementModelState* adapterOn(
        const PlacementPlanner& planner, const PlacementModelState& model, const std::string& endpoint)
    {
        for (auto& [name, adapter] : planner.models) {
            if (adapter.base == model.name && hasReplicaOn(adapter, endpoint))
                return &adapter;
        }
        return nullptr;
    }

    std::optional<PlacementChange> unloadChange(const PlacementPlanner& planner, const PlacementModelState& model,
        const PlacedReplica& replica, const char* reason)
    {
        const PlacementModelState* adapter = adapterOn(planner, model, replica.endpoint);
        if (!adapter)
            return PlacementChange { PlacementChangeKind::Unload, model.name, replica.endpoint, replica.orderId,
                reason };
        for (const PlacedReplica& adapterReplica : adapter->placedReplicas) {
            if (adapterReplica.endpoint == replica.endpoint && adapterReplica.state == PlacedReplicaState::Ready
                && !adapter->hasPendingWrite)
                return PlacementChange { PlacementChangeKind::Unload, adapter->name, adapterReplica.endpoint,
                    adapterReplica.orderId, reason };
        }
        return std::nullopt;
    }

    std::optional<PlacementChange> evictionChange(
        const PlacementPlanner& planner, const PlacementModelState& model, base::TimePoint now)
    {
        const PlacementModelState* lruModel = nullptr;
        const PlacedReplica* lruReplica = nullptr;
        for (auto& item : planner.endpoints) {
            const PlacementEndpointState& endpoint = item.second;
            bool isUnloading = false;
            for (auto& [name, other] : planner.models)
                isUnloading |= std::any_of(
                    other.placedReplicas.begin(), other.placedReplicas.end(), [&](const PlacedReplica& replica) {
                        return replica.endpoint == endpoint.id && replica.state == PlacedReplicaState::Unloading;
                    });
            // Memory is already being freed on a suitable endpoint: wait for it instead of evicting more.
            if (isUnloading && mayHost(planner, model, endpoint))
                return std::nullopt;
        }
        for (auto& [name, other] : planner.models) {
            if (name == model.name || !isEvictable(planner, other, now)
                || (lruModel && other.lastUsedAt >= lruModel->lastUsedAt))
                continue;
            for (const PlacedReplica& replica : other.placedReplicas) {
                auto endpoint = planner.endpoints.find(replica.endpoint);
                if (replica.state != PlacedReplicaState::Ready || endpoint == planner.endpoints.end()
                    || !mayHost(planner, model, endpoint->second))
                    continue;
                lruModel = &other;
                lruReplica = &replica;
            }
        }
        if (!lruModel)
            return std::nullopt;
        return unloadChange(planner, *lruModel, *lruReplica, "evicted");
    }

    std::optional<PlacementChange> loadChange(const PlacementPlanner& planner, const PlacementModelState& model)
    {
        const PlacementEndpointState* best = nullptr;
        for (auto& [id, endpoint] : planner.endpoints) {
            if (!mayHost(planner, model, endpoint) || freeBytes(endpoint) < model.bytes)
                continue;
            if (!best) {
                best = &endpoint;
                continue;
            }
            CheckpointTier bestTier = checkpointTierOn(planner, model, *best);
            CheckpointTier tier = checkpointTierOn(planner, model, endpoint);
            if (tier > bestTier || (tier == bestTier && freeBytes(endpoint) > freeBytes(*best)))
                best = &endpoint;
        }
        if (!best)
            return std::nullopt;
        static constexpr const char* tierNames[] = { "most_memory_free", "checkpoint_on_disk", "checkpoint_in_memory" };
        return PlacementChange { PlacementChangeKind::Load, model.name, best->id, "",
            tierNames[static_cast<int>(checkpointTierOn(planner, model, *best))] };
    }

    std::optional<PlacementChange> forgetEnded(const PlacementPlanner& planner)
    {
        for (auto& [name, model] : planner.models) {
            if (model.hasPendingWrite)
                continue;
            for (const PlacedReplica& replica : model.placedReplicas) {
                auto endpoint = planner.endpoints.find(replica.endpoint);
                if (endpoint != planner.endpoints.end() && endpoint->second.hasPendingWrite)
                    continue;
                if (endpoint == planner.endpoints.end())
                    continue;
                if (endpoint->second.isGone
                    || (!endpoint->second.bootId.empty() && endpoint->second.bootId != replica.bootId))
                    return PlacementChange { PlacementChangeKind::Forget, name, replica.endpoint, replica.orderId,
                        "endpoint_restarted" };
            }
        }
        return std::nullopt;
    }

    // Unloads models from leaving endpoints. These get no new requests, so the models should be loaded elsewhere.
    std::optional<PlacementChange> unloadLeaving(const PlacementPlanner& planner)
    {
        for (auto& [name, model] : planner.models) {
            if (model.hasPendingWrite)
                continue;
            for (const PlacedReplica& replica : model.placedReplicas) {
                auto endpoint = planner.endpoints.find(replica.endpoint);
                bool mayUnload = endpoint != planner.endpoints.end() && !endpoint->second.isLive
                    && !endpoint->second.hasPendingWrite && replica.state == PlacedReplicaState::Ready;
                if (!mayUnload)
                    continue;
                if (auto change = unloadChange(planner, model, replica, "endpoint_leaving"))
                    return change;
            }
        }
        return std::nullopt;
    }

    std::optional<PlacementChange> unloadIdle(const PlacementPlanner& planner, base::TimePoint now)
    {
        if (!planner.options.unloadsIdleModels)
            return std::nullopt;
        for (auto& [name, model] : planner.models) {
            if (!isEvictable(planner, model, now) || now - model.lastUsedAt < model.idleTime)
                continue;
            for (const PlacedReplica& replica : model.placedReplicas) {
                auto endpoint = planner.endpoints.find(replica.endpoint);
                bool isBusy = endpoint != planner.endpoints.end() && endpoint->second.hasPendingWrite;
                if (replica.state != PlacedReplicaState::Ready || isBusy)
                    continue;
                if (auto change = unloadChange(planner, model, replica, "idle"))
                    return change;
            }
        }
        return std::nullopt;
    }

    void removeReservation(MemoryLedger& ledger, const std::string& orderId)
    {
        std::erase_if(
            ledger.reservations, [&](const Reservation& reservation) { return reservation.orderId == orderId; });
    }

} // namespace

size_t placementLoadingCount(const PlacementPlanner& planner, bool ofAdapters)
{
    size_t count = 0;
    for (auto& [name, model] : planner.models) {
        if (isAdapter(model) == ofAdapters)
            count += replicaCount(model, PlacedReplicaState::Loading);
    }
    return count;
}

std::optional<PlacementChange> placementNextChange(const PlacementPlanner& planner, base::TimePoint now)
{
    if (auto change = forgetEnded(planner))
        return change;
    if (auto change = unloadLeaving(planner))
        return change;
    bool isStoreLimitReached = placementLoadingCount(planner, false) >= planner.options.maxStoreLoads;
    bool isAdapterLimitReached = placementLoadingCount(planner, true) >= planner.options.maxAdapterLoads;
    for (const PlacementModelState* model : modelsByUrgency(planner)) {
        if (isAdapter(*model) ? isAdapterLimitReached : isStoreLimitReached)
            continue;
        if (auto change = loadChange(planner, *model))
            return change;
        // An overloaded model that has a replica does not evict another model's only replica.
        if (!needsReplica(*model))
            continue;
        if (auto change = evictionChange(planner, *model, now))
            return change;
    }
    return unloadIdle(planner, now);
}

bool placementApplyChange(const PlacementPlanner& planner, const PlacementChange& change, const std::string& orderId,
    int64_t fencingToken, ModelRecord& record, MemoryLedger& ledger)
{
    auto model = planner.models.find(change.model);
    auto endpoint = planner.endpoints.find(change.endpoint);
    if (model == planner.models.end() || endpoint == planner.endpoints.end())
        return false;
    record.placedReplicas = model->second.placedReplicas;
    record.operation = orderId;
    ledger = endpoint->second.ledger;
    ledger.operation = orderId;
    auto replica
        = std::find_if(record.placedReplicas.begin(), record.placedReplicas.end(), [&](const PlacedReplica& item) {
              return item.endpoint == change.endpoint && (change.orderId.empty() || item.orderId == change.orderId);
          });
    if (change.kind == PlacementChangeKind::Load) {
        if (ledger.bootId != endpoint->second.bootId && ledger.reservations.empty())
            ledger.bootId = endpoint->second.bootId;
        bool fits = memoryLedgerReservedBytes(ledger) + model->second.bytes <= endpoint->second.memoryBytes;
        bool isAllowed = static_cast<int>(record.placedReplicas.size()) < model->second.maxReplicas
            && replica == record.placedReplicas.end();
        if (!fits || !isAllowed || ledger.bootId != endpoint->second.bootId)
            return false;
        record.placedReplicas.push_back(
            { change.endpoint, endpoint->second.bootId, orderId, fencingToken, PlacedReplicaState::Loading });
        ledger.reservations.push_back({ change.model, model->second.bytes, orderId });
        return true;
    }
    if (replica == record.placedReplicas.end())
        return false;
    if (change.kind == PlacementChangeKind::Unload) {
        replica->state = PlacedReplicaState::Unloading;
        return true;
    }
    removeReservation(ledger, replica->orderId);
    record.placedReplicas.erase(replica);
    return true;
}

OrderResolution placementResolveOrder(
    const PlacedReplica& replica, const EndpointReport& report, const PlacementOptions& options)
{
    // After a restart the endpoint's memory is empty, and orders sent to the former start cannot reach it.
    if (report.bootId != replica.bootId)
        return OrderResolution::Ended;
    if (report.loadedOrders.contains(replica.orderId))
        return OrderResolution::Loaded;
    if (report.loadingOrders.contains(replica.orderId))
        return OrderResolution::Pending;
    if (report.endedOrders.contains(replica.orderId))
        return OrderResolution::Ended;
    if (report.checksFencing && report.highestFencingToken > replica.fencingToken)
        return OrderResolution::Ended;
    return options.keepsUnresolvedOrders ? OrderResolution::Pending : OrderResolution::Ended;
}

} // namespace rattanshunt::placement

#include "placement/PlacementPlanner.h"

#include <algorithm>

namespace rattanshunt::placement {

namespace {

    size_t placesIn(const PlannerModel& model, PlaceState state)
    {
        return static_cast<size_t>(std::count_if(
            model.places.begin(), model.places.end(), [&](const Place& place) { return place.state == state; }));
    }

    bool isAdapter(const PlannerModel& model)
    {
        return !model.base.empty();
    }

    bool hasPlaceOn(const PlannerModel& model, const std::string& endpoint)
    {
        return std::any_of(
            model.places.begin(), model.places.end(), [&](const Place& place) { return place.endpoint == endpoint; });
    }

    bool hasReadyOn(const PlannerModel& model, const std::string& endpoint)
    {
        return std::any_of(model.places.begin(), model.places.end(),
            [&](const Place& place) { return place.endpoint == endpoint && place.state == PlaceState::Ready; });
    }

    // Waits for a first replica, is short of its minimum, or is crowded.
    bool wantsReplica(const PlannerModel& model)
    {
        if (model.isBusy || static_cast<int>(model.places.size()) >= model.replicas)
            return false;
        if (placesIn(model, PlaceState::Loading))
            return false;
        size_t ready = placesIn(model, PlaceState::Ready);
        return (model.waitingCount && !ready) || static_cast<int>(ready) < model.minReplicas;
    }

    bool isCrowded(const PlannerModel& model, const PlannerOptions& options)
    {
        return !model.isBusy && static_cast<int>(model.places.size()) < model.replicas
            && !placesIn(model, PlaceState::Loading) && placesIn(model, PlaceState::Ready)
            && model.load > options.scaleUpLoad;
    }

    double servedFor(const Planner& planner, const PlannerModel& model)
    {
        auto found = planner.servedBytes.find(model.waitingAccount);
        return found == planner.servedBytes.end() ? 0 : found->second;
    }

    bool isMoreUrgent(const Planner& planner, const PlannerModel& a, const PlannerModel& b)
    {
        bool aWaits = a.waitingCount > 0;
        bool bWaits = b.waitingCount > 0;
        if (aWaits != bWaits)
            return aWaits;
        if (planner.options.ordersByValue) {
            if (a.waitingValue != b.waitingValue)
                return a.waitingValue > b.waitingValue;
            base::Duration apart = a.waitingSince - b.waitingSince;
            // Requests of one burst count as equally old, so that fairness among accounts decides.
            bool areSameAge = apart > -base::Seconds(1) && apart < base::Seconds(1);
            double aServed = servedFor(planner, a);
            double bServed = servedFor(planner, b);
            if (areSameAge && aServed != bServed)
                return aServed < bServed;
        }
        if (a.waitingSince != b.waitingSince)
            return a.waitingSince < b.waitingSince;
        return a.name < b.name;
    }

    std::vector<const PlannerModel*> urgentModels(const Planner& planner)
    {
        std::vector<const PlannerModel*> wanted;
        for (auto& [name, model] : planner.models) {
            if (wantsReplica(model) || isCrowded(model, planner.options))
                wanted.push_back(&model);
        }
        std::sort(wanted.begin(), wanted.end(),
            [&](const PlannerModel* a, const PlannerModel* b) { return isMoreUrgent(planner, *a, *b); });
        return wanted;
    }

    bool mayHost(const Planner& planner, const PlannerModel& model, const PlannerEndpoint& endpoint)
    {
        if (endpoint.boot.empty() || !endpoint.isLive || endpoint.isBusy || endpoint.pool != model.pool
            || hasPlaceOn(model, endpoint.id))
            return false;
        if (!isAdapter(model))
            return true;
        auto base = planner.models.find(model.base);
        return base != planner.models.end() && hasReadyOn(base->second, endpoint.id);
    }

    int64_t freeBytes(const PlannerEndpoint& endpoint)
    {
        if (endpoint.ledger.boot != endpoint.boot && endpoint.ledger.reservations.empty())
            return endpoint.memoryBytes;
        return endpoint.memoryBytes - ledgerBytes(endpoint.ledger);
    }

    CheckpointTier tierOn(const Planner& planner, const PlannerModel& model, const PlannerEndpoint& endpoint)
    {
        auto found = endpoint.cached.find(model.name);
        if (!planner.options.sparesNear || found == endpoint.cached.end())
            return CheckpointTier::Remote;
        return found->second;
    }

    // True if the model may be taken out of memory now: nobody waits for it or uses it.
    bool isEvictable(const Planner& planner, const PlannerModel& model, base::TimePoint now)
    {
        if (model.isBusy || model.waitingCount || model.load > 0)
            return false;
        if (now - model.lastUsed < planner.options.evictionGrace)
            return false;
        if (static_cast<int>(placesIn(model, PlaceState::Ready)) <= model.minReplicas)
            return false;
        for (auto& [name, adapter] : planner.models) {
            bool isInUse = adapter.base == model.name && (adapter.waitingCount || adapter.load > 0);
            if (isInUse)
                return false;
        }
        return true;
    }

    // Adapters go before the model under them.
    const PlannerModel* adapterOn(const Planner& planner, const PlannerModel& model, const std::string& endpoint)
    {
        for (auto& [name, adapter] : planner.models) {
            if (adapter.base == model.name && hasPlaceOn(adapter, endpoint))
                return &adapter;
        }
        return nullptr;
    }

    std::optional<Change> unloadChange(
        const Planner& planner, const PlannerModel& model, const Place& place, const char* reason)
    {
        const PlannerModel* adapter = adapterOn(planner, model, place.endpoint);
        if (!adapter)
            return Change { ChangeKind::Unload, model.name, place.endpoint, place.order, reason };
        for (const Place& above : adapter->places) {
            if (above.endpoint == place.endpoint && above.state == PlaceState::Ready && !adapter->isBusy)
                return Change { ChangeKind::Unload, adapter->name, above.endpoint, above.order, reason };
        }
        return std::nullopt;
    }

    std::optional<Change> evictFor(const Planner& planner, const PlannerModel& model, base::TimePoint now)
    {
        const PlannerModel* oldest = nullptr;
        const Place* oldestPlace = nullptr;
        for (auto& item : planner.endpoints) {
            const PlannerEndpoint& endpoint = item.second;
            bool isFreeing = false;
            for (auto& [name, other] : planner.models)
                isFreeing |= std::any_of(other.places.begin(), other.places.end(), [&](const Place& place) {
                    return place.endpoint == endpoint.id && place.state == PlaceState::Unloading;
                });
            // Memory is on its way there already: wait for it instead of evicting more.
            if (isFreeing && mayHost(planner, model, endpoint))
                return std::nullopt;
        }
        for (auto& [name, other] : planner.models) {
            if (name == model.name || !isEvictable(planner, other, now)
                || (oldest && other.lastUsed >= oldest->lastUsed))
                continue;
            for (const Place& place : other.places) {
                auto endpoint = planner.endpoints.find(place.endpoint);
                if (place.state != PlaceState::Ready || endpoint == planner.endpoints.end()
                    || !mayHost(planner, model, endpoint->second))
                    continue;
                oldest = &other;
                oldestPlace = &place;
            }
        }
        if (!oldest)
            return std::nullopt;
        return unloadChange(planner, *oldest, *oldestPlace, "evicted");
    }

    std::optional<Change> loadChange(const Planner& planner, const PlannerModel& model)
    {
        const PlannerEndpoint* best = nullptr;
        for (auto& [id, endpoint] : planner.endpoints) {
            if (!mayHost(planner, model, endpoint) || freeBytes(endpoint) < model.bytes)
                continue;
            if (!best) {
                best = &endpoint;
                continue;
            }
            CheckpointTier bestTier = tierOn(planner, model, *best);
            CheckpointTier tier = tierOn(planner, model, endpoint);
            if (tier > bestTier || (tier == bestTier && freeBytes(endpoint) > freeBytes(*best)))
                best = &endpoint;
        }
        if (!best)
            return std::nullopt;
        static constexpr const char* tierNames[] = { "most_memory_free", "checkpoint_on_disk", "checkpoint_in_memory" };
        return Change { ChangeKind::Load, model.name, best->id, "",
            tierNames[static_cast<int>(tierOn(planner, model, *best))] };
    }

    std::optional<Change> forgetGone(const Planner& planner)
    {
        for (auto& [name, model] : planner.models) {
            if (model.isBusy)
                continue;
            for (const Place& place : model.places) {
                auto endpoint = planner.endpoints.find(place.endpoint);
                if (endpoint != planner.endpoints.end() && endpoint->second.isBusy)
                    continue;
                if (endpoint == planner.endpoints.end())
                    continue;
                if (endpoint->second.isGone || (!endpoint->second.boot.empty() && endpoint->second.boot != place.boot))
                    return Change { ChangeKind::Forget, name, place.endpoint, place.order, "endpoint_restarted" };
            }
        }
        return std::nullopt;
    }

    // A leaving endpoint gets no new requests, so its models are better loaded elsewhere.
    std::optional<Change> unloadLeaving(const Planner& planner)
    {
        for (auto& [name, model] : planner.models) {
            if (model.isBusy)
                continue;
            for (const Place& place : model.places) {
                auto endpoint = planner.endpoints.find(place.endpoint);
                bool mayUnload = endpoint != planner.endpoints.end() && !endpoint->second.isLive
                    && !endpoint->second.isBusy && place.state == PlaceState::Ready;
                if (!mayUnload)
                    continue;
                if (auto change = unloadChange(planner, model, place, "endpoint_leaving"))
                    return change;
            }
        }
        return std::nullopt;
    }

    std::optional<Change> unloadIdle(const Planner& planner, base::TimePoint now)
    {
        if (!planner.options.unloadsIdle)
            return std::nullopt;
        for (auto& [name, model] : planner.models) {
            if (!isEvictable(planner, model, now) || now - model.lastUsed < model.idleTime)
                continue;
            for (const Place& place : model.places) {
                auto endpoint = planner.endpoints.find(place.endpoint);
                bool isBusy = endpoint != planner.endpoints.end() && endpoint->second.isBusy;
                if (place.state != PlaceState::Ready || isBusy)
                    continue;
                if (auto change = unloadChange(planner, model, place, "idle"))
                    return change;
            }
        }
        return std::nullopt;
    }

    void dropReservation(Ledger& ledger, const std::string& order)
    {
        std::erase_if(ledger.reservations, [&](const Reservation& reservation) { return reservation.order == order; });
    }

} // namespace

size_t plannerLoading(const Planner& planner, bool adapters)
{
    size_t count = 0;
    for (auto& [name, model] : planner.models) {
        if (isAdapter(model) == adapters)
            count += placesIn(model, PlaceState::Loading);
    }
    return count;
}

std::optional<Change> plannerNext(const Planner& planner, base::TimePoint now)
{
    if (auto change = forgetGone(planner))
        return change;
    if (auto change = unloadLeaving(planner))
        return change;
    bool storeIsFull = plannerLoading(planner, false) >= planner.options.storeLoads;
    bool adaptersAreFull = plannerLoading(planner, true) >= planner.options.adapterLoads;
    for (const PlannerModel* model : urgentModels(planner)) {
        if (isAdapter(*model) ? adaptersAreFull : storeIsFull)
            continue;
        if (auto change = loadChange(planner, *model))
            return change;
        // A crowded model does not evict another one's only replica.
        if (!wantsReplica(*model))
            continue;
        if (auto change = evictFor(planner, *model, now))
            return change;
    }
    return unloadIdle(planner, now);
}

bool plannerPrepare(const Planner& planner, const Change& change, const std::string& orderId, int64_t fencing,
    ModelRecord& record, Ledger& ledger)
{
    auto model = planner.models.find(change.model);
    auto endpoint = planner.endpoints.find(change.endpoint);
    if (model == planner.models.end() || endpoint == planner.endpoints.end())
        return false;
    record.places = model->second.places;
    record.operation = orderId;
    ledger = endpoint->second.ledger;
    ledger.operation = orderId;
    auto place = std::find_if(record.places.begin(), record.places.end(), [&](const Place& item) {
        return item.endpoint == change.endpoint && (change.order.empty() || item.order == change.order);
    });
    if (change.kind == ChangeKind::Load) {
        if (ledger.boot != endpoint->second.boot && ledger.reservations.empty())
            ledger.boot = endpoint->second.boot;
        bool fits = ledgerBytes(ledger) + model->second.bytes <= endpoint->second.memoryBytes;
        bool isAllowed
            = static_cast<int>(record.places.size()) < model->second.replicas && place == record.places.end();
        if (!fits || !isAllowed || ledger.boot != endpoint->second.boot)
            return false;
        record.places.push_back({ change.endpoint, endpoint->second.boot, orderId, fencing, PlaceState::Loading });
        ledger.reservations.push_back({ change.model, model->second.bytes, orderId });
        return true;
    }
    if (place == record.places.end())
        return false;
    if (change.kind == ChangeKind::Unload) {
        place->state = PlaceState::Unloading;
        return true;
    }
    dropReservation(ledger, place->order);
    record.places.erase(place);
    return true;
}

Resolution plannerResolve(const Place& place, const EndpointReport& report, const PlannerOptions& options)
{
    // A new start has an empty memory, and orders sent to the former one cannot reach it.
    if (report.boot != place.boot)
        return Resolution::Ended;
    if (report.loadedOrders.contains(place.order))
        return Resolution::Loaded;
    if (report.loadingOrders.contains(place.order))
        return Resolution::Open;
    if (report.endedOrders.contains(place.order))
        return Resolution::Ended;
    if (report.checksFencing && report.highestFencing > place.fencing)
        return Resolution::Ended;
    return options.keepsUnresolved ? Resolution::Open : Resolution::Ended;
}

} // namespace rattanshunt::placement

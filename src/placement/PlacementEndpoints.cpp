// Sends orders to endpoints and polls their state.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Endpoints -----------------------------------------------------------------------------------

void PlacementService::Impl::sendOrder(
    const std::string& endpointId, const std::string& boot, const endpoints::EngineOrder& order)
{
    EndpointClient& entry = endpointClients[endpointId];
    entry.orderSentAt[order.orderId + (order.action == endpoints::OrderAction::Load ? "" : "/unload")]
        = base::Clock::now();
    auto connection = net::HttpConnection::create(fleet.loop(), entry.address);
    endpoints::OrderOutcome outcome
        = endpoints::engineOrderSend(*connection, order, boot, base::Clock::now() + callTimeout);
    if (outcome != endpoints::OrderOutcome::Accepted)
        base::logEvent(LogLevel::Warning, "placement.order_failed",
            { { "endpoint", endpointId }, { "model", order.model }, { "outcome", static_cast<int>(outcome) } });
    if (outcome == endpoints::OrderOutcome::NotSent)
        endpointClients[endpointId].orderSentAt.erase(order.orderId);
}

std::string PlacementService::Impl::replicaBootId(
    const ModelRecord& record, const PlacementChange& change, const std::string& order)
{
    for (const PlacedReplica& place : record.placedReplicas) {
        if (place.endpoint == change.endpoint && place.orderId == order)
            return place.bootId;
    }
    return {};
}

bool PlacementService::Impl::hasPendingOrders(const std::string& endpointId) const
{
    for (auto& [name, model] : planner.models) {
        for (const PlacedReplica& place : model.placedReplicas) {
            if (place.endpoint == endpointId && place.state != PlacedReplicaState::Ready)
                return true;
        }
    }
    return false;
}

void PlacementService::Impl::pollDueEndpoints(base::TimePoint now)
{
    for (auto& [id, entry] : endpointClients) {
        auto endpoint = planner.endpoints.find(id);
        bool isGone = endpoint == planner.endpoints.end() || endpoint->second.isGone;
        if (isGone || entry.isPolling)
            continue;
        bool isDue = now >= entry.nextPollAt
            || (hasPendingOrders(id) && now + idlePollInterval >= entry.nextPollAt + busyPollInterval);
        if (!isDue)
            continue;
        entry.isPolling = true;
        entry.nextPollAt
            = now + (hasPendingOrders(id) ? base::Duration(busyPollInterval) : base::Duration(idlePollInterval));
        fleet.loop().spawn([self = shared_from_this(), id = id] { self->pollEndpoint(id); });
    }
}

void PlacementService::Impl::pollEndpoint(const std::string& id)
{
    EndpointClient& entry = endpointClients[id];
    if (!entry.connection || !entry.connection->isReusable())
        entry.connection = net::HttpConnection::create(fleet.loop(), entry.address);
    base::TimePoint sentAt = base::Clock::now();
    auto state = endpoints::engineStateFetch(*entry.connection, sentAt + callTimeout);
    entry.isPolling = false;
    if (!state) {
        entry.connection.reset();
        return;
    }
    bool isOutOfDate = entry.lastChangeAt >= sentAt;
    if (!isOwner || isOutOfDate)
        return;
    applyState(id, *state);
    // While an order is in progress, poll again soon instead of at the next regular planning.
    if (hasPendingOrders(id)) {
        net::sleepFor(busyPollInterval);
        schedulePlan();
    }
}

void PlacementService::Impl::applyState(const std::string& id, const endpoints::EngineState& state)
{
    PlacementEndpointState& endpoint = planner.endpoints[id];
    endpoint.bootId = endpointClients[id].reportedBootId = state.report.bootId;
    endpoint.cachedCheckpoints = state.checkpointTiers;
    endpointClients[id].slots = std::max(state.batchSlots, 1);
    endpointClients[id].idleSeconds = state.acceleratorIdleSeconds;
    for (auto& [name, model] : planner.models) {
        if (model.hasPendingWrite || endpoint.hasPendingWrite)
            continue;
        for (const PlacedReplica& place : model.placedReplicas) {
            if (place.endpoint == id && place.state != PlacedReplicaState::Ready) {
                resolveReplica(name, place, state);
                break;
            }
        }
    }
    schedulePlan();
}

void PlacementService::Impl::resolveReplica(
    const std::string& name, const PlacedReplica& place, const endpoints::EngineState& state)
{
    OrderResolution resolution = placementResolveOrder(place, state.report, planner.options);
    bool isEnded = resolution == OrderResolution::Ended;
    if (isEnded) {
        startChange({ PlacementChangeKind::Forget, name, place.endpoint, place.orderId,
            place.state == PlacedReplicaState::Unloading ? "unloaded" : "load_failed" });
        return;
    }
    if (place.state == PlacedReplicaState::Loading && resolution == OrderResolution::Loaded) {
        markReady(name, place);
        return;
    }
    resendOrder(name, place, state);
}

void PlacementService::Impl::resendOrder(
    const std::string& name, const PlacedReplica& place, const endpoints::EngineState& state)
{
    bool isUnload = place.state == PlacedReplicaState::Unloading;
    EndpointClient& entry = endpointClients[place.endpoint];
    // An order of this epoch without an entry in orderSentAt was never sent: its records were written, but the result
    // of the write was not received.
    bool wasNeverSent
        = place.fencingToken / fencingTokensPerEpoch == epoch && !entry.orderSentAt.contains(place.orderId);
    bool mayRepeat = state.report.checksFencing || wasNeverSent;
    if (!isUnload && (!mayRepeat || state.report.loadingOrders.contains(place.orderId)))
        return;
    base::TimePoint& sentAt = entry.orderSentAt[place.orderId + (isUnload ? "/unload" : "")];
    base::TimePoint now = base::Clock::now();
    if (now - sentAt < orderResendInterval)
        return;
    sentAt = now;
    const PlacementModelState& model = planner.models[name];
    endpoints::EngineOrder order { isUnload ? endpoints::OrderAction::Unload : endpoints::OrderAction::Load, name,
        model.base, model.bytes, place.orderId, isUnload ? ++lastFencingToken : place.fencingToken };
    fleet.loop().spawn([self = shared_from_this(), id = place.endpoint, boot = place.bootId, order] {
        self->sendOrder(id, boot, order);
    });
}

void PlacementService::Impl::markReady(const std::string& name, const PlacedReplica& loaded)
{
    PlacementModelState& model = planner.models[name];
    ModelRecord record { model.placedReplicas, base::randomId() };
    for (PlacedReplica& place : record.placedReplicas) {
        if (place.orderId == loaded.orderId)
            place.state = PlacedReplicaState::Ready;
    }
    model.hasPendingWrite = true;
    fleet.loop().spawn([self = shared_from_this(), name, record, order = loaded.orderId] {
        uint64_t begunIn = self->generation;
        bool isWritten = self->writeRecords(name, record, nullptr, nullptr);
        if (self->generation != begunIn)
            return;
        PlacementModelState& written = self->planner.models[name];
        written.hasPendingWrite = false;
        if (!isWritten)
            return;
        written.placedReplicas = record.placedReplicas;
        written.lastUsedAt = base::Clock::now();
        base::logEvent(LogLevel::Info, "placement.ready", { { "model", name }, { "order", order } });
        self->schedulePlan();
    });
}

} // namespace rattanshunt::placement

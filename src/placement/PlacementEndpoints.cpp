// Sends orders to endpoints and polls their state.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Endpoints -----------------------------------------------------------------------------------

void PlacementService::Impl::sendOrder(
    const std::string& endpointId, const std::string& bootId, const endpoints::EngineOrder& order)
{
    EndpointClient& client = endpointClients[endpointId];
    client.orderSentAt[order.orderId + (order.action == endpoints::OrderAction::Load ? "" : "/unload")]
        = base::Clock::now();
    auto connection = net::HttpConnection::create(fleet.loop(), client.address);
    endpoints::OrderOutcome outcome
        = endpoints::engineOrderSend(*connection, order, bootId, base::Clock::now() + callTimeout);
    if (outcome != endpoints::OrderOutcome::Accepted)
        base::logEvent(LogLevel::Warning, "placement.order_failed",
            { { "endpoint", endpointId }, { "model", order.model }, { "outcome", static_cast<int>(outcome) } });
    if (outcome == endpoints::OrderOutcome::NotSent)
        endpointClients[endpointId].orderSentAt.erase(order.orderId);
}

std::string PlacementService::Impl::replicaBootId(
    const ModelRecord& record, const PlacementChange& change, const std::string& orderId)
{
    for (const PlacedReplica& replica : record.placedReplicas) {
        if (replica.endpoint == change.endpoint && replica.orderId == orderId)
            return replica.bootId;
    }
    return {};
}

bool PlacementService::Impl::hasPendingOrders(const std::string& endpointId) const
{
    for (auto& [name, model] : planner.models) {
        for (const PlacedReplica& replica : model.placedReplicas) {
            if (replica.endpoint == endpointId && replica.state != PlacedReplicaState::Ready)
                return true;
        }
    }
    return false;
}

void PlacementService::Impl::pollDueEndpoints(base::TimePoint now)
{
    for (auto& [id, client] : endpointClients) {
        auto endpoint = planner.endpoints.find(id);
        bool isGone = endpoint == planner.endpoints.end() || endpoint->second.isGone;
        if (isGone || client.isPolling)
            continue;
        bool isDue = now >= client.nextPollAt
            || (hasPendingOrders(id) && now + idlePollInterval >= client.nextPollAt + busyPollInterval);
        if (!isDue)
            continue;
        client.isPolling = true;
        client.nextPollAt
            = now + (hasPendingOrders(id) ? base::Duration(busyPollInterval) : base::Duration(idlePollInterval));
        fleet.loop().spawn([self = shared_from_this(), id = id] { self->pollEndpoint(id); });
    }
}

void PlacementService::Impl::pollEndpoint(const std::string& endpointId)
{
    EndpointClient& client = endpointClients[endpointId];
    if (!client.connection || !client.connection->isReusable())
        client.connection = net::HttpConnection::create(fleet.loop(), client.address);
    base::TimePoint sentAt = base::Clock::now();
    auto state = endpoints::engineStateFetch(*client.connection, sentAt + callTimeout);
    client.isPolling = false;
    if (!state) {
        client.connection.reset();
        return;
    }
    bool isOutOfDate = client.lastChangeAt >= sentAt;
    if (!isOwner || isOutOfDate)
        return;
    applyState(endpointId, *state);
    // While an order is in progress, poll again soon instead of at the next regular planning.
    if (hasPendingOrders(endpointId)) {
        net::sleepFor(busyPollInterval);
        schedulePlan();
    }
}

void PlacementService::Impl::applyState(const std::string& endpointId, const endpoints::EngineState& state)
{
    PlacementEndpointState& endpoint = planner.endpoints[endpointId];
    endpoint.bootId = endpointClients[endpointId].reportedBootId = state.report.bootId;
    endpoint.cachedCheckpoints = state.checkpointTiers;
    endpointClients[endpointId].batchSlots = std::max(state.batchSlots, 1);
    endpointClients[endpointId].idleSeconds = state.acceleratorIdleSeconds;
    for (auto& [name, model] : planner.models) {
        if (model.hasPendingWrite || endpoint.hasPendingWrite)
            continue;
        for (const PlacedReplica& replica : model.placedReplicas) {
            if (replica.endpoint == endpointId && replica.state != PlacedReplicaState::Ready) {
                resolveReplica(name, replica, state);
                break;
            }
        }
    }
    schedulePlan();
}

void PlacementService::Impl::resolveReplica(
    const std::string& modelName, const PlacedReplica& replica, const endpoints::EngineState& state)
{
    OrderResolution resolution = placementResolveOrder(replica, state.report, planner.options);
    bool isEnded = resolution == OrderResolution::Ended;
    if (isEnded) {
        startChange({ PlacementChangeKind::Forget, modelName, replica.endpoint, replica.orderId,
            replica.state == PlacedReplicaState::Unloading ? "unloaded" : "load_failed" });
        return;
    }
    if (replica.state == PlacedReplicaState::Loading && resolution == OrderResolution::Loaded) {
        markReady(modelName, replica);
        return;
    }
    resendOrder(modelName, replica, state);
}

void PlacementService::Impl::resendOrder(
    const std::string& modelName, const PlacedReplica& replica, const endpoints::EngineState& state)
{
    bool isUnload = replica.state == PlacedReplicaState::Unloading;
    EndpointClient& client = endpointClients[replica.endpoint];
    // An order of this epoch without an entry in orderSentAt was never sent: its records were written, but the result
    // of the write was not received.
    bool wasNeverSent
        = replica.fencingToken / fencingTokensPerEpoch == epoch && !client.orderSentAt.contains(replica.orderId);
    bool mayRepeat = state.report.checksFencing || wasNeverSent;
    if (!isUnload && (!mayRepeat || state.report.loadingOrders.contains(replica.orderId)))
        return;
    base::TimePoint& sentAt = client.orderSentAt[replica.orderId + (isUnload ? "/unload" : "")];
    base::TimePoint now = base::Clock::now();
    if (now - sentAt < orderResendInterval)
        return;
    sentAt = now;
    const PlacementModelState& model = planner.models[modelName];
    endpoints::EngineOrder order { isUnload ? endpoints::OrderAction::Unload : endpoints::OrderAction::Load, modelName,
        model.base, model.bytes, replica.orderId, isUnload ? ++lastFencingToken : replica.fencingToken };
    fleet.loop().spawn([self = shared_from_this(), endpointId = replica.endpoint, bootId = replica.bootId, order] {
        self->sendOrder(endpointId, bootId, order);
    });
}

void PlacementService::Impl::markReady(const std::string& modelName, const PlacedReplica& loaded)
{
    PlacementModelState& model = planner.models[modelName];
    ModelRecord record { model.placedReplicas, base::randomId() };
    for (PlacedReplica& replica : record.placedReplicas) {
        if (replica.orderId == loaded.orderId)
            replica.state = PlacedReplicaState::Ready;
    }
    model.hasPendingWrite = true;
    fleet.loop().spawn([self = shared_from_this(), modelName, record, orderId = loaded.orderId] {
        uint64_t startGeneration = self->generation;
        bool isWritten = self->writeRecords(modelName, record, nullptr, nullptr);
        if (self->generation != startGeneration)
            return;
        PlacementModelState& written = self->planner.models[modelName];
        written.hasPendingWrite = false;
        if (!isWritten)
            return;
        written.placedReplicas = record.placedReplicas;
        written.lastUsedAt = base::Clock::now();
        base::logEvent(LogLevel::Info, "placement.ready", { { "model", modelName }, { "order", orderId } });
        self->schedulePlan();
    });
}

} // namespace rattanshunt::placement

// Orders to endpoints, and what endpoints say of themselves.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Endpoints -----------------------------------------------------------------------------------

void PlacementService::Impl::sendOrder(
    const std::string& endpointId, const std::string& boot, const endpoints::EngineOrder& order)
{
    EndpointWork& entry = work[endpointId];
    entry.sentAt[order.order + (order.action == endpoints::OrderAction::Load ? "" : "/unload")] = base::Clock::now();
    auto connection = net::HttpConnection::create(fleet.loop(), entry.address);
    endpoints::OrderOutcome outcome
        = endpoints::engineOrderSend(*connection, order, boot, base::Clock::now() + engineTimeout);
    if (outcome != endpoints::OrderOutcome::Accepted)
        base::logEvent(LogLevel::Warning, "placement.order_failed",
            { { "endpoint", endpointId }, { "model", order.model }, { "outcome", static_cast<int>(outcome) } });
    if (outcome == endpoints::OrderOutcome::NotSent)
        work[endpointId].sentAt.erase(order.order);
}

std::string PlacementService::Impl::bootOf(const ModelRecord& record, const Change& change, const std::string& order)
{
    for (const Place& place : record.places) {
        if (place.endpoint == change.endpoint && place.order == order)
            return place.boot;
    }
    return {};
}

bool PlacementService::Impl::hasOpenWork(const std::string& endpointId) const
{
    for (auto& [name, model] : planner.models) {
        for (const Place& place : model.places) {
            if (place.endpoint == endpointId && place.state != PlaceState::Ready)
                return true;
        }
    }
    return false;
}

void PlacementService::Impl::pollDue(base::TimePoint now)
{
    for (auto& [id, entry] : work) {
        auto endpoint = planner.endpoints.find(id);
        bool isGone = endpoint == planner.endpoints.end() || endpoint->second.isGone;
        if (isGone || entry.isPolling)
            continue;
        bool isDue
            = now >= entry.nextPoll || (hasOpenWork(id) && now + pollWhileIdle >= entry.nextPoll + pollWhileBusy);
        if (!isDue)
            continue;
        entry.isPolling = true;
        entry.nextPoll = now + (hasOpenWork(id) ? base::Duration(pollWhileBusy) : base::Duration(pollWhileIdle));
        fleet.loop().spawn([self = shared_from_this(), id = id] { self->poll(id); });
    }
}

void PlacementService::Impl::poll(const std::string& id)
{
    EndpointWork& entry = work[id];
    if (!entry.connection || !entry.connection->isReusable())
        entry.connection = net::HttpConnection::create(fleet.loop(), entry.address);
    base::TimePoint sentAt = base::Clock::now();
    auto state = endpoints::engineStateRead(*entry.connection, sentAt + engineTimeout);
    entry.isPolling = false;
    if (!state) {
        entry.connection.reset();
        return;
    }
    bool isOutOfDate = entry.decidedAt >= sentAt;
    if (!isOwner || isOutOfDate)
        return;
    takeState(id, *state);
    // An order under way is looked at soon again, without waiting for the next plan.
    if (hasOpenWork(id)) {
        net::sleepFor(pollWhileBusy);
        postPlan();
    }
}

void PlacementService::Impl::takeState(const std::string& id, const endpoints::EngineState& state)
{
    PlannerEndpoint& endpoint = planner.endpoints[id];
    endpoint.boot = work[id].reportedBoot = state.report.boot;
    endpoint.cached = state.cached;
    work[id].slots = std::max(state.slots, 1);
    work[id].idleSeconds = state.accelerationIdleSeconds;
    for (auto& [name, model] : planner.models) {
        if (model.isBusy || endpoint.isBusy)
            continue;
        for (const Place& place : model.places) {
            if (place.endpoint == id && place.state != PlaceState::Ready) {
                resolvePlace(name, place, state);
                break;
            }
        }
    }
    postPlan();
}

void PlacementService::Impl::resolvePlace(
    const std::string& name, const Place& place, const endpoints::EngineState& state)
{
    Resolution resolution = plannerResolve(place, state.report, planner.options);
    bool isEnded = resolution == Resolution::Ended;
    if (isEnded) {
        startChange({ ChangeKind::Forget, name, place.endpoint, place.order,
            place.state == PlaceState::Unloading ? "unloaded" : "load_failed" });
        return;
    }
    if (place.state == PlaceState::Loading && resolution == Resolution::Loaded) {
        markReady(name, place);
        return;
    }
    resend(name, place, state);
}

void PlacementService::Impl::resend(const std::string& name, const Place& place, const endpoints::EngineState& state)
{
    bool isUnload = place.state == PlaceState::Unloading;
    EndpointWork& entry = work[place.endpoint];
    // An order of this start that is not noted as sent was never sent: its records were written, then lost from
    // view.
    bool wasNeverSent = place.fencing / fencingPerEpoch == epoch && !entry.sentAt.contains(place.order);
    bool mayRepeat = state.report.checksFencing || wasNeverSent;
    if (!isUnload && (!mayRepeat || state.report.loadingOrders.contains(place.order)))
        return;
    base::TimePoint& sentAt = entry.sentAt[place.order + (isUnload ? "/unload" : "")];
    base::TimePoint now = base::Clock::now();
    if (now - sentAt < resendInterval)
        return;
    sentAt = now;
    const PlannerModel& model = planner.models[name];
    endpoints::EngineOrder order { isUnload ? endpoints::OrderAction::Unload : endpoints::OrderAction::Load, name,
        model.base, model.bytes, place.order, isUnload ? ++lastFencing : place.fencing };
    fleet.loop().spawn([self = shared_from_this(), id = place.endpoint, boot = place.boot, order] {
        self->sendOrder(id, boot, order);
    });
}

void PlacementService::Impl::markReady(const std::string& name, const Place& loaded)
{
    PlannerModel& model = planner.models[name];
    ModelRecord record { model.places, base::randomId() };
    for (Place& place : record.places) {
        if (place.order == loaded.order)
            place.state = PlaceState::Ready;
    }
    model.isBusy = true;
    fleet.loop().spawn([self = shared_from_this(), name, record, order = loaded.order] {
        uint64_t begunIn = self->generation;
        bool isWritten = self->writeRecords(name, record, nullptr, nullptr);
        if (self->generation != begunIn)
            return;
        PlannerModel& written = self->planner.models[name];
        written.isBusy = false;
        if (!isWritten)
            return;
        written.places = record.places;
        written.lastUsed = base::Clock::now();
        base::logEvent(LogLevel::Info, "placement.ready", { { "model", name }, { "order", order } });
        self->postPlan();
    });
}

} // namespace rattanshunt::placement

// Demand reports of daemons, and their aggregation by the owner.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Demand of this daemon -----------------------------------------------------------------------

void PlacementService::Impl::updateDemand(const WaitingRequest& request, bool isWaiting)
{
    WaitingDemand& entry = waitingDemand[request.model];
    if (!isWaiting) {
        if (entry.count <= 1)
            waitingDemand.erase(request.model);
        else
            --entry.count;
        return;
    }
    if (!entry.count++) {
        entry.since = request.since;
        entry.account = request.account;
        entry.priority = request.priority;
        scheduleReport();
    } else if (request.priority > entry.priority) {
        entry.priority = request.priority;
        scheduleReport();
    }
}

void PlacementService::Impl::scheduleReport()
{
    if (isReportScheduled || isStopped)
        return;
    isReportScheduled = true;
    fleet.loop().timers().subscribe(base::Clock::now() + demandReportDelay, [self = shared_from_this()] {
        self->isReportScheduled = false;
        self->fleet.loop().spawn([self] { self->sendReport(); });
    });
}

json PlacementService::Impl::reportBody(base::TimePoint now)
{
    json waiting = json::array();
    for (auto& [model, entry] : waitingDemand) {
        auto waited = std::chrono::duration_cast<base::Micros>(now - entry.since).count();
        waiting.push_back({ model, entry.count, static_cast<int>(entry.priority), waited, entry.account });
    }
    json loads = json::array();
    for (auto& [model, endpoints] : catalog->readyEndpointsByModel) {
        int inFlight = 0;
        for (const resources::EndpointInfo& endpoint : endpoints)
            inFlight += endpoint.load->ownInFlight.load(std::memory_order_relaxed);
        auto used = useCounts.find(model);
        if (used != useCounts.end())
            loads.push_back({ model, inFlight });
    }
    useCounts.clear();
    return { { "waiting", std::move(waiting) }, { "loads", std::move(loads) } };
}

void PlacementService::Impl::sendReport()
{
    json body = reportBody(base::Clock::now());
    if (isOwner) {
        applyReport(fleet.self().name, body);
        return;
    }
    auto record = ownerRecord(nullptr);
    auto owner = record ? fleet.sessionNamed(record->holder) : std::nullopt;
    if (owner)
        fleet.peers().call(owner->peerAddress, "demand", body, base::Clock::now() + callTimeout);
}

void PlacementService::Impl::reportLoop()
{
    while (!isStopped) {
        net::sleepFor(demandReportInterval);
        if (!waitingDemand.empty() || !useCounts.empty())
            sendReport();
    }
}

void PlacementService::Impl::applyReport(const std::string& daemon, const json& body)
{
    base::TimePoint now = base::Clock::now();
    DaemonDemand entry;
    entry.heardAt = now;
    for (const json& item : body.at("waiting")) {
        WaitingDemand waiting;
        waiting.count = item.at(1).get<size_t>();
        waiting.priority = static_cast<resources::PriorityClass>(std::clamp(item.at(2).get<int>(), 0, 2));
        waiting.since = now - base::Micros(item.at(3).get<int64_t>());
        waiting.account = item.at(4).get<std::string>();
        entry.waitingDemand[item.at(0).get<std::string>()] = waiting;
    }
    for (const json& item : body.at("loads")) {
        auto model = planner.models.find(item.at(0).get<std::string>());
        if (model != planner.models.end())
            model->second.lastUsedAt = now;
        entry.loads[item.at(0).get<std::string>()] = item.at(1).get<double>();
    }
    demandByDaemon[daemon] = std::move(entry);
    mergeDemand(now);
    schedulePlan();
}

void PlacementService::Impl::mergeDemand(base::TimePoint now)
{
    std::erase_if(demandByDaemon, [&](auto& item) { return now - item.second.heardAt > demandReportLifetime; });
    for (auto& [name, model] : planner.models) {
        model.waitingCount = 0;
        model.waitingPriority = resources::PriorityClass::Low;
        model.loadPerSlot = 0;
    }
    for (auto& [daemon, entry] : demandByDaemon) {
        for (auto& [name, waiting] : entry.waitingDemand)
            mergeWaitingDemand(name, waiting, now);
        for (auto& [name, load] : entry.loads) {
            auto model = planner.models.find(name);
            if (model != planner.models.end())
                model->second.loadPerSlot += load / std::max<double>(readySlots(model->second), 1);
        }
    }
}

void PlacementService::Impl::mergeWaitingDemand(
    const std::string& modelName, const WaitingDemand& waiting, base::TimePoint now)
{
    auto found = planner.models.find(modelName);
    if (found == planner.models.end())
        return;
    PlacementModelState& model = found->second;
    if (!model.waitingCount || waiting.since < model.waitingSince) {
        model.waitingSince = waiting.since;
        model.waitingAccount = waiting.account;
    }
    model.waitingCount += waiting.count;
    model.waitingPriority = std::max(model.waitingPriority, waiting.priority);
    model.lastUsedAt = now;
    if (model.base.empty())
        return;
    // An adapter needs its base model to be loaded first.
    auto base = planner.models.find(model.base);
    bool hasBase = base != planner.models.end()
        && std::any_of(base->second.placedReplicas.begin(), base->second.placedReplicas.end(),
            [](const PlacedReplica& replica) { return replica.state == PlacedReplicaState::Ready; });
    if (base != planner.models.end() && !hasBase)
        mergeWaitingDemand(model.base, waiting, now);
    else if (base != planner.models.end())
        base->second.lastUsedAt = now;
}

double PlacementService::Impl::readySlots(const PlacementModelState& model)
{
    double slots = 0;
    for (const PlacedReplica& replica : model.placedReplicas) {
        if (replica.state == PlacedReplicaState::Ready)
            slots += endpointClients[replica.endpoint].batchSlots;
    }
    return slots;
}

} // namespace rattanshunt::placement

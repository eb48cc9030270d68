// What daemons need, and how the owner adds it up.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Demand of this daemon -----------------------------------------------------------------------

void PlacementService::Impl::need(const ModelNeed& item, bool isWaiting)
{
    LocalNeed& entry = needs[item.model];
    if (!isWaiting) {
        if (entry.count <= 1)
            needs.erase(item.model);
        else
            --entry.count;
        return;
    }
    if (!entry.count++) {
        entry.since = item.since;
        entry.account = item.account;
        entry.value = item.value;
        planReport();
    } else if (item.value > entry.value) {
        entry.value = item.value;
        planReport();
    }
}

void PlacementService::Impl::planReport()
{
    if (isReportPlanned || isStopped)
        return;
    isReportPlanned = true;
    fleet.loop().timers().subscribe(base::Clock::now() + demandDelay, [self = shared_from_this()] {
        self->isReportPlanned = false;
        self->fleet.loop().spawn([self] { self->report(); });
    });
}

json PlacementService::Impl::reportBody(base::TimePoint now)
{
    json waiting = json::array();
    for (auto& [model, entry] : needs) {
        auto waited = std::chrono::duration_cast<base::Micros>(now - entry.since).count();
        waiting.push_back({ model, entry.count, static_cast<int>(entry.value), waited, entry.account });
    }
    json loads = json::array();
    for (auto& [model, endpoints] : catalog->ready) {
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

void PlacementService::Impl::report()
{
    json body = reportBody(base::Clock::now());
    if (isOwner) {
        takeReport(fleet.self().name, body);
        return;
    }
    auto record = ownerRecord(nullptr);
    auto owner = record ? fleet.sessionNamed(record->holder) : std::nullopt;
    if (owner)
        fleet.peers().call(owner->peerAddress, "demand", body, base::Clock::now() + engineTimeout);
}

void PlacementService::Impl::reportLoop()
{
    while (!isStopped) {
        net::sleepFor(demandInterval);
        if (!needs.empty() || !useCounts.empty())
            report();
    }
}

void PlacementService::Impl::takeReport(const std::string& daemon, const json& body)
{
    base::TimePoint now = base::Clock::now();
    DaemonDemand entry;
    entry.heardAt = now;
    for (const json& item : body.at("waiting")) {
        LocalNeed local;
        local.count = item.at(1).get<size_t>();
        local.value = static_cast<resources::ValueClass>(std::clamp(item.at(2).get<int>(), 0, 2));
        local.since = now - base::Micros(item.at(3).get<int64_t>());
        local.account = item.at(4).get<std::string>();
        entry.needs[item.at(0).get<std::string>()] = local;
    }
    for (const json& item : body.at("loads")) {
        auto model = planner.models.find(item.at(0).get<std::string>());
        if (model != planner.models.end())
            model->second.lastUsed = now;
        entry.loads[item.at(0).get<std::string>()] = item.at(1).get<double>();
    }
    demand[daemon] = std::move(entry);
    mergeDemand(now);
    postPlan();
}

void PlacementService::Impl::mergeDemand(base::TimePoint now)
{
    std::erase_if(demand, [&](auto& item) { return now - item.second.heardAt > demandLife; });
    for (auto& [name, model] : planner.models) {
        model.waitingCount = 0;
        model.waitingValue = resources::ValueClass::Low;
        model.load = 0;
    }
    for (auto& [daemon, entry] : demand) {
        for (auto& [name, local] : entry.needs)
            mergeNeed(name, local, now);
        for (auto& [name, load] : entry.loads) {
            auto model = planner.models.find(name);
            if (model != planner.models.end())
                model->second.load += load / std::max<double>(readySlots(model->second), 1);
        }
    }
}

void PlacementService::Impl::mergeNeed(const std::string& name, const LocalNeed& local, base::TimePoint now)
{
    auto found = planner.models.find(name);
    if (found == planner.models.end())
        return;
    PlannerModel& model = found->second;
    if (!model.waitingCount || local.since < model.waitingSince) {
        model.waitingSince = local.since;
        model.waitingAccount = local.account;
    }
    model.waitingCount += local.count;
    model.waitingValue = std::max(model.waitingValue, local.value);
    model.lastUsed = now;
    if (model.base.empty())
        return;
    // An adapter needs the model under it first.
    auto base = planner.models.find(model.base);
    bool hasBase = base != planner.models.end()
        && std::any_of(base->second.places.begin(), base->second.places.end(),
            [](const Place& place) { return place.state == PlaceState::Ready; });
    if (base != planner.models.end() && !hasBase)
        mergeNeed(model.base, local, now);
    else if (base != planner.models.end())
        base->second.lastUsed = now;
}

double PlacementService::Impl::readySlots(const PlannerModel& model)
{
    double slots = 0;
    for (const Place& place : model.places) {
        if (place.state == PlaceState::Ready)
            slots += work[place.endpoint].slots;
    }
    return slots;
}

} // namespace rattanshunt::placement

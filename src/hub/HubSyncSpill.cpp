// Work that is sent to other data centres: planned by the hub, and with each sync reply to the members.
#include <cmath>

#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

namespace {

    constexpr double perMille = 1000;
    // Of the arrival rates that daemons report (GatewayOptions::rateTimeConstant). Requests that run are smoothed alike
    // and from 0: beside a rate that still rises, their number of the moment would make requests seem longer.
    constexpr base::Seconds rateTimeConstant { 10 };
    constexpr double minModelWeight = 0.01; // of a model without demand, in its replicas' slots

    double shareSum(const spill::SpillShares& shares)
    {
        double sum = 0;
        for (const auto& [link, share] : shares)
            sum += share;
        return sum;
    }

} // namespace

// ---- The hub -----------------------------------------------------------------------------------

// Slots of the replicas that may be used, by data centre. Models on the same replica divide its slots by the fleet's
// demand for each.
std::map<ModelKey, std::map<std::string, double>> HubSync::slotsByModel(BootTime now) const
{
    std::map<ModelKey, double> demand;
    for (const auto& [key, smoothed] : m_spill.demand)
        demand[key.first] += smoothed;
    std::vector<std::pair<const directory::Replica*, std::vector<ModelKey>>> usable;
    std::map<ModelKey, double> copies;
    for (const auto& [id, replica] : m_directory.replicas) {
        const gateway::ReplicaEntry& entry = replica.entry;
        auto service = m_configuration->services.find(entry.service);
        if (service == m_configuration->services.end() || replica.isUnreachableFromHub
            || directory::replicaObstacle(replicaLife(replica, {}), now) != directory::ReplicaObstacle::None)
            continue;
        std::vector<ModelKey> models;
        if (!service->second.engine)
            models.emplace_back(entry.service, "");
        for (const gateway::LoadedModel& model : directory::replicaModels(replica)) {
            if (service->second.engine && directory::replicaHasModel(replica, model.name, "", now))
                models.emplace_back(entry.service, model.name);
        }
        for (const ModelKey& model : models)
            copies[model] += 1;
        usable.emplace_back(&replica, std::move(models));
    }
    std::map<ModelKey, std::map<std::string, double>> slots;
    for (const auto& [replica, models] : usable) {
        auto weightOf = [&](const ModelKey& model) { return minModelWeight + demand[model] / copies[model]; };
        double sum = 0;
        for (const ModelKey& model : models)
            sum += weightOf(model);
        for (const ModelKey& model : models)
            slots[model][replica->entry.dataCenter] += replica->entry.slots * weightOf(model) / sum;
    }
    return slots;
}

std::map<ModelKey, spill::WorkGroup> HubSync::collectWorkGroups(BootTime now)
{
    struct Sums {
        double running = 0;
        double arrivalRate = 0;
        double transferSeconds = 0; // weighted by the arrival rate
    };
    std::map<ModelKey, Sums> sums;
    std::map<std::pair<ModelKey, std::string>, double> counted;
    std::map<std::string, std::pair<double, base::Duration>> ages; // number of daemons and the sum of their ages
    auto add = [&](const std::string& dataCenter, const DemandTable& table, base::Duration age) {
        ages[dataCenter].first += 1;
        ages[dataCenter].second += age;
        for (const auto& [key, demand] : table) {
            ModelKey model { key.service, key.model };
            counted[{ model, dataCenter }] += demand.waiting + demand.running;
            sums[model].running += demand.running;
            sums[model].arrivalRate += demand.arrivalRate;
            sums[model].transferSeconds += demand.arrivalRate * demand.transferSeconds;
        }
    };
    add(m_options.dataCenter, m_demandSource ? m_demandSource() : DemandTable {}, {});
    for (const auto& [name, member] : m_members) {
        if (now - member.lastSeenAt <= memberTimeout && !member.dataCenter.empty())
            add(member.dataCenter, member.demand, now - member.lastSeenAt);
    }
    for (auto& [key, demand] : m_spill.demand)
        counted.try_emplace(key, 0);
    for (const auto& [key, value] : counted) {
        double& smoothed = m_spill.demand.try_emplace(key, value).first->second;
        smoothed = spill::demandSmooth(smoothed, value, now - m_spill.asOf, m_options.spill);
    }
    std::erase_if(m_spill.demand, [](const auto& item) { return item.second < minModelWeight; });
    double elapsed = std::min(base::secondsOf(now - m_spill.asOf), 2 * base::secondsOf(spillPlanInterval));
    double weight = std::exp(-elapsed / base::secondsOf(rateTimeConstant));
    for (const auto& [model, sum] : sums)
        m_spill.running.try_emplace(model, 0);
    for (auto& [model, running] : m_spill.running)
        running = running * weight + (sums.contains(model) ? sums[model].running * (1 - weight) : 0);
    std::erase_if(m_spill.running, [&](const auto& item) { return !sums.contains(item.first); });
    std::map<ModelKey, spill::WorkGroup> groups;
    auto slots = slotsByModel(now);
    for (const auto& [model, sum] : sums) {
        spill::WorkGroup& group = groups[model];
        if (sum.arrivalRate > 0) {
            // Requests that run are those that arrived within the time for which one runs.
            group.serviceSeconds = std::clamp(m_spill.running[model] / sum.arrivalRate, 0.01, 60.0);
            group.transferSeconds = sum.transferSeconds / sum.arrivalRate;
        }
        std::map<std::string, spill::DataCenterState> states;
        for (const auto& [dataCenter, count] : slots[model])
            states[dataCenter].slots = count;
        for (const auto& [dataCenter, age] : ages) {
            auto found = m_spill.demand.find({ model, dataCenter });
            states[dataCenter].demand = found == m_spill.demand.end() ? 0 : found->second;
            states[dataCenter].age = age.second / static_cast<int64_t>(age.first);
        }
        for (auto& [dataCenter, state] : states) {
            state.dataCenter = dataCenter;
            group.dataCenters.push_back(state);
        }
    }
    return groups;
}

void HubSync::updateSpillPlan(BootTime now)
{
    // A new hub knows no demand until the members have reported it; meanwhile they keep their shares.
    bool hasHeardMembers = now - m_term.electedAt >= memberTimeout / 2;
    if (!spill::spillIsOn(m_options.spill) || !hasHeardMembers || now - m_spill.asOf < spillPlanInterval
        || !m_configuration)
        return;
    std::map<ModelKey, spill::SpillShares> plan;
    for (const auto& [model, group] : collectWorkGroups(now)) {
        static const spill::SpillShares none;
        auto inForce = m_spill.plan.find(model);
        const spill::SpillShares& before = inForce == m_spill.plan.end() ? none : inForce->second;
        spill::SpillShares shares = spill::spillPlan(group, before, m_options.spill);
        BootTime& loggedAt = m_spill.loggedAt[model];
        if (shares != before)
            base::counterAdd("spill_changes_total");
        if (shares != before && now - loggedAt >= spillLogInterval) {
            loggedAt = now;
            base::logEvent(LogLevel::Info, "spill.changed",
                { { "service", model.first }, { "model", model.second }, { "share_sum", shareSum(shares) },
                    { "before", shareSum(before) }, { "gain", spill::spillBenefit(group, shares, m_options.spill) },
                    { "transfer_ms", 1000 * group.transferSeconds } });
        }
        if (!shares.empty())
            plan[model] = std::move(shares);
    }
    std::erase_if(m_spill.loggedAt, [&](const auto& item) { return now - item.second > 5 * spillLogInterval; });
    if (plan != m_spill.plan || m_spill.incarnation != m_incarnation)
        ++m_spill.version;
    m_spill.plan = std::move(plan);
    m_spill.asOf = now;
    m_spill.incarnation = m_incarnation;
}

void HubSync::addSpillToReply(const Json& asked, Json& reply, BootTime now)
{
    if (!spill::spillIsOn(m_options.spill) || termIsOver(m_term, now))
        return;
    updateSpillPlan(now);
    bool isSame = asked.value("start", "") == m_incarnation;
    if (m_spill.incarnation != m_incarnation || (isSame && asked.value("spill", uint64_t(0)) == m_spill.version))
        return;
    std::string dataCenter = asked.value("data_center", "");
    Json rows = Json::array();
    for (const auto& [model, shares] : m_spill.plan) {
        for (const auto& [link, share] : shares) {
            if (link.first == dataCenter)
                rows.push_back({ model.first, model.second, link.second, std::lround(perMille * share) });
        }
    }
    reply["spill"] = { { "version", m_spill.version }, { "shares", std::move(rows) } };
}

// ---- A member ----------------------------------------------------------------------------------

void HubSync::addSpillToRequest(Json& body) const
{
    if (!spill::spillIsOn(m_options.spill))
        return;
    body["data_center"] = m_options.dataCenter;
    body["spill"] = m_spill.incarnation == m_hubIncarnation ? m_spill.version : 0;
}

void HubSync::applySpillReply(const Json& body, BootTime requestedAt)
{
    if (!spill::spillIsOn(m_options.spill))
        return;
    std::string hub = body.at("start").get<std::string>();
    if (body.contains("spill")) {
        std::map<ModelKey, spill::SpillShares> plan;
        for (const Json& row : body.at("spill").at("shares")) {
            ModelKey model { row.at(0).get<std::string>(), row.at(1).get<std::string>() };
            plan[model][{ m_options.dataCenter, row.at(2).get<std::string>() }] = row.at(3).get<double>() / perMille;
        }
        m_spill.plan = std::move(plan);
        m_spill.version = body.at("spill").at("version").get<uint64_t>();
        m_spill.incarnation = hub;
    }
    // Without new shares, those of this hub still hold.
    if (m_spill.incarnation == hub)
        m_spill.asOf = requestedAt;
}

std::map<std::string, double> HubSync::spillShares(const ModelKey& model, BootTime now) const
{
    std::map<std::string, double> shares;
    auto found = m_spill.plan.find(model);
    if (found == m_spill.plan.end() || now - m_spill.asOf > m_options.spill.maxPlanAge)
        return shares;
    for (const auto& [link, share] : found->second) {
        if (link.first == m_options.dataCenter)
            shares[link.second] = share;
    }
    return shares;
}

} // namespace rattanshunt::hub

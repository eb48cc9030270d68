#include "models/Placer.h"

#include <algorithm>
#include <cmath>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::models {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using gateway::HeldModel;
using gateway::ModelOrder;
using gateway::OrderAnswer;

Placer::Placer(net::Loop& loop, PlacerOptions options, hub::Fabric& fabric, const gateway::Dialect& dialect)
    : m_loop(loop)
    , m_options(options)
    , m_fabric(fabric)
    , m_dialect(dialect)
{
}

void Placer::start()
{
    m_loop.spawn([this] {
        while (!m_isStopping) {
            tick();
            net::sleepFor(m_options.planPause);
            m_wake.waitUntil(base::Clock::now() + m_options.planInterval);
            m_wake.reset();
        }
    });
    m_fabric.setOnDemand([this] { m_wake.set(); });
}

void Placer::beginHub()
{
    m_token = m_fabric.fencingToken();
    m_hubSince = BootClock::now();
    m_follows.clear();
    m_storeLoads.clear();
    m_storeLoadsRunning = 0;
    m_reading.clear();
    m_storeSpeed.atOnce = m_options.storeLoadsAtOnce;
    base::logEvent(LogLevel::Info, "placement.taken_over", { { "fencing_token", m_token } });
}

void Placer::tick()
{
    bool isHub = m_fabric.isHub();
    if (isHub && (!m_wasHub || m_token != m_fabric.fencingToken()))
        beginHub();
    if (!isHub && m_wasHub) {
        m_follows.clear();
        for (auto& [id, replica] : m_fabric.directory().replicas) {
            replica.coming.clear();
        }
    }
    m_wasHub = isHub;
    auto configuration = m_fabric.configuration();
    if (!isHub || !configuration)
        return;
    BootTime now = BootClock::now();
    askReports(now);
    hub::DemandTable demand = m_fabric.collectDemand(now);
    smoothReading(demand, now);
    std::map<hub::ModelKey, BootTime> outlook;
    if (!m_fabric.mayOrder(now)) {
        // Until the former hub's orders are over, callers are told when ours begin.
        for (auto& [key, row] : demand) {
            if (row.waiting > 0 && m_fabric.ordersFrom() != BootTime::max())
                outlook[{ key.service, key.model }] = std::max(now, m_fabric.ordersFrom()) + m_options.firstJobs;
        }
        m_fabric.setOutlook(std::move(outlook));
        return;
    }
    for (const auto& [name, service] : configuration->services) {
        if (service.engine)
            planService(service, demand, now, outlook);
    }
    m_fabric.setOutlook(std::move(outlook));
}

// Puts the smoothed number of requests without a first byte in the place of the momentary one, over all adapters.
void Placer::smoothReading(hub::DemandTable& demand, BootTime now)
{
    double part = 1
        - std::exp(-base::secondsOf(std::max(BootClock::duration(0), now - m_readingAt))
            / base::secondsOf(m_options.readingTime));
    m_readingAt = now;
    std::map<hub::ModelKey, double> momentary;
    for (auto& [key, row] : demand)
        momentary[{ key.service, key.model }] += std::exchange(row.reading, 0);
    for (auto& [key, value] : m_reading)
        value += part * ((momentary.contains(key) ? momentary[key] : 0) - value);
    for (auto& [key, value] : momentary) {
        if (!m_reading.contains(key))
            m_reading[key] = part * value;
    }
    std::erase_if(m_reading, [this](auto& item) { return item.second < m_options.readingLeast; });
    for (auto& [key, value] : m_reading)
        demand[{ key.first, key.second, "" }].reading = value;
}

// ---- Reports -----------------------------------------------------------------------------------

const gateway::Engine* Placer::engineOf(const std::string& id) const
{
    auto configuration = m_fabric.configuration();
    auto replica = m_fabric.directory().replicas.find(id);
    if (!configuration || replica == m_fabric.directory().replicas.end())
        return nullptr;
    auto service = configuration->services.find(replica->second.entry.service);
    if (service == configuration->services.end() || !service->second.engine)
        return nullptr;
    return &*service->second.engine;
}

void Placer::askReports(BootTime now)
{
    std::erase_if(m_follows, [&](auto& item) { return !m_fabric.directory().replicas.contains(item.first); });
    for (const auto& [id, replica] : m_fabric.directory().replicas) {
        if (!engineOf(id))
            continue;
        auto& follow = m_follows[id];
        if (!follow || follow->bornMillis != replica.entry.bornMillis) {
            follow = std::make_shared<Follow>();
            follow->bornMillis = replica.entry.bornMillis;
            follow->answeredAt = now;
        }
        if (follow->isAsking || follow->isEngaged || now - follow->askedAt < m_options.reportInterval)
            continue;
        m_loop.spawn([this, id = id] { askReport(id); });
    }
}

// Asks a replica for its report. False if none came. Suspends.
bool Placer::askReport(const std::string& id)
{
    auto found = m_follows.find(id);
    auto replica = m_fabric.directory().replicas.find(id);
    if (found == m_follows.end() || replica == m_fabric.directory().replicas.end() || found->second->isAsking)
        return false;
    std::shared_ptr<Follow> follow = found->second;
    follow->isAsking = true;
    follow->askedAt = BootClock::now();
    BootTime askedAt = follow->askedAt;
    // Taken out while in use: an order may go out meanwhile, over a connection of its own.
    auto connection = std::move(follow->connection);
    if (!connection || !connection->isReusable())
        connection = net::HttpConnection::create(m_loop, replica->second.entry.address);
    net::HttpResult result
        = net::httpCall(*connection, m_dialect.writeReportCall(), base::Clock::now() + m_options.reportTime);
    follow->isAsking = false;
    if (result.error == net::HttpCallError::None && !follow->connection)
        follow->connection = std::move(connection);
    std::optional<gateway::ReplicaReport> report;
    if (result.error == net::HttpCallError::None)
        report = m_dialect.readReport(result.response);
    noteSilence(id, *follow, report.has_value());
    if (!report) {
        base::counterAdd("replica_reports_missing_total");
        return false;
    }
    if (report->bornMillis != follow->bornMillis)
        return false;
    directory::directoryApplyReport(m_fabric.directory(), id, *report, askedAt);
    follow->report = *report;
    if (report->ordersTaken > follow->ordersTaken) {
        // Orders that nobody answered for were carried out.
        follow->ordersTaken = report->ordersTaken;
        follow->isSettled = false;
    }
    // A report lags: one from before the last order, or from the middle of one, does not say what is held now.
    bool isSettled = report->ordersTaken == follow->ordersTaken && !report->isBusy && !follow->isOrdering
        && askedAt >= follow->orderedAt;
    if (!isSettled) {
        // A count that stays below ours for longer than reports lag: an order that "held" was not counted.
        if (report->ordersTaken < follow->ordersTaken && !report->isBusy && !follow->isOrdering && !follow->isEngaged
            && askedAt - follow->orderedAt > m_options.reportLagMost)
            follow->ordersTaken = report->ordersTaken;
        return true;
    }
    bool isChanged = !follow->isSettled || !(follow->held == report->models);
    follow->isSettled = true;
    follow->held = report->models;
    if (isChanged && !follow->isEngaged)
        publish(id);
    return true;
}

// A replica that crashed says nothing, and its entry stays for some heartbeats. Members learn here that it is silent,
// and its models are brought elsewhere.
void Placer::noteSilence(const std::string& id, Follow& follow, bool hasAnswered)
{
    follow.missed = hasAnswered ? 0 : follow.missed + 1;
    if (hasAnswered)
        follow.answeredAt = follow.askedAt;
    auto replica = m_fabric.directory().replicas.find(id);
    if (replica == m_fabric.directory().replicas.end())
        return;
    bool isSilent = follow.missed >= 2 && BootClock::now() - follow.answeredAt > m_options.silentTime;
    if (isSilent == replica->second.isSilent)
        return;
    base::logEvent(isSilent ? LogLevel::Warning : LogLevel::Info, isSilent ? "replica.silent" : "replica.answers",
        { { "replica", id }, { "missed_reports", follow.missed } });
    replica->second.isSilent = isSilent;
    m_fabric.placementChanged(id);
}

void Placer::publish(const std::string& id)
{
    auto replica = m_fabric.directory().replicas.find(id);
    auto follow = m_follows.find(id);
    if (replica == m_fabric.directory().replicas.end() || follow == m_follows.end())
        return;
    replica->second.placed = follow->second->held;
    m_fabric.placementChanged(id);
}

// ---- Plans -------------------------------------------------------------------------------------

double Placer::storeLoadsLeft(const gateway::Engine& engine, BootTime now)
{
    while (!m_storeLoads.empty() && m_storeLoads.front() < now - m_options.ceilingWindow)
        m_storeLoads.pop_front();
    double most = engine.storeLoadsPerSecond * base::secondsOf(m_options.ceilingWindow);
    // After a takeover the window fills up with time.
    most = std::min(most, engine.storeLoadsPerSecond * base::secondsOf(now - m_hubSince) + 1);
    return std::min(most - static_cast<double>(m_storeLoads.size()),
        std::max(1.0, std::floor(m_storeSpeed.atOnce)) - static_cast<double>(m_storeLoadsRunning));
}

void Placer::planService(const gateway::Service& service, const hub::DemandTable& demand, BootTime now,
    std::map<hub::ModelKey, BootTime>& outlook)
{
    PlanInput input;
    input.engine = &*service.engine;
    input.service = service.name;
    input.demand = demand;
    input.storeLoadsLeft = storeLoadsLeft(*service.engine, now);
    input.mayUnload = now - m_hubSince >= m_options.settleTime;
    for (const auto& [id, replica] : m_fabric.directory().replicas) {
        auto follow = m_follows.find(id);
        if (replica.entry.service != service.name || !directory::replicaIsUsable(replica) || follow == m_follows.end()
            || !follow->second->isSettled || replica.isSilent)
            continue;
        const Follow& known = *follow->second;
        PlanReplica view;
        view.id = id;
        view.isEngaged = known.isEngaged || known.report.isBusy;
        view.load = (known.report.running + known.report.waiting) / std::max(1.0, replica.entry.slots);
        view.held = known.held;
        if (!known.coming.empty())
            view.coming.insert(known.coming);
        view.inMemory = { known.report.inMemory.begin(), known.report.inMemory.end() };
        view.onDisk = { known.report.onDisk.begin(), known.report.onDisk.end() };
        input.replicas.push_back(std::move(view));
    }
    Plan plan = planJobs(input, m_options.plan);
    double atOnce = std::max(1.0, m_storeSpeed.atOnce);
    for (size_t i = 0; i < plan.missing.size(); ++i) {
        base::Duration load = service.engine->models.at(plan.missing[i]).storeLoad;
        // Half of a load until a place is free, and then one load for each round before.
        double rounds = 1.5 + std::floor(static_cast<double>(i) / atOnce);
        outlook[{ service.name, plan.missing[i] }] = now + base::durationOf(rounds * base::secondsOf(load));
    }
    for (PlanJob& job : plan.jobs) {
        m_follows[job.replica]->isEngaged = true;
        if (job.fromStore) {
            m_storeLoads.push_back(now);
            ++m_storeLoadsRunning;
            // While more run than the store serves at full speed, each takes longer in proportion.
            double crowd = std::max(1.0, static_cast<double>(m_storeLoadsRunning) / atOnce);
            job.estimate = std::chrono::duration_cast<base::Millis>(job.estimate * crowd);
        }
        m_loop.spawn([this, job = std::move(job)]() mutable { runJob(std::move(job)); });
    }
}

} // namespace rattanshunt::models

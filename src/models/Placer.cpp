#include "models/Placer.h"

#include <algorithm>
#include <cmath>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::models {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using gateway::LoadedModel;
using gateway::ModelOrder;
using gateway::OrderResult;

namespace {
    constexpr size_t maxReportBytes = 256 * 1024;
}

Placer::Placer(net::Loop& loop, PlacerOptions options, hub::HubSync& hubSync, const gateway::WireCodec& codec,
    reach::ReplicaDialer& dialer)
    : m_loop(loop)
    , m_options(options)
    , m_hubSync(hubSync)
    , m_codec(codec)
    , m_dialer(dialer)
{
}

void Placer::start()
{
    m_loop.spawn([this] {
        while (!m_isStopping) {
            tick();
            net::sleepFor(m_options.minPlanInterval);
            m_wake.waitUntil(base::Clock::now() + m_options.idlePlanInterval);
            m_wake.reset();
        }
    });
    m_hubSync.setOnDemandReported([this] { m_wake.set(); });
}

void Placer::beginTerm()
{
    m_fencingToken = m_hubSync.fencingToken();
    m_hubSince = BootClock::now();
    m_replicaStates.clear();
    m_storeLoadStarts.clear();
    m_storeLoadsRunning = 0;
    m_awaitingFirstByte.clear();
    m_storeConcurrency.estimatedLoads = m_options.initialStoreConcurrency;
    base::logEvent(LogLevel::Info, "placement.taken_over", { { "fencing_token", m_fencingToken } });
}

void Placer::tick()
{
    bool isHub = m_hubSync.isHub();
    if (isHub && (!m_wasHub || m_fencingToken != m_hubSync.fencingToken()))
        beginTerm();
    if (!isHub && m_wasHub) {
        m_replicaStates.clear();
        for (auto& [id, replica] : m_hubSync.directory().replicas) {
            replica.pendingModels.clear();
        }
    }
    m_wasHub = isHub;
    auto configuration = m_hubSync.configuration();
    if (!isHub || !configuration)
        return;
    BootTime now = BootClock::now();
    requestDueReports(now);
    hub::DemandTable demand = m_hubSync.collectDemand(now);
    smoothAwaitingFirstByte(demand, now);
    std::map<hub::ModelKey, BootTime> readyEstimates;
    if (!m_hubSync.mayOrder(now)) {
        // While orders of a previous hub may be under way, the estimates start at the time of this hub's first order.
        for (auto& [key, row] : demand) {
            if (row.waiting > 0 && m_hubSync.ordersAllowedAt() != BootTime::max())
                readyEstimates[{ key.service, key.model }]
                    = std::max(now, m_hubSync.ordersAllowedAt()) + m_options.firstReadyEstimate;
        }
        m_hubSync.setReadyEstimates(std::move(readyEstimates));
        return;
    }
    for (const auto& [name, service] : configuration->services) {
        if (service.engine)
            planService(service, demand, now, readyEstimates);
    }
    m_hubSync.setReadyEstimates(std::move(readyEstimates));
}

// Replaces the current number of requests without a first byte by a smoothed one, summed over all adapters of a model.
void Placer::smoothAwaitingFirstByte(hub::DemandTable& demand, BootTime now)
{
    double smoothingFactor = 1
        - std::exp(-base::secondsOf(std::max(BootClock::duration(0), now - m_smoothedAt))
            / base::secondsOf(m_options.awaitingFirstByteTimeConstant));
    m_smoothedAt = now;
    std::map<hub::ModelKey, double> current;
    for (auto& [key, row] : demand)
        current[{ key.service, key.model }] += std::exchange(row.awaitingFirstByte, 0);
    for (auto& [key, value] : m_awaitingFirstByte)
        value += smoothingFactor * ((current.contains(key) ? current[key] : 0) - value);
    for (auto& [key, value] : current) {
        if (!m_awaitingFirstByte.contains(key))
            m_awaitingFirstByte[key] = smoothingFactor * value;
    }
    std::erase_if(m_awaitingFirstByte, [this](auto& item) { return item.second < m_options.minAwaitingFirstByte; });
    for (auto& [key, value] : m_awaitingFirstByte)
        demand[{ key.first, key.second, "" }].awaitingFirstByte = value;
}

// ---- Reports -----------------------------------------------------------------------------------

const gateway::Engine* Placer::engineOf(const std::string& id) const
{
    auto configuration = m_hubSync.configuration();
    auto replica = m_hubSync.directory().replicas.find(id);
    if (!configuration || replica == m_hubSync.directory().replicas.end())
        return nullptr;
    auto service = configuration->services.find(replica->second.entry.service);
    if (service == configuration->services.end() || !service->second.engine)
        return nullptr;
    return &*service->second.engine;
}

void Placer::requestDueReports(BootTime now)
{
    std::erase_if(m_replicaStates, [&](auto& item) { return !m_hubSync.directory().replicas.contains(item.first); });
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        if (!engineOf(id))
            continue;
        auto& state = m_replicaStates[id];
        if (!state || state->startedAtMillis != replica.entry.startedAtMillis) {
            ReplicaLedger ledger = ledgerBeginStart(state ? state->ledger : ReplicaLedger {}, now, m_options.ledger);
            state = std::make_shared<ReplicaState>();
            state->ledger = std::move(ledger);
            state->startedAtMillis = replica.entry.startedAtMillis;
            state->lastReportAt = now;
        }
        base::Millis interval = isLimited(id, *state) ? limits::reportInterval : m_options.reportInterval;
        if (state->isReportPending || state->hasJob || now - state->reportRequestedAt < interval || isQuiet(id, *state))
            continue;
        m_loop.spawn([this, id = id] { requestReport(id); });
    }
}

// Requests a replica's report and applies it. False if none arrived. Suspends.
bool Placer::requestReport(const std::string& id)
{
    auto found = m_replicaStates.find(id);
    auto replica = m_hubSync.directory().replicas.find(id);
    if (found == m_replicaStates.end() || replica == m_hubSync.directory().replicas.end()
        || found->second->isReportPending || isQuiet(id, *found->second))
        return false;
    std::shared_ptr<ReplicaState> state = found->second;
    state->isReportPending = true;
    state->reportRequestedAt = BootClock::now();
    BootTime requestedAt = state->reportRequestedAt;
    logCall(id, *state, "report");
    auto connection = std::move(state->reportConnection);
    // The copy of an older report would count as a newer one, and might raise the limit.
    if (!connection || isLimited(id, *state) || !connection->isReusable())
        connection = m_dialer.create(replica->second.entry.address);
    base::Address address = replica->second.entry.address;
    base::TimePoint deadline = base::Clock::now() + m_options.reportTimeout;
    net::HttpResult result;
    if (!connection->isConnected())
        result.error = m_dialer.connect(*connection, deadline);
    if (result.error == net::HttpCallError::None)
        result = net::httpCall(*connection, m_codec.writeReportRequest(), deadline, maxReportBytes);
    state->isReportPending = false;
    std::optional<gateway::ReplicaReport> report;
    if (result.error != net::HttpCallError::None) {
        m_dialer.confirmReach(address);
    } else {
        m_dialer.recordHeard();
        report = m_codec.readReport(result.response);
        recordLimit(id, *state, result.response, requestedAt, true);
    }
    updateReachability(id, *state, report.has_value());
    if (!report) {
        base::counterAdd("replica_reports_missing_total");
        return false;
    }
    if (!isLimited(id, *state))
        state->reportConnection = std::move(connection); // after an answer that is no report it is closed
    if (report->startedAtMillis != state->startedAtMillis)
        return false;
    directory::directoryApplyReport(m_hubSync.directory(), id, *report, requestedAt);
    state->report = *report;
    bool isChanged = ledgerApplyReport(state->ledger, *report, requestedAt, state->hasJob, m_options.ledger);
    if (isChanged && !state->hasJob)
        publishPlacement(id);
    return true;
}

bool Placer::isLimited(const std::string& id, const ReplicaState& state) const
{
    return m_hubSync.replicaLimit(id, state.startedAtMillis).has_value();
}

// The replica has told this daemon that it wants nothing now.
bool Placer::isQuiet(const std::string& id, const ReplicaState& state) const
{
    return directory::noticeQuietUntil(m_hubSync.notices(), id, state.startedAtMillis, BootClock::now()).has_value();
}

void Placer::recordLimit(
    const std::string& id, ReplicaState& state, const net::HttpResponse& response, BootTime requestedAt, bool isReport)
{
    m_hubSync.recordStatement(id, state.startedAtMillis, m_codec.readStatement(response));
    gateway::NamedLimit limit = m_codec.readLimit(response);
    state.namesLimitInReports = state.namesLimitInReports || (isReport && limit.isNamed);
    if (limit.requestsPerSecond || (isReport && !limit.isNamed && state.namesLimitInReports))
        m_hubSync.recordLimit({ id, state.startedAtMillis, limit.requestsPerSecond, requestedAt, BootClock::now(), 1 });
}

void Placer::logCall(const std::string& id, const ReplicaState& state, const char* kind) const
{
    if (isLimited(id, state))
        base::logEvent(LogLevel::Info, "replica.limited_call", { { "replica", id }, { "kind", kind } });
}

// A crashed replica does not answer, but its entry stays in the store for several heartbeats. Members are told that it
// is unreachable, and its models are loaded elsewhere. What a hub without links to any replica sees is not passed on.
void Placer::updateReachability(const std::string& id, ReplicaState& state, bool hasAnswered)
{
    state.missedReports = hasAnswered ? 0 : state.missedReports + 1;
    if (hasAnswered)
        state.lastReportAt = state.reportRequestedAt;
    auto replica = m_hubSync.directory().replicas.find(id);
    if (replica == m_hubSync.directory().replicas.end())
        return;
    bool isUnreachable = state.missedReports >= 2 && BootClock::now() - state.lastReportAt > m_options.silenceTimeout
        && !m_dialer.hasLostReplicas();
    if (isUnreachable == replica->second.isUnreachableFromHub)
        return;
    base::logEvent(isUnreachable ? LogLevel::Warning : LogLevel::Info,
        isUnreachable ? "replica.silent" : "replica.answers",
        { { "replica", id }, { "missed_reports", state.missedReports } });
    replica->second.isUnreachableFromHub = isUnreachable;
    m_hubSync.notifyPlacementChanged(id);
}

// What members may use: the models held, except those that the current job unloads.
std::vector<LoadedModel> Placer::modelsInUse(const ReplicaState& state)
{
    ReplicaLedger remaining = state.ledger;
    for (const auto& [model, adapter] : state.leaving)
        ledgerRemoveHeld(remaining, model, adapter);
    return remaining.held;
}

void Placer::publishPlacement(const std::string& id)
{
    auto replica = m_hubSync.directory().replicas.find(id);
    auto state = m_replicaStates.find(id);
    if (replica == m_hubSync.directory().replicas.end() || state == m_replicaStates.end())
        return;
    replica->second.placedModels = modelsInUse(*state->second);
    m_hubSync.notifyPlacementChanged(id);
}

// ---- Plans -------------------------------------------------------------------------------------

double Placer::storeLoadsLeft(const gateway::Engine& engine, BootTime now)
{
    while (!m_storeLoadStarts.empty() && m_storeLoadStarts.front() < now - m_options.storeRateWindow)
        m_storeLoadStarts.pop_front();
    double maxLoads = engine.storeLoadsPerSecond * base::secondsOf(m_options.storeRateWindow);
    // The loads of a previous hub are not known, so the limit grows from the start of the term.
    maxLoads = std::min(maxLoads, engine.storeLoadsPerSecond * base::secondsOf(now - m_hubSince) + 1);
    return std::min(maxLoads - static_cast<double>(m_storeLoadStarts.size()),
        std::max(1.0, std::floor(m_storeConcurrency.estimatedLoads)) - static_cast<double>(m_storeLoadsRunning));
}

void Placer::planService(const gateway::Service& service, const hub::DemandTable& demand, BootTime now,
    std::map<hub::ModelKey, BootTime>& readyEstimates)
{
    PlanInput input;
    input.engine = &*service.engine;
    input.service = service.name;
    input.demand = demand;
    input.storeLoadsLeft = storeLoadsLeft(*service.engine, now);
    input.mayUnload = now - m_hubSince >= m_options.takeoverSettlePeriod;
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        auto state = m_replicaStates.find(id);
        if (replica.entry.service != service.name)
            continue;
        // Orders need no permit.
        directory::ReplicaObstacle obstacle = directory::replicaObstacle(m_hubSync.replicaLife(replica, {}), now);
        if (obstacle == directory::ReplicaObstacle::Evacuated) {
            for (const LoadedModel& held : directory::replicaModels(replica))
                input.evacuatedModels.insert(held.name);
        }
        if (obstacle == directory::ReplicaObstacle::Leaving || obstacle == directory::ReplicaObstacle::Evacuated
            || state == m_replicaStates.end() || !state->second->ledger.isCurrent || replica.isUnreachableFromHub)
            continue;
        const ReplicaState& known = *state->second;
        PlanReplica view;
        view.id = id;
        view.isLimited = isLimited(id, known);
        view.isOccupied = known.hasJob || known.report.isExecutingOrder || view.isLimited
            || obstacle == directory::ReplicaObstacle::Quiet;
        view.load = (known.report.running + known.report.waiting) / std::max(1.0, replica.entry.slots);
        view.held = modelsInUse(known);
        view.adaptersInTransit = known.ledger.inTransit.size();
        view.adaptersNotConfirmed = { known.ledger.unconfirmed.begin(), known.ledger.unconfirmed.end() };
        if (!known.loadingModel.empty())
            view.loading.insert(known.loadingModel);
        view.inMemory = { known.report.modelsInMemory.begin(), known.report.modelsInMemory.end() };
        view.onDisk = { known.report.modelsOnDisk.begin(), known.report.modelsOnDisk.end() };
        input.replicas.push_back(std::move(view));
    }
    Plan plan = planJobs(input, m_options.plan);
    double storeCapacity = std::max(1.0, m_storeConcurrency.estimatedLoads);
    for (size_t i = 0; i < plan.unplacedModels.size(); ++i) {
        base::Duration loadTime = service.engine->models.at(plan.unplacedModels[i]).storeLoadTime;
        // On average half a load until a load slot is free, the load itself, and one load for each round before it.
        double rounds = 1.5 + std::floor(static_cast<double>(i) / storeCapacity);
        readyEstimates[{ service.name, plan.unplacedModels[i] }]
            = now + base::durationOf(rounds * base::secondsOf(loadTime));
    }
    for (PlanJob& job : plan.jobs) {
        m_replicaStates[job.replica]->hasJob = true;
        if (job.isFromStore) {
            m_storeLoadStarts.push_back(now);
            ++m_storeLoadsRunning;
            // Above the store's capacity, the duration of each load grows in proportion to their number.
            double slowdown = std::max(1.0, static_cast<double>(m_storeLoadsRunning) / storeCapacity);
            job.estimatedDuration = std::chrono::duration_cast<base::Millis>(job.estimatedDuration * slowdown);
        }
        m_loop.spawn([this, job = std::move(job)]() mutable { runJob(std::move(job)); });
    }
}

} // namespace rattanshunt::models

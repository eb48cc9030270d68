// The placer's jobs: consecutive orders to one replica, each followed until it is complete.
#include <algorithm>

#include "base/Counters.h"
#include "base/Log.h"
#include "models/Placer.h"

namespace rattanshunt::models {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using gateway::LoadedModel;
using gateway::ModelOrder;
using gateway::OrderResult;

namespace {

    constexpr int maxAttempts = 3; // failed attempts at one order before the job is given up
    constexpr size_t maxOrderResponseBytes = 64 * 1024;

    const char* orderResultName(OrderResult result)
    {
        switch (result) {
        case OrderResult::Accepted:
            return "accepted";
        case OrderResult::AlreadyApplied:
            return "holds";
        case OrderResult::Conflict:
            return "conflict";
        case OrderResult::Superseded:
            return "superseded";
        case OrderResult::Refused:
            return "refused";
        case OrderResult::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    bool modelIsLoaded(const std::vector<LoadedModel>& held, const std::string& model, const std::string& adapter)
    {
        for (const LoadedModel& each : held) {
            if (each.name == model)
                return adapter.empty()
                    || std::find(each.adapters.begin(), each.adapters.end(), adapter) != each.adapters.end();
        }
        return false;
    }

} // namespace

// ---- Jobs --------------------------------------------------------------------------------------

void Placer::runJob(PlanJob job)
{
    auto found = m_replicaStates.find(job.replica);
    if (found == m_replicaStates.end())
        return;
    std::shared_ptr<ReplicaState> state = found->second;
    auto replica = m_hubSync.directory().replicas.find(job.replica);
    if (job.adapter.empty() && replica != m_hubSync.directory().replicas.end()) {
        state->loadingModel = job.model;
        replica->second.pendingModels = { { job.model, BootClock::now() + job.estimatedDuration, false } };
    }
    for (const std::string& model : job.unloadModels)
        state->leaving.emplace_back(model, "");
    for (const LoadedModel& model : job.unloadAdapters)
        state->leaving.emplace_back(model.name, model.adapters.front());
    publishPlacement(job.replica);
    int64_t token = m_fencingToken;
    BootTime startedAt = BootClock::now();
    double loadsAtStart = static_cast<double>(m_storeLoadsRunning);
    bool isDone = runJobOrders(job, *state);
    if (job.isFromStore && token == m_fencingToken) {
        double loadsAtEnd = static_cast<double>(m_storeLoadsRunning--);
        const gateway::Engine* engine = engineOf(job.replica);
        if (isDone && engine && engine->models.contains(job.model))
            storeConcurrencyUpdate(m_storeConcurrency, (loadsAtStart + loadsAtEnd) / 2,
                base::secondsOf(BootClock::now() - startedAt)
                    / base::secondsOf(engine->models.at(job.model).storeLoadTime));
    }
    state->loadingModel.clear();
    replica = m_hubSync.directory().replicas.find(job.replica);
    if (replica != m_hubSync.directory().replicas.end())
        replica->second.pendingModels.clear();
    auto current = m_replicaStates.find(job.replica);
    if (current == m_replicaStates.end() || current->second != state)
        return;
    if (isDone)
        ledgerAddHeld(state->ledger, job.model, job.adapter);
    else
        state->ledger.isCurrent = false; // unknown until the next report
    state->hasJob = false;
    state->leaving.clear();
    if (isDone)
        publishPlacement(job.replica);
    m_wake.set();
}

bool Placer::runJobOrders(const PlanJob& job, ReplicaState& state)
{
    for (const LoadedModel& evicted : job.unloadAdapters) {
        if (!executeOrder(job, state, { false, evicted.name, evicted.adapters.front(), 0, "", 0 }))
            return false;
        ledgerRemoveHeld(state.ledger, evicted.name, evicted.adapters.front());
    }
    for (const std::string& evicted : job.unloadModels) {
        if (!executeOrder(job, state, { false, evicted, "", 0, "", 0 }))
            return false;
        ledgerRemoveHeld(state.ledger, evicted, "");
    }
    return executeOrder(job, state, { true, job.model, job.adapter, 0, "", 0 });
}

bool Placer::orderFits(const std::string& id, const ReplicaState& state, const ModelOrder& order) const
{
    const gateway::Engine* engine = engineOf(id);
    return engine && ledgerOrderFits(state.ledger, *engine, order, BootClock::now(), m_options.ledger);
}

OrderResult Placer::sendOrder(const std::string& id, const ModelOrder& order)
{
    auto found = m_replicaStates.find(id);
    auto replica = m_hubSync.directory().replicas.find(id);
    if (found == m_replicaStates.end() || replica == m_hubSync.directory().replicas.end())
        return OrderResult::Refused;
    std::shared_ptr<ReplicaState> state = found->second;
    // Answers to orders carry no id. On a connection that carried another call, a late copy of that call's answer could
    // be taken for this one.
    auto connection = m_dialer.create(replica->second.entry.address);
    base::TimePoint deadline = base::Clock::now() + m_options.orderTimeout;
    if (m_dialer.connect(*connection, deadline) != net::HttpCallError::None)
        return OrderResult::Conflict; // not sent; the next attempt starts with a report, as after a conflict
    // Connecting may have taken long, so permission to issue orders is checked last.
    if (!m_hubSync.mayOrder(BootClock::now()) || m_fencingToken != m_hubSync.fencingToken())
        return OrderResult::Superseded;
    if (isQuiet(id, *state) || directory::noticeIsLeaving(m_hubSync.notices(), id, state->startedAtMillis))
        return OrderResult::Conflict; // not sent
    base::counterAdd("model_orders_total");
    logCall(id, *state, "order");
    BootTime sentAt = BootClock::now();
    ledgerOrderSent(state->ledger);
    net::HttpResult result = net::httpCall(*connection, m_codec.writeOrder(order, id), deadline, maxOrderResponseBytes);
    OrderResult outcome
        = result.error == net::HttpCallError::None ? m_codec.readOrderResponse(result.response) : OrderResult::Unknown;
    ledgerOrderEnded(state->ledger, order, outcome, sentAt, BootClock::now());
    if (result.error == net::HttpCallError::None)
        recordLimit(id, *state, result.response, sentAt, false);
    return outcome;
}

// Tells all members when a model that is being loaded will be ready.
void Placer::publishReadyTime(const std::string& id, const std::string& model, BootTime readyAt, bool isConfirmed)
{
    auto replica = m_hubSync.directory().replicas.find(id);
    if (replica == m_hubSync.directory().replicas.end())
        return;
    replica->second.pendingModels = { { model, readyAt, isConfirmed } };
    m_hubSync.notifyPlacementChanged(id);
}

// Waits until reports show that an order is complete. False if it was not accepted or timed out. Suspends.
bool Placer::waitForOrder(
    const PlanJob& job, ReplicaState& state, const ModelOrder& order, bool wasAccepted, BootTime giveUpAt)
{
    while (BootClock::now() < giveUpAt && !m_isStopping) {
        net::sleepFor(isLimited(job.replica, state) ? limits::reportInterval : m_options.orderPollInterval);
        auto current = m_replicaStates.find(job.replica);
        if (current == m_replicaStates.end() || current->second.get() != &state
            || m_fencingToken != m_hubSync.fencingToken())
            return false;
        if (!requestReport(job.replica) || state.report.ordersAccepted < state.ledger.ordersAccepted
            || state.report.isExecutingOrder)
            continue;
        if (modelIsLoaded(state.report.models, order.model, order.adapter) == order.isLoad)
            return true;
        if (!wasAccepted)
            return false;
    }
    return false;
}

// Sends one order, with retries after conflicts, and waits until it is complete. Suspends.
bool Placer::executeOrder(const PlanJob& job, ReplicaState& state, const ModelOrder& planned)
{
    BootTime giveUpAt = BootClock::now()
        + (job.adapter.empty() ? m_options.orderCompletionTimeout : m_options.adapterOrderCompletionTimeout);
    for (int attempts = 0; attempts < maxAttempts && BootClock::now() < giveUpAt; ++attempts) {
        ModelOrder order = planned;
        order.hubName = m_hubSync.options().name;
        order.fencingToken = m_fencingToken;
        order.expectedOrdersAccepted = state.ledger.ordersAccepted;
        auto current = m_replicaStates.find(job.replica);
        if (current == m_replicaStates.end() || current->second.get() != &state)
            return false; // the replica has restarted or another term has begun: the job was planned for another state
        if (!orderFits(job.replica, state, order)) {
            base::logEvent(LogLevel::Warning, "placement.does_not_fit",
                { { "replica", job.replica }, { "model", order.model }, { "adapter", order.adapter } });
            return false;
        }
        OrderResult result = sendOrder(job.replica, order);
        base::logEvent(LogLevel::Info, "placement.order",
            { { "replica", job.replica }, { "operation", order.isLoad ? "load" : "unload" }, { "model", order.model },
                { "adapter", order.adapter }, { "expected_orders", order.expectedOrdersAccepted },
                { "fencing_token", order.fencingToken }, { "from_store", job.isFromStore },
                { "estimate_ms", job.estimatedDuration.count() }, { "outcome", orderResultName(result) } });
        if (result == OrderResult::Superseded) {
            if (m_hubSync.isHub() && m_fencingToken == m_hubSync.fencingToken() && m_hubSync.mayOrder(BootClock::now()))
                m_hubSync.resign("a replica has seen a higher fencing token");
            return false;
        }
        if (result == OrderResult::Refused)
            return false;
        bool wasAccepted = result == OrderResult::Accepted || result == OrderResult::AlreadyApplied;
        if (wasAccepted && !order.adapter.empty() && order.isLoad) {
            net::sleepFor(m_options.adapterReadyDelay);
            return true;
        }
        // An adapter in use keeps its slot until its running requests have ended. Only then does the replica answer
        // that it is unloaded already.
        if (result == OrderResult::AlreadyApplied && !order.adapter.empty())
            return true;
        // Reports lag, so after an accepted order the usual duration is waited without them. If the order takes longer,
        // the next order fails, and requests that arrive too early are refused without being run.
        if (result == OrderResult::Accepted && !order.isLoad && order.adapter.empty()) {
            net::sleepFor(m_options.idleUnloadDuration);
            return true;
        }
        if (result == OrderResult::Accepted && order.isLoad) {
            publishReadyTime(job.replica, order.model, BootClock::now() + job.estimatedDuration + m_options.loadMargin,
                !job.isFromStore);
            if (!job.isFromStore) {
                net::sleepFor(job.estimatedDuration + m_options.loadMargin);
                return true;
            }
        }
        if (waitForOrder(job, state, order, wasAccepted, giveUpAt))
            return true;
    }
    base::logEvent(LogLevel::Warning, "placement.given_up",
        { { "replica", job.replica }, { "model", planned.model }, { "adapter", planned.adapter } });
    return false;
}

} // namespace rattanshunt::models

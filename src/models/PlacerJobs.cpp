// The placer's jobs: orders to one replica, one after another, and how each is followed.
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

    constexpr int conflictsMost = 3; // answers "another order" before a job is given up

    const char* orderAnswerName(OrderResult answer)
    {
        switch (answer) {
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

    void removeHeld(std::vector<LoadedModel>& held, const std::string& model, const std::string& adapter)
    {
        for (auto each = held.begin(); each != held.end(); ++each) {
            if (each->name != model)
                continue;
            if (adapter.empty())
                held.erase(each);
            else
                std::erase(each->adapters, adapter);
            return;
        }
    }

    bool modelIsHeld(const std::vector<LoadedModel>& held, const std::string& model, const std::string& adapter)
    {
        for (const LoadedModel& each : held) {
            if (each.name == model)
                return adapter.empty()
                    || std::find(each.adapters.begin(), each.adapters.end(), adapter) != each.adapters.end();
        }
        return false;
    }

    void addHeld(std::vector<LoadedModel>& held, const std::string& model, const std::string& adapter)
    {
        auto found
            = std::find_if(held.begin(), held.end(), [&](const LoadedModel& each) { return each.name == model; });
        if (found == held.end())
            found = held.insert(held.end(), LoadedModel { model, {} });
        if (!adapter.empty()
            && std::find(found->adapters.begin(), found->adapters.end(), adapter) == found->adapters.end())
            found->adapters.push_back(adapter);
    }

} // namespace

// ---- Jobs --------------------------------------------------------------------------------------

void Placer::runJob(PlanJob job)
{
    auto found = m_replicaStates.find(job.replica);
    if (found == m_replicaStates.end())
        return;
    std::shared_ptr<ReplicaState> follow = found->second;
    auto replica = m_hubSync.directory().replicas.find(job.replica);
    if (job.adapter.empty() && replica != m_hubSync.directory().replicas.end()) {
        follow->loadingModel = job.model;
        replica->second.pendingModels = { { job.model, BootClock::now() + job.estimatedDuration, false } };
    }
    for (const std::string& model : job.unloadModels)
        removeHeld(follow->held, model, "");
    for (const LoadedModel& model : job.unloadAdapters)
        removeHeld(follow->held, model.name, model.adapters.front());
    publishPlacement(job.replica);
    int64_t token = m_fencingToken;
    BootTime begunAt = BootClock::now();
    double crowd = static_cast<double>(m_storeLoadsRunning);
    bool isDone = runJobOrders(job, *follow);
    if (job.isFromStore && token == m_fencingToken) {
        double crowdAfter = static_cast<double>(m_storeLoadsRunning--);
        const gateway::Engine* engine = engineOf(job.replica);
        if (isDone && engine && engine->models.contains(job.model))
            storeConcurrencyUpdate(m_storeConcurrency, (crowd + crowdAfter) / 2,
                base::secondsOf(BootClock::now() - begunAt)
                    / base::secondsOf(engine->models.at(job.model).storeLoadTime));
    }
    follow->loadingModel.clear();
    replica = m_hubSync.directory().replicas.find(job.replica);
    if (replica != m_hubSync.directory().replicas.end())
        replica->second.pendingModels.clear();
    auto current = m_replicaStates.find(job.replica);
    if (current == m_replicaStates.end() || current->second != follow)
        return;
    if (isDone)
        addHeld(follow->held, job.model, job.adapter);
    else
        follow->isHeldCurrent = false; // until the next report, nothing is known for sure
    follow->hasJob = false;
    if (isDone)
        publishPlacement(job.replica);
    m_wake.set();
}

bool Placer::runJobOrders(const PlanJob& job, ReplicaState& follow)
{
    for (const LoadedModel& gone : job.unloadAdapters) {
        if (!executeOrder(job, follow, { false, gone.name, gone.adapters.front(), 0, "", 0 }))
            return false;
        removeHeld(follow.held, gone.name, gone.adapters.front());
    }
    for (const std::string& gone : job.unloadModels) {
        if (!executeOrder(job, follow, { false, gone, "", 0, "", 0 }))
            return false;
        removeHeld(follow.held, gone, "");
    }
    return executeOrder(job, follow, { true, job.model, job.adapter, 0, "", 0 });
}

bool Placer::orderFits(const std::string& id, const ModelOrder& order) const
{
    const gateway::Engine* engine = engineOf(id);
    auto follow = m_replicaStates.find(id);
    if (!engine || follow == m_replicaStates.end() || !engine->models.contains(order.model))
        return false;
    if (!follow->second->isHeldCurrent)
        return false;
    double used = 0;
    size_t places = follow->second->report.pendingAdapters.size();
    for (const LoadedModel& held : follow->second->held) {
        auto spec = engine->models.find(held.name);
        if (spec == engine->models.end())
            return false;
        used += spec->second.weightsMb + spec->second.adapterMb * static_cast<double>(held.adapters.size());
        places += held.adapters.size();
    }
    const gateway::ModelSpec& spec = engine->models.at(order.model);
    if (order.adapter.empty())
        return used + spec.weightsMb <= engine->weightsMb;
    return places < engine->adapterSlots && used + spec.adapterMb <= engine->weightsMb;
}

OrderResult Placer::sendOrder(const std::string& id, const ModelOrder& order)
{
    auto found = m_replicaStates.find(id);
    auto replica = m_hubSync.directory().replicas.find(id);
    if (found == m_replicaStates.end() || replica == m_hubSync.directory().replicas.end())
        return OrderResult::Refused;
    std::shared_ptr<ReplicaState> follow = found->second;
    auto connection = std::move(follow->connection);
    base::TimePoint deadline = base::Clock::now() + m_options.orderTimeout;
    if (!connection || !connection->isReusable()) {
        connection = net::HttpConnection::create(m_loop, replica->second.entry.address);
        if (connection->connect(deadline) != net::HttpCallError::None)
            return OrderResult::Conflict; // nothing was sent; the next try begins with a report, as after a conflict
    }
    // The connection may have taken long: the right to order is checked last.
    if (!m_hubSync.mayOrder(BootClock::now()) || m_fencingToken != m_hubSync.fencingToken())
        return OrderResult::Superseded;
    base::counterAdd("model_orders_total");
    follow->isOrderPending = true;
    net::HttpResult result = net::httpCall(*connection, m_codec.writeOrder(order, id), deadline);
    follow->isOrderPending = false;
    follow->lastOrderDoneAt = BootClock::now();
    if (result.error != net::HttpCallError::None)
        return OrderResult::Unknown;
    if (!follow->connection)
        follow->connection = std::move(connection);
    return m_codec.readOrderResponse(result.response);
}

// Tells everybody when a model that is being loaded will be ready.
void Placer::publishReadyTime(const std::string& id, const std::string& model, BootTime readyAt, bool isSure)
{
    auto replica = m_hubSync.directory().replicas.find(id);
    if (replica == m_hubSync.directory().replicas.end())
        return;
    replica->second.pendingModels = { { model, readyAt, isSure } };
    m_hubSync.notifyPlacementChanged(id);
}

// Waits until reports show that an order was carried out. False if it was not taken, or time is over. Suspends.
bool Placer::waitForOrder(
    const PlanJob& job, ReplicaState& follow, const ModelOrder& order, bool wasAccepted, BootTime giveUpAt)
{
    while (BootClock::now() < giveUpAt && !m_isStopping) {
        net::sleepFor(m_options.orderPollInterval);
        auto current = m_replicaStates.find(job.replica);
        if (current == m_replicaStates.end() || current->second.get() != &follow
            || m_fencingToken != m_hubSync.fencingToken())
            return false;
        if (!requestReport(job.replica) || follow.report.ordersAccepted < follow.ordersTaken
            || follow.report.isExecutingOrder)
            continue;
        if (modelIsHeld(follow.report.models, order.model, order.adapter) == order.isLoad)
            return true;
        if (!wasAccepted)
            return false;
    }
    return false;
}

// Gives one order and waits until it is carried out. Suspends.
bool Placer::executeOrder(const PlanJob& job, ReplicaState& follow, const ModelOrder& planned)
{
    BootTime giveUpAt = BootClock::now()
        + (job.adapter.empty() ? m_options.orderCompletionTimeout : m_options.adapterOrderCompletionTimeout);
    for (int conflicts = 0; conflicts < conflictsMost && BootClock::now() < giveUpAt; ++conflicts) {
        ModelOrder order = planned;
        order.hubName = m_hubSync.options().name;
        order.fencingToken = m_fencingToken;
        order.expectedOrdersAccepted = follow.ordersTaken;
        if (order.isLoad && !orderFits(job.replica, order)) {
            base::logEvent(LogLevel::Warning, "placement.does_not_fit",
                { { "replica", job.replica }, { "model", order.model }, { "adapter", order.adapter } });
            return false;
        }
        OrderResult answer = sendOrder(job.replica, order);
        base::logEvent(LogLevel::Info, "placement.order",
            { { "replica", job.replica }, { "operation", order.isLoad ? "load" : "unload" }, { "model", order.model },
                { "adapter", order.adapter }, { "expected_orders", order.expectedOrdersAccepted },
                { "fencing_token", order.fencingToken }, { "from_store", job.isFromStore },
                { "estimate_ms", job.estimatedDuration.count() }, { "outcome", orderAnswerName(answer) } });
        if (answer == OrderResult::Superseded) {
            if (m_hubSync.isHub() && m_fencingToken == m_hubSync.fencingToken() && m_hubSync.mayOrder(BootClock::now()))
                m_hubSync.resign("a replica has seen a higher fencing token");
            return false;
        }
        if (answer == OrderResult::Refused)
            return false;
        bool wasAccepted = answer == OrderResult::Accepted || answer == OrderResult::AlreadyApplied;
        if (answer == OrderResult::Accepted || (answer == OrderResult::AlreadyApplied && !order.adapter.empty()))
            follow.ordersTaken = std::max(follow.ordersTaken, order.expectedOrdersAccepted + 1);
        if (wasAccepted && !order.adapter.empty() && order.isLoad) {
            net::sleepFor(m_options.adapterReadyDelay);
            return true;
        }
        // An adapter that is in use keeps its place until its runs have ended; only then is the answer "holds".
        if (answer == OrderResult::AlreadyApplied && !order.adapter.empty())
            return true;
        // Reports lag, so the usual time of an order that was accepted is waited out without them. The next order fails
        // if this one is still under way, and requests that come too early are refused unrun.
        if (answer == OrderResult::Accepted && !order.isLoad && order.adapter.empty()) {
            net::sleepFor(m_options.idleUnloadDuration);
            return true;
        }
        if (answer == OrderResult::Accepted && order.isLoad) {
            publishReadyTime(job.replica, order.model, BootClock::now() + job.estimatedDuration + m_options.loadMargin,
                !job.isFromStore);
            if (!job.isFromStore) {
                net::sleepFor(job.estimatedDuration + m_options.loadMargin);
                return true;
            }
        }
        if (waitForOrder(job, follow, order, wasAccepted, giveUpAt))
            return true;
    }
    base::logEvent(LogLevel::Warning, "placement.given_up",
        { { "replica", job.replica }, { "model", planned.model }, { "adapter", planned.adapter } });
    return false;
}

} // namespace rattanshunt::models

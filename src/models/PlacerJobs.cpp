// The placer's jobs: orders to one replica, one after another, and how each is followed.
#include <algorithm>

#include "base/Counters.h"
#include "base/Log.h"
#include "models/Placer.h"

namespace rattanshunt::models {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using gateway::HeldModel;
using gateway::ModelOrder;
using gateway::OrderAnswer;

namespace {

    constexpr int conflictsMost = 3; // answers "another order" before a job is given up

    const char* orderAnswerName(OrderAnswer answer)
    {
        switch (answer) {
        case OrderAnswer::Accepted:
            return "accepted";
        case OrderAnswer::Holds:
            return "holds";
        case OrderAnswer::Conflict:
            return "conflict";
        case OrderAnswer::Superseded:
            return "superseded";
        case OrderAnswer::Refused:
            return "refused";
        case OrderAnswer::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    void removeHeld(std::vector<HeldModel>& held, const std::string& model, const std::string& adapter)
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

    bool modelIsHeld(const std::vector<HeldModel>& held, const std::string& model, const std::string& adapter)
    {
        for (const HeldModel& each : held) {
            if (each.name == model)
                return adapter.empty()
                    || std::find(each.adapters.begin(), each.adapters.end(), adapter) != each.adapters.end();
        }
        return false;
    }

    void addHeld(std::vector<HeldModel>& held, const std::string& model, const std::string& adapter)
    {
        auto found = std::find_if(held.begin(), held.end(), [&](const HeldModel& each) { return each.name == model; });
        if (found == held.end())
            found = held.insert(held.end(), HeldModel { model, {} });
        if (!adapter.empty()
            && std::find(found->adapters.begin(), found->adapters.end(), adapter) == found->adapters.end())
            found->adapters.push_back(adapter);
    }

} // namespace

// ---- Jobs --------------------------------------------------------------------------------------

void Placer::runJob(PlanJob job)
{
    auto found = m_follows.find(job.replica);
    if (found == m_follows.end())
        return;
    std::shared_ptr<Follow> follow = found->second;
    auto replica = m_fabric.directory().replicas.find(job.replica);
    if (job.adapter.empty() && replica != m_fabric.directory().replicas.end()) {
        follow->coming = job.model;
        replica->second.coming = { { job.model, BootClock::now() + job.estimate, false } };
    }
    for (const std::string& model : job.unloadModels)
        removeHeld(follow->held, model, "");
    for (const HeldModel& model : job.unloadAdapters)
        removeHeld(follow->held, model.name, model.adapters.front());
    publish(job.replica);
    int64_t token = m_token;
    BootTime begunAt = BootClock::now();
    double crowd = static_cast<double>(m_storeLoadsRunning);
    bool isDone = runSteps(job, *follow);
    if (job.fromStore && token == m_token) {
        double crowdAfter = static_cast<double>(m_storeLoadsRunning--);
        const gateway::Engine* engine = engineOf(job.replica);
        if (isDone && engine && engine->models.contains(job.model))
            storeSpeedNote(m_storeSpeed, (crowd + crowdAfter) / 2,
                base::secondsOf(BootClock::now() - begunAt) / base::secondsOf(engine->models.at(job.model).storeLoad));
    }
    follow->coming.clear();
    replica = m_fabric.directory().replicas.find(job.replica);
    if (replica != m_fabric.directory().replicas.end())
        replica->second.coming.clear();
    auto current = m_follows.find(job.replica);
    if (current == m_follows.end() || current->second != follow)
        return;
    if (isDone)
        addHeld(follow->held, job.model, job.adapter);
    else
        follow->isSettled = false; // until the next report, nothing is known for sure
    follow->isEngaged = false;
    if (isDone)
        publish(job.replica);
    m_wake.set();
}

bool Placer::runSteps(const PlanJob& job, Follow& follow)
{
    for (const HeldModel& gone : job.unloadAdapters) {
        if (!orderAndFollow(job, follow, { false, gone.name, gone.adapters.front(), 0, "", 0 }))
            return false;
        removeHeld(follow.held, gone.name, gone.adapters.front());
    }
    for (const std::string& gone : job.unloadModels) {
        if (!orderAndFollow(job, follow, { false, gone, "", 0, "", 0 }))
            return false;
        removeHeld(follow.held, gone, "");
    }
    return orderAndFollow(job, follow, { true, job.model, job.adapter, 0, "", 0 });
}

bool Placer::fits(const std::string& id, const ModelOrder& order) const
{
    const gateway::Engine* engine = engineOf(id);
    auto follow = m_follows.find(id);
    if (!engine || follow == m_follows.end() || !engine->models.contains(order.model))
        return false;
    if (!follow->second->isSettled)
        return false;
    double used = 0;
    size_t places = follow->second->report.comingAdapters.size();
    for (const HeldModel& held : follow->second->held) {
        auto spec = engine->models.find(held.name);
        if (spec == engine->models.end())
            return false;
        used += spec->second.weightsMb + spec->second.adapterMb * static_cast<double>(held.adapters.size());
        places += held.adapters.size();
    }
    const gateway::ModelSpec& spec = engine->models.at(order.model);
    if (order.adapter.empty())
        return used + spec.weightsMb <= engine->weightsMb;
    return places < engine->adapterPlaces && used + spec.adapterMb <= engine->weightsMb;
}

OrderAnswer Placer::sendOrder(const std::string& id, const ModelOrder& order)
{
    auto found = m_follows.find(id);
    auto replica = m_fabric.directory().replicas.find(id);
    if (found == m_follows.end() || replica == m_fabric.directory().replicas.end())
        return OrderAnswer::Refused;
    std::shared_ptr<Follow> follow = found->second;
    auto connection = std::move(follow->connection);
    base::TimePoint deadline = base::Clock::now() + m_options.orderTime;
    if (!connection || !connection->isReusable()) {
        connection = net::HttpConnection::create(m_loop, replica->second.entry.address);
        if (connection->connect(deadline) != net::HttpCallError::None)
            return OrderAnswer::Conflict; // nothing was sent; the next try begins with a report, as after a conflict
    }
    // The connection may have taken long: the right to order is checked last.
    if (!m_fabric.mayOrder(BootClock::now()) || m_token != m_fabric.fencingToken())
        return OrderAnswer::Superseded;
    base::counterAdd("model_orders_total");
    follow->isOrdering = true;
    net::HttpResult result = net::httpCall(*connection, m_dialect.writeOrder(order, id), deadline);
    follow->isOrdering = false;
    follow->orderedAt = BootClock::now();
    if (result.error != net::HttpCallError::None)
        return OrderAnswer::Unknown;
    if (!follow->connection)
        follow->connection = std::move(connection);
    return m_dialect.readOrderAnswer(result.response);
}

// Tells everybody when a model that is being loaded will be ready.
void Placer::expectReady(const std::string& id, const std::string& model, BootTime readyAt, bool isSure)
{
    auto replica = m_fabric.directory().replicas.find(id);
    if (replica == m_fabric.directory().replicas.end())
        return;
    replica->second.coming = { { model, readyAt, isSure } };
    m_fabric.placementChanged(id);
}

// Waits until reports show that an order was carried out. False if it was not taken, or time is over. Suspends.
bool Placer::followOrder(
    const PlanJob& job, Follow& follow, const ModelOrder& order, bool wasAccepted, BootTime giveUpAt)
{
    while (BootClock::now() < giveUpAt && !m_isStopping) {
        net::sleepFor(m_options.followInterval);
        auto current = m_follows.find(job.replica);
        if (current == m_follows.end() || current->second.get() != &follow || m_token != m_fabric.fencingToken())
            return false;
        if (!askReport(job.replica) || follow.report.ordersTaken < follow.ordersTaken || follow.report.isBusy)
            continue;
        if (modelIsHeld(follow.report.models, order.model, order.adapter) == order.isLoad)
            return true;
        if (!wasAccepted)
            return false;
    }
    return false;
}

// Gives one order and waits until it is carried out. Suspends.
bool Placer::orderAndFollow(const PlanJob& job, Follow& follow, const ModelOrder& planned)
{
    BootTime giveUpAt = BootClock::now() + (job.adapter.empty() ? m_options.followTime : m_options.adapterFollowTime);
    for (int conflicts = 0; conflicts < conflictsMost && BootClock::now() < giveUpAt; ++conflicts) {
        ModelOrder order = planned;
        order.holder = m_fabric.options().name;
        order.fencingToken = m_token;
        order.expectedOrders = follow.ordersTaken;
        if (order.isLoad && !fits(job.replica, order)) {
            base::logEvent(LogLevel::Warning, "placement.does_not_fit",
                { { "replica", job.replica }, { "model", order.model }, { "adapter", order.adapter } });
            return false;
        }
        OrderAnswer answer = sendOrder(job.replica, order);
        base::logEvent(LogLevel::Info, "placement.order",
            { { "replica", job.replica }, { "operation", order.isLoad ? "load" : "unload" }, { "model", order.model },
                { "adapter", order.adapter }, { "expected_orders", order.expectedOrders },
                { "fencing_token", order.fencingToken }, { "from_store", job.fromStore },
                { "estimate_ms", job.estimate.count() }, { "outcome", orderAnswerName(answer) } });
        if (answer == OrderAnswer::Superseded) {
            if (m_fabric.isHub() && m_token == m_fabric.fencingToken() && m_fabric.mayOrder(BootClock::now()))
                m_fabric.resign("a replica has seen a higher fencing token");
            return false;
        }
        if (answer == OrderAnswer::Refused)
            return false;
        bool wasAccepted = answer == OrderAnswer::Accepted || answer == OrderAnswer::Holds;
        if (answer == OrderAnswer::Accepted || (answer == OrderAnswer::Holds && !order.adapter.empty()))
            follow.ordersTaken = std::max(follow.ordersTaken, order.expectedOrders + 1);
        if (wasAccepted && !order.adapter.empty() && order.isLoad) {
            net::sleepFor(m_options.adapterTime);
            return true;
        }
        // An adapter that is in use keeps its place until its runs have ended; only then is the answer "holds".
        if (answer == OrderAnswer::Holds && !order.adapter.empty())
            return true;
        // Reports lag, so the usual time of an order that was accepted is waited out without them. The next order fails
        // if this one is still under way, and requests that come too early are refused unrun.
        if (answer == OrderAnswer::Accepted && !order.isLoad && order.adapter.empty()) {
            net::sleepFor(m_options.unloadTime);
            return true;
        }
        if (answer == OrderAnswer::Accepted && order.isLoad) {
            expectReady(
                job.replica, order.model, BootClock::now() + job.estimate + m_options.loadSlack, !job.fromStore);
            if (!job.fromStore) {
                net::sleepFor(job.estimate + m_options.loadSlack);
                return true;
            }
        }
        if (followOrder(job, follow, order, wasAccepted, giveUpAt))
            return true;
    }
    base::logEvent(LogLevel::Warning, "placement.given_up",
        { { "replica", job.replica }, { "model", planned.model }, { "adapter", planned.adapter } });
    return false;
}

} // namespace rattanshunt::models

// Replicas as the gateway sees them: choice, waiting, attempts.
#include <cmath>

#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

namespace {

    // The prompt's shared parts: all but the last, which is the request's own.
    uint64_t affinityOf(const RequestHead& head)
    {
        if (head.prompt.size() < 2)
            return 0;
        std::string text = head.model + "/" + head.adapter;
        for (size_t i = 0; i + 1 < head.prompt.size(); ++i)
            text += "," + head.prompt[i].id;
        return base::stableHash(text) | 1;
    }

    int64_t millisSince(BootTime now, BootTime then)
    {
        return std::chrono::duration_cast<base::Millis>(now - then).count();
    }

} // namespace

// ---- Replicas ----------------------------------------------------------------------------------

Gateway::ReplicaUse& Gateway::useOf(const directory::Replica& replica)
{
    ReplicaUse& use = m_uses[replica.entry.id];
    if (use.bornMillis != replica.entry.bornMillis) {
        use = { replica.entry.bornMillis, use.ownNow, 0, use.unread, 0, 0, {}, 0, {}, {} };
        m_channels.forget(replica.entry.address);
    }
    if (replica.hasReport && replica.reportAt > use.reportedAt) {
        use.reported = replica.report.running + replica.report.waiting;
        use.waiting = replica.report.waiting;
        use.reportedAt = replica.reportAt;
        use.ownThen = use.ownNow;
    }
    return use;
}

double Gateway::troubleOf(ReplicaUse& use, BootTime now) const
{
    double halves = base::secondsOf(std::max(BootClock::duration(0), now - use.troubleAt))
        / base::secondsOf(m_options.troubleHalfLife);
    use.trouble *= std::exp2(-halves);
    use.troubleAt = now;
    return use.trouble;
}

const directory::Replica* Gateway::chooseReplica(
    Session& session, const std::set<std::string>& tried, bool& isHeldSomewhere)
{
    isHeldSomewhere = false;
    std::vector<ReplicaView> views;
    std::vector<const directory::Replica*> replicas;
    BootTime now = BootClock::now();
    bool isEngine = session.service->engine && !session.head.model.empty();
    for (const auto& [id, replica] : m_fabric.directory().replicas) {
        if (replica.entry.service != session.service->name || !directory::replicaIsUsable(replica))
            continue;
        if (isEngine && !directory::replicaHolds(replica, session.head.model, session.head.adapter, now))
            continue;
        if (replica.isSilent && now - useOf(replica).goodAt > m_options.goodTime)
            continue;
        isHeldSomewhere = true;
        if (tried.contains(id))
            continue;
        ReplicaUse& use = useOf(replica);
        ReplicaView view;
        view.id = id;
        view.slots = replica.entry.slots;
        view.reported = use.reported;
        view.ownNow = use.ownNow;
        view.ownThen = use.ownThen;
        view.reportAge = now - use.reportedAt;
        view.ownUnread = use.unread;
        view.reportedWaiting = use.waiting;
        view.trouble = troubleOf(use, now);
        view.isAway = replica.entry.dataCenter != m_fabric.options().dataCenter;
        view.hasConnection = m_channels.hasIdle(replica.entry.address, session.progress.repeat);
        views.push_back(view);
        replicas.push_back(&replica);
    }
    ChoiceRequest request { affinityOf(session.head), base::stableHash(session.head.id) };
    request.isLong = session.head.promptTokens >= m_options.longPrompt;
    request.group = isEngine ? base::stableHash(session.head.model) | 1 : 0;
    auto chosen = replicaChoose(views, request, isEngine ? m_options.engineChoice : m_options.plainChoice);
    return chosen ? replicas[*chosen] : nullptr;
}

// When the model will be ready somewhere, if that is known.
std::optional<BootTime> Gateway::readyEstimate(const Session& session) const
{
    std::optional<BootTime> earliest;
    for (const auto& [id, replica] : m_fabric.directory().replicas) {
        if (replica.entry.service != session.service->name)
            continue;
        for (const directory::ComingModel& coming : replica.coming) {
            if (coming.model == session.head.model && (!earliest || coming.readyAt < *earliest))
                earliest = coming.readyAt;
        }
    }
    if (earliest)
        return earliest;
    auto found = m_fabric.outlook().find({ session.service->name, session.head.model });
    if (found != m_fabric.outlook().end())
        return found->second;
    return std::nullopt;
}

// Waits for a replica that can take the request. Null with a reason if none comes. Suspends.
const directory::Replica* Gateway::awaitReplica(Session& session, const std::set<std::string>& tried, Refusal& refusal)
{
    BootTime since = BootClock::now();
    bool isHurried = false;
    while (!session.isGone) {
        bool isHeld = false;
        const directory::Replica* replica = chooseReplica(session, tried, isHeld);
        BootTime now = BootClock::now();
        if (!mayServe(now) && !session.account.empty()) {
            refusal = { "configuration_stale", m_options.retryAfter };
            break;
        }
        if (replica) {
            m_waiting.erase(&session);
            session.waited += now - since;
            return replica;
        }
        if (m_isDraining && now - since > m_options.drainWait) {
            refusal = { "stopping", m_options.waiting.retryLeast };
            break;
        }
        WaitView view;
        view.waited = now - since;
        view.timeLeft = session.deadline - now;
        view.patienceLeft = session.patienceEnd - now;
        view.waitingHere = m_waiting.size();
        view.isHeld = isHeld;
        view.isEngine = session.service->engine.has_value();
        view.hasTriedOthers = !tried.empty();
        view.hasHub = m_fabric.hasHub();
        view.isAdapter = !session.head.adapter.empty();
        if (!isHeld) {
            if (auto readyAt = readyEstimate(session))
                view.readyIn = *readyAt - now;
        }
        WaitDecision decision = waitDecide(view, m_options.waiting);
        if (!decision.mayWait) {
            base::logEvent(LogLevel::Info, "request.not_waiting",
                { { "id", session.head.id }, { "why", decision.why }, { "model", session.head.model },
                    { "is_held", isHeld }, { "ready_in_ms", view.readyIn ? base::millisOf(*view.readyIn) : -1 },
                    { "patience_left_ms", base::millisOf(view.patienceLeft) },
                    { "waited_ms", base::millisOf(view.waited) }, { "waiting_here", view.waitingHere },
                    { "has_hub", view.hasHub },
                    { "retry_after_ms", decision.retryAfter ? decision.retryAfter->count() : 0 } });
            refusal = { decision.why, decision.retryAfter };
            break;
        }
        m_waiting.insert(&session);
        if (!isHeld && !isHurried) {
            isHurried = true;
            m_fabric.hurry();
        }
        session.isAwaitingModel = !isHeld;
        base::Duration look = decision.lookAgain;
        if (view.readyIn && *view.readyIn > base::Duration(0))
            look = std::min(look, *view.readyIn + base::Millis(1));
        session.wake.reset();
        session.wake.waitUntil(base::Clock::now() + look);
    }
    m_waiting.erase(&session);
    return nullptr;
}

AttemptResult Gateway::attempt(Session& session, const directory::Replica& replica)
{
    ReplicaEntry entry = replica.entry; // the directory may change meanwhile
    {
        ReplicaUse& use = useOf(replica);
        use.ownNow += 1;
        use.unread += 1;
    }
    session.onFirstByte = [this, id = entry.id] { m_uses[id].unread = std::max(0.0, m_uses[id].unread - 1); };
    BootTime begunAt = BootClock::now();
    AttemptResult result = attemptRun(session, entry, m_dialect, m_channels);
    attempts::noteAttempt(session.progress, result.end);
    if (session.onFirstByte)
        std::exchange(session.onFirstByte, nullptr)();
    BootTime now = BootClock::now();
    ReplicaUse& use = m_uses[entry.id];
    use.ownNow = std::max(0.0, use.ownNow - 1);
    if (result.load) {
        use.reported = result.load->running + result.load->waiting;
        use.waiting = result.load->waiting;
        use.reportedAt = now;
        use.ownThen = use.ownNow;
    }
    if (result.end == AttemptEnd::Whole)
        use.goodAt = now;
    double trouble = troubleOf(use, now);
    use.trouble = result.isTrouble && !session.isGone ? trouble + 1
        : result.end == AttemptEnd::Whole             ? trouble * 0.6
                                                      : trouble;
    base::counterAddLabelled("attempts_total", "end", result.why);
    if (result.end != AttemptEnd::Whole)
        base::logEvent(LogLevel::Info, "request.attempt",
            { { "id", session.head.id }, { "replica", entry.id }, { "attempt", session.progress.attemptsMade },
                { "end", result.why }, { "status", result.response.status }, { "reused", result.wasReused },
                { "took_ms", millisSince(now, begunAt) }, { "trouble", use.trouble },
                { "events", session.events.passed } });
    wakeWaiting();
    return result;
}

} // namespace rattanshunt::gateway

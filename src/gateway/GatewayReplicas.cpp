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
        if (head.promptSegments.size() < 2)
            return 0;
        std::string text = head.model + "/" + head.adapter;
        for (size_t i = 0; i + 1 < head.promptSegments.size(); ++i)
            text += "," + head.promptSegments[i].id;
        return base::stableHash(text) | 1;
    }

    int64_t millisSince(BootTime now, BootTime then)
    {
        return std::chrono::duration_cast<base::Millis>(now - then).count();
    }

} // namespace

// ---- Replicas ----------------------------------------------------------------------------------

Gateway::ReplicaStats& Gateway::statsOf(const directory::Replica& replica)
{
    ReplicaStats& use = m_replicaStats[replica.entry.id];
    if (use.startedAtMillis != replica.entry.startedAtMillis) {
        use = { replica.entry.startedAtMillis, use.ownInFlight, 0, use.ownAwaitingFirstByte, 0, 0, {}, 0, {}, {} };
        m_connectionPool.closeIdle(replica.entry.address);
    }
    if (replica.hasReport && replica.reportRequestedAt > use.reportedAt) {
        use.reportedInFlight = replica.report.running + replica.report.waiting;
        use.reportedWaiting = replica.report.waiting;
        use.reportedAt = replica.reportRequestedAt;
        use.ownInFlightAtReport = use.ownInFlight;
    }
    return use;
}

double Gateway::decayedFailureScore(ReplicaStats& use, BootTime now) const
{
    double halves = base::secondsOf(std::max(BootClock::duration(0), now - use.failureScoreAt))
        / base::secondsOf(m_options.failureHalfLife);
    use.failureScore *= std::exp2(-halves);
    use.failureScoreAt = now;
    return use.failureScore;
}

const directory::Replica* Gateway::selectReplica(
    RequestContext& session, const std::set<std::string>& tried, bool& isHeldSomewhere)
{
    isHeldSomewhere = false;
    std::vector<ReplicaCandidate> views;
    std::vector<const directory::Replica*> replicas;
    BootTime now = BootClock::now();
    bool isEngine = session.service->engine && !session.head.model.empty();
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        if (replica.entry.service != session.service->name || !directory::replicaIsUsable(replica))
            continue;
        if (isEngine && !directory::replicaHasModel(replica, session.head.model, session.head.adapter, now))
            continue;
        if (replica.isUnreachableFromHub && now - statsOf(replica).lastSuccessAt > m_options.recentSuccessPeriod)
            continue;
        isHeldSomewhere = true;
        if (tried.contains(id))
            continue;
        ReplicaStats& use = statsOf(replica);
        ReplicaCandidate view;
        view.id = id;
        view.slots = replica.entry.slots;
        view.reportedInFlight = use.reportedInFlight;
        view.ownInFlight = use.ownInFlight;
        view.ownInFlightAtReport = use.ownInFlightAtReport;
        view.reportAge = now - use.reportedAt;
        view.ownAwaitingFirstByte = use.ownAwaitingFirstByte;
        view.reportedWaiting = use.reportedWaiting;
        view.failureScore = decayedFailureScore(use, now);
        view.isInOtherDataCenter = replica.entry.dataCenter != m_hubSync.options().dataCenter;
        view.hasIdleConnection = m_connectionPool.hasIdle(replica.entry.address, session.progress.retryClass);
        views.push_back(view);
        replicas.push_back(&replica);
    }
    SelectionRequest request { affinityOf(session.head), base::stableHash(session.head.id) };
    request.hasLongPrompt = session.head.promptTokens >= m_options.longPromptTokens;
    request.modelHash = isEngine ? base::stableHash(session.head.model) | 1 : 0;
    auto chosen = replicaSelect(views, request, isEngine ? m_options.engineSelection : m_options.plainSelection);
    return chosen ? replicas[*chosen] : nullptr;
}

// When the model will be ready somewhere, if that is known.
std::optional<BootTime> Gateway::estimatedReadyAt(const RequestContext& session) const
{
    std::optional<BootTime> earliest;
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        if (replica.entry.service != session.service->name)
            continue;
        for (const directory::PendingModel& coming : replica.pendingModels) {
            if (coming.model == session.head.model && (!earliest || coming.readyAt < *earliest))
                earliest = coming.readyAt;
        }
    }
    if (earliest)
        return earliest;
    auto found = m_hubSync.readyEstimates().find({ session.service->name, session.head.model });
    if (found != m_hubSync.readyEstimates().end())
        return found->second;
    return std::nullopt;
}

// Waits for a replica that can take the request. Null with a reason if none comes. Suspends.
const directory::Replica* Gateway::awaitReplica(
    RequestContext& session, const std::set<std::string>& tried, Refusal& refusal)
{
    BootTime since = BootClock::now();
    bool isHurried = false;
    while (!session.hasCallerLeft) {
        bool isHeld = false;
        const directory::Replica* replica = selectReplica(session, tried, isHeld);
        BootTime now = BootClock::now();
        if (!hasFreshConfiguration(now) && !session.accountName.empty()) {
            refusal = { "configuration_stale", m_options.defaultRetryAfter };
            break;
        }
        if (replica) {
            m_waitingRequests.erase(&session);
            session.totalWait += now - since;
            return replica;
        }
        if (m_isDraining && now - since > m_options.maxDrainWait) {
            refusal = { "stopping", m_options.waiting.minRetryAfter };
            break;
        }
        WaitInputs view;
        view.waited = now - since;
        view.timeLeft = session.deadline - now;
        view.firstByteTimeLeft = session.firstByteDeadline - now;
        view.waitingRequests = m_waitingRequests.size();
        view.hasUsableReplica = isHeld;
        view.isEngineService = session.service->engine.has_value();
        view.hasTriedReplica = !tried.empty();
        view.hasHub = m_hubSync.hasHub();
        view.isForAdapter = !session.head.adapter.empty();
        if (!isHeld) {
            if (auto readyAt = estimatedReadyAt(session))
                view.readyIn = *readyAt - now;
        }
        WaitDecision decision = waitDecide(view, m_options.waiting);
        if (!decision.mayWait) {
            base::logEvent(LogLevel::Info, "request.not_waiting",
                { { "id", session.head.id }, { "why", decision.reason }, { "model", session.head.model },
                    { "is_held", isHeld }, { "ready_in_ms", view.readyIn ? base::millisOf(*view.readyIn) : -1 },
                    { "patience_left_ms", base::millisOf(view.firstByteTimeLeft) },
                    { "waited_ms", base::millisOf(view.waited) }, { "waiting_here", view.waitingRequests },
                    { "has_hub", view.hasHub },
                    { "retry_after_ms", decision.retryAfter ? decision.retryAfter->count() : 0 } });
            refusal = { decision.reason, decision.retryAfter };
            break;
        }
        m_waitingRequests.insert(&session);
        if (!isHeld && !isHurried) {
            isHurried = true;
            m_hubSync.requestSync();
        }
        session.isAwaitingModel = !isHeld;
        base::Duration look = decision.recheckAfter;
        if (view.readyIn && *view.readyIn > base::Duration(0))
            look = std::min(look, *view.readyIn + base::Millis(1));
        session.wakeEvent.reset();
        session.wakeEvent.waitUntil(base::Clock::now() + look);
    }
    m_waitingRequests.erase(&session);
    return nullptr;
}

AttemptResult Gateway::runAttempt(RequestContext& session, const directory::Replica& replica)
{
    ReplicaEntry entry = replica.entry; // the directory may change meanwhile
    {
        ReplicaStats& use = statsOf(replica);
        use.ownInFlight += 1;
        use.ownAwaitingFirstByte += 1;
    }
    session.onFirstByte = [this, id = entry.id] {
        m_replicaStats[id].ownAwaitingFirstByte = std::max(0.0, m_replicaStats[id].ownAwaitingFirstByte - 1);
    };
    BootTime begunAt = BootClock::now();
    AttemptResult result = attemptRun(session, entry, m_codec, m_connectionPool);
    attempts::progressCountAttempt(session.progress, result.outcome);
    if (session.onFirstByte)
        std::exchange(session.onFirstByte, nullptr)();
    BootTime now = BootClock::now();
    ReplicaStats& use = m_replicaStats[entry.id];
    use.ownInFlight = std::max(0.0, use.ownInFlight - 1);
    if (result.load) {
        use.reportedInFlight = result.load->running + result.load->waiting;
        use.reportedWaiting = result.load->waiting;
        use.reportedAt = now;
        use.ownInFlightAtReport = use.ownInFlight;
    }
    if (result.outcome == AttemptOutcome::Complete)
        use.lastSuccessAt = now;
    double trouble = decayedFailureScore(use, now);
    use.failureScore = result.isReplicaFault && !session.hasCallerLeft ? trouble + 1
        : result.outcome == AttemptOutcome::Complete                   ? trouble * 0.6
                                                                       : trouble;
    base::counterAddLabelled("attempts_total", "end", result.reason);
    if (result.outcome != AttemptOutcome::Complete)
        base::logEvent(LogLevel::Info, "request.attempt",
            { { "id", session.head.id }, { "replica", entry.id }, { "attempt", session.progress.attemptsMade },
                { "end", result.reason }, { "status", result.response.status },
                { "reused", result.wasConnectionReused }, { "took_ms", millisSince(now, begunAt) },
                { "trouble", use.failureScore }, { "events", session.eventSplitter.completeEvents } });
    wakeWaiting();
    return result;
}

} // namespace rattanshunt::gateway

// Replica selection, waiting and attempts of class Gateway.
#include <cmath>

#include "base/Counters.h"
#include "base/Histograms.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using directory::ReplicaObstacle;

namespace {

    // Hash of the prompt segments that other requests may share: all but the last. 0: there are none.
    uint64_t affinityHashOf(const RequestHead& head)
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
    ReplicaStats& stats = m_replicaStats[replica.entry.id];
    if (stats.startedAtMillis != replica.entry.startedAtMillis) {
        ReplicaStats restarted;
        restarted.startedAtMillis = replica.entry.startedAtMillis;
        restarted.ownLoad = std::move(stats.ownLoad);
        restarted.ownAwaitingFirstByte = stats.ownAwaitingFirstByte;
        stats = std::move(restarted);
        if (!m_isExplaining)
            m_connectionPool.closeIdle(replica.entry.address);
    }
    if (replica.hasReport)
        recordLoad(stats, replica.report.running, replica.report.waiting, replica.reportRequestedAt);
    return stats;
}

// Takes over what a replica reported of its load, unless a newer report is known.
void Gateway::recordLoad(ReplicaStats& stats, double running, double waiting, BootTime reportedAt)
{
    if (reportedAt <= stats.reportedAt)
        return;
    stats.reportedInFlight = running + waiting;
    stats.reportedWaiting = waiting;
    stats.reportedAt = reportedAt;
    stats.ownInFlightAtReport = ownLoadAtReport(stats.ownLoad, reportedAt, m_options.ownLoad);
}

double Gateway::decayedFailureScore(ReplicaStats& stats, BootTime now) const
{
    double halfLives = base::secondsOf(std::max(BootClock::duration(0), now - stats.failureScoreAt))
        / base::secondsOf(m_options.failureHalfLife);
    stats.failureScore *= std::exp2(-halfLives);
    stats.failureScoreAt = now;
    return stats.failureScore;
}

Gateway::ReplicaChoice Gateway::selectReplica(RequestContext& request, const std::set<std::string>& tried)
{
    ReplicaChoice choice;
    bool hasUnlimited = false;
    bool hasVersion = false;
    bool isModelElsewhere = false; // at another version only, so that no replica is ordered to load it
    std::vector<ReplicaCandidate> candidates;
    std::vector<const directory::Replica*> replicas;
    BootTime now = BootClock::now();
    bool isEngine = request.service->engine && !request.head.model.empty();
    BootTime noColdPermitBefore = m_noColdPermitBefore[request.service->name];
    const ReplicaSelectionOptions& selectionOptions = isEngine ? m_options.engineSelection : m_options.plainSelection;
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        if (replica.entry.service != request.service->name)
            continue;
        directory::ReplicaLife life = lifeOf(request, replica, now);
        ReplicaObstacle obstacle = directory::replicaObstacle(life, now);
        if (obstacle == ReplicaObstacle::Leaving || obstacle == ReplicaObstacle::Evacuated
            || obstacle == ReplicaObstacle::OutsideHomes)
            continue;
        choice.isInHomes = true;
        bool hasModel = !isEngine || directory::replicaHasModel(replica, request.head.model, request.head.adapter, now);
        if (request.pinnedVersion && replica.entry.version != *request.pinnedVersion) {
            isModelElsewhere = isModelElsewhere || (isEngine && hasModel);
            continue;
        }
        hasVersion = true;
        if (!hasModel)
            continue;
        if (replica.isUnreachableFromHub && now - statsOf(replica).lastSuccessAt > m_options.recentSuccessPeriod)
            continue;
        choice.hasUsable = true;
        if (tried.contains(id))
            continue;
        if (obstacle == ReplicaObstacle::Quiet) {
            choice.permitAt = std::min(choice.permitAt.value_or(*life.quietUntil), *life.quietUntil);
            continue;
        }
        ReplicaStats& stats = statsOf(replica);
        bool isCold = directory::replicaIsCold(life, now);
        bool isLimited = directory::replicaPermitRate(life, now).has_value();
        hasUnlimited = hasUnlimited || !isLimited;
        if (isLimited && life.hasPermit) {
            choice.replica = &replica;
            choice.hasVersion = true;
            return choice;
        }
        if (isLimited && now < stats.noPermitBefore) {
            choice.permitAt = std::min(choice.permitAt.value_or(stats.permitExpectedAt), stats.permitExpectedAt);
            continue;
        }
        if (isCold && now < noColdPermitBefore) {
            choice.permitAt = std::min(choice.permitAt.value_or(noColdPermitBefore), noColdPermitBefore);
            continue;
        }
        ReplicaCandidate candidate;
        candidate.isLimited = isLimited;
        candidate.isCold = isCold;
        candidate.id = id;
        candidate.slots = replica.entry.slots;
        candidate.reportedInFlight = stats.reportedInFlight;
        candidate.ownInFlight = stats.ownLoad.inFlight;
        candidate.ownInFlightAtReport = stats.ownInFlightAtReport;
        candidate.reportAge = now - stats.reportedAt;
        candidate.ownAwaitingFirstByte = stats.ownAwaitingFirstByte;
        candidate.reportedWaiting = stats.reportedWaiting;
        candidate.failureScore = decayedFailureScore(stats, now);
        candidate.hasIdleConnection
            = m_connectionPool.hasIdle(replica.entry.address, request.progress.retryClass == RetryClass::AtMostOnce);
        addPace(candidate, stats, selectionOptions, now);
        candidates.push_back(candidate);
        replicas.push_back(&replica);
    }
    SelectionRequest selection { affinityHashOf(request.head), base::stableHash(request.head.id) };
    selection.hasLongPrompt = request.head.promptTokens >= m_options.longPromptTokens;
    selection.modelHash = isEngine ? base::stableHash(request.head.model) | 1 : 0;
    choice.hasVersion = hasVersion && (choice.hasUsable || !isModelElsewhere);
    setDataCenterCosts(request, candidates, replicas, selectionOptions.otherDataCenterCost);
    auto chosen
        = replicaSelect(candidates, selection, selectionOptions, request.trace ? &request.trace->terms : nullptr);
    if (chosen) {
        choice.replica = replicas[*chosen];
        choice.needsPermit = candidates[*chosen].isLimited;
        choice.isCold = candidates[*chosen].isCold;
    }
    if (hasUnlimited)
        choice.permitAt.reset();
    if (request.trace) {
        for (const directory::Replica* replica : replicas)
            request.trace->dataCenters.push_back(replica->entry.dataCenter);
        request.trace->candidates = std::move(candidates);
    }
    return choice;
}

// The earliest time at which a replica is expected to have the model, if known.
std::optional<BootTime> Gateway::estimatedReadyAt(const RequestContext& request) const
{
    std::optional<BootTime> earliest;
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        if (replica.entry.service != request.service->name)
            continue;
        for (const directory::PendingModel& pending : replica.pendingModels) {
            if (pending.model == request.head.model && (!earliest || pending.readyAt < *earliest))
                earliest = pending.readyAt;
        }
    }
    if (earliest)
        return earliest;
    auto found = m_hubSync.readyEstimates().find({ request.service->name, request.head.model });
    if (found != m_hubSync.readyEstimates().end())
        return found->second;
    return std::nullopt;
}

// Call right before an attempt is sent.
void Gateway::recordSend(const RequestContext& request, const ReplicaEntry& entry, BootTime attemptBegunAt)
{
    BootTime now = BootClock::now();
    base::Duration age = now - m_hubSync.freshAsOf();
    const char* source = hub::directorySourceName(m_hubSync.directorySource());
    base::histogramObserve("directory_age_at_send_seconds", source, age);
    auto found = m_hubSync.directory().replicas.find(entry.id);
    bool hasLeft = found == m_hubSync.directory().replicas.end() || found->second.entry.isDraining;
    if (hasLeft || age > m_options.loggedDirectoryAge)
        base::logEvent(LogLevel::Info, "replica.doubtful_send",
            { { "id", request.head.id }, { "replica", entry.id }, { "has_left", hasLeft },
                { "directory_age_ms", base::millisOf(age) }, { "source", source },
                { "is_lapsed", !hasLeft && found->second.isLapsed },
                { "connect_ms", millisSince(now, attemptBegunAt) } });
}

AttemptResult Gateway::runAttempt(RequestContext& request, const directory::Replica& replica)
{
    ReplicaEntry entry = replica.entry; // a copy, as the directory may change during the attempt
    {
        ReplicaStats& stats = statsOf(replica);
        ownLoadChange(stats.ownLoad, 1, BootClock::now(), m_options.ownLoad);
        stats.ownAwaitingFirstByte += 1;
    }
    request.onFirstByte = [this, id = entry.id] {
        m_replicaStats[id].ownAwaitingFirstByte = std::max(0.0, m_replicaStats[id].ownAwaitingFirstByte - 1);
    };
    // At the head of the response: a stream may end seconds after its replica reported the load.
    request.onLoad = [this, id = entry.id](const ResponseHead::Load& load) {
        BootTime now = BootClock::now();
        recordLoad(m_replicaStats[id], load.running, load.waiting, now);
        recordPace(m_replicaStats[id], load, now);
    };
    beginPartEvidence(request);
    BootTime begunAt = BootClock::now();
    request.lastReplicaId = entry.id;
    request.onLimit
        = [this, &request, &entry, begunAt](const NamedLimit& limit) { recordLimit(request, entry, limit, begunAt); };
    if (request.progress.retryClass == RetryClass::Resumable)
        request.onFirstEvent = [this, &request, &entry] { recordStreamVersion(request, entry); };
    request.onStatement = [this, &request, &entry](const directory::ReplicaStatement& statement) {
        m_hubSync.recordStatement(entry.id, entry.startedAtMillis, statement);
        if (request.relay)
            m_dialer.passStatement(*request.relay, entry, statement);
        if (statement.isLeaving)
            m_connectionPool.closeIdle(entry.address);
    };
    request.findSendObstacle = [this, &request, &entry, begunAt] {
        const char* obstacle = findSendObstacle(request, entry);
        if (!obstacle)
            recordSend(request, entry, begunAt);
        return obstacle;
    };
    request.relay.reset();
    request.hasLostLink = false;
    request.mayReuseConnections = !m_dialer.hasLostReplicas();
    request.openConnection
        = [this, &request, &entry](std::unique_ptr<net::HttpConnection>& connection, base::TimePoint deadline) {
              return openConnection(request, entry, connection, deadline);
          };
    request.onHeard = [this, &request] {
        if (!request.relay)
            m_dialer.recordHeard();
    };
    armSilenceCheck();
    if (m_hubSync.replicaLimit(entry.id, entry.startedAtMillis))
        base::logEvent(LogLevel::Info, "replica.limited_call",
            { { "replica", entry.id }, { "kind", "request" }, { "id", request.head.id } });
    uint64_t eventsBefore = request.eventSplitter.completeEvents;
    AttemptResult result = attemptRun(request, entry, m_codec, m_connectionPool, m_responseMemory);
    recordTransfer(request, entry, result);
    if (!attemptIsObsolete(result))
        attempts::progressCountAttempt(request.progress, result.outcome);
    request.openConnection = nullptr;
    request.onHeard = nullptr;
    request.confirmEnd = nullptr;
    request.findSendObstacle = nullptr;
    request.onLimit = nullptr;
    request.onStatement = nullptr;
    request.onFirstEvent = nullptr;
    if (result.wasSent)
        request.permit.reset();
    confirmConnectionEnd(request, entry, result);
    bool hasRefused = std::string_view(result.reason) == connectFailedReason && !request.hasCallerLeft;
    bool hasEnded = result.hasConnectionEnded && result.outcome != AttemptOutcome::Complete;
    // A connection that was used before may have been closed for being idle.
    if (hasRefused || (hasEnded && !result.wasConnectionReused))
        m_hubSync.presumeRestarted(entry.id, entry.startedAtMillis);
    releasePermit(request);
    if (request.onFirstByte)
        std::exchange(request.onFirstByte, nullptr)();
    BootTime now = BootClock::now();
    ReplicaStats& stats = m_replicaStats[entry.id];
    ownLoadChange(stats.ownLoad, -1, now, m_options.ownLoad);
    if (result.outcome == AttemptOutcome::Complete) {
        stats.lastSuccessAt = now;
        recordTimes(stats, request, result, eventsBefore);
        usualTimeRecord(m_usualTimes[request.route->name], now - begunAt);
    }
    double failureScore = decayedFailureScore(stats, now);
    stats.failureScore = result.isReplicaFault && !request.hasCallerLeft ? failureScore + 1
        : result.outcome == AttemptOutcome::Complete                     ? failureScore * 0.6
                                                                         : failureScore;
    base::counterAddLabelled("attempts_total", "end", result.reason);
    if (result.outcome != AttemptOutcome::Complete)
        base::logEvent(LogLevel::Info, "request.attempt",
            { { "id", request.head.id }, { "replica", entry.id }, { "attempt", request.progress.attemptsMade },
                { "end", result.reason }, { "status", result.response.status },
                { "reused", result.wasConnectionReused }, { "identified", result.wasIdentified },
                { "relay", request.relay ? request.relay->name : "" }, { "took_ms", millisSince(now, begunAt) },
                { "trouble", stats.failureScore }, { "events", request.eventSplitter.completeEvents },
                { "parts", attemptPartsText(request, result) }, { "request", attemptKeyText(request, result) } });
    recordPartEvidence(request, entry, result);
    offerSlots();
    return result;
}

} // namespace rattanshunt::gateway

// Replicas with a limit on their request rate, in class Gateway: what responses name, and permits for attempts.
#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

// Takes over what the head of a response says of its replica's rate.
void Gateway::recordLimit(
    const RequestContext& request, const ReplicaEntry& entry, const NamedLimit& limit, BootTime requestedAt)
{
    if (limit.isNamed && !limit.requestsPerSecond) {
        base::counterAdd("replica_limits_unreadable_total");
        base::logEvent(
            LogLevel::Warning, "replica.limit_unreadable", { { "replica", entry.id }, { "id", request.head.id } });
        return;
    }
    m_hubSync.recordLimit(
        { entry.id, entry.startedAtMillis, limit.requestsPerSecond, requestedAt, BootClock::now(), 1 });
}

bool Gateway::hasPermitFor(const RequestContext& request, const ReplicaEntry& entry, BootTime now) const
{
    return request.permit && request.permit->replica == entry.id
        && request.permit->startedAtMillis == entry.startedAtMillis && now < request.permit->expiresAt;
}

directory::ReplicaLife Gateway::lifeOf(
    const RequestContext& request, const directory::Replica& replica, BootTime now) const
{
    directory::ReplicaLife life = m_hubSync.replicaLife(replica, request.homes);
    life.hasPermit = hasPermitFor(request, replica.entry, now);
    return life;
}

// Asks for a permit and waits for its start. Without one, the replica is left out of the next selections. Suspends, so
// that the caller has to select again.
void Gateway::acquirePermit(RequestContext& request, const directory::Replica& replica, bool isCold)
{
    releasePermit(request);
    std::string id = replica.entry.id;
    int64_t startedAtMillis = replica.entry.startedAtMillis;
    BootTime requestedAt = BootClock::now();
    base::Duration maxWait
        = std::min(request.deadline, request.firstByteDeadline) - requestedAt - m_options.waiting.minServiceTime;
    limits::PermitAnswer answer = m_hubSync.takePermit(id, startedAtMillis, maxWait);
    if (!answer.isGranted) {
        base::Duration pause
            = std::max<base::Duration>(m_options.minPermitPause, answer.startsIn - limits::maxPermitWait / 2);
        BootTime now = BootClock::now();
        m_replicaStats[id].noPermitBefore = now + pause;
        m_replicaStats[id].permitExpectedAt = now + answer.startsIn;
        // Other cold replicas of the service are likely to be as sought after. Without a pause that grows with the
        // fleet, each waiting request would ask the hub for each of them.
        if (isCold)
            m_noColdPermitBefore[request.service->name] = now
                + std::max(m_options.minPermitPause,
                    m_options.coldPermitPause * static_cast<int64_t>(m_hubSync.memberCount()));
        base::counterAdd("replica_permits_denied_total");
        return;
    }
    // Counts from the call, as the machine may have been suspended meanwhile.
    BootTime startsAt = requestedAt + std::min<base::Duration>(BootClock::now() - requestedAt, m_options.minPermitPause)
        + answer.startsIn;
    request.permit = ReplicaPermit { id, startedAtMillis, startsAt + limits::permitLifetime, answer.isFromHub };
    m_waitingRequests.insert(&request);
    while (!request.hasCallerLeft && BootClock::now() < startsAt) {
        request.wakeEvent.reset();
        request.wakeEvent.waitUntil(base::Clock::now() + (startsAt - BootClock::now()));
    }
}

// Returns a permit that the request did not use.
void Gateway::releasePermit(RequestContext& request)
{
    if (request.permit && request.permit->isFromHub)
        m_hubSync.returnPermit(request.permit->replica);
    request.permit.reset();
}

// Why an attempt must not be sent now; null if it may. Connecting to the replica may have taken long.
const char* Gateway::findSendObstacle(RequestContext& request, const ReplicaEntry& entry)
{
    BootTime now = BootClock::now();
    auto found = m_hubSync.directory().replicas.find(entry.id);
    if (found == m_hubSync.directory().replicas.end())
        return replicaLeftReason;
    const directory::Replica& replica = found->second;
    directory::ReplicaLife life = lifeOf(request, replica, now);
    // What is known of the process that was selected counts, also after another one has taken its place.
    life.isLeaving = life.isLeaving || directory::noticeIsLeaving(m_hubSync.notices(), entry.id, entry.startedAtMillis);
    life.isEvacuated = life.isEvacuated || evacuation::isEvacuated(m_hubSync.evacuations(), entry.dataCenter);
    directory::ReplicaObstacle obstacle = directory::replicaObstacle(life, now);
    if (obstacle == directory::ReplicaObstacle::Evacuated)
        base::logEvent(LogLevel::Info, "replica.evacuated",
            { { "id", request.head.id }, { "replica", entry.id }, { "data_center", entry.dataCenter } });
    if (const char* name = directory::obstacleName(obstacle))
        base::counterAddLabelled("sends_prevented_total", "why", name);
    bool needsPermit = obstacle == directory::ReplicaObstacle::Limited || obstacle == directory::ReplicaObstacle::Cold;
    if (obstacle != directory::ReplicaObstacle::None && !needsPermit)
        return directory::obstacleName(obstacle);
    if (m_hubSync.directoryIsTooOld(m_hubSync.options().directoryAge.maxToSend))
        return directoryTooOldReason;
    if (auto blocked = partRefusal(request))
        return blocked->reason;
    return directory::obstacleName(obstacle);
}

} // namespace rattanshunt::gateway

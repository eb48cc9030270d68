// Requests that wait for a replica, in class Gateway.
#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

// ---- The queue for slots -----------------------------------------------------------------------

admission::WaitingTerms Gateway::waitingTerms(const RequestContext& request, const std::set<std::string>& tried) const
{
    admission::WaitingTerms terms;
    terms.priority = request.route->priority;
    base::Millis target = request.route->targetLatency;
    terms.targetAt = request.arrivedAt + target - std::min(m_options.waiting.firstEventTime, target / 2);
    terms.leaveAt = std::min(request.deadline, request.firstByteDeadline) - m_options.waiting.minServiceTime;
    // A request that was sent before, goes on with a stream or has homes may not use the replicas that others may use.
    std::string kind = request.service->name + "/" + request.head.model + "/" + request.head.adapter;
    if (request.pinnedVersion)
        kind += "@" + *request.pinnedVersion;
    for (const std::string& replica : tried)
        kind += "-" + replica;
    if (request.homes)
        kind += "#";
    for (const std::string& geo : request.homes.value_or(std::set<std::string> {}))
        kind += geo + "#";
    terms.kind = base::stableHash(kind);
    return terms;
}

// Call when a slot was released or something else has changed that waiting requests wait for. Each request that takes
// a slot, or finds none, wakes the next.
void Gateway::offerSlots()
{
    for (RequestContext* request : m_waitingRequests) {
        if (!m_waitingQueue.contains(*request))
            request->wakeEvent.set();
    }
    m_waitingQueue.beginOffers();
    wakeFirstWaiting();
}

void Gateway::wakeFirstWaiting()
{
    if (RequestContext* first = m_waitingQueue.first(BootClock::now()))
        first->wakeEvent.set();
}

void Gateway::wakeAllWaiting()
{
    for (RequestContext* request : m_waitingRequests)
        request->wakeEvent.set();
}

// Whether a slot that the request found is for another one that waits. Wakes that one.
bool Gateway::mustWaitForOthers(const RequestContext& request, const admission::WaitingTerms& terms, BootTime now)
{
    if (request.progress.attemptsMade > 0)
        return false;
    RequestContext* first = m_waitingQueue.firstBefore(terms, now);
    if (!first || first == &request)
        return false;
    base::counterAdd("waiting_slots_left_to_others_total");
    m_waitingQueue.leaveSlotTo(*first);
    first->wakeEvent.set();
    return true;
}

// Call when a request that was in the queue gets a slot.
void Gateway::recordSlotTaken(const admission::WaitingTerms& terms, BootTime now)
{
    base::counterAddLabelled("waiting_served_total", "in_time", now < terms.targetAt ? "true" : "false");
    m_waitingQueue.recordTaken(terms, now);
    wakeFirstWaiting();
}

void Gateway::recordNoSlot(RequestContext& request, BootTime now)
{
    if (!m_waitingQueue.contains(request))
        return;
    m_waitingQueue.pass(request, now + m_options.waiting.recheckInterval * 2);
    wakeFirstWaiting();
}

// Suspends until the request is offered a slot, at most for `recheckAfter`: slots also become free without a message.
void Gateway::waitForSlot(RequestContext& request, const admission::WaitingTerms& terms, base::Duration recheckAfter)
{
    m_waitingRequests.insert(&request);
    if (!m_waitingQueue.contains(request))
        m_waitingQueue.add(request, terms, !request.hasWaitedForSlot, BootClock::now());
    request.hasWaitedForSlot = true;
    request.wakeEvent.reset();
    request.wakeEvent.waitUntil(base::Clock::now() + recheckAfter);
}

void Gateway::endWait(RequestContext& request)
{
    m_waitingRequests.erase(&request);
    m_waitingQueue.remove(request, BootClock::now());
}

// ---- Waiting -----------------------------------------------------------------------------------

// Waits for a replica that can take the request. Null, with the reason in `refusal`, if there is none. Suspends.
const directory::Replica* Gateway::awaitReplica(
    RequestContext& request, const std::set<std::string>& tried, Refusal& refusal)
{
    BootTime since = BootClock::now();
    bool hasRequestedSync = false;
    bool hasQueued = false;
    admission::WaitingTerms terms = waitingTerms(request, tried);
    while (!request.hasCallerLeft) {
        ReplicaChoice choice = selectReplica(request, tried);
        bool hasUsableReplica = choice.hasUsable;
        BootTime now = BootClock::now();
        if (!hasFreshConfiguration(now) && !request.accountName.empty()) {
            refusal = { "configuration_stale", m_options.defaultRetryAfter };
            break;
        }
        if (auto partIsBlocked = partRefusal(request)) {
            refusal = *partIsBlocked;
            break;
        }
        if (m_isEnding || !mayEndInTime(request, now)) {
            refusal = { "stopping", m_options.waiting.minRetryAfter };
            break;
        }
        if (request.homes && !choice.isInHomes) {
            refusal = { "no_replica_in_homes", std::nullopt };
            break;
        }
        if (request.pinnedVersion && !choice.hasVersion) {
            refusal = { "no_replica_of_version", std::nullopt };
            break;
        }
        if (choice.replica && m_hubSync.directoryIsTooOld(m_hubSync.options().directoryAge.maxToSelect)) {
            if (request.deadline - now <= m_options.waiting.minServiceTime) {
                refusal = { directoryTooOldReason, m_options.waiting.minRetryAfter };
                break;
            }
            m_waitingQueue.remove(request, now);
            m_waitingRequests.insert(&request);
            request.wakeEvent.reset();
            request.wakeEvent.waitUntil(base::Clock::now() + m_hubSync.options().directoryAge.refreshWait);
            continue;
        }
        if (choice.replica && choice.needsPermit) {
            m_waitingQueue.remove(request, now);
            acquirePermit(request, *choice.replica, choice.isCold);
            continue;
        }
        bool hasPermit = choice.replica && hasPermitFor(request, choice.replica->entry, now);
        bool isBehindOthers = choice.replica && !hasPermit && mustWaitForOthers(request, terms, now);
        if (choice.replica && !isBehindOthers) {
            if (!hasPermit)
                releasePermit(request);
            endWait(request);
            if (hasQueued)
                recordSlotTaken(terms, now);
            request.totalWait += now - since;
            return choice.replica;
        }
        if (!choice.replica)
            recordNoSlot(request, now);
        if (m_isDraining && now - since > m_options.maxDrainWait) {
            refusal = { "stopping", m_options.waiting.minRetryAfter };
            break;
        }
        WaitInputs inputs;
        inputs.waited = now - since;
        inputs.timeLeft = request.deadline - now;
        inputs.firstByteTimeLeft = request.firstByteDeadline - now;
        inputs.waitingRequests = m_waitingRequests.size();
        inputs.hasUsableReplica = hasUsableReplica;
        inputs.isEngineService = request.service->engine.has_value();
        inputs.hasTriedReplica = !tried.empty();
        inputs.hasHub = m_hubSync.hasHub();
        inputs.isForAdapter = !request.head.adapter.empty();
        // Without a replica that it has not tried, or with permits only, the wait does not depend on slots.
        if (hasUsableReplica && tried.empty() && !choice.permitAt)
            inputs.slotIn = m_waitingQueue.expectedWait(terms, now);
        else
            m_waitingQueue.forgetRate(terms.kind);
        if (!request.accountName.empty() && now - m_hubSync.freshAsOf() > m_options.lateConfigurationAge)
            inputs.keysExpireIn = m_hubSync.freshAsOf() + m_options.maxConfigurationAgeForKeys - now;
        if (choice.permitAt)
            inputs.permitIn = std::max<base::Duration>(base::Duration(0), *choice.permitAt - now);
        if (!hasUsableReplica) {
            if (auto readyAt = estimatedReadyAt(request))
                inputs.readyIn = *readyAt - now;
        }
        WaitDecision decision = waitDecide(inputs, m_options.waiting);
        if (!decision.mayWait) {
            base::logEvent(LogLevel::Info, "request.not_waiting",
                { { "id", request.head.id }, { "why", decision.reason }, { "model", request.head.model },
                    { "is_held", hasUsableReplica },
                    { "ready_in_ms", inputs.readyIn ? base::millisOf(*inputs.readyIn) : -1 },
                    { "permit_in_ms", inputs.permitIn ? base::millisOf(*inputs.permitIn) : -1 },
                    { "slot_in_ms", inputs.slotIn ? base::millisOf(*inputs.slotIn) : -1 },
                    { "patience_left_ms", base::millisOf(inputs.firstByteTimeLeft) },
                    { "waited_ms", base::millisOf(inputs.waited) }, { "waiting_here", inputs.waitingRequests },
                    { "has_hub", inputs.hasHub },
                    { "retry_after_ms", decision.retryAfter ? decision.retryAfter->count() : 0 } });
            refusal = { decision.reason, decision.retryAfter };
            break;
        }
        if (!hasUsableReplica && !hasRequestedSync) {
            hasRequestedSync = true;
            m_hubSync.requestSync();
        }
        request.isAwaitingModel = !hasUsableReplica;
        base::Duration recheckAfter = decision.recheckAfter;
        if (inputs.readyIn && *inputs.readyIn > base::Duration(0))
            recheckAfter = std::min(recheckAfter, *inputs.readyIn + base::Millis(1));
        hasQueued = true;
        waitForSlot(request, terms, recheckAfter);
    }
    endWait(request);
    wakeFirstWaiting(); // the request may have been offered a slot
    releasePermit(request);
    return nullptr;
}

} // namespace rattanshunt::gateway

// The pace of replicas in class Gateway: what responses state, what attempts took, and the cost in selections.
#include <cmath>

#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootTime;

// Takes over what the head of a response states of the pace. Paces are compared within a replica's process, and their
// statistics start anew with it, see statsOf().
void Gateway::recordPace(ReplicaStats& stats, const ResponseHead::Load& load, BootTime now)
{
    if (!load.pace)
        return;
    base::counterAdd("replica_paces_stated_total");
    if (!stats.pace.last)
        base::logEvent(base::LogLevel::Info, "replica.pace_stated",
            { { "pace_percent", std::lround(std::min(*load.pace, m_options.pace.maxPace) * 100) },
                { "start", stats.startedAtMillis } });
    pace::paceRecordStated(stats.pace, *load.pace, now, m_options.pace);
}

// Records what a complete attempt took, if its replica states its pace.
void Gateway::recordTimes(
    ReplicaStats& stats, const RequestContext& request, const AttemptResult& result, uint64_t eventsBefore)
{
    if (!stats.pace.last)
        return;
    pace::ExpectedTimes observed;
    observed.firstEvent = base::secondsOf(result.timeToFirstByte);
    uint64_t events = request.eventSplitter.completeEvents - eventsBefore;
    if (events > 1 && request.attemptFirstEventAt != BootTime {})
        observed.betweenEvents
            = base::secondsOf(request.lastEventAt - request.attemptFirstEventAt) / static_cast<double>(events - 1);
    pace::UsualTimes& usual = m_usualEventTimes[{ request.service->name, request.head.model }];
    pace::usualTimesRecord(usual, observed, m_options.pace);
    pace::paceRecordTimes(stats.pace, usual, observed, m_options.pace);
}

void Gateway::addPace(
    ReplicaCandidate& candidate, const ReplicaStats& stats, const ReplicaSelectionOptions& options, BootTime now) const
{
    if (!stats.pace.last)
        return;
    candidate.statesPace = true;
    double waiting = candidate.reportedWaiting
        * std::exp2(-base::secondsOf(candidate.reportAge) / base::secondsOf(options.waitingHalfLife));
    pace::PaceInputs inputs;
    inputs.pace = stats.pace;
    inputs.load = replicaLoad(candidate, options);
    inputs.prefills = std::max(waiting, candidate.ownAwaitingFirstByte);
    candidate.paceCost = pace::paceCost(inputs, now, m_options.pace);
}

} // namespace rattanshunt::gateway

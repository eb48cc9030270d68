#include "limits/ReplicaLimits.h"

#include <algorithm>

namespace rattanshunt::limits {

using base::BootTime;

// ---- Ledger ------------------------------------------------------------------------------------

LimitChange ledgerRecord(LimitLedger& ledger, const LimitObservation& observation, BootTime now)
{
    auto found = ledger.limits.find(observation.replica);
    if (found != ledger.limits.end() && found->second.startedAtMillis > observation.startedAtMillis)
        return LimitChange::None;
    bool isKnown = found != ledger.limits.end() && found->second.startedAtMillis == observation.startedAtMillis;
    if (!observation.rate) {
        if (!isKnown || observation.requestedAt <= found->second.namedAt)
            return LimitChange::None;
        found->second.answersSince += observation.answers;
        if (found->second.answersSince < answersToLift || now - found->second.namedAt < liftDelay)
            return LimitChange::None;
        ledger.limits.erase(found);
        ++ledger.version;
        return LimitChange::Lifted;
    }
    if (!isKnown) {
        ledger.limits[observation.replica]
            = { observation.startedAtMillis, *observation.rate, observation.answeredAt, observation.answeredAt, 0 };
        ++ledger.version;
        return LimitChange::Limited;
    }
    ReplicaLimit& limit = found->second;
    bool isChanged = *observation.rate < limit.rate
        || (*observation.rate > limit.rate && observation.requestedAt >= limit.rateNamedAt);
    if (isChanged) {
        limit.rate = *observation.rate;
        ++ledger.version;
    }
    if (*observation.rate == limit.rate)
        limit.rateNamedAt = std::max(limit.rateNamedAt, observation.answeredAt);
    limit.namedAt = std::max(limit.namedAt, observation.answeredAt);
    limit.answersSince = 0;
    return isChanged ? LimitChange::RateChanged : LimitChange::None;
}

const ReplicaLimit* ledgerFind(const LimitLedger& ledger, const std::string& replica, int64_t startedAtMillis)
{
    auto found = ledger.limits.find(replica);
    bool isKnown = found != ledger.limits.end() && found->second.startedAtMillis == startedAtMillis;
    return isKnown ? &found->second : nullptr;
}

void ledgerPrune(
    LimitLedger& ledger, const std::function<std::optional<int64_t>(const std::string& replica)>& startOf, BootTime now)
{
    auto count = std::erase_if(ledger.limits, [&](const auto& item) {
        std::optional<int64_t> start = startOf(item.first);
        return start ? *start > item.second.startedAtMillis : now - item.second.namedAt > forgetDelay;
    });
    ledger.version += count;
}

// ---- Permits -----------------------------------------------------------------------------------

namespace {

    double permitRate(double rate)
    {
        return std::max(rate, minPermitRate);
    }

    base::Duration permitInterval(double rate)
    {
        return base::durationOf(1 / permitRate(rate));
    }

} // namespace

PermitAnswer permitTake(PermitSchedule& schedule, double rate, BootTime now, base::Duration maxWait)
{
    base::Duration interval = permitInterval(rate);
    base::Duration kept = std::min<base::Duration>(interval, permitBurstTime);
    BootTime startsAt = std::max<BootTime>(schedule.nextAt, now - kept);
    PermitAnswer answer;
    answer.isFromHub = true;
    answer.startsIn = std::max<base::Duration>(base::Duration(0), startsAt - now);
    answer.isGranted = answer.startsIn <= std::max<base::Duration>(base::Duration(0), maxWait);
    if (answer.isGranted)
        schedule.nextAt = startsAt + interval;
    return answer;
}

void permitReturn(PermitSchedule& schedule, double rate)
{
    schedule.nextAt -= permitInterval(rate);
}

// ---- Shares ------------------------------------------------------------------------------------

PermitAnswer shareTake(PermitShare& share, double rate, size_t members, double randomFraction, BootTime now)
{
    double refill = permitRate(rate) * shareFraction / static_cast<double>(std::max<size_t>(1, members));
    if (share.refilledAt == BootTime {})
        share.permits = randomFraction;
    else
        share.permits = std::min(
            1.0, share.permits + refill * base::secondsOf(std::max(BootTime::duration(0), now - share.refilledAt)));
    share.refilledAt = now;
    PermitAnswer answer;
    answer.isGranted = share.permits >= 1;
    if (answer.isGranted)
        share.permits -= 1;
    else
        answer.startsIn = std::min<base::Duration>(maxHubWait, base::durationOf((1 - share.permits) / refill));
    return answer;
}

} // namespace rattanshunt::limits

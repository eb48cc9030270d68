#include "limits/ColdReplicas.h"

#include <algorithm>
#include <set>

namespace rattanshunt::limits {

using base::BootTime;

namespace {

    BootTime endOf(BootTime from, base::Duration timeLeft)
    {
        return timeLeft >= BootTime::max() - from ? BootTime::max() : from + timeLeft;
    }

    // The state of this process; null if a later one is known.
    ColdState* stateOf(ColdLedger& ledger, const std::string& replica, int64_t startedAtMillis)
    {
        ColdState& state = ledger.replicas[replica];
        if (state.startedAtMillis > startedAtMillis)
            return nullptr;
        if (state.startedAtMillis < startedAtMillis)
            state = { .startedAtMillis = startedAtMillis };
        return &state;
    }

    // Returns whether the replica is cold now and was not.
    bool setEnd(ColdLedger& ledger, ColdState& state, BootTime until, BootTime now)
    {
        bool wasCold = now < state.until;
        bool isCold = now < until;
        base::Duration change = until > state.until ? until - state.until : state.until - until;
        if (wasCold != isCold || (isCold && change > coldChange))
            ++ledger.version;
        state.until = until;
        return isCold && !wasCold;
    }

} // namespace

// ---- Changes -----------------------------------------------------------------------------------

bool coldApplyEntry(
    ColdLedger& ledger, const ColdStatement& entry, BootTime readAt, BootTime now, base::Duration entryInterval)
{
    if (!entry.timeLeft && !entry.isNew)
        return false;
    if (entry.timeLeft == base::Millis(0) && !ledger.replicas.contains(entry.replica))
        return false;
    ColdState* state = stateOf(ledger, entry.replica, entry.startedAtMillis);
    if (!state)
        return false;
    BootTime until = endOf(now, entry.timeLeft.value_or(entry.usualTime));
    // The entry may have been written before the response.
    bool mayBeOlder = state->respondedAt != BootTime {} && readAt - state->respondedAt < entryInterval;
    if (mayBeOlder || now < state->keptUntil)
        until = std::max(until, state->until);
    state->asOf = std::max(state->asOf, readAt);
    bool isBegun = setEnd(ledger, *state, until, now);
    // Daemons that have not heard of it go on sending, but not to a replica that they do not know.
    if (isBegun)
        state->permitsFrom = entry.wasListed ? now + coldInformDelay : now;
    return isBegun;
}

bool coldRecord(ColdLedger& ledger, const std::string& replica, int64_t startedAtMillis, base::Duration timeLeft,
    BootTime answeredAt, BootTime now)
{
    ColdState* state = stateOf(ledger, replica, startedAtMillis);
    if (!state || answeredAt < state->respondedAt)
        return false;
    state->respondedAt = answeredAt;
    state->asOf = std::max(state->asOf, answeredAt);
    state->keptUntil = timeLeft > base::Duration(0) ? now + coldKeep : BootTime {};
    bool isBegun = setEnd(ledger, *state, endOf(answeredAt, timeLeft), now);
    if (isBegun)
        state->permitsFrom = now + coldInformDelay;
    return isBegun;
}

void coldPresume(ColdLedger& ledger, const std::string& replica, int64_t startedAtMillis, BootTime until, BootTime now,
    bool mayBeUnheard)
{
    ColdState* state = stateOf(ledger, replica, startedAtMillis);
    if (!state)
        return;
    state->asOf = now;
    state->keptUntil = mayBeUnheard ? now + coldKeep : BootTime {};
    setEnd(ledger, *state, std::max(until, state->until), now);
}

bool coldApplyRows(ColdLedger& ledger, const std::vector<ColdRow>& rows, BootTime asOf, bool isHub, BootTime now)
{
    std::set<std::string> listed;
    bool isComplete = true;
    for (const ColdRow& row : rows) {
        listed.insert(row.replica);
        ColdState* state = stateOf(ledger, row.replica, row.startedAtMillis);
        if (!state)
            continue;
        if (asOf < state->respondedAt) {
            isComplete = false;
            continue;
        }
        bool isOlder = asOf < state->asOf || now < state->keptUntil;
        isComplete = isComplete && !isOlder;
        isOlder = isOlder || !isHub;
        setEnd(ledger, *state, isOlder ? std::max(state->until, row.until) : row.until, now);
        state->permitsFrom = std::max(state->permitsFrom, row.permitsFrom);
        state->asOf = std::max(state->asOf, asOf);
    }
    if (!isHub)
        return isComplete;
    for (auto& [replica, state] : ledger.replicas) {
        if (listed.contains(replica) || now >= state.until)
            continue;
        if (asOf >= state.asOf && now >= state.keptUntil)
            setEnd(ledger, state, now, now);
        else
            isComplete = false;
    }
    return isComplete;
}

void coldPrune(
    ColdLedger& ledger, const std::function<std::optional<int64_t>(const std::string& replica)>& startOf, BootTime now)
{
    std::erase_if(ledger.replicas, [&](const auto& item) {
        const ColdState& state = item.second;
        std::optional<int64_t> start = startOf(item.first);
        if (start && *start > state.startedAtMillis)
            return true;
        // A recent response is compared with later entries.
        return now >= state.until ? now - state.asOf > forgetDelay : !start && now - state.asOf > forgetDelay;
    });
}

// ---- Use ---------------------------------------------------------------------------------------

std::optional<BootTime> coldUntil(
    const ColdLedger& ledger, const std::string& replica, int64_t startedAtMillis, BootTime now)
{
    auto found = ledger.replicas.find(replica);
    if (found == ledger.replicas.end() || found->second.startedAtMillis != startedAtMillis
        || now >= found->second.until)
        return std::nullopt;
    return found->second.until;
}

std::vector<ColdRow> coldRows(const ColdLedger& ledger, BootTime now)
{
    std::vector<ColdRow> rows;
    for (const auto& [replica, state] : ledger.replicas) {
        if (now < state.until)
            rows.push_back({ replica, state.startedAtMillis, state.until, state.permitsFrom });
    }
    return rows;
}

// ---- Rates -------------------------------------------------------------------------------------

double coldPermitRate(double perSecond, const ColdBound& bound)
{
    // In one second: permits that start in it or up to their lifetime before, a kept one, one for the window's edge,
    // and the shares of daemons without a hub.
    constexpr double edgePermits = 2;
    double allowed = perSecond * bound.excess + bound.slack - edgePermits;
    double seconds = 1 + base::secondsOf(permitLifetime) + shareFraction;
    return std::clamp(allowed / seconds, std::min(minPermitRate, perSecond), perSecond);
}

PermitAnswer coldShareTake(PermitShare& share, double rate, size_t members, double randomFraction, BootTime now)
{
    if (share.refilledAt != BootTime {} && now - share.refilledAt >= coldShareIdleTime) {
        PermitAnswer refilled = shareTake(share, rate, members, randomFraction, now);
        share.permits = std::min(refilled.isGranted ? share.permits + 1 : share.permits, randomFraction);
    }
    return shareTake(share, rate, members, randomFraction, now);
}

} // namespace rattanshunt::limits

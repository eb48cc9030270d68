// How old the knowledge of the replicas may be that a request is sent on, and which missing entries may have lapsed.
//
// Contents
//   [1] Data            DirectoryAgeLimits, DirectoryRefresh, DirectoryAgeStep
//   [2] Decisions       directoryAgeLimits(), directoryAgeDecide(), outageMayLapseEntries()
//
// Load pattern: replicas leave while the hub is rejected by the store, and then the hub ends as well. Each interval on
// the way of a removal to a request is kept, yet their sum exceeds the time in which nothing may reach the replica any
// more. The age of the knowledge is therefore checked where it takes effect: when a replica is selected, and again
// right before the request is sent to it, as connecting takes time.
//
// Knowledge that can't be renewed is used as it is: callers have nothing to gain from a refusal when the store is away.
// That is not so for a hub that is too busy to read the store in time: its requests wait for the read.
//
// Pure functions; safe to call from any thread. Times are boot times, which advance while the machine is suspended.
#pragma once

#include <algorithm>

#include "base/Time.h"

namespace rattanshunt::directory {

// ---- [1] Data ----------------------------------------------------------------------------------

struct DirectoryAgeLimits {
    base::Millis maxToSelect { 1500 };       // of the knowledge by which a replica is selected
    base::Millis maxToSend { 1800 };         // of the knowledge when the request is sent
    base::Millis refreshAhead { 1350 };      // from this age on, a request causes a refresh that it does not wait for
    base::Millis refreshWait { 400 };        // for which a request waits for a refresh, at most
    base::Millis refreshRetryPause { 1000 }; // after a read that failed; the main fiber reads again sooner by itself
};

// The latest read of the store, whoever began it.
struct DirectoryRefresh {
    bool isUnderWay = false;
    bool isAwaited = false;     // a request waits for its end
    base::BootTime begunAt {};  // of the one under way
    base::BootTime failedAt {}; // the read before it has failed then; default: it succeeded
};

enum class DirectoryAgeStep {
    Use,           // the knowledge is young enough, or can't be renewed
    UseAndRefresh, // the same, and a refresh should begin
    AwaitRefresh,  // wait for the refresh under way
    BeginAndAwait, // begin a refresh and wait for it
};

// ---- [2] Decisions -----------------------------------------------------------------------------

inline constexpr base::Millis sendTransitTime { 200 }; // from sending a request to its arrival at the replica
inline constexpr base::Millis selectionTime { 300 };   // from the selection of a replica to the sending, usually
inline constexpr double refreshAheadFraction = 0.9;    // of maxToSelect

// `removalDelay`: until nothing may reach a replica that is leaving.
inline DirectoryAgeLimits directoryAgeLimits(base::Millis removalDelay)
{
    DirectoryAgeLimits limits;
    limits.maxToSend = std::max(base::Millis(0), removalDelay - sendTransitTime);
    limits.maxToSelect = std::max(limits.maxToSend / 2, limits.maxToSend - selectionTime);
    limits.refreshAhead
        = base::Millis(static_cast<int64_t>(refreshAheadFraction * static_cast<double>(limits.maxToSelect.count())));
    return limits;
}

// What a request does whose knowledge may have `maxAge`. `asOf`: when the knowledge was surely current.
inline DirectoryAgeStep directoryAgeDecide(const DirectoryAgeLimits& limits, const DirectoryRefresh& refresh,
    base::BootTime asOf, base::Millis maxAge, base::BootTime now)
{
    base::Duration age = now - asOf;
    if (age < std::min(limits.refreshAhead, maxAge))
        return DirectoryAgeStep::Use;
    bool hasJustFailed = refresh.failedAt != base::BootTime {} && now - refresh.failedAt < limits.refreshRetryPause;
    // A read that takes long after one that succeeded shows a busy daemon, not a store that is away; it will end.
    bool isOverdue
        = refresh.isUnderWay && refresh.failedAt != base::BootTime {} && now - refresh.begunAt >= limits.refreshWait;
    if (hasJustFailed || isOverdue)
        return DirectoryAgeStep::Use;
    if (age < maxAge)
        return refresh.isUnderWay ? DirectoryAgeStep::Use : DirectoryAgeStep::UseAndRefresh;
    return refresh.isUnderWay ? DirectoryAgeStep::AwaitRefresh : DirectoryAgeStep::BeginAndAwait;
}

// An entry lapses after `missedWrites` intervals without a write of its replica, the first of which may have begun
// right before the store went away.
inline constexpr int missedWrites = 3;

// Whether entries that are missing after failed reads may belong to replicas that could not write them. Not if the
// store is known to have been there since: `asOf`, the age of the knowledge before this read, may come from a daemon
// that reached the store meanwhile.
inline bool outageMayLapseEntries(base::BootTime asOf, base::BootTime readAt, base::Millis entryInterval)
{
    return readAt - asOf >= entryInterval * (missedWrites - 1);
}

} // namespace rattanshunt::directory

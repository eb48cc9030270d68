// Whether this daemon reaches replicas at all, by what its own connections show.
//
// Load pattern: a daemon loses its links to all replicas for seconds, while callers, the store and other daemons still
// reach it. Connections are refused, reset or hang, or the open ones live on while new ones are refused. One replica
// that fails is that replica's fault, and several may fall silent for a second; only that none of several replicas
// accepts a connection shows that it is the daemon's own link.
//
// Bytes on an open connection prove nothing for new ones, so only new connections count. Pure functions over plain
// structs; safe to call from any thread. Times are boot times.
#pragma once

#include <algorithm>

#include "base/Time.h"

namespace rattanshunt::reach {

struct ReachOptions {
    base::Millis dialTimeout { 300 };      // for each connection of a check
    base::Millis checkInterval { 500 };    // between two checks; what a connection has proved holds for as long
    base::Millis maxSilence { 1000 };      // without a byte from any replica while requests wait, until a check
    size_t dialsPerCheck = 2;              // connections to different replicas
    int checksToConfirm = 2;               // that failed in a row, until a hub hands over
    base::Millis suspectDialAfter { 250 }; // that a connection is being opened, until a check begins beside it
};

struct ReplicaReach {
    bool isLost = false;
    base::BootTime connectedAt {}; // the last connection to a replica was opened
    base::BootTime heardAt {};     // the last bytes from a replica arrived
    base::BootTime checkedAt {};   // the last check ended
    base::BootTime lostAt {};
    int failedChecks = 0; // since connectedAt
};

inline void reachConnected(ReplicaReach& reach, base::BootTime now)
{
    reach.isLost = false;
    reach.connectedAt = now;
    reach.heardAt = std::max(reach.heardAt, now);
    reach.failedChecks = 0;
}

// None of the connections of a check could be opened. `begunAt`: of the check; a connection that was opened since then
// counts more.
inline void reachCheckFailed(ReplicaReach& reach, base::BootTime begunAt, base::BootTime now)
{
    if (reach.connectedAt >= begunAt)
        return;
    if (!reach.isLost)
        reach.lostAt = now;
    reach.isLost = true;
    ++reach.failedChecks;
}

// Whether replicas that were silent for a moment can't have been the cause.
inline bool reachLossIsConfirmed(const ReplicaReach& reach, const ReachOptions& options)
{
    return reach.isLost && reach.failedChecks >= options.checksToConfirm;
}

// Whether a connection that failed calls for a check.
inline bool reachIsInDoubt(const ReplicaReach& reach, const ReachOptions& options, base::BootTime now)
{
    return !reach.isLost && now - std::max(reach.connectedAt, reach.checkedAt) >= options.checkInterval;
}

// Whether requests that have waited for bytes since `waitingSince` call for a check.
inline bool reachIsSilent(
    const ReplicaReach& reach, const ReachOptions& options, base::BootTime waitingSince, base::BootTime now)
{
    base::BootTime lastSign = std::max({ reach.heardAt, reach.connectedAt, reach.checkedAt, waitingSince });
    return !reach.isLost && now - lastSign >= options.maxSilence;
}

} // namespace rattanshunt::reach

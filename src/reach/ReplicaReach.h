// Whether this daemon reaches replicas at all, by what its own connections show.
//
// Load pattern: a daemon loses its links to all replicas for seconds, while callers, the store and other daemons still
// reach it. Connections are refused, reset or hang, or the open ones live on while new ones are refused. One replica
// that fails is that replica's fault, several may fall silent for a second, and all may be down at once. Only that
// several replicas accept no connection from this daemon, and one of them accepts one from another daemon at the same
// time, shows that it is the daemon's own link.
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
    size_t daemonsAsked = 3;               // whether they reach a replica that this daemon does not
    base::Millis askTimeout { 450 };       // for each of them
    base::Millis suspectDialAfter { 250 }; // that a connection is being opened, until a check begins beside it
};

struct ReplicaReach {
    bool isLost = false;
    base::BootTime connectedAt {}; // the last connection to a replica was opened
    base::BootTime heardAt {};     // the last bytes from a replica arrived
    base::BootTime checkedAt {};   // the last check ended
    base::BootTime failedAt {};    // a check ended in which no connection could be opened
    base::BootTime lostAt {};
};

inline void reachConnected(ReplicaReach& reach, base::BootTime now)
{
    reach.isLost = false;
    reach.connectedAt = now;
    reach.heardAt = std::max(reach.heardAt, now);
}

// None of the connections of a check could be opened, but another daemon could open one. `begunAt`: of the check; a
// connection that was opened since then counts more.
inline void reachLost(ReplicaReach& reach, base::BootTime begunAt, base::BootTime now)
{
    if (reach.connectedAt >= begunAt || reach.isLost)
        return;
    reach.isLost = true;
    reach.lostAt = now;
}

// Whether the last check has just failed, so that this daemon can carry no connection for others. The replicas may be
// the cause.
inline bool reachIsFailing(const ReplicaReach& reach, const ReachOptions& options, base::BootTime now)
{
    return reach.isLost || (reach.failedAt > reach.connectedAt && now - reach.failedAt < options.checkInterval);
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

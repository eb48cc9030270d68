// Whether a replica may receive a request, and if not, why.
//
// Contents
//   [1] Data            ReplicaLife, ReplicaObstacle
//   [2] Decision        replicaObstacle(), obstacleName(), replicaPermitRate()
//
// Load pattern: a replica's state changes between its selection and the moment at which the request is sent: it leaves,
// its data centre is evacuated, it asks for quiet or turns cold. Selection and the check before each send decide by the
// same function, so that neither forgets a state.
//
// Pure functions; safe to call from any thread. Times are boot times.
#pragma once

#include <algorithm>
#include <optional>

#include "base/Time.h"

namespace rattanshunt::directory {

// ---- [1] Data ----------------------------------------------------------------------------------

// What is known of one process of a replica, for one request.
struct ReplicaLife {
    bool isLeaving = false; // or is not listed any more
    bool isEvacuated = false;
    bool isOutsideHomes = false; // of the request
    std::optional<base::BootTime> quietUntil;
    std::optional<double> limit; // requests per second that it names; empty: none
    std::optional<base::BootTime> coldUntil;
    double coldRate = 0;    // requests per second while it is cold
    bool hasPermit = false; // the request holds one for this process
};

enum class ReplicaObstacle { None, Leaving, Evacuated, OutsideHomes, Quiet, Limited, Cold };

// ---- [2] Decision ------------------------------------------------------------------------------

inline bool replicaIsCold(const ReplicaLife& life, base::BootTime now)
{
    return life.coldUntil && now < *life.coldUntil;
}

// Limited and Cold mean that the request needs a permit.
inline ReplicaObstacle replicaObstacle(const ReplicaLife& life, base::BootTime now)
{
    if (life.isLeaving)
        return ReplicaObstacle::Leaving;
    if (life.isEvacuated)
        return ReplicaObstacle::Evacuated;
    if (life.isOutsideHomes)
        return ReplicaObstacle::OutsideHomes;
    if (life.quietUntil && now < *life.quietUntil)
        return ReplicaObstacle::Quiet;
    if (life.hasPermit)
        return ReplicaObstacle::None;
    if (replicaIsCold(life, now))
        return ReplicaObstacle::Cold;
    return life.limit ? ReplicaObstacle::Limited : ReplicaObstacle::None;
}

// As in logs and as the reason of an attempt that was not sent; null for None.
inline const char* obstacleName(ReplicaObstacle obstacle)
{
    switch (obstacle) {
    case ReplicaObstacle::None:
        return nullptr;
    case ReplicaObstacle::Leaving:
        return "replica_left";
    case ReplicaObstacle::Evacuated:
        return "replica_evacuated";
    case ReplicaObstacle::OutsideHomes:
        return "replica_outside_homes";
    case ReplicaObstacle::Quiet:
        return "replica_quiet";
    case ReplicaObstacle::Limited:
        return "replica_limited";
    case ReplicaObstacle::Cold:
        return "replica_cold";
    }
    return nullptr;
}

// Requests per second for which permits are given; empty: none are needed.
inline std::optional<double> replicaPermitRate(const ReplicaLife& life, base::BootTime now)
{
    if (!replicaIsCold(life, now))
        return life.limit;
    return std::min(life.limit.value_or(life.coldRate), life.coldRate);
}

} // namespace rattanshunt::directory

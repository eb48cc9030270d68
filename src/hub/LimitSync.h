// What a daemon knows of the rates that replicas accept, and what the hub has been told of it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "hub/ToldState.h"
#include "limits/ReplicaLimits.h"

namespace rattanshunt::hub {

inline constexpr size_t maxRecentLimits = 256;                // observations of this daemon that it can tell a new hub
inline constexpr base::Seconds limitObservationMemory { 10 }; // for which it keeps them

struct LimitSync {
    struct SentObservation {
        limits::LimitObservation observation;
        uint64_t sequence = 0;
    };

    limits::LimitLedger ledger;         // at a member: as sent by the hub, and what this daemon has seen since
    uint64_t hubVersion = 0;            // of the hub's ledger, as last sent
    std::deque<SentObservation> recent; // of this daemon, oldest first
    uint64_t lastSequence = 0;          // of `recent`
    uint64_t sentSequence = 0;          // of the last observation that is in a call to a hub
    ToldState told;                     // of `recent`
    std::map<std::string, limits::PermitSchedule> schedules; // by replica; hub only
    std::map<std::string, limits::PermitShare> shares;       // by replica; while the hub is not reachable
    std::map<std::string, int> unusedPermits;                // by replica; to be returned to the hub
};

} // namespace rattanshunt::hub

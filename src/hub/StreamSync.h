// What a daemon knows of the versions that began streams, and of it what the hub and the store know.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "hub/ToldState.h"
#include "streams/StreamOrigins.h"

namespace rattanshunt::hub {

inline constexpr size_t maxOriginsPerCall = 1000; // that a member tells the hub in one sync
inline constexpr size_t maxStoredOrigins = 2500;  // the newest, in the store's record

struct StreamSync {
    struct OwnOrigin {
        streams::StreamKey key = 0;
        uint64_t sequence = 0;
    };

    streams::OriginTable origins;     // this daemon's own, and those learned from the hub or the store
    streams::VersionHistory versions; // of all services
    std::deque<OwnOrigin> recent;     // of this daemon, oldest first
    uint64_t lastSequence = 0;        // of `recent`
    ToldState told;                   // of `recent`
    bool hasNewOrigins = false;       // since this daemon, as hub, wrote the record
    int64_t storedRevision = 0;       // of the record, as last read or written; 0: the store has none
    std::string storedMixture;        // services with several versions, as in the record
};

} // namespace rattanshunt::hub

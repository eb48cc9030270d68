// What a daemon knows of the versions that began streams, and of it what the hub and the store know.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

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
    uint64_t toldSequence = 0;        // the hub has been told of the origins up to this one
    std::string toldIncarnation;      // of that hub
    bool hasNewOrigins = false;       // since the hub wrote the record; hub only
    int64_t storedRevision = 0;       // of the record; 0: the store has none
    std::string storedMixture;        // services with several versions, as in the record
};

} // namespace rattanshunt::hub

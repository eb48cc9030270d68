// What a daemon knows of the versions that began streams, and of it what the hub and the store know.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "hub/ToldState.h"
#include "streams/StreamOrigins.h"

namespace rattanshunt::hub {

inline constexpr size_t maxOriginsPerCall = 1000;           // that a member tells the hub in one sync
inline constexpr base::Seconds versionRecordInterval { 5 }; // between two writes of the versions' record
inline constexpr base::Millis originReadInterval { 250 };   // between two reads of origins for take-ups
inline constexpr base::Millis versionReadInterval { 50 };   // between two reads of versions for take-ups
inline constexpr base::Millis versionReadWait { 100 };      // for such a read, at most

struct StreamSync {
    struct OwnOrigin {
        streams::StreamKey key = 0;
        uint64_t sequence = 0;
    };

    streams::OriginTable origins;                // this daemon's own, and those learned from the hub or the store
    streams::VersionHistory versions;            // of all services
    std::deque<OwnOrigin> recent;                // of this daemon, oldest first
    uint64_t lastSequence = 0;                   // of `recent`
    ToldState told;                              // of `recent`
    int64_t storedRevision = 0;                  // of the record, as last read or written; 0: the store has none
    std::string storedMixture;                   // services with several versions, as in the record
    base::BootTime storedAt {};                  // when this daemon, as hub, wrote the record
    std::map<std::string, int64_t> readSegments; // revisions of the origins' records that were read, by key
    uint64_t reportedDrops = 0;                  // of `origins`, that were logged
    bool isReadingOrigins = false;
    base::BootTime originsReadAt {};
    size_t waitingForVersions = 0; // fibers
};

} // namespace rattanshunt::hub

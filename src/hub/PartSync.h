// What a daemon knows of prompt parts that end replicas, and of it what the hub and the store know.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "hub/ToldState.h"
#include "prompts/PartLedger.h"

namespace rattanshunt::hub {

inline constexpr size_t maxRecentEndBytes = 2 * 1024 * 1024; // of this daemon's ends, that it can tell a new hub
inline constexpr size_t maxEndBytesPerCall = 256 * 1024;     // of those that a member tells the hub in one sync

// Writes of a replica's entry, which show that its process goes on.
struct EntryWrites {
    int64_t startedAtMillis = 0;
    int64_t writeCount = 0;
    base::BootTime countReadAt {}; // request time of the last list with this count
    base::BootTime aliveAt {};     // the process has written its entry after this time
};

struct PartSync {
    struct SentEnd {
        prompts::ReplicaEnd end;
        uint64_t sequence = 0;
        size_t bytes = 0; // when it was recorded; parts that settle are taken out later
    };

    prompts::PartLedger ledger;     // at a member: its own settled parts, and the blocks as sent by the hub
    prompts::PartView view;         // at a member: the suspected parts as sent by the hub
    uint64_t hubVersion = 0;        // of the hub's view, as last sent
    std::deque<SentEnd> recentEnds; // of this daemon, oldest first
    size_t recentEndBytes = 0;      // of recentEnds
    uint64_t lastSequence = 0;      // of recentEnds
    ToldState told;                 // of recentEnds
    std::map<std::string, EntryWrites> entryWrites; // by replica
    std::map<prompts::PartKey, int> stored;         // blocks by part, as last seen in the store
    int64_t storedRevision = 0;                     // 0: the key does not exist
    std::optional<int64_t> storedEra;               // of the store when `stored` was read
    uint64_t reportedDrops = 0;                     // of the ledger, that were logged
    base::BootTime storeWrittenAt {};               // when this daemon's last write was answered
};

} // namespace rattanshunt::hub

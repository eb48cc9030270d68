// Finds the prompt parts and the requests that end replicas, and blocks them for a time.
//
// Contents
//   [1] Data            PartKey, ReplicaLife, ReplicaEnd, SettledParts, PartLedger, PartView
//   [2] Settled parts   settledRecord(), settledContains()
//   [3] Ledger          ledgerRecordEnd(), ledgerRecordSettled(), ledgerAdvance(), ledgerBlock(), ledgerUnblock()
//   [4] Use             ledgerView(), viewFindBlocked(), retryIsAllowed()
//
// A replica that ends takes all requests that it runs with it, and the cause may be one of them, or none: power,
// memory, a rollout. All parts of these requests but the last are suspected, and the evidence of all daemons meets in
// the hub's ledger. A part on which an answer has settled is innocent, wherever that was. A part that has not, and
// under which several replicas have ended, is blocked: its requests are refused. After the block the part is on
// probation, as the weights or the software may have been mended.
//
// A request is suspected like a part, under a key that stays the same when its caller sends it again: it may have no
// parts, or only its own last part ends replicas. It is innocent once a replica has run it to its end.
//
// Load pattern of the latter: a caller sends a request that crashes each replica that begins to run it, and sends it
// again at any daemon, while most replicas of a small service are restarting. Many other requests end beside it, each
// once; they must neither crowd it out of the ledger nor travel to hundreds of daemons.
//
// An end is an observation of one daemon, which cannot tell an ended replica from a cut connection. It takes effect
// unless the same life of the replica has shown since that it goes on, and is void as soon as it does: by a report, or
// by another write of its entry. Replicas that end together, as in a loss of power, count as one end.
//
// Pure functions over data that the calling thread owns. All times are boot times.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/Time.h"

namespace rattanshunt::prompts {

// ---- [1] Data ----------------------------------------------------------------------------------

constexpr size_t maxSuspectedParts = 16384; // a header holds some thousand; those with the fewest ends are dropped
constexpr size_t maxSuspectedRequests = 2048;
constexpr size_t maxToldParts = 1024;      // suspected parts that daemons are told of, those with the most ends first
constexpr size_t maxToldSingleParts = 256; // up to which parts with one end are among them
constexpr size_t endsToTellRequest = 2;    // from which daemons are told of a suspected request
constexpr size_t maxBlockedParts = 2048;
constexpr size_t maxSettledParts = 16384;
constexpr size_t maxEndsPerPart = 16;
constexpr size_t endsToBlock = 3;                // effective ends on distinct lives
constexpr size_t endsToBlockOnProbation = 1;     // the same after a block
constexpr base::Millis reportWait { 1000 };      // for a report of the same life, before an end takes effect
constexpr base::Millis endSpacing { 100 };       // ends closer together count as one
constexpr base::Millis requestEndSpacing { 40 }; // the same for one request, which rarely runs at several replicas
constexpr base::Seconds endLifetime { 600 };     // after which an end is forgotten
constexpr base::Seconds settledLifetime { 600 }; // of innocence; new weights may end on a part that settled before
constexpr base::Seconds firstBlockTime { 600 };  // doubles with each block of the same part
constexpr base::Seconds maxBlockTime { 7200 };
constexpr base::Seconds probationTime { 86400 };  // after a block; then the part is forgotten
constexpr base::Millis settleTime { 500 };        // events that still arrive this long after the first one settle it
constexpr base::Seconds observationMemory { 60 }; // for which a daemon keeps its ends, for a new hub

// Begins the keys of whole requests, which are suspected like parts of prompts.
inline constexpr const char* requestKeyPrefix = "request:";

inline bool isRequestKey(const std::string& part)
{
    return part.starts_with(requestKeyPrefix);
}

struct PartKey {
    std::string service;
    std::string part;

    bool operator<(const PartKey& other) const { return std::tie(service, part) < std::tie(other.service, other.part); }
    bool operator==(const PartKey&) const = default;
};

// One process of a replica: a restart begins another life under the same identifier.
struct ReplicaLife {
    std::string replica;
    int64_t startedAtMillis = 0;

    bool operator<(const ReplicaLife& other) const
    {
        return std::tie(replica, startedAtMillis) < std::tie(other.replica, other.startedAtMillis);
    }
    bool operator==(const ReplicaLife&) const = default;
};

// An attempt whose connection ended at the replica's side before its answer had settled.
struct ReplicaEnd {
    ReplicaLife life;
    base::BootTime observedAt {};
    std::string service;
    std::vector<std::string> parts; // the request's key, and its parts but the last
};

// Parts on which an answer has settled; the least recent ones are dropped beyond maxSettledParts.
struct SettledParts {
    std::map<PartKey, base::BootTime> settledAt;
    std::set<std::pair<base::BootTime, PartKey>> byTime;
};

struct PartEnd {
    ReplicaLife life;
    base::BootTime observedAt {}; // the latest observation of this end
};

struct PartBlock {
    base::BootTime until {};   // on probation from then on
    int count = 0;             // blocks of this part so far
    std::vector<PartEnd> ends; // that led to the block; empty if another daemon or the store told of it
    size_t endsRequired = 0;   // of `ends`, for the block to stand
};

// What the hub knows.
struct PartLedger {
    std::map<PartKey, std::vector<PartEnd>> suspected; // ends of distinct lives
    std::map<PartKey, PartBlock> blocked;              // also those on probation
    SettledParts settled;
    uint64_t version = 0;         // incremented by each change of what ledgerView() returns
    uint64_t droppedSuspects = 0; // parts and requests that made room for others
    uint64_t droppedBlocks = 0;   // the same of blocked ones
};

// What every daemon knows.
struct PartView {
    std::map<PartKey, std::vector<ReplicaLife>> suspected; // with the lives that ended
    std::map<PartKey, PartBlock> blocked;                  // without their ends
    uint64_t version = 0;
};

enum class PartChangeKind {
    Suspected, // first end
    Blocked,
    Cleared, // neither suspected nor blocked from now on
};

struct PartChange {
    PartChangeKind kind = PartChangeKind::Suspected;
    PartKey key;
    std::vector<PartEnd> ends; // that were on record
    const char* reason = "";   // of Cleared: settled, replica_alive, expired, removed
    PartBlock block;           // of Blocked
};

// When a life surely went on, as its newest report or a write of its entry shows; nothing if neither does.
using LastReport = std::function<std::optional<base::BootTime>(const ReplicaLife&)>;

// ---- [2] Settled parts -------------------------------------------------------------------------

void settledRecord(SettledParts&, const PartKey&, base::BootTime now);
bool settledContains(const SettledParts&, const PartKey&, base::BootTime now);

// ---- [3] Ledger --------------------------------------------------------------------------------

// Records an end for each of its parts that has not settled and is not blocked. Recording it again changes nothing.
std::vector<PartChange> ledgerRecordEnd(PartLedger&, const ReplicaEnd&, base::BootTime now);

// Records that an answer with this part has settled, at any daemon: clears it of all ends and of a block.
std::vector<PartChange> ledgerRecordSettled(PartLedger&, const PartKey&, base::BootTime now);

// Drops void and old ends, blocks the parts with enough effective ends, and ends the blocks whose ends have become
// void.
std::vector<PartChange> ledgerAdvance(PartLedger&, const LastReport&, base::BootTime now);

// Takes over a block from the store or from an earlier hub, unless the part is known to be blocked as often already.
void ledgerBlock(PartLedger&, const PartKey&, const PartBlock&);

// Forgets a part, as an operator orders. Nothing is returned if it was not blocked.
std::vector<PartChange> ledgerUnblock(PartLedger&, const PartKey&);

// ---- [4] Use -----------------------------------------------------------------------------------

PartView ledgerView(const PartLedger&);

struct BlockedPart {
    std::string part;
    base::Duration timeLeft { 0 };
};

// The part among `parts` that is blocked for the longest; nothing if none is.
std::optional<BlockedPart> viewFindBlocked(
    const PartView&, const std::string& service, const std::vector<std::string>& parts, base::BootTime now);

// Whether a request may be sent to another replica after the given end of its attempt. False if another life has ended
// under one of its parts that has not settled.
bool retryIsAllowed(const PartView&, const SettledParts&, const ReplicaEnd&, base::BootTime now);

} // namespace rattanshunt::prompts

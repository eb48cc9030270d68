// Directory of the fleet's replicas, merged from the platform's list and the replicas' own reports.
//
// Contents
//   [1] Data            PendingModel, Replica, RawEntry, RemovedReplica, Directory
//   [2] Changes         directoryApplyList(), directoryApplyChanges(), directoryApplyReport()
//   [3] Queries         replicaModels(), replicaHasModel(), replicaIsUsable()
//   [4] Digests         DirectoryDigest, directoryDigest(), directoryBucketOf()
//
// Load pattern: the store is unavailable for seconds, and entries lapse although their replicas are alive. An entry
// that disappears while the store is unavailable, or within `lapseGracePeriod` after it is back, stays in use until the
// grace period is over; one that disappears at any other time is removed at once.
//
// The store may be restored from an older copy, and begins a new era. What the copy holds is then older than what is
// known here, although its revisions are of a later era, until the replicas have written their entries again. Across
// eras, entries are in the order in which their replica wrote them: a replica that drains or is gone stays so, and one
// that the copy lacks is treated as lapsed.
//
// A new hub takes over in a fleet of hundreds of daemons, which know nearly all of what it knows. If it sent everything
// to each of them, its link would be full for seconds, and it would lose its lease. Digests show which replicas differ.
//
// Pure functions; the calling thread owns the data. Times are boot times, which advance while the machine is suspended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/WireCodec.h"

namespace rattanshunt::directory {

// ---- [1] Data ----------------------------------------------------------------------------------

struct PendingModel {
    std::string model;
    base::BootTime readyAt {}; // estimated
    bool isConfirmed = false;  // the load order was accepted and its duration is known: usable from readyAt on
};

struct Replica {
    gateway::ReplicaEntry entry;
    int64_t revision = 0;        // of the entry in the store
    uint64_t changeSequence = 0; // of the last change that the gateways must learn of
    bool isLapsed = false;       // the entry disappeared during or shortly after a store outage
    bool hasReport = false;
    gateway::ReplicaReport report;       // the newest; valid if hasReport
    base::BootTime reportRequestedAt {}; // when that report was requested

    // From the hub, which issues the load and unload orders. More recent than the report, which lags behind.
    std::optional<std::vector<gateway::LoadedModel>> placedModels; // models that may be used now
    std::vector<PendingModel> pendingModels;
    bool isUnreachableFromHub = false; // does not respond to the hub; it may still respond to other daemons
};

struct RawEntry {
    std::string key;
    std::string value;
    int64_t revision = 0;
};

// A replica that was removed. Entries with this revision or an older one, as a lagging daemon may still send them, must
// not add it again.
struct RemovedReplica {
    std::string id;
    int64_t revision = 0;        // of its last entry, or of a later list without it
    uint64_t changeSequence = 0; // of the removal
    gateway::ReplicaEntry entry; // its last one, to compare with entries of another era of the store
};

struct Directory {
    std::map<std::string, Replica> replicas;       // by identifier
    std::map<std::string, RawEntry> rawEntries;    // by store key, not decoded
    std::map<std::string, RemovedReplica> removed; // by identifier
    uint64_t changeSequence = 0;                   // incremented by each change
};

// Replicas that are alive write their lapsed entries again about two seconds after a store outage.
constexpr base::Millis lapseGracePeriod { 2300 };

// ---- [2] Changes -------------------------------------------------------------------------------

struct EntryFault {
    std::string key;
    std::string fault;
};

// Applies a complete list. `mayBeLapsed`: missing entries may have lapsed in a store outage and are kept, except those
// of draining replicas. `listRevision`: of the store when it was read, or 0. Returns the entries that could not be read
// and were not reported before; they add no replica.
std::vector<EntryFault> directoryApplyList(
    Directory&, const gateway::WireCodec&, const std::vector<RawEntry>&, bool mayBeLapsed, int64_t listRevision = 0);

// Applies single entries and removals that another daemon passed on. A removal only applies to an entry of the same or
// an older revision than the other daemon removed.
std::vector<EntryFault> directoryApplyChanges(Directory&, const gateway::WireCodec&,
    const std::vector<RawEntry>& changed, const std::vector<RemovedReplica>& removed);

// Applies a report, unless a newer one is known or the replica has restarted since. Returns whether it was applied.
bool directoryApplyReport(
    Directory&, const std::string& replica, const gateway::ReplicaReport&, base::BootTime askedAt);

// ---- [3] Queries -------------------------------------------------------------------------------

// The models that the replica has loaded: as placed by the hub if known, else as reported, else as in its entry.
const std::vector<gateway::LoadedModel>& replicaModels(const Replica&);

// Whether the replica has the model at `now`, and the adapter unless `adapter` is empty.
bool replicaHasModel(const Replica&, const std::string& model, const std::string& adapter, base::BootTime now);

// Whether new requests may be sent to the replica.
bool replicaIsUsable(const Replica&);

// ---- [4] Digests -------------------------------------------------------------------------------

constexpr size_t digestBucketCount = 64;

// A hash of each bucket of replicas, over what daemons pass on: entries and placement, not loads. Two daemons with
// equal hashes know the same of the bucket's replicas, whoever they learned it from.
using DirectoryDigest = std::vector<uint64_t>; // digestBucketCount hashes
DirectoryDigest directoryDigest(const Directory&);

// The bucket of a replica identifier.
size_t directoryBucketOf(const std::string& id);

} // namespace rattanshunt::directory

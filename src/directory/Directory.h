// The replicas that the fleet knows, merged from the platform's list and from their own reports.
//
// Contents
//   [1] Data            Replica, Directory
//   [2] Changes         directoryApplyList(), directoryApplyReport(), directoryExpire()
//   [3] Queries         replicaModels(), replicaHolds(), replicaIsUsable()
//
// Load pattern: the store is away for seconds and entries lapse although their replicas live. An entry that vanishes
// while the store was away, or within `lapseGrace` of its return, is used on until the grace is over; one that vanishes
// at any other time is gone at once.
//
// Pure; the caller's thread owns the data. Times count suspensions too.
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
    base::BootTime readyAt {}; // estimate
    bool isConfirmed = false;  // the order was accepted and its time is known: the model may be used from readyAt on
};

struct Replica {
    gateway::ReplicaEntry entry;
    int64_t revision = 0;                // of the entry in the store
    uint64_t changeSequence = 0;         // of the last change that callers' side must know
    bool isLapsed = false;               // the entry vanished around an outage of the store
    bool hasReport = false;              //
    gateway::ReplicaReport report;       // the newest, if `hasReport`
    base::BootTime reportRequestedAt {}; // when it was asked for

    // From whoever gives the orders; beside the report, which lags.
    std::optional<std::vector<gateway::LoadedModel>> placedModels; // what may be used now
    std::vector<PendingModel> pendingModels;
    bool isUnreachableFromHub = false; // does not answer whoever gives the orders; it may still answer others
};

struct RawEntry {
    std::string key;
    std::string value;
    int64_t revision = 0;
};

// A replica that is gone. Knowledge that is not newer than what was known of it must not bring it back.
struct RemovedReplica {
    std::string id;
    int64_t revision = 0;        // of its last entry
    uint64_t changeSequence = 0; // of the removal
};

struct Directory {
    std::map<std::string, Replica> replicas;       // by identifier
    std::map<std::string, RawEntry> rawEntries;    // by key, as read
    std::map<std::string, RemovedReplica> removed; // by identifier
    uint64_t changeSequence = 0;                   // rises with each change
};

// Entries that lapsed in an outage are back about two seconds after it, if their replicas live.
constexpr base::Millis lapseGracePeriod { 2300 };

// ---- [2] Changes -------------------------------------------------------------------------------

struct EntryFault {
    std::string key;
    std::string fault;
};

// Takes in a complete list. `mayBeLapsed`: entries that are missing may have lapsed in an outage of the store.
// Gives the entries that could not be read; they name no replica.
std::vector<EntryFault> directoryApplyList(
    Directory&, const gateway::WireCodec&, const std::vector<RawEntry>&, bool mayBeLapsed);

// Takes in single entries and removals, as passed on by another daemon. A removal counts only for the entry that the
// other daemon knew, or an older one.
std::vector<EntryFault> directoryApplyChanges(Directory&, const gateway::WireCodec&,
    const std::vector<RawEntry>& changed, const std::vector<RemovedReplica>& removed);

// Takes in a report, unless a newer one is there or it belongs to another start of the replica.
// Gives whether it was taken.
bool directoryApplyReport(
    Directory&, const std::string& replica, const gateway::ReplicaReport&, base::BootTime askedAt);

// ---- [3] Queries -------------------------------------------------------------------------------

// What the replica holds: as placed by orders, else as reported, else as in its entry.
const std::vector<gateway::LoadedModel>& replicaModels(const Replica&);

// Whether it holds the model at `now`, and the adapter unless that is empty.
bool replicaHasModel(const Replica&, const std::string& model, const std::string& adapter, base::BootTime now);

// Whether new requests may go there.
bool replicaIsUsable(const Replica&);

} // namespace rattanshunt::directory

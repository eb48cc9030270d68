// A daemon's copy of the coordination records, and the rules by which it is updated.
//
// Contents
//   [1] Mirror          plain data: KV records, entries of the instance list, withdrawn keys
//   [2] Updates         mirrorApply...(): never back to an older revision
//   [3] Exchange        mirrorDelta(), mirrorMerge(): updates from one daemon to another
//   [4] Freshness       freshnessDecide(): may requests with a key be served on this data?
//
// Few daemons watch the KV and the others ask them. Any daemon can ask any other, so a daemon that starts during an
// outage gets the data of its peers.
//
// Q: Can a late message revert data?       A: No. Each record and each list entry carries its revision, and one with a
//    lower revision is dropped. A snapshot replaces a mirror only if its revision is higher.
// Q: How is a withdrawal enforced early?   A: The names of withdrawn keys form a set that is sent with each exchange. A
//    name leaves the set only when the KV's record says withdrawn, too.
//
// Pure functions; the caller's thread owns the data.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/Time.h"
#include "coordination/InstanceList.h"
#include "coordination/Kv.h"

namespace rattanshunt::fleet {

using coordination::Revision;

// ---- [1] Mirror --------------------------------------------------------------------------------

struct MirrorRecord {
    std::string value;
    Revision modRevision = 0;
    Revision createRevision = 0;
};

struct MirrorInstance {
    coordination::Instance instance;
    int64_t changedAtVersion = 0; // version of the instance list with which this entry changed
};

struct Mirror {
    std::map<std::string, MirrorRecord> records;     // by key; keys start with mirrorPrefix
    Revision revision = 0;                           // `records` contains all changes up to this one
    std::deque<coordination::KvEvent> history;       // the latest changes, oldest first
    Revision historyStartRevision = 0;               // `history` contains all changes after this revision
    std::map<std::string, MirrorInstance> instances; // by instance id
    int64_t instanceListVersion = 0;
    std::set<std::string> withdrawnKeys; // names of keys; enforced at once
    base::TimePoint freshAsOf {};        // at this time the KV's head was not above `revision`
    uint64_t changeCount = 0;            // incremented with each change, for readers that publish copies
};

constexpr std::string_view mirrorPrefix = "/rs/";
constexpr size_t mirrorHistoryLimit = 4096; // changes kept for mirrorDelta()

// ---- [2] Updates -------------------------------------------------------------------------------

struct MirrorRules {
    bool refusesOlderRevisions = true; // false only in tests that show which faults it prevents
};

// Applies changes in the order of the KV. `head`: the KV's revision up to which the changes are complete; 0 if unknown.
void mirrorApplyEvents(Mirror&, const std::vector<coordination::KvEvent>&, Revision head, const MirrorRules& = {});

// Replaces all records by a copy read at `revision`, if it is newer.
void mirrorApplySnapshot(
    Mirror&, const std::vector<coordination::KvEntry>&, Revision revision, const MirrorRules& = {});

// Applies the entries that changed up to `version` of the instance list, if it is newer.
void mirrorApplyInstances(Mirror&, const std::vector<coordination::Instance>&, int64_t version);

// Records that the answer to a request sent at `sentAt` gave `head` as the KV's revision. The mirror is fresh as of
// `sentAt` if it has reached that revision.
void mirrorUpdateFreshness(Mirror&, Revision head, base::TimePoint sentAt);

void mirrorWithdrawKey(Mirror&, const std::string& keyName);

// ---- [3] Exchange ------------------------------------------------------------------------------

// The data that a peer at `revision` and `listVersion` lacks: changes, or a snapshot if the history is too short.
nlohmann::json mirrorDelta(const Mirror&, Revision revision, int64_t listVersion, base::TimePoint now);

// Merges a peer's answer to a request that was sent at `sentAt`. False if the answer is malformed.
bool mirrorMerge(Mirror&, const nlohmann::json& delta, base::TimePoint sentAt, const MirrorRules& = {});

// ---- [4] Freshness -----------------------------------------------------------------------------

struct FreshnessView {
    base::TimePoint freshAsOf {}; // as in Mirror
    size_t knownMembers = 1;      // daemons with a session, as last known, including this one
    size_t freshMembers = 1;      // of these, daemons whose data was merged within the limit
};

enum class Freshness {
    Fresh,  // confirmed against the KV's head within the limit
    Outage, // not confirmed, but a majority of members exchanges data: the KV is down for most
    CutOff, // other daemons may have withdrawals that this daemon cannot see
};

const char* freshnessName(Freshness);

// Whether the data is recent enough to enforce withdrawals within `limit`. A withdrawal that is accepted while the KV
// is down reaches a majority of members first, so a daemon that exchanges data with a majority receives it.
Freshness freshnessDecide(const FreshnessView&, base::TimePoint now, base::Duration limit);

} // namespace rattanshunt::fleet

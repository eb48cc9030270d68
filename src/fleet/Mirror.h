// A daemon's copy of the platform's records, and the rules by which it grows.
//
// Contents
//   [1] Mirror          plain data: records of the KV, entries of the instance list, withdrawn keys
//   [2] Growth          mirrorApply...(): never to an older revision
//   [3] Exchange        mirrorDelta(), mirrorMerge(): what one daemon tells another
//   [4] Freshness       freshnessDecide(): may keyed requests be served on this knowledge?
//
// Pure functions; the caller's thread owns the data. Few daemons watch the KV; the others ask them, and any daemon
// can ask any other, so that a daemon that starts during an outage learns what its peers know.
//
// Q: Can a late message take a daemon back?   A: No. Each record and each list entry carries its revision, and one
//    with a lower revision is dropped; a snapshot replaces a mirror only if its revision is higher.
// Q: How is a withdrawal enforced early?      A: Withdrawn key names form a set that only grows until the KV's record
//    says withdrawn too. It travels with each exchange.
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
    int64_t changedAtVersion = 0; // of the list when the entry changed
};

struct Mirror {
    std::map<std::string, MirrorRecord> records;     // below mirrorPrefix
    Revision revision = 0;                           // all changes up to it are in `records`
    std::deque<coordination::KvEvent> history;       // the latest changes, oldest first
    Revision historyStartRevision = 0;               // `history` has all changes after this revision
    std::map<std::string, MirrorInstance> instances; // by instance id
    int64_t instanceListVersion = 0;
    std::set<std::string> withdrawnKeys; // names; enforced at once
    base::TimePoint freshAsOf {};        // the KV's head was not above `revision` at this time
    uint64_t changeCount = 0;            // grows with each change, for readers that publish copies
};

constexpr std::string_view mirrorPrefix = "/rs/";
constexpr size_t mirrorHistoryLimit = 4096; // changes

// ---- [2] Growth --------------------------------------------------------------------------------

struct MirrorRules {
    bool refusesOlderRevisions = true; // switched off only by tests that show what it prevents
};

// Applies changes read from the KV in order. `head` is the store's revision that the changes lead to.
void mirrorApplyEvents(Mirror&, const std::vector<coordination::KvEvent>&, Revision head, const MirrorRules& = {});

// Takes a whole copy read at `revision`, if it is newer.
void mirrorApplySnapshot(
    Mirror&, const std::vector<coordination::KvEntry>&, Revision revision, const MirrorRules& = {});

void mirrorApplyInstances(Mirror&, const std::vector<coordination::Instance>&, int64_t version);

// The head of the KV was `head` in an answer to a request that was sent at `sentAt`.
void mirrorUpdateFreshness(Mirror&, Revision head, base::TimePoint sentAt);

void mirrorWithdrawKey(Mirror&, const std::string& keyName);

// ---- [3] Exchange ------------------------------------------------------------------------------

// What a peer that knows `revision` and `listVersion` lacks: changes, or a snapshot if the history is too short.
nlohmann::json mirrorDelta(const Mirror&, Revision revision, int64_t listVersion, base::TimePoint now);

// Merges a peer's answer to a request that was sent at `sentAt`. False if the answer is malformed.
bool mirrorMerge(Mirror&, const nlohmann::json& delta, base::TimePoint sentAt, const MirrorRules& = {});

// ---- [4] Freshness -----------------------------------------------------------------------------

struct FreshnessView {
    base::TimePoint freshAsOf {}; // see Mirror
    size_t knownMembers = 1;      // daemons with a session, as last known, this one among them
    size_t freshMembers = 1;      // of them, those whose knowledge was merged within the limit
};

enum class Freshness {
    Fresh,  // the KV's head is known
    Outage, // the KV is down for most: a majority shares this knowledge
    CutOff, // others may know of a withdrawal that this daemon cannot see
};

const char* freshnessName(Freshness);

// Whether knowledge is recent enough to honour withdrawals within `limit`. A withdrawal that is accepted while the
// KV is down reaches a majority of members first, so a daemon that hears a majority hears of it.
Freshness freshnessDecide(const FreshnessView&, base::TimePoint now, base::Duration limit);

} // namespace rattanshunt::fleet

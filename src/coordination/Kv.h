// The platform's key-value service: compare-and-swap, leases and watches.
//
// Contents
//   [1] Data            KvEntry, KvCompare, KvWrite, results
//   [2] Kv              the interface; HttpKv in KvClient.h speaks it, tests use an in-memory fake
//   [3] Helpers         kvPrefixEnd(), kvSwap()
//
// Every result says one of three things: done, not done, or unknown. Unknown means that the request may have
// taken effect although its answer was lost; the caller resolves that by reading the operation id that it wrote.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"

namespace rattanshunt::coordination {

// ---- [1] Data ----------------------------------------------------------------------------------

using Revision = int64_t;

struct KvEntry {
    std::string key;
    std::string value;
    Revision modRevision = 0;
    Revision createRevision = 0;
    int64_t lease = 0; // 0: not bound to a lease
};

struct KvEvent {
    bool isDelete = false;
    KvEntry entry; // for a delete: key and modRevision only
};

struct KvCompare {
    std::string key;
    Revision modRevision = 0; // the expected revision; 0: the key must not exist
};

struct KvWrite {
    std::string key;
    std::optional<std::string> value; // nothing: delete the key
    int64_t lease = 0;                // 0: keep without a lease
};

enum class KvError {
    None,
    NotApplied,     // the service was not reached or refused: no effect
    OutcomeUnknown, // sent, answer lost: it may have taken effect
};

struct KvRangeResult {
    KvError error = KvError::None;
    Revision revision = 0; // of the whole store when it answered
    std::vector<KvEntry> entries;
};

struct KvTxnResult {
    KvError error = KvError::None;
    bool isApplied = false; // all comparisons held and the writes were made
    Revision revision = 0;
    std::vector<KvEntry> current; // if not applied: the compared keys that exist
};

struct KvLeaseResult {
    KvError error = KvError::None;
    int64_t lease = 0; // 0 after a renewal: the lease has ended
    base::Seconds timeToLive { 0 };
};

// ---- [2] Kv ------------------------------------------------------------------------------------

// All calls suspend the calling fiber. Own thread only.
class Kv {
public:
    virtual ~Kv() = default;

    // All entries whose key starts with `prefix` and, if `after` is given, comes after it.
    virtual KvRangeResult range(const std::string& prefix, const std::string& after = "") = 0;
    virtual KvRangeResult get(const std::string& key) = 0;
    virtual KvTxnResult txn(const std::vector<KvCompare>&, const std::vector<KvWrite>&) = 0;
    virtual KvLeaseResult leaseGrant(base::Millis timeToLive) = 0;
    virtual KvLeaseResult leaseRenew(int64_t lease) = 0;
    virtual KvError leaseRevoke(int64_t lease) = 0;

    // Calls `onEvents` with all changes below `prefix` from `from` on, in order, and with an empty list as a sign of
    // life; returns when the watch breaks or `onEvents` returns false.
    virtual void watch(const std::string& prefix, Revision from,
        const std::function<bool(const std::vector<KvEvent>&, Revision)>& onEvents)
        = 0;
};

// ---- [3] Helpers -------------------------------------------------------------------------------

// The first key after all keys that start with `prefix`.
std::string kvPrefixEnd(const std::string& prefix);

enum class KvSwapOutcome {
    Done,       // the value is written
    Conflict,   // another writer came first; `current` holds what is there
    NotApplied, // no effect
    Unknown,    // still unknown after the read that tried to resolve it
};

struct KvSwapResult {
    KvSwapOutcome outcome = KvSwapOutcome::NotApplied;
    Revision modRevision = 0;       // if done
    std::optional<KvEntry> current; // if conflict and the key exists
};

// Writes `value` if the key's revision is `expected`. A lost answer is resolved by reading the key back: `value` must
// hold an operation id, so that no other writer can have written the same bytes. Suspends.
KvSwapResult kvSwap(Kv&, const std::string& key, Revision expected, const std::string& value, int64_t lease = 0);

} // namespace rattanshunt::coordination

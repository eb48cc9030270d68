// The platform's key-value service: compare-and-swap, leases and watches.
//
// Contents
//   [1] Data            Revision, KvEntry, KvCompare, KvWrite, results
//   [2] Kv              the interface; HttpKv in KvClient.h implements it, tests use an in-memory fake
//   [3] Helpers         kvPrefixEnd(), kvSwap()
//
// Every call is applied, not applied, or of unknown outcome. In the last case the request may have taken effect
// although its response was lost. Callers resolve this by writing an operation id with the value and reading it back.
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

// In order over the whole life of the store. A store that is restored from an older copy begins a new era and gives out
// its own revisions again, so the era is the high part of a revision. Both parts together fit the whole numbers that a
// double, and with it any JSON reader, represents exactly.
using Revision = int64_t;

constexpr int eraShift = 40;              // bits of a revision below the era
constexpr int64_t maxEra = (1 << 13) - 1; // 2^53 limits a revision
constexpr int64_t maxRevisionNumber = (int64_t(1) << eraShift) - 1;

constexpr Revision revisionInEra(int64_t era, int64_t number)
{
    return number ? (era << eraShift) + number : 0;
}
constexpr int64_t revisionEra(Revision revision)
{
    return revision >> eraShift;
}
// The revision as the store itself counts it.
constexpr int64_t revisionNumber(Revision revision)
{
    return revision & maxRevisionNumber;
}

struct KvEntry {
    std::string key;
    std::string value;
    Revision modRevision = 0;
    Revision createRevision = 0;
    int64_t lease = 0; // 0: not bound to a lease
};

struct KvEvent {
    bool isDelete = false;
    KvEntry entry; // for a deletion only key and modRevision are set
};

struct KvCompare {
    std::string key;
    Revision modRevision = 0; // the expected revision; 0: the key must not exist
};

struct KvWrite {
    std::string key;
    std::optional<std::string> value; // nothing: deletes the key
    int64_t lease = 0;                // 0: not bound to a lease
};

enum class KvError {
    None,
    NotApplied,     // the service was not reached or refused the call: no effect
    OutcomeUnknown, // sent, but the response was lost: the call may have taken effect
};

struct KvRangeResult {
    KvError error = KvError::None;
    Revision revision = 0; // of the whole store when it responded
    std::vector<KvEntry> entries;
};

struct KvTxnResult {
    KvError error = KvError::None;
    bool isApplied = false; // all comparisons were true and the writes were made
    Revision revision = 0;
    std::vector<KvEntry> current; // if not applied: the entries of the compared keys that exist
};

struct KvLeaseResult {
    KvError error = KvError::None;
    int64_t lease = 0; // 0 from a renewal: the lease has expired
    base::Seconds timeToLive { 0 };
};

// ---- [2] Kv ------------------------------------------------------------------------------------

// All calls suspend the calling fiber. May only be used on one thread.
class Kv {
public:
    virtual ~Kv() = default;

    // All entries whose key starts with `prefix` and, if `after` is not empty, is greater than `after`.
    virtual KvRangeResult range(const std::string& prefix, const std::string& after = "") = 0;
    virtual KvRangeResult get(const std::string& key) = 0;
    virtual KvTxnResult txn(const std::vector<KvCompare>&, const std::vector<KvWrite>&) = 0;
    virtual KvLeaseResult leaseGrant(base::Millis timeToLive) = 0;
    virtual KvLeaseResult leaseRenew(int64_t lease) = 0;
    virtual KvError leaseRevoke(int64_t lease) = 0;

    // The era of the last response; 0: the store names none.
    virtual int64_t era() const { return 0; }

    // Calls `onEvents` with all changes of keys that start with `prefix`, from revision `from` on and in order, and
    // with an empty list as a heartbeat. The second argument is the store's revision. Returns when the watch fails or
    // `onEvents` returns false.
    virtual void watch(const std::string& prefix, Revision from,
        const std::function<bool(const std::vector<KvEvent>&, Revision)>& onEvents)
        = 0;
};

// ---- [3] Helpers -------------------------------------------------------------------------------

// The smallest key that is greater than all keys that start with `prefix`.
std::string kvPrefixEnd(const std::string& prefix);

enum class KvSwapOutcome {
    Done,       // the value is written
    Conflict,   // the key has another revision; `current` holds its entry
    NotApplied, // no effect
    Unknown,    // still unknown after the read that was to resolve it
};

struct KvSwapResult {
    KvSwapOutcome outcome = KvSwapOutcome::NotApplied;
    Revision modRevision = 0;       // if Done
    std::optional<KvEntry> current; // if Conflict and the key exists
};

// Writes `value` if the key's revision is `expected`. If the response is lost, reads the key back to find the outcome.
// Precondition: `value` contains an operation id, so that no other writer can have written the same bytes. Suspends.
KvSwapResult kvSwap(Kv&, const std::string& key, Revision expected, const std::string& value, int64_t lease = 0);

} // namespace rattanshunt::coordination

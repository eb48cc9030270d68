// In-memory key-value store with revisions, transactions and leases: the state behind the simulated platform and the
// simulated metadata store, and used directly by model checks and benchmarks.
// Not thread-safe. Time is passed as an argument, so results are deterministic.
#pragma once

#include <deque>
#include <map>

#include "coordination/Kv.h"

namespace rattanshunt::lab {

struct KvStore {
    std::map<std::string, coordination::KvEntry> entries;
    coordination::Revision revision = 1;
    std::deque<coordination::KvEvent> history; // all changes, oldest first; never compacted
    struct Lease {
        base::Millis timeToLive { 0 };
        base::TimePoint expiresAt {};
    };
    std::map<int64_t, Lease> leases;
    int64_t lastLeaseId = 0;
    uint64_t readCount = 0;
    uint64_t writeCount = 0;
};

// Entries with keys in [from, end). An empty `end` selects the key `from` only.
std::vector<coordination::KvEntry> kvStoreRange(const KvStore&, const std::string& from, const std::string& end);

// Applies all writes in one new revision if every compared key has the given modification revision (0: the key does
// not exist). Otherwise applies none and returns the present entries of the compared keys.
coordination::KvTxnResult kvStoreTxn(
    KvStore&, const std::vector<coordination::KvCompare>&, const std::vector<coordination::KvWrite>&);

// Leases: granting takes the time to live and returns the lease's identifier; renewing returns false if there is no
// such lease; revoking deletes the lease's keys in one revision.
int64_t kvStoreGrantLease(KvStore&, base::Millis, base::TimePoint now);
bool kvStoreRenewLease(KvStore&, int64_t lease, base::TimePoint now);
void kvStoreRevokeLease(KvStore&, int64_t lease);

// Revokes leases that have expired. Returns whether there were any.
bool kvStoreExpireLeases(KvStore&, base::TimePoint now);

} // namespace rattanshunt::lab

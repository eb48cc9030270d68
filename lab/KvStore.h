// In-memory key-value store: the state behind the platform stand-in and the tests' fake.
// Own thread only; time is given as an argument.
#pragma once

#include <deque>
#include <map>

#include "coordination/Kv.h"

namespace rattanshunt::lab {

struct KvStore {
    std::map<std::string, coordination::KvEntry> entries;
    coordination::Revision revision = 1;
    std::deque<coordination::KvEvent> history; // all changes, oldest first
    struct Lease {
        base::Millis timeToLive { 0 };
        base::TimePoint expiresAt {};
    };
    std::map<int64_t, Lease> leases;
    int64_t lastLeaseId = 0;
    uint64_t readCount = 0;
    uint64_t writeCount = 0;
};

std::vector<coordination::KvEntry> kvStoreRange(const KvStore&, const std::string& from, const std::string& end);
coordination::KvTxnResult kvStoreTxn(
    KvStore&, const std::vector<coordination::KvCompare>&, const std::vector<coordination::KvWrite>&);
int64_t kvStoreGrantLease(KvStore&, base::Millis, base::TimePoint now);
bool kvStoreRenewLease(KvStore&, int64_t lease, base::TimePoint now);
void kvStoreRevokeLease(KvStore&, int64_t lease);

// Ends leases that have run out. Gives whether anything changed.
bool kvStoreExpireLeases(KvStore&, base::TimePoint now);

} // namespace rattanshunt::lab

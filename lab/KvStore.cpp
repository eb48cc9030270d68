#include "KvStore.h"

namespace rattanshunt::lab {

using coordination::KvEntry;

std::vector<KvEntry> kvStoreRange(const KvStore& store, const std::string& from, const std::string& end)
{
    std::vector<KvEntry> found;
    for (auto at = store.entries.lower_bound(from); at != store.entries.end(); ++at) {
        if (end.empty() ? at->first != from : at->first >= end)
            break;
        found.push_back(at->second);
    }
    return found;
}

namespace {
    void kvStoreApplyWrite(KvStore& store, const coordination::KvWrite& write)
    {
        auto found = store.entries.find(write.key);
        if (!write.value) {
            if (found == store.entries.end())
                return;
            store.history.push_back({ true, { write.key, "", store.revision, 0, 0 } });
            store.entries.erase(found);
            return;
        }
        coordination::Revision createRevision
            = found == store.entries.end() ? store.revision : found->second.createRevision;
        KvEntry entry { write.key, *write.value, store.revision, createRevision, write.lease };
        store.entries[write.key] = entry;
        store.history.push_back({ false, entry });
    }
}

coordination::KvTxnResult kvStoreTxn(KvStore& store, const std::vector<coordination::KvCompare>& compares,
    const std::vector<coordination::KvWrite>& writes)
{
    coordination::KvTxnResult result;
    result.isApplied = true;
    for (const coordination::KvCompare& compare : compares) {
        auto found = store.entries.find(compare.key);
        coordination::Revision modRevision = found == store.entries.end() ? 0 : found->second.modRevision;
        result.isApplied = result.isApplied && modRevision == compare.modRevision;
    }
    if (result.isApplied) {
        ++store.revision;
        for (const coordination::KvWrite& write : writes)
            kvStoreApplyWrite(store, write);
    } else {
        for (const coordination::KvCompare& compare : compares) {
            auto found = store.entries.find(compare.key);
            if (found != store.entries.end())
                result.current.push_back(found->second);
        }
    }
    result.revision = store.revision;
    return result;
}

int64_t kvStoreGrantLease(KvStore& store, base::Millis timeToLive, base::TimePoint now)
{
    store.leases[++store.lastLeaseId] = { timeToLive, now + timeToLive };
    return store.lastLeaseId;
}

bool kvStoreRenewLease(KvStore& store, int64_t lease, base::TimePoint now)
{
    auto found = store.leases.find(lease);
    if (found == store.leases.end())
        return false;
    found->second.expiresAt = now + found->second.timeToLive;
    return true;
}

void kvStoreRevokeLease(KvStore& store, int64_t lease)
{
    store.leases.erase(lease);
    std::vector<coordination::KvWrite> deletes;
    for (auto& [key, entry] : store.entries) {
        if (entry.lease == lease)
            deletes.push_back({ key, std::nullopt });
    }
    if (!deletes.empty())
        kvStoreTxn(store, {}, deletes);
}

bool kvStoreExpireLeases(KvStore& store, base::TimePoint now)
{
    std::vector<int64_t> expired;
    for (auto& [id, lease] : store.leases) {
        if (lease.expiresAt <= now)
            expired.push_back(id);
    }
    for (int64_t lease : expired)
        kvStoreRevokeLease(store, lease);
    return !expired.empty();
}

} // namespace rattanshunt::lab

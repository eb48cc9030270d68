#include "directory/Directory.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "coordination/Kv.h"

namespace rattanshunt::directory {

namespace {

    std::string replicaIdOf(const gateway::WireCodec& codec, const std::string& key)
    {
        return key.substr(codec.entryPrefix.size());
    }

    bool isOtherEra(int64_t a, int64_t b)
    {
        return coordination::revisionEra(a) != coordination::revisionEra(b);
    }

    void removeReplica(Directory& directory, const std::string& id, int64_t revision)
    {
        auto found = directory.replicas.find(id);
        if (found == directory.replicas.end())
            return;
        directory.removed[id] = { id, revision, ++directory.changeSequence, std::move(found->second.entry) };
        directory.replicas.erase(found);
    }

    // Whether this entry, or a later one of the replica, was removed before. A daemon that lags behind may still pass
    // it on, and a copy of the store may bring it back. `entry` is null if the value cannot be read.
    bool wasRemoved(const Directory& directory, const RawEntry& raw, const std::string& id,
        const std::optional<gateway::ReplicaEntry>& entry)
    {
        auto found = directory.removed.find(id);
        if (found == directory.removed.end())
            return false;
        if (isOtherEra(raw.revision, found->second.revision))
            return entry && !gateway::entryIsNewer(*entry, found->second.entry);
        return raw.revision <= found->second.revision;
    }

    void clearLapse(Directory& directory, Replica& replica)
    {
        if (std::exchange(replica.isLapsed, false))
            replica.changeSequence = ++directory.changeSequence;
    }

    void applyEntry(
        Directory& directory, const gateway::WireCodec& codec, const RawEntry& raw, std::vector<EntryFault>& faults)
    {
        std::string id = replicaIdOf(codec, raw.key);
        auto found = directory.replicas.find(id);
        auto known = directory.rawEntries.find(raw.key);
        bool isKnown = known != directory.rawEntries.end();
        if (isKnown && !isOtherEra(known->second.revision, raw.revision)) {
            if (known->second.revision > raw.revision)
                return;
            if (known->second.revision == raw.revision && found != directory.replicas.end())
                return clearLapse(directory, found->second);
        }
        std::string fault;
        auto entry = codec.readEntry(raw.key, raw.value, fault);
        if (wasRemoved(directory, raw, id, entry))
            return;
        if (isKnown && isOtherEra(known->second.revision, raw.revision)) {
            bool isLaterEra = raw.revision > known->second.revision;
            if (!entry && !isLaterEra)
                return;
            if (entry && found != directory.replicas.end() && !gateway::entryIsNewer(*entry, found->second.entry)) {
                // An equal one was written again, or is the copy's.
                if (isLaterEra && !gateway::entryIsNewer(found->second.entry, *entry)) {
                    known->second = raw;
                    found->second.revision = raw.revision;
                    clearLapse(directory, found->second);
                }
                return;
            }
        }
        bool isNew = !isKnown || known->second.revision != raw.revision;
        directory.rawEntries[raw.key] = raw;
        if (!entry) {
            directory.rawEntries[raw.key].value.clear(); // of no use, and it may be long
            if (isNew)
                faults.push_back({ raw.key, fault });
            removeReplica(directory, id, raw.revision);
            return;
        }
        if (found != directory.replicas.end() && gateway::entryIsEqual(found->second.entry, *entry)
            && !found->second.isLapsed) {
            found->second.revision = raw.revision;
            found->second.entry.writeCount = entry->writeCount;
            found->second.entry.coldTimeLeft = entry->coldTimeLeft;
            return;
        }
        Replica& replica = directory.replicas[id];
        if (replica.entry.startedAtMillis != entry->startedAtMillis) {
            // The replica has restarted: discard what was known of the previous process.
            replica.hasReport = false;
            replica.placedModels.reset();
            replica.pendingModels.clear();
            replica.isUnreachableFromHub = false;
        }
        replica.entry = std::move(*entry);
        replica.revision = raw.revision;
        replica.isLapsed = false;
        replica.changeSequence = ++directory.changeSequence;
        directory.removed.erase(id);
    }

} // namespace

std::vector<EntryFault> directoryApplyList(Directory& directory, const gateway::WireCodec& codec,
    const std::vector<RawEntry>& list, bool mayBeLapsed, int64_t listRevision)
{
    std::vector<EntryFault> faults;
    std::set<std::string> present;
    for (const RawEntry& raw : list) {
        present.insert(raw.key);
        applyEntry(directory, codec, raw, faults);
    }
    std::vector<std::string> missing;
    for (const auto& [key, raw] : directory.rawEntries) {
        if (!present.contains(key))
            missing.push_back(key);
    }
    for (const std::string& key : missing) {
        std::string id = replicaIdOf(codec, key);
        auto found = directory.replicas.find(id);
        if (mayBeLapsed && found != directory.replicas.end() && !found->second.entry.isDraining) {
            found->second.isLapsed = true;
            continue;
        }
        removeReplica(directory, id, std::max(directory.rawEntries[key].revision, listRevision));
        directory.rawEntries.erase(key);
    }
    return faults;
}

std::vector<EntryFault> directoryApplyChanges(Directory& directory, const gateway::WireCodec& codec,
    const std::vector<RawEntry>& changed, const std::vector<RemovedReplica>& removed)
{
    std::vector<EntryFault> faults;
    for (const RawEntry& raw : changed)
        applyEntry(directory, codec, raw, faults);
    for (const RemovedReplica& replica : removed) {
        auto known = directory.rawEntries.find(codec.entryPrefix + replica.id);
        if (known == directory.rawEntries.end() || known->second.revision > replica.revision)
            continue;
        removeReplica(directory, replica.id, replica.revision);
        directory.rawEntries.erase(known);
    }
    return faults;
}

bool directoryApplyReport(
    Directory& directory, const std::string& id, const gateway::ReplicaReport& report, base::BootTime askedAt)
{
    auto found = directory.replicas.find(id);
    if (found == directory.replicas.end() || found->second.entry.startedAtMillis != report.startedAtMillis)
        return false;
    Replica& replica = found->second;
    if (replica.hasReport && replica.reportRequestedAt >= askedAt)
        return false;
    replica.hasReport = true;
    replica.report = report;
    replica.reportRequestedAt = askedAt;
    return true;
}

const std::vector<gateway::LoadedModel>& replicaModels(const Replica& replica)
{
    if (replica.placedModels)
        return *replica.placedModels;
    return replica.hasReport ? replica.report.models : replica.entry.models;
}

bool replicaHasModel(const Replica& replica, const std::string& model, const std::string& adapter, base::BootTime now)
{
    for (const PendingModel& pending : replica.pendingModels) {
        if (pending.model == model && pending.isConfirmed && now >= pending.readyAt && adapter.empty())
            return true;
    }
    for (const gateway::LoadedModel& loaded : replicaModels(replica)) {
        if (loaded.name != model)
            continue;
        return adapter.empty()
            || std::find(loaded.adapters.begin(), loaded.adapters.end(), adapter) != loaded.adapters.end();
    }
    return false;
}

bool replicaIsUsable(const Replica& replica)
{
    return !replica.entry.isDraining;
}

size_t directoryBucketOf(const std::string& id)
{
    return base::stableHash(id) % digestBucketCount;
}

DirectoryDigest directoryDigest(const Directory& directory)
{
    DirectoryDigest digest(digestBucketCount, 0);
    for (const auto& [id, replica] : directory.replicas) {
        const gateway::ReplicaEntry& entry = replica.entry;
        std::string text = fmt::format("{} {} {} {} {} {} {} {} {}", id, entry.service, entry.dataCenter, entry.version,
            base::formatAddress(entry.address), entry.slots, entry.isDraining, entry.startedAtMillis,
            replica.isUnreachableFromHub);
        for (const gateway::LoadedModel& loaded : replicaModels(replica))
            text += fmt::format(" {}[{}]", loaded.name, fmt::join(loaded.adapters, ","));
        for (const PendingModel& pending : replica.pendingModels)
            text += fmt::format(" {}:{}", pending.model, pending.isConfirmed);
        // A sum does not depend on the order of the replicas.
        digest[directoryBucketOf(id)] += base::stableHash(text);
    }
    return digest;
}

} // namespace rattanshunt::directory

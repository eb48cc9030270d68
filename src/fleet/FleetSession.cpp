// This daemon's relay role and its session in the KV.
#include "fleet/FleetImpl.h"

namespace rattanshunt::fleet {

// ---- Roles ---------------------------------------------------------------------------------------

bool Fleet::Impl::shouldWatch() const
{
    auto relays = relaysOf(sessions, options.self.dataCenter, options.relaysPerDataCenter);
    bool isChosen = std::any_of(
        relays.begin(), relays.end(), [&](const Session& session) { return session.name == options.self.name; });
    return isChosen || relays.empty();
}

void Fleet::Impl::roleLoop()
{
    while (!isStopped) {
        bool isSelected = shouldWatch();
        if (isSelected && !isWatching) {
            isWatching = true;
            base::logEvent(LogLevel::Info, "fleet.relay", { { "on", "true" }, { "revision", mirror.revision } });
            loop.spawn([self = shared_from_this()] { self->watchLoop(); });
            loop.spawn([self = shared_from_this()] { self->headLoop(); });
            loop.spawn([self = shared_from_this()] { self->instanceListLoop(); });
        } else if (!isSelected && isWatching) {
            isWatching = false;
            base::logEvent(LogLevel::Info, "fleet.relay", { { "on", "false" } });
        }
        net::sleepFor(roleCheckInterval);
    }
}

// ---- Session -------------------------------------------------------------------------------------

bool Fleet::Impl::writeSession()
{
    if (!lease) {
        coordination::KvLeaseResult granted = kv.leaseGrant(options.sessionTtl);
        if (granted.error != KvError::None)
            return false;
        lease = granted.lease;
    }
    std::string key = sessionKvKey(options.self.name);
    std::string text = sessionToText(options.self);
    coordination::KvRangeResult read = kv.get(key);
    if (read.error != KvError::None)
        return false;
    std::optional<Session> present;
    Revision expected = 0;
    if (!read.entries.empty()) {
        present = sessionFromText(read.entries.front().value);
        expected = read.entries.front().modRevision;
        if (present && present->incarnation == options.self.incarnation && read.entries.front().lease == lease
            && read.entries.front().value == text)
            return true;
    }
    SessionConflict conflict = sessionConflict(options.self, present);
    if (conflict == SessionConflict::NameInUse) {
        base::logEvent(LogLevel::Error, "fleet.name_in_use",
            { { "name", options.self.name }, { "holder", base::formatAddress(present->peerAddress) } });
        net::sleepFor(nameConflictDelay);
        return false;
    }
    coordination::KvSwapResult swap = coordination::kvSwap(kv, key, expected, text, lease);
    if (swap.outcome != coordination::KvSwapOutcome::Done)
        return false;
    applyOwnWrite(key, text, swap.modRevision);
    base::logEvent(LogLevel::Info, "fleet.session",
        { { "name", options.self.name }, { "incarnation", options.self.incarnation },
            { "revision", swap.modRevision } });
    return true;
}

void Fleet::Impl::applyOwnWrite(const std::string& key, const std::string& value, Revision modRevision)
{
    auto found = mirror.records.find(key);
    bool isNewer = found == mirror.records.end() || found->second.modRevision < modRevision;
    if (!isNewer || modRevision <= mirror.revision)
        return;
    // The mirror's revision does not advance: earlier records of other daemons may not have arrived yet.
    applyChange([&] {
        Revision created = found == mirror.records.end() ? modRevision : found->second.createRevision;
        mirror.records[key] = { value, modRevision, created };
        ++mirror.changeCount;
    });
}

void Fleet::Impl::renewLoop()
{
    while (!isStopped) {
        net::sleepFor(options.sessionTtl / renewalsPerSession);
        if (isStopped || isLeaving)
            continue;
        if (lease) {
            coordination::KvLeaseResult renewed = kv.leaseRenew(lease);
            if (renewed.error != KvError::None)
                continue;
            if (renewed.lease) {
                writeSessionIfMissing();
                continue;
            }
            base::logEvent(LogLevel::Warning, "fleet.session_lapsed", { { "name", options.self.name } });
            base::counterAdd("fleet_session_lapses_total");
            lease = 0;
        }
        while (!isStopped && !isLeaving && !writeSession())
            net::sleepFor(retryDelay);
    }
}

void Fleet::Impl::writeSessionIfMissing()
{
    for (const Session& session : sessions) {
        if (session.name == options.self.name && session.incarnation == options.self.incarnation)
            return;
    }
    writeSession();
}

} // namespace rattanshunt::fleet

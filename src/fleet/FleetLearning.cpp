// How the mirror learns: from the platform and from peers.
#include "fleet/FleetImpl.h"

namespace rattanshunt::fleet {

// ---- Changes of the mirror -----------------------------------------------------------------------

void Fleet::Impl::settleHeads()
{
    std::erase_if(pendingHeads, [&](auto& head) {
        mirrorNoteHead(mirror, head.first, head.second);
        return mirror.revision >= head.first;
    });
}

void Fleet::Impl::pruneWithdrawn()
{
    std::erase_if(mirror.withdrawnKeys, [&](const std::string& name) {
        auto record = mirror.records.find("/rs/cfg/key/" + name);
        if (record == mirror.records.end())
            return false;
        json object = json::parse(record->second.value, nullptr, false);
        return object.is_object() && object.value("withdrawn", false);
    });
}

void Fleet::Impl::waitForChange(base::TimePoint deadline)
{
    net::Event changed;
    changeWaiters.push_back(&changed);
    changed.waitUntil(deadline);
    std::erase(changeWaiters, &changed);
}

// ---- Learning from the platform ------------------------------------------------------------------

bool Fleet::Impl::readSnapshot()
{
    base::TimePoint sentAt = base::Clock::now();
    coordination::KvRangeResult read = kv.range(std::string(mirrorPrefix));
    if (read.error != KvError::None)
        return false;
    change([&] {
        mirrorApplySnapshot(mirror, read.entries, read.revision);
        mirrorNoteHead(mirror, read.revision, sentAt);
    });
    return true;
}

void Fleet::Impl::watchLoop()
{
    bool needsSnapshot = false;
    while (!isStopped && isWatching) {
        if (needsSnapshot && !readSnapshot()) {
            net::sleepFor(retryPause);
            continue;
        }
        needsSnapshot = true;
        kv.watch(
            std::string(mirrorPrefix), mirror.revision + 1, [&](const std::vector<KvEvent>& events, Revision head) {
                needsSnapshot = false;
                // Only a message without events promises that everything up to its revision has been sent.
                change([&] { mirrorApplyEvents(mirror, events, events.empty() ? head : 0); });
                return !isStopped && isWatching;
            });
        if (!isStopped && isWatching)
            net::sleepFor(retryPause);
    }
}

void Fleet::Impl::headLoop()
{
    while (!isStopped && isWatching) {
        base::TimePoint sentAt = base::Clock::now();
        coordination::KvRangeResult read = kv.get("/rs/head");
        if (read.error == KvError::None) {
            pendingHeads.emplace_back(read.revision, sentAt);
            settleHeads();
        }
        if (pendingHeads.size() > 16)
            pendingHeads.erase(pendingHeads.begin());
        net::sleepUntil(sentAt + options.headCheckInterval);
    }
}

bool Fleet::Impl::readListChanges(net::HttpConnection& connection)
{
    auto changes = coordination::instanceListRead(connection, mirror.listVersion, base::Clock::now() + listInterval);
    if (changes.isKnown)
        change([&] { mirrorApplyList(mirror, changes.changed, changes.version); });
    return changes.isKnown;
}

void Fleet::Impl::listLoop()
{
    std::unique_ptr<net::HttpConnection> connection;
    size_t turn = 0;
    while (!isStopped && isWatching && !options.platform.empty()) {
        if (!connection || !connection->isReusable())
            connection = net::HttpConnection::create(loop, options.platform[turn++ % options.platform.size()]);
        readListChanges(*connection);
        net::sleepFor(listInterval);
    }
}

// ---- Learning from peers -------------------------------------------------------------------------

bool Fleet::Impl::syncWith(const base::Address& address, const std::string& name, base::Millis wait)
{
    base::TimePoint sentAt = base::Clock::now();
    json request = { { "rev", mirror.revision }, { "list", mirror.listVersion }, { "wait_ms", wait.count() } };
    net::PeerResult answer = peers.call(address, "sync", request, sentAt + wait + peerSlack);
    if (answer.error != net::PeerError::None)
        return false;
    bool isMerged = false;
    change([&] { isMerged = mirrorMerge(mirror, answer.body, sentAt); });
    if (isMerged && !name.empty())
        heardAt[name] = sentAt;
    return isMerged;
}

json Fleet::Impl::answerSync(const json& body)
{
    auto revision = body.at("rev").get<Revision>();
    auto listVersion = body.at("list").get<int64_t>();
    base::Millis wait(std::clamp<int64_t>(body.at("wait_ms").get<int64_t>(), 0, 5000));
    bool hasNews = mirror.revision > revision || mirror.listVersion > listVersion;
    if (!hasNews && wait.count())
        waitForChange(base::Clock::now() + wait);
    return mirrorDelta(mirror, revision, listVersion, base::Clock::now());
}

void Fleet::Impl::syncLoop()
{
    while (!isStopped) {
        if (isWatching) {
            net::sleepFor(roleCheckInterval);
            continue;
        }
        auto relays = relaysOf(sessions, options.self.dataCenter, options.relaysPerDataCenter);
        std::erase_if(relays, [&](const Session& session) { return session.name == options.self.name; });
        bool isSynced = false;
        if (!relays.empty()) {
            const Session& relay = relays[syncTurn % relays.size()];
            isSynced = syncWith(relay.peerAddress, relay.name, options.syncWait);
        }
        if (isSynced)
            continue;
        ++syncTurn;
        net::sleepFor(retryPause);
    }
}

bool Fleet::Impl::isFresh(base::TimePoint now) const
{
    return mirror.freshAsOf != base::TimePoint {} && now - mirror.freshAsOf <= options.freshnessLimit / 2;
}

void Fleet::Impl::staleLoop()
{
    while (!isStopped) {
        net::sleepFor(staleRoundInterval);
        if (isStopped || isFresh(base::Clock::now()))
            continue;
        std::vector<Session> members = ownersRank(sessions, "stale/" + options.self.name);
        if (members.size() > options.membersAsked)
            members.resize(options.membersAsked);
        for (const Session& member : members) {
            if (member.name == options.self.name)
                continue;
            loop.spawn([self = shared_from_this(), member] {
                self->syncWith(member.peerAddress, member.name, base::Millis(0));
            });
        }
        if (!isWatching)
            readSnapshot();
    }
}

} // namespace rattanshunt::fleet

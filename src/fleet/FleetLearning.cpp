// Updates of the mirror from the platform and from peers.
#include "base/Json.h"
#include "fleet/FleetImpl.h"

namespace rattanshunt::fleet {

// ---- Changes of the mirror -----------------------------------------------------------------------

void Fleet::Impl::processPendingHeads()
{
    std::erase_if(pendingHeads, [&](auto& head) {
        mirrorUpdateFreshness(mirror, head.first, head.second);
        return mirror.revision >= head.first;
    });
}

void Fleet::Impl::pruneWithdrawnKeys()
{
    std::erase_if(mirror.withdrawnKeys, [&](const std::string& name) {
        auto record = mirror.records.find("/rs/cfg/key/" + name);
        if (record == mirror.records.end())
            return false;
        json object = base::jsonTryParse(record->second.value);
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

// ---- Updates from the platform -------------------------------------------------------------------

bool Fleet::Impl::readSnapshot()
{
    base::TimePoint sentAt = base::Clock::now();
    coordination::KvRangeResult read = kv.range(std::string(mirrorPrefix));
    if (read.error != KvError::None)
        return false;
    applyChange([&] {
        mirrorApplySnapshot(mirror, read.entries, read.revision);
        mirrorUpdateFreshness(mirror, read.revision, sentAt);
    });
    return true;
}

void Fleet::Impl::watchLoop()
{
    bool needsSnapshot = false;
    while (!isStopped && isWatching) {
        if (needsSnapshot && !readSnapshot()) {
            net::sleepFor(retryDelay);
            continue;
        }
        needsSnapshot = true;
        kv.watch(
            std::string(mirrorPrefix), mirror.revision + 1, [&](const std::vector<KvEvent>& events, Revision head) {
                needsSnapshot = false;
                // Only a message without events guarantees that all changes up to its revision were sent.
                applyChange([&] { mirrorApplyEvents(mirror, events, events.empty() ? head : 0); });
                return !isStopped && isWatching;
            });
        if (!isStopped && isWatching)
            net::sleepFor(retryDelay);
    }
}

void Fleet::Impl::headLoop()
{
    while (!isStopped && isWatching) {
        base::TimePoint sentAt = base::Clock::now();
        coordination::KvRangeResult read = kv.get("/rs/head");
        if (read.error == KvError::None) {
            pendingHeads.emplace_back(read.revision, sentAt);
            processPendingHeads();
        }
        if (pendingHeads.size() > 16)
            pendingHeads.erase(pendingHeads.begin());
        net::sleepUntil(sentAt + options.headCheckInterval);
    }
}

bool Fleet::Impl::readInstanceListChanges(net::HttpConnection& connection)
{
    auto changes = coordination::instanceListRead(
        connection, mirror.instanceListVersion, base::Clock::now() + instanceListInterval);
    if (changes.hasAnswer)
        applyChange([&] { mirrorApplyInstances(mirror, changes.changed, changes.version); });
    return changes.hasAnswer;
}

void Fleet::Impl::instanceListLoop()
{
    std::unique_ptr<net::HttpConnection> connection;
    size_t turn = 0;
    while (!isStopped && isWatching && !options.instanceListAddresses.empty()) {
        if (!connection || !connection->isReusable())
            connection = net::HttpConnection::create(
                loop, options.instanceListAddresses[turn++ % options.instanceListAddresses.size()]);
        readInstanceListChanges(*connection);
        net::sleepFor(instanceListInterval);
    }
}

// ---- Updates from peers --------------------------------------------------------------------------

bool Fleet::Impl::syncWith(const base::Address& address, const std::string& name, base::Millis wait)
{
    base::TimePoint sentAt = base::Clock::now();
    json request = { { "rev", mirror.revision }, { "list", mirror.instanceListVersion }, { "wait_ms", wait.count() } };
    net::PeerResult answer = peers.call(address, "sync", request, sentAt + wait + peerCallMargin);
    if (answer.error != net::PeerError::None)
        return false;
    bool isMerged = false;
    applyChange([&] { isMerged = mirrorMerge(mirror, answer.body, sentAt); });
    if (isMerged && !name.empty())
        lastExchangeAt[name] = sentAt;
    return isMerged;
}

json Fleet::Impl::handleSync(const json& body)
{
    auto revision = body.at("rev").get<Revision>();
    auto listVersion = body.at("list").get<int64_t>();
    base::Millis wait(std::clamp<int64_t>(body.at("wait_ms").get<int64_t>(), 0, 5000));
    bool hasNews = mirror.revision > revision || mirror.instanceListVersion > listVersion;
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
            const Session& relay = relays[relayIndex % relays.size()];
            isSynced = syncWith(relay.peerAddress, relay.name, options.syncLongPollTime);
        }
        if (isSynced)
            continue;
        ++relayIndex;
        net::sleepFor(retryDelay);
    }
}

bool Fleet::Impl::isFresh(base::TimePoint now) const
{
    return mirror.freshAsOf != base::TimePoint {} && now - mirror.freshAsOf <= options.freshnessLimit / 2;
}

void Fleet::Impl::staleRefreshLoop()
{
    while (!isStopped) {
        net::sleepFor(staleRefreshInterval);
        if (isStopped || isFresh(base::Clock::now()))
            continue;
        std::vector<Session> members = ownersRank(sessions, "stale/" + options.self.name);
        if (members.size() > options.maxMembersAsked)
            members.resize(options.maxMembersAsked);
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

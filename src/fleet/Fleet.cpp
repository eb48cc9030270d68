#include "fleet/Fleet.h"

#include "base/Counters.h"
#include "base/Log.h"
#include "platform/KvCodec.h"

namespace rattanshunt::fleet {

using base::LogLevel;
using nlohmann::json;
using platform::KvError;
using platform::KvEvent;

namespace {
    constexpr base::Millis retryPause { 300 };
    constexpr base::Millis listInterval { 1000 };
    constexpr base::Millis roleCheckInterval { 200 };
    constexpr base::Millis peerSlack { 1000 }; // beyond the wait that a peer was asked for
    constexpr base::Millis staleRoundInterval { 500 };
    constexpr base::Millis nameConflictPause { 1000 };
    constexpr int renewalsPerSession = 3;
}

struct Fleet::Impl : std::enable_shared_from_this<Fleet::Impl> {
    Impl(net::Loop& ownLoop, FleetOptions fleetOptions, platform::Kv& ownKv, net::PeerNetwork& network)
        : loop(ownLoop)
        , options(std::move(fleetOptions))
        , kv(ownKv)
        , peers(network)
    {
    }

    net::Loop& loop;
    FleetOptions options;
    platform::Kv& kv;
    net::PeerNetwork& peers;
    Mirror mirror;
    std::vector<Session> sessions;
    std::map<std::string, PeerMethod> methods;
    std::vector<std::function<void()>> subscribers;
    std::vector<net::Event*> changeWaiters;
    std::map<std::string, base::TimePoint> heardAt; // by member: sending time of the last exchange that was merged
    std::vector<std::pair<Revision, base::TimePoint>> pendingHeads;
    int64_t lease = 0;
    bool isStopped = false;
    bool isStopAsked = false; // join() gives up
    bool isWatching = false;
    bool isLeaving = false;
    size_t syncTurn = 0;

    // ---- Changes of the mirror -------------------------------------------------------------------

    // Runs `grow` and tells everyone if it changed the mirror.
    template <typename Grow> void change(Grow&& grow)
    {
        uint64_t before = mirror.changeCount;
        grow();
        settleHeads();
        if (mirror.changeCount == before)
            return;
        pruneWithdrawn();
        sessions = sessionsRead(mirror);
        for (auto& subscriber : subscribers)
            subscriber();
        auto waiters = std::move(changeWaiters);
        changeWaiters.clear();
        for (net::Event* waiter : waiters)
            waiter->set();
    }

    void settleHeads()
    {
        std::erase_if(pendingHeads, [&](auto& head) {
            mirrorNoteHead(mirror, head.first, head.second);
            return mirror.revision >= head.first;
        });
    }

    // A withdrawal that the KV's record shows needs no early enforcement any more.
    void pruneWithdrawn()
    {
        std::erase_if(mirror.withdrawnKeys, [&](const std::string& name) {
            auto record = mirror.records.find("/rs/cfg/key/" + name);
            if (record == mirror.records.end())
                return false;
            json object = json::parse(record->second.value, nullptr, false);
            return object.is_object() && object.value("withdrawn", false);
        });
    }

    void waitForChange(base::TimePoint deadline)
    {
        net::Event changed;
        changeWaiters.push_back(&changed);
        changed.waitUntil(deadline);
        std::erase(changeWaiters, &changed);
    }

    // ---- Learning from the platform --------------------------------------------------------------

    bool readSnapshot()
    {
        base::TimePoint sentAt = base::Clock::now();
        platform::KvRangeResult read = kv.range(std::string(mirrorPrefix));
        if (read.error != KvError::None)
            return false;
        change([&] {
            mirrorApplySnapshot(mirror, read.entries, read.revision);
            mirrorNoteHead(mirror, read.revision, sentAt);
        });
        return true;
    }

    void watchLoop()
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

    void headLoop()
    {
        while (!isStopped && isWatching) {
            base::TimePoint sentAt = base::Clock::now();
            platform::KvRangeResult read = kv.get("/rs/head");
            if (read.error == KvError::None) {
                pendingHeads.emplace_back(read.revision, sentAt);
                settleHeads();
            }
            if (pendingHeads.size() > 16)
                pendingHeads.erase(pendingHeads.begin());
            net::sleepUntil(sentAt + options.headCheckInterval);
        }
    }

    // Takes in what has changed in the platform's list. False if the platform did not answer.
    bool readListChanges(net::HttpConnection& connection)
    {
        auto changes = platform::instanceListRead(connection, mirror.listVersion, base::Clock::now() + listInterval);
        if (changes.isKnown)
            change([&] { mirrorApplyList(mirror, changes.changed, changes.version); });
        return changes.isKnown;
    }

    void listLoop()
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

    // ---- Learning from peers ---------------------------------------------------------------------

    bool syncWith(const base::Address& address, const std::string& name, base::Millis wait)
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

    json answerSync(const json& body)
    {
        auto revision = body.at("rev").get<Revision>();
        auto listVersion = body.at("list").get<int64_t>();
        base::Millis wait(std::clamp<int64_t>(body.at("wait_ms").get<int64_t>(), 0, 5000));
        bool hasNews = mirror.revision > revision || mirror.listVersion > listVersion;
        if (!hasNews && wait.count())
            waitForChange(base::Clock::now() + wait);
        return mirrorDelta(mirror, revision, listVersion, base::Clock::now());
    }

    void syncLoop()
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

    bool isFresh(base::TimePoint now) const
    {
        return mirror.freshAsOf != base::TimePoint {} && now - mirror.freshAsOf <= options.freshnessLimit / 2;
    }

    // While the KV's head is not known here, asks the other members what they know, and the KV itself.
    void staleLoop()
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

    // ---- Roles -----------------------------------------------------------------------------------

    bool shouldWatch() const
    {
        auto relays = relaysOf(sessions, options.self.dataCenter, options.relaysPerDataCenter);
        bool isChosen = std::any_of(
            relays.begin(), relays.end(), [&](const Session& session) { return session.name == options.self.name; });
        return isChosen || relays.empty();
    }

    void roleLoop()
    {
        while (!isStopped) {
            bool should = shouldWatch();
            if (should && !isWatching) {
                isWatching = true;
                base::logEvent(LogLevel::Info, "fleet.relay", { { "on", "true" }, { "revision", mirror.revision } });
                loop.spawn([self = shared_from_this()] { self->watchLoop(); });
                loop.spawn([self = shared_from_this()] { self->headLoop(); });
                loop.spawn([self = shared_from_this()] { self->listLoop(); });
            } else if (!should && isWatching) {
                isWatching = false;
                base::logEvent(LogLevel::Info, "fleet.relay", { { "on", "false" } });
            }
            net::sleepFor(roleCheckInterval);
        }
    }

    // ---- Session ---------------------------------------------------------------------------------

    bool writeSession()
    {
        if (!lease) {
            platform::KvLeaseResult granted = kv.leaseGrant(options.sessionTime);
            if (granted.error != KvError::None)
                return false;
            lease = granted.lease;
        }
        std::string key = sessionKvKey(options.self.name);
        std::string text = sessionToText(options.self);
        platform::KvRangeResult read = kv.get(key);
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
            net::sleepFor(nameConflictPause);
            return false;
        }
        platform::KvSwapResult swap = platform::kvSwap(kv, key, expected, text, lease);
        if (swap.outcome != platform::KvSwapOutcome::Done)
            return false;
        noteWritten(key, text, swap.modRevision);
        base::logEvent(LogLevel::Info, "fleet.session",
            { { "name", options.self.name }, { "incarnation", options.self.incarnation },
                { "revision", swap.modRevision } });
        return true;
    }

    void noteWritten(const std::string& key, const std::string& value, Revision modRevision)
    {
        auto found = mirror.records.find(key);
        bool isNewer = found == mirror.records.end() || found->second.modRevision < modRevision;
        if (!isNewer || modRevision <= mirror.revision)
            return;
        // The mirror's revision stays: records of others between the two may still be on their way.
        change([&] {
            Revision created = found == mirror.records.end() ? modRevision : found->second.createRevision;
            mirror.records[key] = { value, modRevision, created };
            ++mirror.changeCount;
        });
    }

    void renewLoop()
    {
        while (!isStopped) {
            net::sleepFor(options.sessionTime / renewalsPerSession);
            if (isStopped || isLeaving)
                continue;
            if (lease) {
                platform::KvLeaseResult renewed = kv.leaseRenew(lease);
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
                net::sleepFor(retryPause);
        }
    }

    void writeSessionIfMissing()
    {
        for (const Session& session : sessions) {
            if (session.name == options.self.name && session.incarnation == options.self.incarnation)
                return;
        }
        writeSession();
    }

    // ---- Start -----------------------------------------------------------------------------------

    // The platform's list as it is now, so that a daemon that says "ready" knows the endpoints.
    void readListOnce()
    {
        for (const base::Address& address : options.platform) {
            auto connection = net::HttpConnection::create(loop, address);
            if (readListChanges(*connection))
                return;
        }
    }

    void learnAtStart()
    {
        while (!isStopped && !isStopAsked && !mirror.revision) {
            if (readSnapshot())
                return;
            for (const base::Address& seed : options.seeds) {
                if (!isStopped && syncWith(seed, "", base::Millis(0)) && mirror.revision)
                    return;
            }
            net::sleepFor(retryPause);
        }
    }

    void startLoops()
    {
        auto self = shared_from_this();
        loop.spawn([self] { self->roleLoop(); });
        loop.spawn([self] { self->syncLoop(); });
        loop.spawn([self] { self->staleLoop(); });
    }

    // ---- Queries ---------------------------------------------------------------------------------

    // Sending times of the latest exchange with each member, newest first; this daemon hears itself at any time.
    std::vector<base::TimePoint> heardTimes(base::TimePoint now) const
    {
        std::vector<base::TimePoint> times;
        bool isListed = false;
        for (const Session& session : sessions) {
            isListed |= session.name == options.self.name;
            auto found = heardAt.find(session.name);
            if (session.name == options.self.name)
                times.push_back(now);
            else if (found != heardAt.end())
                times.push_back(found->second);
        }
        if (!isListed)
            times.push_back(now);
        std::sort(times.rbegin(), times.rend());
        return times;
    }

    size_t memberCount() const
    {
        bool isListed = std::any_of(sessions.begin(), sessions.end(),
            [&](const Session& session) { return session.name == options.self.name; });
        return sessions.size() + (isListed ? 0 : 1);
    }

    FreshnessView view(base::TimePoint now) const
    {
        FreshnessView seen { mirror.freshAsOf, memberCount(), 0 };
        for (base::TimePoint time : heardTimes(now))
            seen.membersHeard += now - time <= options.freshnessLimit;
        return seen;
    }
};

Fleet::Fleet(net::Loop& loop, FleetOptions options, platform::Kv& kv, net::PeerNetwork& peers)
    : m_impl(std::make_shared<Impl>(loop, std::move(options), kv, peers))
{
    addMethod("sync", [this](const std::string&, const json& body) { return m_impl->answerSync(body); });
    addMethod("withdraw", [this](const std::string& from, const json& body) {
        auto name = body.at("key").get<std::string>();
        base::logEvent(LogLevel::Info, "key.withdrawn_by_peer", { { "key", name }, { "peer", from } });
        m_impl->change([&] { mirrorWithdrawKey(m_impl->mirror, name); });
        return json({ { "ok", true } });
    });
}

Fleet::~Fleet() = default;

bool Fleet::join()
{
    m_impl->learnAtStart();
    m_impl->readListOnce();
    m_impl->startLoops();
    while (!m_impl->isStopped && !m_impl->isStopAsked && !m_impl->writeSession()) {
        // Without the KV the daemon serves on what its peers know, and becomes a member later.
        if (m_impl->mirror.revision && !m_impl->sessions.empty() && freshness(base::Clock::now()) == Freshness::Outage)
            break;
        net::sleepFor(retryPause);
    }
    m_impl->loop.spawn([impl = m_impl] { impl->renewLoop(); });
    return !m_impl->isStopped && !m_impl->isStopAsked;
}

void Fleet::announceLeaving()
{
    m_impl->options.self.state = SessionState::Leaving;
    m_impl->writeSession();
}

void Fleet::leave()
{
    m_impl->isLeaving = true;
    if (m_impl->lease)
        m_impl->kv.leaseRevoke(m_impl->lease);
    stop();
}

void Fleet::stop()
{
    m_impl->isStopped = true;
    m_impl->isWatching = false;
    for (net::Event* waiter : m_impl->changeWaiters)
        waiter->set();
}

void Fleet::addMethod(const std::string& name, PeerMethod method)
{
    m_impl->methods[name] = std::move(method);
}

json Fleet::answer(const std::string& from, const std::string& method, const json& body)
{
    auto found = m_impl->methods.find(method);
    if (found == m_impl->methods.end())
        return json(json::value_t::discarded);
    return found->second(from, body);
}

void Fleet::requestStop()
{
    m_impl->isStopAsked = true;
}

void Fleet::subscribe(std::function<void()> onChange)
{
    m_impl->subscribers.push_back(std::move(onChange));
}

size_t Fleet::withdrawKey(const std::string& keyName)
{
    m_impl->change([&] { mirrorWithdrawKey(m_impl->mirror, keyName); });
    struct Round {
        size_t holders = 1;
        size_t pending = 0;
        net::Event done;
    };
    auto round = std::make_shared<Round>();
    base::TimePoint deadline = base::Clock::now() + peerSlack;
    for (const Session& member : m_impl->sessions) {
        if (member.name == m_impl->options.self.name)
            continue;
        ++round->pending;
        m_impl->loop.spawn([impl = m_impl, round, member, keyName, deadline] {
            net::PeerResult answer = impl->peers.call(member.peerAddress, "withdraw", { { "key", keyName } }, deadline);
            round->holders += answer.error == net::PeerError::None;
            if (--round->pending == 0)
                round->done.set();
        });
    }
    if (round->pending)
        round->done.waitUntil(deadline);
    return round->holders;
}

void Fleet::noteWritten(const std::string& key, const std::string& value, Revision modRevision)
{
    m_impl->noteWritten(key, value, modRevision);
}

const Mirror& Fleet::mirror() const
{
    return m_impl->mirror;
}
const std::vector<Session>& Fleet::sessions() const
{
    return m_impl->sessions;
}
const Session& Fleet::self() const
{
    return m_impl->options.self;
}
platform::Kv& Fleet::kv()
{
    return m_impl->kv;
}
net::PeerNetwork& Fleet::peers()
{
    return m_impl->peers;
}
net::Loop& Fleet::loop()
{
    return m_impl->loop;
}
const FleetOptions& Fleet::options() const
{
    return m_impl->options;
}
bool Fleet::isStopped() const
{
    return m_impl->isStopped;
}
bool Fleet::isRelay() const
{
    return m_impl->isWatching;
}

std::optional<Session> Fleet::sessionNamed(const std::string& name) const
{
    for (const Session& session : m_impl->sessions) {
        if (session.name == name)
            return session;
    }
    return std::nullopt;
}

bool Fleet::isMember() const
{
    auto session = sessionNamed(m_impl->options.self.name);
    return session && session->incarnation == m_impl->options.self.incarnation;
}

Freshness Fleet::freshness(base::TimePoint now) const
{
    return freshnessDecide(m_impl->view(now), now, m_impl->options.freshnessLimit);
}

base::TimePoint Fleet::serveUntil(base::TimePoint now) const
{
    base::TimePoint until = m_impl->mirror.freshAsOf;
    auto heard = m_impl->heardTimes(now);
    size_t majority = m_impl->memberCount() / 2;
    // The time since which a majority has been heard.
    if (heard.size() > majority)
        until = std::max(until, heard[majority]);
    return until == base::TimePoint {} ? until : until + m_impl->options.freshnessLimit;
}

bool Fleet::hasProofOfEnd(
    const base::Address& address, const std::string& incarnation, const std::string& instanceId) const
{
    // Only one process can listen on an address.
    for (const Session& other : m_impl->sessions) {
        if (other.peerAddress == address && other.incarnation != incarnation)
            return true;
    }
    auto listed = m_impl->mirror.list.find(instanceId);
    return listed != m_impl->mirror.list.end() && listed->second.instance.state == platform::InstanceState::Gone;
}

} // namespace rattanshunt::fleet

// Start, queries and public methods of Fleet.
#include "fleet/FleetImpl.h"

namespace rattanshunt::fleet {

// ---- Start ---------------------------------------------------------------------------------------

void Fleet::Impl::readInitialInstanceList()
{
    for (const base::Address& address : options.instanceListAddresses) {
        auto connection = net::HttpConnection::create(loop, address);
        if (readInstanceListChanges(*connection))
            return;
    }
}

void Fleet::Impl::loadInitialState()
{
    while (!isStopped && !isStopRequested && !mirror.revision) {
        if (readSnapshot())
            return;
        for (const base::Address& seed : options.seeds) {
            if (!isStopped && syncWith(seed, "", base::Millis(0)) && mirror.revision)
                return;
        }
        net::sleepFor(retryDelay);
    }
}

void Fleet::Impl::startLoops()
{
    auto self = shared_from_this();
    loop.spawn([self] { self->roleLoop(); });
    loop.spawn([self] { self->syncLoop(); });
    loop.spawn([self] { self->staleRefreshLoop(); });
}

// ---- Queries -------------------------------------------------------------------------------------

std::vector<base::TimePoint> Fleet::Impl::lastExchangeTimes(base::TimePoint now) const
{
    std::vector<base::TimePoint> times;
    bool isListed = false;
    for (const Session& session : sessions) {
        isListed |= session.name == options.self.name;
        auto found = lastExchangeAt.find(session.name);
        if (session.name == options.self.name)
            times.push_back(now);
        else if (found != lastExchangeAt.end())
            times.push_back(found->second);
    }
    if (!isListed)
        times.push_back(now);
    std::sort(times.rbegin(), times.rend());
    return times;
}

size_t Fleet::Impl::memberCount() const
{
    bool isListed = std::any_of(
        sessions.begin(), sessions.end(), [&](const Session& session) { return session.name == options.self.name; });
    return sessions.size() + (isListed ? 0 : 1);
}

FreshnessView Fleet::Impl::freshnessView(base::TimePoint now) const
{
    FreshnessView seen { mirror.freshAsOf, memberCount(), 0 };
    for (base::TimePoint time : lastExchangeTimes(now))
        seen.freshMembers += now - time <= options.freshnessLimit;
    return seen;
}

Fleet::Fleet(net::Loop& loop, FleetOptions options, coordination::Kv& kv, net::PeerNetwork& peers)
    : m_impl(std::make_shared<Impl>(loop, std::move(options), kv, peers))
{
    addMethod("sync", [this](const std::string&, const json& body) { return m_impl->handleSync(body); });
    addMethod("withdraw", [this](const std::string& from, const json& body) {
        auto name = body.at("key").get<std::string>();
        base::logEvent(LogLevel::Info, "key.withdrawn_by_peer", { { "key", name }, { "peer", from } });
        m_impl->applyChange([&] { mirrorWithdrawKey(m_impl->mirror, name); });
        return json({ { "ok", true } });
    });
}

Fleet::~Fleet() = default;

bool Fleet::join()
{
    m_impl->loadInitialState();
    m_impl->readInitialInstanceList();
    m_impl->startLoops();
    while (!m_impl->isStopped && !m_impl->isStopRequested && !m_impl->writeSession()) {
        // While the KV is down, the daemon serves on its peers' data and becomes a member later.
        if (m_impl->mirror.revision && !m_impl->sessions.empty() && freshness(base::Clock::now()) == Freshness::Outage)
            break;
        net::sleepFor(retryDelay);
    }
    m_impl->loop.spawn([impl = m_impl] { impl->renewLoop(); });
    return !m_impl->isStopped && !m_impl->isStopRequested;
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

json Fleet::handleCall(const std::string& from, const std::string& method, const json& body)
{
    auto found = m_impl->methods.find(method);
    if (found == m_impl->methods.end())
        return json(json::value_t::discarded);
    return found->second(from, body);
}

void Fleet::requestStop()
{
    m_impl->isStopRequested = true;
}

void Fleet::subscribe(std::function<void()> onChange)
{
    m_impl->subscribers.push_back(std::move(onChange));
}

size_t Fleet::withdrawKey(const std::string& keyName)
{
    m_impl->applyChange([&] { mirrorWithdrawKey(m_impl->mirror, keyName); });
    struct Round {
        size_t acknowledged = 1;
        size_t pending = 0;
        net::Event done;
    };
    auto round = std::make_shared<Round>();
    base::TimePoint deadline = base::Clock::now() + peerCallMargin;
    for (const Session& member : m_impl->sessions) {
        if (member.name == m_impl->options.self.name)
            continue;
        ++round->pending;
        m_impl->loop.spawn([impl = m_impl, round, member, keyName, deadline] {
            net::PeerResult answer = impl->peers.call(member.peerAddress, "withdraw", { { "key", keyName } }, deadline);
            round->acknowledged += answer.error == net::PeerError::None;
            if (--round->pending == 0)
                round->done.set();
        });
    }
    if (round->pending)
        round->done.waitUntil(deadline);
    return round->acknowledged;
}

void Fleet::applyOwnWrite(const std::string& key, const std::string& value, Revision modRevision)
{
    m_impl->applyOwnWrite(key, value, modRevision);
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
coordination::Kv& Fleet::kv()
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
    return freshnessDecide(m_impl->freshnessView(now), now, m_impl->options.freshnessLimit);
}

base::TimePoint Fleet::serveUntil(base::TimePoint now) const
{
    base::TimePoint until = m_impl->mirror.freshAsOf;
    auto exchangeTimes = m_impl->lastExchangeTimes(now);
    size_t majority = m_impl->memberCount() / 2;
    // The latest time since when answers of a majority of the members have been merged.
    if (exchangeTimes.size() > majority)
        until = std::max(until, exchangeTimes[majority]);
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
    auto listed = m_impl->mirror.instances.find(instanceId);
    return listed != m_impl->mirror.instances.end()
        && listed->second.instance.state == coordination::InstanceState::Gone;
}

} // namespace rattanshunt::fleet

#include "reach/ReplicaDialer.h"

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::reach {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

ReplicaDialer::ReplicaDialer(net::Loop& loop, DialerOptions options, hub::HubSync& hubSync)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_hubSync(hubSync)
{
    m_hubSync.setTunnelHandler(
        [this](const std::string& from, const nlohmann::json& request) { return planTunnel(from, request); });
}

void ReplicaDialer::setSpareSink(std::function<void(std::unique_ptr<net::HttpConnection>)> sink)
{
    m_spareSink = std::move(sink);
}

void ReplicaDialer::subscribe(std::function<void()> onChange)
{
    m_subscribers.push_back(std::move(onChange));
}

void ReplicaDialer::notify()
{
    for (auto& subscriber : m_subscribers)
        subscriber();
}

std::unique_ptr<net::HttpConnection> ReplicaDialer::create(const base::Address& address) const
{
    return net::HttpConnection::create(m_loop, address, m_options.connect);
}

net::HttpCallError ReplicaDialer::connect(net::HttpConnection& connection, base::TimePoint deadline)
{
    // A lost link drops the first packet, and the time-out of a single connection is long.
    net::TimerId timer
        = m_loop.timers().subscribe(base::Clock::now() + m_options.reach.suspectDialAfter, [this, &connection] {
              if (reachIsInDoubt(m_reach, m_options.reach, BootClock::now()) && !m_isChecking)
                  m_loop.spawn([this, address = connection.address()] { runCheck(address); });
          });
    m_connecting.insert(&connection);
    net::HttpCallError error = connection.connect(deadline);
    m_connecting.erase(&connection);
    m_loop.timers().cancel(timer);
    if (error == net::HttpCallError::None)
        recordConnected();
    return error;
}

// ---- Reach -------------------------------------------------------------------------------------

void ReplicaDialer::recordHeard()
{
    m_reach.heardAt = BootClock::now();
}

void ReplicaDialer::recordConnected()
{
    BootTime now = BootClock::now();
    bool wasLost = m_reach.isLost;
    reachConnected(m_reach, now);
    if (!wasLost)
        return;
    m_hubSync.setReplicasLost(false);
    base::logEvent(LogLevel::Info, "reach.back", { { "lost_ms", base::millisOf(now - m_reach.lostAt) } });
    notify();
}

bool ReplicaDialer::confirmReach(const base::Address& replica)
{
    if (m_isChecking || reachIsInDoubt(m_reach, m_options.reach, BootClock::now()))
        runCheck(replica);
    return !m_reach.isLost;
}

void ReplicaDialer::checkSilence(BootTime waitingSince)
{
    if (!m_isChecking && reachIsSilent(m_reach, m_options.reach, waitingSince, BootClock::now()))
        m_loop.spawn([this] { runCheck({}); });
}

// Some replicas that may be dialled, different ones each time.
std::vector<base::Address> ReplicaDialer::checkTargets(const base::Address& except) const
{
    std::vector<base::Address> addresses;
    BootTime now = BootClock::now();
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        directory::ReplicaObstacle obstacle = directory::replicaObstacle(m_hubSync.replicaLife(replica, {}), now);
        bool mayDial = obstacle != directory::ReplicaObstacle::Leaving && obstacle != directory::ReplicaObstacle::Quiet;
        if (mayDial && base::formatAddress(replica.entry.address) != base::formatAddress(except))
            addresses.push_back(replica.entry.address);
    }
    for (size_t i = 0; i < addresses.size() && i < m_options.reach.dialsPerCheck; ++i)
        std::swap(addresses[i], addresses[i + base::stableHash(base::randomBytes(8)) % (addresses.size() - i)]);
    addresses.resize(std::min(addresses.size(), m_options.reach.dialsPerCheck));
    return addresses;
}

void ReplicaDialer::dialForCheck(const base::Address& address, const std::shared_ptr<Check>& check)
{
    auto connection = create(address);
    if (connection->connect(base::Clock::now() + m_options.reach.dialTimeout) == net::HttpCallError::None) {
        check->hasConnected = true;
        recordConnected();
        if (m_spareSink)
            m_spareSink(std::move(connection));
    }
    if (--check->pendingDials == 0 || check->hasConnected)
        check->done.set();
}

// Returns when the check that is under way, or a new one, has ended.
void ReplicaDialer::runCheck(const base::Address& except)
{
    if (m_isChecking) {
        net::Event ended;
        m_checkWaiters.push_back(&ended);
        ended.waitUntil();
        return;
    }
    m_isChecking = true;
    BootTime begunAt = BootClock::now();
    std::vector<base::Address> targets = checkTargets(except);
    auto check = std::make_shared<Check>();
    check->pendingDials = targets.size();
    for (const base::Address& address : targets)
        m_loop.spawn([this, address, check] { dialForCheck(address, check); });
    base::counterAdd("reach_checks_total");
    if (!targets.empty()) {
        check->done.waitUntil();
        bool wasLost = m_reach.isLost;
        if (!check->hasConnected)
            reachCheckFailed(m_reach, begunAt, BootClock::now());
        if (m_reach.isLost && !wasLost)
            base::logEvent(LogLevel::Warning, "reach.lost",
                { { "dialled", targets.size() }, { "except", base::formatAddress(except) },
                    { "silent_ms", base::millisOf(BootClock::now() - m_reach.heardAt) } });
        if (m_reach.isLost) {
            if (reachLossIsConfirmed(m_reach, m_options.reach))
                m_hubSync.setReplicasLost(true);
            for (net::HttpConnection* connection : m_connecting)
                connection->cancel();
            notify();
        }
    }
    m_reach.checkedAt = BootClock::now();
    m_isChecking = false;
    for (net::Event* waiter : std::exchange(m_checkWaiters, {}))
        waiter->set();
    if (m_reach.isLost && !m_isRechecking)
        m_loop.spawn([this] { recheckLoop(); });
}

void ReplicaDialer::recheckLoop()
{
    m_isRechecking = true;
    while (m_reach.isLost && !m_isStopping) {
        net::sleepFor(m_options.reach.checkInterval);
        if (m_reach.isLost && !m_isStopping)
            runCheck({});
    }
    m_isRechecking = false;
}

} // namespace rattanshunt::reach

#include "reach/ReplicaDialer.h"

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::reach {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

uint64_t randomNumber()
{
    return base::stableHash(base::randomBytes(sizeof(uint64_t)));
}

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

// Some replicas that may be dialled, different ones each time; `except` only if there is no other.
std::vector<gateway::ReplicaEntry> ReplicaDialer::checkTargets(const base::Address& except) const
{
    std::vector<const gateway::ReplicaEntry*> entries;
    const gateway::ReplicaEntry* last = nullptr;
    BootTime now = BootClock::now();
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        directory::ReplicaObstacle obstacle = directory::replicaObstacle(m_hubSync.replicaLife(replica, {}), now);
        if (obstacle == directory::ReplicaObstacle::Leaving || obstacle == directory::ReplicaObstacle::Quiet)
            continue;
        if (base::formatAddress(replica.entry.address) == base::formatAddress(except))
            last = &replica.entry;
        else
            entries.push_back(&replica.entry);
    }
    if (entries.empty() && last)
        entries.push_back(last);
    std::vector<gateway::ReplicaEntry> targets;
    while (!entries.empty() && targets.size() < m_options.reach.dialsPerCheck) {
        auto chosen = entries.begin() + static_cast<std::ptrdiff_t>(randomNumber() % entries.size());
        targets.push_back(**chosen);
        entries.erase(chosen);
    }
    return targets;
}

// Runs `tries` in fibers of their own. Returns whether one has succeeded, once it has or when all have ended.
bool ReplicaDialer::anySucceeds(std::vector<std::function<bool()>> tries)
{
    struct Outcome {
        size_t pending;
        bool hasSucceeded = false;
        net::Event done {};
    };
    auto outcome = std::make_shared<Outcome>(Outcome { tries.size() });
    for (auto& attempt : tries)
        m_loop.spawn([outcome, attempt = std::move(attempt)] {
            outcome->hasSucceeded = attempt() || outcome->hasSucceeded;
            if (--outcome->pending == 0 || outcome->hasSucceeded)
                outcome->done.set();
        });
    if (!tries.empty())
        outcome->done.waitUntil();
    return outcome->hasSucceeded;
}

bool ReplicaDialer::dialForCheck(const base::Address& address)
{
    auto connection = create(address);
    if (connection->connect(base::Clock::now() + m_options.reach.dialTimeout) != net::HttpCallError::None)
        return false;
    recordConnected();
    if (m_spareSink)
        m_spareSink(std::move(connection));
    return true;
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
    std::vector<gateway::ReplicaEntry> targets = checkTargets(except);
    std::vector<std::function<bool()>> dials;
    dials.reserve(targets.size());
    for (const gateway::ReplicaEntry& target : targets)
        dials.emplace_back([this, address = target.address] { return dialForCheck(address); });
    base::counterAdd("reach_checks_total");
    bool isReached = anySucceeds(std::move(dials));
    if (!isReached && !targets.empty())
        m_reach.failedAt = BootClock::now();
    if (!isReached && !m_reach.isLost && !targets.empty() && othersReach(targets))
        recordLost(begunAt, except);
    m_reach.checkedAt = BootClock::now();
    m_isChecking = false;
    for (net::Event* waiter : std::exchange(m_checkWaiters, {}))
        waiter->set();
    if (!m_reach.isLost)
        return;
    for (net::HttpConnection* connection : m_connecting)
        connection->cancel();
    notify();
    if (!m_isRechecking)
        m_loop.spawn([this] { recheckLoop(); });
}

void ReplicaDialer::recordLost(BootTime begunAt, const base::Address& except)
{
    reachLost(m_reach, begunAt, BootClock::now());
    if (!m_reach.isLost)
        return;
    base::logEvent(LogLevel::Warning, "reach.lost",
        { { "failed", base::formatAddress(except) }, { "check_ms", base::millisOf(m_reach.lostAt - begunAt) } });
    m_hubSync.setReplicasLost(true);
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

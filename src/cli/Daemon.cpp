// Start, stop and the public methods of Daemon.
#include "cli/DaemonImpl.h"

namespace rattanshunt::cli {

namespace {

    fleet::FleetOptions fleetOptions(const settings::Settings& settings, const DaemonAddresses& addresses)
    {
        fleet::FleetOptions options;
        options.self.name = settings.name;
        options.self.incarnation = base::randomId();
        options.self.peerAddress = addresses.peer;
        options.self.adminAddress = addresses.admin;
        options.self.dataCenter = settings.dataCenter;
        options.instanceId = settings.instanceId;
        options.platform = settings.platform;
        options.seeds = settings.peers;
        options.sessionTime = settings.sessionTime;
        options.freshnessLimit = settings.freshnessLimit;
        options.headCheckInterval = settings.headCheckInterval;
        options.relaysPerDataCenter = settings.relaysPerDataCenter;
        return options;
    }

    budget::BudgetOptions budgetOptions(const settings::Settings& settings)
    {
        budget::BudgetOptions options;
        options.slots = settings.budgetSlots;
        options.validity = settings.tokenValidity;
        options.shareTerm = settings.shareTerm;
        return options;
    }

    placement::PlannerOptions plannerOptions(const settings::Settings& settings)
    {
        placement::PlannerOptions options;
        options.storeLoads = settings.storeLoads;
        options.adapterLoads = settings.adapterLoads;
        return options;
    }

    net::PeerOptions peerOptions(const settings::Settings& settings)
    {
        net::PeerOptions options;
        options.name = settings.name;
        options.secret = settings.fleetSecret;
        return options;
    }

} // namespace

int Daemon::Impl::run()
{
    int code = 1;
    m_loop.run([&] { code = runControl(); });
    for (auto& traffic : m_traffic)
        traffic->thread.join();
    setPhase(Phase::Ended);
    return code;
}

void Daemon::Impl::setPhase(Phase phase)
{
    std::lock_guard lock(m_phaseMutex);
    m_phase = phase;
    m_phaseChanged.notify_all();
}

bool Daemon::Impl::waitPhase(Phase wanted, base::Duration limit)
{
    std::unique_lock lock(m_phaseMutex);
    m_phaseChanged.wait_for(lock, limit, [&] { return m_phase >= wanted; });
    return m_phase >= wanted && m_phase != Phase::Ended;
}

DaemonAddresses Daemon::Impl::addresses() const
{
    std::lock_guard lock(m_phaseMutex);
    return m_addresses;
}

void Daemon::Impl::requestStop(bool isGraceful)
{
    m_loop.post([this, isGraceful] {
        m_isHurried = !isGraceful;
        if (m_fleet)
            m_fleet->requestStop();
        m_stopAsked.set();
    });
}

void Daemon::Impl::freeze()
{
    {
        std::lock_guard lock(m_frozenMutex);
        m_isFrozen = true;
    }
    auto block = [this] {
        std::unique_lock lock(m_frozenMutex);
        m_thawed.wait(lock, [this] { return !m_isFrozen; });
    };
    m_loop.post(block);
    for (auto& traffic : m_traffic)
        traffic->loop.post(block);
}

void Daemon::Impl::thaw()
{
    std::lock_guard lock(m_frozenMutex);
    m_isFrozen = false;
    m_thawed.notify_all();
}

void Daemon::Impl::watchSignals()
{
    m_loop.post([this] {
        m_signals = std::make_unique<boost::asio::signal_set>(m_loop.io(), SIGTERM, SIGINT, SIGQUIT);
        m_signals->async_wait([this](net::ErrorCode error, int signal) {
            if (error)
                return;
            base::logEvent(LogLevel::Info, "daemon.signal", { { "signal", signal } });
            requestStop(signal != SIGQUIT);
        });
    });
}

int Daemon::Impl::runControl()
{
    m_addresses = { m_settings.clientListen, m_settings.peerListen, m_settings.adminListen };
    m_peers = std::make_unique<net::PeerNetwork>(m_loop, peerOptions(m_settings));
    std::string error;
    if (!m_peers->listen(
            m_addresses.peer, [this](auto& from, auto& method, auto& body) { return answerPeer(from, method, body); },
            error))
        return refuseStart("peer_listen", m_addresses.peer, error);
    m_fleet = std::make_unique<fleet::Fleet>(m_loop, fleetOptions(m_settings, m_addresses), m_kv, *m_peers);
    m_budget = std::make_unique<budget::BudgetService>(*m_fleet, budgetOptions(m_settings));
    m_claims = std::make_unique<idempotency::ClaimService>(*m_fleet);
    m_placement = std::make_unique<placement::PlacementService>(*m_fleet, plannerOptions(m_settings));
    m_backbone = std::make_unique<entry::Backbone>(m_settings, m_loop, *m_budget, *m_claims, *m_placement);
    m_backbone->incarnation = m_fleet->self().incarnation;
    m_admin = std::make_unique<admin::AdminServer>(*m_fleet, *m_backbone,
        admin::AdminSources { [this] { return readBook(); }, [this] { return requestsUnderWay(); } });
    if (!m_admin->listen(m_addresses.admin, error))
        return refuseStart("admin_listen", m_addresses.admin, error);
    if (!startTraffic(error))
        return refuseStart("client_listen", m_settings.clientListen, error);
    announce();
    setPhase(Phase::Listening);
    m_fleet->subscribe([this] { planCatalog(); });
    m_loop.spawn([this] { publishLoop(); });
    if (m_fleet->join()) {
        publishCatalog();
        m_budget->start();
        m_placement->start();
        m_backbone->publishReady();
        setPhase(Phase::Ready);
        base::logEvent(LogLevel::Info, "daemon.ready",
            { { "name", m_settings.name }, { "revision", m_fleet->mirror().revision } });
    }
    m_stopAsked.waitUntil();
    stop();
    return 0;
}

int Daemon::Impl::refuseStart(const char* flag, const base::Address& address, const std::string& error)
{
    base::logEvent(LogLevel::Error, "daemon.bind_failed",
        { { "flag", flag }, { "address", base::formatAddress(address) }, { "error", error } });
    m_isStopped = true;
    stopTraffic();
    if (m_admin)
        m_admin->stop();
    m_peers->close();
    return 1;
}

void Daemon::Impl::announce() const
{
    base::logEvent(LogLevel::Info, "daemon.listening",
        { { "name", m_settings.name }, { "client", base::formatAddress(m_addresses.client) },
            { "peer", base::formatAddress(m_addresses.peer) }, { "admin", base::formatAddress(m_addresses.admin) } });
}

nlohmann::json Daemon::Impl::answerPeer(const std::string& from, const std::string& method, const nlohmann::json& body)
{
    return m_fleet ? m_fleet->answer(from, method, body) : nlohmann::json(nlohmann::json::value_t::discarded);
}

// ---- Stopping --------------------------------------------------------------------------------

void Daemon::Impl::stop()
{
    m_backbone->publishDraining();
    base::logEvent(LogLevel::Info, "daemon.draining", { { "requests", requestsUnderWay() } });
    if (!m_isHurried) {
        m_fleet->announceLeaving();
        net::sleepFor(m_settings.drainTime);
        onEachTraffic([](Traffic& traffic) { traffic.entry->stopAccepting(); });
        waitForRequests();
        onEachTraffic([](Traffic& traffic) { traffic.entry->close(); });
        net::sleepFor(settleTime);
        m_placement->release();
        m_budget->release();
        m_fleet->leave();
    }
    m_isStopped = true;
    m_fleet->stop();
    m_kv.close();
    m_peers->close();
    m_placement->stop();
    m_budget->stop();
    m_claims->stop();
    m_admin->stop();
    stopTraffic();
    base::logEvent(LogLevel::Info, "daemon.stopped", {});
}

void Daemon::Impl::waitForRequests()
{
    base::TimePoint deadline = base::Clock::now() + m_settings.stopTime;
    size_t left = 1;
    while (left && base::Clock::now() < deadline) {
        left = 0;
        onEachTraffic([&](Traffic& traffic) { left += traffic.entry->requestsUnderWay(); });
        if (left)
            net::sleepFor(drainPoll);
    }
    if (left)
        base::logEvent(LogLevel::Error, "daemon.requests_cut", { { "requests", left } });
}

Daemon::Daemon(const settings::Settings& settings)
    : m_impl(std::make_shared<Impl>(settings))
{
}

Daemon::~Daemon()
{
    if (!m_impl->m_thread.joinable())
        return;
    thaw();
    requestStop(false);
    join();
}

void Daemon::start()
{
    m_impl->m_thread = std::thread([impl = m_impl] { impl->m_code = impl->run(); });
}

void Daemon::requestStop(bool isGraceful)
{
    m_impl->requestStop(isGraceful);
}

int Daemon::join()
{
    if (m_impl->m_thread.joinable())
        m_impl->m_thread.join();
    return m_impl->m_code;
}

void Daemon::freeze()
{
    m_impl->freeze();
}
void Daemon::thaw()
{
    m_impl->thaw();
}
bool Daemon::waitListening(base::Duration limit)
{
    return m_impl->waitPhase(Impl::Phase::Listening, limit);
}
bool Daemon::waitReady(base::Duration limit)
{
    return m_impl->waitPhase(Impl::Phase::Ready, limit);
}
DaemonAddresses Daemon::addresses() const
{
    return m_impl->addresses();
}

int daemonRun(const settings::Settings& settings)
{
    Daemon::Impl daemon(settings);
    daemon.watchSignals();
    return daemon.run();
}

} // namespace rattanshunt::cli

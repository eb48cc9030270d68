// Start and stop of the daemon, and the public methods of Daemon.
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
        options.instanceListAddresses = settings.platformAddresses;
        options.seeds = settings.seedPeers;
        options.sessionTtl = settings.sessionTimeToLive;
        options.freshnessLimit = settings.freshnessLimit;
        options.headCheckInterval = settings.headCheckInterval;
        options.relaysPerDataCenter = settings.relaysPerDataCenter;
        return options;
    }

    budget::BudgetOptions budgetOptions(const settings::Settings& settings)
    {
        budget::BudgetOptions options;
        options.slotCount = settings.budgetSlots;
        options.tokenValidity = settings.tokenValidity;
        options.slotLeaseTerm = settings.shareTerm;
        return options;
    }

    placement::PlacementOptions plannerOptions(const settings::Settings& settings)
    {
        placement::PlacementOptions options;
        options.maxStoreLoads = settings.maxStoreLoads;
        options.maxAdapterLoads = settings.maxAdapterLoads;
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
    for (auto& trafficThread : m_trafficThreads)
        trafficThread->thread.join();
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
        m_isImmediateStop = !isGraceful;
        if (m_fleet)
            m_fleet->requestStop();
        m_stopRequested.set();
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
    for (auto& trafficThread : m_trafficThreads)
        trafficThread->loop.post(block);
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
        return abortStart("peer_listen", m_addresses.peer, error);
    m_fleet = std::make_unique<fleet::Fleet>(m_loop, fleetOptions(m_settings, m_addresses), m_kv, *m_peers);
    m_budget = std::make_unique<budget::BudgetService>(*m_fleet, budgetOptions(m_settings));
    m_claims = std::make_unique<idempotency::ClaimService>(*m_fleet);
    m_placement = std::make_unique<placement::PlacementService>(*m_fleet, plannerOptions(m_settings));
    m_context = std::make_unique<entry::DaemonContext>(m_settings, m_loop, *m_budget, *m_claims, *m_placement);
    m_context->incarnation = m_fleet->self().incarnation;
    m_admin = std::make_unique<admin::AdminServer>(*m_fleet, *m_context,
        admin::AdminSources { [this] { return readRequestStats(); }, [this] { return requestsInFlight(); } });
    if (!m_admin->listen(m_addresses.admin, error))
        return abortStart("admin_listen", m_addresses.admin, error);
    if (!startTrafficThreads(error))
        return abortStart("client_listen", m_settings.clientListen, error);
    logListening();
    setPhase(Phase::Listening);
    m_fleet->subscribe([this] { scheduleCatalogPublish(); });
    m_loop.spawn([this] { publishLoop(); });
    if (m_fleet->join()) {
        publishCatalog();
        m_budget->start();
        m_placement->start();
        m_context->publishReady();
        setPhase(Phase::Ready);
        base::logEvent(LogLevel::Info, "daemon.ready",
            { { "name", m_settings.name }, { "revision", m_fleet->mirror().revision } });
    }
    m_stopRequested.waitUntil();
    stop();
    return 0;
}

int Daemon::Impl::abortStart(const char* flag, const base::Address& address, const std::string& error)
{
    base::logEvent(LogLevel::Error, "daemon.bind_failed",
        { { "flag", flag }, { "address", base::formatAddress(address) }, { "error", error } });
    m_isStopped = true;
    stopTrafficThreads();
    if (m_admin)
        m_admin->stop();
    m_peers->close();
    return 1;
}

void Daemon::Impl::logListening() const
{
    base::logEvent(LogLevel::Info, "daemon.listening",
        { { "name", m_settings.name }, { "client", base::formatAddress(m_addresses.client) },
            { "peer", base::formatAddress(m_addresses.peer) }, { "admin", base::formatAddress(m_addresses.admin) } });
}

nlohmann::json Daemon::Impl::answerPeer(const std::string& from, const std::string& method, const nlohmann::json& body)
{
    return m_fleet ? m_fleet->handleCall(from, method, body) : nlohmann::json(nlohmann::json::value_t::discarded);
}

// ---- Stopping --------------------------------------------------------------------------------

void Daemon::Impl::stop()
{
    m_context->publishDraining();
    base::logEvent(LogLevel::Info, "daemon.draining", { { "requests", requestsInFlight() } });
    if (!m_isImmediateStop) {
        m_fleet->announceLeaving();
        net::sleepFor(m_settings.drainDelay);
        onEachTrafficThread([](TrafficThread& trafficThread) { trafficThread.entry->stopAccepting(); });
        waitForRequests();
        onEachTrafficThread([](TrafficThread& trafficThread) { trafficThread.entry->returnTokens(); });
        net::sleepFor(tokenReturnDelay);
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
    stopTrafficThreads();
    base::logEvent(LogLevel::Info, "daemon.stopped", {});
}

void Daemon::Impl::waitForRequests()
{
    base::TimePoint deadline = base::Clock::now() + m_settings.stopTimeout;
    size_t remaining = 1;
    while (remaining && base::Clock::now() < deadline) {
        remaining = 0;
        onEachTrafficThread(
            [&](TrafficThread& trafficThread) { remaining += trafficThread.entry->requestsInFlight(); });
        if (remaining)
            net::sleepFor(drainPollInterval);
    }
    if (remaining)
        base::logEvent(LogLevel::Error, "daemon.requests_cut", { { "requests", remaining } });
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
    m_impl->m_thread = std::thread([impl = m_impl] { impl->m_exitCode = impl->run(); });
}

void Daemon::requestStop(bool isGraceful)
{
    m_impl->requestStop(isGraceful);
}

int Daemon::join()
{
    if (m_impl->m_thread.joinable())
        m_impl->m_thread.join();
    return m_impl->m_exitCode;
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

#include "cli/Daemon.h"

#include <condition_variable>
#include <csignal>
#include <mutex>
#include <thread>

#include <boost/asio/signal_set.hpp>

#include "admin/AdminServer.h"
#include "base/Log.h"
#include "entry/Entry.h"
#include "fleet/Fleet.h"
#include "net/PeerLink.h"
#include "platform/KvClient.h"

namespace rattanshunt::cli {

using base::LogLevel;

namespace {

    constexpr base::Millis publishInterval { 100 };
    constexpr base::Millis catalogDelay { 5 }; // gathers changes that come together
    constexpr base::Millis drainPoll { 20 };
    constexpr base::Millis settleTime { 100 }; // for returned tokens to reach their homes, at a stop

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

    // One traffic thread. Its loop and entry live as long as the thread.
    struct Traffic {
        std::thread thread;
        net::Loop loop;
        std::unique_ptr<entry::Entry> entry;
        net::Event stop;
        std::atomic<size_t> underWay { 0 };
        std::atomic<bool> hasEnded { false };
    };

} // namespace

struct Daemon::Impl {
public:
    explicit Impl(const settings::Settings& settings)
        : m_settings(settings)
        , m_kv(m_loop, { settings.platform, base::Millis(1500), base::Millis(3000) })
        , m_peers(nullptr)
    {
    }

    int run()
    {
        int code = 1;
        m_loop.run([&] { code = runControl(); });
        for (auto& traffic : m_traffic)
            traffic->thread.join();
        setPhase(Phase::Ended);
        return code;
    }

    enum class Phase { Starting, Listening, Ready, Ended };

    void setPhase(Phase phase)
    {
        std::lock_guard lock(m_phaseMutex);
        m_phase = phase;
        m_phaseChanged.notify_all();
    }

    bool waitPhase(Phase wanted, base::Duration limit)
    {
        std::unique_lock lock(m_phaseMutex);
        m_phaseChanged.wait_for(lock, limit, [&] { return m_phase >= wanted; });
        return m_phase >= wanted && m_phase != Phase::Ended;
    }

    DaemonAddresses addresses() const
    {
        std::lock_guard lock(m_phaseMutex);
        return m_addresses;
    }

    void requestStop(bool isGraceful)
    {
        m_loop.post([this, isGraceful] {
            m_isHurried = !isGraceful;
            if (m_fleet)
                m_fleet->requestStop();
            m_stopAsked.set();
        });
    }

    // Blocks each thread in a handler until thaw().
    void freeze()
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

    void thaw()
    {
        std::lock_guard lock(m_frozenMutex);
        m_isFrozen = false;
        m_thawed.notify_all();
    }

    // Stops on a signal of the process.
    void watchSignals()
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

    std::thread m_thread;
    int m_code = 0;

private:
    // The body of the control thread's first fiber.
    int runControl()
    {
        m_addresses = { m_settings.clientListen, m_settings.peerListen, m_settings.adminListen };
        m_peers = std::make_unique<net::PeerNetwork>(m_loop, peerOptions(m_settings));
        std::string error;
        if (!m_peers->listen(
                m_addresses.peer,
                [this](auto& from, auto& method, auto& body) { return answerPeer(from, method, body); }, error))
            return refuseStart("peer_listen", m_addresses.peer, error);
        m_fleet = std::make_unique<fleet::Fleet>(m_loop, fleetOptions(m_settings, m_addresses), m_kv, *m_peers);
        m_budget = std::make_unique<budget::BudgetService>(*m_fleet, budgetOptions(m_settings));
        m_claims = std::make_unique<once::ClaimService>(*m_fleet);
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

    int refuseStart(const char* flag, const base::Address& address, const std::string& error)
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

    // Tells whoever started the daemon where it listens.
    void announce() const
    {
        base::logEvent(LogLevel::Info, "daemon.listening",
            { { "name", m_settings.name }, { "client", base::formatAddress(m_addresses.client) },
                { "peer", base::formatAddress(m_addresses.peer) },
                { "admin", base::formatAddress(m_addresses.admin) } });
    }

    nlohmann::json answerPeer(const std::string& from, const std::string& method, const nlohmann::json& body)
    {
        return m_fleet ? m_fleet->answer(from, method, body) : nlohmann::json(nlohmann::json::value_t::discarded);
    }

    // ---- Traffic threads ---------------------------------------------------------------------

    bool startTraffic(std::string& error)
    {
        for (size_t i = 0; i < m_settings.trafficThreads; ++i) {
            auto traffic = std::make_unique<Traffic>();
            Traffic* state = traffic.get();
            net::Event ready;
            bool isListening = false;
            base::Address address = m_addresses.client;
            traffic->thread = std::thread([this, state, &ready, &isListening, &address, &error] {
                state->loop.run([&] {
                    state->entry = std::make_unique<entry::Entry>(state->loop, *m_backbone);
                    isListening = state->entry->listen(address, error);
                    m_loop.post([&ready] { ready.set(); });
                    state->stop.waitUntil();
                    state->entry->abort();
                });
                state->hasEnded = true;
            });
            ready.waitUntil();
            m_traffic.push_back(std::move(traffic));
            if (!isListening)
                return false;
            m_addresses.client = address;
        }
        return true;
    }

    // Runs `task` on each traffic thread and waits for all. Suspends.
    void onEachTraffic(const std::function<void(Traffic&)>& task)
    {
        for (auto& traffic : m_traffic)
            net::runOn(traffic->loop, [&] { task(*traffic); });
    }

    // Ends the traffic threads. Their last requests still need this loop, so it waits for them.
    void stopTraffic()
    {
        for (auto& traffic : m_traffic)
            traffic->loop.post([state = traffic.get()] { state->stop.set(); });
        for (auto& traffic : m_traffic) {
            while (!traffic->hasEnded)
                net::sleepFor(drainPoll);
        }
    }

    reports::Book readBook() const
    {
        reports::Book book;
        for (auto& traffic : m_traffic) {
            if (traffic->entry)
                traffic->entry->readBook(book);
        }
        return book;
    }

    size_t requestsUnderWay() const
    {
        size_t sum = 0;
        for (auto& traffic : m_traffic)
            sum += traffic->underWay.load();
        return sum;
    }

    // ---- Publishing --------------------------------------------------------------------------

    void planCatalog()
    {
        if (m_isCatalogPlanned)
            return;
        m_isCatalogPlanned = true;
        m_loop.timers().subscribe(base::Clock::now() + catalogDelay, [this] {
            m_isCatalogPlanned = false;
            publishCatalog();
        });
    }

    void publishCatalog()
    {
        auto catalog = resources::catalogBuild(m_fleet->mirror(), m_loads);
        m_budget->setCatalog(catalog);
        m_placement->setCatalog(catalog);
        m_backbone->publishCatalog(std::move(catalog));
    }

    void publishLoop()
    {
        fleet::Freshness last = fleet::Freshness::Fresh;
        while (!m_isStopped) {
            base::TimePoint now = base::Clock::now();
            m_backbone->publishServeUntil(m_fleet->serveUntil(now));
            fleet::Freshness freshness = m_fleet->freshness(now);
            if (freshness != last)
                base::logEvent(freshness == fleet::Freshness::CutOff ? LogLevel::Warning : LogLevel::Info,
                    "fleet.freshness",
                    { { "state", fleet::freshnessName(freshness) }, { "revision", m_fleet->mirror().revision } });
            last = freshness;
            for (auto& traffic : m_traffic)
                traffic->loop.post([state = traffic.get()] { state->underWay = state->entry->requestsUnderWay(); });
            net::sleepFor(publishInterval);
        }
    }

    // ---- Stopping ----------------------------------------------------------------------------

    void stop()
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

    void waitForRequests()
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

    settings::Settings m_settings;
    net::Loop m_loop;
    platform::HttpKv m_kv;
    DaemonAddresses m_addresses;
    std::unique_ptr<net::PeerNetwork> m_peers;
    std::unique_ptr<fleet::Fleet> m_fleet;
    std::unique_ptr<budget::BudgetService> m_budget;
    std::unique_ptr<once::ClaimService> m_claims;
    std::unique_ptr<placement::PlacementService> m_placement;
    std::unique_ptr<entry::Backbone> m_backbone;
    std::unique_ptr<admin::AdminServer> m_admin;
    std::vector<std::unique_ptr<Traffic>> m_traffic;
    std::unique_ptr<boost::asio::signal_set> m_signals;
    resources::EndpointLoads m_loads;
    net::Event m_stopAsked;
    bool m_isCatalogPlanned = false;
    bool m_isStopped = false;
    bool m_isHurried = false;
    mutable std::mutex m_phaseMutex;
    std::condition_variable m_phaseChanged;
    Phase m_phase = Phase::Starting;
    std::mutex m_frozenMutex;
    std::condition_variable m_thawed;
    bool m_isFrozen = false;
};

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

// Internal to cli/: the parts of `rattanshunt serve`, its control thread and its traffic threads.
#pragma once

#include "cli/Daemon.h"

#include <condition_variable>
#include <csignal>
#include <mutex>
#include <thread>

#include <boost/asio/signal_set.hpp>

#include "admin/AdminServer.h"
#include "base/Log.h"
#include "coordination/KvClient.h"
#include "entry/RequestServer.h"
#include "fleet/Fleet.h"
#include "net/PeerNetwork.h"

namespace rattanshunt::cli {

using base::LogLevel;

inline constexpr base::Millis publishInterval { 100 };
inline constexpr base::Millis catalogDelay { 5 }; // gathers changes that come together
inline constexpr base::Millis drainPoll { 20 };
inline constexpr base::Millis settleTime { 100 }; // for returned tokens to reach their homes, at a stop

// One traffic thread. Its loop and entry live as long as the thread.
struct Traffic {
    std::thread thread;
    net::Loop loop;
    std::unique_ptr<entry::Entry> entry;
    net::Event stop;
    std::atomic<size_t> underWay { 0 };
    std::atomic<bool> hasEnded { false };
};

struct Daemon::Impl {
public:
    explicit Impl(const settings::Settings& settings)
        : m_settings(settings)
        , m_kv(m_loop, { settings.platform, base::Millis(1500), base::Millis(3000) })
        , m_peers(nullptr)
    {
    }

    int run();

    enum class Phase { Starting, Listening, Ready, Ended };
    void setPhase(Phase phase);
    bool waitPhase(Phase wanted, base::Duration limit);

    DaemonAddresses addresses() const;
    void requestStop(bool isGraceful);

    // Blocks each thread in a handler until thaw().
    void freeze();
    void thaw();

    // Stops on a signal of the process.
    void watchSignals();

    std::thread m_thread;
    int m_code = 0;

private:
    // The body of the control thread's first fiber.
    int runControl();
    int refuseStart(const char* flag, const base::Address& address, const std::string& error);

    // Tells whoever started the daemon where it listens.
    void announce() const;
    nlohmann::json answerPeer(const std::string& from, const std::string& method, const nlohmann::json& body);

    // ---- Traffic threads ---------------------------------------------------------------------

    bool startTraffic(std::string& error);

    // Runs `task` on each traffic thread and waits for all. Suspends.
    void onEachTraffic(const std::function<void(Traffic&)>& task);

    // Ends the traffic threads. Their last requests still need this loop, so it waits for them.
    void stopTraffic();

    reports::Book readBook() const;

    size_t requestsUnderWay() const;

    // ---- Publishing --------------------------------------------------------------------------

    void planCatalog();
    void publishCatalog();
    void publishLoop();

    // ---- Stopping ----------------------------------------------------------------------------

    void stop();
    void waitForRequests();

    settings::Settings m_settings;
    net::Loop m_loop;
    coordination::HttpKv m_kv;
    DaemonAddresses m_addresses;
    std::unique_ptr<net::PeerNetwork> m_peers;
    std::unique_ptr<fleet::Fleet> m_fleet;
    std::unique_ptr<budget::BudgetService> m_budget;
    std::unique_ptr<idempotency::ClaimService> m_claims;
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

} // namespace rattanshunt::cli

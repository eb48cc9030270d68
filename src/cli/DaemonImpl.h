// Internal to cli/: the control thread and the traffic threads of `rattanshunt serve`.
//
// Unless stated otherwise, functions and members may only be used on the control thread, in a fiber of its loop.
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

inline constexpr base::Millis publishInterval { 100 };   // of the freshness and the number of requests in flight
inline constexpr base::Millis catalogPublishDelay { 5 }; // combines changes that arrive together into one catalog
inline constexpr base::Millis drainPollInterval { 20 };
inline constexpr base::Millis tokenReturnDelay { 100 }; // at a stop, for returned tokens to reach their lenders

// One traffic thread with its event loop and request server. Only the atomics, `loop`'s post functions and `thread` may
// be used on other threads.
struct TrafficThread {
    std::thread thread;
    net::Loop loop;
    std::unique_ptr<entry::RequestServer> entry;
    net::Event stopRequested;
    std::atomic<size_t> requestsInFlight { 0 }; // updated every publishInterval
    std::atomic<bool> hasEnded { false };
};

struct Daemon::Impl {
public:
    explicit Impl(const settings::Settings& settings)
        : m_settings(settings)
        , m_kv(m_loop, { settings.platformAddresses, base::Millis(1500), base::Millis(3000) })
        , m_peers(nullptr)
    {
    }

    int run();

    enum class Phase { Starting, Listening, Ready, Ended };
    void setPhase(Phase phase);
    bool waitPhase(Phase wanted, base::Duration limit);

    DaemonAddresses addresses() const;
    void requestStop(bool isGraceful);

    // Blocks each thread in a handler until thaw(). Both are safe from any thread.
    void freeze();
    void thaw();

    // Makes signals of the process stop the daemon.
    void watchSignals();

    std::thread m_thread;
    int m_exitCode = 0;

private:
    // The body of the control thread's main fiber. Returns the exit code.
    int runControl();

    // Logs that `address` could not be bound, ends what was started and returns the exit code.
    int abortStart(const char* flag, const base::Address& address, const std::string& error);

    // Logs the addresses that the daemon listens on.
    void logListening() const;
    nlohmann::json answerPeer(const std::string& from, const std::string& method, const nlohmann::json& body);

    // ---- Traffic threads ---------------------------------------------------------------------

    // Starts the traffic threads and waits until they listen. Returns false and sets `error` if one cannot. Suspends.
    bool startTrafficThreads(std::string& error);

    // Runs `task` in a fiber of each traffic thread, one after the other, and waits for its end. Suspends.
    void onEachTrafficThread(const std::function<void(TrafficThread&)>& task);

    // Ends the traffic threads. Suspends until they have ended: their last requests still need the control loop.
    void stopTrafficThreads();

    reports::RequestStats readRequestStats() const;

    // Sum over the traffic threads, at most publishInterval old.
    size_t requestsInFlight() const;

    // ---- Publishing --------------------------------------------------------------------------

    // Publishes the catalog after catalogPublishDelay, unless that is already scheduled.
    void scheduleCatalogPublish();
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
    std::unique_ptr<entry::DaemonContext> m_context;
    std::unique_ptr<admin::AdminServer> m_admin;
    std::vector<std::unique_ptr<TrafficThread>> m_trafficThreads;
    std::unique_ptr<boost::asio::signal_set> m_signals;
    resources::EndpointLoads m_endpointLoads;
    net::Event m_stopRequested;
    bool m_isCatalogPublishScheduled = false;
    bool m_isStopped = false;
    bool m_isImmediateStop = false;
    mutable std::mutex m_phaseMutex;
    std::condition_variable m_phaseChanged;
    Phase m_phase = Phase::Starting;
    std::mutex m_frozenMutex;
    std::condition_variable m_thawed;
    bool m_isFrozen = false;
};

} // namespace rattanshunt::cli

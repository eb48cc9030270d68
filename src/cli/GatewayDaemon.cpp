#include "cli/GatewayDaemon.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include <boost/asio/signal_set.hpp>

#include "base/Counters.h"
#include "base/Histograms.h"
#include "base/Log.h"
#include "base/LogOutput.h"
#include "gateway/Gateway.h"
#include "hub/HubSync.h"
#include "models/Placer.h"
#include "net/Loop.h"
#include "platform/PlatformCodec.h"
#include "platform/StoreClient.h"

namespace rattanshunt::cli {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

namespace {

    constexpr base::Millis logInterval { 100 };
    constexpr base::Millis fileInterval { 1000 }; // between two looks at the settings file
    constexpr base::Millis balancerTime { 2500 }; // until two probes, one a second, have taken this daemon out
    constexpr base::Millis drainPollInterval { 20 };
    constexpr base::Millis exitMargin { 300 };   // before the end of the grace time
    constexpr base::Millis revokeMargin { 200 }; // before the limit on the age of configuration
    constexpr double denyPart = 0.9;             // of the time for changes, up to which unknown routes are refused

    constexpr double strongCpuShare = 0.5; // of a core, from which on a daemon makes a good hub
    constexpr double strongLinkMbps = 200; // of its link

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    gateway::GatewayOptions gatewayOptions(const settings::GatewaySettings& settings)
    {
        gateway::GatewayOptions options;
        options.maxConfigurationAgeForKeys = settings.maxRevocationDelay - revokeMargin;
        options.maxConfigurationAgeForDenial
            = base::Millis(static_cast<int64_t>(denyPart * settings.maxConfigurationDelay.count()));
        options.retryBudget.retriesPerRequest = settings.retryRatio;
        options.retryBudget.extraRetries = settings.extraRetries;
        options.retryBudget.window = settings.retryWindow;
        return options;
    }

    hub::HubSyncOptions fabricOptions(const settings::GatewaySettings& settings)
    {
        hub::HubSyncOptions options;
        options.name = settings.name;
        options.dataCenter = settings.dataCenter;
        options.peerAddress = settings.peerListen;
        options.electionPriority
            = std::min({ 1.0, settings.cpuCores / strongCpuShare, settings.linkMbps / strongLinkMbps });
        base::Millis bound = std::min(settings.maxConfigurationDelay, settings.maxReplicaRemovalDelay);
        options.maxSyncInterval = std::max(options.minSyncInterval, bound * 3 / 10);
        options.orderHandoverDelay = settings.orderGap;
        options.quotaWindow = settings.quotaWindow;
        options.quotaSlack = settings.quotaSlack;
        return options;
    }

    class GatewayDaemon {
    public:
        explicit GatewayDaemon(const settings::GatewaySettings& settings)
            : m_settings(settings)
            , m_dialect(platform::wireCodecCreate())
            , m_store(m_loop, { settings.storeAddress })
            , m_fabric(m_loop, fabricOptions(settings), m_dialect, m_store)
            , m_gateway(m_loop, gatewayOptions(settings), m_dialect, m_fabric)
            , m_placer(m_loop, {}, m_fabric, m_dialect)
        {
        }

        int run()
        {
            int code = 1;
            m_loop.run([&] { code = runMain(); });
            base::logFlush();
            return code;
        }

    private:
        int runMain()
        {
            std::string error;
            if (!m_gateway.listen(m_settings.clientListen, error))
                return refuseStart("client_listen", m_settings.clientListen, error);
            if (!serveReadiness(error))
                return refuseStart("ready_listen", m_settings.readyListen, error);
            if (!serveMetrics(error))
                return refuseStart("metrics_listen", m_settings.metricsListen, error);
            base::logEvent(LogLevel::Info, "gateway.start",
                { { "name", m_settings.name }, { "data_center", m_settings.dataCenter },
                    { "client", base::formatAddress(m_settings.clientListen) },
                    { "store", base::formatAddress(m_settings.storeAddress) } });
            m_fabric.start();
            m_placer.start();
            m_loop.spawn([this] { logLoop(); });
            m_loop.spawn([this] { fileLoop(); });
            watchSignals();
            m_stopAsked.waitUntil();
            stop();
            return 0;
        }

        int refuseStart(const char* flag, const base::Address& address, const std::string& error)
        {
            base::logEvent(LogLevel::Error, "gateway.bind_failed",
                { { "flag", flag }, { "address", base::formatAddress(address) }, { "why", error } });
            base::logFlush();
            std::_Exit(1);
        }

        void watchSignals()
        {
            m_signals = std::make_unique<boost::asio::signal_set>(m_loop.io(), SIGTERM, SIGINT, SIGHUP);
            armSignals();
        }

        void armSignals()
        {
            m_signals->async_wait([this](net::ErrorCode error, int signal) {
                if (error)
                    return;
                base::logEvent(LogLevel::Info, "gateway.signal", { { "signal", signal } });
                if (signal == SIGHUP)
                    m_fileAsked = true;
                else
                    m_stopAsked.set();
                armSignals();
            });
        }

        // ---- Probes --------------------------------------------------------------------------

        bool isReady() const { return !m_isStopping && m_gateway.hasFreshConfiguration(BootClock::now()); }

        bool serveReadiness(std::string& error)
        {
            net::HttpServerEvents events;
            events.onRequest = [this](net::HttpExchange& exchange) {
                bool isOwn = exchange.request().target == m_dialect.readinessPath;
                exchange.respond({ !isOwn ? 404 : isReady() ? 200 : 503, {}, "" });
            };
            events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
            m_ready = net::httpServe(m_loop, m_settings.readyListen, {}, std::move(events), error);
            return m_ready.has_value();
        }

        bool serveMetrics(std::string& error)
        {
            net::HttpServerEvents events;
            events.onRequest = [this](net::HttpExchange& exchange) { exchange.respond({ 200, {}, metricsText() }); };
            events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
            m_metrics = net::httpServe(m_loop, m_settings.metricsListen, {}, std::move(events), error);
            return m_metrics.has_value();
        }

        std::string metricsText() const
        {
            BootTime now = BootClock::now();
            std::string text = base::countersText() + base::histogramsText();
            auto gauge = [&](const char* name, double value) { text += fmt::format("{} {}\n", name, value); };
            gauge("knowledge_age_seconds", base::secondsOf(now - m_fabric.freshAsOf()));
            gauge("requests_under_way", static_cast<double>(m_gateway.requestsInFlight()));
            gauge("is_hub", m_fabric.isHub() ? 1 : 0);
            gauge("members", static_cast<double>(m_fabric.memberCount()));
            gauge("store_reachable", m_fabric.storeIsReachable() ? 1 : 0);
            return text;
        }

        // ---- Housekeeping --------------------------------------------------------------------

        void logLoop()
        {
            while (!m_isDone) {
                base::logFlush();
                net::sleepFor(logInterval);
            }
        }

        void fileLoop()
        {
            auto path = settings::settingsFilePath();
            if (!path)
                return;
            std::string known = readFile(*path);
            while (!m_isDone) {
                net::sleepFor(fileInterval);
                std::string text = readFile(*path);
                if (text == known && !std::exchange(m_fileAsked, false))
                    continue;
                known = text;
                reload(*path);
            }
        }

        void reload(const std::string& path)
        {
            std::vector<settings::SettingError> faults;
            settings::settingsReadFile(path, faults);
            settings::GatewaySettings changed = settings::gatewaySettingsFromFlags(faults);
            for (const settings::SettingError& fault : faults)
                base::logEvent(LogLevel::Error, "settings.fault",
                    { { "flag", fault.flag }, { "value", fault.value }, { "allowed", fault.allowed } });
            base::logEvent(LogLevel::Info, "settings.reloaded", { { "faults", faults.size() } });
            if (!faults.empty())
                return;
            m_settings.terminationGracePeriod = changed.terminationGracePeriod;
            base::logSetThreshold(changed.logLevel);
            m_gateway.reconfigure(gatewayOptions(changed));
        }

        // ---- Stop ----------------------------------------------------------------------------

        void stop()
        {
            BootTime begun = BootClock::now();
            BootTime endBy = begun + m_settings.terminationGracePeriod - exitMargin;
            m_isStopping = true;
            base::logEvent(LogLevel::Info, "gateway.stopping", { { "under_way", m_gateway.requestsInFlight() } });
            m_gateway.beginDrain();
            m_fabric.leaveElection();
            while (BootClock::now() < std::min(endBy, begun + balancerTime))
                net::sleepFor(drainPollInterval);
            m_gateway.stopAccepting();
            while (m_gateway.requestsInFlight() && BootClock::now() < endBy)
                net::sleepFor(drainPollInterval);
            base::logEvent(LogLevel::Info, "gateway.stopped", { { "cut", m_gateway.requestsInFlight() } });
            m_isDone = true;
            base::logFlush();
            // Fibers of requests that are cut now must not outlive what they refer to.
            std::_Exit(0);
        }

        settings::GatewaySettings m_settings;
        net::Loop m_loop;
        gateway::WireCodec m_dialect;
        platform::StoreClient m_store;
        hub::HubSync m_fabric;
        gateway::Gateway m_gateway;
        models::Placer m_placer;
        net::Event m_stopAsked;
        std::unique_ptr<boost::asio::signal_set> m_signals;
        std::optional<net::HttpServerHandle> m_ready;
        std::optional<net::HttpServerHandle> m_metrics;
        bool m_isStopping = false;
        bool m_isDone = false;
        bool m_fileAsked = false;
    };

} // namespace

int gatewayRun(const settings::GatewaySettings& settings)
{
    GatewayDaemon daemon(settings);
    return daemon.run();
}

} // namespace rattanshunt::cli

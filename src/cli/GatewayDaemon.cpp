#include "cli/GatewayDaemon.h"

#include <csignal>
#include <fstream>
#include <sstream>

#include <malloc.h>

#include <boost/asio/signal_set.hpp>

#include "base/Counters.h"
#include "base/Histograms.h"
#include "base/Json.h"
#include "base/Log.h"
#include "base/LogOutput.h"
#include "cli/GatewayDaemonOptions.h"
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

    constexpr int largeBlockBytes = 128 * 1024;
    constexpr base::Millis logFlushInterval { 100 };
    constexpr base::Millis fileCheckInterval { 1000 }; // between two checks of the settings file

    // Load balancers probe once per second and drop this daemon after two failed probes.
    constexpr base::Millis loadBalancerDelay { 2500 };
    constexpr base::Millis drainPollInterval { 20 };
    constexpr base::Millis exitMargin { 300 };   // before the end of the termination grace period
    constexpr base::Millis answerMargin { 200 }; // before the exit, for answers to requests that did not end in time

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    class GatewayDaemon {
    public:
        explicit GatewayDaemon(const settings::GatewaySettings& settings)
            : m_settings(settings)
            , m_codec(platform::wireCodecCreate())
            , m_store(m_loop, { settings.storeAddress })
            , m_hubSync(m_loop, hubSyncOptions(settings), m_codec, m_store)
            , m_dialer(m_loop, dialerOptions(settings), m_hubSync)
            , m_gateway(m_loop, gatewayOptions(settings), m_codec, m_hubSync, m_dialer)
            , m_placer(m_loop, {}, m_hubSync, m_codec, m_dialer)
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
                return exitWithBindError("client_listen", m_settings.clientListen, error);
            if (!serveReadiness(error))
                return exitWithBindError("ready_listen", m_settings.readyListen, error);
            if (!serveMetrics(error))
                return exitWithBindError("metrics_listen", m_settings.metricsListen, error);
            base::logEvent(LogLevel::Info, "gateway.start",
                { { "name", m_settings.name }, { "data_center", m_settings.dataCenter },
                    { "client", base::formatAddress(m_settings.clientListen) },
                    { "store", base::formatAddress(m_settings.storeAddress) } });
            m_hubSync.start();
            m_placer.start();
            m_loop.spawn([this] { logFlushLoop(); });
            m_loop.spawn([this] { settingsFileLoop(); });
            watchSignals();
            m_stopRequested.waitUntil();
            stop();
            return 0;
        }

        int exitWithBindError(const char* flag, const base::Address& address, const std::string& error)
        {
            base::logEvent(LogLevel::Error, "gateway.bind_failed",
                { { "flag", flag }, { "address", base::formatAddress(address) }, { "why", error } });
            base::logFlush();
            std::_Exit(1);
        }

        void watchSignals()
        {
            m_signals = std::make_unique<boost::asio::signal_set>(m_loop.io(), SIGTERM, SIGINT, SIGHUP);
            waitForSignal();
        }

        void waitForSignal()
        {
            m_signals->async_wait([this](net::ErrorCode error, int signal) {
                if (error)
                    return;
                base::logEvent(LogLevel::Info, "gateway.signal", { { "signal", signal } });
                if (signal == SIGHUP)
                    m_isReloadRequested = true;
                else
                    m_stopRequested.set();
                waitForSignal();
            });
        }

        // ---- Probes --------------------------------------------------------------------------

        bool isReady() const { return !m_isStopping && m_gateway.hasFreshConfiguration(BootClock::now()); }

        bool serveReadiness(std::string& error)
        {
            net::HttpServerEvents events;
            events.onRequest = [this](net::HttpExchange& exchange) {
                bool isReadinessPath = exchange.request().target == m_codec.readinessPath;
                exchange.respond({ !isReadinessPath ? 404 : isReady() ? 200 : 503, {}, "" });
            };
            events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
            m_ready = net::httpServe(m_loop, m_settings.readyListen, {}, std::move(events), error);
            return m_ready.has_value();
        }

        bool serveMetrics(std::string& error)
        {
            net::HttpServerEvents events;
            events.onRequest = [this](net::HttpExchange& exchange) {
                exchange.respond(exchange.request().target == "/explain/where"
                        ? explainResponse(exchange)
                        : net::HttpResponse { 200, {}, metricsText() });
            };
            events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
            m_metrics = net::httpServe(m_loop, m_settings.metricsListen, {}, std::move(events), error);
            return m_metrics.has_value();
        }

        net::HttpResponse explainResponse(net::HttpExchange& exchange)
        {
            try {
                gateway::WhereQuestion question = gateway::whereQuestionRead(base::jsonParse(exchange.request().body));
                return { 200, { { "Content-Type", "application/json" } },
                    m_gateway.explainWhere(exchange, question).dump() + "\n" };
            } catch (const std::exception& error) {
                return { 400, {}, std::string(error.what()) + "\n" };
            }
        }

        std::string metricsText() const
        {
            BootTime now = BootClock::now();
            std::string text = base::countersText() + base::histogramsText();
            auto gauge = [&](const char* name, double value) { text += fmt::format("{} {}\n", name, value); };
            gauge("knowledge_age_seconds", base::secondsOf(now - m_hubSync.freshAsOf()));
            gauge("requests_under_way", static_cast<double>(m_gateway.requestsInFlight()));
            gauge("is_hub", m_hubSync.isHub() ? 1 : 0);
            gauge("members", static_cast<double>(m_hubSync.memberCount()));
            gauge("replicas_reached", m_dialer.hasLostReplicas() ? 0 : 1);
            gauge("replicas_limited", static_cast<double>(m_hubSync.limitedReplicaCount()));
            gauge("replicas_cold", static_cast<double>(m_hubSync.coldReplicaCount()));
            gauge("prompt_parts_blocked", static_cast<double>(m_hubSync.blockedPartCount()));
            gauge("spill_plan_age_seconds", base::secondsOf(now - m_hubSync.spillSync().asOf));
            for (const auto& [model, shares] : m_hubSync.spillSync().plan) {
                for (const auto& [dataCenter, share] : m_hubSync.spillShares(model, now))
                    text += fmt::format("spill_share{{service=\"{}\",model=\"{}\",data_center=\"{}\"}} {}\n",
                        model.first, model.second, dataCenter, share);
            }
            gauge("memory_used_bytes", static_cast<double>(m_gateway.memory().usedBytes()));
            gauge("memory_limit_bytes", static_cast<double>(m_gateway.memory().plan().limitBytes));
            gauge("caller_connections", static_cast<double>(m_gateway.connectionCount()));
            gauge("store_reachable", m_hubSync.storeIsReachable() ? 1 : 0);
            return text;
        }

        // ---- Log and settings file -----------------------------------------------------------

        void logFlushLoop()
        {
            while (!m_hasStopped) {
                base::logFlush();
                net::sleepFor(logFlushInterval);
            }
        }

        void settingsFileLoop()
        {
            auto path = settings::settingsFilePath();
            if (!path)
                return;
            std::string lastText = readFile(*path);
            while (!m_hasStopped) {
                net::sleepFor(fileCheckInterval);
                std::string text = readFile(*path);
                if (text == lastText && !std::exchange(m_isReloadRequested, false))
                    continue;
                lastText = text;
                reload(*path);
            }
        }

        void reload(const std::string& path)
        {
            std::vector<settings::SettingError> errors;
            settings::settingsReadFile(path, errors);
            settings::GatewaySettings newSettings = settings::gatewaySettingsFromFlags(errors);
            for (const settings::SettingError& error : errors)
                base::logEvent(LogLevel::Error, "settings.fault",
                    { { "flag", error.flag }, { "value", error.value }, { "allowed", error.allowed } });
            base::logEvent(LogLevel::Info, "settings.reloaded", { { "faults", errors.size() } });
            if (!errors.empty())
                return;
            m_settings.terminationGracePeriod = newSettings.terminationGracePeriod;
            base::logSetThreshold(newSettings.logLevel);
            m_gateway.reconfigure(gatewayOptions(newSettings));
        }

        // ---- Stop ----------------------------------------------------------------------------

        void stop()
        {
            BootTime startedAt = BootClock::now();
            BootTime exitDeadline = startedAt + m_settings.terminationGracePeriod - exitMargin;
            m_isStopping = true;
            base::logEvent(LogLevel::Info, "gateway.stopping", { { "under_way", m_gateway.requestsInFlight() } });
            m_gateway.beginDrain(exitDeadline - answerMargin);
            m_dialer.stopCarrying();
            m_hubSync.leaveElection();
            while (BootClock::now() < std::min(exitDeadline, startedAt + loadBalancerDelay))
                net::sleepFor(drainPollInterval);
            m_gateway.stopAccepting();
            // Connections count too: a request may have arrived that is not read completely yet.
            waitForConnections(exitDeadline - answerMargin);
            size_t endedCount = m_gateway.requestsInFlight();
            m_gateway.endRequests();
            waitForConnections(exitDeadline);
            base::logEvent(LogLevel::Info, "gateway.stopped",
                { { "ended", endedCount }, { "cut", m_gateway.requestsInFlight() },
                    { "connections", m_gateway.connectionCount() } });
            m_hasStopped = true;
            base::logFlush();
            // Exits without destroying anything: fibers of unfinished requests still refer to this object.
            std::_Exit(0);
        }

        void waitForConnections(BootTime until)
        {
            while ((m_gateway.requestsInFlight() || m_gateway.connectionCount() || m_dialer.carriedCount())
                && BootClock::now() < until)
                net::sleepFor(drainPollInterval);
        }

        settings::GatewaySettings m_settings;
        net::Loop m_loop;
        gateway::WireCodec m_codec;
        platform::StoreClient m_store;
        hub::HubSync m_hubSync;
        reach::ReplicaDialer m_dialer;
        gateway::Gateway m_gateway;
        models::Placer m_placer;
        net::Event m_stopRequested;
        std::unique_ptr<boost::asio::signal_set> m_signals;
        std::optional<net::HttpServerHandle> m_ready;
        std::optional<net::HttpServerHandle> m_metrics;
        bool m_isStopping = false;
        bool m_hasStopped = false;
        bool m_isReloadRequested = false;
    };

} // namespace

int gatewayRun(const settings::GatewaySettings& settings)
{
    // By default glibc raises this bound with the largest block freed, up to 32 MB, and keeps the memory of later
    // bodies in the heap. A fixed one returns each large block when it is freed.
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    GatewayDaemon daemon(settings);
    return daemon.run();
}

} // namespace rattanshunt::cli

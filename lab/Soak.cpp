// Kept in one class because processes, faults and callers share the state of a run.
#include "Soak.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include "FaultProxy.h"
#include "GatewayFleet.h"
#include "GatewayProcess.h"
#include "SoakChecks.h"
#include "StoreStandIn.h"

namespace rattanshunt::lab {

namespace {

    constexpr double minRecoveredFraction = 0.9;
    constexpr const char* apiKeys[] = { "secret-1", "secret-2" };
    constexpr int maxTries = 4;               // of a request that is refused
    constexpr uint64_t unidentifiedOneIn = 6; // of the plain requests that callers send without an id

    struct DaemonProcess {
        std::string name;
        std::string settingsFile; // flag file with its settings
        std::string logFile;
        base::Address clientAddress;
        base::Address readinessAddress;
        std::unique_ptr<FaultProxy> storeProxy;
        pid_t pid = 0;
        bool isExpectedToEnd = false;
        bool isPaused = false;
        base::TimePoint restartAt = base::timeNever; // time of the next start
    };

    class Soak {
    public:
        Soak(net::Loop& loop, const SoakOptions& options)
            : m_loop(loop)
            , m_options(options)
            , m_random(options.seed)
            , m_store(loop)
        {
        }

        SoakResult run()
        {
            m_record.startedAt = base::Clock::now();
            std::string error;
            m_store.listen(error);
            m_store.put("op/config", configuration());
            startReplicas();
            startProcesses();
            m_loop.spawn([this] { watchProcesses(); });
            waitReady();
            m_record.startedAt = base::Clock::now();
            m_result.startedAt = std::chrono::system_clock::now();
            for (int i = 0; i < m_options.callers; ++i)
                m_loop.spawn([this, i] { callerLoop(static_cast<uint64_t>(i)); });
            for (size_t i = 0; i < m_record.unreliableReplicas.size(); ++i)
                m_loop.spawn([this, i] { restartLoop(i); });
            while (base::Clock::now() - m_record.startedAt < m_options.faultDuration) {
                if (m_options.injectsFaults)
                    injectFault();
                net::sleepFor(base::Millis(randomBetween(150, 900)));
            }
            if (m_options.injectsFaults && !m_record.replicas.empty())
                net::sleepFor(base::Seconds(9)); // the longest fault, a drain
            endFaults();
            base::TimePoint healed = base::Clock::now();
            m_recoveredAt = healed + m_options.recoveryTime;
            while (base::Clock::now() < m_recoveredAt + base::Seconds(3))
                net::sleepFor(base::Millis(50));
            finish();
            return std::move(m_result);
        }

    private:
        int randomBetween(int minValue, int maxValue)
        {
            return std::uniform_int_distribution<int>(minValue, maxValue)(m_random);
        }

        void addViolation(const std::string& text)
        {
            if (m_result.violations.size() < 20)
                m_result.violations.push_back(fmt::format("{:.3f} s: {}", elapsed(), text));
        }
        double elapsed() const { return base::secondsOf(base::Clock::now() - m_record.startedAt); }
        void addFault(const std::string& text)
        {
            m_result.injectedFaults.push_back(fmt::format("{:.3f} s: {}", elapsed(), text));
        }

        std::string configuration()
        {
            std::string keyList;
            for (size_t i = 0; i < std::size(apiKeys); ++i) {
                if (!m_record.revokedAt.contains(apiKeys[i]))
                    keyList += fmt::format("{}\"{}\"", keyList.empty() ? "" : ",", apiKeys[i]);
            }
            return labConfiguration(++m_version, soakAccountRate, soakAccountBurst, keyList);
        }

        // ---- Processes -------------------------------------------------------------------------

        void startReplicas()
        {
            std::string error;
            int count = m_options.plainReplicas + m_options.engineReplicas;
            for (int i = 0; i < count; ++i) {
                ReplicaStandInOptions options;
                options.id = "i-" + std::to_string(i);
                options.isEngine = i >= m_options.plainReplicas;
                if (options.isEngine) {
                    options.service = "engine";
                    options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
                    options.loadedModels = { i % 2 ? "m1" : "m2" };
                }
                m_record.replicas.push_back(std::make_unique<ReplicaStandIn>(m_loop, options));
                m_record.replicas.back()->listen(error);
                m_replicaProxies.push_back(std::make_unique<FaultProxy>(m_loop, m_record.replicas.back()->address()));
                m_replicaProxies.back()->listen(error);
                m_drainingSince.push_back(base::timeNever);
                publishEntry(static_cast<size_t>(i), false);
            }
            for (int i = 0; i < m_options.unreliableReplicas; ++i) {
                UnreliableReplicaOptions options;
                options.id = fmt::format("u-{}", i);
                options.seed = m_options.seed * 100 + static_cast<uint64_t>(i);
                m_record.unreliableReplicas.push_back(std::make_unique<UnreliableReplica>(m_loop, options));
                m_record.unreliableReplicas.back()->listen(error);
                m_store.put("servers/" + options.id, m_record.unreliableReplicas.back()->entry());
            }
        }

        // Restarts an unreliable replica at its address under other ids. The entry of the last one remains for a while.
        void restartLoop(size_t index)
        {
            UnreliableReplica& replica = *m_record.unreliableReplicas[index];
            std::mt19937_64 random(m_options.seed * 10000 + index);
            for (int i = 1; true; ++i) {
                net::sleepFor(base::Millis(500 + random() % 1500));
                if (m_haveFaultsEnded)
                    return;
                std::string lastId = replica.id();
                replica.restart(fmt::format("u-{}-{}", index, i));
                m_store.put("servers/" + replica.id(), replica.entry());
                net::sleepFor(base::Millis(200 + random() % 1800));
                m_store.remove("servers/" + lastId);
            }
        }

        void publishEntry(size_t index, bool isDraining)
        {
            std::string entry = m_record.replicas[index]->entry(isDraining, m_replicaProxies[index]->address());
            m_store.put("servers/i-" + std::to_string(index), entry);
            m_drainingSince[index] = isDraining ? base::Clock::now() : base::timeNever;
        }

        void startProcesses()
        {
            std::filesystem::create_directories(m_options.directory);
            std::string error;
            for (int i = 0; i < m_options.daemons; ++i) {
                auto process = std::make_unique<DaemonProcess>();
                process->name = "d" + std::to_string(i);
                process->settingsFile = m_options.directory + "/" + process->name + ".flags";
                process->logFile = m_options.directory + "/" + process->name + ".log";
                process->clientAddress = { "127.0.0.1", freePort() };
                process->readinessAddress = { "127.0.0.1", freePort() };
                process->storeProxy = std::make_unique<FaultProxy>(m_loop, m_store.address());
                process->storeProxy->listen(error);
                std::ofstream file(process->settingsFile);
                file << fmt::format("--name={}\n--data_center=dc-1\n--client_listen={}\n--ready_listen={}\n"
                                    "--peer_listen=127.0.0.1:{}\n--metrics_listen=127.0.0.1:{}\n--store={}\n"
                                    "--revoke_ms={}\n--quota_slack={}\n--grace_seconds=4\n",
                    process->name, base::formatAddress(process->clientAddress),
                    base::formatAddress(process->readinessAddress), freePort(), freePort(),
                    base::formatAddress(process->storeProxy->address()), soakMaxRevocationDelay.count(),
                    soakQuotaSlack);
                file.close();
                startProcess(*process);
                m_processes.push_back(std::move(process));
            }
        }

        void startProcess(DaemonProcess& process)
        {
            process.pid = gatewayProcessStart(m_options.program, process.settingsFile, process.logFile);
            process.isExpectedToEnd = false;
            process.isPaused = false;
            process.restartAt = base::timeNever;
        }

        void watchProcesses()
        {
            while (!m_isDone) {
                for (auto& process : m_processes) {
                    int status = 0;
                    if (process->pid && waitpid(process->pid, &status, WNOHANG) == process->pid) {
                        process->pid = 0;
                        if (!process->isExpectedToEnd) {
                            addViolation(fmt::format("{} exited unexpectedly, status {}", process->name, status));
                            process->restartAt = base::Clock::now();
                        }
                    }
                    if (!process->pid && base::Clock::now() >= process->restartAt)
                        startProcess(*process);
                }
                net::sleepFor(base::Millis(10));
            }
        }

        void waitReady()
        {
            for (auto& process : m_processes) {
                for (int i = 0; i < 500; ++i) {
                    auto connection = net::HttpConnection::create(m_loop, process->readinessAddress);
                    net::HttpRequest probe { "GET", "/rattanshunt/readiness", {}, "" };
                    auto result = net::httpCall(*connection, probe, base::Clock::now() + base::Millis(500));
                    if (result.error == net::HttpCallError::None && result.response.status == 200)
                        break;
                    net::sleepFor(base::Millis(20));
                }
            }
            net::sleepFor(base::Millis(800));
        }

        // ---- Faults ----------------------------------------------------------------------------

        void runAfter(int millis, std::function<void()> task)
        {
            m_loop.spawn([millis, task = std::move(task)] {
                net::sleepFor(base::Millis(millis));
                task();
            });
        }

        void signalAndRestart(DaemonProcess& process, int signal, int pauseMillis)
        {
            process.isExpectedToEnd = true;
            process.restartAt = base::Clock::now() + base::Millis(pauseMillis);
            kill(process.pid, signal);
            if (signal == SIGTERM) {
                // Like the platform at the end of the termination grace period.
                runAfter(4500, [&process, pid = process.pid] {
                    if (process.pid == pid)
                        kill(pid, SIGKILL);
                });
            }
        }

        void injectProcessFault()
        {
            DaemonProcess& process = *m_processes[static_cast<size_t>(randomBetween(0, m_options.daemons - 1))];
            int kind = randomBetween(0, 4);
            if (!process.pid || process.isExpectedToEnd || process.isPaused)
                return;
            if (kind == 0) {
                addFault("kill " + process.name);
                signalAndRestart(process, SIGKILL, randomBetween(50, 1500));
            } else if (kind == 1) {
                addFault("stop " + process.name);
                signalAndRestart(process, SIGTERM, randomBetween(50, 1500));
            } else if (kind == 2) {
                int durationMs = randomBetween(200, 4000);
                addFault(fmt::format("pause {} for {} ms", process.name, durationMs));
                process.isPaused = true;
                kill(process.pid, SIGSTOP);
                runAfter(durationMs, [&process, pid = process.pid] {
                    process.isPaused = false;
                    if (process.pid == pid)
                        kill(pid, SIGCONT);
                });
            } else if (kind == 3) {
                addFault("hup " + process.name);
                kill(process.pid, SIGHUP);
            } else {
                auto mode = static_cast<ProxyMode>(randomBetween(1, 5));
                int durationMs = randomBetween(300, 4000);
                addFault(
                    fmt::format("store of {} in mode {} for {} ms", process.name, static_cast<int>(mode), durationMs));
                process.storeProxy->setMode(mode, base::Millis(randomBetween(20, 300)));
                runAfter(durationMs, [&process] { process.storeProxy->setMode(ProxyMode::Pass); });
            }
        }

        void injectStoreFault()
        {
            int durationMs = randomBetween(300, 3000);
            if (randomBetween(0, 2) == 0) {
                addFault(fmt::format("store loses answers for {} ms", durationMs));
                m_store.faults().loseEveryNthAck = randomBetween(1, 3);
                runAfter(durationMs, [this] { m_store.faults().loseEveryNthAck = 0; });
                return;
            }
            auto mode = static_cast<StoreMode>(randomBetween(1, 3));
            addFault(fmt::format("store in mode {} for {} ms", static_cast<int>(mode), durationMs));
            m_store.faults().mode = mode;
            runAfter(durationMs, [this] { m_store.faults().mode = StoreMode::Normal; });
        }

        void injectReplicaFault()
        {
            if (m_record.replicas.empty())
                return;
            auto index = static_cast<size_t>(randomBetween(0, static_cast<int>(m_record.replicas.size()) - 1));
            int durationMs = randomBetween(300, 4000);
            int kind = randomBetween(0, 3);
            if (kind == 0) {
                auto fault = static_cast<ReplicaFault>(randomBetween(1, 7));
                addFault(fmt::format("replica {} with fault {} for {} ms", index, static_cast<int>(fault), durationMs));
                m_record.replicas[index]->faults().fault = fault;
                m_record.replicas[index]->faults().remainingRequests = -1;
                runAfter(durationMs, [this, index] { m_record.replicas[index]->faults().remainingRequests = 0; });
            } else if (kind == 1) {
                auto mode = static_cast<ProxyMode>(randomBetween(1, 5));
                addFault(fmt::format(
                    "network to replica {} in mode {} for {} ms", index, static_cast<int>(mode), durationMs));
                m_replicaProxies[index]->setMode(mode, base::Millis(randomBetween(20, 200)));
                runAfter(durationMs, [this, index] { m_replicaProxies[index]->setMode(ProxyMode::Pass); });
            } else if (kind == 2) {
                addFault(fmt::format("orders to replica {} delayed for {} ms", index, durationMs));
                m_record.replicas[index]->faults().orderDelay = base::Millis(randomBetween(500, 4000));
                runAfter(
                    durationMs, [this, index] { m_record.replicas[index]->faults().orderDelay = base::Millis(0); });
            } else if (m_drainingSince[index] == base::timeNever) {
                addFault(fmt::format("replica {} drains for 9 s", index));
                publishEntry(index, true);
                runAfter(9000, [this, index] { publishEntry(index, false); });
            }
        }

        void changeConfiguration()
        {
            if (randomBetween(0, 1) == 0 && m_record.revokedAt.empty()) {
                // The last key is removed from the configuration for the rest of the run.
                const char* key = apiKeys[1];
                m_record.revokedAt[key] = base::timeNever;
                m_store.put("op/config", configuration());
                m_record.revokedAt[key] = base::Clock::now();
                bool isStoreHanging = randomBetween(0, 1) == 0;
                addFault(isStoreHanging ? "key revoked, and the store hangs for 8 s" : "key revoked");
                if (isStoreHanging) {
                    m_store.faults().mode = StoreMode::Hang;
                    runAfter(8000, [this] { m_store.faults().mode = StoreMode::Normal; });
                }
                return;
            }
            m_store.put("op/config", configuration());
            addFault("configuration changed");
        }

        void injectFault()
        {
            switch (randomBetween(0, 9)) {
            case 0:
                return changeConfiguration();
            case 1:
                return injectStoreFault();
            case 2:
            case 3:
            case 4:
            case 5:
                return injectProcessFault();
            default:
                return injectReplicaFault();
            }
        }

        void endFaults()
        {
            m_haveFaultsEnded = true;
            m_store.faults() = {};
            for (auto& proxy : m_replicaProxies)
                proxy->setMode(ProxyMode::Pass);
            for (size_t i = 0; i < m_record.replicas.size(); ++i) {
                m_record.replicas[i]->faults() = {};
                if (m_drainingSince[i] != base::timeNever)
                    publishEntry(i, false);
            }
            for (auto& replica : m_record.unreliableReplicas)
                replica->makeReliable();
            for (auto& process : m_processes)
                process->storeProxy->setMode(ProxyMode::Pass);
            addFault("all faults have ended");
        }

        // ---- Callers ---------------------------------------------------------------------------

        void callerLoop(uint64_t number)
        {
            std::mt19937_64 random(m_options.seed * 1000 + number);
            std::unique_ptr<net::HttpConnection> connection;
            size_t gateway = 0;
            while (!m_isDone) {
                static constexpr const char* routes[] = { "safe", "once", "stream", "single" };
                static constexpr const char* models[] = { "m1", "m2", "m3", "m1/a1", "m2/a2" };
                std::string route = routes[random() % (m_options.engineReplicas ? 4 : 2)];
                std::string model = route.starts_with("s") && route != "safe" ? models[random() % 5] : "";
                std::string id = fmt::format("{:08x}{:08x}", number, ++m_lastId);
                std::string key = apiKeys[random() % 4 == 0];
                net::HttpRequest request = labRequest("/" + route + "/", id, model, key);
                if (model.empty() && random() % unidentifiedOneIn == 0)
                    std::erase_if(request.headers, [](auto& header) { return header.name == "Request-Id"; });
                m_record.sentRequests[id] = { route, key, {} };
                for (int i = 0; i < maxTries; ++i) {
                    // A connection is reused until its process closes it, but for another try.
                    if (!connection || !connection->isReusable() || i) {
                        if (!i || random() % 2)
                            gateway = random() % m_processes.size();
                        connection = net::HttpConnection::create(m_loop, m_processes[gateway]->clientAddress);
                    }
                    if (!isRefusal(sendRequest(*connection, request, m_processes[gateway]->name)) || random() % 4 == 0)
                        break;
                    net::sleepFor(base::Millis(random() % 10));
                }
                net::sleepFor(base::Millis(10 + random() % 90));
            }
            ++m_callersFinished;
        }

        // Returns the status, or 0 without a response.
        int sendRequest(net::HttpConnection& connection, const net::HttpRequest& request, const std::string& gateway)
        {
            std::string key = requestKey(request);
            SentRequest& sent = m_record.sentRequests[key];
            base::TimePoint sentAt = base::Clock::now();
            sent.tries.push_back({ gateway, sentAt, base::timeNever, 0 });
            net::HttpResult result = net::httpCall(connection, request, sentAt + base::Seconds(6));
            sent.tries.back().heardAt = base::Clock::now();
            ++m_result.requests;
            bool isCounted = sentAt >= m_recoveredAt && !m_record.revokedAt.contains(sent.apiKey);
            m_result.requestsAfterRecovery += isCounted;
            if (result.error != net::HttpCallError::None)
                return 0;
            int status = sent.tries.back().status = result.response.status;
            // A quota refusal counts as served: it is the configured behavior.
            m_result.servedAfterRecovery += isCounted && (status == 200 || status == 429);
            m_result.served += status == 200;
            bool isStream = !net::httpHeader(request.headers, "Model").empty();
            if (status == 200 && result.response.body != (isStream ? allEvents() : "answer to " + key))
                addViolation(fmt::format("whole: {} on {} got other bytes: {}", key, sent.route, result.response.body));
            return status;
        }

        static std::string allEvents()
        {
            std::string text;
            for (int i = 1; i <= ReplicaStandInOptions().eventsPerStream; ++i)
                text += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
            return text;
        }

        // ---- Checks ----------------------------------------------------------------------------

        void finish()
        {
            m_isDone = true;
            while (m_callersFinished < m_options.callers)
                net::sleepFor(base::Millis(20));
            net::sleepFor(base::Millis(500));
            check();
            for (auto& process : m_processes) {
                if (!process->pid)
                    continue;
                kill(process->pid, SIGKILL);
                waitpid(process->pid, nullptr, 0);
            }
            for (auto& replica : m_record.replicas)
                replica->stop();
            for (auto& replica : m_record.unreliableReplicas)
                replica->stop();
            for (auto& proxy : m_replicaProxies)
                proxy->stop();
            for (auto& process : m_processes)
                process->storeProxy->stop();
            m_store.stop();
            net::sleepFor(base::Millis(300));
        }

        void check()
        {
            for (const std::string& violation : soakViolations(m_record))
                addViolation(violation);
            double servedFraction = m_result.requestsAfterRecovery ? static_cast<double>(m_result.servedAfterRecovery)
                    / static_cast<double>(m_result.requestsAfterRecovery)
                                                                   : 0;
            if (servedFraction < minRecoveredFraction)
                addViolation(fmt::format("recovery: {} of {} requests were served", m_result.servedAfterRecovery,
                    m_result.requestsAfterRecovery));
        }

        net::Loop& m_loop;
        SoakOptions m_options;
        std::mt19937_64 m_random;
        StoreStandIn m_store;
        SoakRecord m_record;
        std::vector<std::unique_ptr<FaultProxy>> m_replicaProxies; // in front of the replicas
        std::vector<base::TimePoint> m_drainingSince;              // by replica; timeNever: not draining
        std::vector<std::unique_ptr<DaemonProcess>> m_processes;
        SoakResult m_result;
        base::TimePoint m_recoveredAt = base::timeNever;
        int m_version = 0;
        uint64_t m_lastId = 0;
        int m_callersFinished = 0;
        bool m_haveFaultsEnded = false;
        bool m_isDone = false;
    };

} // namespace

SoakResult soakRun(net::Loop& loop, const SoakOptions& options)
{
    Soak soak(loop, options);
    return soak.run();
}

std::string soakText(const SoakOptions& options, const SoakResult& result)
{
    std::string text
        = fmt::format("seed {}: {} requests, {} served, {} of {} after the faults, {} faults, {} violations\n",
            options.seed, result.requests, result.served, result.servedAfterRecovery, result.requestsAfterRecovery,
            result.injectedFaults.size(), result.violations.size());
    for (const std::string& violation : result.violations)
        text += "  violation " + violation + "\n";
    if (!result.violations.empty()) {
        auto millis = std::chrono::time_point_cast<std::chrono::milliseconds>(result.startedAt);
        text += fmt::format("  started at {:%T}.{:03}Z\n", std::chrono::time_point_cast<std::chrono::seconds>(millis),
            millis.time_since_epoch().count() % 1000);
        for (const std::string& fault : result.injectedFaults)
            text += "  fault " + fault + "\n";
    }
    return text;
}

} // namespace rattanshunt::lab

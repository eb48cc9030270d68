// One class in one file: processes, faults, callers and checks share the state of a single run.
#include "Soak.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "FaultProxy.h"
#include "GatewayFleet.h"
#include "WireReplica.h"
#include "WireStore.h"

namespace rattanshunt::lab {

namespace {

    constexpr double rate = 600; // tokens a second of the account
    constexpr double burst = 2000;
    constexpr double slack = 4000; // as told to the daemons
    constexpr double excess = 0.1; // of what the window holds
    constexpr base::Seconds window { 8 };
    constexpr base::Millis revokeTime { 5000 };
    constexpr base::Millis leaveTime { 5000 }; // no daemon serves keys on older knowledge
    constexpr base::Millis runSlack { 400 };   // between a caller's sending and a replica's noting
    constexpr double recoveredPart = 0.9;
    constexpr const char* keys[] = { "secret-1", "secret-2" };

    // Below the system's own range, so that no outgoing connection takes a port between the choice and the daemon's
    // start.
    constexpr uint16_t portFirst = 20000;
    constexpr uint16_t portCount = 12000;

    // A port that is free now and was not given before. Daemons share their ports with SO_REUSEPORT, so that one which
    // was given twice would serve two purposes in silence.
    uint16_t freePort()
    {
        using Tcp = boost::asio::ip::tcp;
        static std::mt19937 random(static_cast<unsigned>(getpid()));
        static std::set<uint16_t> given;
        while (true) {
            auto port = static_cast<uint16_t>(portFirst + random() % portCount);
            boost::asio::io_context context;
            Tcp::acceptor acceptor(context);
            boost::system::error_code error;
            acceptor.open(Tcp::v4(), error);
            acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
            if (!error && given.insert(port).second)
                return port;
        }
    }

    struct Process {
        std::string name;
        std::string file; // of settings
        std::string log;
        base::Address client;
        base::Address ready;
        std::unique_ptr<FaultProxy> store;
        pid_t pid = 0;
        bool isExpectedToEnd = false;
        bool isPaused = false;
        base::TimePoint startAt = base::timeNever; // of the next start
    };

    struct Sent {
        std::string route;
        std::string key;
        base::TimePoint at {};
        bool wasRefused = false; // 429, 503, 408 or 421
        int status = 0;
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
            m_begun = base::Clock::now();
            std::string error;
            m_store.listen(error);
            m_store.put("op/config", configuration());
            startReplicas();
            startProcesses();
            m_loop.spawn([this] { watchProcesses(); });
            awaitReady();
            m_begun = base::Clock::now();
            for (int i = 0; i < m_options.callers; ++i)
                m_loop.spawn([this, i] { callLoop(static_cast<uint64_t>(i)); });
            while (base::Clock::now() - m_begun < m_options.length) {
                doFault();
                net::sleepFor(base::Millis(between(150, 900)));
            }
            net::sleepFor(base::Seconds(9)); // the longest fault
            heal();
            base::TimePoint healed = base::Clock::now();
            m_lateFrom = healed + m_options.recovery;
            while (base::Clock::now() < m_lateFrom + base::Seconds(3))
                net::sleepFor(base::Millis(50));
            finish();
            return std::move(m_result);
        }

    private:
        int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }

        void violate(const std::string& text)
        {
            if (m_result.violations.size() < 20)
                m_result.violations.push_back(fmt::format("{:.3f} s: {}", elapsed(), text));
        }
        double elapsed() const { return base::secondsOf(base::Clock::now() - m_begun); }
        void tell(const std::string& text) { m_result.faults.push_back(fmt::format("{:.3f} s: {}", elapsed(), text)); }

        std::string configuration()
        {
            std::string list;
            for (size_t i = 0; i < std::size(keys); ++i) {
                if (!m_takenAt.contains(keys[i]))
                    list += fmt::format("{}\"{}\"", list.empty() ? "" : ",", keys[i]);
            }
            return labConfiguration(++m_version, rate, burst, list);
        }

        // ---- Processes -------------------------------------------------------------------------

        void startReplicas()
        {
            std::string error;
            int count = m_options.plainReplicas + m_options.engineReplicas;
            for (int i = 0; i < count; ++i) {
                WireReplicaOptions options;
                options.id = "i-" + std::to_string(i);
                options.isEngine = i >= m_options.plainReplicas;
                if (options.isEngine) {
                    options.service = "engine";
                    options.sizes = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
                    options.held = { i % 2 ? "m1" : "m2" };
                }
                m_replicas.push_back(std::make_unique<WireReplica>(m_loop, options));
                m_replicas.back()->listen(error);
                m_proxies.push_back(std::make_unique<FaultProxy>(m_loop, m_replicas.back()->address()));
                m_proxies.back()->listen(error);
                m_leavingSince.push_back(base::timeNever);
                announce(static_cast<size_t>(i), false);
            }
        }

        void announce(size_t index, bool isDraining)
        {
            std::string entry = m_replicas[index]->entry(isDraining, m_proxies[index]->address());
            m_store.put("servers/i-" + std::to_string(index), entry);
            m_leavingSince[index] = isDraining ? base::Clock::now() : base::timeNever;
        }

        void startProcesses()
        {
            std::filesystem::create_directories(m_options.directory);
            std::string error;
            for (int i = 0; i < m_options.daemons; ++i) {
                auto process = std::make_unique<Process>();
                process->name = "d" + std::to_string(i);
                process->file = m_options.directory + "/" + process->name + ".flags";
                process->log = m_options.directory + "/" + process->name + ".log";
                process->client = { "127.0.0.1", freePort() };
                process->ready = { "127.0.0.1", freePort() };
                process->store = std::make_unique<FaultProxy>(m_loop, m_store.address());
                process->store->listen(error);
                std::ofstream file(process->file);
                file << fmt::format("--name={}\n--data_center=dc-1\n--client_listen={}\n--ready_listen={}\n"
                                    "--peer_listen=127.0.0.1:{}\n--metrics_listen=127.0.0.1:{}\n--store={}\n"
                                    "--revoke_ms={}\n--quota_slack={}\n--grace_seconds=4\n",
                    process->name, base::formatAddress(process->client), base::formatAddress(process->ready),
                    freePort(), freePort(), base::formatAddress(process->store->address()), revokeTime.count(), slack);
                file.close();
                start(*process);
                m_processes.push_back(std::move(process));
            }
        }

        void start(Process& process)
        {
            posix_spawn_file_actions_t actions;
            posix_spawn_file_actions_init(&actions);
            posix_spawn_file_actions_addopen(
                &actions, STDOUT_FILENO, process.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
            std::string variable = "RATTANSHUNT_NODE_FILE=" + process.file;
            char* arguments[] = { const_cast<char*>(m_options.program.c_str()), const_cast<char*>("gateway"), nullptr };
            char* variables[] = { variable.data(), nullptr };
            posix_spawn(&process.pid, m_options.program.c_str(), &actions, nullptr, arguments, variables);
            posix_spawn_file_actions_destroy(&actions);
            process.isExpectedToEnd = false;
            process.isPaused = false;
            process.startAt = base::timeNever;
        }

        void watchProcesses()
        {
            while (!m_isDone) {
                for (auto& process : m_processes) {
                    int status = 0;
                    if (process->pid && waitpid(process->pid, &status, WNOHANG) == process->pid) {
                        process->pid = 0;
                        if (!process->isExpectedToEnd) {
                            violate(fmt::format("{} ended by itself, status {}", process->name, status));
                            process->startAt = base::Clock::now();
                        }
                    }
                    if (!process->pid && base::Clock::now() >= process->startAt)
                        start(*process);
                }
                net::sleepFor(base::Millis(10));
            }
        }

        void awaitReady()
        {
            for (auto& process : m_processes) {
                for (int i = 0; i < 500; ++i) {
                    auto connection = net::HttpConnection::create(m_loop, process->ready);
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

        void later(int millis, std::function<void()> task)
        {
            m_loop.spawn([millis, task = std::move(task)] {
                net::sleepFor(base::Millis(millis));
                task();
            });
        }

        void stopProcess(Process& process, int signal, int pauseMillis)
        {
            process.isExpectedToEnd = true;
            process.startAt = base::Clock::now() + base::Millis(pauseMillis);
            kill(process.pid, signal);
            if (signal == SIGTERM) {
                // As the platform does when the grace time is over.
                later(4500, [&process, pid = process.pid] {
                    if (process.pid == pid)
                        kill(pid, SIGKILL);
                });
            }
        }

        void faultProcess()
        {
            Process& process = *m_processes[static_cast<size_t>(between(0, m_options.daemons - 1))];
            int kind = between(0, 4);
            if (!process.pid || process.isExpectedToEnd || process.isPaused)
                return;
            if (kind == 0) {
                tell("kill " + process.name);
                stopProcess(process, SIGKILL, between(50, 1500));
            } else if (kind == 1) {
                tell("stop " + process.name);
                stopProcess(process, SIGTERM, between(50, 1500));
            } else if (kind == 2) {
                int time = between(200, 4000);
                tell(fmt::format("pause {} for {} ms", process.name, time));
                process.isPaused = true;
                kill(process.pid, SIGSTOP);
                later(time, [&process, pid = process.pid] {
                    process.isPaused = false;
                    if (process.pid == pid)
                        kill(pid, SIGCONT);
                });
            } else if (kind == 3) {
                tell("hup " + process.name);
                kill(process.pid, SIGHUP);
            } else {
                auto mode = static_cast<ProxyMode>(between(1, 5));
                int time = between(300, 4000);
                tell(fmt::format("store of {} in mode {} for {} ms", process.name, static_cast<int>(mode), time));
                process.store->setMode(mode, base::Millis(between(20, 300)));
                later(time, [&process] { process.store->setMode(ProxyMode::Pass); });
            }
        }

        void faultStore()
        {
            int time = between(300, 3000);
            if (between(0, 2) == 0) {
                tell(fmt::format("store loses answers for {} ms", time));
                m_store.faults().loseEvery = between(1, 3);
                later(time, [this] { m_store.faults().loseEvery = 0; });
                return;
            }
            auto mode = static_cast<StoreMode>(between(1, 3));
            tell(fmt::format("store in mode {} for {} ms", static_cast<int>(mode), time));
            m_store.faults().mode = mode;
            later(time, [this] { m_store.faults().mode = StoreMode::Sound; });
        }

        void faultReplica()
        {
            auto index = static_cast<size_t>(between(0, static_cast<int>(m_replicas.size()) - 1));
            int time = between(300, 4000);
            int kind = between(0, 3);
            if (kind == 0) {
                auto fault = static_cast<ReplicaFault>(between(1, 7));
                tell(fmt::format("replica {} with fault {} for {} ms", index, static_cast<int>(fault), time));
                m_replicas[index]->faults().fault = fault;
                m_replicas[index]->faults().next = -1;
                later(time, [this, index] { m_replicas[index]->faults().next = 0; });
            } else if (kind == 1) {
                auto mode = static_cast<ProxyMode>(between(1, 5));
                tell(fmt::format("path to replica {} in mode {} for {} ms", index, static_cast<int>(mode), time));
                m_proxies[index]->setMode(mode, base::Millis(between(20, 200)));
                later(time, [this, index] { m_proxies[index]->setMode(ProxyMode::Pass); });
            } else if (kind == 2) {
                tell(fmt::format("orders to replica {} late for {} ms", index, time));
                m_replicas[index]->faults().orderDelay = base::Millis(between(500, 4000));
                later(time, [this, index] { m_replicas[index]->faults().orderDelay = base::Millis(0); });
            } else if (m_leavingSince[index] == base::timeNever) {
                tell(fmt::format("replica {} leaves for 9 s", index));
                announce(index, true);
                later(9000, [this, index] { announce(index, false); });
            }
        }

        void changeConfiguration()
        {
            if (between(0, 1) == 0 && m_takenAt.empty()) {
                // The last key goes and comes back much later under the same name, long after the limit.
                const char* key = keys[1];
                m_takenAt[key] = base::timeNever;
                m_store.put("op/config", configuration());
                m_takenAt[key] = base::Clock::now();
                bool isHidden = between(0, 1) == 0;
                tell(isHidden ? "key taken away, and the store falls silent for 8 s" : "key taken away");
                if (isHidden) {
                    m_store.faults().mode = StoreMode::Silent;
                    later(8000, [this] { m_store.faults().mode = StoreMode::Sound; });
                }
                return;
            }
            m_store.put("op/config", configuration());
            tell("configuration changed");
        }

        void doFault()
        {
            switch (between(0, 9)) {
            case 0:
                return changeConfiguration();
            case 1:
                return faultStore();
            case 2:
            case 3:
            case 4:
            case 5:
                return faultProcess();
            default:
                return faultReplica();
            }
        }

        void heal()
        {
            m_store.faults() = {};
            for (auto& proxy : m_proxies)
                proxy->setMode(ProxyMode::Pass);
            for (size_t i = 0; i < m_replicas.size(); ++i) {
                m_replicas[i]->faults() = {};
                if (m_leavingSince[i] != base::timeNever)
                    announce(i, false);
            }
            for (auto& process : m_processes)
                process->store->setMode(ProxyMode::Pass);
            tell("all faults have ended");
        }

        // ---- Callers ---------------------------------------------------------------------------

        void callLoop(uint64_t number)
        {
            std::mt19937_64 random(m_options.seed * 1000 + number);
            std::unique_ptr<net::HttpConnection> connection;
            while (!m_isDone) {
                static constexpr const char* routes[] = { "safe", "once", "stream", "single" };
                static constexpr const char* models[] = { "m1", "m2", "m3", "m1/a1", "m2/a2" };
                std::string route = routes[random() % 4];
                std::string model = route.starts_with("s") && route != "safe" ? models[random() % 5] : "";
                std::string id = fmt::format("{:08x}{:08x}", number, ++m_lastId);
                std::string key = keys[random() % 4 == 0];
                // A kept connection is used until its process is gone.
                if (!connection || !connection->isReusable()) {
                    connection
                        = net::HttpConnection::create(m_loop, m_processes[random() % m_processes.size()]->client);
                }
                call(*connection, route, id, model, key);
                net::sleepFor(base::Millis(10 + random() % 90));
            }
            ++m_callersEnded;
        }

        void call(net::HttpConnection& connection, const std::string& route, const std::string& id,
            const std::string& model, const std::string& key)
        {
            Sent& sent = m_sent[id];
            sent = { route, key, base::Clock::now(), false, 0 };
            net::HttpResult result = net::httpCall(
                connection, labRequest("/" + route + "/", id, model, key), base::Clock::now() + base::Seconds(6));
            ++m_result.requests;
            bool isLate = sent.at >= m_lateFrom;
            bool isKeyGood = !m_takenAt.contains(key);
            m_result.lateRequests += isLate && isKeyGood;
            if (result.error != net::HttpCallError::None)
                return;
            sent.status = result.response.status;
            sent.wasRefused = sent.status == 429 || sent.status == 503 || sent.status == 408 || sent.status == 421;
            if (sent.status != 200) {
                // A refusal for usage is service as asked for.
                m_result.lateServed += isLate && isKeyGood && sent.status == 429;
                return;
            }
            ++m_result.served;
            m_result.lateServed += isLate && isKeyGood;
            if (model.empty() ? result.response.body != "answer to " + id : result.response.body != allEvents())
                violate(fmt::format("whole: {} on {} got other bytes: {}", id, route, result.response.body));
        }

        static std::string allEvents()
        {
            std::string text;
            for (int i = 1; i <= WireReplicaOptions().events; ++i)
                text += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
            return text;
        }

        // ---- Checks ----------------------------------------------------------------------------

        void finish()
        {
            m_isDone = true;
            while (m_callersEnded < m_options.callers)
                net::sleepFor(base::Millis(20));
            net::sleepFor(base::Millis(500));
            check();
            for (auto& process : m_processes) {
                if (!process->pid)
                    continue;
                kill(process->pid, SIGKILL);
                waitpid(process->pid, nullptr, 0);
            }
            for (auto& replica : m_replicas)
                replica->stop();
            for (auto& proxy : m_proxies)
                proxy->stop();
            for (auto& process : m_processes)
                process->store->stop();
            m_store.stop();
            net::sleepFor(base::Millis(300));
        }

        void check()
        {
            std::map<std::string, int> runs;
            std::vector<std::pair<base::TimePoint, double>> usage;
            std::map<int64_t, std::string> holders;
            for (size_t i = 0; i < m_replicas.size(); ++i) {
                const WireReplicaBook& book = m_replicas[i]->book();
                if (book.isOvercommitted)
                    violate(fmt::format("orders: replica {} was ordered to hold more than fits", i));
                for (auto& [holder, token] : book.orders) {
                    if (holders.contains(token) && holders[token] != holder)
                        violate(fmt::format("orders: {} and {} use token {}", holder, holders[token], token));
                    holders[token] = holder;
                }
                for (const WireRun& run : book.runs) {
                    ++runs[run.request];
                    checkRun(run, i);
                    auto sent = m_sent.find(run.request);
                    if (sent != m_sent.end())
                        usage.emplace_back(run.startedAt, run.model.empty() ? 10 : 100);
                }
            }
            for (auto& [id, sent] : m_sent) {
                bool isOnce = sent.route == "once" || sent.route == "single";
                if (isOnce && runs[id] > 1)
                    violate(fmt::format("once: {} on {} ran {} times", id, sent.route, runs[id]));
                if (isOnce && sent.wasRefused && runs[id] > 0)
                    violate(fmt::format("refusals: {} got {} and ran", id, sent.status));
            }
            checkUsage(usage);
            double part = m_result.lateRequests
                ? static_cast<double>(m_result.lateServed) / static_cast<double>(m_result.lateRequests)
                : 0;
            if (part < recoveredPart)
                violate(
                    fmt::format("recovery: {} of {} requests were served", m_result.lateServed, m_result.lateRequests));
        }

        void checkRun(const WireRun& run, size_t index)
        {
            auto sent = m_sent.find(run.request);
            if (sent == m_sent.end()) {
                violate("whole: a request ran that no caller sent: " + run.request);
                return;
            }
            if (run.hadKey || run.account != "acme")
                violate("keys: the key was passed on, or the account is not named");
            auto taken = m_takenAt.find(sent->second.key);
            if (taken != m_takenAt.end() && sent->second.at > taken->second + revokeTime)
                violate(fmt::format("keys: {} ran {:.3f} s after its key was taken away", run.request,
                    base::secondsOf(sent->second.at - taken->second)));
            for (auto& [since, until] : m_replicas[index]->leaves()) {
                if (run.startedAt > since + leaveTime + runSlack && run.startedAt < until
                    && sent->second.at > since + leaveTime)
                    violate(fmt::format("drain: {} reached replica {} {:.3f} s after it began to leave", run.request,
                        index, base::secondsOf(run.startedAt - since)));
            }
        }

        void checkUsage(std::vector<std::pair<base::TimePoint, double>>& usage)
        {
            std::sort(usage.begin(), usage.end());
            double sum = 0;
            size_t first = 0;
            double most = (rate * base::secondsOf(window) + burst) * (1 + excess) + slack;
            for (size_t i = 0; i < usage.size(); ++i) {
                sum += usage[i].second;
                while (usage[first].first <= usage[i].first - window)
                    sum -= usage[first++].second;
                if (sum > most) {
                    violate(fmt::format("usage: {} tokens ran in {} s, allowed {}", sum, window.count(), most));
                    return;
                }
            }
        }

        net::Loop& m_loop;
        SoakOptions m_options;
        std::mt19937_64 m_random;
        WireStore m_store;
        std::vector<std::unique_ptr<WireReplica>> m_replicas;
        std::vector<std::unique_ptr<FaultProxy>> m_proxies; // before the replicas
        std::vector<base::TimePoint> m_leavingSince;        // by replica; timeNever: it stays
        std::vector<std::unique_ptr<Process>> m_processes;
        std::map<std::string, Sent> m_sent;               // by request
        std::map<std::string, base::TimePoint> m_takenAt; // by key
        SoakResult m_result;
        base::TimePoint m_begun {};
        base::TimePoint m_lateFrom = base::timeNever;
        int m_version = 0;
        uint64_t m_lastId = 0;
        int m_callersEnded = 0;
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
            options.seed, result.requests, result.served, result.lateServed, result.lateRequests, result.faults.size(),
            result.violations.size());
    for (const std::string& violation : result.violations)
        text += "  violation " + violation + "\n";
    if (!result.violations.empty()) {
        for (const std::string& fault : result.faults)
            text += "  fault " + fault + "\n";
    }
    return text;
}

} // namespace rattanshunt::lab

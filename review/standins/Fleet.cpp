#include "Fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rattanshunt::review {

namespace {

    constexpr const char* program = "target/rattanshunt"; // of the deploy file, from the repository's root
    constexpr const char* templateFile = "deploy/gateway.flags";
    constexpr base::Millis watchInterval { 10 };
    constexpr uint16_t firstPort = 20000; // below the ephemeral ports
    constexpr uint16_t portCount = 12000;

    uint16_t freePort(const std::string& ip)
    {
        using Tcp = boost::asio::ip::tcp;
        static std::mt19937 random(static_cast<unsigned>(getpid()));
        while (true) {
            auto port = static_cast<uint16_t>(firstPort + random() % portCount);
            boost::asio::io_context context;
            Tcp::acceptor acceptor(context);
            boost::system::error_code error;
            acceptor.open(Tcp::v4(), error);
            acceptor.bind({ boost::asio::ip::make_address(ip), port }, error);
            if (!error)
                return port;
        }
    }

    // Processes that were started here and have not ended, for the signal handler below.
    constexpr size_t maxProcesses = 16;
    volatile pid_t s_processes[maxProcesses] = {};

    void noteProcess(pid_t before, pid_t now)
    {
        for (volatile pid_t& process : s_processes) {
            if (process == before) {
                process = now;
                return;
            }
        }
    }

    // Ends the processes if this one is told to end early, e.g. by the script's time limit.
    void endProcesses(int)
    {
        for (volatile pid_t& process : s_processes) {
            if (process > 0)
                ::kill(process, SIGKILL);
        }
        _exit(2);
    }

    // Resident size of a process in KB; 0 if it has ended.
    size_t residentKb(pid_t pid)
    {
        std::ifstream status(fmt::format("/proc/{}/status", pid));
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmRSS:"))
                return std::stoul(line.substr(6));
        }
        return 0;
    }

} // namespace

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file)
        std::fclose(m_file);
}

void Record::write(const std::string& line)
{
    if (!m_file)
        return;
    std::fprintf(m_file, "%8.3f %s\n", elapsed(), line.c_str());
    std::fflush(m_file);
}

double Record::elapsed() const
{
    return base::secondsOf(base::Clock::now() - m_startedAt);
}

Fleet::Fleet(net::Loop& loop, FleetOptions options, Record& record)
    : m_loop(loop)
    , m_options(options)
    , m_record(record)
    , m_store(loop)
{
}

Fleet::~Fleet() = default;

// Fills the deploy file's template as the platform does.
std::string Fleet::settingsOf(const Daemon& daemon) const
{
    std::vector<std::pair<std::string, std::string>> fields {
        { "nodeName", daemon.name },
        { "zone", "zone-1" },
        { "listen.front", base::formatAddress(daemon.clientAddress) },
        { "listen.ready", base::formatAddress(daemon.readinessAddress) },
        { "ip", daemon.ip },
        { "internalPorts.0", "7600" },
        { "platform.address", base::formatAddress(m_store.address()) },
        { "limits.cpuShare", "0.17" },
        { "limits.linkMbps", "700.0" },
        { "bounds.configApplyMs", "2000" },
        { "bounds.revokeMs", "5000" },
        { "bounds.leaseMs", "3000" },
        { "bounds.graceS", "8" },
        { "bounds.budgetWindowS", "10" },
        { "bounds.budgetRatio", "0.2" },
        { "bounds.budgetExtra", "122" },
        { "bounds.quotaWindowS", "8" },
        { "bounds.quotaSlack", std::to_string(m_options.quotaSlack) },
        { "bounds.drainMs", "2000" },
        { "heartbeatMs", "1200" },
    };
    std::ifstream file(templateFile);
    std::stringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    for (const auto& [name, value] : fields) {
        std::string placeholder = "{{" + name + "}}";
        for (size_t at = settings.find(placeholder); at != std::string::npos; at = settings.find(placeholder))
            settings.replace(at, placeholder.size(), value);
    }
    return settings;
}

bool Fleet::start()
{
    std::string error;
    if (!std::filesystem::exists(program) || !m_store.listen(error))
        return false;
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        return false;
    m_directory = pattern;
    std::mt19937 random(static_cast<unsigned>(getpid()));
    auto network = fmt::format("127.{}.{}", 64 + random() % 128, 1 + random() % 250);
    for (int i = 0; i < m_options.daemons; ++i) {
        auto daemon = std::make_unique<Daemon>();
        daemon->name = fmt::format("front-{}", i + 1);
        daemon->ip = fmt::format("{}.{}", network, i + 1);
        daemon->clientAddress = { daemon->ip, freePort(daemon->ip) };
        daemon->readinessAddress = { daemon->ip, freePort(daemon->ip) };
        daemon->settingsFile = m_directory + "/" + daemon->name + ".conf";
        daemon->logFile = m_directory + "/" + daemon->name + ".log";
        daemon->memoryLimitKb = m_options.memoryLimitMb * 1024;
        std::ofstream(daemon->settingsFile) << settingsOf(*daemon);
        startProcess(*daemon);
        m_daemons.push_back(std::move(daemon));
    }
    m_isWatching = true;
    m_loop.spawn([this] { watch(); });
    std::signal(SIGTERM, endProcesses);
    std::signal(SIGINT, endProcesses);
    return true;
}

void Fleet::startProcess(Daemon& daemon)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, daemon.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string variable = "RATTANSHUNT_NODE_FILE=" + daemon.settingsFile;
    std::string path = program;
    std::string role = "gateway";
    char* arguments[] = { path.data(), role.data(), nullptr };
    char* variables[] = { variable.data(), nullptr };
    posix_spawn(&daemon.pid, program, &actions, nullptr, arguments, variables);
    posix_spawn_file_actions_destroy(&actions);
    noteProcess(0, daemon.pid);
    daemon.isExpectedToEnd = false;
    daemon.isOverMemory = false;
    daemon.restartAt = base::timeNever;
    m_record.write(fmt::format("process {} started", daemon.name));
}

void Fleet::watch()
{
    while (!m_isDone) {
        for (auto& daemon : m_daemons) {
            int status = 0;
            if (daemon->pid && waitpid(daemon->pid, &status, WNOHANG) == daemon->pid) {
                bool isOwnEnd = !daemon->isExpectedToEnd;
                daemon->ownEnds += isOwnEnd;
                noteProcess(daemon->pid, 0);
                daemon->pid = 0;
                daemon->restartAt = base::Clock::now() + m_options.restartDelay;
                std::string how = WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                                                      : fmt::format("exit code {}", WEXITSTATUS(status));
                m_record.write(fmt::format("process {} ended: {}, {}", daemon->name, how,
                    daemon->isOverMemory ? "over its memory"
                        : isOwnEnd       ? "by itself"
                                         : "as told"));
            }
            if (daemon->pid && daemon->memoryLimitKb) {
                size_t resident = residentKb(daemon->pid);
                daemon->peakKb = std::max(daemon->peakKb, resident);
                if (resident > daemon->memoryLimitKb && !daemon->isOverMemory) {
                    daemon->isOverMemory = true;
                    m_record.write(fmt::format("process {} has {} KB resident", daemon->name, resident));
                    ::kill(daemon->pid, SIGKILL);
                }
            }
            if (!daemon->pid && base::Clock::now() >= daemon->restartAt)
                startProcess(*daemon);
        }
        net::sleepFor(watchInterval);
    }
    m_isWatching = false;
}

bool Fleet::waitReady()
{
    for (auto& daemon : m_daemons) {
        bool isReady = false;
        for (int i = 0; i < 500 && !isReady; ++i) {
            auto connection = net::HttpConnection::create(m_loop, daemon->readinessAddress);
            net::HttpRequest probe { "GET", "/rattanshunt/readiness", {}, "" };
            auto result = net::httpCall(*connection, probe, base::Clock::now() + base::Millis(500));
            isReady = result.error == net::HttpCallError::None && result.response.status == 200;
            if (!isReady)
                net::sleepFor(base::Millis(20));
        }
        if (!isReady)
            return false;
    }
    return true;
}

void Fleet::kill(Daemon& daemon, int signal)
{
    if (!daemon.pid)
        return;
    daemon.isExpectedToEnd = daemon.isExpectedToEnd || signal == SIGKILL || signal == SIGTERM;
    m_record.write(fmt::format("process {} gets signal {}", daemon.name, signal));
    ::kill(daemon.pid, signal);
}

Daemon* Fleet::hub()
{
    auto found = m_store.state().entries.find("rs/hub");
    if (found == m_store.state().entries.end())
        return nullptr;
    auto json = nlohmann::json::parse(found->second.value, nullptr, false);
    std::string name = json.is_object() ? json.value("name", "") : "";
    for (auto& daemon : m_daemons) {
        if (daemon->name == name)
            return daemon.get();
    }
    return nullptr;
}

void Fleet::stop()
{
    m_isDone = true;
    while (m_isWatching)
        net::sleepFor(watchInterval);
    for (auto& daemon : m_daemons) {
        if (!daemon->pid)
            continue;
        ::kill(daemon->pid, SIGKILL);
        waitpid(daemon->pid, nullptr, 0);
        daemon->pid = 0;
    }
    m_store.stop();
    std::error_code ignored;
    if (!std::getenv("REVIEW_KEEP"))
        std::filesystem::remove_all(m_directory, ignored);
}

} // namespace rattanshunt::review

#include "GatewayProcess.h"

#include <random>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <spawn.h>
#include <unistd.h>

namespace rattanshunt::lab {

namespace {

    // Below the system's ephemeral port range, so that no outgoing connection takes a port between its choice and the
    // daemon's start.
    constexpr uint16_t firstPort = 20000;
    constexpr uint16_t portCount = 12000;

} // namespace

uint16_t freePort()
{
    using Tcp = boost::asio::ip::tcp;
    static std::mt19937 random(static_cast<unsigned>(getpid()));
    static std::set<uint16_t> returnedPorts;
    while (true) {
        auto port = static_cast<uint16_t>(firstPort + random() % portCount);
        boost::asio::io_context context;
        Tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(Tcp::v4(), error);
        acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
        if (!error && returnedPorts.insert(port).second)
            return port;
    }
}

pid_t gatewayProcessStart(const std::string& program, const std::string& settingsFile, const std::string& logFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string variable = "RATTANSHUNT_NODE_FILE=" + settingsFile;
    char* arguments[] = { const_cast<char*>(program.c_str()), const_cast<char*>("gateway"), nullptr };
    char* variables[] = { variable.data(), nullptr };
    pid_t pid = 0;
    posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, variables);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

} // namespace rattanshunt::lab

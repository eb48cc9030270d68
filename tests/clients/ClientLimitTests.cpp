// Clients that send or hold more than one machine's memory, against a gateway process with the settings of the smallest
// machine. Each test guards against a process that such clients make run out of memory or descriptors, or that answers
// nobody any more: its memory and descriptors stay within its settings, and an ordinary request is answered while the
// clients are still connected. Memory is the resident set, and what the sockets of its callers have queued.
#include <csignal>
#include <filesystem>
#include <fstream>

#include <sys/wait.h>

#include "ByteStandIn.h"
#include "GatewayFleet.h"
#include "GatewayProcess.h"
#include "Support.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr size_t memoryMb = 112;
constexpr size_t maxDescriptors = 700;
constexpr size_t bodyBytes = 4 * 1024 * 1024; // the default of maxBodyBytes
constexpr size_t responseBytes = 512 * 1024;
constexpr base::Millis stuckAfter { 5000 }; // a client whose bytes are not taken for so long sends no more
constexpr base::Seconds phaseLimit { 40 };  // a client stops sending then
constexpr int ordinaryTries = 30;

std::string requestHead(const std::string& path, const std::string& id, const std::string& framing)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token secret-1\r\nRequest-Id: {}\r\n"
                       "Deadline-Ms: 5000\r\n{}\r\n\r\n",
        path, id, framing);
}

std::string chunk(size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

class Client {
public:
    Client(net::Loop& loop, const base::Address& address, base::TimePoint endsAt)
        : m_loop(loop)
        , m_endsAt(endsAt)
        , m_socket(loop.io())
    {
        m_socket.open(Tcp::v4());
        // Small, so that what the gateway does not take stays unsent.
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.set_option(boost::asio::socket_base::send_buffer_size(16384));
        Tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
        m_isOpen = !await([&](auto handler) { m_socket.async_connect(endpoint, std::move(handler)); }).error;
    }

    // False, from then on, if the gateway has closed the connection or takes no more bytes.
    bool send(std::string_view bytes)
    {
        if (m_isOpen)
            m_isOpen = !await([&](auto handler) {
                boost::asio::async_write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), std::move(handler));
            }).error;
        return m_isOpen;
    }

    bool readSome()
    {
        char bytes[4096];
        if (m_isOpen)
            m_isOpen = !await([&](auto handler) {
                m_socket.async_read_some(boost::asio::buffer(bytes), std::move(handler));
            }).error;
        return m_isOpen;
    }

private:
    template <typename Initiate> net::IoResult await(Initiate&& initiate)
    {
        return net::awaitIoUntil(m_loop, std::min(m_endsAt, base::Clock::now() + stuckAfter),
            std::forward<Initiate>(initiate), [this] { m_socket.cancel(); });
    }

    net::Loop& m_loop;
    base::TimePoint m_endsAt;
    Tcp::socket m_socket;
    bool m_isOpen = false;
};

// One gateway process, a replica whose responses are large on /once/, and a store.
class Machine {
public:
    explicit Machine(net::Loop& loop)
        : m_loop(loop)
        , m_store(loop)
        , m_replica(loop,
              [](ByteConnection& connection, const net::HttpRequest& request) {
                  std::string body(request.target == "/once/" ? responseBytes : 4, 'y');
                  connection.send(fmt::format(
                      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Seal: seal\r\nContent-Length: {}\r\n\r\n{}",
                      net::httpHeader(request.headers, "Request-Id"), body.size(), body));
              })
        , m_directory(fmt::format("/tmp/rattanshunt-client-test-{}", getpid()))
    {
        std::string error;
        m_store.listen(error);
        m_replica.listen(error);
        m_store.put("op/config", labConfiguration(1));
        m_store.put("servers/i-1", byteReplicaEntry("plain", m_replica.address()));
        m_address = { "127.0.0.1", freePort() };
        std::filesystem::create_directories(m_directory);
        std::ofstream(m_directory + "/flags") << fmt::format(
            "--name=d0\n--data_center=dc-1\n--client_listen={}\n--ready_listen=127.0.0.1:{}\n--peer_listen=127.0.0.1:{}"
            "\n--metrics_listen=127.0.0.1:{}\n--store={}\n--memory_mb={}\n--max_descriptors={}\n",
            base::formatAddress(m_address), freePort(), freePort(), freePort(), base::formatAddress(m_store.address()),
            memoryMb, maxDescriptors);
        auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "rattanshunt";
        m_pid = gatewayProcessStart(program.string(), m_directory + "/flags", m_directory + "/log");
        cr_assert(isOrdinaryRequestAnswered(), "the gateway did not become ready");
        m_loop.spawn([this] {
            while (m_pid) {
                observe();
                net::sleepFor(base::Millis(20));
            }
            m_hasStopped = true;
        });
    }

    ~Machine()
    {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
        while (!m_hasStopped)
            net::sleepFor(base::Millis(10));
        m_replica.stop();
        m_store.stop();
        std::filesystem::remove_all(m_directory);
    }

    // Runs the script once for each client, all at the same time; the connections stay open.
    void attack(int clientCount, const std::function<void(Client&, int number)>& script)
    {
        base::TimePoint endsAt = base::Clock::now() + phaseLimit;
        int running = clientCount;
        std::vector<std::unique_ptr<Client>> clients;
        for (int i = 0; i < clientCount; ++i) {
            m_loop.spawn([&, i] {
                auto client = std::make_unique<Client>(m_loop, m_address, endsAt);
                script(*client, i);
                clients.push_back(std::move(client));
                --running;
            });
        }
        while (running)
            net::sleepFor(base::Millis(20));
        bool isAnswered = isOrdinaryRequestAnswered();
        observe();
        fmt::print(stderr, "memory {} MB of {}, descriptors {} of {}, ordinary request {}\n", m_maxBytes >> 20,
            memoryMb, m_maxDescriptors, maxDescriptors, isAnswered ? "answered" : "not answered");
        cr_expect_eq(waitpid(m_pid, nullptr, WNOHANG), 0, "the process has ended");
        cr_expect_leq(m_maxBytes, memoryMb << 20, "memory of %zu MB", m_maxBytes >> 20);
        cr_expect_leq(m_maxDescriptors, maxDescriptors, "%zu descriptors", m_maxDescriptors);
        cr_expect(isAnswered, "no ordinary request was answered");
    }

private:
    bool isOrdinaryRequestAnswered()
    {
        for (int i = 0; i < ordinaryTries; ++i) {
            auto connection = net::HttpConnection::create(m_loop, m_address);
            auto result = net::httpCall(*connection, labRequest("/safe/", fmt::format("ordinary-{}", ++m_lastId)),
                base::Clock::now() + base::Seconds(5));
            if (result.error == net::HttpCallError::None && result.response.status == 200)
                return true;
            net::sleepFor(base::Millis(200));
        }
        return false;
    }

    void observe()
    {
        size_t residentBytes = 0;
        std::ifstream status(fmt::format("/proc/{}/status", m_pid));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                residentBytes = std::stoul(line.substr(6)) * 1024;
            if (line.starts_with("VmHWM:"))
                m_maxBytes = std::max<size_t>(m_maxBytes, std::stoul(line.substr(6)) * 1024);
        }
        std::string port = fmt::format(":{:04X} ", m_address.port);
        size_t queuedBytes = 0;
        std::ifstream sockets("/proc/net/tcp");
        for (std::string line; std::getline(sockets, line);) {
            unsigned long long sent = 0;
            unsigned long long received = 0;
            // Number, local and remote address, state, queues.
            if (line.find(port) < 20 && sscanf(line.c_str(), "%*s %*s %*s %*s %llx:%llx", &sent, &received) == 2)
                queuedBytes += sent + received;
        }
        m_maxBytes = std::max(m_maxBytes, residentBytes + queuedBytes);
        std::error_code ignored;
        auto descriptors = std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", m_pid), ignored);
        m_maxDescriptors = std::max(m_maxDescriptors,
            static_cast<size_t>(std::distance(begin(descriptors), std::filesystem::directory_iterator {})));
    }

    net::Loop& m_loop;
    StoreStandIn m_store;
    ByteStandIn m_replica;
    std::string m_directory;
    base::Address m_address;
    pid_t m_pid = 0;
    int m_lastId = 0;
    size_t m_maxBytes = 0;
    size_t m_maxDescriptors = 0;
    bool m_hasStopped = false;
};

void runAttack(int clientCount, const std::function<void(Client&, int number)>& script)
{
    tests::runOnLoop([&](net::Loop& loop) {
        Machine machine(loop);
        machine.attack(clientCount, script);
    });
}

// Sends `count` times `piece` after the head.
void sendBody(Client& client, int number, const std::string& framing, const std::string& piece, size_t count)
{
    bool isOpen = client.send(requestHead("/safe/", fmt::format("large-{}", number), framing));
    for (size_t i = 0; isOpen && i < count; ++i)
        isOpen = client.send(piece);
}

} // namespace

Test(client_limits, endless_trailers, .timeout = 120)
{
    std::string lines;
    while (lines.size() < 16384)
        lines += "X-Trailer: " + std::string(50, 't') + "\r\n";
    runAttack(30, [&](Client& client, int number) {
        sendBody(client, number, "Transfer-Encoding: chunked", chunk(8) + "0\r\n", 1);
        for (int i = 0; i < 512 && client.send(lines); ++i) { }
    });
}

Test(client_limits, large_bodies_whole, .timeout = 120)
{
    std::string body(bodyBytes - 1, 'x');
    runAttack(60, [&](Client& client, int number) {
        sendBody(client, number, fmt::format("Content-Length: {}", bodyBytes), body, 1);
    });
}

Test(client_limits, large_bodies_in_pieces, .timeout = 120)
{
    std::string piece(bodyBytes / 512, 'x');
    runAttack(60, [&](Client& client, int number) {
        sendBody(client, number, fmt::format("Content-Length: {}", bodyBytes), piece, 511);
    });
}

Test(client_limits, chunked_bodies_in_large_chunks, .timeout = 120)
{
    std::string piece = chunk(bodyBytes / 16);
    runAttack(
        60, [&](Client& client, int number) { sendBody(client, number, "Transfer-Encoding: chunked", piece, 15); });
}

Test(client_limits, chunked_bodies_in_very_small_chunks, .timeout = 120)
{
    std::string piece;
    for (int i = 0; i < 1024; ++i)
        piece += chunk(16);
    runAttack(60, [&](Client& client, int number) {
        sendBody(client, number, "Transfer-Encoding: chunked", piece, bodyBytes / 16 / 1024 - 1);
    });
}

Test(client_limits, callers_that_stop_reading, .timeout = 120)
{
    std::string requests;
    for (int i = 0; i < 8; ++i)
        requests += requestHead("/once/", fmt::format("unread-{}", i), "Content-Length: 0");
    runAttack(150, [&](Client& client, int) {
        client.send(requests);
        net::sleepFor(stuckAfter);
    });
}

Test(client_limits, idle_connections_after_large_bodies, .timeout = 120)
{
    std::string body(200 * 1024, 'x');
    runAttack(900, [&](Client& client, int number) {
        net::sleepFor(base::Millis(4 * number));
        sendBody(client, number, fmt::format("Content-Length: {}", body.size()), body, 1);
        client.readSome();
    });
}

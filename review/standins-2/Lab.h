// Stand-ins for the scripts of this review: the platform's store, replicas of a plain service and of an engine,
// callers, and the gateway as a process with the command of the deploy file. Blocking sockets, one thread a connection,
// loopback only. They follow the users' pages; where these are silent they behave like sound programs.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

// ---- Record ------------------------------------------------------------------------------------

// What was sent, answered and run, with the time since the start. Safe to use from any thread.
class Record {
public:
    explicit Record(const std::string& path);
    void add(const std::string& line);
    double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

// ---- HTTP --------------------------------------------------------------------------------------

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
};

std::string headerOf(const Headers&, std::string_view name); // empty if there is none

// A connected socket with what was read ahead.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(uint16_t port); // null if it is refused
    bool send(std::string_view bytes);
    bool readRequest(Request&);
    bool readResponse(Response&, Millis timeout);
    void close();
    void reset(); // closes with a reset

private:
    bool readMore(Millis timeout);
    bool readLine(std::string&, Millis timeout);
    bool readHeaders(Headers&, Millis timeout);
    bool readBody(const Headers&, bool isRequest, std::string&, Millis timeout);

    int m_fd = -1;
    std::string m_buffer;
};

using Handler = std::function<std::optional<Response>(const Request&, Connection&)>; // nothing: close without an answer

// Listens on a free loopback port until the process ends or stop() is called.
class Server {
public:
    explicit Server(Handler handler, uint16_t port = 0);
    ~Server() { stop(); }
    uint16_t port() const { return m_port; }
    void stop(); // stops listening and resets open connections

private:
    void acceptLoop();

    Handler m_handler;
    int m_fd = -1;
    uint16_t m_port = 0;
    std::atomic<bool> m_isStopped = false;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
};

// Sends one request on a connection of its own. Status 0: no complete answer.
Response call(uint16_t port, const Request&, Millis timeout = Millis(8000));

uint16_t freePort();

// ---- The platform's store ----------------------------------------------------------------------

class Store {
public:
    Store();
    uint16_t port() const { return m_server->port(); }
    void put(const std::string& key, const std::string& value); // the operator's and the replicas' writes
    void remove(const std::string& key);
    std::optional<std::string> get(const std::string& key);

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t createRevision = 0;
        int64_t lease = 0;
    };
    struct Lease {
        Millis ttl { 0 };
        Clock::time_point expiresAt;
    };

    std::optional<Response> handle(const Request&);
    Response range(const std::string& prefix, const std::string& after);
    Response transact(const Json& body);
    void expire();
    static Json itemJson(const std::string& key, const Item&);

    std::mutex m_mutex;
    std::map<std::string, Item> m_items;
    std::map<int64_t, Lease> m_leases;
    int64_t m_revision = 100;
    int64_t m_lastLease = 7000;
    std::unique_ptr<Server> m_server;
};

// ---- Gateway processes -------------------------------------------------------------------------

// One machine with its gateway. Started with the command of the deploy file and the settings of its template.
class Gateway {
public:
    Gateway(std::string name, uint16_t storePort, std::string directory, int memoryMb = 182);
    ~Gateway() { stop(); }

    void start();
    void signal(int number);
    bool hasEnded();        // reaps the process
    void stop();            // kills it if it runs
    size_t residentBytes(); // 0: it does not run
    bool isReady();         // as the platform asks
    bool waitReady(Millis timeout);

    const std::string& name() const { return m_name; }
    uint16_t clientPort() const { return m_clientPort; }
    uint16_t metricsPort() const { return m_metricsPort; }
    std::string logFile() const { return m_directory + "/" + m_name + ".log"; }

private:
    std::string m_name;
    std::string m_directory;
    uint16_t m_clientPort = freePort();
    uint16_t m_readyPort = freePort();
    uint16_t m_peerPort = freePort();
    uint16_t m_metricsPort = freePort();
    pid_t m_pid = 0;
};

// ---- Others ------------------------------------------------------------------------------------

std::string temporaryDirectory();   // removed by finish()
[[noreturn]] void finish(int code); // ends the process, without waiting for threads
bool hasTrouble();                  // false with TROUBLE=0
std::string base64Encode(std::string_view);
std::string base64Decode(std::string_view);
void sleepFor(Millis);

// The entry of a replica in the store, without its models.
Json entryOf(const std::string& service, uint16_t port, int slots, int64_t sequence, int64_t bornMillis);
int64_t unixMillis();

} // namespace review

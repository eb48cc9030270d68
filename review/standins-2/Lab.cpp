#include "Lab.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

// ---- Record ------------------------------------------------------------------------------------

Record::Record(const std::string& path)
    : m_file(path)
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

void Record::add(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    char time[32];
    snprintf(time, sizeof(time), "%8.3f ", seconds());
    m_file << time << line << std::endl;
}

// ---- HTTP --------------------------------------------------------------------------------------

namespace {

    constexpr Millis serverPatience { 60000 }; // of a server with an idle connection

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return a.size() == b.size()
            && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return tolower(x) == tolower(y); });
    }

    sockaddr_in loopback(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    const char* reasonOf(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 202:
            return "Accepted";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 412:
            return "Precondition Failed";
        case 421:
            return "Misdirected Request";
        case 503:
            return "Service Unavailable";
        default:
            return "Other";
        }
    }

} // namespace

std::string headerOf(const Headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return "";
}

std::unique_ptr<Connection> Connection::open(uint16_t port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<Connection>(fd);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

void Connection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

void Connection::reset()
{
    linger off { 1, 0 };
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
    // Wakes the thread that reads from it, which closes it.
    shutdown(m_fd, SHUT_RDWR);
}

bool Connection::readMore(Millis timeout)
{
    pollfd waited { m_fd, POLLIN, 0 };
    if (poll(&waited, 1, static_cast<int>(timeout.count())) <= 0)
        return false;
    char bytes[16384];
    ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes, static_cast<size_t>(count));
    return true;
}

bool Connection::readLine(std::string& line, Millis timeout)
{
    size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!readMore(timeout))
            return false;
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readHeaders(Headers& headers, Millis timeout)
{
    std::string line;
    while (true) {
        if (!readLine(line, timeout))
            return false;
        if (line.empty())
            return true;
        size_t colon = line.find(':');
        if (colon == std::string::npos)
            return false;
        size_t first = line.find_first_not_of(" \t", colon + 1);
        headers.emplace_back(line.substr(0, colon), first == std::string::npos ? "" : line.substr(first));
    }
}

bool Connection::readBody(const Headers& headers, bool isRequest, std::string& body, Millis timeout)
{
    if (equalsIgnoringCase(headerOf(headers, "Transfer-Encoding"), "chunked")) {
        while (true) {
            std::string line;
            if (!readLine(line, timeout))
                return false;
            size_t size = std::strtoul(line.c_str(), nullptr, 16);
            while (m_buffer.size() < size + 2) {
                if (!readMore(timeout))
                    return false;
            }
            body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (!size)
                return true;
        }
    }
    std::string length = headerOf(headers, "Content-Length");
    if (length.empty())
        return isRequest;
    size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (m_buffer.size() < size) {
        if (!readMore(timeout))
            return false;
    }
    body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

bool Connection::readRequest(Request& request)
{
    std::string line;
    if (!readLine(line, serverPatience))
        return false;
    std::istringstream words(line);
    words >> request.method >> request.target;
    return readHeaders(request.headers, serverPatience)
        && readBody(request.headers, true, request.body, serverPatience);
}

bool Connection::readResponse(Response& response, Millis timeout)
{
    std::string line;
    if (!readLine(line, timeout) || line.size() < 12)
        return false;
    response.status = std::atoi(line.c_str() + 9);
    return readHeaders(response.headers, timeout) && readBody(response.headers, false, response.body, timeout);
}

Server::Server(Handler handler, uint16_t port)
    : m_handler(std::move(handler))
{
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    if (bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(m_fd, 512) != 0) {
        perror("listen");
        finish(2);
    }
    socklen_t length = sizeof(address);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &length);
    m_port = ntohs(address.sin_port);
    std::thread([this] { acceptLoop(); }).detach();
}

void Server::stop()
{
    if (m_isStopped.exchange(true))
        return;
    shutdown(m_fd, SHUT_RDWR);
    ::close(m_fd);
    std::lock_guard lock(m_mutex);
    for (const auto& connection : m_connections)
        connection->reset();
}

void Server::acceptLoop()
{
    while (!m_isStopped) {
        int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto connection = std::make_shared<Connection>(fd);
        {
            std::lock_guard lock(m_mutex);
            m_connections.insert(connection);
        }
        std::thread([this, connection] {
            while (!m_isStopped) {
                Request request;
                if (!connection->readRequest(request))
                    break;
                auto response = m_handler(request, *connection);
                if (!response)
                    break;
                std::string text
                    = "HTTP/1.1 " + std::to_string(response->status) + " " + reasonOf(response->status) + "\r\n";
                for (const auto& [name, value] : response->headers)
                    text += name + ": " + value + "\r\n";
                text += "Content-Length: " + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
                if (!connection->send(text))
                    break;
            }
            std::lock_guard lock(m_mutex);
            m_connections.erase(connection);
            connection->close();
        }).detach();
    }
}

Response call(uint16_t port, const Request& request, Millis timeout)
{
    auto connection = Connection::open(port);
    if (!connection)
        return {};
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    Response response;
    if (!connection->send(text) || !connection->readResponse(response, timeout))
        return {};
    return response;
}

uint16_t freePort()
{
    static std::mutex mutex;
    static std::set<uint16_t> given;
    std::lock_guard lock(mutex);
    while (true) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof(address);
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
        ::close(fd);
        uint16_t port = ntohs(address.sin_port);
        if (given.insert(port).second)
            return port;
    }
}

// ---- The platform's store ----------------------------------------------------------------------

namespace {

    constexpr size_t maxPageItems = 500;

    std::string queryValue(const std::string& target, const std::string& name)
    {
        size_t at = target.find('?');
        while (at != std::string::npos) {
            size_t end = target.find('&', at + 1);
            std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            size_t equals = pair.find('=');
            if (equals != std::string::npos && pair.substr(0, equals) == name) {
                std::string value;
                for (size_t i = equals + 1; i < pair.size(); ++i) {
                    if (pair[i] == '%' && i + 2 < pair.size()) {
                        value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                        i += 2;
                    } else
                        value += pair[i];
                }
                return value;
            }
            at = end;
        }
        return "";
    }

    Response jsonResponse(int status, const Json& body)
    {
        return { status, { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, body.dump() };
    }

} // namespace

Store::Store()
    : m_server(std::make_unique<Server>([this](const Request& request, Connection&) { return handle(request); }))
{
}

Json Store::itemJson(const std::string& key, const Item& item)
{
    return Json { { "key", key }, { "value", base64Encode(item.value) }, { "revision", item.revision },
        { "createRevision", item.createRevision }, { "lease", item.lease } };
}

void Store::expire()
{
    Clock::time_point now = Clock::now();
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (now < lease->second.expiresAt) {
            ++lease;
            continue;
        }
        int64_t id = lease->first;
        std::erase_if(m_items, [&](const auto& item) { return item.second.lease == id; });
        ++m_revision;
        lease = m_leases.erase(lease);
    }
}

void Store::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    Item& item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    item.createRevision = item.createRevision ? item.createRevision : m_revision;
}

void Store::remove(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    m_items.erase(key);
    ++m_revision;
}

std::optional<std::string> Store::get(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    expire();
    auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
}

std::optional<Response> Store::handle(const Request& request)
{
    std::lock_guard lock(m_mutex);
    expire();
    std::string path = request.target.substr(0, request.target.find('?'));
    auto idOf = [&](std::string_view prefix) { return std::atoll(path.c_str() + prefix.size()); };
    if (path == "/rattanshunt/kv-key") {
        std::string key = queryValue(request.target, "key");
        auto found = m_items.find(key);
        Json json = found == m_items.end() ? Json::object() : itemJson(key, found->second);
        json["storeRevision"] = m_revision;
        return jsonResponse(found == m_items.end() ? 404 : 200, json);
    }
    if (path == "/rattanshunt/kv-range")
        return range(queryValue(request.target, "prefix"), queryValue(request.target, "after"));
    if (path == "/rattanshunt/kv-txn")
        return transact(Json::parse(request.body));
    if (path == "/rattanshunt/kv-lease") {
        Millis ttl { std::max<int64_t>(1000, Json::parse(request.body).at("ttlMs").get<int64_t>()) };
        m_leases[++m_lastLease] = { ttl, Clock::now() + ttl };
        return jsonResponse(200, { { "lease", m_lastLease }, { "ttlMs", ttl.count() } });
    }
    if (path.starts_with("/rattanshunt/kv-keep/")) {
        auto lease = m_leases.find(idOf("/rattanshunt/kv-keep/"));
        if (lease == m_leases.end())
            return jsonResponse(404, Json::object());
        lease->second.expiresAt = Clock::now() + lease->second.ttl;
        return jsonResponse(200, { { "ttlMs", lease->second.ttl.count() } });
    }
    if (path.starts_with("/rattanshunt/kv-lease-end/")) {
        int64_t id = idOf("/rattanshunt/kv-lease-end/");
        m_leases.erase(id);
        std::erase_if(m_items, [&](const auto& item) { return item.second.lease && item.second.lease == id; });
        ++m_revision;
        return jsonResponse(200, Json::object());
    }
    return jsonResponse(404, Json::object());
}

Response Store::range(const std::string& prefix, const std::string& after)
{
    Json items = Json::array();
    bool hasMore = false;
    for (const auto& [key, item] : m_items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        hasMore = items.size() >= maxPageItems;
        if (hasMore)
            break;
        items.push_back(itemJson(key, item));
    }
    return jsonResponse(200, { { "items", items }, { "hasMore", hasMore }, { "storeRevision", m_revision } });
}

Response Store::transact(const Json& body)
{
    Json present = Json::array();
    bool holds = true;
    for (const Json& row : body.at("expected")) {
        auto found = m_items.find(row.at("key").get<std::string>());
        int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("revision").get<int64_t>();
        if (found != m_items.end())
            present.push_back(itemJson(found->first, found->second));
    }
    if (!holds)
        return jsonResponse(412, { { "items", present } });
    auto isForeign = [](const std::string& key) { return key.starts_with("op/") || key.starts_with("servers/"); };
    for (const Json& row : body.at("writes")) {
        if (isForeign(row.at("key").get<std::string>()))
            return jsonResponse(403, Json::object());
        int64_t lease = row.value("lease", int64_t(0));
        if (lease && !m_leases.contains(lease))
            return jsonResponse(404, Json::object());
    }
    bool isChange = !body.at("writes").empty() || !body.value("delete", Json::array()).empty();
    m_revision += isChange ? 1 : 0;
    for (const Json& row : body.at("writes")) {
        Item& item = m_items[row.at("key").get<std::string>()];
        item.value = base64Decode(row.at("value").get<std::string>());
        item.lease = row.value("lease", int64_t(0));
        item.revision = m_revision;
        item.createRevision = item.createRevision ? item.createRevision : m_revision;
    }
    for (const Json& key : body.value("delete", Json::array()))
        m_items.erase(key.get<std::string>());
    return jsonResponse(200, { { "revision", m_revision } });
}

// ---- Gateway processes -------------------------------------------------------------------------

Gateway::Gateway(std::string name, uint16_t storePort, std::string directory, int memoryMb)
    : m_name(std::move(name))
    , m_directory(std::move(directory))
{
    auto local = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    // The figures of sites/msc-notices.toml.
    std::map<std::string, std::string> values
        = { { "nodeName", m_name }, { "zone", "port-louis" }, { "listen.front", local(m_clientPort) },
              { "listen.ready", local(m_readyPort) }, { "platform.address", local(storePort) },
              { "limits.cpuShare", "0.17" }, { "bounds.configApplyMs", "2000" }, { "bounds.revokeMs", "5000" },
              { "bounds.leaseMs", "3000" }, { "bounds.graceS", "8" }, { "bounds.budgetWindowS", "10" },
              { "bounds.budgetRatio", "0.2" }, { "bounds.budgetExtra", "122" }, { "bounds.quotaWindowS", "8" },
              { "bounds.quotaSlack", "110000" }, { "limits.linkMbps", "700.0" }, { "bounds.drainMs", "2000" },
              { "heartbeatMs", "1200" }, { "limits.memoryMb", std::to_string(memoryMb) }, { "limits.maxFds", "2870" } };
    std::ifstream settingsTemplate("deploy/gateway.flags");
    std::ofstream settings(m_directory + "/" + m_name + ".flags");
    std::string line;
    while (std::getline(settingsTemplate, line)) {
        if (line.starts_with("{{#"))
            continue; // bounds that this deployment does not have
        if (line.starts_with("--geos="))
            line = "--geos=port-louis:mu-island";
        if (line.starts_with("--peer_listen="))
            line = "--peer_listen=" + local(m_peerPort);
        if (line.starts_with("--metrics_listen="))
            line = "--metrics_listen=" + local(m_metricsPort);
        for (const auto& [field, value] : values) {
            size_t at = line.find("{{" + field + "}}");
            if (at != std::string::npos)
                line.replace(at, field.size() + 4, value);
        }
        settings << line << "\n";
    }
}

void Gateway::start()
{
    std::string variable = "RATTANSHUNT_NODE_FILE=" + m_directory + "/" + m_name + ".flags";
    std::string log = logFile();
    pid_t parent = getpid();
    m_pid = fork();
    if (m_pid != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(2);
    int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    char program[] = "target/rattanshunt";
    char role[] = "gateway";
    char path[] = "PATH=/usr/bin:/bin";
    char* arguments[] = { program, role, nullptr };
    char* environment[] = { variable.data(), path, nullptr };
    execve(program, arguments, environment);
    _exit(2);
}

void Gateway::signal(int number)
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool Gateway::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid == 0;
}

void Gateway::stop()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

size_t Gateway::residentBytes()
{
    if (m_pid <= 0)
        return 0;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

bool Gateway::isReady()
{
    return call(m_readyPort, { "GET", "/rattanshunt/readiness", { { "Host", "ready" } }, "" }, Millis(1000)).status
        == 200;
}

bool Gateway::waitReady(Millis timeout)
{
    Clock::time_point until = Clock::now() + timeout;
    while (Clock::now() < until) {
        if (isReady())
            return true;
        sleepFor(Millis(50));
    }
    return false;
}

// ---- Others ------------------------------------------------------------------------------------

namespace {
    std::string s_directory;
    constexpr std::string_view base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}

std::string temporaryDirectory()
{
    char name[] = "/tmp/review-XXXXXX";
    s_directory = mkdtemp(name);
    return s_directory;
}

void finish(int code)
{
    std::error_code ignored;
    std::filesystem::remove_all(s_directory, ignored);
    std::_Exit(code);
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

std::string base64Encode(std::string_view bytes)
{
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            text += j <= bytes.size() - i ? base64Digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

std::string base64Decode(std::string_view text)
{
    std::string bytes;
    uint32_t group = 0;
    int bits = 0;
    for (char c : text) {
        size_t digit = base64Digits.find(c);
        if (digit == std::string_view::npos)
            break;
        group = group << 6 | static_cast<uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

void sleepFor(Millis time)
{
    std::this_thread::sleep_for(time);
}

int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Json entryOf(const std::string& service, uint16_t port, int slots, int64_t sequence, int64_t bornMillis)
{
    return Json { { "service", service }, { "address", "127.0.0.1:" + std::to_string(port) }, { "zone", "port-louis" },
        { "version", "v1" }, { "slots", slots }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", sequence },
        { "born", bornMillis } };
}

} // namespace review

#include "UnreliableReplica.h"

#include <fmt/format.h>

#include "net/Loop.h"

namespace rattanshunt::lab {

namespace {
    constexpr const char* seal = "seal";
}

UnreliableReplica::UnreliableReplica(net::Loop& loop, UnreliableReplicaOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_server(
          loop, [this](ByteConnection& connection, const net::HttpRequest& request) { respond(connection, request); })
{
}

bool UnreliableReplica::listen(std::string& error)
{
    return m_server.listen(error);
}

void UnreliableReplica::makeReliable()
{
    m_options.refusedFraction = 0;
    m_options.brokenFraction = 0;
    m_copies.clear();
}

std::string UnreliableReplica::entry() const
{
    return byteReplicaEntry("plain", m_server.address());
}

bool UnreliableReplica::draw(double fraction)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < fraction;
}

std::string UnreliableReplica::refusal(const std::string& requestId)
{
    static constexpr int statuses[] = { 503, 429, 421 };
    std::string id = draw(m_options.unidentifiedFraction) ? "" : "Request-Id: " + requestId + "\r\n";
    return fmt::format(
        "HTTP/1.1 {} Refused\r\n{}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", statuses[m_random() % 3], id);
}

void UnreliableReplica::respond(ByteConnection& connection, const net::HttpRequest& request)
{
    if (connection.requestNumber() == 0)
        m_copies[&connection].clear();
    std::string id(net::httpHeader(request.headers, "Request-Id"));
    std::string copy = std::exchange(m_copies[&connection], "");
    if (net::httpHeader(request.headers, "Expect-Instance") != m_options.id) {
        connection.send(copy + "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    if (draw(m_options.refusedFraction)) {
        std::string text = refusal(id);
        if (draw(m_options.copiedFraction))
            m_copies[&connection] = text;
        connection.send(copy + text);
        return;
    }
    ++m_runs[id];
    net::sleepFor(m_options.processingTime);
    std::string body = "answer to " + id;
    std::string answer
        = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Seal: {}\r\nContent-Length: {}\r\n\r\n{}", id, seal,
            body.size(), body);
    if (!draw(m_options.brokenFraction)) {
        connection.send(copy + answer);
        return;
    }
    switch (m_random() % 5) {
    case 0: // without a byte
        return connection.close();
    case 1:
        return connection.reset();
    case 2: // in the middle
        connection.send(copy + answer.substr(0, m_random() % answer.size()));
        return connection.close();
    case 3:
        connection.send(copy + answer.substr(0, m_random() % answer.size()));
        return connection.reset();
    default: // after the whole answer, which may be lost with the connection
        connection.send(copy + answer);
        return connection.reset();
    }
}

} // namespace rattanshunt::lab

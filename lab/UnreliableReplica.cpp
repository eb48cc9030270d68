#include "UnreliableReplica.h"

#include <fmt/format.h>

#include "ReplicaStandIn.h"
#include "net/Loop.h"

namespace rattanshunt::lab {

namespace {
    constexpr const char* seal = "seal";
}

UnreliableReplica::UnreliableReplica(net::Loop& loop, UnreliableReplicaOptions options)
    : m_loop(loop)
    , m_options(std::move(options))
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
    m_isReliable = true;
    m_options.refusedFraction = 0;
    m_options.fullFraction = 0;
    m_options.copiedFraction = 0;
    m_options.brokenFraction = 0;
    m_fullUntil = {};
    for (auto& [connection, known] : m_connections)
        known.copies.clear();
}

void UnreliableReplica::restart(const std::string& id)
{
    m_options.id = id;
    m_fullUntil = {};
    for (auto& [key, known] : std::exchange(m_connections, {})) {
        if (auto connection = known.connection.lock())
            connection->reset();
    }
}

std::string UnreliableReplica::entry() const
{
    return byteReplicaEntry("plain", m_server.address());
}

bool UnreliableReplica::draw(double fraction)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < fraction;
}

base::Millis UnreliableReplica::drawTime(base::Millis maxTime)
{
    return base::Millis(std::uniform_int_distribution<int64_t>(1, maxTime.count())(m_random));
}

void UnreliableReplica::record(const std::string& key, int connectionNumber, const std::string& text, bool isCopy)
{
    m_events.push_back({ base::Clock::now(), key, connectionNumber, text, isCopy });
}

// Without an id, only the place of a copy tells whose it is: it is written before the next response, never at a time
// of its own.
void UnreliableReplica::copyRefusal(
    ConnectionRecord& known, const std::string& key, const std::string& text, bool isIdentified)
{
    if (!draw(m_options.copiedFraction))
        return;
    int count = std::uniform_int_distribution<int>(1, m_options.maxCopies)(m_random);
    for (int i = 0; i < count; ++i) {
        if (!isIdentified || !draw(m_options.lateFraction)) {
            known.copies += text;
            known.copiesOf += fmt::format(" {}{}", key, isIdentified ? "" : " (without an id)");
            continue;
        }
        base::Millis delay = drawTime(m_options.maxCopyDelay);
        m_loop.spawn([this, weak = known.connection, number = known.number, key, text, delay] {
            net::sleepFor(delay);
            auto connection = weak.lock();
            if (m_isReliable || !connection || !connection->isOpen())
                return;
            record(key, number, "writes a late copy of its refusal", true);
            connection->send(text);
        });
    }
}

void UnreliableReplica::respond(ByteConnection& connection, const net::HttpRequest& request)
{
    ConnectionRecord& known = m_connections[&connection];
    if (connection.requestNumber() == 0 || !known.number)
        known = { connection.weak_from_this(), ++m_lastConnection, "", "" };
    std::string key = requestKey(request);
    ConnectionRecord due = std::exchange(known, { known.connection, known.number, "", "" });
    bool isMisdirected = net::httpHeader(request.headers, "Expect-Instance") != m_options.id;
    base::TimePoint now = base::Clock::now();
    if (now >= m_fullUntil && draw(m_options.fullFraction))
        m_fullUntil = now + drawTime(m_options.maxFullTime);
    if (!isMisdirected && now >= m_fullUntil && !draw(m_options.refusedFraction))
        return answer(connection, request, due);

    std::string id(net::httpHeader(request.headers, "Request-Id"));
    static constexpr int statuses[] = { 503, 429, 421, 400 };
    int status = isMisdirected ? 421 : now < m_fullUntil ? 503 : statuses[m_random() % (id.empty() ? 4 : 3)];
    bool isIdentified = !id.empty() && (isMisdirected || !draw(m_options.unidentifiedFraction));
    std::string text = fmt::format("HTTP/1.1 {} Refused\r\n{}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status,
        isIdentified ? "Request-Id: " + id + "\r\n" : "");
    if (!due.copies.empty())
        record(key, due.number, "writes copies of the refusals of" + due.copiesOf, true);
    record(key, due.number, fmt::format("refused: {}{}", status, isIdentified ? "" : ", without an id"));
    copyRefusal(known, key, text, isIdentified);
    connection.send(due.copies + text);
}

void UnreliableReplica::answer(ByteConnection& connection, const net::HttpRequest& request, const ConnectionRecord& due)
{
    std::string key = requestKey(request);
    std::string id(net::httpHeader(request.headers, "Request-Id"));
    ++m_runs[key];
    record(key, due.number, fmt::format("ran, as {}", m_options.id));
    net::sleepFor(drawTime(m_options.maxProcessingTime));
    if (!due.copies.empty())
        record(key, due.number, "writes copies of the refusals of" + due.copiesOf, true);
    std::string body = "answer to " + key;
    std::string answer = fmt::format("HTTP/1.1 200 OK\r\n{}Server-Seal: {}\r\nContent-Length: {}\r\n\r\n{}",
        id.empty() ? "" : "Request-Id: " + id + "\r\n", seal, body.size(), body);
    bool isBroken = draw(m_options.brokenFraction);
    record(key, due.number, isBroken ? "answers and breaks the connection" : "answered");
    if (!isBroken) {
        connection.send(due.copies + answer);
        return;
    }
    switch (m_random() % 5) {
    case 0: // without a byte
        return connection.close();
    case 1:
        return connection.reset();
    case 2: // in the middle
        connection.send(due.copies + answer.substr(0, m_random() % answer.size()));
        return connection.close();
    case 3:
        connection.send(due.copies + answer.substr(0, m_random() % answer.size()));
        return connection.reset();
    default: // after the whole answer, which may be lost with the connection
        connection.send(due.copies + answer);
        return connection.reset();
    }
}

} // namespace rattanshunt::lab

#include "Callers.h"

#include <fmt/format.h>

namespace rattanshunt::review {

namespace {
    constexpr base::Seconds callTimeout { 7 };
    constexpr base::Millis reconnectPause { 100 };
} // namespace

Callers::Callers(net::Loop& loop, Fleet& fleet, Record& record, CallerOptions options)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_record(record)
    , m_options(std::move(options))
{
}

void Callers::start()
{
    for (auto& daemon : m_fleet.daemons()) {
        for (int i = 0; i < m_options.callersPerDaemon; ++i) {
            ++m_running;
            m_loop.spawn([this, &daemon = *daemon, i] {
                callerLoop(daemon, i);
                --m_running;
            });
        }
    }
}

void Callers::stop()
{
    m_isDone = true;
    while (m_running)
        net::sleepFor(base::Millis(10));
}

size_t Callers::servedCount() const
{
    size_t count = 0;
    for (const auto& [id, request] : m_sent)
        count += request.status == 200;
    return count;
}

void Callers::callerLoop(Daemon& daemon, int number)
{
    std::unique_ptr<net::HttpConnection> connection;
    bool isKept = false;
    size_t turn = static_cast<size_t>(number);
    while (!m_isDone) {
        if (!connection || !connection->isReusable()) {
            connection = net::HttpConnection::create(m_loop, daemon.clientAddress);
            isKept = false;
            if (connection->connect(base::Clock::now() + base::Seconds(1)) != net::HttpCallError::None) {
                connection.reset();
                net::sleepFor(reconnectPause);
                continue;
            }
        }
        const auto& [route, model] = m_options.kinds[turn++ % m_options.kinds.size()];
        std::string id = fmt::format("{}{:012x}", m_options.idPrefix, ++m_lastId);
        net::HttpRequest call = lab::labRequest("/" + route + "/", id, model);
        if (m_options.bodyBytes)
            call.body = std::string(m_options.bodyBytes, 'b');
        SentRequest& request = m_sent[id];
        request = { id, daemon.name, route, model, isKept, m_record.elapsed(), 0, 0, "" };
        auto result = net::httpCall(*connection, call, base::Clock::now() + callTimeout);
        request.endedAt = m_record.elapsed();
        if (result.error == net::HttpCallError::None)
            request.status = result.response.status;
        else
            request.error = net::httpCallErrorName(result.error);
        m_record.write(fmt::format("request {} to {} /{}/ {} sent at {:.3f}{}: {}", id, daemon.name, route, model,
            request.sentAt, isKept ? " on a kept channel" : "",
            request.status ? fmt::format("answered {}", request.status) : "no answer, " + request.error));
        isKept = true;
        net::sleepFor(m_options.pause);
    }
}

} // namespace rattanshunt::review

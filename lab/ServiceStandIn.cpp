#include "ServiceStandIn.h"

#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

using nlohmann::json;

struct ServiceStandIn::Impl {
    explicit Impl(net::Loop& eventLoop)
        : loop(eventLoop)
    {
    }

    net::Loop& loop;
    std::optional<net::HttpServerHandle> server;
    std::map<std::string, int> runCounts;
    int cutAnswers = 0;
    base::Millis delay { 0 };
    bool sawKey = false;

    void handleRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        json body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
        if (request.target == "/runs") {
            exchange.respond({ 200, { { "Content-Type", "application/json" } },
                json({ { "runs", runCounts }, { "saw_key", sawKey } }).dump() });
            return;
        }
        if (request.target == "/faults") {
            cutAnswers = body.value("cut_answers", cutAnswers);
            delay = base::Millis(body.value("delay_ms", delay.count()));
            exchange.respond({ 200, {}, "{}" });
            return;
        }
        if (!net::httpHeader(request.headers, "Authorization").empty())
            sawKey = true;
        std::string call = body.is_object() ? body.value("call", std::string()) : std::string();
        if (call.empty())
            call = std::string(net::httpHeader(request.headers, "Idempotency-Key"));
        int count = ++runCounts[call];
        if (delay.count())
            net::sleepFor(delay);
        if (cutAnswers > 0) {
            --cutAnswers;
            exchange.startStream(200, {});
            return;
        }
        json responseBody = { { "call", call }, { "run", count } };
        exchange.respond({ 200,
            { { "Content-Type", "application/json" },
                { "X-Request-Id", std::string(net::httpHeader(request.headers, "X-Request-Id")) } },
            responseBody.dump() });
    }
};

ServiceStandIn::ServiceStandIn(net::Loop& loop)
    : m_impl(std::make_shared<Impl>(loop))
{
}

ServiceStandIn::~ServiceStandIn() = default;

bool ServiceStandIn::listen(base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl](net::HttpExchange& exchange) { impl->handleRequest(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    m_impl->server = net::httpServe(m_impl->loop, address, {}, std::move(events), error);
    if (m_impl->server)
        address = m_impl->server->address;
    return m_impl->server.has_value();
}

void ServiceStandIn::stop()
{
    if (m_impl->server)
        m_impl->server->stopAccepting();
}

} // namespace rattanshunt::lab

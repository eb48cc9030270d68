#include "coordination/KvClient.h"

#include <set>

#include <nlohmann/json.hpp>

#include "base/Counters.h"
#include "base/Json.h"
#include "coordination/KvCodec.h"

namespace rattanshunt::coordination {

using nlohmann::json;

struct HttpKv::Impl {
    net::Loop& loop;
    KvClientOptions options;
    std::vector<std::unique_ptr<net::HttpConnection>> idle;
    std::set<net::HttpConnection*> active;
    size_t nextAddress = 0;
    bool isClosed = false;

    static constexpr size_t maxIdleConnections = 8;

    // An idle connection that can be reused, or a new one.
    std::unique_ptr<net::HttpConnection> acquireConnection()
    {
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (connection->isReusable())
                return connection;
        }
        return net::HttpConnection::create(loop, options.addresses[nextAddress % options.addresses.size()]);
    }

    // Response of the service, or why there is none.
    struct CallResult {
        KvError error = KvError::NotApplied;
        json body;
    };

    CallResult call(const std::string& target, const json& request, base::Duration timeout)
    {
        base::counterAddLabelled("kv_calls_total", "call", target);
        if (isClosed)
            return {};
        auto connection = acquireConnection();
        active.insert(connection.get());
        net::HttpRequest message { "POST", target, { { "Content-Type", "application/json" } }, request.dump() };
        net::HttpResult result = net::httpCall(*connection, message, base::Clock::now() + timeout);
        active.erase(connection.get());
        CallResult callResult;
        if (result.error != net::HttpCallError::None) {
            ++nextAddress;
            base::counterAddLabelled("kv_failures_total", "error", net::httpCallErrorName(result.error));
            callResult.error
                = result.error == net::HttpCallError::ConnectFailed ? KvError::NotApplied : KvError::OutcomeUnknown;
            return callResult;
        }
        if (idle.size() < maxIdleConnections && connection->isReusable())
            idle.push_back(std::move(connection));
        // With any status other than 200 the service has refused the call without effect.
        if (result.response.status != 200)
            return callResult;
        callResult.body = base::jsonTryParse(result.response.body);
        callResult.error = callResult.body.is_object() ? KvError::None : KvError::OutcomeUnknown;
        return callResult;
    }
};

HttpKv::HttpKv(net::Loop& loop, KvClientOptions options)
    : m_impl(std::make_unique<Impl>(Impl { loop, std::move(options), {}, {} }))
{
}

HttpKv::~HttpKv() = default;

namespace {
    Revision headerRevision(const json& body)
    {
        return body.contains("header") && body["header"].is_object() ? kvNumber(body["header"], "revision") : 0;
    }

    KvRangeResult toRangeResult(KvError error, const json& body)
    {
        KvRangeResult result;
        result.error = error;
        if (error != KvError::None)
            return result;
        result.revision = headerRevision(body);
        if (!body.contains("kvs"))
            return result;
        for (const json& item : body["kvs"]) {
            if (auto entry = kvEntryFromJson(item))
                result.entries.push_back(std::move(*entry));
        }
        return result;
    }
}

KvRangeResult HttpKv::range(const std::string& prefix, const std::string& after)
{
    std::string first = after.empty() ? prefix : after + '\0'; // the smallest key greater than `after`
    json request = { { "key", base::base64Encode(first) }, { "range_end", base::base64Encode(kvPrefixEnd(prefix)) } };
    auto callResult = m_impl->call("/v3/kv/range", request, m_impl->options.callTimeout);
    return toRangeResult(callResult.error, callResult.body);
}

KvRangeResult HttpKv::get(const std::string& key)
{
    auto callResult = m_impl->call("/v3/kv/range", { { "key", base::base64Encode(key) } }, m_impl->options.callTimeout);
    return toRangeResult(callResult.error, callResult.body);
}

KvTxnResult HttpKv::txn(const std::vector<KvCompare>& compares, const std::vector<KvWrite>& writes)
{
    auto callResult = m_impl->call("/v3/kv/txn", kvTxnToJson(compares, writes), m_impl->options.callTimeout);
    KvTxnResult result;
    result.error = callResult.error;
    if (callResult.error != KvError::None)
        return result;
    result.revision = headerRevision(callResult.body);
    result.isApplied = callResult.body.value("succeeded", false);
    if (result.isApplied || !callResult.body.contains("responses"))
        return result;
    for (const json& response : callResult.body["responses"]) {
        if (!response.contains("response_range") || !response["response_range"].contains("kvs"))
            continue;
        for (const json& item : response["response_range"]["kvs"]) {
            if (auto entry = kvEntryFromJson(item))
                result.current.push_back(std::move(*entry));
        }
    }
    return result;
}

KvLeaseResult HttpKv::leaseGrant(base::Millis timeToLive)
{
    base::Seconds seconds = std::chrono::ceil<base::Seconds>(timeToLive);
    auto callResult
        = m_impl->call("/v3/lease/grant", { { "TTL", std::to_string(seconds.count()) } }, m_impl->options.callTimeout);
    KvLeaseResult result { callResult.error, 0, seconds };
    if (callResult.error == KvError::None)
        result.lease = kvNumber(callResult.body, "ID");
    return result;
}

KvLeaseResult HttpKv::leaseRenew(int64_t lease)
{
    auto callResult
        = m_impl->call("/v3/lease/keepalive", { { "ID", std::to_string(lease) } }, m_impl->options.callTimeout);
    KvLeaseResult result { callResult.error };
    if (callResult.error != KvError::None || !callResult.body.contains("result"))
        return result;
    result.timeToLive = base::Seconds(kvNumber(callResult.body["result"], "TTL"));
    if (result.timeToLive.count() > 0)
        result.lease = lease;
    return result;
}

KvError HttpKv::leaseRevoke(int64_t lease)
{
    return m_impl->call("/v3/lease/revoke", { { "ID", std::to_string(lease) } }, m_impl->options.callTimeout).error;
}

namespace {
    constexpr size_t maxWatchLineBytes = net::maxCallBodyBytes;

    // Handles one line of a watch's response. Returns false if the watch must end.
    bool handleWatchLine(
        const std::string& line, const std::function<bool(const std::vector<KvEvent>&, Revision)>& onEvents)
    {
        json message = base::jsonTryParse(line);
        if (!message.is_object() || !message.contains("result"))
            return false;
        const json& result = message["result"];
        std::vector<KvEvent> events;
        if (result.contains("events")) {
            for (const json& item : result["events"]) {
                auto event = kvEventFromJson(item);
                if (!event)
                    return false;
                events.push_back(std::move(*event));
            }
        }
        if (result.value("canceled", false))
            return false;
        return onEvents(events, headerRevision(result));
    }
}

void HttpKv::watch(const std::string& prefix, Revision from,
    const std::function<bool(const std::vector<KvEvent>&, Revision)>& onEvents)
{
    base::counterAddLabelled("kv_calls_total", "call", "/v3/watch");
    if (m_impl->isClosed)
        return;
    auto connection = net::HttpConnection::create(
        m_impl->loop, m_impl->options.addresses[m_impl->nextAddress % m_impl->options.addresses.size()]);
    json create = { { "key", base::base64Encode(prefix) }, { "range_end", base::base64Encode(kvPrefixEnd(prefix)) },
        { "start_revision", std::to_string(from) }, { "progress_notify", true } };
    json request = { { "create_request", std::move(create) } };
    net::HttpRequest message { "POST", "/v3/watch", { { "Content-Type", "application/json" } }, request.dump() };
    auto deadline = [&] { return base::Clock::now() + m_impl->options.watchTimeout; };
    m_impl->active.insert(connection.get());
    net::HttpResponse response;
    bool isOpen = connection->connect(deadline()) == net::HttpCallError::None
        && connection->send(message, deadline()) == net::HttpCallError::None
        && connection->readHead(response, deadline()) == net::HttpCallError::None && response.status == 200;
    if (!isOpen)
        ++m_impl->nextAddress;
    std::string text;
    bool isEnd = false;
    // Bytes that complete no line do not extend the time.
    base::TimePoint lineDeadline = deadline();
    while (isOpen && !isEnd && text.size() <= maxWatchLineBytes) {
        size_t searchFrom = text.size();
        if (connection->readSome(text, isEnd, lineDeadline) != net::HttpCallError::None)
            break;
        size_t end;
        while (isOpen && (end = text.find('\n', searchFrom)) != std::string::npos) {
            isOpen = handleWatchLine(text.substr(0, end), onEvents);
            text.erase(0, end + 1);
            searchFrom = 0;
            lineDeadline = deadline();
        }
    }
    m_impl->active.erase(connection.get());
}

void HttpKv::close()
{
    m_impl->isClosed = true;
    for (net::HttpConnection* connection : m_impl->active)
        connection->cancel();
}

} // namespace rattanshunt::coordination

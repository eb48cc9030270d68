#include "entry/RequestServer.h"

#include "base/Counters.h"
#include "base/Log.h"
#include "entry/RequestState.h"

namespace rattanshunt::entry {

using base::LogLevel;

namespace {
    constexpr double maxAvailableRetries = 10;      // retries that the budget can accumulate
    constexpr double serviceTimeSafetyFactor = 1.5; // multiple of the average that is reserved before a deadline
    constexpr double serviceTimeSmoothing = 0.1;    // weight of the latest request in the average service time
    constexpr base::Millis minServiceTime { 10 };
    constexpr size_t maxIdlePerEndpoint = 64;
}

ThreadState::ThreadState(net::Loop& ownLoop, DaemonContext& ownContext)
    : loop(ownLoop)
    , context(ownContext)
    , connectionPool(ownLoop, { .maxIdlePerAddress = maxIdlePerEndpoint })
    , tokenCache(ownLoop, ownContext.budget, ownContext.settings.tokenValidity)
    , replicaScheduler(ownLoop, ownContext)
{
    requestLimits.maxOutputTokens = context.settings.maxOutputTokens;
    requestLimits.defaultDeadline = context.settings.defaultDeadline;
    requestLimits.maxDeadline = context.settings.maxDeadline;
}

base::TimePoint latestStartTime(const ServiceTimes& times, const std::string& model, double tokens,
    base::TimePoint arrivedAt, base::TimePoint deadline)
{
    auto found = times.secondsPerToken.find(model);
    double expectedSeconds
        = found == times.secondsPerToken.end() ? 0 : found->second * tokens * serviceTimeSafetyFactor;
    base::Duration margin = std::max<base::Duration>(base::durationOf(expectedSeconds), minServiceTime);
    // Even for a slow model, half of the time remains for waiting.
    return deadline - std::min<base::Duration>(margin, (deadline - arrivedAt) / 2);
}

void serviceTimeRecord(ServiceTimes& times, const std::string& model, double tokens, base::Duration duration)
{
    if (tokens < 1)
        return;
    double sample = base::secondsOf(duration) / tokens;
    auto [found, isNew] = times.secondsPerToken.emplace(model, sample);
    if (!isNew)
        found->second += (sample - found->second) * serviceTimeSmoothing;
}

Reason checkBeforeSend(ThreadState& thread, const RequestState& request)
{
    if (request.isCallerGone)
        return Reason::CallerGone;
    if (request.keyDigest.empty())
        return Reason::None;
    if (!thread.context.isKeyDataFresh(base::Clock::now()))
        return Reason::ConfigurationStale;
    auto catalog = thread.context.catalog();
    auto key = catalog->keysByDigest.find(request.keyDigest);
    if (key == catalog->keysByDigest.end())
        return Reason::KeyUnknown;
    return key->second.isWithdrawn ? Reason::KeyWithdrawn : Reason::None;
}

bool retryTokenTake(ThreadState& thread)
{
    if (thread.availableRetries < 1)
        return false;
    thread.availableRetries -= 1;
    base::counterAdd("requests_repeated_total");
    return true;
}

RequestResult reserveTokens(
    ThreadState& thread, RequestState& request, double tokens, resources::PriorityClass priority)
{
    if (request.account.empty() || tokens <= 0)
        return {};
    TokenCache::AcquireResult acquired = thread.tokenCache.acquire(
        request.account, tokens, priority, request.arrivedAt, request.startDeadline, request.grants);
    request.reservedTokens = tokens;
    switch (acquired.status) {
    case TokenCache::AcquireStatus::Granted:
        return {};
    case TokenCache::AcquireStatus::Refused:
        return { Reason::OverRate, "", acquired.retryAfter };
    case TokenCache::AcquireStatus::ExceedsBurst:
        return { Reason::OverBurst, fmt::format("{} tokens", tokens) };
    case TokenCache::AcquireStatus::Unreachable:
        return { Reason::BudgetUnreachable, "" };
    }
    return { Reason::BudgetUnreachable, "" };
}

struct RequestServer::Impl {
    Impl(net::Loop& loop, DaemonContext& context)
        : thread(loop, context)
    {
    }

    ThreadState thread;
    std::optional<net::HttpServerHandle> server;
    mutable std::mutex requestStatsMutex;
    reports::RequestStats requestStats;

    void onRequest(net::HttpExchange& exchange)
    {
        ++thread.requestsInFlight;
        RequestState request { exchange, "", base::Clock::now() };
        std::string_view callerRequestId = net::httpHeader(exchange.request().headers, headerRequestId);
        request.id = isValidRequestId(callerRequestId) ? std::string(callerRequestId) : base::randomId();
        thread.availableRetries = std::min(maxAvailableRetries,
            thread.availableRetries + static_cast<double>(thread.context.settings.retryBudgetPercent) / 100);
        RequestResult result;
        try {
            result = serve(request);
        } catch (const std::exception& error) {
            // Not expected. The request may have been executed, so the outcome is reported as unknown.
            base::logEvent(LogLevel::Error, "request.fault", { { "id", request.id }, { "what", error.what() } });
            result = { Reason::EndpointLost, "internal error" };
        }
        thread.tokenCache.settle(request.account, request.grants, request.usedTokens);
        finish(request, result);
        --thread.requestsInFlight;
    }

    RequestResult serve(RequestState& request)
    {
        const net::HttpRequest& message = request.exchange.request();
        std::string_view path = targetPath(message.target);
        if (path == "/healthz" || path == "/readyz")
            return respondToProbe(request, path == "/healthz" || isReady());
        if (!isUnambiguousTarget(message.target))
            return { Reason::MalformedRequest,
                "target: must be a path without dot segments, empty segments or unsafe characters" };
        if (!thread.context.isReady() && !thread.context.isDraining())
            return { Reason::ConfigurationStale, "this instance is starting" };
        DeadlineParseResult deadline = deadlineParse(message.headers, thread.requestLimits);
        if (!deadline.isValid)
            return { Reason::MalformedRequest,
                "X-Deadline-Ms: must be a whole number of milliseconds within the limit" };
        request.deadline = request.arrivedAt + deadline.duration;
        request.startDeadline = request.deadline;
        request.exchange.setDisconnectHandler([&request] {
            request.isCallerGone = true;
            if (request.connectionToCancel)
                request.connectionToCancel->cancel();
        });
        return path.starts_with("/v1/") ? serveModelApi(request, path) : serveServiceCall(request, path);
    }

    // Without fresh key data, this instance refuses all requests with a key: load balancers should use other instances.
    bool isReady() const { return thread.context.isReady() && thread.context.isKeyDataFresh(base::Clock::now()); }

    RequestResult serveModelApi(RequestState& request, std::string_view path)
    {
        const net::HttpRequest& message = request.exchange.request();
        if (path != "/v1/completions" && path != "/v1/models")
            return { Reason::UnknownRoute, std::string(path) };
        if (message.method != (path == "/v1/models" ? "GET" : "POST"))
            return { Reason::MethodNotAllowed, message.method };
        Reason reason = authenticate(request);
        if (reason != Reason::None)
            return { reason, "" };
        return path == "/v1/models" ? listModels(request) : serveCompletion(thread, request);
    }

    RequestResult serveServiceCall(RequestState& request, std::string_view path)
    {
        auto catalog = thread.context.catalog();
        const resources::Route* route = resources::catalogFindRoute(*catalog, path);
        if (!route)
            return { Reason::UnknownRoute, std::string(path) };
        request.subject = route->name;
        request.deadline = std::min<base::TimePoint>(request.deadline, request.arrivedAt + route->timeout);
        request.startDeadline = request.deadline;
        Reason reason = route->isPublic ? Reason::None : authenticate(request);
        if (reason != Reason::None)
            return { reason, "" };
        return serveRoute(thread, request, *route);
    }

    Reason authenticate(RequestState& request)
    {
        auto secret = keySecretParse(request.exchange.request().headers);
        if (!secret)
            return Reason::KeyMissing;
        if (!thread.context.isKeyDataFresh(base::Clock::now()))
            return Reason::ConfigurationStale;
        std::string digest = base::hexEncode(base::sha256(*secret));
        auto catalog = thread.context.catalog();
        auto key = catalog->keysByDigest.find(digest);
        bool isKnown = key != catalog->keysByDigest.end() && base::equalConstantTime(key->first, digest);
        if (!isKnown)
            return Reason::KeyUnknown;
        request.account = key->second.account;
        request.keyDigest = digest;
        if (key->second.isWithdrawn)
            return Reason::KeyWithdrawn;
        return catalog->accounts.contains(request.account) ? Reason::None : Reason::AccountMissing;
    }

    RequestResult respondToProbe(RequestState& request, bool isHealthy)
    {
        request.exchange.respond(
            { isHealthy ? 200 : 503, { { "Content-Type", "text/plain" } }, isHealthy ? "ok\n" : "not ready\n" });
        return { Reason::None, "probe", base::Millis(0), true };
    }

    RequestResult listModels(RequestState& request)
    {
        auto catalog = thread.context.catalog();
        nlohmann::json data = nlohmann::json::array();
        for (auto& [name, model] : catalog->models)
            data.push_back({ { "id", name }, { "object", "model" } });
        for (auto& [name, adapter] : catalog->adapters)
            data.push_back({ { "id", name }, { "object", "model" }, { "parent", adapter.model } });
        nlohmann::json body = { { "object", "list" }, { "data", std::move(data) } };
        request.exchange.respond({ 200,
            { { "Content-Type", "application/json" }, { headerRequestId, request.id }, { headerOutcome, "complete" } },
            body.dump() });
        return { Reason::None, "", base::Millis(0), true };
    }

    void finish(RequestState& request, const RequestResult& result)
    {
        Reason reason = result.reason;
        if (result.detail == "probe" && result.isResponseSent)
            return;
        if (!result.isResponseSent && reason != Reason::None) {
            bool isDelivered = request.hasStreamStarted
                ? finishTruncatedStream(request, result)
                : request.exchange.respond(reasonResponse(reason, request.id, result.detail, result.retryAfter));
            if (!isDelivered && reasonInfo(reason).outcome == Outcome::Unknown)
                reason = Reason::CallerGone;
        }
        record(request, reason);
    }

    // Ends a truncated stream with an error event. The missing [DONE] also shows that the stream is incomplete.
    bool finishTruncatedStream(RequestState& request, const RequestResult& result)
    {
        request.exchange.sendChunk(
            "event: error\ndata: " + reasonResponseBody(result.reason, request.id, result.detail) + "\n\n");
        return request.exchange.finishStream();
    }

    void record(const RequestState& request, Reason reason)
    {
        const ReasonInfo& info = reasonInfo(reason);
        base::TimePoint now = base::Clock::now();
        reports::RequestRecord requestRecord;
        requestRecord.account = request.account;
        requestRecord.subject = request.subject;
        requestRecord.reason = info.name;
        requestRecord.isRefusal = info.outcome == Outcome::RefusedNotRun;
        requestRecord.isOutcomeUnknown = info.outcome == Outcome::Unknown;
        requestRecord.isClientError = info.isCallersFault;
        requestRecord.wasColdStart = request.wasColdStart;
        requestRecord.coldStartWait = request.coldStartWait;
        requestRecord.timeToFirstByte
            = (request.firstByteAt == base::TimePoint {} ? now : request.firstByteAt) - request.arrivedAt;
        requestRecord.tokens = request.usedTokens;
        {
            std::lock_guard lock(requestStatsMutex);
            reports::requestStatsRecord(requestStats, requestRecord, reports::minuteNow());
        }
        base::counterAddLabelled("requests_total", "reason", info.name);
        auto micros = std::chrono::duration_cast<base::Micros>(now - request.arrivedAt).count();
        base::logEvent(info.outcome == Outcome::Complete ? LogLevel::Debug : LogLevel::Info, "request",
            { { "id", request.id }, { "account", request.account }, { "subject", request.subject },
                { "outcome", outcomeName(info.outcome) }, { "reason", info.name }, { "us", micros },
                { "tokens", request.usedTokens } });
    }
};

RequestServer::RequestServer(net::Loop& loop, DaemonContext& context)
    : m_impl(std::make_unique<Impl>(loop, context))
{
}

RequestServer::~RequestServer() = default;

bool RequestServer::listen(base::Address& address, std::string& error)
{
    net::HttpServerLimits limits;
    limits.maxBodyBytes = m_impl->thread.context.settings.maxBodyBytes;
    limits.maxConnections = m_impl->thread.context.settings.maxConnections;
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl.get()](net::HttpExchange& exchange) { impl->onRequest(exchange); };
    events.onMalformed = [](int status, std::string_view reason) {
        net::HttpResponse response = reasonResponse(Reason::MalformedRequest, base::randomId(), std::string(reason));
        response.status = status;
        return response;
    };
    events.isDraining = [impl = m_impl.get()] { return impl->thread.context.isDraining(); };
    m_impl->server = net::httpServe(m_impl->thread.loop, address, limits, std::move(events), error);
    if (m_impl->server)
        address = m_impl->server->address;
    return m_impl->server.has_value();
}

void RequestServer::stopAccepting()
{
    if (m_impl->server)
        m_impl->server->stopAccepting();
}

void RequestServer::abort()
{
    stopAccepting();
    if (m_impl->server)
        m_impl->server->closeAll();
    auto connections = m_impl->thread.activeConnections;
    for (net::HttpConnection* connection : connections)
        connection->cancel();
}

size_t RequestServer::requestsInFlight() const
{
    return m_impl->thread.requestsInFlight;
}
size_t RequestServer::connectionCount() const
{
    return m_impl->server ? m_impl->server->connectionCount() : 0;
}
void RequestServer::returnTokens()
{
    m_impl->thread.tokenCache.returnAll();
}

void RequestServer::addRequestStatsTo(reports::RequestStats& stats) const
{
    std::lock_guard lock(m_impl->requestStatsMutex);
    reports::requestStatsMerge(stats, m_impl->requestStats);
}

} // namespace rattanshunt::entry

#include "entry/RequestServer.h"

#include "base/Counters.h"
#include "base/Log.h"
#include "entry/RequestState.h"

namespace rattanshunt::entry {

using base::LogLevel;

namespace {
    constexpr double retryReserve = 10;   // repeats that may come at once
    constexpr double serviceMargin = 1.5; // times the usual service time that is kept free before a deadline
    constexpr double serviceMemory = 0.1; // weight of the latest request in the usual service time
    constexpr base::Millis leastServiceTime { 10 };
}

ThreadState::ThreadState(net::Loop& ownLoop, Backbone& ownBackbone)
    : loop(ownLoop)
    , backbone(ownBackbone)
    , pool(ownLoop)
    , wallet(ownLoop, ownBackbone.budget, ownBackbone.settings.tokenValidity)
    , replicas(ownLoop, ownBackbone)
{
    limits.maxOutputTokens = backbone.settings.maxOutputTokens;
    limits.deadline = backbone.settings.requestDeadline;
    limits.maxDeadline = backbone.settings.maxDeadline;
}

base::TimePoint latestStart(const ServiceTimes& times, const std::string& model, double tokens,
    base::TimePoint arrivedAt, base::TimePoint deadline)
{
    auto found = times.secondsPerToken.find(model);
    double needed = found == times.secondsPerToken.end() ? 0 : found->second * tokens * serviceMargin;
    base::Duration margin = std::max<base::Duration>(base::durationOf(needed), leastServiceTime);
    // However slow the model was, half of the time is left for waiting.
    return deadline - std::min<base::Duration>(margin, (deadline - arrivedAt) / 2);
}

void serviceTimeNote(ServiceTimes& times, const std::string& model, double tokens, base::Duration took)
{
    if (tokens < 1)
        return;
    double sample = base::secondsOf(took) / tokens;
    auto [found, isNew] = times.secondsPerToken.emplace(model, sample);
    if (!isNew)
        found->second += (sample - found->second) * serviceMemory;
}

Reason lastCheck(ThreadState& thread, const RequestState& request)
{
    if (request.isCallerGone)
        return Reason::CallerGone;
    if (request.keyDigest.empty())
        return Reason::None;
    if (!thread.backbone.mayServeKeys(base::Clock::now()))
        return Reason::ConfigurationStale;
    auto catalog = thread.backbone.catalog();
    auto key = catalog->keysByDigest.find(request.keyDigest);
    if (key == catalog->keysByDigest.end())
        return Reason::KeyUnknown;
    return key->second.isWithdrawn ? Reason::KeyWithdrawn : Reason::None;
}

bool takeRetry(ThreadState& thread)
{
    if (thread.retryTokens < 1)
        return false;
    thread.retryTokens -= 1;
    base::counterAdd("requests_repeated_total");
    return true;
}

RequestEnd reserveTokens(ThreadState& thread, RequestState& request, double tokens, resources::ValueClass value)
{
    if (request.account.empty() || tokens <= 0)
        return {};
    Wallet::Answer answer
        = thread.wallet.acquire(request.account, tokens, value, request.arrivedAt, request.startBy, request.grants);
    request.reserved = tokens;
    switch (answer.result) {
    case Wallet::Result::Granted:
        return {};
    case Wallet::Result::Refused:
        return { Reason::OverRate, "", answer.retryAfter };
    case Wallet::Result::Never:
        return { Reason::OverBurst, fmt::format("{} tokens", tokens) };
    case Wallet::Result::Unreachable:
        return { Reason::BudgetUnreachable, "" };
    }
    return { Reason::BudgetUnreachable, "" };
}

struct Entry::Impl {
    Impl(net::Loop& loop, Backbone& backbone)
        : thread(loop, backbone)
    {
    }

    ThreadState thread;
    std::optional<net::HttpServerHandle> server;
    mutable std::mutex bookMutex;
    reports::Book book;

    void onRequest(net::HttpExchange& exchange)
    {
        ++thread.underWay;
        RequestState request { exchange, "", base::Clock::now() };
        std::string_view givenId = net::httpHeader(exchange.request().headers, headerRequestId);
        request.id = isRequestId(givenId) ? std::string(givenId) : base::randomId();
        thread.retryTokens = std::min(
            retryReserve, thread.retryTokens + static_cast<double>(thread.backbone.settings.retryBudgetPercent) / 100);
        RequestEnd end;
        try {
            end = serve(request);
        } catch (const std::exception& error) {
            // Nothing throws on purpose; the caller still gets a truthful answer.
            base::logEvent(LogLevel::Error, "request.fault", { { "id", request.id }, { "what", error.what() } });
            end = { Reason::EndpointLost, "internal fault" };
        }
        thread.wallet.settle(request.account, request.grants, request.used);
        finish(request, end);
        --thread.underWay;
    }

    RequestEnd serve(RequestState& request)
    {
        const net::HttpRequest& message = request.exchange.request();
        std::string_view path = targetPath(message.target);
        if (path == "/healthz" || path == "/readyz")
            return answerProbe(request, path == "/healthz" || isReady());
        if (!isPlainTarget(message.target))
            return { Reason::MalformedRequest, "target: must be a plain path" };
        if (!thread.backbone.isReady() && !thread.backbone.isDraining())
            return { Reason::ConfigurationStale, "this instance is starting" };
        DeadlineOutcome deadline = deadlineRead(message.headers, thread.limits);
        if (!deadline.isValid)
            return { Reason::MalformedRequest,
                "X-Deadline-Ms: must be a whole number of milliseconds within the limit" };
        request.deadline = request.arrivedAt + deadline.time;
        request.startBy = request.deadline;
        request.exchange.watchCaller([&request] {
            request.isCallerGone = true;
            if (request.sending)
                request.sending->cancel();
        });
        return path.starts_with("/v1/") ? serveModels(request, path) : serveServices(request, path);
    }

    // An instance that is cut off would refuse all keys: the balancer should use others.
    bool isReady() const { return thread.backbone.isReady() && thread.backbone.mayServeKeys(base::Clock::now()); }

    RequestEnd serveModels(RequestState& request, std::string_view path)
    {
        const net::HttpRequest& message = request.exchange.request();
        if (path != "/v1/completions" && path != "/v1/models")
            return { Reason::UnknownRoute, std::string(path) };
        if (message.method != (path == "/v1/models" ? "GET" : "POST"))
            return { Reason::MethodNotAllowed, message.method };
        Reason reason = checkKey(request);
        if (reason != Reason::None)
            return { reason, "" };
        return path == "/v1/models" ? listModels(request) : serveCompletion(thread, request);
    }

    RequestEnd serveServices(RequestState& request, std::string_view path)
    {
        auto catalog = thread.backbone.catalog();
        const resources::Route* route = resources::catalogRoute(*catalog, path);
        if (!route)
            return { Reason::UnknownRoute, std::string(path) };
        request.subject = route->name;
        request.deadline = std::min<base::TimePoint>(request.deadline, request.arrivedAt + route->timeout);
        request.startBy = request.deadline;
        Reason reason = route->isOpen ? Reason::None : checkKey(request);
        if (reason != Reason::None)
            return { reason, "" };
        return serveRoute(thread, request, *route);
    }

    Reason checkKey(RequestState& request)
    {
        auto secret = keySecretRead(request.exchange.request().headers);
        if (!secret)
            return Reason::KeyMissing;
        if (!thread.backbone.mayServeKeys(base::Clock::now()))
            return Reason::ConfigurationStale;
        std::string digest = base::hexEncode(base::sha256(*secret));
        auto catalog = thread.backbone.catalog();
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

    RequestEnd answerProbe(RequestState& request, bool isGood)
    {
        request.exchange.respond(
            { isGood ? 200 : 503, { { "Content-Type", "text/plain" } }, isGood ? "ok\n" : "not ready\n" });
        return { Reason::None, "probe", base::Millis(0), true };
    }

    RequestEnd listModels(RequestState& request)
    {
        auto catalog = thread.backbone.catalog();
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

    void finish(RequestState& request, const RequestEnd& end)
    {
        Reason reason = end.reason;
        if (end.detail == "probe" && end.isAnswered)
            return;
        if (!end.isAnswered && reason != Reason::None) {
            bool isDelivered = request.hasStreamStarted
                ? finishBrokenStream(request, end)
                : request.exchange.respond(reasonResponse(reason, request.id, end.detail, end.retryAfter));
            if (!isDelivered && reasonInfo(reason).outcome == Outcome::Unknown)
                reason = Reason::CallerGone;
        }
        record(request, reason);
    }

    // A stream that was cut: the caller is told in an event, and the missing end mark says that it is not whole.
    bool finishBrokenStream(RequestState& request, const RequestEnd& end)
    {
        request.exchange.sendChunk("event: error\ndata: " + reasonBody(end.reason, request.id, end.detail) + "\n\n");
        return request.exchange.finishStream();
    }

    void record(const RequestState& request, Reason reason)
    {
        const ReasonInfo& info = reasonInfo(reason);
        base::TimePoint now = base::Clock::now();
        reports::RequestRecord entry;
        entry.account = request.account;
        entry.subject = request.subject;
        entry.reason = info.name;
        entry.isRefusal = info.outcome == Outcome::RefusedNotRun;
        entry.isUnknown = info.outcome == Outcome::Unknown;
        entry.isCallersFault = info.isCallersFault;
        entry.wasCold = request.wasCold;
        entry.coldWait = request.coldWait;
        entry.firstByte = (request.firstByteAt == base::TimePoint {} ? now : request.firstByteAt) - request.arrivedAt;
        entry.tokens = request.used;
        {
            std::lock_guard lock(bookMutex);
            reports::bookRecord(book, entry, reports::minuteNow());
        }
        base::counterAddLabelled("requests_total", "reason", info.name);
        auto micros = std::chrono::duration_cast<base::Micros>(now - request.arrivedAt).count();
        base::logEvent(info.outcome == Outcome::Complete ? LogLevel::Debug : LogLevel::Info, "request",
            { { "id", request.id }, { "account", request.account }, { "subject", request.subject },
                { "outcome", outcomeName(info.outcome) }, { "reason", info.name }, { "us", micros },
                { "tokens", request.used } });
    }
};

Entry::Entry(net::Loop& loop, Backbone& backbone)
    : m_impl(std::make_unique<Impl>(loop, backbone))
{
}

Entry::~Entry() = default;

bool Entry::listen(base::Address& address, std::string& error)
{
    net::HttpServerLimits limits;
    limits.bodyBytes = m_impl->thread.backbone.settings.maxBodyBytes;
    limits.connections = m_impl->thread.backbone.settings.maxConnections;
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl.get()](net::HttpExchange& exchange) { impl->onRequest(exchange); };
    events.onMalformed = [](int status, std::string_view reason) {
        net::HttpResponse response = reasonResponse(Reason::MalformedRequest, base::randomId(), std::string(reason));
        response.status = status;
        return response;
    };
    events.isDraining = [impl = m_impl.get()] { return impl->thread.backbone.isDraining(); };
    m_impl->server = net::httpServe(m_impl->thread.loop, address, limits, std::move(events), error);
    if (m_impl->server)
        address = m_impl->server->address;
    return m_impl->server.has_value();
}

void Entry::stopAccepting()
{
    if (m_impl->server)
        m_impl->server->stopAccepting();
}

void Entry::abort()
{
    stopAccepting();
    if (m_impl->server)
        m_impl->server->closeAll();
    auto calling = m_impl->thread.calling;
    for (net::HttpConnection* connection : calling)
        connection->cancel();
}

size_t Entry::requestsUnderWay() const
{
    return m_impl->thread.underWay;
}
size_t Entry::connectionCount() const
{
    return m_impl->server ? m_impl->server->connectionCount() : 0;
}
void Entry::close()
{
    m_impl->thread.wallet.close();
}

void Entry::readBook(reports::Book& book) const
{
    std::lock_guard lock(m_impl->bookMutex);
    reports::bookMerge(book, m_impl->book);
}

} // namespace rattanshunt::entry

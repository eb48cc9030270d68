#include "gateway/Gateway.h"

#include <cmath>

#include "base/Counters.h"
#include "base/Histograms.h"
#include "base/Log.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

namespace {

    constexpr int urgencyFirst = 2; // of the most urgent requests; 0 and 1 stay free
    constexpr int urgencyLast = 9;

    constexpr double rateLeast = 0.001; // arrivals a second below which a model is forgotten

    hub::DemandKey demandKey(const RequestContext& session)
    {
        return { session.service->name, session.head.model, session.head.adapter };
    }

    int64_t millisSince(BootTime now, BootTime then)
    {
        return std::chrono::duration_cast<base::Millis>(now - then).count();
    }

} // namespace

Gateway::Gateway(net::Loop& loop, GatewayOptions options, const WireCodec& dialect, hub::HubSync& fabric)
    : m_loop(loop)
    , m_options(options)
    , m_codec(dialect)
    , m_hubSync(fabric)
    , m_connectionPool(loop, m_options.connections)
{
    m_options.retryBudget.processStartedAt = BootClock::now();
}

bool Gateway::listen(const base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [this](net::HttpExchange& exchange) { serve(exchange); };
    events.onMalformed = [this](int status, std::string_view reason) {
        base::logEvent(LogLevel::Info, "request.malformed", { { "status", status }, { "why", reason } });
        return m_codec.writeErrorResponse(status, reason, std::nullopt, "");
    };
    events.isDraining = [this] { return m_isDraining; };
    net::HttpServerLimits limits;
    CallerLimits known;
    limits.maxBodyBytes = known.maxBodyBytes;
    limits.idleTimeout = known.idleTimeout;
    m_server = net::httpServe(m_loop, address, limits, events, error);
    if (!m_server)
        return false;
    m_hubSync.subscribe([this] {
        if (auto configuration = m_hubSync.configuration()) {
            net::HttpServerLimits changed;
            changed.maxHeaderBytes = configuration->limits.maxHeaderBytes;
            changed.maxBodyBytes = configuration->limits.maxBodyBytes;
            changed.headerTimeout = configuration->limits.headerTimeout;
            changed.idleTimeout = configuration->limits.idleTimeout;
            m_server->setLimits(changed);
        }
        wakeWaiting();
    });
    m_hubSync.setDemandSource([this] { return demand(); });
    m_hubSync.setAwaitingModelCheck([this] {
        for (RequestContext* session : m_waitingRequests) {
            if (session->isAwaitingModel)
                return true;
        }
        return false;
    });
    m_loop.spawn([this] {
        while (!m_isDraining) {
            net::sleepFor(m_options.sweepInterval);
            m_connectionPool.closeExpired();
            std::erase_if(m_replicaStats, [&](auto& item) {
                return item.second.ownInFlight == 0 && !m_hubSync.directory().replicas.contains(item.first);
            });
        }
    });
    return true;
}

void Gateway::beginDrain()
{
    m_isDraining = true;
    wakeWaiting();
}

void Gateway::stopAccepting()
{
    m_server->stopAccepting();
}

void Gateway::closeAll()
{
    m_server->closeAll();
}

void Gateway::reconfigure(const GatewayOptions& options)
{
    base::BootTime startedAt = m_options.retryBudget.processStartedAt;
    m_options = options;
    m_options.retryBudget.processStartedAt = startedAt;
}

bool Gateway::hasFreshConfiguration(BootTime now) const
{
    return m_hubSync.configuration() && hub::isFresh(m_hubSync.freshAsOf(), now, m_options.maxConfigurationAgeForKeys);
}

void Gateway::decayArrivalRates(BootTime now)
{
    double decay = std::exp(-base::secondsOf(std::max(BootClock::duration(0), now - m_arrivalRatesAt))
        / base::secondsOf(m_options.rateTimeConstant));
    for (auto& [key, rate] : m_arrivalRates)
        rate *= decay;
    std::erase_if(m_arrivalRates, [](auto& item) { return item.second < rateLeast; });
    m_arrivalRatesAt = now;
}

hub::DemandTable Gateway::demand()
{
    decayArrivalRates(BootClock::now());
    hub::DemandTable table;
    for (auto& [key, rate] : m_arrivalRates)
        table[key].arrivalRate = rate;
    for (RequestContext* session : m_requests) {
        if (session->onFirstByte)
            table[demandKey(*session)].awaitingFirstByte += 1;
        if (session->connection && session->service)
            table[demandKey(*session)].running += 1;
    }
    for (RequestContext* session : m_waitingRequests) {
        hub::Demand& row = table[demandKey(*session)];
        row.waiting += 1;
        row.waitingWeightSum += session->demandWeight;
    }
    return table;
}

void Gateway::wakeWaiting()
{
    for (RequestContext* session : m_waitingRequests)
        session->wakeEvent.set();
}

// ---- Answers of our own ------------------------------------------------------------------------

void Gateway::recordRequestEnd(const RequestContext& session, int status, const char* outcome, const char* why)
{
    BootTime now = BootClock::now();
    base::counterAddLabelled("requests_total", "outcome", outcome);
    if (*why)
        base::counterAddLabelled("requests_not_served_total", "why", why);
    if (session.route) {
        const char* kind = session.route->isStream                ? "stream"
            : session.route->retryClass == RetryClass::Idempotent ? "safe"
                                                                  : "once";
        base::histogramObserve("request_seconds", kind, now - session.arrivedAt);
        base::histogramObserve("request_wait_seconds", kind, session.totalWait);
        if (session.eventSplitter.completeEvents)
            base::histogramObserve("request_first_event_seconds", kind, session.firstEventAt - session.arrivedAt);
    }
    base::logEvent(LogLevel::Info, "request.end",
        { { "id", session.head.id }, { "route", session.route ? session.route->name : "" },
            { "account", session.accountName }, { "model", session.head.model }, { "adapter", session.head.adapter },
            { "status", status }, { "outcome", outcome }, { "why", why },
            { "took_ms", millisSince(now, session.arrivedAt) }, { "left_ms", millisSince(session.deadline, now) },
            { "waited_ms", base::millisOf(session.totalWait) },
            { "first_ms",
                session.eventSplitter.completeEvents ? millisSince(session.firstEventAt, session.arrivedAt) : -1 },
            { "longest_gap_ms", base::millisOf(session.longestEventGap) }, { "tokens", session.tokenCost },
            { "attempts", session.progress.attemptsMade }, { "events", session.eventSplitter.completeEvents },
            { "version", session.configuration ? session.configuration->version : 0 },
            { "knowledge_age_ms", millisSince(now, m_hubSync.freshAsOf()) } });
}

void Gateway::refuse(RequestContext& session, int status, const char* why, std::optional<base::Millis> retryAfter)
{
    recordRequestEnd(session, status, status < 500 || status == 503 ? "refused" : "failed", why);
    if (!session.hasCallerLeft)
        session.exchange.respond(m_codec.writeErrorResponse(status, why, retryAfter, session.head.id));
}

// ---- Admission ---------------------------------------------------------------------------------

bool Gateway::findRoute(RequestContext& session)
{
    BootTime now = session.arrivedAt;
    session.configuration = m_hubSync.configuration();
    if (!session.configuration) {
        refuse(session, 503, "no_configuration", m_options.defaultRetryAfter);
        return false;
    }
    session.route = routeFind(*session.configuration, session.head.host, session.exchange.request().target);
    if (!session.route) {
        if (now - m_hubSync.freshAsOf() < m_options.maxConfigurationAgeForDenial)
            refuse(session, 404, "no_route", std::nullopt);
        else
            refuse(session, 503, "configuration_stale", m_options.defaultRetryAfter);
        return false;
    }
    double draw = static_cast<double>(base::stableHash(session.head.id) % 100000) / 100000;
    session.service = serviceSelect(*session.configuration, *session.route, draw);
    if (!session.service) {
        refuse(session, 503, "no_service", m_options.defaultRetryAfter);
        return false;
    }
    return true;
}

bool Gateway::findAccount(RequestContext& session)
{
    BootTime now = session.arrivedAt;
    session.priority = session.route->priority;
    if (session.route->isPublic || session.configuration->accounts.empty())
        return true;
    if (!hasFreshConfiguration(now)) {
        refuse(session, 503, "configuration_stale", m_options.defaultRetryAfter);
        return false;
    }
    const Account* account = accountFindByKey(*session.configuration, session.head.apiKey);
    if (!account) {
        if (now - m_hubSync.freshAsOf() < m_options.maxConfigurationAgeForDenial)
            refuse(session, 401, "unknown_key", std::nullopt);
        else
            refuse(session, 503, "configuration_stale", m_options.defaultRetryAfter);
        return false;
    }
    session.accountName = account->name;
    if (account->priority >= 0)
        session.priority = account->priority;
    session.tokenCost = account->isTokenMetered ? session.head.totalTokens.value_or(account->defaultTokens) : 1;
    if (!m_hubSync.quotaTake(*account, session.tokenCost)) {
        base::logEvent(LogLevel::Info, "quota.refused",
            { { "id", session.head.id }, { "account", account->name }, { "tokens", session.tokenCost },
                { "rate", account->rate }, { "burst", account->burst },
                { "decided_by", m_hubSync.hasHub() ? "hub" : "own_share" } });
        base::Millis wait = account->rate > 0
            ? base::Millis(static_cast<int64_t>(1000 * session.tokenCost / account->rate))
            : m_options.defaultRetryAfter;
        refuse(session, 429, "over_usage_cap", std::max(wait, m_options.defaultRetryAfter));
        return false;
    }
    return true;
}

bool Gateway::admit(RequestContext& session)
{
    if (!findRoute(session))
        return false;
    session.progress.retryClass = session.route->retryClass;
    session.progress.maxAttempts = session.route->maxAttempts;
    base::Millis time = session.route->timeout;
    if (session.head.timeLeft)
        time = std::min(time, *session.head.timeLeft);
    session.deadline = session.arrivedAt + time;
    session.firstByteDeadline = session.arrivedAt + std::min(time, routeFirstByteTimeout(*session.route));
    if (!findAccount(session))
        return false;
    session.priority = std::min(urgencyLast, urgencyFirst + session.priority);
    session.demandWeight = 1.0 / (1 + std::max(0, session.route->priority));
    return true;
}

void Gateway::serve(net::HttpExchange& exchange)
{
    RequestContext session { exchange, m_codec.readRequest(exchange.request()) };
    session.arrivedAt = BootClock::now();
    session.deadline = session.arrivedAt;
    m_requests.insert(&session);
    exchange.setDisconnectHandler([&session] {
        session.hasCallerLeft = true;
        if (session.connection)
            session.connection->cancel();
        session.wakeEvent.set();
    });
    if (admit(session)) {
        decayArrivalRates(session.arrivedAt);
        m_arrivalRates[demandKey(session)] += 1 / base::secondsOf(m_options.rateTimeConstant);
        retryBudgetCountRequest(m_retryBudgets[session.service->name], session.arrivedAt, m_options.retryBudget);
        runAttempts(session);
        if (session.progress.attemptsPossiblyExecuted == 0 && !session.accountName.empty())
            m_hubSync.quotaReturn(session.accountName, session.tokenCost);
    }
    m_waitingRequests.erase(&session);
    m_requests.erase(&session);
}

// ---- The request -------------------------------------------------------------------------------

void Gateway::runAttempts(RequestContext& session)
{
    std::set<std::string> tried;
    AttemptResult last;
    last.outcome = AttemptOutcome::NotExecuted;
    while (true) {
        Refusal refusal;
        const directory::Replica* replica = awaitReplica(session, tried, refusal);
        if (!replica) {
            if (last.outcome == AttemptOutcome::ExecutedFailed)
                return finish(session, NextStep::ForwardFailure, last, std::nullopt);
            last.reason = session.hasCallerLeft ? "caller_gone" : refusal.reason;
            return finish(session, attempts::stepWithoutReplica(session.progress), last, refusal.retryAfter);
        }
        std::string id = replica->entry.id;
        last = runAttempt(session, *replica);
        BootTime now = BootClock::now();
        attempts::RetryConditions means;
        means.hasTime = !session.hasCallerLeft && requestTimeLeft(session, now) > m_options.waiting.minServiceTime;
        NextStep next = attempts::stepAfterAttempt(session.progress, last.outcome, means);
        if (next == NextStep::Retry
            && !retryBudgetTake(
                m_retryBudgets[session.service->name], now, m_hubSync.memberCount(), m_options.retryBudget)) {
            means.hasBudget = false;
            next = attempts::stepAfterAttempt(session.progress, last.outcome, means);
            base::counterAdd("repeats_without_budget_total");
        }
        if (next != NextStep::Retry)
            return finish(session, next, last, m_options.defaultRetryAfter);
        tried.insert(id);
    }
}

void Gateway::finish(
    RequestContext& session, NextStep step, const AttemptResult& last, std::optional<base::Millis> retryAfter)
{
    if (session.hasCallerLeft) {
        recordRequestEnd(session, 0, "caller_gone", last.reason);
        return;
    }
    bool isOver = requestTimeLeft(session, BootClock::now()) <= base::Millis(0);
    switch (step) {
    case NextStep::Deliver:
        if (session.route->isStream)
            session.exchange.finishStream();
        else
            session.exchange.respond(
                { last.response.status, m_codec.forwardedHeaders(last.response), last.response.body });
        recordRequestEnd(session, last.response.status, "served", "");
        return;
    case NextStep::ForwardFailure:
        session.exchange.respond({ last.response.status, m_codec.forwardedHeaders(last.response), last.response.body });
        recordRequestEnd(session, last.response.status, "replica_failed", last.reason);
        return;
    case NextStep::Refuse:
        return refuse(session, 503, last.reason, retryAfter);
    case NextStep::Retry:
    case NextStep::Fail:
        return refuse(session, isOver ? 504 : 502, last.reason, std::nullopt);
    case NextStep::AbortStream:
        // Without its end mark the stream looks cut to the caller.
        recordRequestEnd(session, 0, "cut", last.reason);
        return;
    }
}

} // namespace rattanshunt::gateway

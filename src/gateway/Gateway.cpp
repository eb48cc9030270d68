#include "gateway/Gateway.h"

#include <cmath>

#include <malloc.h>

#include "base/Counters.h"
#include "base/Histograms.h"
#include "base/Log.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

namespace {

    constexpr int priorityOffset = 2; // added to the configured priority; 0 and 1 remain unused
    constexpr int maxPriority = 9;

    constexpr double minArrivalRate = 0.001; // arrivals per second; rates below it are dropped

    hub::DemandKey demandKey(const RequestContext& request)
    {
        return { request.service->name, request.head.model, request.head.adapter };
    }

    int64_t millisSince(BootTime now, BootTime then)
    {
        return std::chrono::duration_cast<base::Millis>(now - then).count();
    }

} // namespace

Gateway::Gateway(net::Loop& loop, GatewayOptions options, const WireCodec& codec, hub::HubSync& hubSync,
    reach::ReplicaDialer& dialer)
    : m_loop(loop)
    , m_options(options)
    , m_codec(codec)
    , m_hubSync(hubSync)
    , m_dialer(dialer)
    , m_connectionPool(loop, m_options.connections)
    , m_memory(m_options.memoryPlan)
    , m_responseMemory { m_options.responseMemory, 0, &m_memory }
    , m_waitingQueue(m_options.waitingQueue)
{
    m_options.retryBudget.processStartedAt = BootClock::now();
    m_dialer.subscribe([this] {
        if (m_dialer.hasLostReplicas())
            giveUpSilentAttempts();
    });
    m_dialer.setSpareSink([this](auto connection) { m_connectionPool.add(std::move(connection)); });
}

Gateway::~Gateway()
{
    m_loop.timers().cancel(m_silenceTimer);
}

bool Gateway::listen(const base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [this](net::HttpExchange& exchange) { serve(exchange); };
    events.onMalformed = [this](int status, std::string_view reason) {
        base::logEvent(LogLevel::Info, "request.malformed", { { "status", status }, { "why", reason } });
        std::optional<base::Millis> retryAfter;
        if (status == 503)
            retryAfter = net::maxMemoryWait;
        return m_codec.writeErrorResponse(status, reason, retryAfter, "");
    };
    events.isDraining = [this] { return m_isDraining; };
    net::HttpServerLimits limits;
    CallerLimits defaults;
    limits.maxBodyBytes = defaults.maxBodyBytes;
    limits.idleTimeout = defaults.idleTimeout;
    limits.maxConnections = m_memory.plan().maxConnections;
    limits.memory = &m_memory;
    m_server = net::httpServe(m_loop, address, limits, events, error);
    if (!m_server)
        return false;
    m_hubSync.subscribe([this] {
        if (auto configuration = m_hubSync.configuration()) {
            net::HttpServerLimits newLimits;
            newLimits.maxHeaderBytes = configuration->limits.maxHeaderBytes;
            newLimits.maxBodyBytes = configuration->limits.maxBodyBytes;
            newLimits.headerTimeout = configuration->limits.headerTimeout;
            newLimits.idleTimeout = configuration->limits.idleTimeout;
            newLimits.maxConnections = m_memory.plan().maxConnections;
            newLimits.memory = &m_memory;
            m_server->setLimits(newLimits);
            if (!net::memoryMayTake(m_memory.plan(), 0, 0, newLimits.maxBodyBytes)
                && std::exchange(m_checkedBodyBytes, newLimits.maxBodyBytes) != newLimits.maxBodyBytes)
                base::logEvent(LogLevel::Error, "limits.body_beyond_memory",
                    { { "max_body_bytes", newLimits.maxBodyBytes },
                        { "least_memory_bytes", net::memoryLeastBytes(newLimits.maxBodyBytes) } });
        }
        offerSlots();
    });
    m_hubSync.setDemandSource([this] { return demand(); });
    m_hubSync.setAwaitingModelCheck([this] {
        for (RequestContext* request : m_waitingRequests) {
            if (request->isAwaitingModel)
                return true;
        }
        return false;
    });
    m_loop.spawn([this] {
        while (!m_isDraining) {
            net::sleepFor(m_options.sweepInterval);
            m_connectionPool.closeExpired();
            if (m_memory.takeTrimRequest(base::Clock::now()))
                malloc_trim(0);
            std::erase_if(m_replicaStats, [&](auto& item) {
                return item.second.ownLoad.inFlight == 0 && !m_hubSync.directory().replicas.contains(item.first);
            });
        }
    });
    return true;
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
    std::erase_if(m_arrivalRates, [](auto& item) { return item.second < minArrivalRate; });
    m_arrivalRatesAt = now;
}

hub::DemandTable Gateway::demand()
{
    decayArrivalRates(BootClock::now());
    hub::DemandTable table;
    for (auto& [key, rate] : m_arrivalRates)
        table[key].arrivalRate = rate;
    for (auto& [key, row] : table) {
        auto found = m_transferSeconds.find({ key.service, key.model });
        row.transferSeconds = found == m_transferSeconds.end() ? 0 : found->second;
    }
    for (RequestContext* request : m_requests) {
        if (request->onFirstByte)
            table[demandKey(*request)].awaitingFirstByte += 1;
        if (request->connection && request->service)
            table[demandKey(*request)].running += 1;
    }
    for (RequestContext* request : m_waitingRequests) {
        hub::Demand& row = table[demandKey(*request)];
        row.waiting += 1;
        row.waitingWeightSum += request->demandWeight;
    }
    return table;
}

// ---- Logging and refusals ----------------------------------------------------------------------

void Gateway::recordRequestEnd(const RequestContext& request, int status, const char* outcome, const char* reason)
{
    BootTime now = BootClock::now();
    base::counterAddLabelled("requests_total", "outcome", outcome);
    if (*reason)
        base::counterAddLabelled("requests_not_served_total", "why", reason);
    if (request.route) {
        const char* kind = request.route->isStream                ? "stream"
            : request.route->retryClass == RetryClass::Idempotent ? "safe"
                                                                  : "once";
        base::histogramObserve("request_seconds", kind, now - request.arrivedAt);
        base::histogramObserve("request_wait_seconds", kind, request.totalWait);
        if (request.eventSplitter.completeEvents)
            base::histogramObserve("request_first_event_seconds", kind, request.firstEventAt - request.arrivedAt);
    }
    base::logEvent(LogLevel::Info, "request.end",
        { { "id", request.head.id }, { "route", request.route ? request.route->name : "" },
            { "account", request.accountName }, { "model", request.head.model }, { "adapter", request.head.adapter },
            { "status", status }, { "outcome", outcome }, { "why", reason },
            { "took_ms", millisSince(now, request.arrivedAt) }, { "left_ms", millisSince(request.deadline, now) },
            { "waited_ms", base::millisOf(request.totalWait) },
            { "first_ms",
                request.eventSplitter.completeEvents ? millisSince(request.firstEventAt, request.arrivedAt) : -1 },
            { "longest_gap_ms", base::millisOf(request.longestEventGap) }, { "tokens", request.tokenCost },
            { "attempts", request.progress.attemptsMade }, { "replica", request.lastReplicaId },
            { "events", request.eventSplitter.completeEvents },
            { "version", request.configuration ? request.configuration->version : 0 },
            { "knowledge_age_ms", millisSince(now, m_hubSync.freshAsOf()) } });
}

void Gateway::refuse(RequestContext& request, int status, const char* reason, std::optional<base::Millis> retryAfter)
{
    recordRequestEnd(request, status, status < 500 || status == 503 ? "refused" : "failed", reason);
    if (!request.hasCallerLeft)
        request.exchange.respond(
            m_codec.writeErrorResponse(status, refusalText(request, reason), retryAfter, request.head.id));
}

// ---- Admission ---------------------------------------------------------------------------------

bool Gateway::findRoute(RequestContext& request)
{
    BootTime now = request.arrivedAt;
    request.configuration = m_hubSync.configuration();
    if (!request.configuration) {
        refuse(request, 503, "no_configuration", m_options.defaultRetryAfter);
        return false;
    }
    request.route = routeFind(*request.configuration, request.head.host, request.exchange.request().target);
    if (!request.route) {
        if (now - m_hubSync.freshAsOf() < m_options.maxConfigurationAgeForDenial)
            refuse(request, 404, "no_route", std::nullopt);
        else
            refuse(request, 503, "configuration_stale", m_options.defaultRetryAfter);
        return false;
    }
    // A take-up goes to the service that began the stream.
    const std::string& drawnId = request.head.resumedId.empty() ? request.head.id : request.head.resumedId;
    double randomDraw = static_cast<double>(base::stableHash(drawnId) % 100000) / 100000;
    request.service = serviceSelect(*request.configuration, *request.route, randomDraw);
    if (!request.service) {
        refuse(request, 503, "no_service", m_options.defaultRetryAfter);
        return false;
    }
    return true;
}

bool Gateway::findAccount(RequestContext& request)
{
    BootTime now = request.arrivedAt;
    request.priority = request.route->priority;
    if (request.route->isPublic || request.configuration->accounts.empty())
        return true;
    if (!hasFreshConfiguration(now)) {
        refuse(request, 503, "configuration_stale", m_options.defaultRetryAfter);
        return false;
    }
    const Account* account = accountFindByKey(*request.configuration, request.head.apiKey);
    if (!account) {
        if (now - m_hubSync.freshAsOf() < m_options.maxConfigurationAgeForDenial)
            refuse(request, 401, "unknown_key", std::nullopt);
        else
            refuse(request, 503, "configuration_stale", m_options.defaultRetryAfter);
        return false;
    }
    request.accountName = account->name;
    if (account->priority >= 0)
        request.priority = account->priority;
    request.tokenCost = account->isTokenMetered ? request.head.totalTokens.value_or(account->defaultTokens) : 1;
    return true;
}

bool Gateway::admit(RequestContext& request)
{
    if (!findRoute(request))
        return false;
    request.progress.retryClass = request.route->retryClass;
    request.progress.maxAttempts = request.route->maxAttempts;
    base::Millis timeLimit = request.route->timeout;
    if (request.head.timeLeft)
        timeLimit = std::min(timeLimit, *request.head.timeLeft);
    request.deadline = request.arrivedAt + timeLimit;
    request.firstByteDeadline = request.arrivedAt + std::min(timeLimit, routeFirstByteTimeout(*request.route));
    if (auto refusal = partRefusal(request)) {
        refuse(request, 503, refusal->reason, refusal->retryAfter);
        return false;
    }
    if (!findAccount(request))
        return false;
    request.homes = homesOf(request);
    request.requestKey = requestKeyOf(request);
    if (!takeTokens(request))
        return false;
    if (!findStreamVersion(request)) {
        if (!request.accountName.empty())
            m_hubSync.quotaReturn(request.accountName, request.tokenCost);
        return false;
    }
    request.priority = std::min(maxPriority, priorityOffset + request.priority);
    request.demandWeight = 1.0 / (1 + std::max(0, request.route->priority));
    return true;
}

void Gateway::serve(net::HttpExchange& exchange)
{
    RequestContext request { exchange, m_codec.readRequest(exchange.request()) };
    request.sharedParts = sharedPartsOf(request.head);
    request.arrivedAt = BootClock::now();
    request.deadline = request.arrivedAt;
    m_requests.insert(&request);
    exchange.setDisconnectHandler([&request] {
        request.hasCallerLeft = true;
        if (request.connection)
            request.connection->cancel();
        request.wakeEvent.set();
    });
    if (admit(request)) {
        decayArrivalRates(request.arrivedAt);
        m_arrivalRates[demandKey(request)] += 1 / base::secondsOf(m_options.rateTimeConstant);
        retryBudgetCountRequest(m_retryBudgets[request.service->name], request.arrivedAt, m_options.retryBudget);
        runAttempts(request);
        if (request.progress.attemptsPossiblyExecuted == 0 && !request.accountName.empty())
            m_hubSync.quotaReturn(request.accountName, request.tokenCost);
    }
    endWait(request);
    m_requests.erase(&request);
}

// ---- Attempts ----------------------------------------------------------------------------------

void Gateway::runAttempts(RequestContext& request)
{
    std::set<std::string> tried;
    AttemptResult last;
    last.outcome = AttemptOutcome::NotExecuted;
    while (true) {
        Refusal refusal;
        const directory::Replica* replica = awaitReplica(request, tried, refusal);
        if (!replica) {
            if (last.outcome == AttemptOutcome::ExecutedFailed)
                return finish(request, NextStep::ForwardFailure, last, std::nullopt);
            last.reason = request.hasCallerLeft ? "caller_gone" : refusal.reason;
            return finish(request, attempts::stepWithoutReplica(request.progress), last, refusal.retryAfter);
        }
        std::string id = replica->entry.id;
        AttemptResult result = runAttempt(request, *replica);
        if (attemptIsObsolete(result)) {
            if (std::string_view(result.reason) == replicaLeftReason)
                tried.insert(id);
            continue;
        }
        last = std::move(result);
        if (std::string_view(last.reason) == noLinkReason)
            return finish(request, attempts::stepWithoutReplica(request.progress), last, m_options.defaultRetryAfter);
        BootTime now = BootClock::now();
        attempts::RetryConditions conditions;
        conditions.mayEndReplicas = last.mayEndReplicas;
        conditions.hasTime
            = !request.hasCallerLeft && !m_isEnding && requestTimeLeft(request, now) > m_options.waiting.minServiceTime;
        NextStep next = attempts::stepAfterAttempt(request.progress, last.outcome, conditions);
        if (next == NextStep::Retry
            && !retryBudgetTake(
                m_retryBudgets[request.service->name], now, m_hubSync.memberCount(), m_options.retryBudget)) {
            conditions.hasBudget = false;
            next = attempts::stepAfterAttempt(request.progress, last.outcome, conditions);
            base::counterAdd("repeats_without_budget_total");
        }
        if (next != NextStep::Retry)
            return finish(request, next, last, m_options.defaultRetryAfter);
        if (!request.hasLostLink)
            tried.insert(id);
    }
}

void Gateway::finish(
    RequestContext& request, NextStep step, AttemptResult& last, std::optional<base::Millis> retryAfter)
{
    if (request.pinnedVersion && (request.hasCallerLeft || step == NextStep::AbortStream))
        m_hubSync.announceBrokenStream();
    if (request.hasCallerLeft) {
        recordRequestEnd(request, 0, "caller_gone", last.reason);
        return;
    }
    bool isPastDeadline = requestTimeLeft(request, BootClock::now()) <= base::Millis(0);
    switch (step) {
    case NextStep::Deliver:
        if (request.route->isStream)
            request.exchange.finishStream();
        else
            request.exchange.respond(
                { last.response.status, m_codec.forwardedHeaders(last.response), std::move(last.response.body) });
        recordRequestEnd(request, last.response.status, "served", "");
        return;
    case NextStep::ForwardFailure:
        request.exchange.respond(
            { last.response.status, m_codec.forwardedHeaders(last.response), std::move(last.response.body) });
        recordRequestEnd(request, last.response.status, "replica_failed", last.reason);
        return;
    case NextStep::Refuse:
        return refuse(request, 503, last.reason, retryAfter);
    case NextStep::Retry:
    case NextStep::Fail:
        return refuse(request, isPastDeadline ? 504 : 502, last.reason, std::nullopt);
    case NextStep::AbortStream:
        // The end of the stream is not sent, so the caller sees an incomplete stream.
        recordRequestEnd(request, 0, "cut", last.reason);
        return;
    }
}

} // namespace rattanshunt::gateway

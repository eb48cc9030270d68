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

    hub::DemandKey demandKey(const Session& session)
    {
        return { session.service->name, session.head.model, session.head.adapter };
    }

    int64_t millisSince(BootTime now, BootTime then)
    {
        return std::chrono::duration_cast<base::Millis>(now - then).count();
    }

} // namespace

Gateway::Gateway(net::Loop& loop, GatewayOptions options, const Dialect& dialect, hub::Fabric& fabric)
    : m_loop(loop)
    , m_options(options)
    , m_dialect(dialect)
    , m_fabric(fabric)
    , m_channels(loop, m_options.channels)
{
    m_options.repeats.startedAt = BootClock::now();
}

bool Gateway::listen(const base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [this](net::HttpExchange& exchange) { serve(exchange); };
    events.onMalformed = [this](int status, std::string_view reason) {
        base::logEvent(LogLevel::Info, "request.malformed", { { "status", status }, { "why", reason } });
        return m_dialect.ownAnswer(status, reason, std::nullopt, "");
    };
    events.isDraining = [this] { return m_isDraining; };
    net::HttpServerLimits limits;
    CallerLimits known;
    limits.bodyBytes = known.bodyBytes;
    limits.idleTime = known.idleTime;
    m_server = net::httpServe(m_loop, address, limits, events, error);
    if (!m_server)
        return false;
    m_fabric.subscribe([this] {
        if (auto configuration = m_fabric.configuration()) {
            net::HttpServerLimits changed;
            changed.headerBytes = configuration->limits.headerBytes;
            changed.bodyBytes = configuration->limits.bodyBytes;
            changed.headerTime = configuration->limits.headerTime;
            changed.idleTime = configuration->limits.idleTime;
            m_server->setLimits(changed);
        }
        wakeWaiting();
    });
    m_fabric.setDemandSource([this] { return demand(); });
    m_fabric.setAwaitingModel([this] {
        for (Session* session : m_waiting) {
            if (session->isAwaitingModel)
                return true;
        }
        return false;
    });
    m_loop.spawn([this] {
        while (!m_isDraining) {
            net::sleepFor(m_options.sweepInterval);
            m_channels.sweep();
            std::erase_if(m_uses, [&](auto& item) {
                return item.second.ownNow == 0 && !m_fabric.directory().replicas.contains(item.first);
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
    base::BootTime startedAt = m_options.repeats.startedAt;
    m_options = options;
    m_options.repeats.startedAt = startedAt;
}

bool Gateway::mayServe(BootTime now) const
{
    return m_fabric.configuration() && hub::isProven(m_fabric.provenAt(), now, m_options.revokeLimit);
}

void Gateway::decayRates(BootTime now)
{
    double decay = std::exp(
        -base::secondsOf(std::max(BootClock::duration(0), now - m_ratesAt)) / base::secondsOf(m_options.rateTime));
    for (auto& [key, rate] : m_rates)
        rate *= decay;
    std::erase_if(m_rates, [](auto& item) { return item.second < rateLeast; });
    m_ratesAt = now;
}

hub::DemandTable Gateway::demand()
{
    decayRates(BootClock::now());
    hub::DemandTable table;
    for (auto& [key, rate] : m_rates)
        table[key].rate = rate;
    for (Session* session : m_sessions) {
        if (session->onFirstByte)
            table[demandKey(*session)].reading += 1;
        if (session->connection && session->service)
            table[demandKey(*session)].running += 1;
    }
    for (Session* session : m_waiting) {
        hub::Demand& row = table[demandKey(*session)];
        row.waiting += 1;
        row.worth += session->weight;
    }
    return table;
}

void Gateway::wakeWaiting()
{
    for (Session* session : m_waiting)
        session->wake.set();
}

// ---- Answers of our own ------------------------------------------------------------------------

void Gateway::note(const Session& session, int status, const char* outcome, const char* why)
{
    BootTime now = BootClock::now();
    base::counterAddLabelled("requests_total", "outcome", outcome);
    if (*why)
        base::counterAddLabelled("requests_not_served_total", "why", why);
    if (session.route) {
        const char* kind = session.route->isStream      ? "stream"
            : session.route->repeat == RepeatKind::Safe ? "safe"
                                                        : "once";
        base::histogramObserve("request_seconds", kind, now - session.arrivedAt);
        base::histogramObserve("request_wait_seconds", kind, session.waited);
        if (session.events.passed)
            base::histogramObserve("request_first_event_seconds", kind, session.firstEventAt - session.arrivedAt);
    }
    base::logEvent(LogLevel::Info, "request.end",
        { { "id", session.head.id }, { "route", session.route ? session.route->name : "" },
            { "account", session.account }, { "model", session.head.model }, { "adapter", session.head.adapter },
            { "status", status }, { "outcome", outcome }, { "why", why },
            { "took_ms", millisSince(now, session.arrivedAt) }, { "left_ms", millisSince(session.deadline, now) },
            { "waited_ms", base::millisOf(session.waited) },
            { "first_ms", session.events.passed ? millisSince(session.firstEventAt, session.arrivedAt) : -1 },
            { "longest_gap_ms", base::millisOf(session.longestGap) }, { "tokens", session.tokens },
            { "attempts", session.progress.attemptsMade }, { "events", session.events.passed },
            { "version", session.configuration ? session.configuration->version : 0 },
            { "knowledge_age_ms", millisSince(now, m_fabric.provenAt()) } });
}

void Gateway::refuse(Session& session, int status, const char* why, std::optional<base::Millis> retryAfter)
{
    note(session, status, status < 500 || status == 503 ? "refused" : "failed", why);
    if (!session.isGone)
        session.exchange.respond(m_dialect.ownAnswer(status, why, retryAfter, session.head.id));
}

// ---- Admission ---------------------------------------------------------------------------------

bool Gateway::findRoute(Session& session)
{
    BootTime now = session.arrivedAt;
    session.configuration = m_fabric.configuration();
    if (!session.configuration) {
        refuse(session, 503, "no_configuration", m_options.retryAfter);
        return false;
    }
    session.route = routeFind(*session.configuration, session.head.host, session.exchange.request().target);
    if (!session.route) {
        if (now - m_fabric.provenAt() < m_options.denyLimit)
            refuse(session, 404, "no_route", std::nullopt);
        else
            refuse(session, 503, "configuration_stale", m_options.retryAfter);
        return false;
    }
    double draw = static_cast<double>(base::stableHash(session.head.id) % 100000) / 100000;
    session.service = serviceDraw(*session.configuration, *session.route, draw);
    if (!session.service) {
        refuse(session, 503, "no_service", m_options.retryAfter);
        return false;
    }
    return true;
}

bool Gateway::findAccount(Session& session)
{
    BootTime now = session.arrivedAt;
    session.urgency = session.route->priority;
    if (session.route->isPublic || session.configuration->accounts.empty())
        return true;
    if (!mayServe(now)) {
        refuse(session, 503, "configuration_stale", m_options.retryAfter);
        return false;
    }
    const Account* account = accountOfKey(*session.configuration, session.head.key);
    if (!account) {
        if (now - m_fabric.provenAt() < m_options.denyLimit)
            refuse(session, 401, "unknown_key", std::nullopt);
        else
            refuse(session, 503, "configuration_stale", m_options.retryAfter);
        return false;
    }
    session.account = account->name;
    if (account->priority >= 0)
        session.urgency = account->priority;
    session.tokens = account->countsTokens ? session.head.tokens.value_or(account->plainTokens) : 1;
    if (!m_fabric.quotaTake(*account, session.tokens)) {
        base::logEvent(LogLevel::Info, "quota.refused",
            { { "id", session.head.id }, { "account", account->name }, { "tokens", session.tokens },
                { "rate", account->rate }, { "burst", account->burst },
                { "decided_by", m_fabric.hasHub() ? "hub" : "own_share" } });
        base::Millis wait = account->rate > 0
            ? base::Millis(static_cast<int64_t>(1000 * session.tokens / account->rate))
            : m_options.retryAfter;
        refuse(session, 429, "over_usage_cap", std::max(wait, m_options.retryAfter));
        return false;
    }
    return true;
}

bool Gateway::admit(Session& session)
{
    if (!findRoute(session))
        return false;
    session.progress.repeat = session.route->repeat;
    session.progress.maxAttempts = session.route->maxAttempts;
    base::Millis time = session.route->timeout;
    if (session.head.timeLeft)
        time = std::min(time, *session.head.timeLeft);
    session.deadline = session.arrivedAt + time;
    session.patienceEnd = session.arrivedAt + std::min(time, routePatience(*session.route));
    if (!findAccount(session))
        return false;
    session.urgency = std::min(urgencyLast, urgencyFirst + session.urgency);
    session.weight = 1.0 / (1 + std::max(0, session.route->priority));
    return true;
}

void Gateway::serve(net::HttpExchange& exchange)
{
    Session session { exchange, m_dialect.readRequest(exchange.request()) };
    session.arrivedAt = BootClock::now();
    session.deadline = session.arrivedAt;
    m_sessions.insert(&session);
    exchange.watchCaller([&session] {
        session.isGone = true;
        if (session.connection)
            session.connection->cancel();
        session.wake.set();
    });
    if (admit(session)) {
        decayRates(session.arrivedAt);
        m_rates[demandKey(session)] += 1 / base::secondsOf(m_options.rateTime);
        repeatCountRequest(m_repeats[session.service->name], session.arrivedAt, m_options.repeats);
        runAttempts(session);
        if (session.progress.attemptsRun == 0 && !session.account.empty())
            m_fabric.quotaGiveBack(session.account, session.tokens);
    }
    m_waiting.erase(&session);
    m_sessions.erase(&session);
}

// ---- The request -------------------------------------------------------------------------------

void Gateway::runAttempts(Session& session)
{
    std::set<std::string> tried;
    AttemptResult last;
    last.end = AttemptEnd::NotRun;
    while (true) {
        Refusal refusal;
        const directory::Replica* replica = awaitReplica(session, tried, refusal);
        if (!replica) {
            if (last.end == AttemptEnd::RanFailed)
                return finish(session, NextStep::PassFailure, last, std::nullopt);
            last.why = session.isGone ? "caller_gone" : refusal.why;
            return finish(session, attempts::stepWithoutReplica(session.progress), last, refusal.retryAfter);
        }
        std::string id = replica->entry.id;
        last = attempt(session, *replica);
        BootTime now = BootClock::now();
        attempts::RepeatMeans means;
        means.hasTime = !session.isGone && sessionTimeLeft(session, now) > m_options.waiting.serveLeast;
        NextStep next = attempts::stepAfterAttempt(session.progress, last.end, means);
        if (next == NextStep::Repeat
            && !repeatTake(m_repeats[session.service->name], now, m_fabric.memberCount(), m_options.repeats)) {
            means.hasBudget = false;
            next = attempts::stepAfterAttempt(session.progress, last.end, means);
            base::counterAdd("repeats_without_budget_total");
        }
        if (next != NextStep::Repeat)
            return finish(session, next, last, m_options.retryAfter);
        tried.insert(id);
    }
}

void Gateway::finish(Session& session, NextStep step, const AttemptResult& last, std::optional<base::Millis> retryAfter)
{
    if (session.isGone) {
        note(session, 0, "caller_gone", last.why);
        return;
    }
    bool isOver = sessionTimeLeft(session, BootClock::now()) <= base::Millis(0);
    switch (step) {
    case NextStep::Deliver:
        if (session.route->isStream)
            session.exchange.finishStream();
        else
            session.exchange.respond(
                { last.response.status, m_dialect.answerHeaders(last.response), last.response.body });
        note(session, last.response.status, "served", "");
        return;
    case NextStep::PassFailure:
        session.exchange.respond({ last.response.status, m_dialect.answerHeaders(last.response), last.response.body });
        note(session, last.response.status, "replica_failed", last.why);
        return;
    case NextStep::Refuse:
        return refuse(session, 503, last.why, retryAfter);
    case NextStep::Repeat:
    case NextStep::Fail:
        return refuse(session, isOver ? 504 : 502, last.why, std::nullopt);
    case NextStep::Cut:
        // Without its end mark the stream looks cut to the caller.
        note(session, 0, "cut", last.why);
        return;
    }
}

} // namespace rattanshunt::gateway

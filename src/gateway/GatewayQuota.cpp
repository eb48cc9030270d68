// Tokens of client accounts, in class Gateway: what a request asks for, and the wait until they are usable.
#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using quota::TokenVerdict;

namespace {

    // Part of a route's target latency for which a request may wait for tokens. The rest is for the replica.
    constexpr double tokenWaitFraction = 0.6;

    // Part of the target latency for which holding a request costs nothing, however slow replicas are.
    constexpr double freeWaitFraction = 0.125;

    // Between two looks for a hub, while a request waits for one.
    constexpr base::Millis hubCheckInterval { 60 };

    // Callers honour a Retry-After up to a third of the time that they have left when it arrives.
    constexpr double callerPatience = 0.95 / 3;

} // namespace

quota::TokenAsk Gateway::tokenAskOf(const RequestContext& request) const
{
    BootTime now = BootClock::now();
    quota::TokenAsk ask;
    ask.route = request.route->name;
    ask.priority = request.route->priority;
    ask.tokens = request.tokenCost;
    ask.requestKey = request.requestKey;
    base::Duration target = request.route->targetLatency;
    base::Duration wait = base::durationOf(base::secondsOf(target) * tokenWaitFraction);
    auto usual = m_usualTimes.find(request.route->name);
    // Of a stream, the usual time is that of the whole response, not of its first event.
    if (usual != m_usualTimes.end() && !request.route->isStream) {
        if (auto needed = usualTimeLimit(usual->second))
            wait = std::min(wait, target - *needed);
    }
    wait = std::max(wait, base::durationOf(base::secondsOf(target) * freeWaitFraction));
    wait -= now - request.arrivedAt;
    wait = std::min(
        wait, std::min(request.deadline, request.firstByteDeadline) - now - m_options.waiting.minServiceTime);
    bool mayHold = m_requestsHeldForTokens < m_options.maxHeldForTokens && !m_isDraining;
    ask.maxWait = mayHold ? std::max(wait, base::Duration(0)) : base::Duration(0);
    ask.maxRetryDelay
        = std::max(base::durationOf(base::secondsOf(request.deadline - now) * callerPatience), base::Duration(0));
    return ask;
}

void Gateway::refuseTokens(RequestContext& request, const Account& account, const hub::QuotaAnswer& answer)
{
    base::logEvent(LogLevel::Info, "quota.refused",
        { { "id", request.head.id }, { "account", account.name }, { "tokens", request.tokenCost },
            { "rate", account.rate }, { "burst", account.burst },
            { "decided_by", answer.isFromHub ? "hub" : "own_share" },
            { "retry_in_ms", answer.retryIn ? base::millisOf(*answer.retryIn) : -1 },
            { "request", request.requestKey } });
    std::optional<base::Millis> retryAfter;
    if (answer.retryIn)
        retryAfter = std::chrono::ceil<base::Millis>(*answer.retryIn);
    else if (!m_hubSync.options().quotaReservations && account.rate <= 0)
        retryAfter = m_options.defaultRetryAfter;
    else if ((!answer.isFromHub || !m_hubSync.options().quotaReservations) && account.rate > 0)
        // By then a hub is known, or what was asked for has been refilled.
        retryAfter = std::max(
            base::Millis(static_cast<int64_t>(1000 * request.tokenCost / account.rate)), m_options.defaultRetryAfter);
    refuse(request, 429, "over_usage_cap", retryAfter);
}

// Waits for a hub as long as the request can wait for tokens, or, if the store cannot be reached and so none is to be
// expected, as long as that costs nothing. False if there was one already, or there is none yet.
bool Gateway::awaitHub(RequestContext& request)
{
    if (m_hubSync.hasHub() || !m_hubSync.options().quotaReservations)
        return false;
    BootTime since = BootClock::now();
    base::Duration wait = tokenAskOf(request).maxWait;
    if (!m_hubSync.storeIsReachable())
        wait = std::min(wait, base::durationOf(base::secondsOf(request.route->targetLatency) * freeWaitFraction));
    ++m_requestsHeldForTokens;
    while (!request.hasCallerLeft && !m_isEnding && !m_hubSync.hasHub() && BootClock::now() < since + wait) {
        request.wakeEvent.reset();
        request.wakeEvent.waitUntil(
            base::Clock::now() + std::min<base::Duration>(hubCheckInterval, since + wait - BootClock::now()));
    }
    --m_requestsHeldForTokens;
    request.totalWait += BootClock::now() - since;
    base::counterAdd(m_hubSync.hasHub() ? "requests_held_for_hub_total" : "requests_held_for_hub_in_vain_total");
    return m_hubSync.hasHub() && !request.hasCallerLeft;
}

// Takes the request's tokens from its account, and waits for them if they are usable later. False if the request has
// been refused or its caller has left.
bool Gateway::takeTokens(RequestContext& request)
{
    if (request.accountName.empty())
        return true;
    const Account& account = request.configuration->accounts.at(request.accountName);
    hub::QuotaAnswer answer = m_hubSync.quotaTake(account, tokenAskOf(request));
    if (answer.verdict == TokenVerdict::Refused && !answer.isFromHub && awaitHub(request))
        answer = m_hubSync.quotaTake(account, tokenAskOf(request));
    if (answer.verdict == TokenVerdict::Refused) {
        refuseTokens(request, account, answer);
        return false;
    }
    if (answer.verdict == TokenVerdict::Granted)
        return true;
    BootTime since = BootClock::now();
    ++m_requestsHeldForTokens;
    while (!request.hasCallerLeft && !m_isEnding && BootClock::now() < answer.usableAt) {
        request.wakeEvent.reset();
        request.wakeEvent.waitUntil(base::Clock::now() + (answer.usableAt - BootClock::now()));
    }
    --m_requestsHeldForTokens;
    base::counterAdd("requests_held_for_tokens_total");
    request.totalWait += BootClock::now() - since;
    if (request.hasCallerLeft || m_isEnding) {
        m_hubSync.quotaRelease(account.name, request.tokenCost, answer);
        if (request.hasCallerLeft)
            recordRequestEnd(request, 0, "caller_gone", "awaiting_tokens");
        else
            refuse(request, 503, "stopping", m_options.waiting.minRetryAfter);
        return false;
    }
    if (m_hubSync.quotaUseReserved(account, request.tokenCost, answer))
        return true;
    answer.isFromHub = false;
    refuseTokens(request, account, answer);
    return false;
}

} // namespace rattanshunt::gateway

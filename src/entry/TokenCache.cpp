#include "entry/TokenCache.h"

#include <cmath>

namespace rattanshunt::entry {

using budget::Grant;

namespace {
    constexpr base::Millis flushDelay { 5 };
    constexpr base::Millis expirySweepInterval { 50 };
    constexpr base::Millis borrowAheadTime { 40 }; // expected demand of this period is borrowed in advance
    constexpr base::Millis expiryMargin { 1 };     // tokens that expire within this time are returned unused
    constexpr double demandSmoothingSeconds = 0.5; // time constant of the demand rate's average
}

TokenCache::TokenCache(net::Loop& loop, budget::BudgetService& budget, base::Millis validity)
    : m_loop(loop)
    , m_budget(budget)
    , m_tokenValidity(validity)
{
}

TokenCache::~TokenCache()
{
    m_loop.timers().cancel(m_flushTimer);
    m_loop.timers().cancel(m_expiryTimer);
}

void TokenCache::recordDemand(AccountState& account, double tokens, base::TimePoint now)
{
    double age
        = account.demandRateUpdatedAt == base::TimePoint {} ? 0 : base::secondsOf(now - account.demandRateUpdatedAt);
    account.demandRate = account.demandRate * std::exp(-age / demandSmoothingSeconds) + tokens / demandSmoothingSeconds;
    account.demandRateUpdatedAt = now;
}

void TokenCache::returnExpired(const std::string& name, AccountState& account, base::TimePoint now)
{
    while (!account.cachedGrants.empty() && account.cachedGrants.front().validUntil <= now + expiryMargin) {
        returnUnused(name, account.cachedGrants.front().grant, account.cachedGrants.front().grant.tokens);
        account.cachedGrants.pop_front();
    }
}

bool TokenCache::takeCached(AccountState& account, double tokens, base::TimePoint now, std::vector<Grant>& grants)
{
    double available = 0;
    for (const CachedGrant& cached : account.cachedGrants)
        available += cached.grant.tokens;
    if (available < tokens)
        return false;
    double missing = tokens;
    while (missing > 0 && !account.cachedGrants.empty()) {
        CachedGrant& cached = account.cachedGrants.front();
        if (cached.validUntil <= now)
            return false;
        double part = std::min(missing, cached.grant.tokens);
        Grant grant = cached.grant;
        grant.tokens = part;
        grants.push_back(grant);
        cached.grant.tokens -= part;
        missing -= part;
        if (cached.grant.tokens <= 0)
            account.cachedGrants.pop_front();
    }
    return true;
}

TokenCache::AcquireResult TokenCache::acquire(const std::string& name, double tokens, resources::PriorityClass priority,
    base::TimePoint arrivedAt, base::TimePoint deadline, std::vector<Grant>& grants)
{
    if (tokens <= 0)
        return {};
    recordDemand(m_accounts[name], tokens, base::Clock::now());
    while (true) {
        base::TimePoint now = base::Clock::now();
        AccountState& account = m_accounts[name];
        returnExpired(name, account, now);
        if (takeCached(account, tokens, now, grants))
            return {};
        if (now >= deadline)
            return { AcquireStatus::Refused };
        struct PendingDecision {
            net::Event done;
            budget::BudgetDecision decision;
            bool isAbandoned = false;
        };
        auto pending = std::make_shared<PendingDecision>();
        budget::BudgetRequest request;
        request.account = name;
        request.tokens = tokens;
        request.extraTokens = account.demandRate * base::secondsOf(borrowAheadTime);
        request.priority = priority;
        request.arrivedAt = arrivedAt;
        request.deadline = deadline;
        m_budget.request(request, [&loop = m_loop, pending](const budget::BudgetDecision& decision) {
            loop.post([pending, decision] {
                pending->decision = decision;
                pending->done.set();
            });
        });
        pending->done.waitUntil();
        const budget::BudgetDecision& decision = pending->decision;
        if (decision.isUnsatisfiable)
            return { AcquireStatus::ExceedsBurst };
        if (!decision.isGranted)
            return { decision.isUnreachable ? AcquireStatus::Unreachable : AcquireStatus::Refused,
                std::chrono::ceil<base::Millis>(decision.retryAfter) };
        // The next iteration checks the clock again: tokens that arrive too late are returned, not used.
        for (const Grant& grant : decision.grants)
            m_accounts[name].cachedGrants.push_back({ grant, decision.validUntil });
        if (!m_expiryTimer)
            m_expiryTimer
                = m_loop.timers().subscribe(base::Clock::now() + expirySweepInterval, [this] { sweepExpired(); });
    }
}

void TokenCache::sweepExpired()
{
    m_expiryTimer = 0;
    base::TimePoint now = base::Clock::now();
    bool hasCachedGrants = false;
    for (auto& [name, account] : m_accounts) {
        returnExpired(name, account, now);
        hasCachedGrants |= !account.cachedGrants.empty();
    }
    if (hasCachedGrants)
        m_expiryTimer = m_loop.timers().subscribe(now + expirySweepInterval, [this] { sweepExpired(); });
}

void TokenCache::settle(const std::string& account, const std::vector<Grant>& grants, double usedTokens)
{
    for (const Grant& grant : grants) {
        double part = std::min(usedTokens, grant.tokens);
        usedTokens -= part;
        if (grant.tokens > part)
            returnUnused(account, grant, grant.tokens - part);
    }
    if (usedTokens > 0 && !grants.empty())
        returnUnused(account, grants.front(), -usedTokens);
}

void TokenCache::returnUnused(const std::string& account, const Grant& grant, double tokens)
{
    if (tokens == 0)
        return;
    m_unusedTokens.push_back({ account, grant, tokens });
    if (!m_flushTimer)
        m_flushTimer = m_loop.timers().subscribe(base::Clock::now() + flushDelay, [this] {
            m_flushTimer = 0;
            flushUnused();
        });
}

void TokenCache::flushUnused()
{
    if (!m_unusedTokens.empty())
        m_budget.returnTokens(std::move(m_unusedTokens));
    m_unusedTokens.clear();
}

void TokenCache::returnAll()
{
    for (auto& [name, account] : m_accounts) {
        for (const CachedGrant& cached : account.cachedGrants)
            returnUnused(name, cached.grant, cached.grant.tokens);
        account.cachedGrants.clear();
    }
    flushUnused();
}

} // namespace rattanshunt::entry

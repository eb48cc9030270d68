#include "entry/TokenCache.h"

#include <cmath>

namespace rattanshunt::entry {

using budget::Grant;

namespace {
    constexpr base::Millis flushDelay { 5 };
    constexpr base::Millis sweepInterval { 50 };
    constexpr base::Millis forecast { 40 }; // demand of this time is borrowed ahead
    constexpr base::Millis useMargin { 1 }; // tokens this close to their end are not used
    constexpr double rateMemory = 0.5;      // seconds over which demand is smoothed
}

Wallet::Wallet(net::Loop& loop, budget::BudgetService& budget, base::Millis validity)
    : m_loop(loop)
    , m_budget(budget)
    , m_validity(validity)
{
}

Wallet::~Wallet()
{
    m_loop.timers().cancel(m_flushTimer);
    m_loop.timers().cancel(m_sweepTimer);
}

void Wallet::noteDemand(AccountState& account, double tokens, base::TimePoint now)
{
    double age = account.ratedAt == base::TimePoint {} ? 0 : base::secondsOf(now - account.ratedAt);
    account.rate = account.rate * std::exp(-age / rateMemory) + tokens / rateMemory;
    account.ratedAt = now;
}

void Wallet::dropExpired(const std::string& name, AccountState& account, base::TimePoint now)
{
    while (!account.lots.empty() && account.lots.front().validUntil <= now + useMargin) {
        giveBack(name, account.lots.front().grant, account.lots.front().grant.tokens);
        account.lots.pop_front();
    }
}

bool Wallet::takeFromLots(AccountState& account, double tokens, base::TimePoint now, std::vector<Grant>& grants)
{
    double available = 0;
    for (const Lot& lot : account.lots)
        available += lot.grant.tokens;
    if (available < tokens)
        return false;
    double missing = tokens;
    while (missing > 0 && !account.lots.empty()) {
        Lot& lot = account.lots.front();
        if (lot.validUntil <= now)
            return false;
        double part = std::min(missing, lot.grant.tokens);
        Grant grant = lot.grant;
        grant.tokens = part;
        grants.push_back(grant);
        lot.grant.tokens -= part;
        missing -= part;
        if (lot.grant.tokens <= 0)
            account.lots.pop_front();
    }
    return true;
}

Wallet::Answer Wallet::acquire(const std::string& name, double tokens, resources::ValueClass value,
    base::TimePoint arrivedAt, base::TimePoint deadline, std::vector<Grant>& grants)
{
    if (tokens <= 0)
        return {};
    noteDemand(m_accounts[name], tokens, base::Clock::now());
    while (true) {
        base::TimePoint now = base::Clock::now();
        AccountState& account = m_accounts[name];
        dropExpired(name, account, now);
        if (takeFromLots(account, tokens, now, grants))
            return {};
        if (now >= deadline)
            return { Result::Refused };
        struct Waiting {
            net::Event done;
            budget::BudgetDecision decision;
            bool isAbandoned = false;
        };
        auto waiting = std::make_shared<Waiting>();
        budget::BudgetRequest request;
        request.account = name;
        request.tokens = tokens;
        request.extra = account.rate * base::secondsOf(forecast);
        request.value = value;
        request.arrivedAt = arrivedAt;
        request.deadline = deadline;
        m_budget.request(request, [&loop = m_loop, waiting](const budget::BudgetDecision& decision) {
            loop.post([waiting, decision] {
                waiting->decision = decision;
                waiting->done.set();
            });
        });
        waiting->done.waitUntil();
        const budget::BudgetDecision& decision = waiting->decision;
        if (decision.isNever)
            return { Result::Never };
        if (!decision.isGranted)
            return { decision.isUnreachable ? Result::Unreachable : Result::Refused,
                std::chrono::ceil<base::Millis>(decision.retryAfter) };
        // The clock is checked again at the top: late tokens are returned, not used.
        for (const Grant& grant : decision.grants)
            m_accounts[name].lots.push_back({ grant, decision.validUntil });
        if (!m_sweepTimer)
            m_sweepTimer = m_loop.timers().subscribe(base::Clock::now() + sweepInterval, [this] { sweep(); });
    }
}

void Wallet::sweep()
{
    m_sweepTimer = 0;
    base::TimePoint now = base::Clock::now();
    bool isLeft = false;
    for (auto& [name, account] : m_accounts) {
        dropExpired(name, account, now);
        isLeft |= !account.lots.empty();
    }
    if (isLeft)
        m_sweepTimer = m_loop.timers().subscribe(now + sweepInterval, [this] { sweep(); });
}

void Wallet::settle(const std::string& account, const std::vector<Grant>& grants, double used)
{
    for (const Grant& grant : grants) {
        double part = std::min(used, grant.tokens);
        used -= part;
        if (grant.tokens > part)
            giveBack(account, grant, grant.tokens - part);
    }
    if (used > 0 && !grants.empty())
        giveBack(account, grants.front(), -used);
}

void Wallet::giveBack(const std::string& account, const Grant& grant, double tokens)
{
    if (tokens == 0)
        return;
    m_unused.push_back({ account, grant, tokens });
    if (!m_flushTimer)
        m_flushTimer = m_loop.timers().subscribe(base::Clock::now() + flushDelay, [this] {
            m_flushTimer = 0;
            flush();
        });
}

void Wallet::flush()
{
    if (!m_unused.empty())
        m_budget.giveBack(std::move(m_unused));
    m_unused.clear();
}

void Wallet::close()
{
    for (auto& [name, account] : m_accounts) {
        for (const Lot& lot : account.lots)
            giveBack(name, lot.grant, lot.grant.tokens);
        account.lots.clear();
    }
    flush();
}

} // namespace rattanshunt::entry

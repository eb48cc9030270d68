// Cache of budget tokens that one traffic thread has borrowed.
//
// A request takes its tokens from the cache if there are enough. Otherwise the cache borrows them from the budget
// service, together with the tokens that the next requests of the account are likely to need. Tokens that expire unused
// are returned to the budget.
//
// All methods must be called on the cache's own traffic thread.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "budget/BudgetService.h"
#include "net/Loop.h"

namespace rattanshunt::entry {

class TokenCache {
public:
    TokenCache(net::Loop&, budget::BudgetService&, base::Millis validity);
    ~TokenCache();

    enum class AcquireStatus { Granted, Refused, ExceedsBurst, Unreachable };

    struct AcquireResult {
        AcquireStatus status = AcquireStatus::Granted;
        base::Millis retryAfter { 0 }; // if refused: time until the tokens would have been available; 0: unknown
    };

    // Obtains `tokens` for one request and appends to `grants` the grants that they come from. Suspends until
    // `deadline` at most.
    AcquireResult acquire(const std::string& account, double tokens, resources::PriorityClass,
        base::TimePoint arrivedAt, base::TimePoint deadline, std::vector<budget::Grant>& grants);

    // Settles a request that used `usedTokens`: unused tokens of its grants are returned, and use beyond the grants is
    // charged.
    void settle(const std::string& account, const std::vector<budget::Grant>& grants, double usedTokens);

    // Returns all cached tokens. Call before the thread ends.
    void returnAll();

private:
    struct CachedGrant {
        budget::Grant grant; // `tokens` is reduced as requests take them
        base::TimePoint validUntil {};
    };
    struct AccountState {
        std::deque<CachedGrant> cachedGrants;
        double demandRate = 0; // tokens per second requested on this thread, smoothed
        base::TimePoint demandRateUpdatedAt {};
    };

    bool takeCached(AccountState&, double tokens, base::TimePoint now, std::vector<budget::Grant>& grants);
    void returnExpired(const std::string& account, AccountState&, base::TimePoint now);
    void recordDemand(AccountState&, double tokens, base::TimePoint now);
    void returnUnused(const std::string& account, const budget::Grant&, double tokens);
    void flushUnused();
    void sweepExpired();

    net::Loop& m_loop;
    budget::BudgetService& m_budget;
    base::Millis m_tokenValidity;
    std::map<std::string, AccountState> m_accounts;
    std::vector<budget::UnusedTokens> m_unusedTokens;
    net::TimerId m_flushTimer = 0;
    net::TimerId m_expiryTimer = 0;
};

} // namespace rattanshunt::entry

// Tokens that one traffic thread has borrowed and may still use.
//
// A request takes tokens from here if there are enough; otherwise it asks the budget for its own need and for what the
// next requests of its account are likely to need. Tokens whose validity ends go back unused.
//
// Own thread only.
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
        base::Millis retryAfter { 0 }; // of a refusal: when the request's turn would have come; 0: not known
    };

    // Gets `tokens` for one request; `grants` then names where they came from. Suspends until `deadline` at most.
    AcquireResult acquire(const std::string& account, double tokens, resources::PriorityClass,
        base::TimePoint arrivedAt, base::TimePoint deadline, std::vector<budget::Grant>& grants);

    // Settles a request: of what was granted, `used` were used. More than granted is charged.
    void settle(const std::string& account, const std::vector<budget::Grant>& grants, double usedTokens);

    // Returns everything. Call before the thread ends.
    void returnAll();

private:
    struct CachedGrant {
        budget::Grant grant; // its tokens are what is left
        base::TimePoint validUntil {};
    };
    struct AccountState {
        std::deque<CachedGrant> cachedGrants;
        double demandRate = 0; // tokens a second asked for here, smoothed
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

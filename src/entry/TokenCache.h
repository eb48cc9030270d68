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

class Wallet {
public:
    Wallet(net::Loop&, budget::BudgetService&, base::Millis validity);
    ~Wallet();

    enum class Result { Granted, Refused, Never, Unreachable };

    struct Answer {
        Result result = Result::Granted;
        base::Millis retryAfter { 0 }; // of a refusal: when the request's turn would have come; 0: not known
    };

    // Gets `tokens` for one request; `grants` then names where they came from. Suspends until `deadline` at most.
    Answer acquire(const std::string& account, double tokens, resources::ValueClass, base::TimePoint arrivedAt,
        base::TimePoint deadline, std::vector<budget::Grant>& grants);

    // Settles a request: of what was granted, `used` were used. More than granted is charged.
    void settle(const std::string& account, const std::vector<budget::Grant>& grants, double used);

    // Returns everything. Call before the thread ends.
    void close();

private:
    struct Lot {
        budget::Grant grant; // its tokens are what is left
        base::TimePoint validUntil {};
    };
    struct AccountState {
        std::deque<Lot> lots;
        double rate = 0; // tokens a second asked for here, smoothed
        base::TimePoint ratedAt {};
    };

    bool takeFromLots(AccountState&, double tokens, base::TimePoint now, std::vector<budget::Grant>& grants);
    void dropExpired(const std::string& account, AccountState&, base::TimePoint now);
    void noteDemand(AccountState&, double tokens, base::TimePoint now);
    void giveBack(const std::string& account, const budget::Grant&, double tokens);
    void flush();
    void sweep();

    net::Loop& m_loop;
    budget::BudgetService& m_budget;
    base::Millis m_validity;
    std::map<std::string, AccountState> m_accounts;
    std::vector<budget::UnusedTokens> m_unused;
    net::TimerId m_flushTimer = 0;
    net::TimerId m_sweepTimer = 0;
};

} // namespace rattanshunt::entry

// Distributed rate limiting: lends tokens from the slots that this daemon holds and borrows tokens for its requests.
//
// Control thread only, except request() and returnTokens(), which may be called from any thread.
#pragma once

#include <functional>
#include <memory>

#include "budget/Borrower.h"
#include "budget/Lender.h"
#include "fleet/Fleet.h"
#include "resources/Catalog.h"

namespace rattanshunt::budget {

struct SlotStatus {
    size_t slot = 0;
    std::string holder;
    int64_t epoch = 0;
    bool isOwn = false;
    std::map<std::string, double> levels; // by account; only if isOwn
};

struct UnusedTokens {
    std::string account;
    Grant grant;
    double tokens = 0; // negative: used beyond the grant
};

class BudgetService {
public:
    BudgetService(fleet::Fleet&, const BudgetOptions&);
    ~BudgetService();

    // -- commands --
    void start();

    // Releases all slots, with their levels, so that other daemons can take them. Suspends for up to 2 s.
    void release();
    void stop();

    // Sets the configured accounts. To be called after each change of them.
    void setCatalog(std::shared_ptr<const resources::Catalog>);

    // Requests tokens. `onDecision` runs on the control thread and must not suspend. Thread-safe.
    void request(BudgetRequest, std::function<void(const BudgetDecision&)> onDecision);

    // Returns unused tokens; a negative number is a charge. Thread-safe.
    void returnTokens(std::vector<UnusedTokens>);

    // -- queries --
    std::vector<SlotStatus> slots() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::budget

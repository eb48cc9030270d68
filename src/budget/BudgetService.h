// Carries the budget's decisions: holds slots as a home, borrows for this daemon's requests.
//
// All methods: control thread only, but for request() and giveBack(), which any thread may call.
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
    std::map<std::string, double> levels; // by account; own slots only
};

struct UnusedTokens {
    std::string account;
    Grant grant;
    double tokens = 0; // below zero: used beyond the grant
};

class BudgetService {
public:
    BudgetService(fleet::Fleet&, const BudgetOptions&);
    ~BudgetService();

    // -- commands --
    void start();

    // Hands all slots over to whoever takes them next. Suspends.
    void release();
    void stop();

    // The accounts as operators declared them; called after each change.
    void setCatalog(std::shared_ptr<const resources::Catalog>);

    // Asks for tokens. `onDecision` runs on the control thread and must not suspend. Safe from any thread.
    void request(BudgetRequest, std::function<void(const BudgetDecision&)> onDecision);

    // Returns unused tokens, and charges where `tokens` is below zero. Safe from any thread.
    void returnTokens(std::vector<UnusedTokens>);

    // -- queries --
    std::vector<SlotStatus> slots() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::budget

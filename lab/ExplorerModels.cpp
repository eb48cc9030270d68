// The list of models, whole and with each safeguard taken out.
#include "ExplorerModels.h"

namespace rattanshunt::lab {

std::vector<ExplorerCase> explorerCases()
{
    std::vector<ExplorerCase> cases;
    auto add = [&](const char* name, auto make, Safeguard without) {
        cases.push_back({ name, without, make(without) });
    };
    auto fenced = [](Safeguard without) { return placementModel(without, true); };
    auto unfenced = [](Safeguard without) { return placementModel(without, false); };
    add("budget", budgetModel, Safeguard::None);
    add("budget without token validity", budgetModel, Safeguard::TokenValidity);
    add("budget without the lowered burst", budgetModel, Safeguard::LoweredBurst);
    add("budget without the term before a takeover", budgetModel, Safeguard::TermBeforeTakeover);
    add("placement, fencing checked", fenced, Safeguard::None);
    add("placement, fencing ignored", unfenced, Safeguard::None);
    add("placement that frees unresolved orders", unfenced, Safeguard::KeepUnresolved);
    add("placement without a boot on the connection", unfenced, Safeguard::BootOnConnection);
    add("once", onceModel, Safeguard::None);
    add("once with a retry after the send", onceModel, Safeguard::NoRetryAfterSend);
    add("once without claims", onceModel, Safeguard::ClaimBeforeSend);
    add("config", configModel, Safeguard::None);
    add("config that applies older revisions", configModel, Safeguard::NoOlderRevision);
    add("config without the majority rule", configModel, Safeguard::FreshnessMajority);
    add("attempts", attemptsModel, Safeguard::None);
    add("attempts that take a lost answer for not run", attemptsModel, Safeguard::SureNotRun);
    add("attempts that refuse what may have run", attemptsModel, Safeguard::TrueRefusal);
    add("orders", ordersModel, Safeguard::None);
    add("orders without a gap between hubs", ordersModel, Safeguard::GapBetweenHubs);
    add("orders by a clock that stops in a freeze", ordersModel, Safeguard::ClockOverFreeze);
    add("orders by a lease from its answer", ordersModel, Safeguard::LeaseFromAsking);
    add("orders recorded at the election", ordersModel, Safeguard::RecordBeforeOrders);
    add("orders that expect nothing", ordersModel, Safeguard::ExpectedOrders);
    add("freshness", freshnessModel, Safeguard::None);
    add("freshness by a clock that stops in a freeze", freshnessModel, Safeguard::ClockOverFreeze);
    add("freshness from the answer", freshnessModel, Safeguard::ProofFromAsking);
    add("freshness without the peer's age", freshnessModel, Safeguard::AgeOfKnowledge);
    add("repeats", repeatsModel, Safeguard::None);
    add("repeats without shares", repeatsModel, Safeguard::ShareOfBudget);
    add("repeats with a whole part at a new start", repeatsModel, Safeguard::LeanStart);
    return cases;
}

} // namespace rattanshunt::lab

// The list of models, whole and with each safeguard taken out.
#include "ExplorerModels.h"

namespace rattanshunt::lab {

std::vector<ExplorerCase> explorerCases()
{
    std::vector<ExplorerCase> cases;
    auto add = [&](const char* name, auto createModel, Safeguard removedSafeguard) {
        cases.push_back({ name, removedSafeguard, createModel(removedSafeguard) });
    };
    auto fenced = [](Safeguard removedSafeguard) { return placementModel(removedSafeguard, true); };
    auto unfenced = [](Safeguard removedSafeguard) { return placementModel(removedSafeguard, false); };
    add("budget", budgetModel, Safeguard::None);
    add("budget without token validity", budgetModel, Safeguard::TokenValidity);
    add("budget without the lowered burst", budgetModel, Safeguard::LoweredBurst);
    add("budget without the term before a takeover", budgetModel, Safeguard::LeaseTermBeforeTakeover);
    add("placement, fencing checked", fenced, Safeguard::None);
    add("placement, fencing ignored", unfenced, Safeguard::None);
    add("placement that frees unresolved orders", unfenced, Safeguard::KeepUnresolvedOrders);
    add("placement without a boot on the connection", unfenced, Safeguard::ConnectionBoundToBoot);
    add("once", idempotencyModel, Safeguard::None);
    add("once with a retry after the send", idempotencyModel, Safeguard::NoRetryAfterSend);
    add("once without claims", idempotencyModel, Safeguard::ClaimBeforeSend);
    add("config", configModel, Safeguard::None);
    add("config that applies older revisions", configModel, Safeguard::RejectOlderRevisions);
    add("config without the majority rule", configModel, Safeguard::FreshnessMajority);
    add("attempts", attemptsModel, Safeguard::None);
    add("attempts that take a lost answer for not run", attemptsModel, Safeguard::LostAnswerIsUnknown);
    add("attempts that refuse what may have run", attemptsModel, Safeguard::RefuseOnlyIfNotExecuted);
    add("orders", hubOrdersModel, Safeguard::None);
    add("orders without a gap between hubs", hubOrdersModel, Safeguard::OrderGapAfterElection);
    add("orders by a clock that stops in a freeze", hubOrdersModel, Safeguard::ClockCountsSuspension);
    add("orders by a lease from its answer", hubOrdersModel, Safeguard::LeaseFromRequestTime);
    add("orders recorded at the election", hubOrdersModel, Safeguard::RecordOrdererWhenAllowed);
    add("orders that expect nothing", hubOrdersModel, Safeguard::ExpectedOrderCount);
    add("freshness", freshnessModel, Safeguard::None);
    add("freshness by a clock that stops in a freeze", freshnessModel, Safeguard::ClockCountsSuspension);
    add("freshness from the answer", freshnessModel, Safeguard::FreshnessFromRequestTime);
    add("freshness without the peer's age", freshnessModel, Safeguard::AgeOfPeerData);
    add("repeats", retryBudgetModel, Safeguard::None);
    add("repeats without shares", retryBudgetModel, Safeguard::RetryBudgetShare);
    add("repeats with a whole part at a new start", retryBudgetModel, Safeguard::ReducedBudgetAfterRestart);
    return cases;
}

} // namespace rattanshunt::lab

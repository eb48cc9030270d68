// The list of models: with all safeguards, and with each safeguard removed.
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
    auto ledger = [](Safeguard removedSafeguard) { return replicaLedgerModel(removedSafeguard, false); };
    auto lateLedger = [](Safeguard removedSafeguard) { return replicaLedgerModel(removedSafeguard, true); };
    add("budget", budgetModel, Safeguard::None);
    add("budget without token validity", budgetModel, Safeguard::TokenValidity);
    add("budget without the lowered burst", budgetModel, Safeguard::LoweredBurst);
    add("budget without the lease term before a takeover", budgetModel, Safeguard::LeaseTermBeforeTakeover);
    add("placement, fencing checked", fenced, Safeguard::None);
    add("placement, fencing ignored", unfenced, Safeguard::None);
    add("placement that frees unresolved orders", unfenced, Safeguard::KeepUnresolvedOrders);
    add("placement with connections that outlive a restart", unfenced, Safeguard::ConnectionBoundToBoot);
    add("once", idempotencyModel, Safeguard::None);
    add("once with a retry after the send", idempotencyModel, Safeguard::NoRetryAfterSend);
    add("once without claims", idempotencyModel, Safeguard::ClaimBeforeSend);
    add("config", configModel, Safeguard::None);
    add("config that applies older revisions", configModel, Safeguard::RejectOlderRevisions);
    add("config without the majority rule", configModel, Safeguard::FreshnessMajority);
    add("attempts", attemptsModel, Safeguard::None);
    add("attempts that treat a lost answer as not executed", attemptsModel, Safeguard::LostAnswerIsUnknown);
    add("attempts that refuse what may have been executed", attemptsModel, Safeguard::RefuseOnlyIfNotExecuted);
    add("orders", hubOrdersModel, Safeguard::None);
    add("orders without a gap after the election", hubOrdersModel, Safeguard::OrderGapAfterElection);
    add("orders with a clock that stops while suspended", hubOrdersModel, Safeguard::ClockCountsSuspension);
    add("orders with a lease counted from the answer", hubOrdersModel, Safeguard::LeaseFromRequestTime);
    add("orders recorded at the election", hubOrdersModel, Safeguard::RecordOrdererWhenAllowed);
    add("orders without an expected order count", hubOrdersModel, Safeguard::ExpectedOrderCount);
    add("ledger", ledger, Safeguard::None);
    add("ledger with adapters in transit from another report", ledger, Safeguard::InTransitWithHeld);
    add("ledger that lets adapters in transit be unloaded", ledger, Safeguard::NoUnloadInTransit);
    add("ledger without an expected order count", ledger, Safeguard::ExpectedOrderCount);
    add("ledger with a late order", lateLedger, Safeguard::None);
    add("ledger that forgets the orders of earlier starts", lateLedger, Safeguard::OrdersOfEarlierStarts);
    add("freshness", freshnessModel, Safeguard::None);
    add("freshness with a clock that stops while suspended", freshnessModel, Safeguard::ClockCountsSuspension);
    add("freshness counted from the answer", freshnessModel, Safeguard::FreshnessFromRequestTime);
    add("freshness without the age of a peer's data", freshnessModel, Safeguard::AgeOfPeerData);
    add("repeats", retryBudgetModel, Safeguard::None);
    add("repeats without a budget share for each daemon", retryBudgetModel, Safeguard::RetryBudgetShare);
    add("repeats with a full budget share after a restart", retryBudgetModel, Safeguard::ReducedBudgetAfterRestart);
    add("parts", promptPartsModel, Safeguard::None);
    add("parts that answers do not clear", promptPartsModel, Safeguard::SettledPartIsInnocent);
    add("parts with ends of replicas that go on", promptPartsModel, Safeguard::ReportVoidsEnd);
    add("parts with repeated ends of one life", promptPartsModel, Safeguard::EndsOfDistinctLives);
    add("parts that a new hub is not told of", promptPartsModel, Safeguard::RetellNewHub);
    add("parts whose blocks end with the hub", promptPartsModel, Safeguard::TakeOverBlocks);
    add("versions", versionsModel, Safeguard::None);
    add("versions from a list that was read before the take-up", versionsModel, Safeguard::VersionsReadAfterTakeUp);
    return cases;
}

} // namespace rattanshunt::lab

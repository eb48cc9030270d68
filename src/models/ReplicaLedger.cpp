#include "models/ReplicaLedger.h"

#include <algorithm>

namespace rattanshunt::models {

using gateway::Engine;
using gateway::LoadedModel;
using gateway::ModelOrder;
using gateway::OrderResult;
using gateway::ReplicaReport;

namespace {

    // What a replica has loaded, or will have once the adapters in transit have arrived.
    struct Occupancy {
        double weightsMb = 0;
        size_t adapters = 0;
        bool isKnown = true; // the engine's configuration has every model
    };

    Occupancy occupancyOf(const ReplicaLedger& ledger, const Engine& engine)
    {
        Occupancy occupancy;
        auto addAdapter = [&](const std::string& model) {
            auto spec = engine.models.find(model);
            occupancy.isKnown = occupancy.isKnown && spec != engine.models.end();
            occupancy.weightsMb += spec == engine.models.end() ? 0 : spec->second.adapterMb;
            ++occupancy.adapters;
        };
        for (const LoadedModel& held : ledger.held) {
            auto spec = engine.models.find(held.name);
            occupancy.isKnown = occupancy.isKnown && spec != engine.models.end();
            occupancy.weightsMb += spec == engine.models.end() ? 0 : spec->second.weightsMb;
            for (size_t i = 0; i < held.adapters.size(); ++i)
                addAdapter(held.name);
        }
        for (const std::string& adapter : ledger.inTransit)
            addAdapter(adapter.substr(0, adapter.find('/')));
        return occupancy;
    }

    bool loadFits(const Occupancy& occupancy, const Engine& engine, const ModelOrder& order)
    {
        auto spec = engine.models.find(order.model);
        if (!occupancy.isKnown || spec == engine.models.end())
            return false;
        if (order.adapter.empty())
            return occupancy.weightsMb + spec->second.weightsMb <= engine.weightsMb;
        return occupancy.adapters < engine.adapterSlots
            && occupancy.weightsMb + spec->second.adapterMb <= engine.weightsMb;
    }

    bool adapterMayBeInTransit(const ReplicaLedger& ledger, const std::string& model, const std::string& adapter)
    {
        std::string name = model + "/" + adapter;
        return std::find(ledger.inTransit.begin(), ledger.inTransit.end(), name) != ledger.inTransit.end()
            || std::find(ledger.unconfirmed.begin(), ledger.unconfirmed.end(), name) != ledger.unconfirmed.end();
    }

    bool hasExpired(const UnansweredOrder& late, base::BootTime now, const LedgerOptions& options)
    {
        return now - late.sentAt > options.lateOrderLifetime;
    }

} // namespace

void ledgerAddHeld(ReplicaLedger& ledger, const std::string& model, const std::string& adapter)
{
    auto found = std::find_if(
        ledger.held.begin(), ledger.held.end(), [&](const LoadedModel& each) { return each.name == model; });
    if (found == ledger.held.end())
        found = ledger.held.insert(ledger.held.end(), LoadedModel { model, {} });
    if (adapter.empty())
        return;
    std::string name = model + "/" + adapter;
    std::erase(ledger.inTransit, name);
    if (std::find(found->adapters.begin(), found->adapters.end(), adapter) == found->adapters.end()) {
        found->adapters.push_back(adapter);
        ledger.unconfirmed.push_back(name);
    }
}

void ledgerRemoveHeld(ReplicaLedger& ledger, const std::string& model, const std::string& adapter)
{
    if (adapter.empty()) {
        std::erase_if(ledger.held, [&](const LoadedModel& each) { return each.name == model; });
        return;
    }
    for (LoadedModel& each : ledger.held) {
        if (each.name == model)
            std::erase(each.adapters, adapter);
    }
}

bool ledgerApplyReport(ReplicaLedger& ledger, const ReplicaReport& report, base::BootTime requestedAt, bool hasJob,
    const LedgerOptions& options)
{
    if (report.ordersAccepted > ledger.ordersAccepted) {
        // Orders that got no answer were accepted.
        ledger.ordersAccepted = report.ordersAccepted;
        ledger.isCurrent = false;
    }
    // Reports lag: one from before the last order, or from during an order, does not show what is loaded now.
    bool isReportCurrent = report.ordersAccepted == ledger.ordersAccepted && !report.isExecutingOrder
        && !ledger.isOrderPending && requestedAt >= ledger.lastOrderEndedAt;
    if (!isReportCurrent) {
        // The replica's count stays lower for longer than reports lag: it did not count an order that it answered with
        // "holds".
        if (report.ordersAccepted < ledger.ordersAccepted && !report.isExecutingOrder && !ledger.isOrderPending
            && !hasJob && requestedAt - ledger.lastOrderEndedAt > options.maxReportLag)
            ledger.ordersAccepted = report.ordersAccepted;
        return false;
    }
    bool isChanged = !ledger.isCurrent || !(ledger.held == report.models);
    ledger.isCurrent = true;
    ledger.held = report.models;
    ledger.inTransit = report.pendingAdapters;
    ledger.unconfirmed.clear();
    return isChanged;
}

void ledgerOrderSent(ReplicaLedger& ledger)
{
    ledger.isOrderPending = true;
}

void ledgerOrderEnded(
    ReplicaLedger& ledger, const ModelOrder& order, OrderResult result, base::BootTime sentAt, base::BootTime now)
{
    ledger.isOrderPending = false;
    ledger.lastOrderEndedAt = now;
    if (result == OrderResult::Unknown && order.isLoad)
        ledger.unanswered.push_back({ order, sentAt });
    if (result == OrderResult::Accepted || (result == OrderResult::AlreadyApplied && !order.adapter.empty()))
        ledger.ordersAccepted = std::max(ledger.ordersAccepted, order.expectedOrdersAccepted + 1);
}

ReplicaLedger ledgerBeginStart(const ReplicaLedger& previous, base::BootTime now, const LedgerOptions& options)
{
    ReplicaLedger ledger;
    ledger.unansweredEarlier = previous.unansweredEarlier;
    ledger.unansweredEarlier.insert(
        ledger.unansweredEarlier.end(), previous.unanswered.begin(), previous.unanswered.end());
    std::erase_if(
        ledger.unansweredEarlier, [&](const UnansweredOrder& late) { return hasExpired(late, now, options); });
    return ledger;
}

bool ledgerOrderFits(const ReplicaLedger& ledger, const Engine& engine, const ModelOrder& order, base::BootTime now,
    const LedgerOptions& options)
{
    if (!order.isLoad && !order.adapter.empty() && adapterMayBeInTransit(ledger, order.model, order.adapter))
        return false;
    if (!order.isLoad && ledger.unansweredEarlier.empty())
        return true;
    if (!ledger.isCurrent || (order.isLoad && !loadFits(occupancyOf(ledger, engine), engine, order)))
        return false;
    ReplicaLedger after = ledger;
    if (order.isLoad)
        ledgerAddHeld(after, order.model, order.adapter);
    else
        ledgerRemoveHeld(after, order.model, order.adapter);
    Occupancy occupancy = occupancyOf(after, engine);
    return std::all_of(
        ledger.unansweredEarlier.begin(), ledger.unansweredEarlier.end(), [&](const UnansweredOrder& late) {
            return late.order.expectedOrdersAccepted != ledger.ordersAccepted + 1 || hasExpired(late, now, options)
                || loadFits(occupancy, engine, late.order);
        });
}

} // namespace rattanshunt::models

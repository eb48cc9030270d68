// What the hub knows of one replica's models after the orders that it sent, and whether another order surely fits.
//
// Contents
//   [1] Data            UnansweredOrder, ReplicaLedger, LedgerOptions
//   [2] Changes         ledgerApplyReport(), ledgerOrderSent(), ledgerOrderEnded(), ledgerBeginStart()
//   [3] Decision        ledgerOrderFits()
//
// Load pattern: adapters are loaded one after another on a replica that works slowly, so its reports lag behind several
// orders and show adapters in transit; orders get no answer and are carried out seconds later; replicas restart under
// their identifier while such orders are under way. A replica that is ordered to load more than fits crashes.
//
// Every order carries the number of orders that the replica had accepted (the order count), and fails if that has
// changed. `held` and `inTransit` are always the state at one order count, taken from one report, so an order that is
// accepted was planned for the state that it meets. They are never combined with parts of another report.
//
// Q: What if the replica restarts?  A: Its order count starts anew at 0, and an order to its previous start that was
// not
//    answered may reach the new start when the counts agree. Until such an order has expired, no order is sent that
//    would bring the replica to that count without room for it.
//
// Pure functions; the calling thread owns the data. Times are boot times, which advance while the machine is suspended.
#pragma once

#include <string>
#include <vector>

#include "gateway/Configuration.h"
#include "gateway/WireCodec.h"

namespace rattanshunt::models {

// ---- [1] Data ----------------------------------------------------------------------------------

// A load order without an answer, sent to an earlier start of the replica.
struct UnansweredOrder {
    gateway::ModelOrder order;
    base::BootTime sentAt {};
};

struct ReplicaLedger {
    int64_t ordersAccepted = 0;              // lower bound, from reports and accepted orders
    bool isCurrent = false;                  // `held` and `inTransit` are the state after `ordersAccepted` orders
    std::vector<gateway::LoadedModel> held;  // models and adapters
    std::vector<std::string> inTransit;      // MODEL/ADAPTER, on their way from the weight store
    std::vector<std::string> unconfirmed;    // MODEL/ADAPTER in `held` that no report has shown yet; may be in transit
    bool isOrderPending = false;             // an order was sent and its call has not ended
    base::BootTime lastOrderEndedAt {};      // end of the last order's call, with or without an answer
    std::vector<UnansweredOrder> unanswered; // of this start
    std::vector<UnansweredOrder> unansweredEarlier; // of earlier starts; they may still reach this one
};

struct LedgerOptions {
    base::Millis maxReportLag { 1500 };     // how far a report may lag behind the replica's state
    base::Seconds lateOrderLifetime { 20 }; // after which an order without an answer is not carried out any more
};

// ---- [2] Changes -------------------------------------------------------------------------------

// Takes a report over if it shows the state after the last order. Returns whether `held` changed or became current.
// `requestedAt`: when the report was requested. `hasJob`: a job of this hub is under way at the replica.
bool ledgerApplyReport(
    ReplicaLedger&, const gateway::ReplicaReport&, base::BootTime requestedAt, bool hasJob, const LedgerOptions&);

// Call before an order is sent, and when its call has ended.
void ledgerOrderSent(ReplicaLedger&);
void ledgerOrderEnded(
    ReplicaLedger&, const gateway::ModelOrder&, gateway::OrderResult, base::BootTime sentAt, base::BootTime now);

// The ledger of a new start of the same replica; `previous` is the ledger of the start before it.
ReplicaLedger ledgerBeginStart(const ReplicaLedger& previous, base::BootTime now, const LedgerOptions&);

// Call when a load was accepted, and when an unload is complete.
void ledgerAddHeld(ReplicaLedger&, const std::string& model, const std::string& adapter);
void ledgerRemoveHeld(ReplicaLedger&, const std::string& model, const std::string& adapter);

// ---- [3] Decision ------------------------------------------------------------------------------

// Whether the order can be sent now without overcommitting the replica, also if a late order reaches it afterwards.
// False for a load if the state is not known, and for the unload of an adapter that may still be in transit: the
// replica may answer that it does not have it, and have it later.
bool ledgerOrderFits(
    const ReplicaLedger&, const gateway::Engine&, const gateway::ModelOrder&, base::BootTime now, const LedgerOptions&);

} // namespace rattanshunt::models

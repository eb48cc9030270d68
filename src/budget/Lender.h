// A budget home: it holds one slot of all accounts' rates and lends tokens to daemons.
//
// Contents
//   [1] Options and terms   BudgetOptions, homeShare()
//   [2] Messages            BudgetCall, BudgetAnswer: what a daemon asks a home
//   [3] Home                state and homeAnswer()
//   [4] The right to lend   SlotRecord, slotMayLend(), slotMayTake()
//
// The fleet has `slots` homes; each holds 1/slots of every account's rate and burst. A daemon borrows tokens and may
// use them only until the time at which it sent the request plus `validity`. The home deducts them before it answers,
// and its capacity is lowered by rate x validity, so that spending in any window stays within burst + rate x window,
// whatever crashes, pauses or is lost.
//
// Waiting: an item that cannot be granted at once takes a place in the account's order at its lead home and is then
// gathered in equal parts from all homes: each home keeps the tokens of items that stand before others, so a large
// request is not starved by small ones that always fit. Order is by arrival, with a head start for higher classes.
//
// Load pattern: one account at five times its rate. An order without a bound fills up until each request is granted
// just before its deadline or refused at it. Here an item whose turn comes too late is told so when it first asks, and
// those ahead of a newcomer may take half of its time at most, so that the granted ones have time left to be served.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/Time.h"
#include "budget/Bucket.h"
#include "coordination/Kv.h"
#include "resources/Resources.h"

namespace rattanshunt::budget {

// ---- [1] Options and terms ---------------------------------------------------------------------

struct BudgetOptions {
    size_t slotCount = 4;                 // homes that an account is divided over
    base::Millis tokenValidity { 100 };   // of borrowed tokens, from the sending of the request
    base::Seconds slotLeaseTerm { 1800 }; // a slot's right outlives the last confirmation by this
    base::Millis classHeadStart { 500 };  // per class, in the order of waiting
    bool lowersBurst = true;              // switched off only by tests that show what it prevents
    bool checksTokenValidity = true;      // likewise
};

struct LenderShare {
    double rate = 0;
    double capacity = 0;
};

// One slot's part of an account, its capacity lowered by what the validity may add.
LenderShare lenderShare(const resources::Account&, const BudgetOptions&);

// ---- [2] Messages ------------------------------------------------------------------------------

enum class BudgetItemMode {
    Take,        // grant at once or not at all
    Enqueue,     // take a place in the order (lead home)
    Probe,       // would a take at this place be granted?
    TakeInOrder, // grant at this place
    Leave,       // give up the place
};

struct BudgetItem {
    uint64_t requestId = 0; // the asker's; comes back in the answer
    std::string account;
    BudgetItemMode mode = BudgetItemMode::Take;
    double tokens = 0;      // needed
    double extraTokens = 0; // wanted beyond, if nobody waits (Take only)
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    base::Micros waited { 0 };  // since the request arrived (Enqueue)
    int64_t queueKey = 0;       // place in the order, from Enqueue's answer
    std::string waiterId;       // identifies the waiting request in the fleet
    base::Micros maxWait { 0 }; // time that is left for waiting; 0: not limited (Probe, TakeInOrder)
    bool isNewWaiter = false;   // has not waited at this home yet
};

struct TokenReturn {
    std::string account;
    double tokens = 0; // below zero: a charge for tokens used beyond the reservation
    TakeNumber take = 0;
};

struct BudgetCall {
    int64_t epoch = 0; // of the slot's holder that gave the takes in `returns`; 0: none
    std::vector<BudgetItem> items;
    std::vector<TokenReturn> returns;
};

enum class BudgetItemStatus {
    Granted,         //
    Ready,           // a probe that a take would follow
    Queued,          // has a place; `order` is set
    Wait,            // not now; `retryAfter` is set
    ExceedsCapacity, // needs more than the account's capacity
    UnknownAccount,  // no such account
    TooLate, // its turn would not come in time; it has no place any more, `retryAfter` tells when its turn would be
};

struct BudgetItemAnswer {
    uint64_t requestId = 0;
    BudgetItemStatus status = BudgetItemStatus::Wait;
    double tokens = 0; // granted
    TakeNumber take = 0;
    int64_t queueKey = 0;
    double availableTokens = 0; // what the home has left for newcomers
    base::Micros retryAfter { 0 };
};

struct BudgetAnswer {
    int64_t epoch = 0; // of the holder; 0: this daemon does not hold the slot
    std::vector<BudgetItemAnswer> items;
};

nlohmann::json budgetCallToJson(const BudgetCall&);
BudgetCall budgetCallFromJson(const nlohmann::json&); // throws nlohmann::json::exception if malformed
nlohmann::json budgetAnswerToJson(const BudgetAnswer&);
BudgetAnswer budgetAnswerFromJson(const nlohmann::json&); // likewise

// ---- [3] Home ----------------------------------------------------------------------------------

struct LenderWaiter {
    std::string waiterId;
    int64_t queueKey = 0;
    double tokens = 0;
    base::TimePoint expiresAt {}; // unless it asks again
};

struct LenderAccount {
    Bucket bucket;
    std::vector<LenderWaiter> waiters; // by order
};

struct Lender {
    int64_t epoch = 0;                            // fencing number of the holder
    coordination::Revision takenOverRevision = 0; // revision of the record that gave the slot
    bool isFirstHolder = false;                   // nobody has lent from this slot before
    std::map<std::string, LenderAccount> accounts;
    std::map<std::string, double> handedOverLevels; // left by a holder that stopped in good order
};

// An account as the operators declared it. `createRevision` tells whether an earlier holder may have lent from it.
struct LenderAccountSpec {
    const resources::Account* account = nullptr; // null: unknown
    coordination::Revision createRevision = 0;
};
using AccountLookup = std::function<LenderAccountSpec(const std::string& name)>;

// Answers one call. Precondition: the right to lend was checked for `now`.
BudgetAnswer lenderAnswer(Lender&, const BudgetCall&, const AccountLookup&, const BudgetOptions&, base::TimePoint now);

// What is left in each account, for the next holder.
std::map<std::string, double> lenderLevels(const Lender&, base::TimePoint now);

// ---- [4] The right to lend ---------------------------------------------------------------------

struct SlotRecord {
    std::string holder; // name of the daemon; empty after a hand-over
    std::string incarnation;
    std::string address;  // of the holder, for its peers
    std::string instance; // the platform's identifier of the holder's instance
    int64_t epoch = 0;
    std::string operation;                // identifies the write
    std::map<std::string, double> levels; // left by the former holder
};

constexpr std::string_view slotKeyPrefix = "/rs/slot/";
std::string slotKvKey(size_t slot);
std::string slotToText(const SlotRecord&);
std::optional<SlotRecord> slotFromText(const std::string&);

// True while the holder may lend. `confirmedAt`: the latest time for which the KV is known to have held both the
// slot's record and the holder's session.
bool slotMayLend(base::TimePoint confirmedAt, base::TimePoint now, const BudgetOptions&);

struct SlotTakeoverEvidence {
    bool isVacant = false;                // no record, or handed over
    bool isSessionGone = false;           // the holder's session is not in the KV
    base::TimePoint sessionGoneSince {};  // when that was first seen here
    bool isHolderKnownTerminated = false; // the platform or a newer start shows that the holder has ended
};

// True if the slot's former holder can no longer lend, so that another may take the slot.
bool slotMayTake(const SlotTakeoverEvidence&, base::TimePoint now, const BudgetOptions&);

} // namespace rattanshunt::budget

// Lending side of the distributed rate limiter: holds one slot of all accounts' limits and lends tokens to daemons.
//
// Contents
//   [1] Options and shares   BudgetOptions, lenderShare()
//   [2] Messages             BudgetCall, BudgetAnswer: calls from a borrower to a lender
//   [3] Lender               state and lenderAnswer()
//   [4] Slot ownership       SlotRecord, slotMayLend(), slotMayTake()
//
// The rate limits are divided into `slotCount` slots, each with 1/slotCount of every account's rate and burst. At most
// one daemon at a time, the lender, may lend from a slot. A daemon borrows tokens and may use them only until
// `tokenValidity` after it sent the call. The lender deducts tokens before it answers, and its capacity is reduced by
// rate x tokenValidity. Usage in any time window therefore stays within burst + rate x window, also with crashes,
// pauses and lost messages.
//
// Waiting: a request that cannot be granted at once gets a queue key from its coordinator, one of the lenders, and then
// collects an equal part of its tokens from each lender. Each lender reserves tokens for the waiters ahead in the
// queue, so a large request is not starved by small ones that always fit. The queue is ordered by arrival time, less a
// head start for higher priority classes.
//
// Load pattern: one account at five times its rate. In an unbounded queue, every request would be granted just before
// its deadline or refused at it. Here a request whose turn would come too late is refused when it first asks, and the
// waiters ahead of a new one may use up at most half of its remaining time, so that granted requests have enough time
// left to be served.
//
// No I/O and no locking. Not thread-safe: the caller serializes access to a Lender.
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

// ---- [1] Options and shares --------------------------------------------------------------------

struct BudgetOptions {
    size_t slotCount = 4;                 // number of slots that each account's limit is divided into
    base::Millis tokenValidity { 100 };   // how long borrowed tokens may be used, from when the call was sent
    base::Seconds slotLeaseTerm { 1800 }; // how long a holder may lend after its slot was last confirmed
    base::Millis classHeadStart { 500 };  // queue advantage for each step of the priority class
    bool lowersBurst = true;              // off only in tests that show what the reduced capacity prevents
    bool checksTokenValidity = true;      // off only in tests that show what the check prevents
};

struct LenderShare {
    double rate = 0;     // tokens per second
    double capacity = 0; // tokens
};

// Returns one slot's share of an account's limit. The capacity is reduced by the refill during `tokenValidity`, because
// tokens may be used that much later than they were taken.
LenderShare lenderShare(const resources::Account&, const BudgetOptions&);

// ---- [2] Messages ------------------------------------------------------------------------------

enum class BudgetItemMode {
    Take,        // grant immediately or not at all
    Enqueue,     // assign a queue key (sent to the coordinator)
    Probe,       // check whether TakeInOrder would be granted now
    TakeInOrder, // grant if the tokens cover this waiter and all those ahead of it
    Leave,       // remove the waiter from the queue
};

// One request for tokens in a batched call.
struct BudgetItem {
    uint64_t requestId = 0; // assigned by the borrower and repeated in the answer
    std::string account;
    BudgetItemMode mode = BudgetItemMode::Take;
    double tokens = 0;      // number needed
    double extraTokens = 0; // wanted in addition if nobody is waiting (Take only)
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    base::Micros waited { 0 };  // time since the request arrived (Enqueue only)
    int64_t queueKey = 0;       // sort key in the wait queue, from the answer to Enqueue; lowest first
    std::string waiterId;       // identifies the waiting request across the fleet
    base::Micros maxWait { 0 }; // time left until the request's deadline; 0: unlimited (Probe, TakeInOrder)
    bool isNewWaiter = false;   // first Probe or TakeInOrder for this waiter at this lender
};

struct TokenReturn {
    std::string account;
    double tokens = 0;   // negative: a charge for tokens used beyond the grant
    TakeNumber take = 0; // that granted the tokens
};

struct BudgetCall {
    int64_t epoch = 0; // slot epoch in which the takes in `returns` were made; 0: no returns
    std::vector<BudgetItem> items;
    std::vector<TokenReturn> returns;
};

enum class BudgetItemStatus {
    Granted,         // `tokens` and `take` are set
    Ready,           // Probe only: TakeInOrder would be granted now
    Queued,          // `queueKey` is set
    Wait,            // not enough tokens yet; `retryAfter` is set if known
    ExceedsCapacity, // needs more tokens than this lender's bucket can hold
    UnknownAccount,  // the lender's catalog has no such account
    TooLate,         // its turn would come too late; removed from the queue, `retryAfter` is the time until its turn
};

struct BudgetItemAnswer {
    uint64_t requestId = 0;
    BudgetItemStatus status = BudgetItemStatus::Wait;
    double tokens = 0; // granted, including extra tokens
    TakeNumber take = 0;
    int64_t queueKey = 0;
    double availableTokens = 0; // level less the tokens reserved for waiters ahead; may be negative
    base::Micros retryAfter { 0 };
};

struct BudgetAnswer {
    int64_t epoch = 0; // slot epoch of the lender; 0: this daemon may not lend from the slot
    std::vector<BudgetItemAnswer> items;
};

nlohmann::json budgetCallToJson(const BudgetCall&);
BudgetCall budgetCallFromJson(const nlohmann::json&); // throws nlohmann::json::exception if malformed
nlohmann::json budgetAnswerToJson(const BudgetAnswer&);
BudgetAnswer budgetAnswerFromJson(const nlohmann::json&); // throws nlohmann::json::exception if malformed

// ---- [3] Lender --------------------------------------------------------------------------------

struct LenderWaiter {
    std::string waiterId;
    int64_t queueKey = 0;
    double tokens = 0;
    base::TimePoint expiresAt {}; // extended by each Probe or TakeInOrder
};

struct LenderAccount {
    Bucket bucket;
    std::vector<LenderWaiter> waiters; // sorted by queueKey, then waiterId
};

struct Lender {
    int64_t epoch = 0;                            // increased by each change of the slot's holder
    coordination::Revision takenOverRevision = 0; // revision of the slot record that names this daemon
    bool isFirstHolder = false;                   // no other holder has lent from this slot
    std::map<std::string, LenderAccount> accounts;
    std::map<std::string, double> handedOverLevels; // from the previous holder, if it released the slot
};

// An account from the catalog. An account created after `takenOverRevision` cannot have been lent from by an earlier
// holder, so its bucket starts full.
struct LenderAccountSpec {
    const resources::Account* account = nullptr; // null: no such account
    coordination::Revision createRevision = 0;
};
using AccountLookup = std::function<LenderAccountSpec(const std::string& name)>;

// Answers one call: applies its returns, then answers its items in order.
// Precondition: slotMayLend() is true for `now`.
BudgetAnswer lenderAnswer(Lender&, const BudgetCall&, const AccountLookup&, const BudgetOptions&, base::TimePoint now);

// Returns the level of each account, to be handed over to the next holder.
std::map<std::string, double> lenderLevels(const Lender&, base::TimePoint now);

// ---- [4] Slot ownership ------------------------------------------------------------------------

// The record in the KV that names a slot's holder.
struct SlotRecord {
    std::string holder;                   // daemon name; empty after a release
    std::string incarnation;              // start of the holder
    std::string address;                  // peer address of the holder
    std::string instance;                 // instance ID of the holder in the platform's list
    int64_t epoch = 0;                    // increased by each takeover
    std::string operation;                // random; identifies the write
    std::map<std::string, double> levels; // by account, from the holder that released the slot
};

constexpr std::string_view slotKeyPrefix = "/rs/slot/";
std::string slotKvKey(size_t slot);
std::string slotToText(const SlotRecord&);
std::optional<SlotRecord> slotFromText(const std::string&);

// Returns true while the holder may lend. `confirmedAt` is the latest time for which the KV is known to have contained
// both the slot record and the holder's session.
bool slotMayLend(base::TimePoint confirmedAt, base::TimePoint now, const BudgetOptions&);

struct SlotTakeoverEvidence {
    bool isVacant = false;                // no record, or released
    bool isSessionGone = false;           // the KV has no session for the holder's incarnation
    base::TimePoint sessionGoneSince {};  // when this daemon first observed it
    bool isHolderKnownTerminated = false; // per the platform's list or a newer start at its address
};

// Returns true if the slot's holder can no longer lend, so that another daemon may take the slot.
bool slotMayTake(const SlotTakeoverEvidence&, base::TimePoint now, const BudgetOptions&);

} // namespace rattanshunt::budget

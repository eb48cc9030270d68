// Borrowing side of the distributed rate limiter: requests wait here until tokens have been borrowed for them.
//
// Contents
//   [1] Requests        BudgetRequest, BudgetDecision, Grant
//   [2] Borrower        state; borrowerAdd(), borrowerStep(), borrowerAnswer(), borrowerFail()
//
// A request first asks the lender that is most likely to have enough tokens, then the other lenders in turn. If none
// grants it, the request joins the account's wait queue and collects an equal part of its tokens from each lender.
// borrowerStep() returns the calls to send. At most one call per slot is in flight, so requests that arrive in the
// meantime are batched in the next call.
//
// No I/O and no locking. Not thread-safe: the caller serializes access to a Borrower.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "budget/Lender.h"

namespace rattanshunt::budget {

// ---- [1] Requests ------------------------------------------------------------------------------

struct BudgetRequest {
    uint64_t id = 0; // assigned by the caller; unique in this daemon
    std::string account;
    double tokens = 0;
    double extraTokens = 0; // wanted in addition, for later requests
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    base::TimePoint arrivedAt {};
    base::TimePoint deadline {}; // refused if not granted by this time
};

// Tokens borrowed from one lender.
struct Grant {
    size_t slot = 0;
    int64_t epoch = 0; // slot epoch of the lender
    TakeNumber take = 0;
    double tokens = 0;
};

struct BudgetDecision {
    uint64_t id = 0;
    bool isGranted = false;
    bool isUnsatisfiable = false;  // never possible: more than the burst allows, or the account is unknown
    bool isUnreachable = false;    // refused without an answer from any lender
    base::Micros retryAfter { 0 }; // of a refusal: estimated time until its turn; 0: unknown
    std::vector<Grant> grants;
    base::TimePoint validUntil {}; // the tokens must not be used after this; check the clock right before use
};

// ---- [2] Borrower ------------------------------------------------------------------------------

// The part of a queued request's tokens that one slot's lender provides.
struct BorrowerPart {
    bool isReady = false; // the last probe succeeded, or the part is granted
    bool isGranted = false;
    bool isExcluded = false;      // the lender does not answer; the others provide more
    base::TimePoint nextAskAt {}; // timeNever while the answer is awaited
    Grant grant;
    base::TimePoint sentAt {}; // time of the call that granted it
};

struct BorrowerRequest {
    BudgetRequest request;
    size_t lendersTried = 0;    // lenders asked with a single take; the slot count if no more will be asked
    uint64_t triedSlotMask = 0; // the slots of these lenders, one bit each
    bool isInFlight = false;    // a Take or Enqueue is in flight
    bool isQueued = false;      // has a queue key
    int64_t queueKey = 0;
    size_t coordinatorsTried = 0;    // coordinators that did not answer or are paused after a failure
    std::vector<BorrowerPart> parts; // by slot; empty until queued
    uint64_t partSlotMask = 0;       // slots that provide a part, one bit each
    uint64_t askedSlotMask = 0;      // slots that were asked for a part, one bit each
    bool isTooLate = false;          // a lender reported that its turn would come too late
    base::Micros expectedWait { 0 }; // estimate by that lender
    bool isTaking = false;           // all parts were ready: takes are sent instead of probes
    bool hasAnswer = false;          // at least one lender has answered
};

struct BorrowerCall {
    size_t slot = 0;
    BudgetCall call;
};

// Tokens that a lender had available for an account.
struct KnownLevel {
    double tokens = 0;
    base::TimePoint answeredAt {};
};

struct BorrowerSlot {
    bool isBusy = false; // a call is in flight
    base::TimePoint sentAt {};
    BudgetCall pendingCall;                                     // the call in flight
    int64_t epoch = 0;                                          // slot epoch of the lender in its last answer
    std::map<std::string, KnownLevel> knownLevels;              // by account, from the last answers
    std::map<int64_t, std::vector<TokenReturn>> pendingReturns; // not sent yet, by slot epoch
    base::TimePoint retryAt {};                                 // no calls before this time, after a failure
    base::TimePoint nextProbeAt {};                             // queued requests share one call per probe interval
    unsigned consecutiveFailures = 0;
};

struct Borrower {
    BudgetOptions options;
    std::string daemonName;
    size_t preferredSlot = 0; // tried first while no levels are known
    std::vector<BorrowerSlot> slots;
    std::map<uint64_t, BorrowerRequest> requests; // by id
    std::vector<BudgetDecision> decisions;        // removed by the caller
};

Borrower borrowerCreate(const BudgetOptions&, const std::string& daemonName, size_t preferredSlot);

void borrowerAdd(Borrower&, const BudgetRequest&);

// Drops a request whose caller no longer waits, and returns the parts it was granted.
void borrowerCancel(Borrower&, uint64_t id);

// Queues unused tokens for return, or a charge if `tokens` is negative.
void borrowerReturn(Borrower&, const std::string& account, const Grant&, double tokens);

// Returns the calls to send at `now`, and refuses requests whose deadline has passed or whose turn comes too late.
std::vector<BorrowerCall> borrowerStep(Borrower&, base::TimePoint now);

// Handles the answer to the call in flight at `slot`.
void borrowerAnswer(Borrower&, size_t slot, const BudgetAnswer&, base::TimePoint now);

// Handles the failure of the call in flight at `slot`. The call may have taken effect.
void borrowerFail(Borrower&, size_t slot, base::TimePoint now);

// Returns when borrowerStep() next has something to do, or timeNever, if no call is answered and no request is added
// before.
base::TimePoint borrowerNextStepTime(const Borrower&, base::TimePoint now);

} // namespace rattanshunt::budget

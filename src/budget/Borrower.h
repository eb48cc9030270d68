// The asking side of a budget: requests wait here until tokens for them are borrowed.
//
// Contents
//   [1] Requests        BudgetRequest, BudgetDecision, Grant
//   [2] Borrower        state; borrowerAdd(), borrowerStep(), borrowerAnswer(), borrowerFail()
//
// A request first asks the one home that is likely to have tokens, then the next best, and at last takes a place in
// the account's order and gathers an equal part from each home. borrowerStep() gives the calls to send now; each slot
// has at most one call under way, so that requests which arrive meanwhile share the next one.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "budget/Lender.h"

namespace rattanshunt::budget {

// ---- [1] Requests ------------------------------------------------------------------------------

struct BudgetRequest {
    uint64_t id = 0; // the caller's
    std::string account;
    double tokens = 0;
    double extraTokens = 0; // wanted beyond, for the next requests
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    base::TimePoint arrivedAt {};
    base::TimePoint deadline {}; // refused if not granted by then
};

// Tokens borrowed from one home.
struct Grant {
    size_t slot = 0;
    int64_t epoch = 0;
    TakeNumber take = 0;
    double tokens = 0;
};

struct BudgetDecision {
    uint64_t id = 0;
    bool isGranted = false;
    bool isUnsatisfiable = false;  // more than the account's burst can ever hold
    bool isUnreachable = false;    // no home answered
    base::Micros retryAfter { 0 }; // of a refusal: when its turn would have come; 0: not known
    std::vector<Grant> grants;
    base::TimePoint validUntil {}; // check the clock before use
};

// ---- [2] Borrower ------------------------------------------------------------------------------

struct BorrowerPart {
    bool isReady = false;
    bool isGranted = false;
    bool isExcluded = false; // its home does not answer; the others give more
    base::TimePoint nextAskAt {};
    Grant grant;
    base::TimePoint sentAt {}; // of the call that granted it
};

struct BorrowerRequest {
    BudgetRequest request;
    size_t lendersTried = 0;    // single takes that were refused or failed
    uint64_t triedSlotMask = 0; // a bit for each
    bool isInFlight = false;    // a single take or an enqueue is under way
    bool isQueued = false;
    int64_t queueKey = 0;
    size_t coordinatorsTried = 0;
    std::vector<BorrowerPart> parts; // by slot, once queued
    uint64_t partSlotMask = 0;       // a bit for each slot that gives a part
    uint64_t askedSlotMask = 0;      // a bit for each slot that was asked for a part
    bool isTooLate = false;          // a home said that its turn comes too late
    base::Micros expectedWait { 0 }; // as that home said
    bool isTaking = false;           // all parts were ready; takes are being sent
    bool hasAnswer = false;          // at least one home has answered
};

struct BorrowerCall {
    size_t slot = 0;
    BudgetCall call;
};

// What a home had left for newcomers.
struct KnownLevel {
    double tokens = 0;
    base::TimePoint answeredAt {};
};

struct BorrowerSlot {
    bool isBusy = false;
    base::TimePoint sentAt {};
    BudgetCall pendingCall;                                     // the call under way
    int64_t epoch = 0;                                          // of the holder, as last answered
    std::map<std::string, KnownLevel> knownLevels;              // by account, as last answered
    std::map<int64_t, std::vector<TokenReturn>> pendingReturns; // waiting to be sent, by epoch
    base::TimePoint retryAt {};                                 // after a failure
    base::TimePoint nextProbeAt {};   // requests that wait in order share one call each probe interval
    unsigned consecutiveFailures = 0; // in a row
};

struct Borrower {
    BudgetOptions options;
    std::string daemonName;   // of this daemon
    size_t preferredSlot = 0; // tried first when nothing is known
    std::vector<BorrowerSlot> slots;
    std::map<uint64_t, BorrowerRequest> requests; // by id
    std::vector<BudgetDecision> decisions;        // taken by the caller
};

Borrower borrowerCreate(const BudgetOptions&, const std::string& name, size_t nearestSlot);

void borrowerAdd(Borrower&, const BudgetRequest&);

// Gives up a request whose caller has gone.
void borrowerCancel(Borrower&, uint64_t id);

// Queues tokens that were not used, or a charge if `tokens` is below zero.
void borrowerReturn(Borrower&, const std::string& account, const Grant&, double tokens);

// The calls to send at `now`, and decisions on requests whose deadline has passed.
std::vector<BorrowerCall> borrowerStep(Borrower&, base::TimePoint now);

// The answer to the call under way at `slot`.
void borrowerAnswer(Borrower&, size_t slot, const BudgetAnswer&, base::TimePoint now);

// The call under way at `slot` failed; whether it took effect is not known.
void borrowerFail(Borrower&, size_t slot, base::TimePoint now);

// When borrowerStep() has something to do next, if nothing else happens.
base::TimePoint borrowerNextStepTime(const Borrower&, base::TimePoint now);

} // namespace rattanshunt::budget

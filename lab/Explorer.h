// Explorer: all interleavings of a few daemons over the pure decisions, with crash, pause, lost and late messages and
// lost KV answers. It checks invariants after each step and gives the shortest trace that breaks one.
//
// Contents
//   [1] Explorer        breadth-first over states that are given as text keys, bounded in depth and states
//   [2] Models          budget, placement, once, config, attempts, orders, freshness, repeats; each with a switch that
//   takes a safeguard out
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanshunt::lab {

// ---- [1] Explorer ------------------------------------------------------------------------------

// A system of which copies are made freely.
class ExplorerModel {
public:
    virtual ~ExplorerModel() = default;
    virtual std::unique_ptr<ExplorerModel> clone() const = 0;
    virtual std::vector<std::string> actions() const = 0; // that can happen now
    virtual void perform(const std::string& action) = 0;
    virtual std::string stateKey() const = 0;  // equal for states that behave alike
    virtual std::string violation() const = 0; // empty while all invariants hold
};

struct ExplorerLimits {
    size_t maxDepth = 12;
    size_t maxStates = 200000;
    size_t randomWalks = 200; // random walks beyond the depth
    size_t randomWalkSteps = 60;
    uint64_t seed = 1;
};

struct ExplorerResult {
    size_t stateCount = 0;
    size_t depthReached = 0;
    bool isComplete = false; // all states up to the depth were visited
    std::string violation;
    std::vector<std::string> trace; // shortest that leads to it
};

ExplorerResult explore(const ExplorerModel& start, const ExplorerLimits&);

// ---- [2] Models --------------------------------------------------------------------------------

enum class Safeguard {
    None,                      // nothing is taken out
    TokenValidity,             // tokens are used after their validity
    LoweredBurst,              // homes keep the whole burst
    LeaseTermBeforeTakeover,   // a slot is taken without waiting for the former right to end
    KeepUnresolvedOrders,      // a dead owner's reservation is freed at once
    ConnectionBoundToBoot,     // an order may reach a later start of its endpoint
    NoRetryAfterSend,          // a call that may have run is sent again
    ClaimBeforeSend,           // calls are sent without a claim
    RejectOlderRevisions,      // older revisions are applied
    FreshnessMajority,         // a daemon that is cut off goes on serving keys
    LostAnswerIsUnknown,       // a lost answer is taken for "not run"
    RefuseOnlyIfNotExecuted,   // a request that may have run is refused
    OrderGapAfterElection,     // a new hub orders at once
    ClockCountsSuspension,     // a suspended daemon's clock stands still
    LeaseFromRequestTime,      // a lease counts from the store's answer
    FreshnessFromRequestTime,  // a proof counts from the answer
    AgeOfPeerData,             // what a peer passes on counts as new
    RecordOrdererWhenAllowed,  // a new hub is recorded as the one that orders before it may
    ExpectedOrderCount,        // replicas take orders whatever was ordered meanwhile
    ReducedBudgetAfterRestart, // a daemon that starts anew takes its whole part of the budget for repeats again
    RetryBudgetShare,          // each daemon takes the whole constant part of the budget for repeats
};

struct ExplorerCase {
    std::string name;
    Safeguard removedSafeguard = Safeguard::None;
    std::unique_ptr<ExplorerModel> model;
};

// All models, whole and with each of their safeguards taken out.
std::vector<ExplorerCase> explorerCases();

} // namespace rattanshunt::lab

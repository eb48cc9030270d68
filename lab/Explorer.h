// Model checker for the distributed protocols: visits the interleavings of a few daemons that run the product's pure
// decision functions, with crashes, suspensions, lost and late messages and lost answers of the key-value store.
//
// It checks the model's invariants after each action and gives the shortest action trace that violates one. Each model
// can also be built with one safeguard removed; the explorer must then find a violation, which shows that the safeguard
// is needed and that the model can see its absence.
//
// Contents
//   [1] Explorer        explore(): breadth-first search over text state keys, bounded in depth and states, then random
//                       walks
//   [2] Models          Safeguard, explorerCases(): budget, placement, idempotency, configuration, attempts of a
//                       request, orders of the hub, what a replica holds, freshness, retry budget,
//                       prompt parts
//
// Virtual time only. Any thread; one thread per search.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanshunt::lab {

// ---- [1] Explorer ------------------------------------------------------------------------------

// The state of a modelled system; the search clones it for each action that it tries.
class ExplorerModel {
public:
    virtual ~ExplorerModel() = default;
    virtual std::unique_ptr<ExplorerModel> clone() const = 0;
    virtual std::vector<std::string> actions() const = 0; // that can happen next; empty: final state
    virtual void perform(const std::string& action) = 0;  // one of actions()
    virtual std::string stateKey() const = 0;             // equal for states that behave alike from here on
    virtual std::string violation() const = 0;            // names the broken invariant; empty while all hold
};

struct ExplorerLimits {
    size_t maxDepth = 12;        // actions from the start state in the exhaustive search
    size_t maxStates = 200000;   // distinct states after which the exhaustive search stops
    size_t randomWalks = 200;    // from the start state, for violations beyond maxDepth
    size_t randomWalkSteps = 60; // actions per random walk
    uint64_t seed = 1;           // of the random walks
};

struct ExplorerResult {
    size_t stateCount = 0; // distinct states of the exhaustive search
    size_t depthReached = 0;
    bool isComplete = false;        // all states up to maxDepth were visited
    std::string violation;          // empty: none was found
    std::vector<std::string> trace; // actions that lead to it; the shortest if the exhaustive search found it
};

// Searches exhaustively within the limits and then walks at random, up to the first violation.
ExplorerResult explore(const ExplorerModel& start, const ExplorerLimits&);

// ---- [2] Models --------------------------------------------------------------------------------

// What a model can run without. Each comment says what happens when the safeguard is removed.
enum class Safeguard {
    None,                      // nothing is removed
    TokenValidity,             // borrowed tokens are used after their validity
    LoweredBurst,              // lenders use the account's whole burst as capacity
    LeaseTermBeforeTakeover,   // a slot is taken over before the former holder's lease term has ended
    KeepUnresolvedOrders,      // the reservation of an order with unknown outcome is freed at once
    ConnectionBoundToBoot,     // an order can reach a later boot of its endpoint
    NoRetryAfterSend,          // a call that may have been executed is sent again
    ClaimBeforeSend,           // calls are sent without a claim
    RejectOlderRevisions,      // older revisions are applied
    FreshnessMajority,         // a daemon that is cut off from the majority goes on accepting keys
    LostAnswerIsUnknown,       // a lost answer counts as "not executed"
    RefuseOnlyIfNotExecuted,   // a request that may have been executed is refused as not executed
    OrderGapAfterElection,     // a new hub sends orders without waiting for the order gap
    ClockCountsSuspension,     // a daemon's clock stops while the daemon is suspended
    LeaseFromRequestTime,      // lease validity counts from the store's answer
    FreshnessFromRequestTime,  // freshness of data counts from the answer
    AgeOfPeerData,             // data from a peer counts as new, whatever its age
    RecordOrdererWhenAllowed,  // a new hub is recorded as the orderer before it may send orders
    ExpectedOrderCount,        // replicas accept an order regardless of orders that they accepted since
    InTransitWithHeld,         // adapters in transit come from the last report, also if what is held does not
    NoUnloadInTransit,         // an adapter that may be in transit is ordered to be unloaded
    OrdersOfEarlierStarts,     // unanswered orders are forgotten when their replica restarts
    ReducedBudgetAfterRestart, // a restarted daemon uses its full share of the constant part of the retry budget
    RetryBudgetShare,          // each daemon uses the whole constant part of the retry budget
    SettledPartIsInnocent,     // an answer with a prompt part does not clear it
    ReportVoidsEnd,            // a replica that goes on reporting counts as ended if a connection to it ended
    EndsOfDistinctLives,       // each observation of a replica's end counts
    RetellNewHub,              // daemons tell a new hub nothing of what they observed before
    TakeOverBlocks,            // a new hub starts without the blocks of its predecessor
    VersionsReadAfterTakeUp,   // a hub's last read says that a service has one version, whatever its age
};

struct ExplorerCase {
    std::string name;
    Safeguard removedSafeguard = Safeguard::None;
    std::unique_ptr<ExplorerModel> model;
};

// All models: with all safeguards, and once for each safeguard of theirs with that one removed.
std::vector<ExplorerCase> explorerCases();

} // namespace rattanshunt::lab

// Selects the replica that a request is sent to.
//
// Contents
//   [1] Data            ReplicaCandidate, SelectionRequest, ReplicaSelectionOptions, CostTerms
//   [2] Decisions       replicasForShortPrompts(), replicaLoad(), replicaSelect()
//
// The prefill of a long prompt delays every stream of the same replica. Where a model has many replicas, some of them
// preferably take short prompts, so that their streams run evenly; load moves between the two groups when one of them
// is busy.
//
// Load pattern: prompts share long prefixes, load reports lag, and at peak load some replicas of a model are full while
// others have room. A request prefers the replica that the shared part of its prompt hashes to, unless that one is much
// busier than the least busy one. A replica that failed recently gets fewer requests, but is tried again; one that
// limits its request rate gets what the others are too busy for. With many gateways and little traffic at each, nearly
// every request would open a connection; among replicas that are about equally busy, the one with an idle connection is
// used.
//
// Replicas that state their pace are costlier while they are slow. All daemons see the same figures, so that they would
// all send to the same replica until the next ones arrive: one of the near-best is drawn instead, unless a request's
// preferred replica is the best.
//
// Pure functions; safe to call from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/Time.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

struct ReplicaCandidate {
    std::string_view id;
    double slots = 1;
    double reportedInFlight = 0;    // requests running and waiting at the replica, at the last report
    double ownInFlight = 0;         // this daemon's requests at the replica, now
    double ownInFlightAtReport = 0; // this daemon's requests at the replica, at the last report
    base::Duration reportAge { 0 };
    double ownAwaitingFirstByte = 0; // this daemon's requests whose first byte has not arrived: in prefill
    double reportedWaiting = 0;      // requests that wait for prefill or are in it, at the last report
    double failureScore = 0;         // recent failures, with exponential decay
    double dataCenterCost = 0;       // by spill::dataCenterCost(); infinite: not to be used
    bool isLimited = false;          // names a limit on its request rate, or is cold
    bool isCold = false;             // has started recently, or is presumed to have
    bool hasIdleConnection = false;  // the connection pool holds an idle connection to it
    bool statesPace = false;         // its responses state its pace, see pace/ReplicaPace.h
    double paceCost = 0;             // pace::paceCost(), if it states one
};

struct SelectionRequest {
    uint64_t affinityHash = 0;  // hash of the prompt's shared segments; 0: none
    uint64_t requestHash = 0;   // breaks ties differently for each request
    bool hasLongPrompt = false; // its prefill keeps the replica busy
    uint64_t modelHash = 0;     // determines which replicas take long prompts; 0: replicas are not grouped
};

// Costs and the bonus are in units of load, where 1 means that all slots of a replica are used.
struct ReplicaSelectionOptions {
    double affinityBonus = 0.25;          // load by which the preferred replica may be busier
    double otherDataCenterCost = 0.04;    // for a replica in another data centre, if transfers cost nothing
    double connectionCost = 0.02;         // for opening a connection
    double limitedCost = 0.3;             // for a replica that limits its request rate
    double failureCost = 0.5;             // per unit of failureScore
    base::Millis reportHalfLife { 400 };  // of other daemons' requests in a report
    base::Millis waitingHalfLife { 700 }; // of reportedWaiting
    double maxLoad = 1.0;                 // requests per slot at which a replica is full
    double prefillCost = 0.04;            // per request of this daemon that is in prefill
    double waitingCost = 0.05;            // per waiting request in a fresh report
    double otherGroupCost = 0.2;          // for a replica of the other prompt-length group
    double shortPromptFraction = 0.34;    // fraction of a model's replicas that prefer short prompts
    size_t minReplicasForGroups = 1000;   // replicas of a model from which on they are grouped
    double maxFailureScore = 3;           // at this score a replica is used only if there is no other
    double nearBestMargin = 0.6;          // by which a near-best replica may cost more than the best
};

// ---- [2] Decisions -----------------------------------------------------------------------------

// Which of a model's replicas prefer short prompts. None while there are fewer than minReplicasForGroups.
std::vector<bool> replicasForShortPrompts(
    const std::vector<std::string_view>& ids, uint64_t modelHash, const ReplicaSelectionOptions&);

// Estimated requests per slot.
double replicaLoad(const ReplicaCandidate&, const ReplicaSelectionOptions&);

// The parts of a candidate's cost, by name. Empty: it is full, or fails while others do not.
using CostTerms = std::vector<std::pair<const char*, double>>;

// Index of the candidate to use; nothing if all are full. `terms`, if given, gets those of each candidate.
std::optional<size_t> replicaSelect(const std::vector<ReplicaCandidate>&, const SelectionRequest&,
    const ReplicaSelectionOptions&, std::vector<CostTerms>* terms = nullptr);

} // namespace rattanshunt::gateway

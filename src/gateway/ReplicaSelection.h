// Which replica a request goes to.
//
// Contents
//   [1] Data            ReplicaView, ChoiceRequest, ChoiceOptions
//   [2] Decisions       replicaLoad(), replicaChoose()
//
// Reading a long prompt delays every stream of the same replica. Where a model has several replicas, some of them are
// for short prompts, so that their streams run evenly; load moves between the groups when one of them is busy.
//
// Load pattern: prompts share long beginnings, reports of load lag, and at the worst load some replicas are full while
// others of the same model have room. A request goes to the replica that its prompt's shared parts hash to, as long as
// that one is not much busier than the least busy; a replica that failed lately gets less, but is tried again. Many
// gateways with little traffic each would open a connection for nearly every request: of replicas that are about
// equally busy, the one with an idle connection is used.
//
// Pure; safe from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

struct ReplicaCandidate {
    std::string_view id;
    double slots = 1;
    double reportedInFlight = 0;    // requests running and waiting there at the last report
    double ownInFlight = 0;         // of this daemon, under way now
    double ownInFlightAtReport = 0; // of this daemon, under way at that report
    base::Duration reportAge { 0 };
    double ownAwaitingFirstByte = 0;  // of this daemon's, those whose prompt is still being read
    double reportedWaiting = 0;       // requests whose prompt waits or is being read, at the last report
    double failureScore = 0;          // recent failures, decaying
    bool isInOtherDataCenter = false; // in another data centre
    bool hasIdleConnection = false;   // an idle connection to it is kept
};

struct SelectionRequest {
    uint64_t affinityHash = 0;  // hash of the prompt's shared parts; 0: none
    uint64_t requestHash = 0;   // differs between requests
    bool hasLongPrompt = false; // reading its prompt keeps the replica busy
    uint64_t modelHash = 0;     // hash of the model: which replicas read long prompts
};

struct ReplicaSelectionOptions {
    double affinityBonus = 0.25;          // of the slots, that the preferred replica may be busier
    double otherDataCenterCost = 0.04;    // of the slots, for crossing data centres
    double connectionCost = 0.02;         // of the slots, for opening a connection
    double failureCost = 0.5;             // of the slots, for each recent failure
    base::Millis reportHalfLife { 400 };  // of the requests of others in a report
    base::Millis waitingHalfLife { 700 }; // of waiting prompts in a report
    double maxLoad = 1.0;                 // requests for each slot beyond which a replica gets no more
    double prefillCost = 0.04;            // of the slots, for each prompt that is being read
    double waitingCost = 0.05;            // of the slots, for each one that a fresh report tells of
    double otherGroupCost = 0.2;          // of the slots, for a replica of the other group
    double shortPromptFraction = 0.34;    // of a model's replicas, that serve short prompts first
    size_t minReplicasForGroups = 1000;   // replicas of a model from which on they are told apart
    double maxFailureScore = 3;           // failures at which a replica is used only if no other is left
};

// ---- [2] Decisions -----------------------------------------------------------------------------

// Which of a model's replicas are for short prompts; all of them while there are few.
std::vector<bool> replicasForShortPrompts(
    const std::vector<std::string_view>& ids, uint64_t group, const ReplicaSelectionOptions&);

// Requests for each slot.
double replicaLoad(const ReplicaCandidate&, const ReplicaSelectionOptions&);

// Index of the replica to use, or nothing if all are full.
std::optional<size_t> replicaSelect(
    const std::vector<ReplicaCandidate>&, const SelectionRequest&, const ReplicaSelectionOptions&);

} // namespace rattanshunt::gateway

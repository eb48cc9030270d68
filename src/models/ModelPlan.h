// Which replica loads which model, and what makes way for it.
//
// Contents
//   [1] Data            PlanReplica, PlanInput, PlanJob, PlanOptions
//   [2] Decision        planJobs()
//
// Load pattern: a few models get most requests and keep several replicas busy; many rare ones are asked for now and
// then, evenly, and do not all fit. When demand moves or replicas crash, many are missing at once. A model that is
// waited for goes to the replica where it is ready soonest (host memory, disk, then the weight store) and where what
// makes way is asked for least. Jobs go in the order of the worth that waits, since loads from the weight store are
// few. Gains and costs are in requests that wait for their first byte at any moment (by Little's law, arrivals a second
// times the time that each of them waits).
//
// Room that a crash or a new replica left is filled before it is asked for, from what is at hand first.
//
// Pure; safe from any thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "hub/HubSync.h"

namespace rattanshunt::models {

// ---- [1] Data ----------------------------------------------------------------------------------

struct PlanReplica {
    std::string id;
    bool isOccupied = false; // with a job
    double load = 0;         // requests running and waiting, for each slot
    std::vector<gateway::LoadedModel> held;
    std::set<std::string> loading;  // models that a job is bringing
    std::set<std::string> inMemory; // weights at hand in host memory
    std::set<std::string> onDisk;   // weights at hand on disk
};

struct PlanInput {
    const gateway::Engine* engine = nullptr;
    std::string service;
    std::vector<PlanReplica> replicas; // usable ones, with a report of their own
    hub::DemandTable demand;           // of all services
    double storeLoadsLeft = 0;         // loads from the weight store that may begin now
    bool mayUnload = true;             // demand is known well enough to take models away
};

struct PlanJob {
    std::string replica;
    std::vector<std::string> unloadModels;
    std::vector<gateway::LoadedModel> unloadAdapters;
    std::string model;
    std::string adapter;      // empty: the model itself
    bool isFromStore = false; //
    base::Millis estimatedDuration { 0 };
};

struct PlanOptions {
    double maxAwaitingFirstBytePerCopy
        = 1.5;                // requests for each copy that wait for their first byte, beyond which one more is wanted
    double swapSeconds = 2.5; // s to bring an unloaded model back from disk, unloading included
    double runningRequestCost = 0.2;   // of each run that an unload has to wait for
    double swapBaseCost = 0.1;         // of a swap as such, in the same unit as below
    double adapterLoadThreshold = 0.5; // load of all holders of an adapter beyond which it gets one more place
    double unheldModelWeight = 4;      // how much more a model that nobody holds counts when free room is filled
    double minHeldModelRate = 0.02;    // arrivals a second that a held model counts for at least
    double minGainRatio = 3.0;         // how much more a further copy must bring than what makes way costs
    double minSpareCopyRate = 0.3;     // requests a second for each copy that fill free room with one more
};

struct Plan {
    std::vector<PlanJob> jobs;               // at most one for each replica that is not engaged
    std::vector<std::string> unplacedModels; // models that are waited for and have no job, the most urgent first
};

// ---- [2] Decision ------------------------------------------------------------------------------

Plan planJobs(const PlanInput&, const PlanOptions&);

} // namespace rattanshunt::models

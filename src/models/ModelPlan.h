// Decides which replica loads which model or adapter, and what it unloads to make room.
//
// Contents
//   [1] Data            PlanReplica, PlanInput, PlanJob, PlanOptions, Plan
//   [2] Decision        planJobs()
//
// Load pattern: a few models get most requests and keep several replicas busy. Many rare models are requested
// occasionally, at about the same rate, and do not all fit. When demand moves or replicas crash, many models are
// missing at once. A model with waiting requests goes to the replica where it is ready soonest (host memory, then disk,
// then the weight store) and where the models unloaded for it are requested least. Jobs are planned in order of the
// summed weight of the waiting requests, since only few loads from the weight store may run. Gains and costs are
// expressed as the number of requests that wait for their first byte at any moment: by Little's law, the arrival rate
// times the time that each request waits.
//
// A replica limits its request rate, and requests wait for its models although it holds them. It gets no orders. A
// model whose copies are all on such replicas gets another one where the unloaded models cost less than requests wait
// for it.
//
// A data centre is evacuated, and with it the only copies of some models. They are loaded elsewhere before all others,
// those that are on a disk there before those that the weight store has to send.
//
// Memory left free by a crash or on a new replica is filled before anything is requested, from host memory and disk
// first.
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
    bool isOccupied = false; // has a job of this hub or is busy with any order; gets no new job
    bool isLimited = false;  // names a limit on its request rate; its models wait for another copy
    double load = 0;         // running and waiting requests per slot
    std::vector<gateway::LoadedModel> held;
    size_t adaptersInTransit = 0;               // being loaded; they take slots but are not in `held`
    std::set<std::string> adaptersNotConfirmed; // MODEL/ADAPTER in `held` that can't be unloaded yet
    std::set<std::string> loading;              // models that a job is loading
    std::set<std::string> inMemory;             // models whose weights are in host memory
    std::set<std::string> onDisk;               // models whose weights are on disk
};

struct PlanInput {
    const gateway::Engine* engine = nullptr;
    std::string service;
    std::vector<PlanReplica> replicas;     // usable ones whose loaded models are known from a report
    std::set<std::string> evacuatedModels; // held by replicas of data centres that are being evacuated
    hub::DemandTable demand;               // of all services
    double storeLoadsLeft = 0;             // loads from the weight store that may start now
    bool mayUnload = true;                 // false while demand is not known well enough to unload models
};

struct PlanJob {
    std::string replica;
    std::vector<std::string> unloadModels;
    std::vector<gateway::LoadedModel> unloadAdapters;
    std::string model;
    std::string adapter;      // empty: the job loads the model itself
    bool isFromStore = false; // the weights come from the weight store
    base::Millis estimatedDuration { 0 };
};

struct PlanOptions {
    // Requests per copy that wait for their first byte, beyond which another copy is wanted.
    double maxAwaitingFirstBytePerCopy = 1.5;

    // Terms of the cost of unloading a copy, in requests that wait for their first byte.
    double swapSeconds = 2.5;        // to bring an unloaded model back from disk, including the unload
    double runningRequestCost = 0.2; // for each running request that an unload has to wait for
    double swapBaseCost = 0.1;       // for the swap itself

    double adapterLoadThreshold = 0.5; // load of an adapter's least busy replica beyond which another one loads it
    double unheldModelWeight = 4;      // factor on the gain of models without any copy, when free memory is filled
    double minHeldModelRate = 0.02;    // requests per second; lower bound on the rate assumed for a model
    double minGainRatio = 3.0;         // minimum ratio of another copy's gain to the cost of unloading for it
    double minSpareCopyRate = 0.3;     // requests per second and copy from which free memory gets another copy
};

struct Plan {
    std::vector<PlanJob> jobs;               // at most one for each replica that is not occupied
    std::vector<std::string> unplacedModels; // models with waiting requests but no copy and no job, most urgent first
};

// ---- [2] Decision ------------------------------------------------------------------------------

// Plans at most one job per replica. Models that waiting requests need come first, then adapters, then further copies
// of models whose replicas are slow to send first bytes, and then free memory.
Plan planJobs(const PlanInput&, const PlanOptions&);

} // namespace rattanshunt::models

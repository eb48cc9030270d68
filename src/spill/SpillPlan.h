// Decides how much of a data centre's work is sent to replicas in other data centres.
//
// Contents
//   [1] Data            SpillOptions, DataCenterState, WorkGroup, SpillShares
//   [2] Plan            demandSmooth(), callersLoss(), spillBenefit(), spillPlan()
//   [3] Requests        TransferCost, transferSeconds(), reachableShares(), spillTarget(), dataCenterCost()
//
// Load pattern: traffic between data centres costs money by the byte, and a data centre's own replicas are sometimes
// too few: demand shifts between data centres by turns, one of them loses a part of its replicas, all of them are full,
// or what is known of their capacity is seconds old. A fixed cost per request balances load at all times: it sends work
// away that local replicas have room for, fills replicas whose own callers then wait, and lets two data centres
// exchange the same work.
//
// The plan compares what callers lose. A data centre's demand is what its own callers ask for, wherever it is served,
// so work that was sent away changes no input of the plan, and a data centre that receives work never sends the same
// away. All losses are in seconds that callers wait.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/Time.h"

namespace rattanshunt::spill {

// ---- [1] Data ----------------------------------------------------------------------------------

struct SpillOptions {
    double costPerMb = 0;             // seconds of one caller's time that a megabyte between data centres costs
    base::Millis delay { 0 };         // that a request takes longer in another data centre
    double lostSeconds = 10;          // what a caller loses if its request is not served
    double importLimit = 0.9;         // fraction of a data centre's slots up to which it gets others' work
    double fullAt = 0.98;             // of a data centre's slots; demand beyond that is not served in time
    double changeCost = 0.5;          // of changing the plan, as a fraction of the cost of the transfers that change
    base::Millis trustedAge { 1000 }; // up to which a state is used as it is
    base::Millis capacityHalfLife { 2000 }; // of the slots that get others' work, beyond trustedAge
    // For smoothing demand: the wait at a load is that of its mean. With 2 s, chance begins and ends a plan more often
    // (5 times instead of 3 in the simulated return of replicas, tests/SpillTests.cpp).
    base::Millis demandTimeConstant { 3000 };
    double maxMeanFailures = 0.2;       // of a data centre's replicas, from which on no work is sent away to it
    base::Millis maxAge { 3000 };       // of a state that work is sent away for
    base::Millis maxPlanAge { 4000 };   // of the hub's plan; beyond it a daemon decides alone
    double cachedTokenSeconds = 0.0002; // prefill time of a token whose prefix is cached in the own data centre
    double overflowCost = 1.0;  // load units; more than any replica with a free slot costs, less than repeated failures
    double elsewhereCost = 0.5; // load units; for others than the replicas that a request is sent away to
};

// Without a cost of transfers there is nothing to weigh.
inline bool spillIsOn(const SpillOptions& options)
{
    return options.costPerMb > 0 || options.delay > base::Millis(0);
}

// One data centre, for the requests of one service and model.
struct DataCenterState {
    std::string dataCenter;
    double slots = 0;  // of the replicas there that may be used, as far as other models leave them
    double demand = 0; // slots that the callers of this data centre's daemons use or wait for, wherever
    base::Duration age { 0 };
};

struct WorkGroup {
    std::vector<DataCenterState> dataCenters;
    double serviceSeconds = 1;  // mean time for which a request occupies its slot
    double transferSeconds = 0; // mean cost of serving a request in another data centre
};

// Fractions of the requests of data centre `first` that are sent to data centre `second`.
using SpillShares = std::map<std::pair<std::string, std::string>, double>;

// ---- [2] Plan ----------------------------------------------------------------------------------

// The smoothed demand, given what it was `elapsed` ago and what is counted now.
double demandSmooth(double before, double counted, base::Duration elapsed, const SpillOptions&);

// What callers lose per second: they wait for slots, and are not served where demand exceeds them.
double callersLoss(double demand, double slots, double serviceSeconds, const SpillOptions&);

// What callers gain per second by the shares, less the cost of the transfers.
double spillBenefit(const WorkGroup&, const SpillShares&, const SpillOptions&);

// The shares from now on. Those in force are kept unless a change gains more than it costs.
SpillShares spillPlan(const WorkGroup&, const SpillShares& inForce, const SpillOptions&);

// ---- [3] Requests ------------------------------------------------------------------------------

struct TransferCost {
    double megabytes = 0;    // of the request and its expected response
    double cachedTokens = 0; // of the prompt, in the caches of the own data centre's replicas
};

// The cost of serving one request in another data centre.
double transferSeconds(const TransferCost&, const SpillOptions&);

// What a daemon knows of the candidates in one data centre.
struct DataCenterKnowledge {
    double load = 0;         // mean requests per slot
    double meanFailures = 0; // mean failure score
};

// The shares without the data centres that have no candidate for the request, or whose replicas fail for this daemon,
// as when a link is cut.
std::map<std::string, double> reachableShares(
    std::map<std::string, double> shares, const std::map<std::string, DataCenterKnowledge>&, const SpillOptions&);

// Requests of one group that one daemon owes each data centre, by its share.
using SpillCredits = std::map<std::string, double>;

// The data centre that a request is sent away to; empty: none. `shares` are those of the own data centre. Over many
// requests each data centre gets its share, and requests that cost less than the mean (`relativeCost` below 1) go
// first. `draw`: uniform in 0 to 1; with hundreds of daemons most have a few requests each, so the first must not stay
// everywhere.
std::string spillTarget(SpillCredits&, const std::map<std::string, double>& shares, double relativeCost, double draw);

struct DataCenterChoice {
    std::string_view own;
    std::string_view target;      // by spillTarget()
    bool hasLocalReplica = false; // the own data centre has a replica that the request could be sent to
};

// Cost of a candidate by its data centre, in the units of replicaSelect(). Infinite: not to be used.
double dataCenterCost(std::string_view dataCenter, const DataCenterChoice&, const DataCenterKnowledge&,
    double fixedCost, const SpillOptions&);

} // namespace rattanshunt::spill

// How many loads the weight store serves at full speed, learnt from how long they took.
//
// Load pattern: many models are missing at once. Beyond the store's number each load takes longer in proportion, so
// more at once bring nothing sooner and everything later.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <algorithm>
#include <cmath>

namespace rattanshunt::models {

struct StoreConcurrency {
    double estimatedLoads = 4; // estimate
};

constexpr double storeConcurrencyMax = 64;
constexpr double storeConcurrencyGain = 0.3;           // weight of one measured load
constexpr double storeConcurrencySlowdownLimit = 1.25; // times the usual time up to which a load counts as undisturbed
constexpr double storeConcurrencyStep = 0.25;          // by which an undisturbed load at the estimate raises it

// Takes in one finished load: the loads that ran beside it, itself included, and its time over the usual time.
inline void storeConcurrencyUpdate(StoreConcurrency& concurrency, double loads, double slowdown)
{
    if (slowdown > storeConcurrencySlowdownLimit)
        concurrency.estimatedLoads += storeConcurrencyGain * (loads / slowdown - concurrency.estimatedLoads);
    else if (loads >= std::floor(concurrency.estimatedLoads))
        concurrency.estimatedLoads += storeConcurrencyStep;
    concurrency.estimatedLoads = std::clamp(concurrency.estimatedLoads, 1.0, storeConcurrencyMax);
}

} // namespace rattanshunt::models

// Estimates how many concurrent loads the weight store serves at full speed, from how long finished loads took.
//
// Load pattern: many models are missing at once. Above the store's capacity, the duration of each load grows in
// proportion to their number, so further concurrent loads finish none of them sooner and delay all of them.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <algorithm>
#include <cmath>

namespace rattanshunt::models {

struct StoreConcurrency {
    double estimatedLoads = 4; // concurrent loads at full speed
};

constexpr double storeConcurrencyMax = 64;
constexpr double storeConcurrencyGain = 0.3;           // weight of one finished load in the moving average
constexpr double storeConcurrencySlowdownLimit = 1.25; // relative duration up to which a load is at full speed
constexpr double storeConcurrencyStep = 0.25; // added to the estimate after a load at full speed with that many running

// Updates the estimate after a finished load. `loads`: concurrent loads during it, itself included. `slowdown`: its
// duration relative to the usual one.
inline void storeConcurrencyUpdate(StoreConcurrency& concurrency, double loads, double slowdown)
{
    if (slowdown > storeConcurrencySlowdownLimit)
        concurrency.estimatedLoads += storeConcurrencyGain * (loads / slowdown - concurrency.estimatedLoads);
    else if (loads >= std::floor(concurrency.estimatedLoads))
        concurrency.estimatedLoads += storeConcurrencyStep;
    concurrency.estimatedLoads = std::clamp(concurrency.estimatedLoads, 1.0, storeConcurrencyMax);
}

} // namespace rattanshunt::models

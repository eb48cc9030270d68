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

struct StoreSpeed {
    double atOnce = 4; // estimate
};

constexpr double storeSpeedMost = 64;
constexpr double storeSpeedGain = 0.3;   // weight of one measured load
constexpr double storeSpeedSlack = 1.25; // times the usual time up to which a load counts as undisturbed
constexpr double storeSpeedProbe = 0.25; // by which an undisturbed load at the estimate raises it

// Takes in one finished load: the loads that ran beside it, itself included, and its time over the usual time.
inline void storeSpeedNote(StoreSpeed& speed, double crowd, double slowness)
{
    if (slowness > storeSpeedSlack)
        speed.atOnce += storeSpeedGain * (crowd / slowness - speed.atOnce);
    else if (crowd >= std::floor(speed.atOnce))
        speed.atOnce += storeSpeedProbe;
    speed.atOnce = std::clamp(speed.atOnce, 1.0, storeSpeedMost);
}

} // namespace rattanshunt::models

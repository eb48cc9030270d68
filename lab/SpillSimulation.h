// Load of several data centres on the functions that decide what leaves a data centre, in simulated time.
//
// Each data centre has one daemon, which knows its own requests, and of the others' what was true `lag` ago.
//
// Any thread. `seed` seeds the load: a run can be repeated, and both ways of deciding see the same arrivals.
#pragma once

#include <functional>

#include "spill/SpillPlan.h"

namespace rattanshunt::lab {

inline constexpr size_t spillCenters = 3;      // data centres
inline constexpr double spillCenterSlots = 32; // of each: four replicas

// Requests run for 0.5 to 1.5 s and transfer 0.1 MB; callers wait for 2 s at most.
struct SpillLoad {
    std::function<double(size_t center, double now)> demand; // of its own callers, in slots
    std::function<double(size_t center, double now)> working = [](size_t, double) { return 1.0; }; // part of its slots
    std::function<bool(size_t from, size_t to)> isCut = [](size_t, size_t) { return false; };
    double lag = 0.3;
    double seconds = 60;
};

struct SpillOutcome {
    double arrived = 0;
    double lost = 0;
    double crossed = 0;        // served in another data centre
    double crossedLate = 0;    // of them, after 3/4 of the time
    double exchanged = 0;      // within 2 s, requests that two data centres sent each other
    double displaced = 0;      // own callers of a data centre lost within 2 s of work for others there
    double failedAttempts = 0; // over a link that is cut
    int planChanges = 0;       // times that sending away begins or ends
};

// A megabyte costs 0.2 s of a caller's time, a transfer 5 ms.
spill::SpillOptions spillSimulationOptions();

// Plays the load with shares by spillPlan(), or with the fixed cost for each replica of another data centre.
SpillOutcome simulateSpill(const SpillLoad&, bool isPlanned, uint64_t seed = 7);

} // namespace rattanshunt::lab

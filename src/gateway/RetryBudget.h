// The fleet's budget for sending requests a second time, as this daemon's part of it.
//
// Load pattern: replicas fail or refuse in numbers, and every request would go out again. The fleet may repeat a share
// of its requests and a constant number in each window; each daemon keeps to its own share of both, so that the sum
// holds without asking anybody.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "base/Time.h"

namespace rattanshunt::gateway {

struct RepeatBudgetOptions {
    double ratio = 0.2; // repeats for each request, in any window
    double extra = 100; // repeats beyond that in a window, of the whole fleet
    base::Seconds window { 10 };
    double safety = 0.75;        // part of both that is used: requests of the window may end late
    base::BootTime startedAt {}; // of this process: what an earlier one repeated in the same window is not known
};

// For one service.
struct RepeatBudget {
    std::deque<base::BootTime> requests;
    std::deque<base::BootTime> repeats;
};

inline void repeatForget(std::deque<base::BootTime>& times, base::BootTime before)
{
    while (!times.empty() && times.front() < before)
        times.pop_front();
}

inline void repeatCountRequest(RepeatBudget& budget, base::BootTime now, const RepeatBudgetOptions& options)
{
    repeatForget(budget.requests, now - options.window);
    budget.requests.push_back(now);
}

// Takes one repeat if the budget covers it. `members`: daemons that share the constant part.
inline bool repeatTake(RepeatBudget& budget, base::BootTime now, size_t members, const RepeatBudgetOptions& options)
{
    repeatForget(budget.requests, now - options.window);
    repeatForget(budget.repeats, now - options.window);
    double share = options.extra / static_cast<double>(std::max<size_t>(1, members));
    bool isNewStart = options.startedAt != base::BootTime {} && now - options.startedAt < options.window;
    // An earlier start may have used all of its part just before: what safety leaves is for the new one.
    double constantPart = share * (isNewStart ? 1 - options.safety : options.safety);
    double most = options.ratio * static_cast<double>(budget.requests.size()) * options.safety + constantPart;
    if (static_cast<double>(budget.repeats.size()) + 1 > most)
        return false;
    budget.repeats.push_back(now);
    return true;
}

} // namespace rattanshunt::gateway

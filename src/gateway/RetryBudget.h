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

struct RetryBudgetOptions {
    double retriesPerRequest = 0.2; // repeats for each request, in any window
    double extraRetries = 100;      // repeats beyond that in a window, of the whole fleet
    base::Seconds window { 10 };
    double usableFraction = 0.75;       // part of both that is used: requests of the window may end late
    base::BootTime processStartedAt {}; // of this process: what an earlier one repeated in the same window is not known
};

// For one service.
struct RetryBudget {
    std::deque<base::BootTime> requests;
    std::deque<base::BootTime> retries;
};

inline void retryBudgetDropBefore(std::deque<base::BootTime>& times, base::BootTime before)
{
    while (!times.empty() && times.front() < before)
        times.pop_front();
}

inline void retryBudgetCountRequest(RetryBudget& budget, base::BootTime now, const RetryBudgetOptions& options)
{
    retryBudgetDropBefore(budget.requests, now - options.window);
    budget.requests.push_back(now);
}

// Takes one repeat if the budget covers it. `members`: daemons that share the constant part.
inline bool retryBudgetTake(RetryBudget& budget, base::BootTime now, size_t members, const RetryBudgetOptions& options)
{
    retryBudgetDropBefore(budget.requests, now - options.window);
    retryBudgetDropBefore(budget.retries, now - options.window);
    double share = options.extraRetries / static_cast<double>(std::max<size_t>(1, members));
    bool isNewStart = options.processStartedAt != base::BootTime {} && now - options.processStartedAt < options.window;
    // An earlier start may have used all of its part just before: what safety leaves is for the new one.
    double constantPart = share * (isNewStart ? 1 - options.usableFraction : options.usableFraction);
    double most = options.retriesPerRequest * static_cast<double>(budget.requests.size()) * options.usableFraction
        + constantPart;
    if (static_cast<double>(budget.retries.size()) + 1 > most)
        return false;
    budget.retries.push_back(now);
    return true;
}

} // namespace rattanshunt::gateway

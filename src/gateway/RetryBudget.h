// This daemon's share of the fleet's budget for retries.
//
// Load pattern: many replicas fail or refuse at once, and every request would be retried. In each window the fleet may
// retry a fraction of its requests plus a constant number; each daemon stays within its own share of both, so that the
// total holds without coordination.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>

#include "base/Time.h"

namespace rattanshunt::gateway {

struct RetryBudgetOptions {
    double retriesPerRequest = 0.2; // retries per request, in any window
    double extraRetries = 100;      // additional retries per window, of the whole fleet
    base::Seconds window { 10 };
    double usableFraction = 0.75;       // fraction of both that is used, because requests in the window may end late
    base::BootTime processStartedAt {}; // retries of an earlier process in the same window are not known
};

// Times of the requests and retries of one service in the window, oldest first.
struct RetryBudget {
    std::deque<base::BootTime> requests;
    std::deque<base::BootTime> retries;
};

// Removes times before the window.
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

// Takes one retry from the budget if it is covered. `members`: daemons that share the constant part.
inline bool retryBudgetTake(RetryBudget& budget, base::BootTime now, size_t members, const RetryBudgetOptions& options)
{
    retryBudgetDropBefore(budget.requests, now - options.window);
    retryBudgetDropBefore(budget.retries, now - options.window);
    double share = options.extraRetries / static_cast<double>(std::max<size_t>(1, members));
    bool hasJustStarted
        = options.processStartedAt != base::BootTime {} && now - options.processStartedAt < options.window;
    // An earlier process may just have used its whole share; a new one uses only what usableFraction leaves.
    double constantPart = share * (hasJustStarted ? 1 - options.usableFraction : options.usableFraction);
    double maxRetries = options.retriesPerRequest * static_cast<double>(budget.requests.size()) * options.usableFraction
        + constantPart;
    if (static_cast<double>(budget.retries.size()) + 1 > maxRetries)
        return false;
    budget.retries.push_back(now);
    return true;
}

} // namespace rattanshunt::gateway

// How many requests this daemon had at a replica when the replica reported its load.
//
// Load pattern: many requests of one daemon end at a replica at the same moment. Each response reports a load that
// includes the others, although they have ended when the response is read. If they counted as requests of other
// daemons, the replica would look full, get no requests, and send no newer report until the old one has lost its
// weight.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "base/Time.h"

namespace rattanshunt::gateway {

struct OwnLoad {
    double inFlight = 0;
    std::deque<std::pair<base::BootTime, double>> history; // numbers in flight since each time, oldest first
};

struct OwnLoadOptions {
    base::Millis historyLength { 1500 }; // in a report from before it, no request counts as this daemon's
    base::Millis reportDelay { 100 };    // at most, between a replica's report and its arrival here
};

// Changes the number of requests in flight by `change`.
inline void ownLoadChange(OwnLoad& load, double change, base::BootTime now, const OwnLoadOptions& options)
{
    load.inFlight = std::max(0.0, load.inFlight + change);
    load.history.emplace_back(now, load.inFlight);
    // The last entry before the period is kept: it holds the number at the period's start.
    while (load.history.size() > 1 && load.history[1].first < now - options.historyLength)
        load.history.pop_front();
}

// The largest number in flight at any time at which a report that arrived, or was requested, at `reportedAt` may have
// been written.
inline double ownLoadAtReport(const OwnLoad& load, base::BootTime reportedAt, const OwnLoadOptions& options)
{
    double largest = 0;
    for (size_t i = 0; i < load.history.size(); ++i) {
        bool hasBegun = load.history[i].first <= reportedAt;
        bool hasEnded = i + 1 < load.history.size() && load.history[i + 1].first < reportedAt - options.reportDelay;
        if (hasBegun && !hasEnded)
            largest = std::max(largest, load.history[i].second);
    }
    return largest;
}

} // namespace rattanshunt::gateway

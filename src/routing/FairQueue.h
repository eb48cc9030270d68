// Requests that wait for a replica, in fair order.
//
// Start-time fair queueing with tokens as the cost. Each pair of client account and priority class is a flow whose
// weight is the account's weight times the class's weight. A higher class therefore gets a larger share of a busy
// replica, and no class or account is starved.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/Time.h"
#include "resources/Resources.h"

namespace rattanshunt::routing {

struct QueueItem {
    uint64_t id = 0;
    std::string account;
    double accountWeight = 1;
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    double tokens = 1;                // cost of serving it
    base::TimePoint startDeadline {}; // the request must start by then
};

struct FairQueue {
    struct WaitingItem {
        double startTag = 0; // in virtual time
        QueueItem item;
    };
    std::map<uint64_t, WaitingItem> items;                    // by id
    std::set<std::pair<double, uint64_t>> order;              // (start tag, id)
    std::map<std::pair<std::string, int>, double> finishTags; // by flow (account, priority class): end of its last item
    double virtualTime = 0; // start tag of the item served last, 0 while nothing waits
    double tokensWaiting = 0;
};

// Weight of a priority class relative to the others.
double priorityClassWeight(resources::PriorityClass);

void queuePush(FairQueue&, const QueueItem&);
std::optional<QueueItem> queuePop(FairQueue&);
bool queueRemove(FairQueue&, uint64_t id); // false if it is not queued
std::optional<uint64_t> queueFront(const FairQueue&);

// True if an item that would be queued now cannot start by its deadline at `tokensPerSecond`.
bool queueWouldMissDeadline(const FairQueue&, const QueueItem&, double tokensPerSecond, base::TimePoint now);

} // namespace rattanshunt::routing

// Requests that wait for a replica, in fair order.
//
// Start-time fair queueing by tokens. Each pair of client account and value class is a flow; its weight is the
// account's weight times the class's. A higher class therefore gets more of a crowded replica, and no class and no
// account is starved.
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
    double accountWeight = 1; // of the account
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    double tokens = 1;                // cost
    base::TimePoint startDeadline {}; // by which it must have started
};

struct FairQueue {
    struct WaitingItem {
        double startTag = 0; // in virtual time
        QueueItem item;
    };
    std::map<uint64_t, WaitingItem> items;                    // by id
    std::set<std::pair<double, uint64_t>> order;              // (start, id)
    std::map<std::pair<std::string, int>, double> finishTags; // of each flow's last item
    double virtualTime = 0;
    double tokensWaiting = 0;
};

// Weight of a class beside the others.
double priorityClassWeight(resources::PriorityClass);

void queuePush(FairQueue&, const QueueItem&);
std::optional<QueueItem> queuePop(FairQueue&);
bool queueRemove(FairQueue&, uint64_t id); // false if it is not there
std::optional<uint64_t> queueFront(const FairQueue&);

// True if an item that asks to wait behind `queue` cannot start by its deadline at `tokensPerSecond`.
bool queueWouldMissDeadline(const FairQueue&, const QueueItem&, double tokensPerSecond, base::TimePoint now);

} // namespace rattanshunt::routing

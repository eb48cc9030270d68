#include "routing/FairQueue.h"

#include <algorithm>

namespace rattanshunt::routing {

namespace {
    std::pair<std::string, int> flowOf(const QueueItem& item)
    {
        return { item.account, static_cast<int>(item.priority) };
    }
    double flowWeight(const QueueItem& item)
    {
        return std::max(item.accountWeight, 1e-3) * priorityClassWeight(item.priority);
    }
}

double priorityClassWeight(resources::PriorityClass priority)
{
    switch (priority) {
    case resources::PriorityClass::Low:
        return 1;
    case resources::PriorityClass::Normal:
        return 3;
    case resources::PriorityClass::High:
        return 9;
    }
    return 1;
}

void queuePush(FairQueue& queue, const QueueItem& item)
{
    double& finish = queue.finishTags[flowOf(item)];
    double start = std::max(queue.virtualTime, finish);
    finish = start + item.tokens / flowWeight(item);
    queue.items[item.id] = { start, item };
    queue.order.insert({ start, item.id });
    queue.tokensWaiting += item.tokens;
}

std::optional<uint64_t> queueFront(const FairQueue& queue)
{
    if (queue.order.empty())
        return std::nullopt;
    return queue.order.begin()->second;
}

std::optional<QueueItem> queuePop(FairQueue& queue)
{
    auto front = queueFront(queue);
    if (!front)
        return std::nullopt;
    auto found = queue.items.find(*front);
    QueueItem item = found->second.item;
    queue.virtualTime = std::max(queue.virtualTime, found->second.startTag);
    queueRemove(queue, item.id);
    return item;
}

bool queueRemove(FairQueue& queue, uint64_t id)
{
    auto found = queue.items.find(id);
    if (found == queue.items.end())
        return false;
    queue.order.erase({ found->second.startTag, id });
    queue.tokensWaiting -= found->second.item.tokens;
    queue.items.erase(found);
    if (queue.items.empty()) {
        // The queue is empty: service before this point must not favour any flow.
        queue.finishTags.clear();
        queue.virtualTime = 0;
        queue.tokensWaiting = 0;
    }
    return true;
}

bool queueWouldMissDeadline(const FairQueue& queue, const QueueItem& item, double tokensPerSecond, base::TimePoint now)
{
    if (queue.items.empty() || tokensPerSecond <= 0)
        return item.startDeadline <= now;
    auto flow = queue.finishTags.find(flowOf(item));
    double start = std::max(queue.virtualTime, flow == queue.finishTags.end() ? 0.0 : flow->second);
    double ahead = 0;
    for (auto& [id, waiting] : queue.items) {
        if (waiting.startTag <= start)
            ahead += waiting.item.tokens;
    }
    return now + base::durationOf(ahead / tokensPerSecond) > item.startDeadline;
}

} // namespace rattanshunt::routing

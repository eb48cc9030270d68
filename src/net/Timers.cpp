#include "net/Timers.h"

namespace rattanshunt::net {

TimerService::TimerService(base::TimePoint now)
    : m_start(now)
{
}

uint64_t TimerService::tickOf(base::TimePoint when) const
{
    if (when <= m_start)
        return 0;
    return static_cast<uint64_t>((when - m_start) / timerResolution);
}

TimerId TimerService::subscribe(base::TimePoint when, std::function<void()> callback)
{
    uint64_t tick = std::max(tickOf(when) + 1, m_lastTick + 1);
    size_t slotIndex = tick % slotCount;
    Slot& slot = m_slots[slotIndex];
    TimerId id = ++m_lastId;
    slot.push_back({ id, tick, std::move(callback) });
    m_entries[id] = { slotIndex, std::prev(slot.end()) };
    bool isEarlier = m_entries.size() == 1 || tick < m_earliestTick;
    if (isEarlier) {
        m_earliestTick = tick;
        if (m_onEarlierTimer)
            m_onEarlierTimer();
    }
    return id;
}

base::TimePoint TimerService::nextDueAt() const
{
    if (m_entries.empty())
        return base::timeNever;
    // Finds the first used slot in order of time. Its entries may belong to a later rotation of the wheel; then the
    // result is too early, which only costs a wake-up.
    for (uint64_t tick = m_lastTick + 1; tick <= m_lastTick + slotCount; ++tick) {
        if (!m_slots[tick % slotCount].empty())
            return m_start + tick * timerResolution;
    }
    return m_start + (m_lastTick + 1) * timerResolution;
}

void TimerService::cancel(TimerId id)
{
    auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    bool isDue = found->second.first == slotCount;
    if (!isDue)
        m_slots[found->second.first].erase(found->second.second);
    m_entries.erase(found);
}

void TimerService::advance(base::TimePoint now)
{
    uint64_t nowTick = tickOf(now);
    // Timers that callbacks start need not be reported as earlier: the owner calls nextDueAt() afterwards.
    m_earliestTick = 0;
    // After a long pause one rotation of the wheel visits every slot, so earlier ticks need no visit.
    if (nowTick > m_lastTick + slotCount)
        m_lastTick = nowTick - slotCount;
    while (m_lastTick < nowTick) {
        ++m_lastTick;
        runSlot(m_slots[m_lastTick % slotCount], nowTick);
    }
    base::TimePoint next = nextDueAt();
    m_earliestTick = next == base::timeNever ? UINT64_MAX : tickOf(next);
}

void TimerService::runSlot(Slot& slot, uint64_t tick)
{
    Slot due;
    for (auto entry = slot.begin(); entry != slot.end();) {
        auto next = std::next(entry);
        if (entry->tick <= tick) {
            due.splice(due.end(), slot, entry);
            m_entries[entry->id] = { slotCount, entry };
        }
        entry = next;
    }
    // A callback may cancel another timer that is due in the same slot.
    while (!due.empty()) {
        auto callback = std::move(due.front().callback);
        m_entries.erase(due.front().id);
        due.pop_front();
        callback();
        for (auto entry = due.begin(); entry != due.end();)
            entry = m_entries.count(entry->id) ? std::next(entry) : due.erase(entry);
    }
}

} // namespace rattanshunt::net

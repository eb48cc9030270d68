// Timer service of one thread: parts subscribe to a point in time and are called back once.
//
// A hashed wheel with a resolution of `timerResolution`; subscribing and cancelling take constant time.
// A callback runs on the owning thread, outside any fiber, and must not block or suspend.
// Not safe from other threads.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

#include "base/Time.h"

namespace rattanshunt::net {

using TimerId = uint64_t; // 0 is never a valid id

constexpr base::Millis timerResolution { 5 };

class TimerService {
public:
    explicit TimerService(base::TimePoint now);

    // Calls `callback` once, at or up to one resolution after `when`.
    TimerId subscribe(base::TimePoint when, std::function<void()> callback);

    // Forgets a subscription. Does nothing for one that has run or was cancelled.
    void cancel(TimerId);

    // Runs all callbacks that are due at `now`.
    void advance(base::TimePoint now);

    // A point in time before which no callback is due; timeNever if there are none.
    base::TimePoint nextDueAt() const;

    // Calls `onEarlier` whenever a subscription is due before all others. Set once, by the owner of the clock.
    void setEarlierTimerHandler(std::function<void()> onEarlierTimer) { m_onEarlierTimer = std::move(onEarlierTimer); }

    size_t pendingCount() const { return m_entries.size(); }

private:
    static constexpr size_t slotCount = 1024;

    struct Entry {
        TimerId id = 0;
        uint64_t tick = 0;
        std::function<void()> callback;
    };
    using Slot = std::list<Entry>;

    uint64_t tickOf(base::TimePoint) const;
    void runSlot(Slot&, uint64_t tick);

    base::TimePoint m_start;
    uint64_t m_lastTick = 0;
    uint64_t m_earliestTick = 0; // of all subscriptions; 0: not known
    std::function<void()> m_onEarlierTimer;
    TimerId m_lastId = 0;
    std::array<Slot, slotCount> m_slots;
    std::unordered_map<TimerId, std::pair<size_t, Slot::iterator>> m_entries;
};

} // namespace rattanshunt::net

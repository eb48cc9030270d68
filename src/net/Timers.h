// One-shot timers of one thread.
//
// A hashed timing wheel with a resolution of `timerResolution`; starting and cancelling a timer take constant time.
// Callbacks run on the owning thread, outside any fiber, and must not block or suspend. All functions must be called on
// that thread.
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

    // Starts a timer that calls `callback` once, at `when` or up to one resolution later.
    TimerId subscribe(base::TimePoint when, std::function<void()> callback);

    // Cancels a timer. Does nothing if it has expired or was cancelled.
    void cancel(TimerId);

    // Runs the callbacks of all timers that are due at `now`.
    void advance(base::TimePoint now);

    // A point in time before which no timer is due, possibly earlier than the first one; timeNever if there are none.
    base::TimePoint nextDueAt() const;

    // Calls `onEarlierTimer` whenever a new timer is due before all others. Set once, by whoever calls advance().
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
    uint64_t m_earliestTick = 0; // of all timers; 0: not known
    std::function<void()> m_onEarlierTimer;
    TimerId m_lastId = 0;
    std::array<Slot, slotCount> m_slots;
    std::unordered_map<TimerId, std::pair<size_t, Slot::iterator>> m_entries;
};

} // namespace rattanshunt::net

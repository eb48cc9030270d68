// One thread's event loop: an Asio io_context, a Boost.Fiber scheduler that runs it, and a timer service.
//
// Contents
//   [1] Loop            owns the io_context; run() makes the calling thread its home
//   [2] Waiting         awaitIo(), sleepFor(), Event: suspend the calling fiber, not the thread
//
// How fibers and Asio fit together: when no fiber is ready, the scheduler runs the io_context. A completion
// handler stores its result and marks its fiber as ready. Fibers never move between threads, so that state
// used by one loop's fibers needs no locks. Other threads reach a loop only through post().
//
// Q: May a completion handler or a timer callback suspend?  A: No. Spawn a fiber from it.
// Q: May a fiber hold a std::mutex across a suspension?     A: No. It would block all fibers of the thread.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>

#include "base/Time.h"
#include "net/Timers.h"

namespace rattanshunt::net {

using ErrorCode = boost::system::error_code;

// ---- [1] Loop ----------------------------------------------------------------------------------

class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    // Runs `entry` as the first fiber of the calling thread and returns once it has returned and every
    // fiber spawned on this loop has ended. A thread runs one loop in its life.
    void run(std::function<void()> mainFiber);

    // Starts a fiber. Precondition: called on the loop's own thread. Safe in handlers and timer callbacks.
    void spawn(std::function<void()> body);

    // Runs `task` soon on the loop's thread, outside any fiber. Safe from any thread.
    void post(std::function<void()> task);

    // Starts a fiber on the loop's thread. Safe from any thread.
    void postFiber(std::function<void()> body);

    boost::asio::io_context& io() { return m_io; }
    TimerService& timers() { return m_timers; }
    size_t fiberCount() const { return m_fiberCount; } // own thread only

    // The loop that the calling thread runs, or null.
    static Loop* current();

private:
    friend class LoopScheduler;

    void armWakeup();

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    boost::asio::steady_timer m_wakeupTimer;
    TimerService m_timers;
    size_t m_fiberCount = 0;
    bool m_isStopping = false;
    bool m_isAdvancing = false;
    base::TimePoint m_wakeupAt = base::timeNever; // when the next wake-up is asked for
};

// ---- [2] Waiting -------------------------------------------------------------------------------

struct IoResult {
    ErrorCode error;
    size_t bytes = 0;
};

// Suspends the calling fiber until one completion. `initiate` receives a handler (ErrorCode, size_t) to pass
// to an asynchronous operation. Precondition: called in a fiber of a loop.
template <typename Initiate> IoResult awaitIo(Initiate&& initiate)
{
    struct State {
        IoResult result;
        bool isDone = false;
        boost::fibers::context* waiter = nullptr;
    } state;
    initiate([&state](ErrorCode error, size_t bytes = 0) {
        state.result = { error, bytes };
        state.isDone = true;
        if (state.waiter)
            boost::fibers::context::active()->schedule(state.waiter);
    });
    while (!state.isDone) {
        state.waiter = boost::fibers::context::active();
        state.waiter->suspend();
    }
    return state.result;
}

// Suspends the calling fiber. Precondition: called in a fiber of a loop.
void sleepFor(base::Duration);
void sleepUntil(base::TimePoint);

// Like sleepUntil(), but with the system's resolution instead of the timer service's, at a higher cost.
void sleepPrecisely(base::TimePoint);

// A flag that one fiber waits for and that handlers or other fibers of the same loop set.
class Event {
public:
    // Wakes the waiter, now or at its next wait. Own thread only.
    void set();
    void reset() { m_isSet = false; }
    bool isSet() const { return m_isSet; }

    // Waits until set or until `deadline`; returns whether the flag is set. One waiter at a time.
    bool waitUntil(base::TimePoint deadline = base::timeNever);

private:
    bool m_isSet = false;
    boost::fibers::context* m_waiter = nullptr;
};

// Runs `work` in a fiber of `target` and suspends the calling fiber until it has returned.
// Precondition: called in a fiber of a loop that is not `target`, or of `target` itself (then it runs inline).
void runOn(Loop& target, std::function<void()> work);

} // namespace rattanshunt::net

// One thread's event loop: an Asio io_context, the Boost.Fiber scheduler that runs it, and a timer service.
//
// Contents
//   [1] Loop            owns the io_context; run() runs it on the calling thread
//   [2] Suspending      awaitIo(), awaitIoUntil(), sleepFor(), Event, runOn(): suspend the calling fiber, not the
//   thread
//
// When no fiber is ready, the scheduler runs the io_context. A completion handler stores its result and marks its fiber
// as ready. Fibers never move between threads, so state that only one loop's fibers use needs no locks. Other threads
// may only call post() and postFiber().
//
// Timers run last: when one is due, the loop first runs all I/O that is ready and the fibers that wait for it, so that
// on a busy thread a timeout does not end an operation that has completed.
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

    // Runs `mainFiber` as the first fiber of the calling thread. Returns after it has returned and every fiber spawned
    // on this loop has ended. A thread can run only one loop in its lifetime.
    void run(std::function<void()> mainFiber);

    // Starts a fiber. Precondition: called on the loop's thread. May be called from handlers and timer callbacks.
    void spawn(std::function<void()> body);

    // Queues `task` to run on the loop's thread, outside any fiber. Safe from any thread.
    void post(std::function<void()> task);

    // Starts a fiber on the loop's thread. Safe from any thread.
    void postFiber(std::function<void()> body);

    boost::asio::io_context& io() { return m_io; }
    TimerService& timers() { return m_timers; }
    size_t fiberCount() const { return m_fiberCount; } // spawned and not ended; only on the loop's thread

    // The loop that the calling thread runs, or null.
    static Loop* current();

private:
    friend class LoopScheduler;

    void armWakeup();
    void advanceTimers();
    bool isCatchUpOver() const;

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    boost::asio::steady_timer m_wakeupTimer;
    TimerService m_timers;
    size_t m_fiberCount = 0;
    bool m_isStopping = false;
    bool m_isAdvancing = false;
    bool m_areTimersDue = false; // advanceTimers() follows when the loop has caught up
    base::TimePoint m_timersDueSince {};
    base::TimePoint m_wakeupAt = base::timeNever; // time that the wake-up timer is set to; timeNever: not set
};

// ---- [2] Suspending ----------------------------------------------------------------------------

struct IoResult {
    ErrorCode error;
    size_t bytes = 0;
};

// State of one operation that a fiber waits for.
struct IoWait {
    IoResult result;
    bool isDone = false;
    boost::fibers::context* waiter = nullptr;

    auto handler()
    {
        return [this](ErrorCode error, size_t bytes = 0) {
            result = { error, bytes };
            isDone = true;
            if (waiter)
                boost::fibers::context::active()->schedule(waiter);
        };
    }
    void suspendUntilDone()
    {
        while (!isDone) {
            waiter = boost::fibers::context::active();
            waiter->suspend();
        }
    }
};

// Starts an asynchronous operation and suspends the calling fiber until it has completed. `initiate` receives the
// completion handler (ErrorCode, size_t). Precondition: called in a fiber of a loop.
template <typename Initiate> IoResult awaitIo(Initiate&& initiate)
{
    IoWait wait;
    initiate(wait.handler());
    wait.suspendUntilDone();
    return wait.result;
}

// Like awaitIo(). Calls `onTimeout`, which has to end the operation, if it has not completed by `deadline`. Does not
// call it once the operation has completed. `onTimeout` must not suspend.
template <typename Initiate, typename OnTimeout>
IoResult awaitIoUntil(Loop& loop, base::TimePoint deadline, Initiate&& initiate, OnTimeout&& onTimeout)
{
    IoWait wait;
    TimerId timer = loop.timers().subscribe(deadline, [&] {
        if (!wait.isDone)
            onTimeout();
    });
    initiate(wait.handler());
    wait.suspendUntilDone();
    loop.timers().cancel(timer);
    return wait.result;
}

// Suspend the calling fiber, with the timer service's resolution. Precondition: called in a fiber of a loop.
void sleepFor(base::Duration);
void sleepUntil(base::TimePoint);

// Like sleepUntil(), but with the system's timer resolution; costs a system timer for each call.
void sleepPrecisely(base::TimePoint);

// A flag that one fiber waits for and that handlers or other fibers of the same loop set. Only for the loop's thread.
class Event {
public:
    // Sets the flag and wakes the waiting fiber, if any.
    void set();
    void reset() { m_isSet = false; }
    bool isSet() const { return m_isSet; }

    // Suspends until the flag is set or `deadline` has passed; returns whether the flag is set. Only one fiber may wait
    // at a time. Does not reset the flag.
    bool waitUntil(base::TimePoint deadline = base::timeNever);

private:
    bool m_isSet = false;
    boost::fibers::context* m_waiter = nullptr;
};

// Runs `work` in a fiber of `target` and suspends the calling fiber until it has returned.
// If the calling fiber belongs to `target`, `work` runs inline. Precondition: called in a fiber of a loop.
void runOn(Loop& target, std::function<void()> work);

} // namespace rattanshunt::net

#include "net/Loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <boost/fiber/scheduler.hpp>

#include "base/Histograms.h"

namespace rattanshunt::net {

namespace {
    constexpr size_t fiberStackBytes = 128 * 1024;  // address space; only the pages in use take memory
    constexpr unsigned switchesPerPoll = 64;        // limits how long ready fibers can delay I/O
    constexpr base::Millis minRecordedDelay { 10 }; // of a wake-up
    constexpr base::Millis maxCatchUp { 50 };       // after which timers run although I/O is still ready

    thread_local Loop* t_loop = nullptr;
    thread_local boost::fibers::pooled_fixedsize_stack* t_stacks = nullptr;
}

// Boost.Fiber scheduling algorithm that runs the io_context while no fiber is ready.
class LoopScheduler : public boost::fibers::algo::algorithm {
public:
    explicit LoopScheduler(Loop& loop)
        : m_loop(loop)
    {
    }

    void awakened(boost::fibers::context* context) noexcept override
    {
        context->ready_link(m_ready);
        if (!context->is_context(boost::fibers::type::dispatcher_context))
            ++m_readyCount;
    }

    boost::fibers::context* pick_next() noexcept override
    {
        if (m_ready.empty())
            return nullptr;
        boost::fibers::context* next = &m_ready.front();
        m_ready.pop_front();
        if (!next->is_context(boost::fibers::type::dispatcher_context)) {
            --m_readyCount;
            return next;
        }
        // suspend_until() is not called while fibers are ready, so poll here too. Otherwise busy fibers starve sockets.
        if (m_readyCount && (m_loop.m_areTimersDue || ++m_switches % switchesPerPoll == 0))
            runReady();
        return next;
    }

    bool has_ready_fibers() const noexcept override { return m_readyCount > 0; }

    void suspend_until(std::chrono::steady_clock::time_point const& until) noexcept override
    {
        if (!m_loop.m_areTimersDue) {
            if (until == std::chrono::steady_clock::time_point::max())
                m_loop.m_io.run_one();
            else
                m_loop.m_io.run_one_until(until);
        }
        runReady();
    }

    void notify() noexcept override
    {
        boost::asio::post(m_loop.m_io, [] {});
    }

private:
    // Runs the I/O handlers that are ready. If timers are due, runs them once no I/O and no fiber is ready.
    void runReady()
    {
        size_t count = 0;
        bool isLate = false;
        while (!isLate && m_loop.m_io.poll_one()) {
            ++count;
            isLate = m_loop.m_areTimersDue && m_loop.isCatchUpOver();
        }
        if (m_loop.m_areTimersDue && (isLate || (!count && !m_readyCount) || m_loop.isCatchUpOver()))
            m_loop.advanceTimers();
    }

    Loop& m_loop;
    boost::fibers::scheduler::ready_queue_type m_ready {};
    size_t m_readyCount = 0;
    unsigned m_switches = 0;
};

Loop::Loop()
    : m_io(1)
    , m_workGuard(boost::asio::make_work_guard(m_io))
    , m_wakeupTimer(m_io)
    , m_timers(base::Clock::now())
{
}

Loop::~Loop() = default;

Loop* Loop::current()
{
    return t_loop;
}

// Sets the system timer to when the next timer is due; sets none while there is no timer.
void Loop::armWakeup()
{
    base::TimePoint due = m_timers.nextDueAt();
    // A wake-up that is set for an earlier time calls armWakeup() again. Setting the system timer for each new timer
    // would cost a system call each time.
    if (due >= m_wakeupAt || m_isStopping)
        return;
    m_wakeupAt = due;
    m_wakeupTimer.expires_at(due);
    m_wakeupTimer.async_wait([this](ErrorCode error) {
        if (error || m_isStopping || m_areTimersDue)
            return;
        base::TimePoint now = base::Clock::now();
        if (now - m_wakeupAt >= minRecordedDelay)
            base::histogramObserve("loop_delay_seconds", "timer", now - m_wakeupAt);
        m_wakeupAt = base::TimePoint::min(); // until advanceTimers()
        m_areTimersDue = true;
        m_timersDueSince = now;
    });
}

bool Loop::isCatchUpOver() const
{
    return base::Clock::now() - m_timersDueSince > maxCatchUp;
}

void Loop::advanceTimers()
{
    m_areTimersDue = false;
    m_wakeupAt = base::timeNever;
    m_isAdvancing = true;
    m_timers.advance(base::Clock::now());
    m_isAdvancing = false;
    armWakeup();
}

void Loop::run(std::function<void()> mainFiber)
{
    t_loop = this;
    static thread_local boost::fibers::pooled_fixedsize_stack stacks(fiberStackBytes, 16);
    t_stacks = &stacks;
    boost::fibers::use_scheduling_algorithm<LoopScheduler>(*this);
    m_timers.setEarlierTimerHandler([this] {
        if (!m_isAdvancing)
            armWakeup();
    });
    armWakeup();
    mainFiber();
    while (m_fiberCount)
        sleepFor(timerResolution);
    m_isStopping = true;
    m_wakeupTimer.cancel();
    t_loop = nullptr;
}

void Loop::spawn(std::function<void()> body)
{
    ++m_fiberCount;
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, *t_stacks, [this, body = std::move(body)] {
        body();
        --m_fiberCount;
    }).detach();
}

void Loop::post(std::function<void()> task)
{
    boost::asio::post(m_io, std::move(task));
}

void Loop::postFiber(std::function<void()> body)
{
    post([this, body = std::move(body)]() mutable { spawn(std::move(body)); });
}

void sleepUntil(base::TimePoint when)
{
    Event neverSet;
    neverSet.waitUntil(when);
}

void sleepFor(base::Duration duration)
{
    sleepUntil(base::Clock::now() + duration);
}

void sleepPrecisely(base::TimePoint when)
{
    boost::asio::steady_timer timer(Loop::current()->io(), when);
    awaitIo([&](auto handler) { timer.async_wait([handler](ErrorCode error) mutable { handler(error, 0); }); });
}

void Event::set()
{
    m_isSet = true;
    if (!m_waiter)
        return;
    boost::fibers::context* waiter = m_waiter;
    m_waiter = nullptr;
    boost::fibers::context::active()->schedule(waiter);
}

bool Event::waitUntil(base::TimePoint deadline)
{
    bool isExpired = false;
    TimerId timer = 0;
    if (!m_isSet && deadline != base::timeNever) {
        timer = Loop::current()->timers().subscribe(deadline, [this, &isExpired] {
            isExpired = true;
            if (!m_waiter)
                return;
            boost::fibers::context* waiter = m_waiter;
            m_waiter = nullptr;
            boost::fibers::context::active()->schedule(waiter);
        });
    }
    while (!m_isSet && !isExpired) {
        m_waiter = boost::fibers::context::active();
        m_waiter->suspend();
    }
    m_waiter = nullptr;
    if (timer)
        Loop::current()->timers().cancel(timer);
    return m_isSet;
}

void runOn(Loop& target, std::function<void()> work)
{
    Loop* callerLoop = Loop::current();
    if (callerLoop == &target) {
        work();
        return;
    }
    Event done;
    target.postFiber([&] {
        work();
        callerLoop->post([&done] { done.set(); });
    });
    done.waitUntil();
}

} // namespace rattanshunt::net

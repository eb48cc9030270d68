// Time types shared by all modules.
//
// Functions that decide something receive the present time as an argument and never read a clock. Between processes
// only equal clock rates are assumed, never synchronized clocks, so deadlines use steady time only.
#pragma once

#include <chrono>
#include <ctime>

namespace rattanshunt::base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr TimePoint timeNever = TimePoint::max();

// Steady time that also advances while the machine is suspended. For leases and deadlines that also expire by time on
// other machines: Clock stops during a suspension, so a lease measured with it would look younger than it is.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    // Safe from any thread.
    static time_point now()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};
using BootTime = BootClock::time_point;

// `duration` in seconds, with fractions.
inline double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// `seconds`, which may have fractions, as a Duration.
inline Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// `duration` in whole milliseconds, rounded towards zero.
inline long long millisOf(Duration duration)
{
    return std::chrono::duration_cast<Millis>(duration).count();
}

} // namespace rattanshunt::base

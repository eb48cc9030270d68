// Time types shared by all modules.
//
// Decisions receive the present time as an argument and never read a clock. Only equal clock rates
// are assumed between processes, never equal clocks, so only steady time is used for deadlines.
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

// Steady time that also counts while the machine is suspended. For rights and deadlines that end by time on another
// machine too: Clock stands still in a suspension, and what it guards would seem younger than it is.
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

// Length of `duration` in seconds, with fractions.
inline double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Duration of `seconds`, which may have fractions.
inline Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Whole milliseconds in `duration`, rounded down.
inline long long millisOf(Duration duration)
{
    return std::chrono::duration_cast<Millis>(duration).count();
}

} // namespace rattanshunt::base

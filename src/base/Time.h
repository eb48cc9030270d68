// Time types shared by all modules.
//
// Decisions receive the present time as an argument and never read a clock. Only equal clock rates
// are assumed between processes, never equal clocks, so only steady time is used for deadlines.
#pragma once

#include <chrono>

namespace rattanshunt::base {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

constexpr TimePoint timeNever = TimePoint::max();

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

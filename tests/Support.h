// Helpers shared by the tests.
#pragma once

#include <functional>
#include <random>

#include <boost/asio.hpp>
#include <boost/fiber/all.hpp>
#include <boost/leaf.hpp>

#include "LabFleet.h"
#include "base/Log.h"
#include "base/Time.h"
#include "net/Loop.h"

// Included last: its macros conflict with Boost's headers.
#include <criterion/criterion.h>

namespace rattanshunt::tests {

// The time `millis` milliseconds after a fixed start of test time.
inline base::TimePoint at(double millis)
{
    return base::TimePoint {} + base::Seconds(1000) + base::durationOf(millis / 1000);
}

// Runs `body` as the first fiber of a loop on the calling thread; returns when it has ended. Logs errors only.
inline void runOnLoop(const std::function<void(net::Loop&)>& body)
{
    base::logSetup("rattanshunt-tests", base::LogLevel::Error);
    net::Loop loop;
    loop.run([&] { body(loop); });
}

} // namespace rattanshunt::tests

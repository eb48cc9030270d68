#include "base/LogOutput.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include "base/Counters.h"
#include "base/Log.h"
#include "base/Time.h"

namespace rattanshunt::base {

namespace {

    constexpr size_t maxLogBufferBytes = 256 * 1024; // holds the lines of some seconds of a busy daemon
    constexpr size_t maxWriteBytes = 4096; // PIPE_BUF: a pipe that polls as writable accepts this many without blocking

    constexpr double logLinesPerSecond = 200; // for each event; a busy daemon finishes about 20 requests per second

    // Token bucket that limits the lines of one event.
    struct EventLimiter {
        double tokens = 2 * logLinesPerSecond;
        TimePoint refilledAt {};
        size_t suppressedLines = 0;
    };

    std::mutex s_mutex;
    std::map<std::string, EventLimiter, std::less<>> s_limiters;
    std::string s_buffer;
    size_t s_droppedLines = 0;

    void writeBuffered()
    {
        while (!s_buffer.empty()) {
            pollfd ready { STDOUT_FILENO, POLLOUT, 0 };
            if (poll(&ready, 1, 0) <= 0 || !(ready.revents & POLLOUT))
                return;
            ssize_t written = write(STDOUT_FILENO, s_buffer.data(), std::min(maxWriteBytes, s_buffer.size()));
            if (written <= 0)
                return;
            s_buffer.erase(0, static_cast<size_t>(written));
        }
    }

} // namespace

bool logAdmit(std::string_view event)
{
    std::lock_guard lock(s_mutex);
    auto found = s_limiters.find(event);
    if (found == s_limiters.end())
        found = s_limiters.emplace(std::string(event), EventLimiter {}).first;
    EventLimiter& limiter = found->second;
    TimePoint now = Clock::now();
    if (limiter.refilledAt != TimePoint {})
        limiter.tokens
            = std::min(2 * logLinesPerSecond, limiter.tokens + secondsOf(now - limiter.refilledAt) * logLinesPerSecond);
    limiter.refilledAt = now;
    if (limiter.tokens < 1) {
        ++limiter.suppressedLines;
        counterAdd("log_lines_left_out_total");
        return false;
    }
    limiter.tokens -= 1;
    if (limiter.suppressedLines && s_buffer.size() < maxLogBufferBytes)
        s_buffer += fmt::format(
            "level=warning event=log.left_out kind={} lines={}\n", event, std::exchange(limiter.suppressedLines, 0));
    return true;
}

void logAppend(std::string_view line)
{
    std::lock_guard lock(s_mutex);
    if (s_buffer.size() + line.size() + 1 > maxLogBufferBytes) {
        ++s_droppedLines;
        counterAdd("log_lines_dropped_total");
        return;
    }
    if (s_droppedLines) {
        s_buffer += fmt::format("level=warning event=log.dropped lines={}\n", s_droppedLines);
        s_droppedLines = 0;
    }
    s_buffer += line;
    s_buffer += '\n';
}

void logFlush()
{
    std::lock_guard lock(s_mutex);
    writeBuffered();
}

void logToStandardOutput()
{
    logSetOutput(logAppend, logAdmit);
}

} // namespace rattanshunt::base

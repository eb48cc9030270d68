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

    constexpr size_t logBufferBytes = 256 * 1024; // some seconds of a busy daemon
    constexpr size_t writeBytes = 4096;           // a pipe that is ready for writing takes as many without blocking

    constexpr double logLinesPerSecond = 200; // of one event kind; a busy daemon ends about 20 requests a second

    // A token bucket for one event kind.
    struct KindRate {
        double level = 2 * logLinesPerSecond;
        TimePoint asOf {};
        size_t leftOut = 0;
    };

    std::mutex s_mutex;
    std::map<std::string, KindRate, std::less<>> s_kinds;
    std::string s_buffer;
    size_t s_dropped = 0;

    void writeSome()
    {
        while (!s_buffer.empty()) {
            pollfd ready { STDOUT_FILENO, POLLOUT, 0 };
            if (poll(&ready, 1, 0) <= 0 || !(ready.revents & POLLOUT))
                return;
            ssize_t written = write(STDOUT_FILENO, s_buffer.data(), std::min(writeBytes, s_buffer.size()));
            if (written <= 0)
                return;
            s_buffer.erase(0, static_cast<size_t>(written));
        }
    }

} // namespace

bool logAdmit(std::string_view event)
{
    std::lock_guard lock(s_mutex);
    auto found = s_kinds.find(event);
    if (found == s_kinds.end())
        found = s_kinds.emplace(std::string(event), KindRate {}).first;
    KindRate& kind = found->second;
    TimePoint now = Clock::now();
    if (kind.asOf != TimePoint {})
        kind.level = std::min(2 * logLinesPerSecond, kind.level + secondsOf(now - kind.asOf) * logLinesPerSecond);
    kind.asOf = now;
    if (kind.level < 1) {
        ++kind.leftOut;
        counterAdd("log_lines_left_out_total");
        return false;
    }
    kind.level -= 1;
    if (kind.leftOut && s_buffer.size() < logBufferBytes)
        s_buffer += fmt::format(
            "level=warning event=log.left_out kind={} lines={}\n", event, std::exchange(kind.leftOut, 0));
    return true;
}

void logAppend(std::string_view line)
{
    std::lock_guard lock(s_mutex);
    if (s_buffer.size() + line.size() + 1 > logBufferBytes) {
        ++s_dropped;
        counterAdd("log_lines_dropped_total");
        return;
    }
    if (s_dropped) {
        s_buffer += fmt::format("level=warning event=log.dropped lines={}\n", s_dropped);
        s_dropped = 0;
    }
    s_buffer += line;
    s_buffer += '\n';
}

void logFlush()
{
    std::lock_guard lock(s_mutex);
    writeSome();
}

void logToStandardOutput()
{
    logSetOutput(logAppend, logAdmit);
}

} // namespace rattanshunt::base

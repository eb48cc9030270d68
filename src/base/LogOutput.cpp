#include "base/LogOutput.h"

#include <mutex>
#include <string>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::base {

namespace {

    constexpr size_t logBufferBytes = 256 * 1024; // some seconds of a busy daemon
    constexpr size_t writeBytes = 4096;           // a pipe that is ready for writing takes as many without blocking

    std::mutex s_mutex;
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
    logSetOutput(logAppend);
}

} // namespace rattanshunt::base

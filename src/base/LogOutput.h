// Log output to standard output that never blocks the process, also if the reader of the pipe is slow or stopped.
//
// Lines are buffered in memory and written as far as the pipe accepts them. Lines that do not fit into the buffer are
// dropped and counted; the count is written as a line once there is room again. Safe from any thread.
#pragma once

#include <string_view>

namespace rattanshunt::base {

// Makes logEvent() use this output. Call once, before threads start.
void logToStandardOutput();

// Writes as many buffered lines as standard output accepts without blocking. Call about 10 times per second, and before
// the process ends.
void logFlush();

// Whether one more line of `event` may be written now. Each event may write `logLinesPerSecond`, with a burst of twice
// as many. Suppressed lines are counted; the count is written as a line once the event may be written again.
bool logAdmit(std::string_view event);

// Buffers one line, or drops it if the buffer would exceed `maxLogBufferBytes`.
void logAppend(std::string_view line);

} // namespace rattanshunt::base

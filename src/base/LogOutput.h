// Log lines to standard output without ever blocking.
//
// Lines wait in memory and are written while the reader keeps up. What does not fit is dropped and counted; the count
// goes out as a line of its own once there is room. Safe from any thread.
#pragma once

#include <string_view>

namespace rattanshunt::base {

// Makes logEvent() write here. Call once, before threads start.
void logToStandardOutput();

// Writes what the reader takes now. Call about ten times a second, and at the end.
void logFlush();

// Whether one more line of an event kind may be written now: each kind has `logLinesPerSecond`, with twice as many at
// once. What is left out is counted and told in a line of its own.
bool logAdmit(std::string_view event);

// Takes one line in; drops it if `logBufferBytes` of others wait.
void logAppend(std::string_view line);

} // namespace rattanshunt::base

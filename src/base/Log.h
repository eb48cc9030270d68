// Structured log: one line of key=value pairs for each event, written through glog or to another output.
//
//   logEvent(LogLevel::Info, "key.withdrawn", { { "key", id }, { "account", account } });
//
// Values that are empty or contain spaces, quotes, '=', backslashes, control characters or bytes outside ASCII are
// quoted and escaped. Callers must not pass secrets.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace rattanshunt::base {

enum class LogLevel { Debug, Info, Warning, Error };

struct LogField {
    std::string key;
    std::string value;

    LogField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    LogField(std::string_view name, const char* text)
        : LogField(name, std::string_view(text))
    {
    }
    template <typename Number>
    LogField(std::string_view name, Number number) requires std::is_arithmetic_v<Number>
        : key(name), value(fmt::format("{}", number))
    {
    }
};

// Initializes glog to write to standard error. Events below `threshold` are dropped. Call once, before threads start.
void logSetup(const std::string& programName, LogLevel threshold);

// Passes lines to `write` instead of glog; events for which `admit` returns false are dropped. Both may be called from
// any thread. Call once, before threads start.
void logSetOutput(void (*write)(std::string_view line), bool (*admit)(std::string_view event));

// Changes the threshold set by logSetup(). Safe from any thread.
void logSetThreshold(LogLevel);

// Formats one event, without its time. Safe from any thread.
std::string logLine(LogLevel, std::string_view event, std::initializer_list<LogField>);

// Writes one event with the present UTC time. Safe from any thread.
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace rattanshunt::base

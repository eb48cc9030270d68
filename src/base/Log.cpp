#include "base/Log.h"

#include <atomic>
#include <chrono>

#include <fmt/chrono.h>
#include <glog/logging.h>

namespace rattanshunt::base {

namespace {

    std::atomic<LogLevel> s_threshold { LogLevel::Info };
    void (*s_output)(std::string_view) = nullptr;
    bool (*s_admit)(std::string_view) = nullptr;

    const char* levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warning:
            return "warning";
        case LogLevel::Error:
            return "error";
        }
        return "info";
    }

    bool needsQuotes(const std::string& value)
    {
        if (value.empty())
            return true;
        for (unsigned char c : value) {
            if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f)
                return true;
        }
        return false;
    }

    void appendValue(std::string& line, const std::string& value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (unsigned char c : value) {
            if (c == '"' || c == '\\') {
                line += '\\';
                line += static_cast<char>(c);
            } else if (c < ' ' || c >= 0x7f)
                line += fmt::format("\\x{:02x}", c);
            else
                line += static_cast<char>(c);
        }
        line += '"';
    }

} // namespace

void logSetup(const std::string& programName, LogLevel threshold)
{
    s_threshold = threshold;
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    static std::string name = programName;
    google::InitGoogleLogging(name.c_str());
}

void logSetOutput(void (*write)(std::string_view line), bool (*admit)(std::string_view event))
{
    s_output = write;
    s_admit = admit;
}

void logSetThreshold(LogLevel threshold)
{
    s_threshold = threshold;
}

std::string logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = fmt::format("level={} event={}", levelName(level), event);
    for (const LogField& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < s_threshold || (s_admit && !s_admit(event)))
        return;
    auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto millis = now.time_since_epoch().count() % 1000;
    auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
    std::string line = fmt::format("time={:%FT%T}.{:03}Z ", seconds, millis) + logLine(level, event, fields);
    if (s_output)
        s_output(line);
    else
        LOG(INFO) << line;
}

} // namespace rattanshunt::base

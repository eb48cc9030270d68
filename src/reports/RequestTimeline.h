// The story of one request, put together from the log files of several daemons.
//
// Pure; safe from any thread.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace rattanshunt::reports {

// A log line read back into its pairs. Lines that are no pairs have none.
struct LogRecord {
    std::string source; // file that it stands in
    std::map<std::string, std::string> fields;
    std::string line;
};

LogRecord logRecordParse(const std::string& source, const std::string& line);

// The lines of the request in order of time, then those that tell what its daemon believed around then, and the cause
// in a sentence. Empty if no line names the request.
std::string requestTimeline(const std::string& id, const std::vector<LogRecord>&);

} // namespace rattanshunt::reports

// Timeline of one request, assembled from the log files of several daemons, for `rattanshunt explain request`.
//
// No I/O; safe from any thread.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace rattanshunt::reports {

// A log line and its key=value pairs. A line of another format has no pairs.
struct LogRecord {
    std::string source; // name of its file
    std::map<std::string, std::string> fields;
    std::string line;
};

LogRecord logRecordParse(const std::string& source, const std::string& line);

// The request's lines in order of time, then the lines that show what the daemon that ended it knew by then about hub,
// store and configuration, and the cause of the request's end in a sentence. Empty if no line names the request.
std::string requestTimeline(const std::string& id, const std::vector<LogRecord>&);

} // namespace rattanshunt::reports

#include "reports/RequestTimeline.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace rattanshunt::reports {

namespace {

    constexpr size_t maxContextLines = 8; // shown of the daemon that ended the request

    // Events that change a daemon's knowledge of hub, store and configuration.
    const std::set<std::string> contextEvents
        = { "hub.lost", "hub.reached", "hub.elected", "hub.resigned", "hub.changed", "store.lost", "store.reached",
              "configuration.in_force", "gateway.stopping", "gateway.start", "settings.reloaded" };

    // What each reason means, for operators. The keys are the values of `why` in the event request.end.
    const std::map<std::string, std::string> causeByReason = {
        { "over_usage_cap", "its account had used its rate and burst; see the line quota.refused for who decided" },
        { "model_comes_too_late",
            "no replica held its model, and the model would not have been ready before the caller left" },
        { "model_not_loaded", "no replica held its model until the caller's time was over" },
        { "nobody_orders_models", "no replica held its model, and no hub was there to order it" },
        { "replicas_full", "every replica with its model was full or had been tried" },
        { "no_other_replica", "the replicas that were tried refused it, and no other was left" },
        { "configuration_stale",
            "this daemon could not prove that its configuration was current: the store and the hub were out of reach" },
        { "no_configuration", "this daemon had just started and knew no configuration" },
        { "unknown_key", "no configuration in force holds its key" },
        { "no_route", "no route in force fits its host and path" },
        { "stopping", "this daemon was being stopped, and the request would have waited too long" },
        { "closed", "the replica closed the connection before its answer was whole; it may have run" },
        { "malformed", "the replica sent bytes that are no answer; it may have run" },
        { "timed_out", "its time was over while a replica worked on it" },
        { "half_event", "the replica ended its stream in the middle of an event" },
        { "not_to_be_passed_on",
            "the replica's answer was not signed or not allowed to be passed on; it may have run" },
        { "replica_failed", "the replica ran it and answered with a failure of its own" },
        { "cancelled", "the caller left while a replica worked on it" },
        { "caller_gone", "the caller left while the request waited" },
    };

    std::string fieldOf(const LogRecord& record, const std::string& name)
    {
        auto found = record.fields.find(name);
        return found == record.fields.end() ? "" : found->second;
    }

} // namespace

LogRecord logRecordParse(const std::string& source, const std::string& line)
{
    LogRecord record { source, {}, line };
    size_t position = 0;
    while (position < line.size()) {
        size_t equals = line.find('=', position);
        if (equals == std::string::npos)
            break;
        size_t nameStart = line.rfind(' ', equals);
        nameStart = nameStart == std::string::npos || nameStart < position ? position : nameStart + 1;
        std::string name = line.substr(nameStart, equals - nameStart);
        size_t end = equals + 1;
        std::string value;
        if (end < line.size() && line[end] == '"') {
            for (++end; end < line.size() && line[end] != '"'; ++end) {
                if (line[end] == '\\' && end + 1 < line.size())
                    ++end;
                value += line[end];
            }
            ++end;
        } else {
            end = std::min(line.find(' ', equals), line.size());
            value = line.substr(equals + 1, end - equals - 1);
        }
        record.fields[name] = value;
        position = end + 1;
    }
    return record;
}

std::string requestTimeline(const std::string& id, const std::vector<LogRecord>& records)
{
    std::vector<const LogRecord*> requestRecords;
    for (const LogRecord& record : records) {
        if (fieldOf(record, "id") == id)
            requestRecords.push_back(&record);
    }
    if (requestRecords.empty())
        return "";
    auto byTime = [](const LogRecord* a, const LogRecord* b) { return fieldOf(*a, "time") < fieldOf(*b, "time"); };
    std::stable_sort(requestRecords.begin(), requestRecords.end(), byTime);
    std::string text;
    for (const LogRecord* record : requestRecords)
        text += fmt::format("{}: {}\n", record->source, record->line);
    const LogRecord& end = *requestRecords.back();
    std::vector<const LogRecord*> context;
    for (const LogRecord& record : records) {
        if (record.source == end.source && contextEvents.contains(fieldOf(record, "event"))
            && fieldOf(record, "time") <= fieldOf(end, "time"))
            context.push_back(&record);
    }
    std::stable_sort(context.begin(), context.end(), byTime);
    if (!context.empty())
        text += "what this daemon knew before that:\n";
    for (size_t i = context.size() - std::min(context.size(), maxContextLines); i < context.size(); ++i)
        text += "  " + context[i]->line + "\n";
    auto cause = causeByReason.find(fieldOf(end, "why"));
    if (fieldOf(end, "outcome") == "served")
        text += fmt::format("cause: none; it was served after {} ms\n", fieldOf(end, "took_ms"));
    else
        text += fmt::format(
            "cause: {}\n", cause == causeByReason.end() ? "unknown reason " + fieldOf(end, "why") : cause->second);
    return text;
}

} // namespace rattanshunt::reports

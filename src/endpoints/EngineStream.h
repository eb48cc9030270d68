// The engines' completion format: requests, server-sent events, answers. The only file pair that knows it.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/Http.h"
#include "resources/Resources.h"

namespace rattanshunt::endpoints {

// The body for an engine: the caller's with the stream flag, the priority and the tokens that were delivered already.
std::string engineRequestBody(
    const nlohmann::json& callerBody, bool isStream, resources::PriorityClass, size_t resumeFrom);

// Load that an answer carries in X-Load as "running,waiting,slots".
struct EngineLoad {
    int running = 0;
    int waiting = 0;
    int batchSlots = 0;
};
std::optional<EngineLoad> engineLoadParse(const std::vector<net::HttpHeader>&);

// Splits a stream into events and checks that they belong to the request.
struct EngineStream {
    std::string requestId;
    std::string partialEvent;     // bytes after the last whole event
    size_t outputTokens = 0;      // events that carried text
    bool isDone = false;          // the end mark was seen
    bool hasForeignEvent = false; // an event of another request was seen
    double usageTokens = 0;       // prompt and output, as the engine counts; 0: not told
};

// Takes in bytes and gives the whole events among them, as they are to be passed on.
std::string engineStreamFeed(EngineStream&, std::string_view bytes);

// The text of all events in `events`, for a caller that wants one answer.
std::string engineEventsText(std::string_view events);

// True if a whole answer names the request.
bool engineResponseMatches(const nlohmann::json& response, const std::string& requestId);

// Prompt and output tokens that an answer or event names; 0 if it names none.
double engineUsageTokens(const nlohmann::json& response);

} // namespace rattanshunt::endpoints

// The engines' completion format: requests, server-sent events and responses. Only this file pair knows the format.
//
// Pure functions; safe from any thread for data that no other thread uses at the same time.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/Http.h"
#include "resources/Resources.h"

namespace rattanshunt::endpoints {

// The request body for an engine: the caller's body with the stream flag, the priority, and in `resumeFrom` the number
// of tokens already delivered, after which the engine is to resume.
std::string engineRequestBody(
    const nlohmann::json& callerBody, bool isStream, resources::PriorityClass, size_t resumeFrom);

// Load that a response reports in X-Load as "running,waiting,slots", in requests.
struct EngineLoad {
    int running = 0;
    int waiting = 0;
    int batchSlots = 0;
};
std::optional<EngineLoad> engineLoadParse(const std::vector<net::HttpHeader>&);

// State of a response stream that is split into events. Each event must carry the id of the request.
struct EngineStream {
    std::string requestId;
    std::string partialEvent;     // bytes after the last complete event
    size_t outputTokens = 0;      // events with choices, counted as one token each
    bool isDone = false;          // [DONE] was received
    bool hasForeignEvent = false; // an event with another request id was received
    double usageTokens = 0;       // of prompt and output, as counted by the engine; 0: not reported
};

// Adds received bytes and returns the events that they complete, unchanged. Stops before the first foreign event.
std::string engineStreamFeed(EngineStream&, std::string_view bytes);

// The concatenated text of `events`, for a caller that did not ask for a stream.
std::string engineEventsText(std::string_view events);

// True if a response or event carries the id of the request.
bool engineResponseMatches(const nlohmann::json& response, const std::string& requestId);

// Sum of prompt and output tokens that a response or event reports; 0 if it reports none.
double engineUsageTokens(const nlohmann::json& response);

} // namespace rattanshunt::endpoints

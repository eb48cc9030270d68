// Parses and checks what callers send: headers, request targets and completion bodies.
//
// Pure functions; safe from any thread. completionRequestParse() reports errors as boost::leaf errors that carry a
// resources::FieldError; completionRequestTryParse() returns them as plain data.
#pragma once

#include <optional>
#include <string>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "net/Http.h"
#include "resources/Catalog.h"
#include "resources/Resources.h"

namespace rattanshunt::entry {

struct RequestLimits {
    size_t maxOutputTokens = 32768;
    size_t defaultOutputTokens = 256;       // if the body has no max_tokens
    base::Millis defaultDeadline { 60000 }; // without X-Deadline-Ms
    base::Millis maxDeadline { 600000 };
};

struct CompletionRequest {
    nlohmann::json body; // as received
    std::string model;   // name of a model or adapter
    std::string prompt;
    size_t maxTokens = 0;
    bool isStream = false;
    std::optional<resources::PriorityClass> priority; // from "value"; the model's default if not set
};

boost::leaf::result<CompletionRequest> completionRequestParse(const std::string& body, const RequestLimits&);

struct CompletionParseResult {
    std::optional<CompletionRequest> completion; // set on success
    resources::FieldError error;                 // set otherwise
};
CompletionParseResult completionRequestTryParse(const std::string& body, const RequestLimits&);

// The API key's secret from "Authorization: Bearer ...", or nothing if it is missing, malformed or over 512 bytes.
std::optional<std::string> keySecretParse(const std::vector<net::HttpHeader>&);

// The time allowed for the request, counted from its arrival: X-Deadline-Ms, or the default without it. Invalid if the
// header is not a whole number from 1 to the maximum.
struct DeadlineParseResult {
    bool isValid = true;
    base::Millis duration { 0 };
};
DeadlineParseResult deadlineParse(const std::vector<net::HttpHeader>&, const RequestLimits&);

// True for request ids that are safe to echo and log: 1 to 64 letters, digits, '-' and '_'.
bool isValidRequestId(std::string_view);

// The path of a request target without its query.
std::string_view targetPath(std::string_view target);

// True if every endpoint interprets the target in the same way as this server, so that routing and key checks cannot be
// bypassed: it starts with '/' and has no dot segments, empty segments, spaces, control characters, backslashes,
// fragments, malformed percent encodings, or encoded separators, dots, percent signs and control characters.
bool isUnambiguousTarget(std::string_view target);

// Estimated number of tokens of a prompt, rounded up; used to reserve tokens before the engine has counted them.
double promptTokensEstimate(const std::string& prompt, double bytesPerToken);

} // namespace rattanshunt::entry

// Reads what a caller asks for: limits, fields, tokens. Pure functions; safe from any thread.
//
// Errors are boost::leaf errors that carry a resources::FieldError; completionReadOrExplain() gives plain data.
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
    size_t defaultOutputTokens = 256;
    base::Millis defaultDeadline { 60000 };
    base::Millis maxDeadline { 600000 };
};

// A completion that a caller asks for.
struct CompletionRequest {
    nlohmann::json body; // as received
    std::string model;   // or adapter
    std::string prompt;
    size_t maxTokens = 0;
    bool isStream = false;
    std::optional<resources::PriorityClass> priority;
};

boost::leaf::result<CompletionRequest> completionRequestParse(const std::string& body, const RequestLimits&);

struct CompletionParseResult {
    std::optional<CompletionRequest> completion;
    resources::FieldError error;
};
CompletionParseResult completionRequestTryParse(const std::string& body, const RequestLimits&);

// The key in the Authorization header, or nothing.
std::optional<std::string> keySecretParse(const std::vector<net::HttpHeader>&);

// The time that the caller gives the request, from X-Deadline-Ms. The error names the header.
struct DeadlineParseResult {
    bool isValid = true;
    base::Millis duration { 0 };
};
DeadlineParseResult deadlineParse(const std::vector<net::HttpHeader>&, const RequestLimits&);

// True for identifiers that may be echoed and logged: 1 to 64 letters, digits, '-' and '_'.
bool isValidRequestId(std::string_view);

// The path of a request target without its query.
std::string_view targetPath(std::string_view target);

// True if the target is one that no endpoint could read differently: it starts with '/', and has no dot segments,
// control characters, backslashes, fragments or malformed percent signs.
bool isUnambiguousTarget(std::string_view target);

// Tokens to reserve for a prompt.
double promptTokensEstimate(const std::string& prompt, double bytesPerToken);

} // namespace rattanshunt::entry

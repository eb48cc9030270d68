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

struct IntakeLimits {
    size_t maxOutputTokens = 32768;
    size_t defaultOutputTokens = 256;
    base::Millis deadline { 60000 };
    base::Millis maxDeadline { 600000 };
};

// A completion that a caller asks for.
struct Completion {
    nlohmann::json body; // as received
    std::string model;   // or adapter
    std::string prompt;
    size_t maxTokens = 0;
    bool isStream = false;
    std::optional<resources::ValueClass> value;
};

boost::leaf::result<Completion> completionRead(const std::string& body, const IntakeLimits&);

struct CompletionOutcome {
    std::optional<Completion> completion;
    resources::FieldError error;
};
CompletionOutcome completionReadOrExplain(const std::string& body, const IntakeLimits&);

// The key in the Authorization header, or nothing.
std::optional<std::string> keySecretRead(const std::vector<net::HttpHeader>&);

// The time that the caller gives the request, from X-Deadline-Ms. The error names the header.
struct DeadlineOutcome {
    bool isValid = true;
    base::Millis time { 0 };
};
DeadlineOutcome deadlineRead(const std::vector<net::HttpHeader>&, const IntakeLimits&);

// True for identifiers that may be echoed and logged: 1 to 64 letters, digits, '-' and '_'.
bool isRequestId(std::string_view);

// The path of a request target without its query.
std::string_view targetPath(std::string_view target);

// True if the target is one that no endpoint could read differently: it starts with '/', and has no dot segments,
// control characters, backslashes, fragments or malformed percent signs.
bool isPlainTarget(std::string_view target);

// Tokens to reserve for a prompt.
double promptTokens(const std::string& prompt, double bytesPerToken);

} // namespace rattanshunt::entry

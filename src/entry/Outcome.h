// Outcomes of requests, the reasons for them, and the HTTP responses that report them to callers.
//
// Contents
//   [1] Outcome and Reason   the complete list; docs/API.md explains each reason
//   [2] Responses            reasonResponse()
//
// Pure functions; safe from any thread.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "net/Http.h"

namespace rattanshunt::entry {

// ---- [1] Outcome and Reason --------------------------------------------------------------------

enum class Outcome {
    Complete,      // the complete response was delivered
    RefusedNotRun, // no endpoint executed any part of the request
    Unknown,       // an endpoint may have executed it; its response was lost or truncated
};

enum class Reason {
    None,
    MalformedRequest,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    AccountMissing,
    UnknownModel,
    UnknownRoute,
    MethodNotAllowed,
    OverBurst,
    OverRate,
    BudgetUnreachable,
    ConfigurationStale,
    NoReplica,
    QueueFull,
    DeadlineTooShort,
    ShuttingDown,
    EndpointUnavailable,
    EndpointLost,
    RetryBudgetSpent,
    ClaimUnavailable,
    AlreadyRunning,
    OutcomeUnknown,
    IdempotencyKeyReused,
    CallerGone,
};

struct ReasonInfo {
    Reason reason;
    const char* name; // stable; part of the API
    int status;       // of the HTTP response
    Outcome outcome;
    base::Millis retryAfter; // 0: the caller should not retry
    bool isCallersFault;     // not counted against the service level
    const char* message;     // for people; may change
};

const ReasonInfo& reasonInfo(Reason);
const std::vector<ReasonInfo>& reasonTable(); // indexed by Reason
const char* outcomeName(Outcome);

// ---- [2] Responses -----------------------------------------------------------------------------

constexpr const char* headerRequestId = "X-Request-Id";
constexpr const char* headerOutcome = "X-Outcome";
constexpr const char* headerReason = "X-Reason";

// JSON error body of a refusal or an unknown outcome. `detail` is appended to the reason's message.
std::string reasonResponseBody(Reason, const std::string& requestId, const std::string& detail = {});

// The complete HTTP response for a reason. `retryAfter`, if above zero, replaces the reason's own in Retry-After.
net::HttpResponse reasonResponse(
    Reason, const std::string& requestId, const std::string& detail = {}, base::Millis retryAfter = base::Millis(0));

} // namespace rattanshunt::entry

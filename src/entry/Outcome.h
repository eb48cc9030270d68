// How a request can end, and how that is told to its caller.
//
// Contents
//   [1] Outcome and Reason   the closed list; docs/API.md explains each
//   [2] Answers              outcomeResponse()
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
    Complete,      // the whole answer was given
    RefusedNotRun, // no endpoint has run any of it
    Unknown,       // an endpoint may have run it; its answer is lost or cut
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
    int status;       // of the HTTP answer
    Outcome outcome;
    base::Millis retryAfter; // 0: a repeat makes no sense
    bool isCallersFault;     // does not count against the service
    const char* message;
};

const ReasonInfo& reasonInfo(Reason);
const std::vector<ReasonInfo>& reasonTable();
const char* outcomeName(Outcome);

// ---- [2] Answers -------------------------------------------------------------------------------

constexpr const char* headerRequestId = "X-Request-Id";
constexpr const char* headerOutcome = "X-Outcome";
constexpr const char* headerReason = "X-Reason";

// The typed body of a refusal or an unknown outcome. `detail` is added to the reason's message.
std::string reasonResponseBody(Reason, const std::string& requestId, const std::string& detail = {});

// The whole answer for it. `retryAfter` replaces the reason's own if it is above zero.
net::HttpResponse reasonResponse(
    Reason, const std::string& requestId, const std::string& detail = {}, base::Millis retryAfter = base::Millis(0));

} // namespace rattanshunt::entry

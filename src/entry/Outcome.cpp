#include "entry/Outcome.h"

#include <nlohmann/json.hpp>

namespace rattanshunt::entry {

using base::Millis;

const std::vector<ReasonInfo>& reasonTable()
{
    constexpr Outcome refused = Outcome::RefusedNotRun;
    constexpr Outcome unknown = Outcome::Unknown;
    static const std::vector<ReasonInfo> table = {
        { Reason::None, "none", 200, Outcome::Complete, Millis(0), false, "" },
        { Reason::MalformedRequest, "malformed_request", 400, refused, Millis(0), true, "the request is malformed" },
        { Reason::KeyMissing, "key_missing", 401, refused, Millis(0), true,
            "an Authorization header with a key is needed" },
        { Reason::KeyUnknown, "key_unknown", 401, refused, Millis(0), true, "the key is not known" },
        { Reason::KeyWithdrawn, "key_withdrawn", 401, refused, Millis(0), true, "the key was withdrawn" },
        { Reason::AccountMissing, "account_missing", 403, refused, Millis(0), true,
            "the key's client account does not exist" },
        { Reason::UnknownModel, "unknown_model", 404, refused, Millis(0), true, "there is no such model or adapter" },
        { Reason::UnknownRoute, "unknown_route", 404, refused, Millis(0), true, "there is no such route" },
        { Reason::MethodNotAllowed, "method_not_allowed", 405, refused, Millis(0), true,
            "the method is not allowed here" },
        { Reason::OverBurst, "over_burst", 400, refused, Millis(0), true,
            "the request needs more tokens than the account's burst allows" },
        { Reason::OverRate, "over_rate", 429, refused, Millis(1000), true, "the client account has used up its rate" },
        { Reason::BudgetUnreachable, "budget_unreachable", 503, refused, Millis(1000), false,
            "the client account's token budget could not be reached" },
        { Reason::ConfigurationStale, "configuration_stale", 503, refused, Millis(1000), false,
            "this instance has lost contact with the fleet and cannot verify that the key is still valid" },
        { Reason::NoReplica, "no_replica", 503, refused, Millis(2000), false, "the model could not be loaded in time" },
        { Reason::QueueFull, "queue_full", 503, refused, Millis(1000), false, "too many requests are waiting" },
        { Reason::DeadlineTooShort, "deadline_too_short", 503, refused, Millis(1000), false,
            "the request could not be started in time" },
        { Reason::ShuttingDown, "shutting_down", 503, refused, Millis(100), false, "this instance is shutting down" },
        { Reason::EndpointUnavailable, "endpoint_unavailable", 503, refused, Millis(500), false,
            "no endpoint could be reached" },
        { Reason::EndpointLost, "endpoint_lost", 502, unknown, Millis(500), false,
            "the endpoint's response was lost or truncated" },
        { Reason::RetryBudgetSpent, "retry_budget_spent", 502, unknown, Millis(2000), false,
            "the endpoint failed and the retry budget is used up" },
        { Reason::ClaimUnavailable, "claim_unavailable", 503, refused, Millis(1000), false,
            "the claim for the idempotency key could not be written" },
        { Reason::AlreadyRunning, "already_running", 409, unknown, Millis(1000), false,
            "a call with this idempotency key is in progress" },
        { Reason::OutcomeUnknown, "outcome_unknown", 409, unknown, Millis(0), false,
            "a call with this idempotency key may have been executed; its outcome is unknown" },
        { Reason::IdempotencyKeyReused, "idempotency_key_reused", 422, refused, Millis(0), true,
            "the idempotency key was used for a different call" },
        { Reason::CallerGone, "caller_gone", 499, unknown, Millis(0), true, "the caller closed its connection" },
    };
    return table;
}

const ReasonInfo& reasonInfo(Reason reason)
{
    return reasonTable()[static_cast<size_t>(reason)];
}

const char* outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::RefusedNotRun:
        return "refused-not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string reasonResponseBody(Reason reason, const std::string& requestId, const std::string& detail)
{
    const ReasonInfo& info = reasonInfo(reason);
    std::string message = info.message;
    if (!detail.empty())
        message += ": " + detail;
    nlohmann::json error = { { "type", outcomeName(info.outcome) }, { "reason", info.name }, { "message", message },
        { "request_id", requestId } };
    if (info.retryAfter.count())
        error["retry_after_ms"] = info.retryAfter.count();
    return nlohmann::json({ { "error", std::move(error) } })
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

net::HttpResponse reasonResponse(
    Reason reason, const std::string& requestId, const std::string& detail, Millis retryAfter)
{
    const ReasonInfo& info = reasonInfo(reason);
    net::HttpResponse response;
    response.status = info.status;
    response.headers = { { "Content-Type", "application/json" }, { headerRequestId, requestId },
        { headerOutcome, outcomeName(info.outcome) }, { headerReason, info.name } };
    Millis wait = retryAfter.count() ? retryAfter : info.retryAfter;
    constexpr long long millisPerSecond = 1000;
    if (wait.count())
        response.headers.push_back(
            { "Retry-After", std::to_string((wait.count() + millisPerSecond - 1) / millisPerSecond) });
    response.body = reasonResponseBody(reason, requestId, detail);
    return response;
}

} // namespace rattanshunt::entry

#include "entry/AttemptLoop.h"

namespace rattanshunt::entry {

using attempts::AttemptOutcome;
using attempts::NextStep;

namespace {

    // The result of a request that ends without a response. `refusalReason` is reported as the reason only if no
    // attempt can have been executed.
    RequestResult resultWithoutResponse(
        const RequestState& request, NextStep step, Reason refusalReason, bool isRetryBudgetSpent)
    {
        if (request.isCallerGone)
            return { Reason::CallerGone, "", base::Millis(0), true };
        if (step == NextStep::Refuse)
            return { refusalReason, "" };
        if (isRetryBudgetSpent)
            return { Reason::RetryBudgetSpent, "" };
        return { Reason::EndpointLost,
            refusalReason == Reason::EndpointUnavailable ? "" : reasonInfo(refusalReason).message };
    }

} // namespace

AttemptsResult attemptsRun(ThreadState& thread, RequestState& request, attempts::RequestProgress& progress,
    const std::function<Attempt()>& makeAttempt)
{
    while (true) {
        Attempt attempt = makeAttempt();
        progress.hasSentHead = request.hasStreamStarted;
        if (!attempt.wasMade) {
            NextStep step = attempts::stepWithoutReplica(progress);
            return { step, resultWithoutResponse(request, step, attempt.reason, false) };
        }
        attempts::progressCountAttempt(progress, attempt.result);
        attempts::RetryConditions conditions;
        conditions.hasTime = !request.isCallerGone && base::Clock::now() < request.deadline;
        NextStep step = attempts::stepAfterAttempt(progress, attempt.result, conditions);
        // An attempt that was certainly not executed did not load the endpoints, so its retry is free.
        if (step == NextStep::Retry && attempt.result != AttemptOutcome::NotExecuted && !retryTokenTake(thread)) {
            conditions.hasBudget = false;
            step = attempts::stepAfterAttempt(progress, attempt.result, conditions);
        }
        if (step == NextStep::Deliver || step == NextStep::ForwardFailure)
            return { step, {} };
        if (step != NextStep::Retry)
            return { step, resultWithoutResponse(request, step, Reason::EndpointUnavailable, !conditions.hasBudget) };
    }
}

} // namespace rattanshunt::entry

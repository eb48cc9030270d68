#include "entry/AttemptLoop.h"

namespace rattanshunt::entry {

using attempts::AttemptOutcome;
using attempts::NextStep;

namespace {

    // The reason of a request that ends without an answer. `refusal` is told only if nothing can have run.
    RequestResult endWithoutAnswer(const RequestState& request, NextStep step, Reason refusal, bool wasBudgetSpent)
    {
        if (request.isCallerGone)
            return { Reason::CallerGone, "", base::Millis(0), true };
        if (step == NextStep::Refuse)
            return { refusal, "" };
        if (wasBudgetSpent)
            return { Reason::RetryBudgetSpent, "" };
        return { Reason::EndpointLost, refusal == Reason::EndpointUnavailable ? "" : reasonInfo(refusal).message };
    }

} // namespace

AttemptsResult attemptsRun(ThreadState& thread, RequestState& request, attempts::RequestProgress& progress,
    const std::function<Attempt()>& attempt)
{
    while (true) {
        Attempt made = attempt();
        progress.hasSentHead = request.hasStreamStarted;
        if (!made.wasMade) {
            NextStep step = attempts::stepWithoutReplica(progress);
            return { step, endWithoutAnswer(request, step, made.reason, false) };
        }
        attempts::progressCountAttempt(progress, made.result);
        attempts::RetryConditions means;
        means.hasTime = !request.isCallerGone && base::Clock::now() < request.deadline;
        NextStep step = attempts::stepAfterAttempt(progress, made.result, means);
        // What surely did not run costs the endpoints nothing and is not counted as a repeat.
        if (step == NextStep::Retry && made.result != AttemptOutcome::NotExecuted && !retryTokenTake(thread)) {
            means.hasBudget = false;
            step = attempts::stepAfterAttempt(progress, made.result, means);
        }
        if (step == NextStep::Deliver || step == NextStep::ForwardFailure)
            return { step, {} };
        if (step != NextStep::Retry)
            return { step, endWithoutAnswer(request, step, Reason::EndpointUnavailable, !means.hasBudget) };
    }
}

} // namespace rattanshunt::entry

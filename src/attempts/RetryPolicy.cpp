#include "attempts/RetryPolicy.h"

namespace rattanshunt::attempts {

bool refusalIsAllowed(const RequestProgress& progress)
{
    return progress.attemptsPossiblyExecuted == 0 && !progress.hasSentHead;
}

NextStep stepWithoutReplica(const RequestProgress& progress)
{
    if (progress.hasSentHead)
        return NextStep::AbortStream;
    return refusalIsAllowed(progress) ? NextStep::Refuse : NextStep::Fail;
}

NextStep stepAfterAttempt(const RequestProgress& progress, AttemptOutcome outcome, RetryConditions conditions)
{
    bool mayRetry = conditions.hasBudget && conditions.hasTime && !conditions.mayEndReplicas
        && progress.attemptsPossiblyExecuted < progress.maxAttempts;
    switch (outcome) {
    case AttemptOutcome::Complete:
        return NextStep::Deliver;
    case AttemptOutcome::NotExecuted:
        return mayRetry && progress.attemptsMade < progress.maxAttempts + maxRefusals ? NextStep::Retry
                                                                                      : stepWithoutReplica(progress);
    case AttemptOutcome::ExecutedFailed:
        if (progress.hasSentHead)
            return NextStep::AbortStream;
        return progress.retryClass == RetryClass::Idempotent && mayRetry ? NextStep::Retry : NextStep::ForwardFailure;
    case AttemptOutcome::Unknown:
        return progress.retryClass != RetryClass::AtMostOnce && mayRetry ? NextStep::Retry
                                                                         : stepWithoutReplica(progress);
    }
    return NextStep::Fail;
}

void progressCountAttempt(RequestProgress& progress, AttemptOutcome outcome)
{
    ++progress.attemptsMade;
    progress.attemptsPossiblyExecuted += outcome != AttemptOutcome::NotExecuted;
}

} // namespace rattanshunt::attempts

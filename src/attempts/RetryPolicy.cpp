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

NextStep stepAfterAttempt(const RequestProgress& progress, AttemptOutcome end, RetryConditions means)
{
    bool mayRepeat = means.hasBudget && means.hasTime && progress.attemptsPossiblyExecuted < progress.maxAttempts;
    switch (end) {
    case AttemptOutcome::Complete:
        return NextStep::Deliver;
    case AttemptOutcome::NotExecuted:
        return mayRepeat && progress.attemptsMade < progress.maxAttempts + maxRefusals ? NextStep::Retry
                                                                                       : stepWithoutReplica(progress);
    case AttemptOutcome::ExecutedFailed:
        if (progress.hasSentHead)
            return NextStep::AbortStream;
        return progress.retryClass == RetryClass::Idempotent && mayRepeat ? NextStep::Retry : NextStep::ForwardFailure;
    case AttemptOutcome::Unknown:
        return progress.retryClass != RetryClass::AtMostOnce && mayRepeat ? NextStep::Retry
                                                                          : stepWithoutReplica(progress);
    }
    return NextStep::Fail;
}

void progressCountAttempt(RequestProgress& progress, AttemptOutcome end)
{
    ++progress.attemptsMade;
    progress.attemptsPossiblyExecuted += end != AttemptOutcome::NotExecuted;
}

} // namespace rattanshunt::attempts

#include "attempts/RetryPolicy.h"

namespace rattanshunt::attempts {

bool refusalIsTrue(const RequestProgress& progress)
{
    return progress.attemptsRun == 0 && !progress.hasPassedHead;
}

NextStep stepWithoutReplica(const RequestProgress& progress)
{
    if (progress.hasPassedHead)
        return NextStep::Cut;
    return refusalIsTrue(progress) ? NextStep::Refuse : NextStep::Fail;
}

NextStep stepAfterAttempt(const RequestProgress& progress, AttemptEnd end, RepeatMeans means)
{
    bool mayRepeat = means.hasBudget && means.hasTime && progress.attemptsRun < progress.maxAttempts;
    switch (end) {
    case AttemptEnd::Whole:
        return NextStep::Deliver;
    case AttemptEnd::NotRun:
        return mayRepeat && progress.attemptsMade < progress.maxAttempts + refusalsMost ? NextStep::Repeat
                                                                                        : stepWithoutReplica(progress);
    case AttemptEnd::RanFailed:
        if (progress.hasPassedHead)
            return NextStep::Cut;
        return progress.repeat == RepeatKind::Safe && mayRepeat ? NextStep::Repeat : NextStep::PassFailure;
    case AttemptEnd::Unknown:
        return progress.repeat != RepeatKind::Once && mayRepeat ? NextStep::Repeat : stepWithoutReplica(progress);
    }
    return NextStep::Fail;
}

void noteAttempt(RequestProgress& progress, AttemptEnd end)
{
    ++progress.attemptsMade;
    progress.attemptsRun += end != AttemptEnd::NotRun;
}

} // namespace rattanshunt::attempts

// Model of the attempts of one request: which outcomes of an attempt allow a retry, a failure or a refusal.
#include "ExplorerModels.h"

#include <fmt/format.h>

#include "attempts/RetryPolicy.h"

namespace rattanshunt::lab {

namespace {

    // One request of each retry class meets every outcome of an attempt, with and without retry budget left.
    // Invariants: an at-most-once request is not executed twice; a request that is refused as not executed was not.
    class AttemptsModel : public ExplorerModelBase<AttemptsModel> {
    public:
        using ExplorerModelBase::ExplorerModelBase;

        std::vector<std::string> actions() const override
        {
            if (!m_isRetryClassChosen)
                return { "safe", "once", "resumable" };
            if (m_isFinished)
                return {};
            std::vector<std::string> list { "no replica left" };
            for (const char* budget : { "", ", budget spent" }) {
                for (const char* end :
                    { "connection refused", "replica refuses", "runs, complete answer", "runs, answer lost",
                        "request lost", "runs and fails", "runs, cut off after the response head" })
                    list.push_back(std::string(end) + budget);
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (!m_isRetryClassChosen) {
                m_isRetryClassChosen = true;
                m_progress.retryClass = action == "safe" ? attempts::RetryClass::Idempotent
                    : action == "once"                   ? attempts::RetryClass::AtMostOnce
                                                         : attempts::RetryClass::Resumable;
                m_progress.maxAttempts = 3;
                return;
            }
            if (action == "no replica left")
                return finish(attempts::stepWithoutReplica(m_progress));
            m_executionCount += action.starts_with("runs");
            m_progress.hasSentHead |= action.starts_with("runs, cut") || action.starts_with("runs, complete");
            attempts::AttemptOutcome outcome = outcomeOf(action);
            attempts::progressCountAttempt(m_progress, outcome);
            attempts::RetryConditions conditions;
            conditions.hasBudget = !action.ends_with("budget spent");
            attempts::NextStep step = attempts::stepAfterAttempt(m_progress, outcome, conditions);
            if (step == attempts::NextStep::Retry)
                return;
            if (m_removedSafeguard == Safeguard::RefuseOnlyIfNotExecuted && step == attempts::NextStep::Fail)
                step = attempts::NextStep::Refuse;
            finish(step);
        }

        std::string stateKey() const override
        {
            return fmt::format("{} {} {} {} {} {} {} {}", m_isRetryClassChosen, static_cast<int>(m_progress.retryClass),
                m_progress.attemptsPossiblyExecuted, m_progress.attemptsMade, m_progress.hasSentHead, m_executionCount,
                m_isFinished, m_violation);
        }

        std::string violation() const override
        {
            if (m_isRetryClassChosen && m_progress.retryClass == attempts::RetryClass::AtMostOnce
                && m_executionCount > 1)
                return "an at-most-once request was executed twice";
            return m_violation;
        }

    private:
        attempts::AttemptOutcome outcomeOf(const std::string& action) const
        {
            if (action.starts_with("connection refused") || action.starts_with("replica refuses"))
                return attempts::AttemptOutcome::NotExecuted;
            if (action.starts_with("runs, complete"))
                return attempts::AttemptOutcome::Complete;
            if (action.starts_with("runs and fails"))
                return attempts::AttemptOutcome::ExecutedFailed;
            return m_removedSafeguard == Safeguard::LostAnswerIsUnknown ? attempts::AttemptOutcome::NotExecuted
                                                                        : attempts::AttemptOutcome::Unknown;
        }

        void finish(attempts::NextStep step)
        {
            m_isFinished = true;
            if (step == attempts::NextStep::Refuse && m_executionCount > 0)
                m_violation = "refused as not executed after it was executed";
        }

        attempts::RequestProgress m_progress;
        std::string m_violation;
        int m_executionCount = 0;
        bool m_isRetryClassChosen = false;
        bool m_isFinished = false;
    };

} // namespace

std::unique_ptr<ExplorerModel> attemptsModel(Safeguard removedSafeguard)
{
    return std::make_unique<AttemptsModel>(removedSafeguard);
}

} // namespace rattanshunt::lab

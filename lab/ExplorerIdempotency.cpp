// Model of calls that may be executed at most once, protected by claims in the key-value store.
#include "ExplorerModels.h"

#include <fmt/format.h>

#include "KvStore.h"
#include "idempotency/Claims.h"

namespace rattanshunt::lab {

namespace {

    // Two daemons receive the same call. Each goes through claim, send, answer and store; each step may fail, its
    // answer may be lost, the daemon may crash. Invariant: the call is executed at most once. A refusal as
    // "not executed" must be true as well; this model does not check that.
    class IdempotencyModel : public ExplorerModelBase<IdempotencyModel> {
    public:
        using ExplorerModelBase::ExplorerModelBase;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            for (int daemon = 0; daemon < 2; ++daemon) {
                const Daemon& state = m_daemons[daemon];
                std::string who = fmt::format("d{} ", daemon);
                if (state.step == Step::Idle && state.callCount < 2)
                    list.push_back(who + "receives the call");
                if (state.step == Step::Claiming) {
                    list.push_back(who + "claim is written");
                    list.push_back(who + "claim is written, answer lost");
                    list.push_back(who + "claim is not written");
                }
                if (state.step == Step::Sending) {
                    list.push_back(who + "send, run, answer");
                    list.push_back(who + "send, run, answer lost");
                    list.push_back(who + "send, connection refused");
                }
                if (state.step == Step::Storing) {
                    list.push_back(who + "outcome is stored");
                    list.push_back(who + "outcome is not stored");
                }
                if (state.step != Step::Crashed)
                    list.push_back(who + "dies");
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            Daemon& state = m_daemons[action[1] - '0'];
            int number = action[1] - '0';
            std::string what = action.substr(3);
            if (what == "receives the call") {
                ++state.callCount;
                state.ownClaim
                    = { fmt::format("op-{}-{}", number, state.callCount), fmt::format("d{}", number), "i", "digest" };
                state.step = m_removedSafeguard == Safeguard::ClaimBeforeSend ? Step::Sending : Step::Claiming;
            } else if (what.starts_with("claim is"))
                performClaim(state, what);
            else if (what.starts_with("send"))
                performSend(state, what);
            else if (what == "outcome is stored") {
                storeOutcome(state);
                state.step = Step::Idle;
            } else if (what == "outcome is not stored")
                state.step = Step::Idle;
            else
                state.step = Step::Crashed;
        }

        std::string stateKey() const override
        {
            std::string text = fmt::format("{} {} ", m_executionCount, m_violation);
            for (const Daemon& state : m_daemons)
                text += fmt::format(
                    "{} {} {} ", static_cast<int>(state.step), state.callCount, state.ownClaim.operation);
            auto found = m_store.entries.find("/rsc/k");
            return text + (found == m_store.entries.end() ? "" : found->second.value);
        }

        std::string violation() const override { return m_violation; }

    private:
        enum class Step { Idle, Claiming, Sending, Storing, Crashed };
        struct Daemon {
            Step step = Step::Idle;
            int callCount = 0;
            idempotency::Claim ownClaim;
            coordination::Revision revision = 0;
        };

        idempotency::ClaimBatchOutcome commitClaim(const Daemon& state)
        {
            std::vector<idempotency::ClaimWrite> batch
                = { { 1, "/rsc/k", 0, idempotency::claimToText(state.ownClaim) } };
            std::vector<coordination::KvCompare> compares;
            std::vector<coordination::KvWrite> writes;
            idempotency::claimBatchTxn(batch, compares, writes, 0);
            return idempotency::claimBatchResolve(batch, kvStoreTxn(m_store, compares, writes));
        }

        void performClaim(Daemon& state, const std::string& what)
        {
            if (what == "claim is not written") {
                refuseNotExecuted(state);
                return;
            }
            auto outcome = commitClaim(state);
            // After a lost answer the daemon repeats the same write.
            if (what == "claim is written, answer lost")
                outcome = commitClaim(state);
            const idempotency::ClaimWriteResult& result = outcome.results.at(0);
            if (result.outcome == idempotency::ClaimWriteOutcome::Done) {
                state.revision = result.revision;
                state.step = Step::Sending;
                return;
            }
            auto storedClaim = idempotency::claimFromText(result.current->value);
            int runner = storedClaim->runner[1] - '0';
            bool isRunnerAlive = m_daemons[runner].step != Step::Crashed;
            idempotency::ClaimVerdict verdict = idempotency::claimEvaluate(state.ownClaim, *storedClaim, isRunnerAlive);
            if (verdict == idempotency::ClaimVerdict::Run)
                m_violation = "a second daemon was allowed to execute the call";
            state.step = Step::Idle;
        }

        void performSend(Daemon& state, const std::string& what)
        {
            if (what == "send, connection refused") {
                // Certainly not executed: the claim is deleted, so that a retry may run.
                kvStoreTxn(m_store, { { "/rsc/k", state.revision } }, { { "/rsc/k", std::nullopt } });
                refuseNotExecuted(state);
                return;
            }
            if (++m_executionCount > 1)
                m_violation = "the call was executed twice";
            if (what == "send, run, answer")
                state.step = Step::Storing;
            else if (m_removedSafeguard == Safeguard::NoRetryAfterSend)
                state.step = Step::Sending;
            else
                state.step = Step::Idle;
        }

        void storeOutcome(Daemon& state)
        {
            idempotency::Claim done = state.ownClaim;
            done.isDone = true;
            done.status = 200;
            kvStoreTxn(m_store, { { "/rsc/k", state.revision } }, { { "/rsc/k", idempotency::claimToText(done) } });
        }

        void refuseNotExecuted(Daemon& state) { state.step = Step::Idle; }

        KvStore m_store;
        Daemon m_daemons[2];
        int m_executionCount = 0;
        std::string m_violation;
    };

} // namespace

std::unique_ptr<ExplorerModel> idempotencyModel(Safeguard removedSafeguard)
{
    return std::make_unique<IdempotencyModel>(removedSafeguard);
}

} // namespace rattanshunt::lab

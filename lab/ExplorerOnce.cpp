// Calls that may not be repeated.
#include "ExplorerModels.h"

#include <fmt/format.h>

#include "KvStore.h"
#include "idempotency/Claims.h"

namespace rattanshunt::lab {

namespace {

    // Two daemons get the same call. Claim, send, answer, store: each step may fail, its answer may be lost, the daemon
    // may die. Invariants: the call runs at most once; "not run" is true.
    class OnceModel : public ExplorerModelOf<OnceModel> {
    public:
        using ExplorerModelOf::ExplorerModelOf;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            for (int daemon = 0; daemon < 2; ++daemon) {
                const Daemon& state = m_daemons[daemon];
                std::string who = fmt::format("d{} ", daemon);
                if (state.step == Step::Idle && state.calls < 2)
                    list.push_back(who + "gets the call");
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
                if (state.step != Step::Dead)
                    list.push_back(who + "dies");
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            Daemon& state = m_daemons[action[1] - '0'];
            int number = action[1] - '0';
            std::string what = action.substr(3);
            if (what == "gets the call") {
                ++state.calls;
                state.mine
                    = { fmt::format("op-{}-{}", number, state.calls), fmt::format("d{}", number), "i", "digest" };
                state.step = m_without == Safeguard::ClaimBeforeSend ? Step::Sending : Step::Claiming;
            } else if (what.starts_with("claim is"))
                claim(state, what);
            else if (what.starts_with("send"))
                send(state, what);
            else if (what == "outcome is stored") {
                store(state);
                state.step = Step::Idle;
            } else if (what == "outcome is not stored")
                state.step = Step::Idle;
            else
                state.step = Step::Dead;
        }

        std::string key() const override
        {
            std::string text = fmt::format("{} {} ", m_runs, m_violation);
            for (const Daemon& state : m_daemons)
                text += fmt::format("{} {} {} ", static_cast<int>(state.step), state.calls, state.mine.operation);
            auto found = m_store.entries.find("/rsc/k");
            return text + (found == m_store.entries.end() ? "" : found->second.value);
        }

        std::string violation() const override { return m_violation; }

    private:
        enum class Step { Idle, Claiming, Sending, Storing, Dead };
        struct Daemon {
            Step step = Step::Idle;
            int calls = 0;
            idempotency::Claim mine;
            coordination::Revision revision = 0;
        };

        idempotency::ClaimBatchOutcome tryWrite(const Daemon& state)
        {
            std::vector<idempotency::ClaimWrite> batch = { { 1, "/rsc/k", 0, idempotency::claimToText(state.mine) } };
            std::vector<coordination::KvCompare> compares;
            std::vector<coordination::KvWrite> writes;
            idempotency::claimBatchTxn(batch, compares, writes, 0);
            return idempotency::claimBatchResolve(batch, kvStoreTxn(m_store, compares, writes));
        }

        void claim(Daemon& state, const std::string& what)
        {
            if (what == "claim is not written") {
                refuseNotRun(state);
                return;
            }
            auto outcome = tryWrite(state);
            // After a lost answer the daemon writes the same claim again.
            if (what == "claim is written, answer lost")
                outcome = tryWrite(state);
            const idempotency::ClaimWriteResult& result = outcome.results.at(0);
            if (result.outcome == idempotency::ClaimWriteOutcome::Done) {
                state.revision = result.revision;
                state.step = Step::Sending;
                return;
            }
            auto held = idempotency::claimFromText(result.current->value);
            int runner = held->runner[1] - '0';
            bool runnerLives = m_daemons[runner].step != Step::Dead;
            idempotency::ClaimVerdict verdict = idempotency::claimEvaluate(state.mine, *held, runnerLives);
            if (verdict == idempotency::ClaimVerdict::Run)
                m_violation = "a second daemon was told to run the call";
            state.step = Step::Idle;
        }

        void send(Daemon& state, const std::string& what)
        {
            if (what == "send, connection refused") {
                // Certainly not run: the claim is given up, so that a repeat may run.
                kvStoreTxn(m_store, { { "/rsc/k", state.revision } }, { { "/rsc/k", std::nullopt } });
                refuseNotRun(state);
                return;
            }
            if (++m_runs > 1)
                m_violation = "the call ran twice";
            if (what == "send, run, answer")
                state.step = Step::Storing;
            else if (m_without == Safeguard::NoRetryAfterSend)
                state.step = Step::Sending;
            else
                state.step = Step::Idle;
        }

        void store(Daemon& state)
        {
            idempotency::Claim done = state.mine;
            done.isDone = true;
            done.status = 200;
            kvStoreTxn(m_store, { { "/rsc/k", state.revision } }, { { "/rsc/k", idempotency::claimToText(done) } });
        }

        void refuseNotRun(Daemon& state) { state.step = Step::Idle; }

        KvStore m_store;
        Daemon m_daemons[2];
        int m_runs = 0;
        std::string m_violation;
    };

} // namespace

std::unique_ptr<ExplorerModel> onceModel(Safeguard without)
{
    return std::make_unique<OnceModel>(without);
}

} // namespace rattanshunt::lab

// Model of the fleet's retry budget.
#include "ExplorerModels.h"

#include <array>

#include <fmt/format.h>

#include "gateway/RetryBudget.h"

namespace rattanshunt::lab {

namespace {

    // Two daemons share the fleet's retry budget, want to retry at any time, and may each restart once. Invariant: no
    // window contains more retries than its requests and the constant part of the budget allow.
    class RetryBudgetModel : public ExplorerModelBase<RetryBudgetModel> {
    public:
        using ExplorerModelBase::ExplorerModelBase;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_nowTick < maxTicks)
                list.emplace_back("time passes");
            for (int i = 0; i < 2; ++i) {
                std::string who = fmt::format("d{} ", i);
                if (m_requestTicks.size() < maxRequests)
                    list.push_back(who + "receives a request");
                list.push_back(who + "wants to retry");
                if (m_daemons[i].restartedAtTick < 0)
                    list.push_back(who + "restarts");
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                m_nowTick += ticksPerStep;
                return;
            }
            Daemon& daemon = m_daemons[action[1] - '0'];
            gateway::RetryBudgetOptions options = optionsOf(daemon);
            std::string what = action.substr(3);
            if (what == "receives a request") {
                gateway::retryBudgetCountRequest(daemon.budget, explorerTimeAt(m_nowTick), options);
                m_requestTicks.push_back(m_nowTick);
            } else if (what == "wants to retry") {
                size_t members = m_removedSafeguard == Safeguard::RetryBudgetShare ? 1 : 2;
                if (gateway::retryBudgetTake(daemon.budget, explorerTimeAt(m_nowTick), members, options))
                    m_retryTicks.push_back(m_nowTick);
            } else
                daemon = { {}, m_nowTick };
        }

        std::string stateKey() const override
        {
            std::string text = fmt::format("{}", m_nowTick);
            for (const Daemon& daemon : m_daemons) {
                text += fmt::format(" | {}", daemon.restartedAtTick);
                for (base::BootTime at : daemon.budget.retries)
                    text += fmt::format(" {}", (at - explorerTimeAt(0)) / explorerTickDuration);
                text += " of";
                for (base::BootTime at : daemon.budget.requests)
                    text += fmt::format(" {}", (at - explorerTimeAt(0)) / explorerTickDuration);
            }
            text += " /";
            for (int at : m_retryTicks)
                text += fmt::format(" {}", at);
            return text;
        }

        std::string violation() const override
        {
            gateway::RetryBudgetOptions options;
            int from = m_nowTick - static_cast<int>(options.window / explorerTickDuration) + 1;
            auto inWindow = [&](const std::vector<int>& times) {
                return static_cast<double>(
                    std::count_if(times.begin(), times.end(), [&](int at) { return at >= from; }));
            };
            double maxRetries = retriesPerRequest * inWindow(m_requestTicks) + extraRetries;
            return inWindow(m_retryTicks) > maxRetries ? "the fleet retries more than its budget allows" : "";
        }

    private:
        static constexpr int maxTicks = 24;
        static constexpr int ticksPerStep = 6;
        static constexpr size_t maxRequests = 3;
        static constexpr double retriesPerRequest = 0.5;
        static constexpr double extraRetries = 8;

        struct Daemon {
            gateway::RetryBudget budget;
            int restartedAtTick = -1; // -1: has not restarted
        };

        gateway::RetryBudgetOptions optionsOf(const Daemon& daemon) const
        {
            gateway::RetryBudgetOptions options;
            options.retriesPerRequest = retriesPerRequest;
            options.extraRetries = extraRetries;
            if (daemon.restartedAtTick >= 0 && m_removedSafeguard != Safeguard::ReducedBudgetAfterRestart)
                options.processStartedAt = explorerTimeAt(daemon.restartedAtTick);
            return options;
        }

        std::array<Daemon, 2> m_daemons;
        std::vector<int> m_requestTicks; // of the whole fleet
        std::vector<int> m_retryTicks;
        int m_nowTick = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> retryBudgetModel(Safeguard removedSafeguard)
{
    return std::make_unique<RetryBudgetModel>(removedSafeguard);
}

} // namespace rattanshunt::lab

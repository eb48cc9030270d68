// The budget for repeats.
#include "ExplorerModels.h"

#include <array>

#include <fmt/format.h>

#include "gateway/RetryBudget.h"

namespace rattanshunt::lab {

namespace {

    // Two daemons share the fleet's budget, every request would be repeated, and each daemon may start anew once.
    // Invariant: no window holds more repeats than its requests and the constant part allow.
    class RepeatsModel : public ExplorerModelOf<RepeatsModel> {
    public:
        using ExplorerModelOf::ExplorerModelOf;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_now < ticksMost)
                list.emplace_back("time passes");
            for (int i = 0; i < 2; ++i) {
                std::string who = fmt::format("d{} ", i);
                if (m_requests.size() < requestsMost)
                    list.push_back(who + "gets a request");
                list.push_back(who + "wants to repeat");
                if (m_daemons[i].startedAt < 0)
                    list.push_back(who + "starts anew");
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                m_now += ticksPerStep;
                return;
            }
            Daemon& daemon = m_daemons[action[1] - '0'];
            gateway::RetryBudgetOptions options = optionsOf(daemon);
            std::string what = action.substr(3);
            if (what == "gets a request") {
                gateway::retryBudgetCountRequest(daemon.budget, explorerTimeAt(m_now), options);
                m_requests.push_back(m_now);
            } else if (what == "wants to repeat") {
                size_t members = m_without == Safeguard::ShareOfBudget ? 1 : 2;
                if (gateway::retryBudgetTake(daemon.budget, explorerTimeAt(m_now), members, options))
                    m_repeats.push_back(m_now);
            } else
                daemon = { {}, m_now };
        }

        std::string key() const override
        {
            std::string text = fmt::format("{}", m_now);
            for (const Daemon& daemon : m_daemons) {
                text += fmt::format(" | {}", daemon.startedAt);
                for (base::BootTime at : daemon.budget.retries)
                    text += fmt::format(" {}", (at - explorerTimeAt(0)) / explorerTick);
                text += " of";
                for (base::BootTime at : daemon.budget.requests)
                    text += fmt::format(" {}", (at - explorerTimeAt(0)) / explorerTick);
            }
            text += " /";
            for (int at : m_repeats)
                text += fmt::format(" {}", at);
            return text;
        }

        std::string violation() const override
        {
            gateway::RetryBudgetOptions options;
            int from = m_now - static_cast<int>(options.window / explorerTick) + 1;
            auto inWindow = [&](const std::vector<int>& times) {
                return static_cast<double>(
                    std::count_if(times.begin(), times.end(), [&](int at) { return at >= from; }));
            };
            double most = ratio * inWindow(m_requests) + extra;
            return inWindow(m_repeats) > most ? "the fleet repeats more than its budget" : "";
        }

    private:
        static constexpr int ticksMost = 24;
        static constexpr int ticksPerStep = 6;
        static constexpr size_t requestsMost = 3;
        static constexpr double ratio = 0.5;
        static constexpr double extra = 8;

        struct Daemon {
            gateway::RetryBudget budget;
            int startedAt = -1; // -1: long ago
        };

        gateway::RetryBudgetOptions optionsOf(const Daemon& daemon) const
        {
            gateway::RetryBudgetOptions options;
            options.retriesPerRequest = ratio;
            options.extraRetries = extra;
            if (daemon.startedAt >= 0 && m_without != Safeguard::LeanStart)
                options.processStartedAt = explorerTimeAt(daemon.startedAt);
            return options;
        }

        std::array<Daemon, 2> m_daemons;
        std::vector<int> m_requests; // of the fleet
        std::vector<int> m_repeats;  //
        int m_now = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> repeatsModel(Safeguard without)
{
    return std::make_unique<RepeatsModel>(without);
}

} // namespace rattanshunt::lab

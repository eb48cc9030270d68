// Model of data freshness: how long a daemon may act on what it last read from the store or a peer.
#include "ExplorerModels.h"

#include <array>

#include <fmt/format.h>

#include "hub/HubTerm.h"

namespace rattanshunt::lab {

namespace {

    using base::BootTime;
    using base::Millis;

    // A key is withdrawn. Daemon d0 reads the store; d1 can't reach the store and asks d0 instead. Answers come late
    // and daemons are suspended. Invariant: no daemon accepts the key once the maximum freshness age has passed since
    // the withdrawal.
    class FreshnessModel : public ExplorerModelBase<FreshnessModel> {
    public:
        explicit FreshnessModel(Safeguard removedSafeguard)
            : ExplorerModelBase(removedSafeguard)
        {
            for (Daemon& daemon : m_daemons)
                daemon.freshAsOf = explorerTimeAt(0);
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_nowTick < maxTicks)
                list.emplace_back("time passes");
            if (m_withdrawnAtTick < 0)
                list.emplace_back("the key is withdrawn");
            for (int i = 0; i < 2; ++i) {
                const Daemon& daemon = m_daemons[i];
                std::string who = fmt::format("d{} ", i);
                if (daemon.clock.isSuspended) {
                    list.push_back(who + "resumes");
                    continue;
                }
                if (daemon.clock.suspensionCount == 0)
                    list.push_back(who + "is suspended");
                if (!daemon.isQueryPending && daemon.queryCount < maxQueries)
                    list.push_back(who + (i == 0 ? "asks the store" : "asks its peer"));
                if (daemon.isQueryPending && !daemon.hasAnswerInFlight)
                    list.push_back(who + "answer is sent");
                if (daemon.hasAnswerInFlight)
                    list.push_back(who + "receives the answer");
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                ++m_nowTick;
                return;
            }
            if (action == "the key is withdrawn") {
                m_withdrawnAtTick = m_nowTick;
                return;
            }
            int number = action[1] - '0';
            Daemon& daemon = m_daemons[number];
            std::string what = action.substr(3);
            if (what == "is suspended") {
                daemon.clock.suspend(m_nowTick);
            } else if (what == "resumes") {
                daemon.clock.resume(m_nowTick);
            } else if (what.starts_with("asks")) {
                daemon.isQueryPending = true;
                daemon.querySentAt = daemonTime(daemon);
                ++daemon.queryCount;
            } else if (what == "answer is sent") {
                daemon.hasAnswerInFlight = true;
                const Daemon& peer = m_daemons[0];
                daemon.answerShowsWithdrawal = number == 0 ? m_withdrawnAtTick >= 0 : peer.knowsWithdrawal;
                daemon.answerAge = std::chrono::duration_cast<base::Micros>(daemonTime(peer) - peer.freshAsOf);
            } else
                receiveAnswer(daemon, number);
        }

        std::string stateKey() const override
        {
            std::string text = fmt::format("{} {}", m_nowTick, m_withdrawnAtTick);
            for (const Daemon& daemon : m_daemons)
                text += fmt::format(" | {} {} {} {} {} {} {} {}", daemon.clock.stateKey(), daemon.isQueryPending,
                    daemon.hasAnswerInFlight, daemon.queryCount, daemon.knowsWithdrawal, daemon.answerShowsWithdrawal,
                    toTicks(daemon.freshAsOf) * 100 + toTicks(daemon.querySentAt), daemon.answerAge.count());
            return text;
        }

        std::string violation() const override
        {
            for (const Daemon& daemon : m_daemons) {
                bool isWithdrawalOverdue = m_withdrawnAtTick >= 0 && !daemon.knowsWithdrawal
                    && explorerTickDuration * (m_nowTick - m_withdrawnAtTick) >= maxFreshnessAge;
                if (isWithdrawalOverdue && !daemon.clock.isSuspended
                    && hub::isFresh(daemon.freshAsOf, daemonTime(daemon), maxFreshnessAge))
                    return "a withdrawn key is accepted";
            }
            return "";
        }

    private:
        static constexpr int maxTicks = 7;
        static constexpr int maxQueries = 2;
        static constexpr Millis maxFreshnessAge { 2000 };

        struct Daemon {
            SuspendableClock clock;
            bool isQueryPending = false;
            bool hasAnswerInFlight = false; // not received yet
            int queryCount = 0;
            bool knowsWithdrawal = false;
            bool answerShowsWithdrawal = false;
            BootTime freshAsOf {};
            BootTime querySentAt = explorerTimeAt(0);
            base::Micros answerAge { 0 };
        };

        static int64_t toTicks(BootTime time) { return (time - explorerTimeAt(0)) / explorerTickDuration; }

        BootTime daemonTime(const Daemon& daemon) const
        {
            return explorerTimeAt(daemon.clock.read(m_nowTick, m_removedSafeguard == Safeguard::ClockCountsSuspension));
        }

        void receiveAnswer(Daemon& daemon, int number)
        {
            daemon.isQueryPending = daemon.hasAnswerInFlight = false;
            BootTime requestedAt
                = m_removedSafeguard == Safeguard::FreshnessFromRequestTime ? daemonTime(daemon) : daemon.querySentAt;
            base::Micros age = m_removedSafeguard == Safeguard::AgeOfPeerData ? base::Micros(0) : daemon.answerAge;
            daemon.freshAsOf = number == 0 ? hub::freshAsOfRead(daemon.freshAsOf, requestedAt)
                                           : hub::freshAsOfPeer(daemon.freshAsOf, requestedAt, age);
            daemon.knowsWithdrawal = daemon.knowsWithdrawal || daemon.answerShowsWithdrawal;
        }

        std::array<Daemon, 2> m_daemons;
        int m_nowTick = 0;
        int m_withdrawnAtTick = -1;
    };

} // namespace

std::unique_ptr<ExplorerModel> freshnessModel(Safeguard removedSafeguard)
{
    return std::make_unique<FreshnessModel>(removedSafeguard);
}

} // namespace rattanshunt::lab

// Freshness of what a daemon trusts.
#include "ExplorerModels.h"

#include <array>

#include <fmt/format.h>

#include "hub/HubTerm.h"

namespace rattanshunt::lab {

namespace {

    using base::BootTime;
    using base::Millis;

    // A key is withdrawn. One daemon reads the store, the other is turned away there and asks the first one; answers
    // come late, daemons are suspended. Invariant: no daemon trusts the key once the limit on age has passed.
    class FreshnessModel : public ExplorerModelOf<FreshnessModel> {
    public:
        explicit FreshnessModel(Safeguard without)
            : ExplorerModelOf(without)
        {
            for (Daemon& daemon : m_daemons)
                daemon.provenAt = explorerTimeAt(0);
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_now < ticksMost)
                list.emplace_back("time passes");
            if (m_withdrawnAt < 0)
                list.emplace_back("the key is withdrawn");
            for (int i = 0; i < 2; ++i) {
                const Daemon& daemon = m_daemons[i];
                std::string who = fmt::format("d{} ", i);
                if (daemon.clock.isSuspended) {
                    list.push_back(who + "goes on");
                    continue;
                }
                if (daemon.clock.suspensions == 0)
                    list.push_back(who + "is suspended");
                if (!daemon.isAsking && daemon.questions < questionsMost)
                    list.push_back(who + (i == 0 ? "asks the store" : "asks its peer"));
                if (daemon.isAsking && !daemon.isAnswered)
                    list.push_back(who + "is answered");
                if (daemon.isAnswered)
                    list.push_back(who + "hears the answer");
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                ++m_now;
                return;
            }
            if (action == "the key is withdrawn") {
                m_withdrawnAt = m_now;
                return;
            }
            int number = action[1] - '0';
            Daemon& daemon = m_daemons[number];
            std::string what = action.substr(3);
            if (what == "is suspended") {
                daemon.clock.suspend(m_now);
            } else if (what == "goes on") {
                daemon.clock.resume(m_now);
            } else if (what.starts_with("asks")) {
                daemon.isAsking = true;
                daemon.askedAt = clockOf(daemon);
                ++daemon.questions;
            } else if (what == "is answered") {
                daemon.isAnswered = true;
                const Daemon& peer = m_daemons[0];
                daemon.answerKnows = number == 0 ? m_withdrawnAt >= 0 : peer.knows;
                daemon.answerAge = std::chrono::duration_cast<base::Micros>(clockOf(peer) - peer.provenAt);
            } else
                hear(daemon, number);
        }

        std::string key() const override
        {
            std::string text = fmt::format("{} {}", m_now, m_withdrawnAt);
            for (const Daemon& daemon : m_daemons)
                text += fmt::format(" | {} {} {} {} {} {} {} {}", daemon.clock.key(), daemon.isAsking,
                    daemon.isAnswered, daemon.questions, daemon.knows, daemon.answerKnows,
                    ticksOf(daemon.provenAt) * 100 + ticksOf(daemon.askedAt), daemon.answerAge.count());
            return text;
        }

        std::string violation() const override
        {
            for (const Daemon& daemon : m_daemons) {
                bool isOld = m_withdrawnAt >= 0 && !daemon.knows && explorerTick * (m_now - m_withdrawnAt) >= limit;
                if (isOld && !daemon.clock.isSuspended && hub::isFresh(daemon.provenAt, clockOf(daemon), limit))
                    return "a withdrawn key is trusted";
            }
            return "";
        }

    private:
        static constexpr int ticksMost = 7;
        static constexpr int questionsMost = 2;
        static constexpr Millis limit { 2000 };

        struct Daemon {
            SuspendableClock clock;
            bool isAsking = false;
            bool isAnswered = false; // the answer is under way
            int questions = 0;
            bool knows = false; // of the withdrawal
            bool answerKnows = false;
            BootTime provenAt {};
            BootTime askedAt = explorerTimeAt(0);
            base::Micros answerAge { 0 };
        };

        static int64_t ticksOf(BootTime time) { return (time - explorerTimeAt(0)) / explorerTick; }

        BootTime clockOf(const Daemon& daemon) const
        {
            return explorerTimeAt(daemon.clock.read(m_now, m_without == Safeguard::ClockOverFreeze));
        }

        void hear(Daemon& daemon, int number)
        {
            daemon.isAsking = daemon.isAnswered = false;
            BootTime askedAt = m_without == Safeguard::ProofFromAsking ? clockOf(daemon) : daemon.askedAt;
            base::Micros age = m_without == Safeguard::AgeOfKnowledge ? base::Micros(0) : daemon.answerAge;
            daemon.provenAt = number == 0 ? hub::freshAsOfRead(daemon.provenAt, askedAt)
                                          : hub::freshAsOfPeer(daemon.provenAt, askedAt, age);
            daemon.knows = daemon.knows || daemon.answerKnows;
        }

        std::array<Daemon, 2> m_daemons;
        int m_now = 0;
        int m_withdrawnAt = -1;
    };

} // namespace

std::unique_ptr<ExplorerModel> freshnessModel(Safeguard without)
{
    return std::make_unique<FreshnessModel>(without);
}

} // namespace rattanshunt::lab

// The gateway's decisions as small systems: attempts of a request, the hub's orders, freshness, the budget for repeats.
#include "ExplorerModels.h"

#include <array>

#include <fmt/format.h>

#include "attempts/RequestPlan.h"
#include "fabric/HubTerm.h"
#include "gateway/RepeatBudget.h"

namespace rattanshunt::lab {

namespace {

    using base::BootTime;
    using base::Millis;

    constexpr Millis tick { 1000 };

    BootTime timeAt(int ticks)
    {
        return BootTime {} + base::Seconds(1000) + tick * ticks;
    }

    // ---- Attempts of a request -------------------------------------------------------------------

    // One request of each kind of repeat meets every end of an attempt, with and without a repeat left in the budget.
    // Invariants: what may run once does not run twice; a refusal says that nothing has run, and that is true.
    class AttemptsModel : public ExplorerModel {
    public:
        explicit AttemptsModel(Safeguard without)
            : m_without(without)
        {
        }

        std::unique_ptr<ExplorerModel> clone() const override { return std::make_unique<AttemptsModel>(*this); }

        std::vector<std::string> actions() const override
        {
            if (!m_hasKind)
                return { "safe", "once", "resumable" };
            if (m_isEnded)
                return {};
            std::vector<std::string> list { "no replica is left" };
            for (const char* budget : { "", ", budget spent" }) {
                for (const char* end : { "connection refused", "replica refuses", "runs, whole answer",
                         "runs, answer lost", "request lost", "runs and fails", "runs, cut after the head" })
                    list.push_back(std::string(end) + budget);
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (!m_hasKind) {
                m_hasKind = true;
                m_progress.repeat = action == "safe" ? attempts::RepeatKind::Safe
                    : action == "once"               ? attempts::RepeatKind::Once
                                                     : attempts::RepeatKind::Resumable;
                m_progress.maxAttempts = 3;
                return;
            }
            if (action == "no replica is left")
                return end(attempts::stepWithoutReplica(m_progress));
            m_runs += action.starts_with("runs");
            m_progress.hasPassedHead |= action.starts_with("runs, cut") || action.starts_with("runs, whole");
            attempts::AttemptEnd ended = endOf(action);
            attempts::noteAttempt(m_progress, ended);
            attempts::RepeatMeans means;
            means.hasBudget = !action.ends_with("budget spent");
            attempts::NextStep step = attempts::stepAfterAttempt(m_progress, ended, means);
            if (step == attempts::NextStep::Repeat)
                return;
            if (m_without == Safeguard::TrueRefusal && step == attempts::NextStep::Fail)
                step = attempts::NextStep::Refuse;
            end(step);
        }

        std::string key() const override
        {
            return fmt::format("{} {} {} {} {} {} {} {}", m_hasKind, static_cast<int>(m_progress.repeat),
                m_progress.attemptsRun, m_progress.attemptsMade, m_progress.hasPassedHead, m_runs, m_isEnded,
                m_violation);
        }

        std::string violation() const override
        {
            if (m_hasKind && m_progress.repeat == attempts::RepeatKind::Once && m_runs > 1)
                return "a request that may run once has run twice";
            return m_violation;
        }

    private:
        attempts::AttemptEnd endOf(const std::string& action) const
        {
            if (action.starts_with("connection refused") || action.starts_with("replica refuses"))
                return attempts::AttemptEnd::NotRun;
            if (action.starts_with("runs, whole"))
                return attempts::AttemptEnd::Whole;
            if (action.starts_with("runs and fails"))
                return attempts::AttemptEnd::RanFailed;
            return m_without == Safeguard::SureNotRun ? attempts::AttemptEnd::NotRun : attempts::AttemptEnd::Unknown;
        }

        void end(attempts::NextStep step)
        {
            m_isEnded = true;
            if (step == attempts::NextStep::Refuse && m_runs > 0)
                m_violation = "refused as not run after it has run";
        }

        Safeguard m_without;
        attempts::RequestProgress m_progress;
        std::string m_violation;
        int m_runs = 0;
        bool m_hasKind = false;
        bool m_isEnded = false;
    };

    // ---- The hub's orders ------------------------------------------------------------------------

    // Two daemons want to be hub and load a model on a replica that has room for one. Questions to the store and orders
    // arrive late, a daemon is suspended or starts anew under its name, leases end. Invariants: no daemon orders within
    // the order gap of another one's order; the replica's memory is never overcommitted.
    class OrdersModel : public ExplorerModel {
    public:
        explicit OrdersModel(Safeguard without)
            : m_without(without)
        {
        }

        std::unique_ptr<ExplorerModel> clone() const override { return std::make_unique<OrdersModel>(*this); }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_now < ticksMost)
                list.emplace_back("time passes");
            for (int i = 0; i < 2; ++i) {
                const Daemon& daemon = m_daemons[i];
                std::string who = fmt::format("d{} ", i);
                if (daemon.isSuspended) {
                    list.push_back(who + "goes on");
                    continue;
                }
                // One of each is enough, and keeps the states few; for the same reason d1 hears the
                // store at once and renews its lease in time.
                if (i == 0 && daemon.suspensions == 0)
                    list.push_back(who + "is suspended");
                if (i == 1 && daemon.start == 0)
                    list.push_back(who + "starts anew");
                bool isOwnOld = m_record.isHeld && m_record.daemon == i && m_record.start != daemon.start;
                if (!daemon.term.isHeld && !daemon.isAsking && (!m_record.isHeld || isOwnOld))
                    list.push_back(who + "asks to be hub");
                if (i == 0 && daemon.term.isHeld && !daemon.isAsking && daemon.renewals == 0)
                    list.push_back(who + "asks for renewal");
                if (daemon.isAsking)
                    list.push_back(who + "hears the store");
                if (i == 0 && isDueToRecord(daemon))
                    list.push_back(who + "records that it orders");
                if (fabric::termMayOrder(daemon.term, clockOf(daemon)) && daemon.orders < 2)
                    list.push_back(who + "orders a load");
            }
            for (size_t i = 0; i < m_wire.size(); ++i)
                list.push_back(fmt::format("order {} arrives", i));
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                renewInTime(m_daemons[1], 1);
                ++m_now;
                if (m_record.isHeld && timeAt(m_now) >= m_record.expiresAt)
                    m_record.isHeld = false;
                if (isDueToRecord(m_daemons[1]))
                    record(m_daemons[1], 1);
                return;
            }
            if (action.starts_with("order "))
                return arrive(static_cast<size_t>(action[6] - '0'));
            int number = action[1] - '0';
            Daemon& daemon = m_daemons[number];
            std::string what = action.substr(3);
            if (what == "is suspended") {
                daemon.isSuspended = true;
                daemon.suspendedAt = m_now;
                ++daemon.suspensions;
            } else if (what == "goes on") {
                daemon.isSuspended = false;
                daemon.lost += m_now - daemon.suspendedAt;
            } else if (what == "starts anew")
                daemon
                    = Daemon { .start = daemon.start + 1, .suspensions = daemon.suspensions, .orders = daemon.orders };
            else if (what.starts_with("asks")) {
                ask(daemon, number);
                if (number == 1)
                    hear(daemon);
                if (number == 1 && isDueToRecord(daemon))
                    record(daemon, number);
            } else if (what == "hears the store")
                hear(daemon);
            else if (what == "records that it orders") {
                record(daemon, number);
            } else
                order(daemon, number);
        }

        std::string key() const override
        {
            std::string text
                = fmt::format("{} {} {} {} {} {} {} {} {} {}", m_now, m_record.isHeld, m_record.daemon, m_record.start,
                    ticksOf(m_record.expiresAt), m_orderer, m_taken, m_loaded, m_lastOrder[0], m_lastOrder[1]);
            for (const Daemon& daemon : m_daemons)
                text += fmt::format(" | {} {} {} {} {} {} {} {} {} {} {} {}", daemon.start, daemon.isSuspended,
                    daemon.suspendedAt, daemon.lost, daemon.suspensions, daemon.isAsking, daemon.askedAt,
                    static_cast<int>(daemon.before), daemon.isElected, daemon.renewals, daemon.orders,
                    daemon.term.isHeld ? fmt::format("{} {} {}", daemon.term.isRecorded,
                        ticksOf(daemon.term.leaseUntil), ticksOf(daemon.term.ordersFrom))
                                       : "");
            for (int expected : m_wire)
                text += fmt::format(" o{}", expected);
            return text + m_violation;
        }

        std::string violation() const override { return m_violation; }

    private:
        static constexpr int ticksMost = 6;
        static constexpr Millis leaseTime { 1000 };
        static constexpr Millis orderGap { 2000 };
        static constexpr int never = -100;

        struct Record {
            bool isHeld = false;
            int daemon = 0;
            int start = 0;
            BootTime expiresAt {};
        };
        struct Daemon {
            int start = 0;
            bool isSuspended = false;
            int suspendedAt = 0;
            int lost = 0; // ticks that passed while it was suspended
            int suspensions = 0;
            int orders = 0;
            bool isAsking = false;
            bool isElected = false; // the store's answer under way
            int askedAt = 0;        // on its clock
            fabric::OrdererRecord before = fabric::OrdererRecord::Unknown;
            int renewals = 0;
            fabric::HubTerm term;
        };

        static int64_t ticksOf(BootTime time)
        {
            return time == BootTime::max() ? -1 : std::chrono::duration_cast<Millis>(time - timeAt(0)).count();
        }

        int ticksOn(const Daemon& daemon) const
        {
            return m_without == Safeguard::ClockOverFreeze ? m_now - daemon.lost : m_now;
        }
        BootTime clockOf(const Daemon& daemon) const { return timeAt(ticksOn(daemon)); }

        void ask(Daemon& daemon, int number)
        {
            daemon.isAsking = true;
            daemon.askedAt = ticksOn(daemon);
            bool isOwn = m_record.isHeld && m_record.daemon == number;
            if (daemon.term.isHeld) {
                ++daemon.renewals;
                daemon.isElected = isOwn && m_record.start == daemon.start;
                if (daemon.isElected)
                    m_record.expiresAt = timeAt(m_now) + leaseTime;
                return;
            }
            daemon.isElected = !m_record.isHeld || isOwn;
            if (!daemon.isElected)
                return;
            m_record = { true, number, daemon.start, timeAt(m_now) + leaseTime };
            daemon.before = m_orderer < 0 ? fabric::OrdererRecord::Nobody
                : m_orderer == number     ? fabric::OrdererRecord::Self
                                          : fabric::OrdererRecord::Another;
            if (m_without == Safeguard::RecordBeforeOrders)
                m_orderer = number;
        }

        bool isDueToRecord(const Daemon& daemon) const
        {
            return daemon.term.isHeld && !daemon.term.isRecorded && clockOf(daemon) >= daemon.term.ordersFrom;
        }

        void renewInTime(Daemon& daemon, int number)
        {
            if (!m_record.isHeld || m_record.daemon != number || m_record.start != daemon.start || !daemon.term.isHeld)
                return;
            m_record.expiresAt = timeAt(m_now + 1) + leaseTime;
            fabric::termRenewed(daemon.term, timeAt(m_now + 1), leaseTime);
        }

        // The store compares the hub's record in the same transaction.
        void record(Daemon& daemon, int number)
        {
            if (!m_record.isHeld || m_record.daemon != number || m_record.start != daemon.start)
                return;
            daemon.term.isRecorded = true;
            m_orderer = number;
        }

        void hear(Daemon& daemon)
        {
            daemon.isAsking = false;
            BootTime now = clockOf(daemon);
            BootTime askedAt = m_without == Safeguard::LeaseFromAsking ? now : timeAt(daemon.askedAt);
            if (!daemon.isElected) {
                daemon.term.isHeld = false;
                return;
            }
            if (daemon.term.isHeld)
                return fabric::termRenewed(daemon.term, askedAt, leaseTime);
            daemon.term = fabric::termBegin(1, 1, askedAt, now, leaseTime);
            daemon.term.ordersFrom = fabric::termOrdersFrom(
                daemon.before, now, m_without == Safeguard::GapBetweenHubs ? Millis(0) : orderGap);
            daemon.term.isRecorded = daemon.before == fabric::OrdererRecord::Self;
        }

        void order(Daemon& daemon, int number)
        {
            ++daemon.orders;
            int other = m_lastOrder[1 - number];
            if (other != never && tick * (m_now - other) < orderGap)
                m_violation = "two daemons order at the same time";
            m_lastOrder[number] = m_now;
            // On a report that shows room; the order says how many orders the replica had taken then.
            if (m_loaded == 0)
                m_wire.push_back(m_taken);
        }

        void arrive(size_t index)
        {
            int expected = m_wire[index];
            m_wire.erase(m_wire.begin() + static_cast<std::ptrdiff_t>(index));
            if (expected != m_taken && m_without != Safeguard::ExpectedOrders)
                return;
            ++m_taken;
            if (++m_loaded > 1)
                m_violation = "the replica's memory is overcommitted";
        }

        Safeguard m_without;
        Record m_record;
        std::array<Daemon, 2> m_daemons;
        std::vector<int> m_wire; // what each order expects
        std::array<int, 2> m_lastOrder { never, never };
        std::string m_violation;
        int m_orderer = -1; // the store's record
        int m_now = 0;
        int m_taken = 0;
        int m_loaded = 0;
    };

    // ---- Freshness -------------------------------------------------------------------------------

    // A key is withdrawn. One daemon reads the store, the other is turned away there and asks the first one; answers
    // come late, daemons are suspended. Invariant: no daemon trusts the key once the limit on age has passed.
    class FreshnessModel : public ExplorerModel {
    public:
        explicit FreshnessModel(Safeguard without)
            : m_without(without)
        {
            for (Daemon& daemon : m_daemons)
                daemon.provenAt = timeAt(0);
        }

        std::unique_ptr<ExplorerModel> clone() const override { return std::make_unique<FreshnessModel>(*this); }

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
                if (daemon.isSuspended) {
                    list.push_back(who + "goes on");
                    continue;
                }
                if (daemon.suspensions == 0)
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
                daemon.isSuspended = true;
                daemon.suspendedAt = m_now;
                ++daemon.suspensions;
            } else if (what == "goes on") {
                daemon.isSuspended = false;
                daemon.lost += m_now - daemon.suspendedAt;
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
                text += fmt::format(" | {} {} {} {} {} {} {} {} {} {} {}", daemon.isSuspended, daemon.suspendedAt,
                    daemon.lost, daemon.suspensions, daemon.isAsking, daemon.isAnswered, daemon.questions, daemon.knows,
                    daemon.answerKnows, ticksOf(daemon.provenAt) * 100 + ticksOf(daemon.askedAt),
                    daemon.answerAge.count());
            return text;
        }

        std::string violation() const override
        {
            for (const Daemon& daemon : m_daemons) {
                bool isOld = m_withdrawnAt >= 0 && !daemon.knows && tick * (m_now - m_withdrawnAt) >= limit;
                if (isOld && !daemon.isSuspended && fabric::isProven(daemon.provenAt, clockOf(daemon), limit))
                    return "a withdrawn key is trusted";
            }
            return "";
        }

    private:
        static constexpr int ticksMost = 7;
        static constexpr int questionsMost = 2;
        static constexpr Millis limit { 2000 };

        struct Daemon {
            bool isSuspended = false;
            int suspendedAt = 0;
            int lost = 0;
            int suspensions = 0;
            bool isAsking = false;
            bool isAnswered = false; // the answer is under way
            int questions = 0;
            bool knows = false; // of the withdrawal
            bool answerKnows = false;
            BootTime provenAt {};
            BootTime askedAt = timeAt(0);
            base::Micros answerAge { 0 };
        };

        static int64_t ticksOf(BootTime time) { return (time - timeAt(0)) / tick; }

        BootTime clockOf(const Daemon& daemon) const
        {
            return timeAt(m_without == Safeguard::ClockOverFreeze ? m_now - daemon.lost : m_now);
        }

        void hear(Daemon& daemon, int number)
        {
            daemon.isAsking = daemon.isAnswered = false;
            BootTime askedAt = m_without == Safeguard::ProofFromAsking ? clockOf(daemon) : daemon.askedAt;
            base::Micros age = m_without == Safeguard::AgeOfKnowledge ? base::Micros(0) : daemon.answerAge;
            daemon.provenAt = number == 0 ? fabric::provenByRead(daemon.provenAt, askedAt)
                                          : fabric::provenByPeer(daemon.provenAt, askedAt, age);
            daemon.knows = daemon.knows || daemon.answerKnows;
        }

        Safeguard m_without;
        std::array<Daemon, 2> m_daemons;
        int m_now = 0;
        int m_withdrawnAt = -1;
    };

    // ---- The budget for repeats ------------------------------------------------------------------

    // Two daemons share the fleet's budget, every request would be repeated, and each daemon may start anew once.
    // Invariant: no window holds more repeats than its requests and the constant part allow.
    class RepeatsModel : public ExplorerModel {
    public:
        explicit RepeatsModel(Safeguard without)
            : m_without(without)
        {
        }

        std::unique_ptr<ExplorerModel> clone() const override { return std::make_unique<RepeatsModel>(*this); }

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
            gateway::RepeatBudgetOptions options = optionsOf(daemon);
            std::string what = action.substr(3);
            if (what == "gets a request") {
                gateway::repeatCountRequest(daemon.budget, timeAt(m_now), options);
                m_requests.push_back(m_now);
            } else if (what == "wants to repeat") {
                size_t members = m_without == Safeguard::ShareOfBudget ? 1 : 2;
                if (gateway::repeatTake(daemon.budget, timeAt(m_now), members, options))
                    m_repeats.push_back(m_now);
            } else
                daemon = { {}, m_now };
        }

        std::string key() const override
        {
            std::string text = fmt::format("{}", m_now);
            for (const Daemon& daemon : m_daemons) {
                text += fmt::format(" | {}", daemon.startedAt);
                for (BootTime at : daemon.budget.repeats)
                    text += fmt::format(" {}", (at - timeAt(0)) / tick);
                text += " of";
                for (BootTime at : daemon.budget.requests)
                    text += fmt::format(" {}", (at - timeAt(0)) / tick);
            }
            text += " /";
            for (int at : m_repeats)
                text += fmt::format(" {}", at);
            return text;
        }

        std::string violation() const override
        {
            gateway::RepeatBudgetOptions options;
            int from = m_now - static_cast<int>(options.window / tick) + 1;
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
            gateway::RepeatBudget budget;
            int startedAt = -1; // -1: long ago
        };

        gateway::RepeatBudgetOptions optionsOf(const Daemon& daemon) const
        {
            gateway::RepeatBudgetOptions options;
            options.ratio = ratio;
            options.extra = extra;
            if (daemon.startedAt >= 0 && m_without != Safeguard::LeanStart)
                options.startedAt = timeAt(daemon.startedAt);
            return options;
        }

        Safeguard m_without;
        std::array<Daemon, 2> m_daemons;
        std::vector<int> m_requests; // of the fleet
        std::vector<int> m_repeats;  //
        int m_now = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> attemptsModel(Safeguard without)
{
    return std::make_unique<AttemptsModel>(without);
}

std::unique_ptr<ExplorerModel> ordersModel(Safeguard without)
{
    return std::make_unique<OrdersModel>(without);
}

std::unique_ptr<ExplorerModel> freshnessModel(Safeguard without)
{
    return std::make_unique<FreshnessModel>(without);
}

std::unique_ptr<ExplorerModel> repeatsModel(Safeguard without)
{
    return std::make_unique<RepeatsModel>(without);
}

} // namespace rattanshunt::lab

// The hub's orders: election, lease, succession.
#include "ExplorerModels.h"

#include <array>

#include <fmt/format.h>

#include "hub/HubTerm.h"

namespace rattanshunt::lab {

namespace {

    using base::BootTime;
    using base::Millis;

    // Two daemons want to be hub and load a model on a replica that has room for one. Questions to the store and orders
    // arrive late, a daemon is suspended or starts anew under its name, leases end. Invariants: no daemon orders within
    // the order gap of another one's order; the replica's memory is never overcommitted.
    class OrdersModel : public ExplorerModelOf<OrdersModel> {
    public:
        using ExplorerModelOf::ExplorerModelOf;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_now < ticksMost)
                list.emplace_back("time passes");
            for (int i = 0; i < 2; ++i) {
                const Daemon& daemon = m_daemons[i];
                std::string who = fmt::format("d{} ", i);
                if (daemon.clock.isSuspended) {
                    list.push_back(who + "goes on");
                    continue;
                }
                // One of each is enough, and keeps the states few; for the same reason d1 hears the
                // store at once and renews its lease in time.
                if (i == 0 && daemon.clock.suspensions == 0)
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
                if (hub::termMayOrder(daemon.term, clockOf(daemon)) && daemon.orders < 2)
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
                if (m_record.isHeld && explorerTimeAt(m_now) >= m_record.expiresAt)
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
                daemon.clock.suspend(m_now);
            } else if (what == "goes on") {
                daemon.clock.resume(m_now);
            } else if (what == "starts anew")
                daemon = Daemon { .start = daemon.start + 1, .orders = daemon.orders };
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
                text += fmt::format(" | {} {} {} {} {} {} {} {} {}", daemon.start, daemon.clock.key(), daemon.isAsking,
                    daemon.askedAt, static_cast<int>(daemon.before), daemon.isElected, daemon.renewals, daemon.orders,
                    daemon.term.isHeld ? fmt::format("{} {} {}", daemon.term.isOrdererRecorded,
                        ticksOf(daemon.term.leaseExpiresAt), ticksOf(daemon.term.ordersAllowedAt))
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
            SuspendableClock clock;
            int orders = 0;
            bool isAsking = false;
            bool isElected = false; // the store's answer under way
            int askedAt = 0;        // on its clock
            hub::PreviousOrderer before = hub::PreviousOrderer::Unknown;
            int renewals = 0;
            hub::HubTerm term;
        };

        static int64_t ticksOf(BootTime time)
        {
            return time == BootTime::max() ? -1 : std::chrono::duration_cast<Millis>(time - explorerTimeAt(0)).count();
        }

        int ticksOn(const Daemon& daemon) const
        {
            return daemon.clock.read(m_now, m_without == Safeguard::ClockOverFreeze);
        }
        BootTime clockOf(const Daemon& daemon) const { return explorerTimeAt(ticksOn(daemon)); }

        void ask(Daemon& daemon, int number)
        {
            daemon.isAsking = true;
            daemon.askedAt = ticksOn(daemon);
            bool isOwn = m_record.isHeld && m_record.daemon == number;
            if (daemon.term.isHeld) {
                ++daemon.renewals;
                daemon.isElected = isOwn && m_record.start == daemon.start;
                if (daemon.isElected)
                    m_record.expiresAt = explorerTimeAt(m_now) + leaseTime;
                return;
            }
            daemon.isElected = !m_record.isHeld || isOwn;
            if (!daemon.isElected)
                return;
            m_record = { true, number, daemon.start, explorerTimeAt(m_now) + leaseTime };
            daemon.before = m_orderer < 0 ? hub::PreviousOrderer::Nobody
                : m_orderer == number     ? hub::PreviousOrderer::Self
                                          : hub::PreviousOrderer::Another;
            if (m_without == Safeguard::RecordBeforeOrders)
                m_orderer = number;
        }

        bool isDueToRecord(const Daemon& daemon) const
        {
            return daemon.term.isHeld && !daemon.term.isOrdererRecorded
                && clockOf(daemon) >= daemon.term.ordersAllowedAt;
        }

        void renewInTime(Daemon& daemon, int number)
        {
            if (!m_record.isHeld || m_record.daemon != number || m_record.start != daemon.start || !daemon.term.isHeld)
                return;
            m_record.expiresAt = explorerTimeAt(m_now + 1) + leaseTime;
            hub::termRenewed(daemon.term, explorerTimeAt(m_now + 1), leaseTime);
        }

        // The store compares the hub's record in the same transaction.
        void record(Daemon& daemon, int number)
        {
            if (!m_record.isHeld || m_record.daemon != number || m_record.start != daemon.start)
                return;
            daemon.term.isOrdererRecorded = true;
            m_orderer = number;
        }

        void hear(Daemon& daemon)
        {
            daemon.isAsking = false;
            BootTime now = clockOf(daemon);
            BootTime askedAt = m_without == Safeguard::LeaseFromAsking ? now : explorerTimeAt(daemon.askedAt);
            if (!daemon.isElected) {
                daemon.term.isHeld = false;
                return;
            }
            if (daemon.term.isHeld)
                return hub::termRenewed(daemon.term, askedAt, leaseTime);
            daemon.term = hub::termBegin(1, 1, askedAt, now, leaseTime);
            daemon.term.ordersAllowedAt = hub::termOrdersAllowedAt(
                daemon.before, now, m_without == Safeguard::GapBetweenHubs ? Millis(0) : orderGap);
            daemon.term.isOrdererRecorded = daemon.before == hub::PreviousOrderer::Self;
        }

        void order(Daemon& daemon, int number)
        {
            ++daemon.orders;
            int other = m_lastOrder[1 - number];
            if (other != never && explorerTick * (m_now - other) < orderGap)
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

} // namespace

std::unique_ptr<ExplorerModel> ordersModel(Safeguard without)
{
    return std::make_unique<OrdersModel>(without);
}

} // namespace rattanshunt::lab

// Model of the hub's load orders: election, lease, succession.
#include "ExplorerModels.h"

#include <array>

#include <fmt/format.h>

#include "hub/HubTerm.h"

namespace rattanshunt::lab {

namespace {

    using base::BootTime;
    using base::Millis;

    // Two daemons campaign to be hub and order model loads on a replica that has memory for one model. Answers of the
    // store and orders arrive late, a daemon is suspended or restarts under its name, leases expire. Invariants: no
    // daemon sends an order within the order gap of another daemon's order; the replica's memory is never
    // overcommitted.
    class HubOrdersModel : public ExplorerModelBase<HubOrdersModel> {
    public:
        using ExplorerModelBase::ExplorerModelBase;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_nowTick < maxTicks)
                list.emplace_back("time passes");
            for (int i = 0; i < 2; ++i) {
                const Daemon& daemon = m_daemons[i];
                std::string who = fmt::format("d{} ", i);
                if (daemon.clock.isSuspended) {
                    list.push_back(who + "resumes");
                    continue;
                }
                // One suspension and one restart are enough and limit the number of states. For the same reason d1
                // receives the store's answers at once and always renews its lease in time.
                if (i == 0 && daemon.clock.suspensionCount == 0)
                    list.push_back(who + "is suspended");
                if (i == 1 && daemon.incarnation == 0)
                    list.push_back(who + "restarts");
                bool isOwnOldRecord
                    = m_record.isHeld && m_record.daemon == i && m_record.incarnation != daemon.incarnation;
                if (!daemon.term.isHeld && !daemon.isQueryPending && (!m_record.isHeld || isOwnOldRecord))
                    list.push_back(who + "asks to become hub");
                if (i == 0 && daemon.term.isHeld && !daemon.isQueryPending && daemon.renewalCount == 0)
                    list.push_back(who + "asks for renewal");
                if (daemon.isQueryPending)
                    list.push_back(who + "receives the answer");
                if (i == 0 && isDueToRecord(daemon))
                    list.push_back(who + "records itself as orderer");
                if (hub::termMayOrder(daemon.term, daemonTime(daemon)) && daemon.orderCount < 2)
                    list.push_back(who + "orders a load");
            }
            for (size_t i = 0; i < m_ordersInFlight.size(); ++i)
                list.push_back(fmt::format("order {} arrives", i));
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                renewBeforeExpiry(m_daemons[1], 1);
                ++m_nowTick;
                if (m_record.isHeld && explorerTimeAt(m_nowTick) >= m_record.expiresAt)
                    m_record.isHeld = false;
                if (isDueToRecord(m_daemons[1]))
                    recordOrderer(m_daemons[1], 1);
                return;
            }
            if (action.starts_with("order "))
                return deliverOrder(static_cast<size_t>(action[6] - '0'));
            int number = action[1] - '0';
            Daemon& daemon = m_daemons[number];
            std::string what = action.substr(3);
            if (what == "is suspended") {
                daemon.clock.suspend(m_nowTick);
            } else if (what == "resumes") {
                daemon.clock.resume(m_nowTick);
            } else if (what == "restarts")
                daemon = Daemon { .incarnation = daemon.incarnation + 1, .orderCount = daemon.orderCount };
            else if (what.starts_with("asks")) {
                queryStore(daemon, number);
                if (number == 1)
                    receiveAnswer(daemon);
                if (number == 1 && isDueToRecord(daemon))
                    recordOrderer(daemon, number);
            } else if (what == "receives the answer")
                receiveAnswer(daemon);
            else if (what == "records itself as orderer") {
                recordOrderer(daemon, number);
            } else
                sendOrder(daemon, number);
        }

        std::string stateKey() const override
        {
            std::string text = fmt::format("{} {} {} {} {} {} {} {} {} {}", m_nowTick, m_record.isHeld, m_record.daemon,
                m_record.incarnation, millisOf(m_record.expiresAt), m_recordedOrderer, m_acceptedOrderCount,
                m_loadedModelCount, m_lastOrderTicks[0], m_lastOrderTicks[1]);
            for (const Daemon& daemon : m_daemons)
                text += fmt::format(" | {} {} {} {} {} {} {} {} {}", daemon.incarnation, daemon.clock.stateKey(),
                    daemon.isQueryPending, daemon.querySentTick, static_cast<int>(daemon.previousOrderer),
                    daemon.isElected, daemon.renewalCount, daemon.orderCount,
                    daemon.term.isHeld ? fmt::format("{} {} {}", daemon.term.isOrdererRecorded,
                        millisOf(daemon.term.leaseExpiresAt), millisOf(daemon.term.ordersAllowedAt))
                                       : "");
            for (int expectedOrderCount : m_ordersInFlight)
                text += fmt::format(" o{}", expectedOrderCount);
            return text + m_violation;
        }

        std::string violation() const override { return m_violation; }

    private:
        static constexpr int maxTicks = 6;
        static constexpr Millis leaseDuration { 1000 };
        static constexpr Millis orderGap { 2000 };
        static constexpr int neverTick = -100;

        struct ElectionRecord {
            bool isHeld = false;
            int daemon = 0;
            int incarnation = 0;
            BootTime expiresAt {};
        };
        struct Daemon {
            int incarnation = 0;
            SuspendableClock clock;
            int orderCount = 0;
            bool isQueryPending = false;
            bool isElected = false; // the store's decision, valid when the answer is received
            int querySentTick = 0;  // by the daemon's own clock
            hub::PreviousOrderer previousOrderer = hub::PreviousOrderer::Unknown;
            int renewalCount = 0;
            hub::HubTerm term;
        };

        static int64_t millisOf(BootTime time)
        {
            return time == BootTime::max() ? -1 : std::chrono::duration_cast<Millis>(time - explorerTimeAt(0)).count();
        }

        int clockTicks(const Daemon& daemon) const
        {
            return daemon.clock.read(m_nowTick, m_removedSafeguard == Safeguard::ClockCountsSuspension);
        }
        BootTime daemonTime(const Daemon& daemon) const { return explorerTimeAt(clockTicks(daemon)); }

        void queryStore(Daemon& daemon, int number)
        {
            daemon.isQueryPending = true;
            daemon.querySentTick = clockTicks(daemon);
            bool isOwn = m_record.isHeld && m_record.daemon == number;
            if (daemon.term.isHeld) {
                ++daemon.renewalCount;
                daemon.isElected = isOwn && m_record.incarnation == daemon.incarnation;
                if (daemon.isElected)
                    m_record.expiresAt = explorerTimeAt(m_nowTick) + leaseDuration;
                return;
            }
            daemon.isElected = !m_record.isHeld || isOwn;
            if (!daemon.isElected)
                return;
            m_record = { true, number, daemon.incarnation, explorerTimeAt(m_nowTick) + leaseDuration };
            daemon.previousOrderer = m_recordedOrderer < 0 ? hub::PreviousOrderer::Nobody
                : m_recordedOrderer == number              ? hub::PreviousOrderer::Self
                                                           : hub::PreviousOrderer::Another;
            if (m_removedSafeguard == Safeguard::RecordOrdererWhenAllowed)
                m_recordedOrderer = number;
        }

        bool isDueToRecord(const Daemon& daemon) const
        {
            return daemon.term.isHeld && !daemon.term.isOrdererRecorded
                && daemonTime(daemon) >= daemon.term.ordersAllowedAt;
        }

        void renewBeforeExpiry(Daemon& daemon, int number)
        {
            if (!m_record.isHeld || m_record.daemon != number || m_record.incarnation != daemon.incarnation
                || !daemon.term.isHeld)
                return;
            m_record.expiresAt = explorerTimeAt(m_nowTick + 1) + leaseDuration;
            hub::termRenewed(daemon.term, explorerTimeAt(m_nowTick + 1), leaseDuration);
        }

        // The store accepts the write only if the election record is unchanged (compared in the same transaction).
        void recordOrderer(Daemon& daemon, int number)
        {
            if (!m_record.isHeld || m_record.daemon != number || m_record.incarnation != daemon.incarnation)
                return;
            daemon.term.isOrdererRecorded = true;
            m_recordedOrderer = number;
        }

        void receiveAnswer(Daemon& daemon)
        {
            daemon.isQueryPending = false;
            BootTime now = daemonTime(daemon);
            BootTime requestedAt
                = m_removedSafeguard == Safeguard::LeaseFromRequestTime ? now : explorerTimeAt(daemon.querySentTick);
            if (!daemon.isElected) {
                daemon.term.isHeld = false;
                return;
            }
            if (daemon.term.isHeld)
                return hub::termRenewed(daemon.term, requestedAt, leaseDuration);
            daemon.term = hub::termBegin(1, 1, requestedAt, now, leaseDuration);
            daemon.term.ordersAllowedAt = hub::termOrdersAllowedAt(daemon.previousOrderer, now,
                m_removedSafeguard == Safeguard::OrderGapAfterElection ? Millis(0) : orderGap);
            daemon.term.isOrdererRecorded = daemon.previousOrderer == hub::PreviousOrderer::Self;
        }

        void sendOrder(Daemon& daemon, int number)
        {
            ++daemon.orderCount;
            int otherLastOrderTick = m_lastOrderTicks[1 - number];
            if (otherLastOrderTick != neverTick && explorerTickDuration * (m_nowTick - otherLastOrderTick) < orderGap)
                m_violation = "two daemons send orders within the order gap";
            m_lastOrderTicks[number] = m_nowTick;
            // Sent only if the replica's report shows free memory. The order carries the number of orders that the
            // replica had accepted at that report.
            if (m_loadedModelCount == 0)
                m_ordersInFlight.push_back(m_acceptedOrderCount);
        }

        void deliverOrder(size_t index)
        {
            int expectedOrderCount = m_ordersInFlight[index];
            m_ordersInFlight.erase(m_ordersInFlight.begin() + static_cast<std::ptrdiff_t>(index));
            if (expectedOrderCount != m_acceptedOrderCount && m_removedSafeguard != Safeguard::ExpectedOrderCount)
                return;
            ++m_acceptedOrderCount;
            if (++m_loadedModelCount > 1)
                m_violation = "the replica's memory is overcommitted";
        }

        ElectionRecord m_record;
        std::array<Daemon, 2> m_daemons;
        std::vector<int> m_ordersInFlight; // the accepted order count that each order expects
        std::array<int, 2> m_lastOrderTicks { neverTick, neverTick };
        std::string m_violation;
        int m_recordedOrderer = -1; // daemon that the store records as orderer; -1: none
        int m_nowTick = 0;
        int m_acceptedOrderCount = 0;
        int m_loadedModelCount = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> hubOrdersModel(Safeguard removedSafeguard)
{
    return std::make_unique<HubOrdersModel>(removedSafeguard);
}

} // namespace rattanshunt::lab

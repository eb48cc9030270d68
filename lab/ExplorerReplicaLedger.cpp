// Model of the hub's knowledge of one replica: reports that lag, adapters in transit, late orders, restarts.
#include "ExplorerModels.h"

#include <deque>

#include <fmt/format.h>

#include "models/ReplicaLedger.h"

namespace rattanshunt::lab {

namespace {

    using gateway::ModelOrder;
    using gateway::OrderResult;
    using gateway::ReplicaReport;

    // One hub orders a replica with two adapter slots to load and unload adapters of one model. Reports show the
    // replica as it was one or two changes ago, orders lose their answers and arrive late, and the replica restarts
    // under its identifier. Invariant: the replica is never ordered to load more adapters than it has slots.
    class ReplicaLedgerModel : public ExplorerModelBase<ReplicaLedgerModel> {
    public:
        ReplicaLedgerModel(Safeguard removedSafeguard, bool startsWithLateOrder)
            : ExplorerModelBase(removedSafeguard)
        {
            m_engine.weightsMb = 1000;
            m_engine.adapterSlots = 2;
            gateway::ModelSpec spec;
            spec.name = "m";
            spec.weightsMb = 100;
            spec.adapterMb = 1;
            m_engine.models["m"] = spec;
            m_replica.models = { { "m", { "a" } } };
            if (startsWithLateOrder) {
                m_replica.ordersAccepted = m_ledger.ordersAccepted = 2;
                m_sentOrder = { true, "m", "b", 2, "", 0 };
                m_lateOrders.push_back(m_sentOrder);
                endOrder(OrderResult::Unknown);
            }
            m_former = { m_replica };
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            bool isOrdering = m_ledger.isOrderPending;
            if (!isOrdering && m_orderCount < maxOrders) {
                if (fits(nextLoad()))
                    list.emplace_back("hub orders a load");
                if (m_ledger.isCurrent && !m_ledger.held.empty() && !m_ledger.held[0].adapters.empty()
                    && fits(nextUnload()))
                    list.emplace_back("hub orders an unload");
            }
            if (isOrdering) {
                list.emplace_back("the order is answered");
                if (m_lateOrders.size() < 2)
                    list.emplace_back("the order's answer is lost");
            }
            for (size_t i = 0; i < m_lateOrders.size(); ++i)
                list.push_back(fmt::format("late order {} is carried out", i));
            if (!m_replica.pendingAdapters.empty())
                list.emplace_back("an adapter arrives");
            if (!m_isReportRequested)
                list.emplace_back("hub requests a report");
            if (m_isReportRequested) {
                for (size_t age = 0; age < m_former.size(); ++age)
                    list.push_back(fmt::format("a report of age {} arrives", age));
            }
            if (m_replica.startedAtMillis == 0)
                list.emplace_back("the replica restarts");
            if (m_replica.startedAtMillis != m_knownStart && !isOrdering)
                list.emplace_back("hub learns of the restart");
            return list;
        }

        void perform(const std::string& action) override
        {
            m_now += std::chrono::milliseconds(1);
            if (action == "hub orders a load" || action == "hub orders an unload") {
                m_sentOrder = action == "hub orders a load" ? nextLoad() : nextUnload();
                m_sentAt = m_now;
                ++m_orderCount;
                models::ledgerOrderSent(m_ledger);
            } else if (action == "the order is answered") {
                OrderResult result = carryOut(m_sentOrder);
                endOrder(result);
                if (result == OrderResult::Accepted && m_sentOrder.isLoad)
                    models::ledgerAddHeld(m_ledger, "m", m_sentOrder.adapter);
                if (m_removedSafeguard == Safeguard::NoUnloadInTransit)
                    m_ledger.unconfirmed.clear();
                if (result == OrderResult::Accepted && !m_sentOrder.isLoad)
                    models::ledgerRemoveHeld(m_ledger, "m", m_sentOrder.adapter);
                if (result != OrderResult::Accepted)
                    m_ledger.isCurrent = false;
            } else if (action == "the order's answer is lost") {
                m_lateOrders.push_back(m_sentOrder);
                endOrder(OrderResult::Unknown);
                m_ledger.isCurrent = false;
            } else if (action.starts_with("late order")) {
                auto late = m_lateOrders.begin() + (action[11] - '0');
                ModelOrder order = *late;
                m_lateOrders.erase(late);
                carryOut(order);
            } else if (action == "an adapter arrives") {
                rememberState();
                std::string adapter = m_replica.pendingAdapters.front().substr(2);
                m_replica.pendingAdapters.erase(m_replica.pendingAdapters.begin());
                m_replica.models[0].adapters.push_back(adapter);
                m_former.front() = m_replica;
            } else if (action == "hub requests a report") {
                m_isReportRequested = true;
                m_reportRequestedAt = m_now;
            } else if (action.starts_with("a report")) {
                m_isReportRequested = false;
                applyReport(m_former[static_cast<size_t>(action[16] - '0')]);
            } else if (action == "the replica restarts") {
                m_replica = {};
                m_replica.startedAtMillis = 1;
                m_replica.models = { { "m", {} } };
                m_former = { m_replica }; // a new start reports nothing of the one before
            } else {
                m_knownStart = m_replica.startedAtMillis;
                m_ledger = models::ledgerBeginStart(m_ledger, m_now, {});
                if (m_removedSafeguard == Safeguard::OrdersOfEarlierStarts)
                    m_ledger.unansweredEarlier.clear();
                m_isReportRequested = false;
            }
        }

        std::string stateKey() const override
        {
            auto reportKey = [](const ReplicaReport& report) {
                return fmt::format("{}/{}/{}/{}", report.startedAtMillis, report.ordersAccepted,
                    fmt::join(report.models[0].adapters, ","), fmt::join(report.pendingAdapters, ","));
            };
            std::string text = fmt::format("{} {} {} {} {} {}", m_orderCount, m_knownStart, m_isReportRequested,
                m_isReportRequested && m_reportRequestedAt >= m_ledger.lastOrderEndedAt, m_ledger.ordersAccepted,
                m_ledger.isCurrent);
            text += fmt::format(" {} {} {}", m_ledger.isOrderPending ? orderKey(m_sentOrder) : "",
                fmt::join(m_ledger.inTransit, ","), fmt::join(m_ledger.unconfirmed, ","));
            for (const auto& held : m_ledger.held)
                text += fmt::format(" h{}", fmt::join(held.adapters, ","));
            for (const auto& list : { m_ledger.unanswered, m_ledger.unansweredEarlier }) {
                text += " |";
                for (const auto& late : list)
                    text += orderKey(late.order);
            }
            for (const ReplicaReport& report : m_former)
                text += " r" + reportKey(report);
            for (const ModelOrder& order : m_lateOrders)
                text += " l" + orderKey(order);
            return text + m_violation;
        }

        std::string violation() const override { return m_violation; }

    private:
        static constexpr int maxOrders = 6;
        static constexpr size_t maxFormerStates = 3;

        static std::string orderKey(const ModelOrder& order)
        {
            return fmt::format("{}{}@{}", order.isLoad ? "+" : "-", order.adapter, order.expectedOrdersAccepted);
        }

        ModelOrder nextLoad() const
        {
            return { true, "m", fmt::format("a{}", m_orderCount), m_ledger.ordersAccepted, "", 0 };
        }
        ModelOrder nextUnload() const
        {
            return { false, "m", m_ledger.held[0].adapters[0], m_ledger.ordersAccepted, "", 0 };
        }
        bool fits(const ModelOrder& order) const
        {
            return models::ledgerOrderFits(m_ledger, m_engine, order, m_now, {});
        }

        void endOrder(OrderResult result) { models::ledgerOrderEnded(m_ledger, m_sentOrder, result, m_sentAt, m_now); }

        void applyReport(const ReplicaReport& report)
        {
            if (report.startedAtMillis != m_knownStart)
                return;
            models::ledgerApplyReport(m_ledger, report, m_reportRequestedAt, m_ledger.isOrderPending, {});
            if (m_removedSafeguard == Safeguard::InTransitWithHeld)
                m_ledger.inTransit = report.pendingAdapters;
            if (m_removedSafeguard == Safeguard::NoUnloadInTransit)
                m_ledger.unconfirmed.clear();
        }

        // Keeps the states that a lagging report may still show, the newest first.
        void rememberState()
        {
            m_former.push_front(m_replica);
            if (m_former.size() > maxFormerStates)
                m_former.pop_back();
        }

        OrderResult carryOut(const ModelOrder& order)
        {
            if (order.expectedOrdersAccepted != m_replica.ordersAccepted
                && m_removedSafeguard != Safeguard::ExpectedOrderCount)
                return OrderResult::Conflict;
            rememberState();
            ++m_replica.ordersAccepted;
            if (order.isLoad)
                m_replica.pendingAdapters.push_back("m/" + order.adapter);
            else
                std::erase(m_replica.models[0].adapters, order.adapter);
            m_former.front() = m_replica;
            if (m_replica.models[0].adapters.size() + m_replica.pendingAdapters.size() > m_engine.adapterSlots)
                m_violation = "the replica is ordered to load more adapters than it has slots";
            return OrderResult::Accepted;
        }

        gateway::Engine m_engine;
        ReplicaReport m_replica;            // as it is
        std::deque<ReplicaReport> m_former; // as reports may show it: now, one change ago, two changes ago
        models::ReplicaLedger m_ledger;
        ModelOrder m_sentOrder;
        std::vector<ModelOrder> m_lateOrders;
        base::BootTime m_now = explorerTimeAt(0);
        base::BootTime m_sentAt = m_now;
        base::BootTime m_reportRequestedAt {};
        bool m_isReportRequested = false;
        int64_t m_knownStart = 0;
        int m_orderCount = 0;
        std::string m_violation;
    };

} // namespace

std::unique_ptr<ExplorerModel> replicaLedgerModel(Safeguard removedSafeguard, bool startsWithLateOrder)
{
    return std::make_unique<ReplicaLedgerModel>(removedSafeguard, startsWithLateOrder);
}

} // namespace rattanshunt::lab

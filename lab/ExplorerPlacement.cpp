// Model of placement: load and unload orders of models on an endpoint.
#include "ExplorerModels.h"

#include <map>

#include <fmt/format.h>

#include "placement/PlacementPlanner.h"

namespace rattanshunt::lab {

namespace {

    base::TimePoint timeAt(int seconds)
    {
        return base::TimePoint {} + base::Seconds(1000 + seconds);
    }

    using namespace placement;

    // Two models of 60 bytes compete for one endpoint of 100 bytes. The placement owner writes records and sends
    // orders; it may crash between any two steps, and another one takes over. Orders arrive late and the endpoint may
    // restart. Invariants: memory is never overcommitted; a model is loaded at most once.
    class PlacementModel : public ExplorerModelBase<PlacementModel> {
    public:
        PlacementModel(Safeguard removedSafeguard, bool checksFencing)
            : ExplorerModelBase(removedSafeguard)
            , m_checksFencing(checksFencing)
        {
            m_planner.options.keepsUnresolvedOrders = removedSafeguard != Safeguard::KeepUnresolvedOrders;
            m_planner.options.evictionGrace = base::Seconds(0);
            PlacementEndpointState endpoint;
            endpoint.id = "e";
            endpoint.pool = "p";
            endpoint.bootId = "b0";
            endpoint.memoryBytes = 100;
            m_planner.endpoints["e"] = endpoint;
            for (const char* name : { "m", "n" }) {
                PlacementModelState model;
                model.name = name;
                model.pool = "p";
                model.bytes = 60;
                m_planner.models[name] = model;
            }
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            for (const char* name : { "m", "n" })
                list.push_back(std::string("requests for ") + name);
            if (placementNextChange(m_planner, timeAt(m_nowSeconds)) && m_orderCount < 5)
                list.emplace_back("owner applies a change");
            for (size_t i = 0; i < m_ordersInFlight.size(); ++i)
                list.push_back(fmt::format("order {} arrives", i));
            list.emplace_back("endpoint reports");
            if (m_ownerCrashes < 2)
                list.emplace_back("owner crashes, another takes over");
            if (m_endpointRestarts < 2)
                list.emplace_back("endpoint restarts");
            return list;
        }

        void perform(const std::string& action) override
        {
            ++m_nowSeconds;
            if (action.starts_with("requests for")) {
                std::string requestedModel = action.substr(13);
                for (auto& [name, model] : m_planner.models) {
                    model.waitingCount = name == requestedModel;
                    model.waitingSince = timeAt(m_nowSeconds);
                }
            } else if (action == "owner applies a change")
                applyNextChange();
            else if (action.starts_with("order"))
                deliverOrder(static_cast<size_t>(std::stoul(action.substr(6))));
            else if (action == "endpoint reports")
                applyReport();
            else if (action == "owner crashes, another takes over")
                replaceOwner();
            else
                restartEndpoint();
        }

        std::string stateKey() const override
        {
            std::string text = fmt::format("{} {} {} {} {}|", m_ownerCrashes, m_endpointRestarts, m_endpointBootId,
                m_highestFencingToken, m_orderCount);
            for (auto& [name, model] : m_planner.models) {
                text += fmt::format("{}{}", name, model.waitingCount);
                for (const PlacedReplica& replica : model.placedReplicas)
                    text += fmt::format("[{} {} {} {}]", replica.orderId, replica.bootId, replica.fencingToken,
                        static_cast<int>(replica.state));
            }
            const PlacementEndpointState& endpoint = m_planner.endpoints.at("e");
            text += endpoint.bootId + endpoint.ledger.bootId;
            for (const Reservation& reservation : endpoint.ledger.reservations)
                text += fmt::format("({})", reservation.orderId);
            for (const Order& order : m_ordersInFlight)
                text += fmt::format("<{} {} {} {}>", order.id, order.isLoad, order.bootId, order.fencingToken);
            for (auto& [model, order] : m_loadedOrders)
                text += fmt::format("{{{}{}}}", model, order);
            for (const std::string& order : m_endedOrders)
                text += "!" + order;
            return text;
        }

        std::string violation() const override { return m_violation; }

    private:
        struct Order {
            std::string id;
            std::string model;
            bool isLoad;
            std::string bootId; // of the endpoint process that the connection was opened to
            int64_t fencingToken;
        };

        void applyNextChange()
        {
            auto change = placementNextChange(m_planner, timeAt(m_nowSeconds));
            ModelRecord record;
            MemoryLedger ledger;
            std::string id = fmt::format("o{}", ++m_orderCount);
            int64_t fencingToken = ++m_lastFencingToken;
            if (!change || !placementApplyChange(m_planner, *change, id, fencingToken, record, ledger))
                return;
            std::string bootId = m_planner.endpoints["e"].bootId;
            m_planner.models[change->model].placedReplicas = record.placedReplicas;
            m_planner.endpoints["e"].ledger = ledger;
            if (change->kind == PlacementChangeKind::Load)
                m_ordersInFlight.push_back({ id, change->model, true, bootId, fencingToken });
            else if (change->kind == PlacementChangeKind::Unload)
                m_ordersInFlight.push_back({ change->orderId, change->model, false, bootId, fencingToken });
        }

        void deliverOrder(size_t index)
        {
            Order order = m_ordersInFlight[index];
            m_ordersInFlight.erase(m_ordersInFlight.begin() + static_cast<long>(index));
            // A connection ends with the process it leads to. Without that rule the order reaches the endpoint's new
            // boot.
            if (order.bootId != m_endpointBootId && m_removedSafeguard != Safeguard::ConnectionBoundToBoot)
                return;
            if (m_checksFencing && order.fencingToken < m_highestFencingToken) {
                if (order.isLoad)
                    m_endedOrders.insert(order.id);
                return;
            }
            m_highestFencingToken = std::max(m_highestFencingToken, order.fencingToken);
            if (!order.isLoad) {
                auto found = m_loadedOrders.find(order.model);
                if (found != m_loadedOrders.end() && found->second == order.id)
                    m_loadedOrders.erase(found);
                m_endedOrders.insert(order.id);
                return;
            }
            if (m_endedOrders.contains(order.id))
                return;
            if (m_loadedOrders.contains(order.model))
                m_violation = order.model + " is loaded twice";
            m_loadedOrders[order.model] = order.id;
            if (m_loadedOrders.size() * 60 > 100)
                m_violation = "the endpoint's memory is overcommitted";
        }

        void applyReport()
        {
            EndpointReport endpointReport;
            endpointReport.bootId = m_endpointBootId;
            endpointReport.checksFencing = m_checksFencing;
            endpointReport.highestFencingToken = m_highestFencingToken;
            endpointReport.endedOrders = m_endedOrders;
            for (auto& [model, order] : m_loadedOrders)
                endpointReport.loadedOrders.insert(order);
            m_planner.endpoints["e"].bootId = m_endpointBootId;
            for (auto& [name, model] : m_planner.models) {
                for (const PlacedReplica& replica : std::vector<PlacedReplica>(model.placedReplicas)) {
                    OrderResolution resolution = placementResolveOrder(replica, endpointReport, m_planner.options);
                    ModelRecord record;
                    MemoryLedger ledger;
                    if (resolution == OrderResolution::Ended
                        && placementApplyChange(m_planner,
                            { PlacementChangeKind::Forget, name, "e", replica.orderId, "" }, "f", 0, record, ledger)) {
                        model.placedReplicas = record.placedReplicas;
                        m_planner.endpoints["e"].ledger = ledger;
                    } else if (resolution == OrderResolution::Loaded && replica.state == PlacedReplicaState::Loading) {
                        for (PlacedReplica& item : model.placedReplicas) {
                            if (item.orderId == replica.orderId)
                                item.state = PlacedReplicaState::Ready;
                        }
                    }
                }
            }
        }

        // The new owner reads the stored records. Orders of the old one are still in flight.
        void replaceOwner()
        {
            ++m_ownerCrashes;
            m_lastFencingToken += 1000;
            m_planner.endpoints["e"].bootId = "";
            for (auto& [name, model] : m_planner.models)
                model.waitingCount = 0;
        }

        void restartEndpoint()
        {
            ++m_endpointRestarts;
            m_endpointBootId = fmt::format("b{}", m_endpointRestarts);
            m_loadedOrders.clear();
            m_endedOrders.clear();
            m_highestFencingToken = 0;
        }

        bool m_checksFencing;
        PlacementPlanner m_planner;
        std::vector<Order> m_ordersInFlight;
        std::map<std::string, std::string> m_loadedOrders;
        std::set<std::string> m_endedOrders;
        std::string m_endpointBootId = "b0";
        std::string m_violation;
        int64_t m_highestFencingToken = 0;
        int64_t m_lastFencingToken = 0;
        int m_orderCount = 0;
        int m_ownerCrashes = 0;
        int m_endpointRestarts = 0;
        int m_nowSeconds = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> placementModel(Safeguard removedSafeguard, bool checksFencing)
{
    return std::make_unique<PlacementModel>(removedSafeguard, checksFencing);
}

} // namespace rattanshunt::lab

// Placement of models on endpoints.
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

    // Two models of 60 bytes want one endpoint of 100. An owner writes records and sends orders, may die between any
    // two steps, and a second one goes on. Orders arrive late; the endpoint may start anew. Invariants: memory is never
    // overcommitted; a model is loaded at most once.
    class PlacementModel : public ExplorerModelOf<PlacementModel> {
    public:
        PlacementModel(Safeguard without, bool checksFencing)
            : ExplorerModelOf(without)
            , m_checksFencing(checksFencing)
        {
            m_planner.options.keepsUnresolvedOrders = without != Safeguard::KeepUnresolved;
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
            if (placementNextChange(m_planner, timeAt(m_time)) && m_orders < 5)
                list.emplace_back("owner decides");
            for (size_t i = 0; i < m_wire.size(); ++i)
                list.push_back(fmt::format("order {} arrives", i));
            list.emplace_back("endpoint reports");
            if (m_deaths < 2)
                list.emplace_back("owner dies, another goes on");
            if (m_boots < 2)
                list.emplace_back("endpoint starts anew");
            return list;
        }

        void perform(const std::string& action) override
        {
            ++m_time;
            if (action.starts_with("requests for")) {
                std::string wanted = action.substr(13);
                for (auto& [name, model] : m_planner.models) {
                    model.waitingCount = name == wanted;
                    model.waitingSince = timeAt(m_time);
                }
            } else if (action == "owner decides")
                decide();
            else if (action.starts_with("order"))
                arrive(static_cast<size_t>(std::stoul(action.substr(6))));
            else if (action == "endpoint reports")
                report();
            else if (action == "owner dies, another goes on")
                takeOver();
            else
                restart();
        }

        std::string key() const override
        {
            std::string text = fmt::format("{} {} {} {} {}|", m_deaths, m_boots, m_boot, m_highest, m_orders);
            for (auto& [name, model] : m_planner.models) {
                text += fmt::format("{}{}", name, model.waitingCount);
                for (const PlacedReplica& place : model.placedReplicas)
                    text += fmt::format("[{} {} {} {}]", place.orderId, place.bootId, place.fencingToken,
                        static_cast<int>(place.state));
            }
            const PlacementEndpointState& endpoint = m_planner.endpoints.at("e");
            text += endpoint.bootId + endpoint.ledger.bootId;
            for (const Reservation& reservation : endpoint.ledger.reservations)
                text += fmt::format("({})", reservation.orderId);
            for (const Order& order : m_wire)
                text += fmt::format("<{} {} {} {}>", order.id, order.isLoad, order.boot, order.fencing);
            for (auto& [model, order] : m_loaded)
                text += fmt::format("{{{}{}}}", model, order);
            for (const std::string& order : m_ended)
                text += "!" + order;
            return text;
        }

        std::string violation() const override { return m_violation; }

    private:
        struct Order {
            std::string id;
            std::string model;
            bool isLoad;
            std::string boot; // that its connection leads to
            int64_t fencing;
        };

        void decide()
        {
            auto change = placementNextChange(m_planner, timeAt(m_time));
            ModelRecord record;
            MemoryLedger ledger;
            std::string id = fmt::format("o{}", ++m_orders);
            int64_t fencing = ++m_fencing;
            if (!change || !placementApplyChange(m_planner, *change, id, fencing, record, ledger))
                return;
            std::string boot = m_planner.endpoints["e"].bootId;
            m_planner.models[change->model].placedReplicas = record.placedReplicas;
            m_planner.endpoints["e"].ledger = ledger;
            if (change->kind == PlacementChangeKind::Load)
                m_wire.push_back({ id, change->model, true, boot, fencing });
            else if (change->kind == PlacementChangeKind::Unload)
                m_wire.push_back({ change->orderId, change->model, false, boot, fencing });
        }

        void arrive(size_t index)
        {
            Order order = m_wire[index];
            m_wire.erase(m_wire.begin() + static_cast<long>(index));
            // A connection ends with its process; without that rule the order reaches whoever listens now.
            if (order.boot != m_boot && m_without != Safeguard::BootOnConnection)
                return;
            if (m_checksFencing && order.fencing < m_highest) {
                if (order.isLoad)
                    m_ended.insert(order.id);
                return;
            }
            m_highest = std::max(m_highest, order.fencing);
            if (!order.isLoad) {
                auto found = m_loaded.find(order.model);
                if (found != m_loaded.end() && found->second == order.id)
                    m_loaded.erase(found);
                m_ended.insert(order.id);
                return;
            }
            if (m_ended.contains(order.id))
                return;
            if (m_loaded.contains(order.model))
                m_violation = order.model + " is loaded twice";
            m_loaded[order.model] = order.id;
            if (m_loaded.size() * 60 > 100)
                m_violation = "the endpoint's memory is overcommitted";
        }

        void report()
        {
            EndpointReport seen;
            seen.bootId = m_boot;
            seen.checksFencing = m_checksFencing;
            seen.highestFencingToken = m_highest;
            seen.endedOrders = m_ended;
            for (auto& [model, order] : m_loaded)
                seen.loadedOrders.insert(order);
            m_planner.endpoints["e"].bootId = m_boot;
            for (auto& [name, model] : m_planner.models) {
                for (const PlacedReplica& place : std::vector<PlacedReplica>(model.placedReplicas)) {
                    OrderResolution resolution = placementResolveOrder(place, seen, m_planner.options);
                    ModelRecord record;
                    MemoryLedger ledger;
                    if (resolution == OrderResolution::Ended
                        && placementApplyChange(m_planner,
                            { PlacementChangeKind::Forget, name, "e", place.orderId, "" }, "f", 0, record, ledger)) {
                        model.placedReplicas = record.placedReplicas;
                        m_planner.endpoints["e"].ledger = ledger;
                    } else if (resolution == OrderResolution::Loaded && place.state == PlacedReplicaState::Loading) {
                        for (PlacedReplica& item : model.placedReplicas) {
                            if (item.orderId == place.orderId)
                                item.state = PlacedReplicaState::Ready;
                        }
                    }
                }
            }
        }

        // The new owner has the records; what the old one had sent is still under way.
        void takeOver()
        {
            ++m_deaths;
            m_fencing += 1000;
            m_planner.endpoints["e"].bootId = "";
            for (auto& [name, model] : m_planner.models)
                model.waitingCount = 0;
        }

        void restart()
        {
            ++m_boots;
            m_boot = fmt::format("b{}", m_boots);
            m_loaded.clear();
            m_ended.clear();
            m_highest = 0;
        }

        bool m_checksFencing;
        PlacementPlanner m_planner;
        std::vector<Order> m_wire;
        std::map<std::string, std::string> m_loaded;
        std::set<std::string> m_ended;
        std::string m_boot = "b0";
        std::string m_violation;
        int64_t m_highest = 0;
        int64_t m_fencing = 0;
        int m_orders = 0;
        int m_deaths = 0;
        int m_boots = 0;
        int m_time = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> placementModel(Safeguard without, bool checksFencing)
{
    return std::make_unique<PlacementModel>(without, checksFencing);
}

} // namespace rattanshunt::lab

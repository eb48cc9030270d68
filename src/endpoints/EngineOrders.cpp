#include "endpoints/EngineOrders.h"
#include "base/Json.h"

#include <nlohmann/json.hpp>

namespace rattanshunt::endpoints {

using nlohmann::json;

namespace {
    constexpr size_t maxStateBytes = 256 * 1024; // all engines are polled at the same time
    constexpr size_t maxOrderResponseBytes = 64 * 1024;
}

OrderOutcome engineOrderSend(
    net::HttpConnection& connection, const EngineOrder& order, const std::string& bootId, base::TimePoint deadline)
{
    auto state = engineStateFetch(connection, deadline);
    // If the connection is not reusable, httpCall() would open a new one, perhaps to a restarted process.
    if (!state || state->report.bootId != bootId || !connection.isReusable())
        return OrderOutcome::NotSent;
    json body = { { "action", order.action == OrderAction::Load ? "load" : "unload" }, { "model", order.model },
        { "bytes", order.bytes }, { "order", order.orderId }, { "fencing", order.fencingToken } };
    if (!order.baseModel.empty())
        body["base"] = order.baseModel;
    net::HttpRequest request { "POST", "/orders", { { "Content-Type", "application/json" } }, body.dump() };
    net::HttpResult result = net::httpCall(connection, request, deadline, maxOrderResponseBytes);
    if (result.error == net::HttpCallError::ConnectFailed)
        return OrderOutcome::NotSent;
    if (result.error != net::HttpCallError::None)
        return OrderOutcome::Unknown;
    return result.response.status / 100 == 2 ? OrderOutcome::Accepted : OrderOutcome::Refused;
}

std::optional<EngineState> engineStateFetch(net::HttpConnection& connection, base::TimePoint deadline)
{
    net::HttpResult result = net::httpCall(connection, { "GET", "/state", {}, "" }, deadline, maxStateBytes);
    if (result.error != net::HttpCallError::None || result.response.status != 200)
        return std::nullopt;
    json body = base::jsonTryParse(result.response.body);
    if (!body.is_object())
        return std::nullopt;
    try {
        EngineState state;
        state.report.bootId = body.at("boot").get<std::string>();
        state.report.loadedOrders = body.at("loaded_orders").get<std::set<std::string>>();
        state.report.loadingOrders = body.at("loading_orders").get<std::set<std::string>>();
        state.report.endedOrders = body.at("ended_orders").get<std::set<std::string>>();
        state.report.highestFencingToken = body.at("highest_fencing").get<int64_t>();
        state.report.checksFencing = body.at("checks_fencing").get<bool>();
        state.running = body.at("running").get<int>();
        state.waiting = body.at("waiting").get<int>();
        state.batchSlots = body.at("slots").get<int>();
        state.acceleratorIdleSeconds = body.value("idle_seconds", 0.0);
        json cached = body.value("cached", json::object());
        for (auto& [model, tier] : cached.items())
            state.checkpointTiers[model]
                = tier == "memory" ? placement::CheckpointTier::Memory : placement::CheckpointTier::Disk;
        return state;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace rattanshunt::endpoints

// Sends load and unload orders to model engines and fetches their state, over HTTP. Only this file pair knows the
// format.
//
// All functions suspend the calling fiber and must be called on the thread that owns the connection.
#pragma once

#include <optional>
#include <string>

#include "net/Http.h"
#include "placement/PlacementPlanner.h"

namespace rattanshunt::endpoints {

enum class OrderAction { Load, Unload };

struct EngineOrder {
    OrderAction action = OrderAction::Load;
    std::string model;        // name of the model or adapter
    std::string baseModel;    // for an adapter: the model that it adapts; otherwise empty
    int64_t bytes = 0;        // memory that the replica needs
    std::string orderId;      // id of the load; an unload carries the id of the load that it ends
    int64_t fencingToken = 0; // engines that check fencing refuse a token below the highest one seen
};

enum class OrderOutcome {
    Accepted,
    Refused, // the engine will not execute it
    NotSent, // no byte of the order was sent
    Unknown, // sent without a response; it may be executed at any later time
};

// Sends an order that only the engine process with `bootId` can receive: the boot id is first read over the same
// connection, and a connection does not outlive its process. NotSent if the engine has been restarted.
OrderOutcome engineOrderSend(
    net::HttpConnection&, const EngineOrder&, const std::string& bootId, base::TimePoint deadline);

struct EngineState {
    placement::EndpointReport report;
    std::map<std::string, placement::CheckpointTier> checkpointTiers;
    double acceleratorIdleSeconds = 0; // total time with a model in memory and no running request
    int running = 0;
    int waiting = 0;
    int batchSlots = 1;
};

// Fetches the engine's state; nothing if the engine does not respond or its response is malformed.
std::optional<EngineState> engineStateFetch(net::HttpConnection&, base::TimePoint deadline);

} // namespace rattanshunt::endpoints

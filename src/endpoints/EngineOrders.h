// Orders to model engines and their reports, over HTTP. The only file pair that knows the engines' order format.
//
// Suspends the calling fiber; own thread only.
#pragma once

#include <optional>
#include <string>

#include "net/Http.h"
#include "placement/PlacementPlanner.h"

namespace rattanshunt::endpoints {

enum class OrderAction { Load, Unload };

struct EngineOrder {
    OrderAction action = OrderAction::Load;
    std::string model;     // or adapter
    std::string baseModel; // for an adapter: the model that it adapts
    int64_t bytes = 0;
    std::string orderId; // identifies the load; an unload names the load that it ends
    int64_t fencingToken = 0;
};

enum class OrderOutcome {
    Accepted,
    Refused, // the engine said that it will not be carried out
    NotSent, // no byte was sent
    Unknown, // sent; it may be carried out at any later time
};

// Sends an order that only the start `boot` of the engine can receive: the same connection first reads the engine's
// boot, and a connection ends with its process. NotSent if the engine has started anew.
OrderOutcome engineOrderSend(
    net::HttpConnection&, const EngineOrder&, const std::string& bootId, base::TimePoint deadline);

struct EngineState {
    placement::EndpointReport report;
    std::map<std::string, placement::CheckpointTier> checkpointTiers;
    double acceleratorIdleSeconds = 0; // time with a model in memory and no request running
    int running = 0;
    int waiting = 0;
    int batchSlots = 1;
};

// The engine's state, or nothing if it did not answer.
std::optional<EngineState> engineStateFetch(net::HttpConnection&, base::TimePoint deadline);

} // namespace rattanshunt::endpoints

// Calls between daemons over authenticated TCP connections.
//
// The first call to an address opens a connection, which all calls to that address share and which is closed after
// `idleTimeout` without calls. If the peer sends nothing for `silenceTimeout` while calls are pending, the connection
// is closed, its calls fail, and the next call opens a new one. This replaces connections whose state was lost on the
// way, such as in a NAT or firewall, and which would otherwise stay open without delivering anything.
//
// May only be used on the loop's thread. call() suspends the calling fiber; each handler runs in its own fiber.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "base/Text.h"
#include "base/Time.h"
#include "net/Loop.h"
#include "net/PeerTunnel.h"

namespace rattanshunt::net {

struct PeerOptions {
    std::string name;                       // of this daemon; sent in the handshake
    std::string secret;                     // shared by all daemons of the fleet
    base::Millis connectTimeout { 1000 };   // for connecting and the handshake together
    base::Millis heartbeatInterval { 500 }; // between two heartbeats while calls are pending
    base::Millis silenceTimeout { 2000 };   // longest time without any frame while calls are pending
    base::Seconds idleTimeout { 30 };       // longest time without a call
};

enum class PeerError {
    None,
    NotSent,        // no connection, so the call was not sent
    OutcomeUnknown, // sent, but no answer arrived: the peer may have run the call
    Refused,        // the peer does not know the method, or the body is malformed
};

struct PeerResult {
    PeerError error = PeerError::None;
    nlohmann::json body;
};

// Answers one call. `from` is the name that the caller gave in the handshake, in which it proved that it knows the
// fleet's secret. A json::exception or a discarded value refuses the call.
using PeerHandler
    = std::function<nlohmann::json(const std::string& from, const std::string& method, const nlohmann::json& body)>;

class PeerNetwork {
public:
    PeerNetwork(Loop&, PeerOptions);
    ~PeerNetwork();

    // Starts to listen and sets the port of `address` to the one that was bound. Returns false and sets `error` if it
    // cannot be bound.
    bool listen(base::Address& address, PeerHandler, std::string& error);

    // Calls `method` at `address` and waits for the answer until `deadline`.
    PeerResult call(
        const base::Address&, const std::string& method, const nlohmann::json& body, base::TimePoint deadline);

    // Asks the peer at `address` to carry a connection to `server`, which it decides on by `request`. The connection
    // is open if it is accepted by `deadline`. Suspends.
    TunnelResult openTunnel(const base::Address&, const nlohmann::json& request, const base::Address& server,
        const ConnectOptions&, base::TimePoint deadline);

    // Decides about the tunnels that peers ask for, named by the string field "id" of the request. Without a handler
    // all are refused.
    void setTunnelHandler(TunnelHandler);
    TunnelEnd tunnelEnd(const std::string& id) const; // of a tunnel that this side carried
    size_t tunnelCount() const;                       // that this side carries now

    // Stops listening and closes all connections; pending calls fail. Later calls return NotSent.
    void close();

    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;
    size_t connectionCount() const; // opened by this side, including those in their handshake

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::net

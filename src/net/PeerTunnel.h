// Byte streams that a peer carries to a server on behalf of this daemon.
//
// After the handshake, the first message ["t", request] asks the listener to connect to a server. It answers
// ["t", isAccepted, answer]; from then on both sides send the stream's bytes as they are, without frames. The listener
// resets the caller's connection if the server's was reset. An end in order can't be told from that of the listener's
// process, so the caller may ask how a tunnel ended.
//
// May only be used on the loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "net/Http.h"

namespace rattanshunt::net {

// What a listener decides about a tunnel that a peer asks for.
struct TunnelPlan {
    std::optional<base::Address> server; // empty: refused
    nlohmann::json answer;               // for the caller if it is refused
    ConnectOptions connect;
    base::TimePoint connectBy {};
    base::TimePoint endsBy {};                // it is closed then
    std::function<std::string()> onFailed {}; // called if the server can't be connected; returns why. May suspend.
};

// Called in a fiber of its own; must not suspend. `from` is the peer's name. A json::exception refuses the tunnel.
using TunnelHandler = std::function<TunnelPlan(const std::string& from, const nlohmann::json& request)>;

enum class TunnelEnd {
    Unknown,  // still open, or not known to this process
    InOrder,  // the server has closed its connection, and all its bytes have been passed on
    ByServer, // the server's connection was reset
    ByCaller, // or at its time limit
};

const char* tunnelEndName(TunnelEnd);

struct TunnelResult {
    std::unique_ptr<HttpConnection> connection; // null: refused or failed
    bool isRefused = false;                     // by the peer, with `answer`
    nlohmann::json answer;
};

} // namespace rattanshunt::net

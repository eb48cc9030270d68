// Calls between daemons over authenticated TCP links.
//
// A link is opened when the first call to an address needs it and closed after `idleTime` without calls. Many calls
// share one link. A link with waiting calls that stays silent for `silenceLimit` is closed, its calls fail, and the
// next call opens a new one: an open connection that something between the two ends has forgotten is left behind.
//
// Own thread only. Calls suspend the calling fiber; handlers run in fibers of their own.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "base/Text.h"
#include "base/Time.h"
#include "net/Loop.h"

namespace rattanshunt::net {

struct PeerOptions {
    std::string name;                       // of this daemon
    std::string secret;                     // of the fleet
    base::Millis connectTimeout { 1000 };   // for connecting and the handshake
    base::Millis heartbeatInterval { 500 }; // while calls wait
    base::Millis silenceTimeout { 2000 };   // without any frame while calls wait
    base::Seconds idleTimeout { 30 };       // without calls
};

enum class PeerError {
    None,
    NotSent,        // no byte of the call was sent
    OutcomeUnknown, // sent; no answer
    Refused,        // the peer does not know the method or the body is malformed
};

struct PeerResult {
    PeerError error = PeerError::None;
    nlohmann::json body;
};

// Answers one call. `from` is the name that the caller has proved to belong to the fleet under.
using PeerHandler
    = std::function<nlohmann::json(const std::string& from, const std::string& method, const nlohmann::json& body)>;

class PeerNetwork {
public:
    PeerNetwork(Loop&, PeerOptions);
    ~PeerNetwork();

    // Listens; the port is known afterwards. False if the address cannot be bound; `error` says why.
    bool listen(base::Address& address, PeerHandler, std::string& error);

    // Calls `method` at `address` and waits for the answer until `deadline`.
    PeerResult call(
        const base::Address&, const std::string& method, const nlohmann::json& body, base::TimePoint deadline);

    // Closes everything; waiting calls fail.
    void close();

    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;
    size_t connectionCount() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::net

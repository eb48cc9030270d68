// Internal to net/: carries the bytes of one tunnel between two sockets, at the listener.
//
// May only be used on the loop's thread. run() suspends the calling fiber.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "net/Loop.h"
#include "net/PeerTunnel.h"

namespace rattanshunt::net {

class TunnelPump : public std::enable_shared_from_this<TunnelPump> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    TunnelPump(Loop&, Socket caller, Socket server);

    // Returns when both connections are closed, at `endsBy` at the latest. `onEnd` is called before the caller can see
    // the end.
    void run(base::TimePoint endsBy, std::function<void(TunnelEnd)> onEnd);
    void close();

private:
    void pumpToServer();
    void pumpToCaller();
    void end(TunnelEnd);

    Loop& m_loop;
    Socket m_caller;
    Socket m_server;
    std::function<void(TunnelEnd)> m_onEnd;
    TunnelEnd m_end = TunnelEnd::Unknown;
    bool m_hasServerFailed = false; // a write to it
};

// The connection of an HTTP client over an open socket. `server`: the address that counts as its own.
std::unique_ptr<HttpConnection> httpConnectionAdopt(
    Loop&, const base::Address& server, boost::asio::ip::tcp::socket, ConnectOptions);

} // namespace rattanshunt::net

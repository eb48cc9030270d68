// Pool of HTTP connections from one traffic thread to endpoints.
//
// An idle connection is reused only if it is open, has no unread bytes and was used within the last 20 s. A connection
// that failed is closed and never reused.
//
// All methods must be called on the pool's own traffic thread.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/Http.h"

namespace rattanshunt::endpoints {

class ConnectionPool {
public:
    explicit ConnectionPool(net::Loop&);

    // An idle connection to `address`, or a new one that is not connected yet.
    std::unique_ptr<net::HttpConnection> acquire(const base::Address& address);

    // Returns a connection whose response was read completely to the pool. Any other connection is closed.
    void release(std::unique_ptr<net::HttpConnection>);

    size_t idleCount() const;

private:
    struct IdleConnection {
        std::unique_ptr<net::HttpConnection> connection;
        base::TimePoint idleSince {};
    };

    net::Loop& m_loop;
    std::map<std::string, std::vector<IdleConnection>> m_idleConnections; // by address; the most recently used one last
};

} // namespace rattanshunt::endpoints

// Connections of one traffic thread to endpoints.
//
// An idle connection is given out again only if it is open, has no unread bytes and was used recently; one that failed
// is closed and never reused. Own thread only.
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

    // Keeps a connection whose answer has been read whole.
    void release(std::unique_ptr<net::HttpConnection>);

    size_t idleCount() const;

private:
    struct IdleConnection {
        std::unique_ptr<net::HttpConnection> connection;
        base::TimePoint idleSince {};
    };

    net::Loop& m_loop;
    std::map<std::string, std::vector<IdleConnection>> m_idleConnections; // by address
};

} // namespace rattanshunt::endpoints

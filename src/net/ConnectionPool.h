// Pool of open connections to servers that answer requests with ids, kept for later requests.
//
// A server serves one request at a time on a connection, and opening a connection is expensive. An idle connection is
// reused only if it is open and has no unread bytes, and never for a request whose id it has answered before: a late
// copy of that response could not be told from the new one (see net/AnsweredRequests.h).
//
// Q: When is an idle connection too old for a request that may be executed at most once?  A: After
// `maxIdleTimeAtMostOnce`. The server may be closing it, and a request that is sent while the connection closes cannot
// be retried.
//
// All methods must be called on the thread of the pool's loop.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/AnsweredRequests.h"
#include "net/Http.h"

namespace rattanshunt::net {

struct ConnectionPoolOptions {
    base::Millis maxIdleTime { 20000 };          // a shorter idle timeout of the server takes precedence
    base::Millis maxIdleTimeAtMostOnce { 1500 }; // of a connection that a request may reuse which runs at most once
    base::Millis idleTimeoutMargin { 1000 };     // how long before the server's own idle timeout to close
    size_t maxIdlePerAddress = 8;                // idle connections kept
    ConnectOptions connect {};                   // of new connections
};

// The request that a connection is needed for.
struct ConnectionRequest {
    std::string_view id {}; // empty: it gets a new connection
    bool isAtMostOnce = false;
};

struct PooledConnection {
    std::unique_ptr<HttpConnection> connection;
    AnsweredRequests answered;
};

class ConnectionPool {
public:
    ConnectionPool(Loop&, ConnectionPoolOptions);

    // Returns an idle connection that the request may reuse, or a new one that is not connected yet.
    PooledConnection acquire(const base::Address&, const ConnectionRequest&);

    // Whether acquire() would return an open connection to a request whose id was not answered before. Cheap, so that
    // it can be asked of each of many addresses.
    bool hasIdle(const base::Address&, bool isAtMostOnce) const;

    // Returns a connection after its response to the request `answeredId` was read completely. `idleTimeout`: after
    // which the server closes it, if it says so. A connection that must not be reused is closed.
    void release(
        PooledConnection, std::string_view answeredId, std::optional<base::Seconds> idleTimeout = std::nullopt);

    // Adds an open connection that has carried no request yet.
    void add(std::unique_ptr<HttpConnection>);

    // Closes all idle connections to an address, because another server may have it now.
    void closeIdle(const base::Address&);

    // Closes idle connections that have expired. Call about once per second.
    void closeExpired();

private:
    struct IdleConnection {
        PooledConnection pooled;
        base::BootTime idleSince {};
        base::BootTime expiresAt {};
    };

    static bool isUsable(const IdleConnection&, base::BootTime now); // by any request
    void keep(PooledConnection, base::Duration limit);
    bool isRecentEnough(const IdleConnection&, bool isAtMostOnce, base::BootTime now) const;

    Loop& m_loop;
    ConnectionPoolOptions m_options;
    std::map<std::string, std::vector<IdleConnection>> m_idleConnections; // by address; the most recently used one last
};

} // namespace rattanshunt::net

// Open connections to replicas, kept for the next request.
//
// A replica serves one request at a time on a connection, and new connections are dear. Own thread only.
//
// Q: When is a kept connection too old for a request that may run only once?  A: After `onceIdleMost`: the replica may
// be closing it, and a request that meets the close can't be sent again.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/Configuration.h"
#include "net/Http.h"

namespace rattanshunt::gateway {

struct ReplicaConnectionOptions {
    base::Millis maxIdleTime { 20000 }; // after which a connection is closed, unless the replica names a shorter time
    base::Millis maxIdleTimeAtMostOnce { 1500 }; // for a request that may run only once
    base::Millis idleTimeoutMargin { 1000 };     // before the replica's own limit
    size_t maxIdlePerReplica = 8;                // connections kept for one replica
};

class ReplicaConnectionPool {
public:
    ReplicaConnectionPool(net::Loop&, ReplicaConnectionOptions);

    // A connection that may be reused, or a new one that is not connected yet.
    std::unique_ptr<net::HttpConnection> acquire(const base::Address&, RetryClass);

    // Whether take() would give one that is open already.
    bool hasIdle(const base::Address&, RetryClass) const;

    // Keeps a connection for later. `idleLimit`: after which the replica closes it, if it says so.
    void release(std::unique_ptr<net::HttpConnection>, std::optional<base::Seconds> idleLimit);

    // Closes all kept connections to an address: another replica may have it now.
    void closeIdle(const base::Address&);

    // Closes connections that have been idle for too long. Call about once a second.
    void closeExpired();

private:
    struct IdleConnection {
        std::unique_ptr<net::HttpConnection> connection;
        base::BootTime idleSince;
        base::BootTime expiresAt;
    };

    net::Loop& m_loop;
    ReplicaConnectionOptions m_options;
    std::map<std::string, std::vector<IdleConnection>> m_idleConnections; // by address
};

} // namespace rattanshunt::gateway

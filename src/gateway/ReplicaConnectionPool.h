// Pool of open connections to the platform's replicas, kept for later requests.
//
// A replica serves one request at a time on a connection, and opening a connection is expensive. Call from the owning
// thread only.
//
// Q: When is an idle connection too old for a request that may be executed at most once?  A: After
// `maxIdleTimeAtMostOnce`. The replica may be closing it, and a request that is sent while the connection closes cannot
// be retried.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/Configuration.h"
#include "net/Http.h"

namespace rattanshunt::gateway {

struct ReplicaConnectionOptions {
    base::Millis maxIdleTime { 20000 };          // a shorter idle timeout of the replica takes precedence
    base::Millis maxIdleTimeAtMostOnce { 1500 }; // of a connection that an AtMostOnce request may reuse
    base::Millis idleTimeoutMargin { 1000 };     // how long before the replica's own idle timeout to close
    size_t maxIdlePerReplica = 8;                // idle connections kept per replica
    size_t receiveBufferBytes = 0;               // of the system for each connection; 0: its default
};

class ReplicaConnectionPool {
public:
    ReplicaConnectionPool(net::Loop&, ReplicaConnectionOptions);

    // Returns an idle connection that may be reused, or a new one that is not connected yet.
    std::unique_ptr<net::HttpConnection> acquire(const base::Address&, RetryClass);

    // Whether acquire() would return an open connection.
    bool hasIdle(const base::Address&, RetryClass) const;

    // Returns a connection to the pool. `idleTimeout`: after which the replica closes it, if it says so.
    void release(std::unique_ptr<net::HttpConnection>, std::optional<base::Seconds> idleTimeout);

    // Closes all idle connections to an address, because another replica may have it now.
    void closeIdle(const base::Address&);

    // Closes idle connections that have expired. Call about once per second.
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

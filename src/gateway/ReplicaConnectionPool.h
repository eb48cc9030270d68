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

struct ChannelOptions {
    base::Millis idleMost { 20000 };    // after which a connection is closed, unless the replica names a shorter time
    base::Millis onceIdleMost { 1500 }; // for a request that may run only once
    base::Millis idleMargin { 1000 };   // before the replica's own limit
    size_t idleEach = 8;                // connections kept for one replica
};

class Channels {
public:
    Channels(net::Loop&, ChannelOptions);

    // A connection that may be reused, or a new one that is not connected yet.
    std::unique_ptr<net::HttpConnection> take(const base::Address&, RepeatKind);

    // Whether take() would give one that is open already.
    bool hasIdle(const base::Address&, RepeatKind) const;

    // Keeps a connection for later. `idleLimit`: after which the replica closes it, if it says so.
    void giveBack(std::unique_ptr<net::HttpConnection>, std::optional<base::Seconds> idleLimit);

    // Closes all kept connections to an address: another replica may have it now.
    void forget(const base::Address&);

    // Closes connections that have been idle for too long. Call about once a second.
    void sweep();

private:
    struct Kept {
        std::unique_ptr<net::HttpConnection> connection;
        base::BootTime since;
        base::BootTime until;
    };

    net::Loop& m_loop;
    ChannelOptions m_options;
    std::map<std::string, std::vector<Kept>> m_kept; // by address
};

} // namespace rattanshunt::gateway

// Stand-in for the platform: key-value service, instance list, weight store, with faults on command.
//
//   POST /v3/kv/range, /v3/kv/txn, /v3/lease/grant, /v3/lease/keepalive, /v3/lease/revoke, /v3/watch
//   GET  /instances?since=V        PUT /instances (one instance)
//   POST /weights/fetch            {"model", "millis"}: answers when the checkpoint has been fetched
//   POST /faults                   {"kv": "ok" | "down" | "slow", "delay_ms", "lose_every", "store_factor",
//   "list_lag_ms"} GET  /calls                    counts of calls
#pragma once

#include <memory>
#include <string>

#include "net/Http.h"

namespace rattanshunt::lab {

struct PlatformStandInOptions {
    base::Address listen { "127.0.0.1", 0 };
    double maxLoadStartsPerSecond = 2; // starts of loads
    double maxFullSpeedLoads = 4;      // loads at once at full speed
    base::Millis listLag { 500 };      // before a change of an instance is listed
};

class PlatformStandIn {
public:
    PlatformStandIn(net::Loop&, const PlatformStandInOptions&);
    ~PlatformStandIn();

    bool listen(base::Address& address, std::string& error);
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

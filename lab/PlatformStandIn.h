// Simulated platform: key-value service, instance list and weight store, with injected faults.
//
//   POST /v3/kv/range, /v3/kv/txn, /v3/lease/grant, /v3/lease/keepalive, /v3/lease/revoke, /v3/watch
//   GET  /instances?since=V        PUT /instances (one instance)
//   POST /weights/fetch            {"model", "millis"}: responds when the checkpoint has been fetched
//   POST /faults                   {"kv": "ok" | "down" | "slow", "delay_ms", "lose_every", "store_factor",
//                                  "list_lag_ms"}
//   GET  /calls                    number of calls by path, and of key-value reads and writes
//
// "down": key-value calls hang and leases do not expire. "slow": each call is delayed by "delay_ms". "lose_every": the
// connection is closed instead of sending every n-th key-value response, after the call took effect; 0 ends the fault.
// "store_factor": multiplies load times. Thread safety: use from the loop's thread only.
#pragma once

#include <memory>
#include <string>

#include "net/Http.h"

namespace rattanshunt::lab {

struct PlatformStandInOptions {
    base::Address listen { "127.0.0.1", 0 };
    double maxLoadStartsPerSecond = 2; // of the weight store
    double maxFullSpeedLoads = 4;      // more concurrent loads than this share the weight store's bandwidth
    base::Millis listLag { 500 };      // until a change of an instance appears in the list
};

class PlatformStandIn {
public:
    PlatformStandIn(net::Loop&, const PlatformStandInOptions&);
    ~PlatformStandIn();

    // Listens on `address` and sets it to the bound address. Returns false and sets `error` on failure.
    bool listen(base::Address& address, std::string& error);
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

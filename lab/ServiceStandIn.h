// Simulated plain service that counts how often each call was executed.
//
//   any path          executes the call, identified by the body's "call" field or the Idempotency-Key header
//   GET /runs         number of executions by call, and whether an Authorization header was ever received
//   POST /faults      {"cut_answers": n, "delay_ms": n}: the next n calls are executed but get no response
//
// Thread safety: use from the loop's thread only.
#pragma once

#include <memory>
#include <string>

#include "net/Http.h"

namespace rattanshunt::lab {

class ServiceStandIn {
public:
    explicit ServiceStandIn(net::Loop&);
    ~ServiceStandIn();

    // Listens on `address` and sets it to the bound address. Returns false and sets `error` on failure.
    bool listen(base::Address& address, std::string& error);
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

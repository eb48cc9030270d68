// Stand-in for a plain service that counts how often each call was run.
//
//   any path          runs the call; the body's "call" field, or the Idempotency-Key, names it
//   GET /runs         counts by call
//   POST /faults      {"cut_answers": n, "delay_ms": n}: the next n answers are lost after the call was run
#pragma once

#include <memory>
#include <string>

#include "net/Http.h"

namespace rattanshunt::lab {

class ServiceStandIn {
public:
    explicit ServiceStandIn(net::Loop&);
    ~ServiceStandIn();

    bool listen(base::Address& address, std::string& error);
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

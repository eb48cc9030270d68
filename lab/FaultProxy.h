// Loopback TCP proxy that injects network faults: delay, reset, and stalls in one or both directions.
// Thread safety: use from the loop's thread only.
#pragma once

#include <memory>
#include <string>

#include "base/Text.h"
#include "net/Loop.h"

namespace rattanshunt::lab {

enum class ProxyMode {
    Pass,
    Delay,           // each chunk read is forwarded after a delay
    Reset,           // open and new connections are closed
    Stall,           // connections are accepted, but data is held in both directions until the mode changes
    StallToTarget,   // data to the target is held until the mode changes
    StallFromTarget, // data from the target is held until the mode changes
};

class FaultProxy {
public:
    FaultProxy(net::Loop&, const base::Address& target);
    ~FaultProxy();

    // Listens on a free loopback port; see address(). Returns false and sets `error` on failure.
    bool listen(std::string& error);

    // Applies to open and new connections. `delay` is used by ProxyMode::Delay only.
    void setMode(ProxyMode, base::Millis delay = base::Millis(0));
    // Holds what clients send from a chunk on that begins so, and answers nothing, until the prefix changes; the
    // connection is closed then. Empty: nothing is held.
    void setHeldPrefix(const std::string& prefix);
    void setTarget(const base::Address&); // for connections accepted from now on
    void stop();

    base::Address address() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

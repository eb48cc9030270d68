// A loopback proxy that delays, resets, silences or cuts connections one way. Own thread only.
#pragma once

#include <memory>
#include <string>

#include "base/Text.h"
#include "net/Loop.h"

namespace rattanshunt::lab {

enum class ProxyMode {
    Pass,
    Delay,           // each piece of data is held for a while
    Reset,           // connections are closed, new ones too
    Stall,           // connections are accepted and nothing passes
    StallToTarget,   // nothing passes towards the target
    StallFromTarget, // nothing passes back
};

class FaultProxy {
public:
    FaultProxy(net::Loop&, const base::Address& target);
    ~FaultProxy();

    bool listen(std::string& error); // on a free loopback port
    void setMode(ProxyMode, base::Millis delay = base::Millis(0));
    void setTarget(const base::Address&); // for connections from now on
    void stop();

    base::Address address() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

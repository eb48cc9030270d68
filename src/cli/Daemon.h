// One daemon: the control thread, the traffic threads and everything that runs on them.
#pragma once

#include <memory>
#include <string>

#include "settings/Settings.h"

namespace rattanshunt::cli {

// The addresses that a daemon listens on; ports are known even if 0 was asked for.
struct DaemonAddresses {
    base::Address client;
    base::Address peer;
    base::Address admin;
};

// Runs until SIGTERM or SIGINT and a graceful stop, or until `SIGQUIT`, which stops at once. Gives the process's exit
// code: 0 after a graceful stop, 1 if an address could not be bound. The calling thread becomes the control thread.
int daemonRun(const settings::Settings&);

} // namespace rattanshunt::cli

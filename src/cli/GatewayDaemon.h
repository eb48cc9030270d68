// The gateway (`rattanshunt gateway`) as a process with one thread and one event loop.
#pragma once

#include "settings/GatewaySettings.h"

namespace rattanshunt::cli {

// Runs until SIGTERM or SIGINT and then ends the process after a graceful stop. Ends it with exit code 1 if an address
// cannot be bound. SIGHUP makes it read the settings file again.
int gatewayRun(const settings::GatewaySettings&);

} // namespace rattanshunt::cli

// The gateway as a process: one thread, one loop.
#pragma once

#include "settings/GatewaySettings.h"

namespace rattanshunt::cli {

// Runs until SIGTERM and a graceful stop. Gives the process's exit code.
int gatewayRun(const settings::GatewaySettings&);

} // namespace rattanshunt::cli

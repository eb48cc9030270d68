// How the settings of `rattanshunt gateway` become the options of its parts. Separate from the daemon, so that tests
// run fleets with the intervals that a deployment has.
//
// Pure functions; safe to call from any thread.
#pragma once

#include "gateway/Gateway.h"
#include "hub/HubSync.h"
#include "reach/ReplicaDialer.h"
#include "settings/GatewaySettings.h"

namespace rattanshunt::cli {

gateway::GatewayOptions gatewayOptions(const settings::GatewaySettings&);
hub::HubSyncOptions hubSyncOptions(const settings::GatewaySettings&);
reach::DialerOptions dialerOptions(const settings::GatewaySettings&);

} // namespace rattanshunt::cli

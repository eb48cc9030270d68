// Settings of the gateway (`rattanshunt gateway`), which serves requests from a platform's replicas.
//
// They are flags like those of Settings.h and may also be set in a file of `--flag=value` lines, whose path is in the
// environment variable RATTANSHUNT_NODE_FILE. The gateway reads the file again on SIGHUP and when its content changes;
// settings that cannot change in a running process keep their value. All functions access gflags: call them on one
// thread only.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "settings/Settings.h"

namespace rattanshunt::settings {

struct GatewaySettings {
    // Read at start only.
    std::string name; // of this daemon, unique in the fleet
    std::string dataCenter;
    base::Address clientListen;  // for clients
    base::Address peerListen;    // for other daemons
    base::Address readyListen;   // for the readiness probe
    base::Address metricsListen; // for metrics
    base::Address storeAddress;  // of the platform's metadata store
    double cpuCores = 1;         // cores of this instance, also a part of one
    double linkMbps = 1000;      // bandwidth of this instance's network link, in Mbit/s

    double memoryMb = 0;       // memory of this instance in MB; 0: unknown
    size_t maxDescriptors = 0; // that this instance may have open; 0: unknown

    // Read again with the file. Those that only HubSync uses (maxReplicaRemovalDelay, replicaEntryInterval,
    // orderHandoverDelay, quotaWindow, quotaSlack, coldExcess, coldSlack, geos, transferCostPerMb,
    // transferDelay, and maxConfigurationDelay for its
    // synchronization interval) nevertheless keep their value.
    base::LogLevel logLevel = base::LogLevel::Info; // lowest level that is logged
    base::Millis maxConfigurationDelay { 2000 };    // until a change of the configuration must be in force
    base::Millis maxRevocationDelay { 5000 };       // until a withdrawn API key must be refused, also while isolated
    base::Millis maxReplicaRemovalDelay { 2000 };   // until nothing may be sent to a replica that is leaving
    base::Millis replicaEntryInterval { 1200 };     // between two writes of a replica's entry in the store
    base::Millis orderHandoverDelay { 3000 };       // between the last order of one hub and the first of the next
    base::Seconds terminationGracePeriod { 8 };     // from SIGTERM to SIGKILL
    base::Seconds retryWindow { 10 };               // over which retries are counted
    double retryRatio = 0.2;                        // retries per request of a service
    double extraRetries = 100;                      // further retries of the whole fleet per window
    base::Seconds quotaWindow { 8 };                // over which an account's limit is measured
    bool quotaReservations = false;                 // requests of an account that is short of tokens are scheduled
    double quotaSlack = 0;                          // tokens that the fleet may grant beyond an account's limit
    double coldExcess = 1.5;                        // times its rate that a cold replica may get in a second
    double coldSlack = 5;                           // requests beyond that
    std::map<std::string, std::string> geos;        // by data centre
    // Both 0: replicas of other data centres have a fixed cost, see spill/SpillPlan.h.
    double transferCostPerMb = 0;     // seconds of a caller's time that a megabyte between data centres costs
    base::Millis transferDelay { 0 }; // that a request takes longer in another data centre
};

// The path in RATTANSHUNT_NODE_FILE; nothing if the variable is not set.
std::optional<std::string> settingsFilePath();

// Sets flags from a file; other lines than `--flag=value` are ignored. Appends an error if the file cannot be read, and
// for each unknown flag and malformed value.
void settingsReadFile(const std::string& path, std::vector<SettingError>& errors);

// Reads and validates the flags. All errors are appended to `errors`; if there are any, the settings must not be used.
GatewaySettings gatewaySettingsFromFlags(std::vector<SettingError>& errors);

} // namespace rattanshunt::settings

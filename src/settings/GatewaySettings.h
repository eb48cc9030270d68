// Settings of the gateway: the product in front of a platform's replicas.
//
// They are flags like the others (Settings.h) and may also stand in a file, one `--flag=value` a line, whose path the
// variable RATTANSHUNT_NODE_FILE names. The file is read again at SIGHUP and when it changes; what can't change while
// the process runs keeps its value.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "settings/Settings.h"

namespace rattanshunt::settings {

struct GatewaySettings {
    // Fixed while the process runs.
    std::string name;
    std::string dataCenter;
    base::Address clientListen;
    base::Address peerListen;
    base::Address readyListen;
    base::Address metricsListen;
    base::Address storeAddress;
    double cpuCores = 1;    // of a core
    double linkMbps = 1000; // of the instance's own link

    // May change.
    base::LogLevel logLevel = base::LogLevel::Info;
    base::Millis maxConfigurationDelay { 2000 }; // until a change must be in force
    base::Millis maxRevocationDelay { 5000 };    // until a withdrawn key must be refused, whatever the daemon can reach
    base::Millis maxReplicaRemovalDelay { 2000 }; // until nothing may reach a replica that is leaving
    base::Millis orderHandoverDelay { 3000 };     // between orders of two holders
    base::Seconds terminationGracePeriod { 8 };   // between SIGTERM and SIGKILL
    base::Seconds retryWindow { 10 };
    double retryRatio = 0.2;
    double extraRetries = 100;
    base::Seconds quotaWindow { 8 };
    double quotaSlack = 0;
};

// The file that RATTANSHUNT_NODE_FILE names; nothing if the variable is not set.
std::optional<std::string> settingsFilePath();

// Reads the flags in a file. Faults are appended. Call on one thread only.
void settingsReadFile(const std::string& path, std::vector<SettingError>& errors);

// Checks the flags. Faults are appended.
GatewaySettings gatewaySettingsFromFlags(std::vector<SettingError>& errors);

} // namespace rattanshunt::settings

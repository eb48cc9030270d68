// Settings of the product: flags, environment variables, checks.
//
// Each setting is a gflags flag and, as RATTANSHUNT_<FLAG> in upper case, an environment variable; the flag goes
// first. settingsCheck() reports all faults at once. docs/OPERATIONS.md has the table, made by `rattanshunt settings`.
#pragma once

#include <string>
#include <vector>

#include "base/Log.h"
#include "base/Text.h"
#include "base/Time.h"

namespace rattanshunt::settings {

struct Settings {
    std::string name;       // of this daemon, unique in the fleet
    std::string instanceId; // the platform's identifier of this instance
    std::string dataCenter;
    base::Address clientListen;
    base::Address peerListen;
    base::Address adminListen;
    std::vector<base::Address> platformAddresses; // key-value service and instance list
    std::vector<base::Address> seedPeers;         // asked at start if the platform does not answer
    std::string fleetSecret;                      // daemons prove to each other that they hold it
    std::string adminTokenDigest; // SHA-256 of the operators' token, hexadecimal; empty: no token needed
    size_t trafficThreads = 1;
    base::LogLevel logLevel = base::LogLevel::Info;

    base::Millis defaultDeadline { 60000 };   // for a request that names none
    base::Millis maxDeadline { 600000 };      // longest that a caller may ask for
    base::Millis firstTokenTimeout { 10000 }; // silence of an endpoint before its first byte
    base::Millis streamTimeout { 5000 };      // silence of an endpoint in the middle of a stream
    base::Millis connectTimeout { 1000 };     //
    size_t retryBudgetPercent = 10;           // repeats for each hundred requests
    size_t maxQueued = 2000;                  // requests that wait for a replica, for each traffic thread
    size_t maxConnections = 20000;            // of callers, for each traffic thread
    size_t maxBodyBytes = 1024 * 1024;
    size_t maxOutputTokens = 32768; // that a request may ask for

    base::Seconds sessionTimeToLive { 10 }; // of the lease in the KV
    base::Millis freshnessLimit { 2500 };   // age of knowledge on which keyed requests are served
    base::Millis headCheckInterval { 500 }; // between two looks at the KV's revision (relays)
    size_t relaysPerDataCenter = 2;
    size_t budgetSlots = 4;
    base::Millis tokenValidity { 100 };
    base::Seconds shareTerm { 1800 };
    size_t maxStoreLoads = 4;
    size_t maxAdapterLoads = 30;
    base::Millis drainDelay { 2000 };  // between "not ready" and the end of accepting, at a stop
    base::Seconds stopTimeout { 120 }; // for requests to end, at a stop
};

struct SettingError {
    std::string flag;
    std::string value;
    std::string allowed;
};

// Copies RATTANSHUNT_* variables into flags that were not set yet; call before parsing the command line.
// Gives variables of that prefix that name no flag.
std::vector<SettingError> settingsFromEnvironment();

// Reads the flags. All faults are appended to `faults`.
Settings settingsFromFlags(std::vector<SettingError>& errors);

// The level that a setting's text names; a fault is appended if it names none.
base::LogLevel logLevelParse(const std::string& value, std::vector<SettingError>& errors);

std::string settingErrorText(const SettingError&);

// A Markdown table of all settings, for docs/OPERATIONS.md.
std::string settingsTable();

} // namespace rattanshunt::settings

// Settings of the daemon (`rattanshunt serve`): flags, environment variables, validation.
//
// Each setting is a gflags flag and, as RATTANSHUNT_<FLAG> in upper case, an environment variable; the flag takes
// precedence. settingsFromFlags() reports all errors at once. docs/OPERATIONS.md contains the table that `rattanshunt
// settings` prints. All functions access gflags: call them on one thread only.
#pragma once

#include <string>
#include <vector>

#include "base/Log.h"
#include "base/Text.h"
#include "base/Time.h"

namespace rattanshunt::settings {

// Addresses are "IP:PORT" in the flags.
struct Settings {
    std::string name;       // of this daemon, unique in the fleet
    std::string instanceId; // the platform's identifier of this instance
    std::string dataCenter;
    base::Address clientListen;                   // for clients
    base::Address peerListen;                     // for other daemons
    base::Address adminListen;                    // for operators, probes and counters
    std::vector<base::Address> platformAddresses; // of the platform's key-value service and instance list
    std::vector<base::Address> seedPeers;         // daemons to ask at start if the platform does not answer
    std::string fleetSecret;                      // by which daemons authenticate to each other
    std::string adminTokenDigest; // SHA-256 of the operators' token in hexadecimal; empty: no token required
    size_t trafficThreads = 1;    // threads that serve clients
    base::LogLevel logLevel = base::LogLevel::Info; // lowest level that is logged

    base::Millis defaultDeadline { 60000 };   // for a request that has no deadline
    base::Millis maxDeadline { 600000 };      // longest deadline that a client may request
    base::Millis firstTokenTimeout { 10000 }; // longest wait for the first byte of an endpoint's response
    base::Millis streamTimeout { 5000 };      // longest wait for the next bytes of an endpoint's stream
    base::Millis connectTimeout { 1000 };     // for a connection to an endpoint
    size_t retryBudgetPercent = 10;           // retries per 100 requests
    size_t maxQueued = 2000;                  // requests that wait for a replica, per traffic thread
    size_t maxConnections = 20000;            // connections of clients, per traffic thread
    size_t maxBodyBytes = 1024 * 1024;        // of a request
    size_t maxOutputTokens = 32768;           // that a request may ask for

    base::Seconds sessionTimeToLive { 10 }; // of the daemon's lease in the key-value service
    base::Millis freshnessLimit { 2500 };   // oldest configuration on which requests with API keys are served
    base::Millis headCheckInterval { 500 }; // between two checks for a newer revision of the configuration
    size_t relaysPerDataCenter = 2;         // daemons that watch the key-value service for the others
    size_t budgetSlots = 4;                 // slots into which each account's rate is divided; the same on all daemons
    base::Millis tokenValidity { 100 };     // of rate tokens that a daemon has borrowed; the same on all daemons
    base::Seconds shareTerm { 1800 };       // for which a slot's holder may lend without the key-value service
    size_t maxStoreLoads = 4;               // concurrent loads of models from the weight store
    size_t maxAdapterLoads = 30;            // concurrent loads of adapters
    base::Millis drainDelay { 2000 };       // at a stop: between reporting not ready and closing the listening socket
    base::Seconds stopTimeout { 120 };      // at a stop: for requests in progress to end
};

struct SettingError {
    std::string flag; // or environment variable
    std::string value;
    std::string allowed; // description of the allowed values
};

// Sets flags from RATTANSHUNT_* environment variables. Call before parsing the command line, so that its flags take
// precedence. Returns an error for each malformed value and for each variable with that prefix that names no flag.
std::vector<SettingError> settingsFromEnvironment();

// Reads and validates the flags. All errors are appended to `errors`; if there are any, the settings must not be used.
Settings settingsFromFlags(std::vector<SettingError>& errors);

// The log level called `value`. Appends an error if there is none.
base::LogLevel logLevelParse(const std::string& value, std::vector<SettingError>& errors);

// One line for operators, without a line end.
std::string settingErrorText(const SettingError&);

// A Markdown table of all settings, for docs/OPERATIONS.md, including those of the gateway.
std::string settingsTable();

} // namespace rattanshunt::settings

// The operator's configuration: routes, services, client accounts and limits.
//
// Contents
//   [1] Data            Route, ModelSpec, Engine, Service, Account, CallerLimits, Configuration,
//                       ConfigurationStamp, configurationIsNewer()
//   [2] Look-ups        routeFind(), serviceSelect(), routeFirstByteTimeout(), accountFindByKey()
//
// A configuration is immutable once built and is shared by pointer. Pure functions; safe to call from any thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "attempts/RetryPolicy.h"
#include "base/Time.h"
#include "coordination/Kv.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

using attempts::RetryClass;

struct ServiceWeight {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    std::string prefix; // path prefix; begins and ends with a slash
    RetryClass retryClass = RetryClass::AtMostOnce;
    bool isStream = false;
    bool isPublic = false;               // requires no API key
    base::Millis timeout { 30000 };      // until the response is complete
    base::Millis targetLatency { 1000 }; // target time to the first byte of the response body
    base::Millis targetGap { 0 };        // target for the longest pause between two events of a stream
    int priority = 5;                    // 0 is the most urgent
    int maxAttempts = 1;                 // attempts that may execute the request
    std::vector<ServiceWeight> services; // one is selected by weight
    std::vector<std::string> homes;      // geos whose replicas may serve it; empty: all
};

struct ModelSpec {
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
    int adapters = 0;
    base::Millis storeLoadTime { 6000 }; // load time from the weight store
    base::Millis diskLoadTime { 1000 };  // load time from the replica's disk
    base::Millis memoryLoadTime { 500 }; // load time from the replica's host memory
};

// Properties shared by all replicas of an engine service.
struct Engine {
    double slots = 1;               // requests that a replica executes at once
    double kvCapacityTokens = 0;    // capacity of the KV cache, for running and cached tokens
    double weightsMb = 0;           // memory for weights and adapters, in MB
    size_t adapterSlots = 0;        // adapters that a replica can hold
    double storeLoadsPerSecond = 1; // rate of weight loads, over all replicas
    std::map<std::string, ModelSpec> models;
};

struct Service {
    std::string name;
    size_t maxConnections = 100;         // per replica, of all callers together
    std::optional<double> coldPerSecond; // requests that a cold replica accepts; empty: replicas do not turn cold
    base::Millis coldTime { 3000 };      // for which a replica is cold after its start
    std::optional<Engine> engine;
};

struct Account {
    std::string name;
    int priority = -1;           // overrides the route's priority if not negative
    bool isTokenMetered = false; // limits count tokens instead of requests
    double defaultTokens = 1;    // cost of a request that states no token count
    double rate = 0;             // requests or tokens per second; 0: unlimited
    double burst = 0;            // requests or tokens
    std::vector<std::string> keys;
    std::vector<std::string> homes; // geos whose replicas may serve its requests; empty: all
};

// Limits on what a caller may send and how long it may take.
struct CallerLimits {
    size_t maxHeaderBytes = 16 * 1024;
    size_t maxBodyBytes = 4 * 1024 * 1024;
    base::Millis headerTimeout { 3000 };
    base::Millis idleTimeout { 15000 };
};

struct Configuration {
    int64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::map<std::string, Account> accounts;
    CallerLimits limits;

    std::unordered_map<std::string, std::vector<size_t>> routesByHost; // longest prefix first
    std::unordered_map<std::string, std::string> accountByKey;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

// Where a configuration stands among others.
struct ConfigurationStamp {
    int64_t version = 0;
    coordination::Revision revision = 0; // in the store; 0: there is none
};

// Whether `a` is newer than `b`. Within an era of the store the revision decides. Over eras the version does: what a
// store holds after it was restored from an older copy is older than what was read before.
inline bool configurationIsNewer(const ConfigurationStamp& a, const ConfigurationStamp& b)
{
    if (coordination::revisionEra(a.revision) == coordination::revisionEra(b.revision))
        return a.revision > b.revision;
    return std::tie(a.version, a.revision) > std::tie(b.version, b.revision);
}

// ---- [2] Look-ups ------------------------------------------------------------------------------

// Builds routesByHost and accountByKey. Call once, after the other members are complete.
void configurationBuildIndexes(Configuration&);

// The route of `host` with the longest prefix that matches `path`; null if there is none. Both arguments may be as the
// request has them: a port in `host` and a query in `path` are ignored.
const Route* routeFind(const Configuration&, std::string_view host, std::string_view path);

// Selects a service by weight. `randomDraw` is uniform in 0 to 1. Null if the route has no usable service.
const Service* serviceSelect(const Configuration&, const Route&, double randomDraw);

// How long callers of the route wait for the first byte before they disconnect.
base::Millis routeFirstByteTimeout(const Route&);

// The account with this API key; null if there is none.
const Account* accountFindByKey(const Configuration&, std::string_view key);

} // namespace rattanshunt::gateway

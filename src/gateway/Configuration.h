// What the operator has configured: routes, services, client accounts and limits.
//
// Contents
//   [1] Data            Route, Service, Engine, ModelSpec, Account, CallerLimits, Configuration
//   [2] Look-ups        routeFind(), serviceDraw(), accountOfKey()
//
// A configuration is immutable once built and shared by pointer. Pure; safe from any thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "attempts/RetryPolicy.h"
#include "base/Time.h"

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
    std::string prefix; // of the path; begins and ends with a slash
    RetryClass retryClass = RetryClass::AtMostOnce;
    bool isStream = false;
    bool isPublic = false;               // needs no key
    base::Millis timeout { 30000 };      // longest time to an answer
    base::Millis targetLatency { 1000 }; // to the first byte that counts
    base::Millis targetGap { 0 };        // longest pause between events of a stream that is on time
    int priority = 5;                    // 0 is served first
    int maxAttempts = 1;                 // replicas that one request may be sent to
    std::vector<ServiceWeight> services; // shares of the traffic
};

struct ModelSpec {
    std::string name;
    double weightsMb = 0;
    double adapterMb = 0;
    int adapters = 0;
    base::Millis storeLoadTime { 6000 }; // time to load from the weight store
    base::Millis diskLoadTime { 1000 };  // from the replica's disk
    base::Millis memoryLoadTime { 500 }; // from the replica's host memory
};

// What all replicas of an engine service have in common.
struct Engine {
    double slots = 1;
    double kvCapacityTokens = 0;    // memory for running and cached tokens
    double weightsMb = 0;           // memory for weights and adapters
    size_t adapterSlots = 0;        //
    double storeLoadsPerSecond = 1; // of weights, over all replicas
    std::map<std::string, ModelSpec> models;
};

struct Service {
    std::string name;
    size_t maxConnections = 100; // of all callers together, for each replica
    std::optional<Engine> engine;
};

struct Account {
    std::string name;
    int priority = -1; // replaces the route's if not negative
    bool isTokenMetered = false;
    double defaultTokens = 1; // cost of a request that names no tokens
    double rate = 0;          // a second; 0: not limited
    double burst = 0;
    std::vector<std::string> keys;
};

// What a caller may send, and how long it may take.
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

// ---- [2] Look-ups ------------------------------------------------------------------------------

// Fills the indexes. Call once, after the lists are complete.
void configurationBuildIndexes(Configuration&);

// The route of `host` with the longest prefix of `path`; null if there is none. `path` may carry a query.
const Route* routeFind(const Configuration&, std::string_view host, std::string_view path);

// The service that a request with this draw (0 to 1) goes to; null if the route has none.
const Service* serviceSelect(const Configuration&, const Route&, double draw);

// How long callers of the route wait for the first byte before they leave.
base::Millis routeFirstByteTimeout(const Route&);

const Account* accountFindByKey(const Configuration&, std::string_view key);

} // namespace rattanshunt::gateway

// Load generator: sends completions and service calls, checks every response and counts the outcomes.
//
// Open loop by default: requests start at random times at a given mean rate, whether or not earlier ones have ended.
// With LoadPlan::concurrency, closed loop: a fixed number of requests is kept in flight, to measure saturation.
// For loopback targets only. Thread safety: use from the loop's thread only.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/Http.h"

namespace rattanshunt::lab {

struct LoadKind {
    std::string name;               // key of its LoadTally in the result
    double share = 1;               // of all requests, relative to the other kinds' shares
    std::string apiKey;             // if empty, no Authorization header is sent
    std::string model;              // for completions; if empty, requests are service calls
    std::string path;               // of service calls
    bool hasIdempotencyKey = false; // each service call carries a unique idempotency key
    bool isStream = false;
    size_t maxTokens = 16;
    size_t promptBytes = 64;
    std::string priorityClass; // name of the priority class; if empty, the model's default
    base::Millis deadline { 30000 };
};

struct LoadPlan {
    std::vector<base::Address> targets; // used round-robin
    std::vector<LoadKind> kinds;
    double rate = 100;      // requests per second, in open loop
    size_t concurrency = 0; // requests in flight; above 0: closed loop
    base::Duration duration = base::Seconds(5);
    size_t maxRequests = 0; // total of the run; 0: unlimited
    uint64_t seed = 1;
    bool reusesConnections = true;
};

struct LoadTally {
    int64_t sent = 0;
    int64_t whole = 0;                      // complete responses with correct content
    int64_t wrong = 0;                      // formally complete responses with wrong content
    int64_t unknown = 0;                    // reported as "outcome unknown", or the response was cut off
    int64_t unreachable = 0;                // no target could be connected to
    int64_t silent = 0;                     // no complete response by the deadline
    std::map<std::string, int64_t> refused; // refused without being executed, by reason
    std::vector<double> responseSeconds;    // from sending to the end, of each complete response
    std::vector<double> firstByteSeconds;
    std::vector<std::string> sentCalls;        // identifiers of all service calls sent
    std::vector<std::string> answeredCalls;    // of those with a complete response
    std::vector<std::string> notExecutedCalls; // of those refused without being executed
};

using LoadResult = std::map<std::string, LoadTally>; // by LoadKind::name

// Runs a plan. Suspends until all requests have ended. Precondition: called in a fiber of the loop.
LoadResult loadRun(net::Loop&, const LoadPlan&);

LoadTally loadSum(const LoadResult&);
double quantileOf(std::vector<double> values, double fraction); // `fraction` from 0 to 1; 0 if `values` is empty
nlohmann::json loadJson(const LoadResult&, base::Duration elapsed);
std::string loadText(const LoadResult&, base::Duration elapsed);

// Reads the request kinds of a plan from a JSON list. Throws std::runtime_error that names the faulty item.
std::vector<LoadKind> loadKindsParse(const nlohmann::json&);

} // namespace rattanshunt::lab

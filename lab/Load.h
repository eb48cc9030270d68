// Load generator: sends completions and service calls at a set rate and checks every answer.
//
// Open loop: requests start by the clock, whether or not earlier ones have ended. With `concurrency` set, closed loop:
// so many requests are kept under way, for saturation. Loopback addresses only.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/Http.h"

namespace rattanshunt::lab {

struct LoadKind {
    std::string name;               // in the results
    double share = 1;               // of the requests, relative to the other kinds
    std::string apiKey;             // key; empty: none is sent
    std::string model;              // completions; empty: a service call
    std::string path;               // of a service call
    bool hasIdempotencyKey = false; // service calls: each carries one of its own
    bool isStream = false;
    size_t maxTokens = 16;
    size_t promptBytes = 64;
    std::string priorityClass; // class; empty: the model's
    base::Millis deadline { 30000 };
};

struct LoadPlan {
    std::vector<base::Address> targets; // used in turn
    std::vector<LoadKind> kinds;
    double rate = 100;      // requests a second
    size_t concurrency = 0; // above 0: closed loop
    base::Duration duration = base::Seconds(5);
    size_t maxRequests = 0; // above 0: stop after so many requests
    uint64_t seed = 1;
    bool reusesConnections = true;
};

struct LoadTally {
    int64_t sent = 0;
    int64_t whole = 0;                      // whole answers whose every token was right
    int64_t wrong = 0;                      // whole by their marks, but with other content
    int64_t unknown = 0;                    // told "outcome unknown", or the stream was cut
    int64_t unreachable = 0;                // no connection: the balancer would have tried another instance
    int64_t silent = 0;                     // no answer at all by the deadline
    std::map<std::string, int64_t> refused; // not run, by reason
    std::vector<double> responseSeconds;    // of whole answers
    std::vector<double> firstByteSeconds;
    std::vector<std::string> sentCalls;        // identifiers of service calls that were sent
    std::vector<std::string> answeredCalls;    // of those answered whole
    std::vector<std::string> notExecutedCalls; // of those refused, not run
};

using LoadResult = std::map<std::string, LoadTally>; // by kind

// Runs a plan in fibers of the calling loop. Suspends until all requests have ended.
LoadResult loadRun(net::Loop&, const LoadPlan&);

LoadTally loadSum(const LoadResult&);
double quantileOf(std::vector<double> values, double part); // 0 if empty
nlohmann::json loadJson(const LoadResult&, base::Duration elapsed);
std::string loadText(const LoadResult&, base::Duration elapsed);

// Reads a plan's kinds from JSON. Throws std::runtime_error that names the field.
std::vector<LoadKind> loadKindsParse(const nlohmann::json&);

} // namespace rattanshunt::lab

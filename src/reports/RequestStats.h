// What happened to requests, minute by minute: the source of the service-level report.
//
// Contents
//   [1] RequestRecord   one request's end
//   [2] Book            sums by minute, client account and model
//   [3] Exchange        to and from JSON, merging the books of many daemons
//
// Minutes are those of the wall clock, because the regulator counts them. Pure; a book belongs to one thread, or its
// owner guards it with a lock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/Time.h"

namespace rattanshunt::reports {

// ---- [1] RequestRecord -------------------------------------------------------------------------

struct RequestRecord {
    std::string account;                  // empty: not known, or an open route
    std::string subject;                  // model, adapter or route
    std::string reason;                   // "none": the whole answer was given
    bool isRefusal = false;               // refused, not run
    bool isOutcomeUnknown = false;        // outcome unknown
    bool isClientError = false;           // does not count against the service
    bool wasColdStart = false;            // waited for a replica to be loaded
    base::Duration coldStartWait { 0 };   // for it
    base::Duration timeToFirstByte { 0 }; // from arrival to the first byte of the answer
    double tokens = 0;
};

// ---- [2] Book ----------------------------------------------------------------------------------

using Minute = int64_t; // since 1970

struct RequestCounts {
    int64_t requests = 0;
    int64_t complete = 0;
    int64_t unknownOutcomes = 0;
    int64_t clientErrors = 0;   // refused or left, by the caller's own doing
    int64_t refusedWrongly = 0; // refused although within rate and well formed
    double tokens = 0;
    std::map<std::string, int64_t> failureReasons;     // of wrongful refusals and unknown outcomes
    std::map<std::string, int64_t> clientErrorReasons; // of what the caller did itself
};

constexpr size_t latencyHistogramBuckets = 96; // each step is a quarter longer than the one before; from 1 ms
using LatencyHistogram = std::array<int64_t, latencyHistogramBuckets>;

struct RequestStats {
    std::map<Minute, std::map<std::string, RequestCounts>> accounts; // by minute and account
    std::map<Minute, std::map<std::string, RequestCounts>> subjects; // by minute and model or route
    std::map<std::string, LatencyHistogram> coldStartWaits;          // by model
    LatencyHistogram timesToFirstByte {};
};

constexpr Minute requestStatsRetention = 24 * 60; // older minutes are dropped

void requestStatsRecord(RequestStats&, const RequestRecord&, Minute now);
void requestStatsMerge(RequestStats&, const RequestStats& other);
void requestCountsMerge(RequestCounts&, const RequestCounts& other);
void latencyHistogramAdd(LatencyHistogram&, base::Duration);

// The time below which `part` of the entries lie; 0 if there are none.
base::Duration latencyHistogramQuantile(const LatencyHistogram&, double fraction);
int64_t latencyHistogramCount(const LatencyHistogram&);
Minute minuteNow();

// ---- [3] Exchange ------------------------------------------------------------------------------

nlohmann::json requestStatsToJson(const RequestStats&);
RequestStats requestStatsFromJson(const nlohmann::json&); // throws nlohmann::json::exception if malformed

} // namespace rattanshunt::reports

// Request statistics by minute: the source of the service-level report.
//
// Contents
//   [1] RequestRecord   how one request ended
//   [2] RequestStats    counts by minute, client account and model; RequestCounts, LatencyHistogram
//   [3] Exchange        JSON form, in which daemons send their statistics to the one that merges them
//
// Minutes are those of the wall clock, because the regulator counts refused minutes by it. Functions perform no I/O and
// use only their arguments, except minuteNow(). A RequestStats is not thread-safe: it must be used by one thread only
// or guarded by a lock.
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
    std::string account;                  // client account; empty: not known, or a public route
    std::string subject;                  // model, adapter or route
    std::string reason;                   // "none" if the response was complete
    bool isRefusal = false;               // refused without being run
    bool isOutcomeUnknown = false;        // the request may or may not have been run
    bool isClientError = false;           // caused by the client; does not count against the service level
    bool wasColdStart = false;            // waited until its model was loaded
    base::Duration coldStartWait { 0 };   // duration of that wait
    base::Duration timeToFirstByte { 0 }; // from arrival to the first byte of the response
    double tokens = 0;                    // used by the request
};

// ---- [2] RequestStats --------------------------------------------------------------------------

using Minute = int64_t; // minutes since 1970-01-01 00:00 UTC

// Requests of one minute and one account or subject, or sums of them.
struct RequestCounts {
    int64_t requests = 0;
    int64_t complete = 0;        // complete responses
    int64_t unknownOutcomes = 0; // may or may not have been run
    int64_t clientErrors = 0;    // refused or abandoned because of the client
    int64_t refusedWrongly = 0;  // refused although well formed and within the account's rate
    double tokens = 0;
    std::map<std::string, int64_t> failureReasons;     // number of wrongful refusals and unknown outcomes by reason
    std::map<std::string, int64_t> clientErrorReasons; // number of client errors by reason
};

constexpr size_t latencyHistogramBuckets = 96;
// Bucket 0 holds durations up to 1 ms; the upper limit of each further bucket is a quarter above that of the one
// before.
using LatencyHistogram = std::array<int64_t, latencyHistogramBuckets>;

struct RequestStats {
    std::map<Minute, std::map<std::string, RequestCounts>> accounts; // by minute and account
    std::map<Minute, std::map<std::string, RequestCounts>> subjects; // by minute and model, adapter or route
    std::map<std::string, LatencyHistogram> coldStartWaits;          // by model or adapter
    LatencyHistogram timesToFirstByte {};
};

constexpr Minute requestStatsRetention = 24 * 60; // one day; older minutes are dropped

// Adds one request that ended in the minute `now`, and drops minutes that are too old.
void requestStatsRecord(RequestStats&, const RequestRecord&, Minute now);
void requestStatsMerge(RequestStats&, const RequestStats& other);
void requestCountsMerge(RequestCounts&, const RequestCounts& other);
void latencyHistogramAdd(LatencyHistogram&, base::Duration);

// The upper limit of the bucket that holds the quantile `fraction`, from 0 to 1; 0 if the histogram is empty.
base::Duration latencyHistogramQuantile(const LatencyHistogram&, double fraction);
int64_t latencyHistogramCount(const LatencyHistogram&);

// The present minute of the wall clock.
Minute minuteNow();

// ---- [3] Exchange ------------------------------------------------------------------------------

nlohmann::json requestStatsToJson(const RequestStats&);
RequestStats requestStatsFromJson(const nlohmann::json&); // throws nlohmann::json::exception if malformed

} // namespace rattanshunt::reports

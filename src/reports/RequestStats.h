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
    std::string account;            // empty: not known, or an open route
    std::string subject;            // model, adapter or route
    std::string reason;             // "none": the whole answer was given
    bool isRefusal = false;         // refused, not run
    bool isUnknown = false;         // outcome unknown
    bool isCallersFault = false;    // does not count against the service
    bool wasCold = false;           // waited for a replica to be loaded
    base::Duration coldWait { 0 };  // for it
    base::Duration firstByte { 0 }; // from arrival to the first byte of the answer
    double tokens = 0;
};

// ---- [2] Book ----------------------------------------------------------------------------------

using Minute = int64_t; // since 1970

struct Cell {
    int64_t requests = 0;
    int64_t complete = 0;
    int64_t unknown = 0;
    int64_t refusedOwn = 0;     // refused or left, by the caller's own doing
    int64_t refusedWrongly = 0; // refused although within rate and well formed
    double tokens = 0;
    std::map<std::string, int64_t> reasons;    // of wrongful refusals and unknown outcomes
    std::map<std::string, int64_t> ownReasons; // of what the caller did itself
};

constexpr size_t histogramSteps = 96; // each step is a quarter longer than the one before; from 1 ms
using Histogram = std::array<int64_t, histogramSteps>;

struct Book {
    std::map<Minute, std::map<std::string, Cell>> accounts; // by minute and account
    std::map<Minute, std::map<std::string, Cell>> subjects; // by minute and model or route
    std::map<std::string, Histogram> coldWaits;             // by model
    Histogram firstBytes {};
};

constexpr Minute bookMinutes = 24 * 60; // older minutes are dropped

void bookRecord(Book&, const RequestRecord&, Minute now);
void bookMerge(Book&, const Book& other);
void cellMerge(Cell&, const Cell& other);
void histogramAdd(Histogram&, base::Duration);

// The time below which `part` of the entries lie; 0 if there are none.
base::Duration histogramQuantile(const Histogram&, double part);
int64_t histogramCount(const Histogram&);
Minute minuteNow();

// ---- [3] Exchange ------------------------------------------------------------------------------

nlohmann::json bookToJson(const Book&);
Book bookFromJson(const nlohmann::json&); // throws nlohmann::json::exception if malformed

} // namespace rattanshunt::reports

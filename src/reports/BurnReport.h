// The service-level report: minutes with refusals, error budgets, cold starts. Pure; safe from any thread.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "reports/RequestStats.h"

namespace rattanshunt::reports {

struct BurnOptions {
    double objective = 0.999; // part of requests that must not be refused wrongly or lost
    Minute shortWindow = 5;   // of the burn rate, in minutes
    Minute longWindow = 60;
    double pageBurnRate = 14.4; // burn rate in both windows that needs attention at once
};

struct BurnRow {
    std::string name; // of the account, model or route
    int64_t requests = 0;
    int64_t complete = 0;
    int64_t refusedWrongly = 0;
    int64_t clientErrors = 0;
    int64_t unknownOutcomes = 0;
    Minute refusedMinutes = 0; // with at least one wrongful refusal: the regulator's count
    double servedFraction = 1; // complete / (requests less those refused by the caller's fault)
    double shortBurnRate = 0;  // of the error budget: 1 uses it up exactly over its period
    double longBurnRate = 0;
    std::string mainReason; // most frequent reason of wrongful ends; of the caller\'s own ones if there are none
};

struct MinutePoint {
    Minute minute = 0;
    int64_t complete = 0;
    int64_t refusedWrongly = 0;
    int64_t unknownOutcomes = 0;
};

struct ColdStartRow {
    std::string model;
    int64_t count = 0;
    base::Duration p50 { 0 };
    base::Duration p95 { 0 };
    base::Duration p99 { 0 };
};

struct BurnReport {
    std::vector<std::string> findings; // what to look at first
    std::vector<BurnRow> accounts;     // worst served first
    std::vector<BurnRow> subjects;
    std::vector<ColdStartRow> coldStarts; // slowest first
    std::vector<MinutePoint> minutes;
    base::Duration firstByteP50 { 0 };
    base::Duration firstByteP99 { 0 };
    double idleAcceleratorHours = 0; // with a model loaded and no request running
    size_t daemonsAsked = 0;
    size_t daemonsAnswered = 0;
};

BurnReport burnReport(const RequestStats&, Minute now, const BurnOptions& = {});

std::string burnReportText(const BurnReport&);
nlohmann::json burnReportJson(const BurnReport&);

// One self-contained page with plots.
std::string burnReportHtml(const BurnReport&);

} // namespace rattanshunt::reports

// The service-level report: refused minutes, error budget burn rates, cold starts. No I/O; safe from any thread.
//
// A burn rate is the fraction of requests that failed, divided by the fraction that the objective allows to fail: at 1
// the error budget is used up exactly at the end of its period.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "reports/RequestStats.h"

namespace rattanshunt::reports {

struct BurnOptions {
    double objective = 0.999; // fraction of requests that must be neither refused wrongly nor of unknown outcome
    Minute shortWindow = 5;   // minutes over which the burn rates are computed
    Minute longWindow = 60;
    double pageBurnRate = 14.4; // burn rate in both windows that needs immediate attention
};

struct BurnRow {
    std::string name; // account, model, adapter or route
    int64_t requests = 0;
    int64_t complete = 0;
    int64_t refusedWrongly = 0;
    int64_t clientErrors = 0;
    int64_t unknownOutcomes = 0;
    Minute refusedMinutes = 0; // minutes with at least one wrongful refusal, as the regulator counts them
    double servedFraction = 1; // complete / (requests - clientErrors)
    double shortBurnRate = 0;  // burn rate in the short window
    double longBurnRate = 0;
    std::string mainReason; // most frequent reason of failures; of client errors if there are no failures
};

struct MinutePoint {
    Minute minute = 0;
    int64_t complete = 0;
    int64_t refusedWrongly = 0;
    int64_t unknownOutcomes = 0;
};

struct ColdStartRow {
    std::string model; // or adapter
    int64_t count = 0;
    base::Duration p50 { 0 };
    base::Duration p95 { 0 };
    base::Duration p99 { 0 };
};

struct BurnReport {
    std::vector<std::string> findings; // what needs attention, most important first
    std::vector<BurnRow> accounts;     // lowest servedFraction first
    std::vector<BurnRow> subjects;
    std::vector<ColdStartRow> coldStarts; // highest p99 first
    std::vector<MinutePoint> minutes;
    base::Duration firstByteP50 { 0 };
    base::Duration firstByteP99 { 0 };
    double idleAcceleratorHours = 0; // accelerators that held a model and ran no request
    size_t daemonsAsked = 0;
    size_t daemonsAnswered = 0; // whose statistics are included
};

// The caller sets idleAcceleratorHours, daemonsAsked and daemonsAnswered.
BurnReport burnReport(const RequestStats&, Minute now, const BurnOptions& = {});

std::string burnReportText(const BurnReport&);
nlohmann::json burnReportJson(const BurnReport&);

// A self-contained HTML page with plots.
std::string burnReportHtml(const BurnReport&);

} // namespace rattanshunt::reports

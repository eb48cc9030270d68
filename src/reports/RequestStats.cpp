#include "reports/RequestStats.h"

#include <chrono>
#include <cmath>

namespace rattanshunt::reports {

using nlohmann::json;

namespace {

    constexpr double histogramGrowth = 1.25;

    size_t stepOf(base::Duration duration)
    {
        double millis = base::secondsOf(duration) * 1000;
        if (millis <= 1)
            return 0;
        auto step = static_cast<size_t>(std::log(millis) / std::log(histogramGrowth)) + 1;
        return std::min(step, latencyHistogramBuckets - 1);
    }

    void addTo(RequestCounts& cell, const RequestRecord& record)
    {
        ++cell.requests;
        cell.tokens += record.tokens;
        if (record.isClientError) {
            ++cell.clientErrors;
            ++cell.clientErrorReasons[record.reason];
            return;
        }
        if (!record.isOutcomeUnknown && !record.isRefusal) {
            ++cell.complete;
            return;
        }
        ++(record.isOutcomeUnknown ? cell.unknownOutcomes : cell.refusedWrongly);
        ++cell.failureReasons[record.reason];
    }

    using MinuteCells = std::map<Minute, std::map<std::string, RequestCounts>>;

    void mergeMinutes(MinuteCells& minutes, const MinuteCells& other)
    {
        for (auto& [minute, cells] : other) {
            for (auto& [name, cell] : cells)
                requestCountsMerge(minutes[minute][name], cell);
        }
    }

    json minutesToJson(const MinuteCells& minutes)
    {
        json list = json::array();
        for (auto& [minute, cells] : minutes) {
            for (auto& [name, cell] : cells) {
                list.push_back({ minute, name, cell.requests, cell.complete, cell.unknownOutcomes, cell.clientErrors,
                    cell.refusedWrongly, cell.tokens, cell.failureReasons, cell.clientErrorReasons });
            }
        }
        return list;
    }

    MinuteCells minutesFromJson(const json& list)
    {
        MinuteCells minutes;
        for (const json& item : list) {
            RequestCounts& cell = minutes[item.at(0).get<Minute>()][item.at(1).get<std::string>()];
            cell.requests = item.at(2).get<int64_t>();
            cell.complete = item.at(3).get<int64_t>();
            cell.unknownOutcomes = item.at(4).get<int64_t>();
            cell.clientErrors = item.at(5).get<int64_t>();
            cell.refusedWrongly = item.at(6).get<int64_t>();
            cell.tokens = item.at(7).get<double>();
            cell.failureReasons = item.at(8).get<std::map<std::string, int64_t>>();
            cell.clientErrorReasons = item.at(9).get<std::map<std::string, int64_t>>();
        }
        return minutes;
    }

    void dropOld(MinuteCells& minutes, Minute now)
    {
        minutes.erase(minutes.begin(), minutes.lower_bound(now - requestStatsRetention));
    }

} // namespace

void requestStatsRecord(RequestStats& book, const RequestRecord& record, Minute now)
{
    if (!book.accounts.contains(now)) {
        dropOld(book.accounts, now);
        dropOld(book.subjects, now);
    }
    addTo(book.accounts[now][record.account], record);
    addTo(book.subjects[now][record.subject], record);
    if (record.wasColdStart)
        latencyHistogramAdd(book.coldStartWaits[record.subject], record.coldStartWait);
    if (!record.isRefusal && !record.isOutcomeUnknown)
        latencyHistogramAdd(book.timesToFirstByte, record.timeToFirstByte);
}

void requestStatsMerge(RequestStats& book, const RequestStats& other)
{
    mergeMinutes(book.accounts, other.accounts);
    mergeMinutes(book.subjects, other.subjects);
    for (auto& [model, histogram] : other.coldStartWaits) {
        LatencyHistogram& sum = book.coldStartWaits[model];
        for (size_t step = 0; step < latencyHistogramBuckets; ++step)
            sum[step] += histogram[step];
    }
    for (size_t step = 0; step < latencyHistogramBuckets; ++step)
        book.timesToFirstByte[step] += other.timesToFirstByte[step];
}

void requestCountsMerge(RequestCounts& cell, const RequestCounts& other)
{
    cell.requests += other.requests;
    cell.complete += other.complete;
    cell.unknownOutcomes += other.unknownOutcomes;
    cell.clientErrors += other.clientErrors;
    cell.refusedWrongly += other.refusedWrongly;
    cell.tokens += other.tokens;
    for (auto& [reason, count] : other.failureReasons)
        cell.failureReasons[reason] += count;
    for (auto& [reason, count] : other.clientErrorReasons)
        cell.clientErrorReasons[reason] += count;
}

void latencyHistogramAdd(LatencyHistogram& histogram, base::Duration duration)
{
    ++histogram[stepOf(duration)];
}

int64_t latencyHistogramCount(const LatencyHistogram& histogram)
{
    int64_t count = 0;
    for (int64_t step : histogram)
        count += step;
    return count;
}

base::Duration latencyHistogramQuantile(const LatencyHistogram& histogram, double part)
{
    int64_t count = latencyHistogramCount(histogram);
    if (!count)
        return base::Duration::zero();
    auto wanted = static_cast<int64_t>(std::ceil(part * static_cast<double>(count)));
    int64_t seen = 0;
    for (size_t step = 0; step < latencyHistogramBuckets; ++step) {
        seen += histogram[step];
        if (seen >= wanted)
            return base::durationOf(std::pow(histogramGrowth, static_cast<double>(step)) / 1000);
    }
    return base::Duration::zero();
}

Minute minuteNow()
{
    return std::chrono::duration_cast<std::chrono::minutes>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

json requestStatsToJson(const RequestStats& book)
{
    return { { "accounts", minutesToJson(book.accounts) }, { "subjects", minutesToJson(book.subjects) },
        { "cold_waits", book.coldStartWaits }, { "first_bytes", book.timesToFirstByte } };
}

RequestStats requestStatsFromJson(const json& object)
{
    RequestStats book;
    book.accounts = minutesFromJson(object.at("accounts"));
    book.subjects = minutesFromJson(object.at("subjects"));
    book.coldStartWaits = object.at("cold_waits").get<std::map<std::string, LatencyHistogram>>();
    book.timesToFirstByte = object.at("first_bytes").get<LatencyHistogram>();
    return book;
}

} // namespace rattanshunt::reports

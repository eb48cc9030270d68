#include "reports/RequestStats.h"

#include <chrono>
#include <cmath>

namespace rattanshunt::reports {

using nlohmann::json;

namespace {

    constexpr double bucketGrowth = 1.25;

    size_t bucketOf(base::Duration duration)
    {
        double millis = base::secondsOf(duration) * 1000;
        if (millis <= 1)
            return 0;
        auto bucket = static_cast<size_t>(std::log(millis) / std::log(bucketGrowth)) + 1;
        return std::min(bucket, latencyHistogramBuckets - 1);
    }

    void addTo(RequestCounts& counts, const RequestRecord& record)
    {
        ++counts.requests;
        counts.tokens += record.tokens;
        if (record.isClientError) {
            ++counts.clientErrors;
            ++counts.clientErrorReasons[record.reason];
            return;
        }
        if (!record.isOutcomeUnknown && !record.isRefusal) {
            ++counts.complete;
            return;
        }
        ++(record.isOutcomeUnknown ? counts.unknownOutcomes : counts.refusedWrongly);
        ++counts.failureReasons[record.reason];
    }

    using CountsByMinute = std::map<Minute, std::map<std::string, RequestCounts>>;

    void mergeMinutes(CountsByMinute& minutes, const CountsByMinute& other)
    {
        for (auto& [minute, countsByName] : other) {
            for (auto& [name, counts] : countsByName)
                requestCountsMerge(minutes[minute][name], counts);
        }
    }

    json minutesToJson(const CountsByMinute& minutes)
    {
        json list = json::array();
        for (auto& [minute, countsByName] : minutes) {
            for (auto& [name, counts] : countsByName) {
                list.push_back(
                    { minute, name, counts.requests, counts.complete, counts.unknownOutcomes, counts.clientErrors,
                        counts.refusedWrongly, counts.tokens, counts.failureReasons, counts.clientErrorReasons });
            }
        }
        return list;
    }

    CountsByMinute minutesFromJson(const json& list)
    {
        CountsByMinute minutes;
        for (const json& item : list) {
            RequestCounts& counts = minutes[item.at(0).get<Minute>()][item.at(1).get<std::string>()];
            counts.requests = item.at(2).get<int64_t>();
            counts.complete = item.at(3).get<int64_t>();
            counts.unknownOutcomes = item.at(4).get<int64_t>();
            counts.clientErrors = item.at(5).get<int64_t>();
            counts.refusedWrongly = item.at(6).get<int64_t>();
            counts.tokens = item.at(7).get<double>();
            counts.failureReasons = item.at(8).get<std::map<std::string, int64_t>>();
            counts.clientErrorReasons = item.at(9).get<std::map<std::string, int64_t>>();
        }
        return minutes;
    }

    void dropExpired(CountsByMinute& minutes, Minute now)
    {
        minutes.erase(minutes.begin(), minutes.lower_bound(now - requestStatsRetention));
    }

} // namespace

void requestStatsRecord(RequestStats& stats, const RequestRecord& record, Minute now)
{
    if (!stats.accounts.contains(now)) {
        dropExpired(stats.accounts, now);
        dropExpired(stats.subjects, now);
    }
    addTo(stats.accounts[now][record.account], record);
    addTo(stats.subjects[now][record.subject], record);
    if (record.wasColdStart)
        latencyHistogramAdd(stats.coldStartWaits[record.subject], record.coldStartWait);
    if (!record.isRefusal && !record.isOutcomeUnknown)
        latencyHistogramAdd(stats.timesToFirstByte, record.timeToFirstByte);
}

void requestStatsMerge(RequestStats& stats, const RequestStats& other)
{
    mergeMinutes(stats.accounts, other.accounts);
    mergeMinutes(stats.subjects, other.subjects);
    for (auto& [model, histogram] : other.coldStartWaits) {
        LatencyHistogram& sum = stats.coldStartWaits[model];
        for (size_t bucket = 0; bucket < latencyHistogramBuckets; ++bucket)
            sum[bucket] += histogram[bucket];
    }
    for (size_t bucket = 0; bucket < latencyHistogramBuckets; ++bucket)
        stats.timesToFirstByte[bucket] += other.timesToFirstByte[bucket];
}

void requestCountsMerge(RequestCounts& counts, const RequestCounts& other)
{
    counts.requests += other.requests;
    counts.complete += other.complete;
    counts.unknownOutcomes += other.unknownOutcomes;
    counts.clientErrors += other.clientErrors;
    counts.refusedWrongly += other.refusedWrongly;
    counts.tokens += other.tokens;
    for (auto& [reason, count] : other.failureReasons)
        counts.failureReasons[reason] += count;
    for (auto& [reason, count] : other.clientErrorReasons)
        counts.clientErrorReasons[reason] += count;
}

void latencyHistogramAdd(LatencyHistogram& histogram, base::Duration duration)
{
    ++histogram[bucketOf(duration)];
}

int64_t latencyHistogramCount(const LatencyHistogram& histogram)
{
    int64_t count = 0;
    for (int64_t bucket : histogram)
        count += bucket;
    return count;
}

base::Duration latencyHistogramQuantile(const LatencyHistogram& histogram, double fraction)
{
    int64_t count = latencyHistogramCount(histogram);
    if (!count)
        return base::Duration::zero();
    auto rank = static_cast<int64_t>(std::ceil(fraction * static_cast<double>(count)));
    int64_t seen = 0;
    for (size_t bucket = 0; bucket < latencyHistogramBuckets; ++bucket) {
        seen += histogram[bucket];
        if (seen >= rank)
            return base::durationOf(std::pow(bucketGrowth, static_cast<double>(bucket)) / 1000);
    }
    return base::Duration::zero();
}

Minute minuteNow()
{
    return std::chrono::duration_cast<std::chrono::minutes>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

json requestStatsToJson(const RequestStats& stats)
{
    return { { "accounts", minutesToJson(stats.accounts) }, { "subjects", minutesToJson(stats.subjects) },
        { "cold_waits", stats.coldStartWaits }, { "first_bytes", stats.timesToFirstByte } };
}

RequestStats requestStatsFromJson(const json& object)
{
    RequestStats stats;
    stats.accounts = minutesFromJson(object.at("accounts"));
    stats.subjects = minutesFromJson(object.at("subjects"));
    stats.coldStartWaits = object.at("cold_waits").get<std::map<std::string, LatencyHistogram>>();
    stats.timesToFirstByte = object.at("first_bytes").get<LatencyHistogram>();
    return stats;
}

} // namespace rattanshunt::reports

// Decisions of the gateway compared with simpler strategies: usage limits of accounts, and requests that wait for a
// model.
#include <deque>
#include <functional>
#include <random>

#include <fmt/format.h>

#include "Bench.h"
#include "gateway/WaitPolicy.h"
#include "quota/AccountQuota.h"

namespace rattanshunt::lab {

namespace {

    using base::BootTime;

    BootTime timeAt(double millis)
    {
        return BootTime {} + base::Seconds(1000)
            + std::chrono::duration_cast<base::BootClock::duration>(base::durationOf(millis / 1000));
    }

    // ---- Usage of accounts -----------------------------------------------------------------------

    constexpr size_t memberCount = 19;
    constexpr double usageRunMillis = 60000;
    constexpr double windowMillis = 8000;

    struct UsageRequest {
        double millis = 0;
        double tokens = 0;
    };

    // Large requests as a Poisson process: `peakLoad` times the account's rate in the middle third of the run,
    // `usualLoad` times outside it.
    std::vector<UsageRequest> makeUsageRequests(
        const quota::AccountLimit& limit, double usualLoad, double peakLoad, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<UsageRequest> requests;
        for (double at = 0; at < usageRunMillis;) {
            bool isPeak = at > usageRunMillis / 3 && at < usageRunMillis * 2 / 3;
            double tokens = 5000 + static_cast<double>(random() % 8000);
            double rate = limit.rate * (isPeak ? peakLoad : usualLoad);
            at += std::exponential_distribution<double>(rate / 9000 / 1000)(random);
            requests.push_back({ at, tokens });
        }
        return requests;
    }

    struct UsageCount {
        double requestedTokens = 0;
        double owedTokens = 0; // requested tokens, up to the limit of each window
        double admittedTokens = 0;
        double tokensOverLimit = 0; // in the worst window
    };

    UsageCount countUsage(const std::vector<UsageRequest>& requests, const quota::AccountLimit& limit,
        const std::function<bool(const UsageRequest&, size_t member)>& take, uint64_t seed)
    {
        UsageCount count;
        std::mt19937_64 random(seed);
        std::deque<UsageRequest> admittedRequests;
        std::deque<UsageRequest> owedRequests;
        double admittedSum = 0;
        double owedSum = 0;
        auto dropExpired = [](std::deque<UsageRequest>& list, double& total, double nowMillis) {
            while (!list.empty() && list.front().millis <= nowMillis - windowMillis) {
                total -= list.front().tokens;
                list.pop_front();
            }
        };
        double windowLimit = limit.rate * windowMillis / 1000 + limit.burst;
        for (const UsageRequest& request : requests) {
            dropExpired(admittedRequests, admittedSum, request.millis);
            dropExpired(owedRequests, owedSum, request.millis);
            count.requestedTokens += request.tokens;
            if (owedSum + request.tokens <= windowLimit) {
                count.owedTokens += request.tokens;
                owedSum += request.tokens;
                owedRequests.push_back(request);
            }
            if (!take(request, random() % memberCount))
                continue;
            count.admittedTokens += request.tokens;
            admittedSum += request.tokens;
            admittedRequests.push_back(request);
            count.tokensOverLimit = std::max(count.tokensOverLimit, admittedSum - windowLimit);
        }
        return count;
    }

    BenchRow usageRow(const char* load, const char* strategy, const UsageCount& count)
    {
        return { { load, strategy, fmt::format("{:.1f}", 100 * count.admittedTokens / count.owedTokens),
            fmt::format("{:.1f}", 100 * count.admittedTokens / count.requestedTokens),
            fmt::format("{:.0f}", count.tokensOverLimit) } };
    }

    void addUsageRows(BenchTable& table, const char* load, double usualLoad, double peakLoad, uint64_t seed)
    {
        quota::AccountLimit limit { 30000, 69000, 0 };
        std::vector<UsageRequest> requests = makeUsageRequests(limit, usualLoad, peakLoad, seed);
        quota::HubQuota hubQuota;
        table.rows.push_back(usageRow(load, "bucket and window",
            countUsage(
                requests, limit,
                [&](const UsageRequest& request, size_t) {
                    return quota::hubQuotaTake(hubQuota, "a", limit, request.tokens, timeAt(request.millis));
                },
                seed)));
        auto bucket = [](double rate, double capacity) {
            return [=, level = capacity, levelAsOfMillis = 0.0](const UsageRequest& request) mutable {
                level = std::min(capacity, level + rate * (request.millis - levelAsOfMillis) / 1000);
                levelAsOfMillis = request.millis;
                if (level < request.tokens)
                    return false;
                level -= request.tokens;
                return true;
            };
        };
        auto wholeBucket = bucket(limit.rate, limit.burst);
        table.rows.push_back(usageRow(load, "bucket at the rate",
            countUsage(
                requests, limit, [&](const UsageRequest& request, size_t) { return wholeBucket(request); }, seed)));
        std::vector<decltype(wholeBucket)> memberBuckets(
            memberCount, bucket(limit.rate / memberCount, limit.burst / memberCount));
        table.rows.push_back(usageRow(load, "a bucket for each gateway",
            countUsage(
                requests, limit,
                [&](const UsageRequest& request, size_t member) { return memberBuckets[member](request); }, seed)));
    }

    // ---- Requests that wait for a model ----------------------------------------------------------

    struct WaitCount {
        size_t served = 0;
        size_t refused = 0;
        double refusedWaitMillis = 0; // sum over the refused requests
    };

    // Requests for models that no replica holds. Each model becomes ready after its load from the weight store; callers
    // leave after 0.5 to 6 s.
    WaitCount countWaits(bool refusesEarly, uint64_t seed)
    {
        constexpr size_t requests = 4000;
        constexpr double stepMillis = 10; // milliseconds between two decisions
        std::mt19937_64 random(seed);
        gateway::WaitOptions options;
        WaitCount count;
        for (size_t i = 0; i < requests; ++i) {
            double readyMillis = static_cast<double>(random() % 12000);
            double patienceMillis = 500 + static_cast<double>(random() % 5500);
            for (double nowMillis = 0;; nowMillis += stepMillis) {
                if (nowMillis >= readyMillis) {
                    ++count.served;
                    break;
                }
                gateway::WaitInputs inputs;
                inputs.isEngineService = inputs.hasHub = true;
                inputs.waited = base::durationOf(nowMillis / 1000);
                inputs.timeLeft = inputs.firstByteTimeLeft = base::durationOf((patienceMillis - nowMillis) / 1000);
                inputs.readyIn = base::durationOf((readyMillis - nowMillis) / 1000);
                bool mayWait = refusesEarly ? gateway::waitDecide(inputs, options).mayWait : nowMillis < patienceMillis;
                if (!mayWait) {
                    ++count.refused;
                    count.refusedWaitMillis += nowMillis;
                    break;
                }
            }
        }
        return count;
    }

} // namespace

BenchTable benchUsage(uint64_t seed)
{
    BenchTable table;
    table.title = "Usage of one account with 30,000 tokens per second and a burst of 69,000, through 19 gateways.";
    table.columns = { "load", "way", "admitted of owed %", "admitted of asked %", "over the limit" };
    addUsageRows(table, "usual 0.6", 0.6, 0.6, seed);
    addUsageRows(table, "one at 1.2", 0.6, 1.2, seed);
    addUsageRows(table, "one at 7.5", 0.6, 7.5, seed);
    table.notes
        = { "owed: what is requested, up to rate x 8 s + burst in any window of 8 s, first come, first served." };
    return table;
}

BenchTable benchWaiting(uint64_t seed)
{
    BenchTable table;
    table.title = "Requests for models that no replica holds, ready within 12 s; callers wait for 0.5 to 6 s.";
    table.columns = { "way", "served", "refused", "wait of a refused one ms" };
    for (bool refusesEarly : { true, false }) {
        WaitCount count = countWaits(refusesEarly, seed);
        table.rows.push_back({ { refusesEarly ? "refused when known to be late" : "waits until the caller leaves",
            std::to_string(count.served), std::to_string(count.refused),
            fmt::format(
                "{:.0f}", count.refusedWaitMillis / static_cast<double>(std::max<size_t>(1, count.refused))) } });
    }
    return table;
}

} // namespace rattanshunt::lab

// Decisions of the gateway beside simpler ways: usage of accounts, and requests that wait for a model.
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

    // Large requests as a Poisson process, `times` the account's rate from a third to two thirds of the run.
    std::vector<UsageRequest> makeUsageRequests(
        const quota::AccountLimit& limit, double usual, double times, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<UsageRequest> asks;
        for (double at = 0; at < usageRunMillis;) {
            bool isHot = at > usageRunMillis / 3 && at < usageRunMillis * 2 / 3;
            double tokens = 5000 + static_cast<double>(random() % 8000);
            double rate = limit.rate * (isHot ? times : usual);
            at += std::exponential_distribution<double>(rate / 9000 / 1000)(random);
            asks.push_back({ at, tokens });
        }
        return asks;
    }

    struct UsageCount {
        double requestedTokens = 0;
        double owedTokens = 0; // asked, up to the limit of the window
        double admittedTokens = 0;
        double tokensOverLimit = 0; // beyond the limit in the worst window
    };

    UsageCount countUsage(const std::vector<UsageRequest>& asks, const quota::AccountLimit& limit,
        const std::function<bool(const UsageRequest&, size_t member)>& take, uint64_t seed)
    {
        UsageCount count;
        std::mt19937_64 random(seed);
        std::deque<UsageRequest> inWindow;
        std::deque<UsageRequest> owedInWindow;
        double sum = 0;
        double owedSum = 0;
        auto forget = [](std::deque<UsageRequest>& list, double& total, double now) {
            while (!list.empty() && list.front().millis <= now - windowMillis) {
                total -= list.front().tokens;
                list.pop_front();
            }
        };
        double most = limit.rate * windowMillis / 1000 + limit.burst;
        for (const UsageRequest& ask : asks) {
            forget(inWindow, sum, ask.millis);
            forget(owedInWindow, owedSum, ask.millis);
            count.requestedTokens += ask.tokens;
            if (owedSum + ask.tokens <= most) {
                count.owedTokens += ask.tokens;
                owedSum += ask.tokens;
                owedInWindow.push_back(ask);
            }
            if (!take(ask, random() % memberCount))
                continue;
            count.admittedTokens += ask.tokens;
            sum += ask.tokens;
            inWindow.push_back(ask);
            count.tokensOverLimit = std::max(count.tokensOverLimit, sum - most);
        }
        return count;
    }

    BenchRow usageRow(const char* load, const char* way, const UsageCount& count)
    {
        return { { load, way, fmt::format("{:.1f}", 100 * count.admittedTokens / count.owedTokens),
            fmt::format("{:.1f}", 100 * count.admittedTokens / count.requestedTokens),
            fmt::format("{:.0f}", count.tokensOverLimit) } };
    }

    void addUsageRows(BenchTable& table, const char* load, double usual, double times, uint64_t seed)
    {
        quota::AccountLimit limit { 30000, 69000, 0 };
        std::vector<UsageRequest> asks = makeUsageRequests(limit, usual, times, seed);
        quota::HubQuota book;
        table.rows.push_back(usageRow(load, "bucket and window",
            countUsage(
                asks, limit,
                [&](const UsageRequest& ask, size_t) {
                    return quota::hubQuotaTake(book, "a", limit, ask.tokens, timeAt(ask.millis));
                },
                seed)));
        auto bucket = [](double rate, double capacity) {
            return [=, level = capacity, asOf = 0.0](const UsageRequest& ask) mutable {
                level = std::min(capacity, level + rate * (ask.millis - asOf) / 1000);
                asOf = ask.millis;
                if (level < ask.tokens)
                    return false;
                level -= ask.tokens;
                return true;
            };
        };
        auto whole = bucket(limit.rate, limit.burst);
        table.rows.push_back(usageRow(load, "bucket at the rate",
            countUsage(
                asks, limit, [&](const UsageRequest& ask, size_t) { return whole(ask); }, seed)));
        std::vector<decltype(whole)> split(memberCount, bucket(limit.rate / memberCount, limit.burst / memberCount));
        table.rows.push_back(usageRow(load, "a bucket each",
            countUsage(
                asks, limit, [&](const UsageRequest& ask, size_t member) { return split[member](ask); }, seed)));
    }

    // ---- Requests that wait for a model ----------------------------------------------------------

    struct WaitCount {
        size_t served = 0;
        size_t refused = 0;
        double refusedWaitMillis = 0; // ms, sum
    };

    // Demand moves to models that nobody holds: each becomes ready after its turn at the weight store, and its requests
    // have between 0.5 and 6 s until their callers leave.
    WaitCount countWaits(bool refusesEarly, uint64_t seed)
    {
        constexpr size_t requests = 4000;
        constexpr double step = 10; // ms between two looks
        std::mt19937_64 random(seed);
        gateway::WaitOptions options;
        WaitCount count;
        for (size_t i = 0; i < requests; ++i) {
            double ready = static_cast<double>(random() % 12000);
            double patience = 500 + static_cast<double>(random() % 5500);
            for (double now = 0;; now += step) {
                if (now >= ready) {
                    ++count.served;
                    break;
                }
                gateway::WaitInputs view;
                view.isEngineService = view.hasHub = true;
                view.waited = base::durationOf(now / 1000);
                view.timeLeft = view.firstByteTimeLeft = base::durationOf((patience - now) / 1000);
                view.readyIn = base::durationOf((ready - now) / 1000);
                bool mayWait = refusesEarly ? gateway::waitDecide(view, options).mayWait : now < patience;
                if (!mayWait) {
                    ++count.refused;
                    count.refusedWaitMillis += now;
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
    table.title = "Usage of one account with 30,000 tokens a second and a burst of 69,000, through 19 gateways.";
    table.columns = { "load", "way", "admitted of owed %", "admitted of asked %", "over the limit" };
    addUsageRows(table, "usual 0.6", 0.6, 0.6, seed);
    addUsageRows(table, "one at 1.2", 0.6, 1.2, seed);
    addUsageRows(table, "one at 7.5", 0.6, 7.5, seed);
    table.notes = { "owed: what is asked, up to rate x 8 s + burst in any window of 8 s, first come, first served." };
    return table;
}

BenchTable benchWaiting(uint64_t seed)
{
    BenchTable table;
    table.title = "Requests for models that nobody holds, ready within 12 s; callers stay for 0.5 to 6 s.";
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

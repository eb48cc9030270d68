// Replica selection with delayed load reports and prefix caches, compared with random, round robin and least reported
// load.
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>

#include <fmt/format.h>

#include "Bench.h"
#include "base/Text.h"
#include "routing/EndpointChoice.h"

namespace rattanshunt::lab {

namespace {

    constexpr size_t daemonCount = 18;
    constexpr size_t replicaCount = 14;
    constexpr double slotsPerReplica = 8;
    constexpr size_t cachedPrefixesPerReplica = 12; // least recently used prefixes are evicted
    constexpr size_t prefixCount = 60;
    constexpr double runMillis = 60000;
    constexpr double cacheMissFactor = 1.6; // service time without the cached prefix, as a multiple
    constexpr double reportLagMillis = 200;

    struct Replica {
        int running = 0;
        std::deque<std::pair<double, size_t>> queue; // arrival in ms, index of the request
        std::deque<size_t> cache;
    };

    struct KnownReplica {
        double reportedLoad = 0;
        double reportedAtMillis = -1e9;
        double ownRequests = 0;
        double ownRequestsAtReport = 0;
    };

    struct Completion {
        double millis;
        size_t replica;
        size_t request;
        bool operator<(const Completion& other) const { return millis > other.millis; }
    };

    struct Request {
        double arrivedAtMillis = 0;
        size_t daemon = 0;
        size_t replica = 0;
        size_t prefix = 0;
        double serviceMillis = 0;
    };

    using ReplicaChooser = std::function<size_t(
        size_t daemon, size_t prefix, const std::vector<KnownReplica>&, double now, uint64_t draw)>;

    struct Result {
        std::vector<double> latenciesMillis;
        int64_t cacheHits = 0;
    };

    Result simulateRouting(const ReplicaChooser& choose, uint64_t seed, double ratePerMilli)
    {
        std::mt19937_64 random(seed);
        std::vector<Replica> replicas(replicaCount);
        std::vector<std::vector<KnownReplica>> known(daemonCount, std::vector<KnownReplica>(replicaCount));
        std::vector<Request> requests;
        std::priority_queue<Completion> completions;
        struct Report {
            double millis;
            size_t daemon;
            size_t replica;
            double load;
            double ownRequestsAtReport;
        };
        std::deque<Report> reports;
        Result result;
        auto startService = [&](size_t index, double now) {
            Request& request = requests[index];
            Replica& replica = replicas[request.replica];
            ++replica.running;
            auto cached = std::find(replica.cache.begin(), replica.cache.end(), request.prefix);
            bool isHit = cached != replica.cache.end();
            result.cacheHits += isHit;
            if (isHit)
                replica.cache.erase(cached);
            replica.cache.push_front(request.prefix);
            if (replica.cache.size() > cachedPrefixesPerReplica)
                replica.cache.pop_back();
            completions.push({ now + request.serviceMillis * (isHit ? 1 : cacheMissFactor), request.replica, index });
        };
        double nextArrivalMillis = 0;
        std::exponential_distribution<double> arrivalGapMillis(ratePerMilli);
        std::exponential_distribution<double> workMillis(1.0 / 300);
        while (nextArrivalMillis < runMillis || !completions.empty()) {
            double now = completions.empty() || nextArrivalMillis < completions.top().millis ? nextArrivalMillis
                                                                                             : completions.top().millis;
            while (!reports.empty() && reports.front().millis <= now) {
                const Report& report = reports.front();
                KnownReplica& knownReplica = known[report.daemon][report.replica];
                knownReplica.reportedLoad = report.load;
                knownReplica.reportedAtMillis = report.millis;
                knownReplica.ownRequestsAtReport = report.ownRequestsAtReport;
                reports.pop_front();
            }
            if (now == nextArrivalMillis && nextArrivalMillis < runMillis) {
                Request request { now, random() % daemonCount, 0, 0, 50 + workMillis(random) };
                // The smaller of two draws: low prefixes are requested more often than high ones.
                request.prefix = std::min(random() % prefixCount, random() % prefixCount);
                request.replica = choose(request.daemon, request.prefix, known[request.daemon], now, random());
                ++known[request.daemon][request.replica].ownRequests;
                requests.push_back(request);
                Replica& replica = replicas[request.replica];
                if (replica.running < slotsPerReplica)
                    startService(requests.size() - 1, now);
                else
                    replica.queue.emplace_back(now, requests.size() - 1);
                nextArrivalMillis += arrivalGapMillis(random);
                if (nextArrivalMillis >= runMillis)
                    nextArrivalMillis = 1e12;
                continue;
            }
            Completion completion = completions.top();
            completions.pop();
            Request& request = requests[completion.request];
            result.latenciesMillis.push_back(now - request.arrivedAtMillis);
            Replica& replica = replicas[completion.replica];
            --replica.running;
            if (!replica.queue.empty()) {
                size_t index = replica.queue.front().second;
                replica.queue.pop_front();
                startService(index, now);
            }
            KnownReplica& knownReplica = known[request.daemon][completion.replica];
            --knownReplica.ownRequests;
            reports.push_back({ now + reportLagMillis, request.daemon, completion.replica,
                static_cast<double>(replica.running) + static_cast<double>(replica.queue.size()),
                knownReplica.ownRequests });
        }
        return result;
    }

    BenchRow rowOf(const char* load, const char* strategy, Result result)
    {
        std::sort(result.latenciesMillis.begin(), result.latenciesMillis.end());
        auto latencyQuantile = [&](double fraction) {
            return result.latenciesMillis[static_cast<size_t>(
                fraction * static_cast<double>(result.latenciesMillis.size() - 1))];
        };
        return { { load, strategy, fmt::format("{:.0f}", latencyQuantile(0.5)),
            fmt::format("{:.0f}", latencyQuantile(0.95)), fmt::format("{:.0f}", latencyQuantile(0.99)),
            fmt::format("{:.1f}",
                100.0 * static_cast<double>(result.cacheHits) / static_cast<double>(result.latenciesMillis.size())) } };
    }

    size_t chooseByPolicy(size_t, size_t prefix, const std::vector<KnownReplica>& known, double now, uint64_t draw)
    {
        static const std::vector<std::string> names = [] {
            std::vector<std::string> list;
            for (size_t i = 0; i < replicaCount; ++i)
                list.push_back(fmt::format("replica-{}", i));
            return list;
        }();
        routing::EndpointChoiceOptions options;
        // Requests don't queue at the daemon here: each strategy must choose a replica at once.
        options.maxLoad = 1e9;
        std::vector<routing::Candidate> candidates;
        for (size_t i = 0; i < replicaCount; ++i)
            candidates.push_back(
                { names[i], slotsPerReplica, known[i].reportedLoad, known[i].ownRequests, known[i].ownRequestsAtReport,
                    base::durationOf(std::min(now - known[i].reportedAtMillis, 1e6) / 1000), false });
        return *routing::candidateChoose(candidates, base::stableHash(fmt::format("prefix-{}", prefix)), draw, options);
    }

} // namespace

BenchTable benchRouting(uint64_t seed)
{
    BenchTable table;
    table.title
        = "Replica selection: 18 daemons, 14 replicas of 8 slots, reports 200 ms old, 60 prefixes; latency in ms";
    table.columns = { "load", "way", "p50", "p95", "p99", "prefix hits %" };
    std::vector<size_t> nextReplicas(daemonCount);
    ReplicaChooser random
        = [](size_t, size_t, const std::vector<KnownReplica>&, double, uint64_t draw) { return draw % replicaCount; };
    ReplicaChooser roundRobin = [&](size_t daemon, size_t, const std::vector<KnownReplica>&, double, uint64_t) {
        return (nextReplicas[daemon]++ + daemon) % replicaCount;
    };
    ReplicaChooser leastReported = [](size_t, size_t, const std::vector<KnownReplica>& known, double, uint64_t draw) {
        size_t best = draw % replicaCount;
        for (size_t i = 0; i < replicaCount; ++i) {
            size_t replica = (i + draw) % replicaCount;
            if (known[replica].reportedLoad < known[best].reportedLoad)
                best = replica;
        }
        return best;
    };
    for (auto [name, rate] : { std::pair { "60%", 0.15 }, std::pair { "85%", 0.212 } }) {
        table.rows.push_back(
            rowOf(name, "prefix within bound, two choices", simulateRouting(chooseByPolicy, seed, rate)));
        table.rows.push_back(rowOf(name, "random", simulateRouting(random, seed, rate)));
        table.rows.push_back(rowOf(name, "round robin", simulateRouting(roundRobin, seed, rate)));
        table.rows.push_back(rowOf(name, "least reported load", simulateRouting(leastReported, seed, rate)));
    }
    return table;
}

} // namespace rattanshunt::lab

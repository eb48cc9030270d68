// Claims with and without group commit; distribution of configuration through relays, by a watch in each daemon, by
// polling.
#include <cmath>
#include <random>

#include <fmt/format.h>

#include "Bench.h"
#include "KvStore.h"
#include "fleet/Mirror.h"
#include "idempotency/Claims.h"

namespace rattanshunt::lab {

namespace {

    base::TimePoint timeAt(double millis)
    {
        return base::TimePoint {} + base::Seconds(1000) + base::durationOf(millis / 1000);
    }

    double quantile(std::vector<double> values, double fraction)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
    }

    // ---- Claims ----------------------------------------------------------------------------------

    constexpr double kvMillis = 4; // duration of one transaction
    constexpr double kvWritesPerSecond = 400;
    constexpr double claimHopMillis = 1.5; // from a daemon to the owner of the claim's shard, one way
    constexpr double claimRunSeconds = 20;

    struct ClaimResult {
        double writesPerSecond = 0;
        std::vector<double> waitMillis;
        int64_t lateCount = 0; // waited for more than 1 s
        int64_t doubleGrants = 0;
    };

    // Shard owners batch claims. Each has at most one transaction in flight and starts at most one every 20 ms.
    ClaimResult runGroupCommit(double rate, uint64_t seed)
    {
        constexpr size_t shardCount = 4;
        constexpr double batchIntervalMillis = 20;
        std::mt19937_64 random(seed);
        KvStore store;
        std::vector<idempotency::ClaimQueue> queues(shardCount);
        std::vector<double> nextStart(shardCount, 0.0);
        std::map<uint64_t, double> arrivedAt;
        std::map<std::string, int> granted;
        ClaimResult result;
        std::exponential_distribution<double> gapMillis(rate / 1000);
        double nextAtMillis = gapMillis(random);
        uint64_t id = 0;
        for (double now = 0; now < claimRunSeconds * 1000; now += 0.5) {
            for (; nextAtMillis <= now; nextAtMillis += gapMillis(random)) {
                // One in 50 is a retry of an earlier call, sent to another daemon.
                uint64_t call = id && random() % 50 == 0 ? random() % id : id;
                std::string key = idempotency::claimKvKey("acme", fmt::format("call-{}", call));
                arrivedAt[++id] = nextAtMillis;
                queues[base::stableHash(key) % shardCount].waiting.push_back(
                    { id, key, 0, idempotency::claimToText({ fmt::format("op-{}", id), "d", "i", "x" }) });
            }
            for (size_t shard = 0; shard < shardCount; ++shard) {
                if (queues[shard].waiting.empty() || nextStart[shard] > now)
                    continue;
                auto batch = idempotency::claimBatchTake(queues[shard]);
                std::vector<coordination::KvCompare> compares;
                std::vector<coordination::KvWrite> writes;
                idempotency::claimBatchTxn(batch, compares, writes, 0);
                auto outcome = idempotency::claimBatchResolve(batch, kvStoreTxn(store, compares, writes));
                result.writesPerSecond += 1 / claimRunSeconds;
                nextStart[shard] = now + std::max(batchIntervalMillis, kvMillis);
                for (auto& again : outcome.retries)
                    queues[shard].waiting.push_front(again);
                for (auto& writeResult : outcome.results) {
                    result.waitMillis.push_back(now + kvMillis + 2 * claimHopMillis - arrivedAt[writeResult.id]);
                    bool isGranted = writeResult.outcome == idempotency::ClaimWriteOutcome::Done;
                    auto write = std::find_if(
                        batch.begin(), batch.end(), [&](auto& item) { return item.id == writeResult.id; });
                    result.doubleGrants += isGranted && granted[write->key]++;
                }
            }
        }
        for (double wait : result.waitMillis)
            result.lateCount += wait > 1000;
        return result;
    }

    // Each daemon writes each claim by itself; the key-value store serves kvWritesPerSecond.
    ClaimResult runSingleWrites(double rate, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ClaimResult result;
        std::exponential_distribution<double> gapMillis(rate / 1000);
        double freeAt = 0;
        for (double now = gapMillis(random); now < claimRunSeconds * 1000; now += gapMillis(random)) {
            freeAt = std::max(freeAt, now) + 1000 / kvWritesPerSecond;
            result.waitMillis.push_back(freeAt - now + kvMillis);
            result.writesPerSecond += 1 / claimRunSeconds;
            result.lateCount += result.waitMillis.back() > 1000;
        }
        return result;
    }

    BenchRow claimRow(double rate, const char* strategy, const ClaimResult& result)
    {
        return { { fmt::format("{:.0f}", rate), strategy, fmt::format("{:.0f}", result.writesPerSecond),
            fmt::format("{:.1f}", quantile(result.waitMillis, 0.5)),
            fmt::format("{:.1f}", quantile(result.waitMillis, 0.99)),
            fmt::format("{:.2f}",
                100.0 * static_cast<double>(result.lateCount) / static_cast<double>(result.waitMillis.size())),
            fmt::format("{}", result.doubleGrants) } };
    }

    // ---- Configuration ---------------------------------------------------------------------------

    constexpr size_t dataCenterCount = 4;
    constexpr size_t relaysPerDataCenter = 2;
    constexpr double configRunSeconds = 120;
    constexpr double watchMillis = 2; // from a change to the event at a watcher
    constexpr double syncWaitMillis = 500;
    constexpr double headIntervalMillis = 500;

    struct ConfigResult {
        std::vector<double> propagationMillis; // for each change, until it was in force everywhere
        double kvReadsPerSecond = 0;
        double openWatchCount = 0;
        double peerBytesPerSecond = 0;   // received by each daemon from relays
        int64_t revisionRegressions = 0; // times that the revision of a mirror decreased
    };

    // Relays watch the store; other daemons call a relay, which holds the call until there is a change or the time-out.
    // The deltas are the product's own, so that their sizes count.
    ConfigResult runRelays(size_t daemons, double changesPerSecond, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<fleet::Mirror> mirrors(daemons);
        std::vector<double> syncedAtMillis(daemons, 0.0);
        std::vector<coordination::Revision> syncedRevisions(daemons, 0);
        ConfigResult result;
        KvStore store;
        std::vector<std::pair<double, coordination::Revision>> pendingChanges;
        double nextAtMillis = 0;
        auto isRelay = [&](size_t daemon) { return daemon / dataCenterCount < relaysPerDataCenter; };
        double bytes = 0;
        std::exponential_distribution<double> gapMillis(changesPerSecond / 1000);
        for (double now = 0; now < configRunSeconds * 1000; now += 1) {
            if (now >= nextAtMillis) {
                kvStoreTxn(store, {},
                    { { fmt::format("/rs/cfg/key/k{}", random() % 200),
                        std::string(120, 'x') + std::to_string(now) } });
                pendingChanges.emplace_back(now, store.revision);
                nextAtMillis = now + gapMillis(random);
            }
            for (size_t daemon = 0; daemon < daemons; ++daemon) {
                coordination::Revision before = mirrors[daemon].revision;
                if (isRelay(daemon)) {
                    std::vector<coordination::KvEvent> events;
                    for (const coordination::KvEvent& event : store.history) {
                        if (event.entry.modRevision > before && !pendingChanges.empty()
                            && now >= pendingChanges.back().first + watchMillis)
                            events.push_back(event);
                    }
                    if (!events.empty())
                        fleet::mirrorApplyEvents(mirrors[daemon], events, 0);
                } else {
                    const fleet::Mirror& relay
                        = mirrors[daemon % dataCenterCount + dataCenterCount * (random() % relaysPerDataCenter)];
                    bool hasChange = relay.revision > syncedRevisions[daemon] && now >= syncedAtMillis[daemon] + 1;
                    if (hasChange || now >= syncedAtMillis[daemon] + syncWaitMillis) {
                        nlohmann::json delta = fleet::mirrorDelta(relay, syncedRevisions[daemon], 0, timeAt(now));
                        bytes += static_cast<double>(nlohmann::json::to_msgpack(delta).size()) + 80;
                        fleet::mirrorMerge(mirrors[daemon], delta, timeAt(now));
                        syncedRevisions[daemon] = mirrors[daemon].revision;
                        syncedAtMillis[daemon] = now + 1;
                    }
                }
                result.revisionRegressions += mirrors[daemon].revision < before;
            }
            std::erase_if(pendingChanges, [&](auto& change) {
                bool isInForce = std::all_of(
                    mirrors.begin(), mirrors.end(), [&](auto& mirror) { return mirror.revision >= change.second; });
                if (isInForce)
                    result.propagationMillis.push_back(now - change.first);
                return isInForce;
            });
            while (store.history.size() > 256)
                store.history.pop_front();
        }
        double relayCount = static_cast<double>(std::min(daemons, dataCenterCount * relaysPerDataCenter));
        result.kvReadsPerSecond = relayCount * 1000 / headIntervalMillis;
        result.openWatchCount = relayCount;
        result.peerBytesPerSecond = bytes / configRunSeconds / static_cast<double>(daemons);
        return result;
    }

    ConfigResult runWatchEverywhere(size_t daemons)
    {
        ConfigResult result;
        result.propagationMillis = { watchMillis };
        result.kvReadsPerSecond = static_cast<double>(daemons) * 1000 / headIntervalMillis;
        result.openWatchCount = static_cast<double>(daemons);
        return result;
    }

    ConfigResult runPolling(size_t daemons, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ConfigResult result;
        for (int change = 0; change < 500; ++change) {
            double latestMillis = 0;
            for (size_t daemon = 0; daemon < daemons; ++daemon)
                latestMillis = std::max(latestMillis, std::uniform_real_distribution<double>(0, 1000)(random));
            result.propagationMillis.push_back(latestMillis + watchMillis);
        }
        result.kvReadsPerSecond = static_cast<double>(daemons);
        return result;
    }

    BenchRow configRow(size_t daemons, const char* strategy, const ConfigResult& result)
    {
        return { { fmt::format("{}", daemons), strategy, fmt::format("{:.0f}", quantile(result.propagationMillis, 0.5)),
            fmt::format("{:.0f}", quantile(result.propagationMillis, 1)),
            fmt::format("{:.0f}", result.kvReadsPerSecond), fmt::format("{:.0f}", result.openWatchCount),
            fmt::format("{:.0f}", result.peerBytesPerSecond), fmt::format("{}", result.revisionRegressions) } };
    }

} // namespace

BenchTable benchClaims(uint64_t seed)
{
    BenchTable table;
    table.title = "Claims of at-most-once calls: the KV takes 4 ms for a transaction and serves 400 writes per second";
    table.columns = { "calls/s", "way", "KV writes/s", "wait p50 ms", "wait p99 ms", "over 1 s %", "run twice" };
    for (double rate : { 50.0, 300.0, 1000.0, 4300.0 }) {
        table.rows.push_back(claimRow(rate, "group commit, 4 shards", runGroupCommit(rate, seed)));
        table.rows.push_back(claimRow(rate, "one write per claim", runSingleWrites(rate, seed)));
    }
    table.notes = { "an outcome is stored by a second write of the same kind, so a call costs twice these writes" };
    return table;
}

BenchTable benchConfig(uint64_t seed)
{
    BenchTable table;
    table.title = "Configuration in force everywhere: 4 data centres, a change every 20 s as in the reference fleet";
    table.columns = { "daemons", "way", "in force p50 ms", "in force max ms", "KV reads/s", "open watches",
        "peer bytes/s each", "went back" };
    constexpr double changesPerSecond = 0.05;
    for (size_t daemons : { size_t { 18 }, size_t { 100 } }) {
        table.rows.push_back(
            configRow(daemons, "two relays per data centre", runRelays(daemons, changesPerSecond, seed)));
        table.rows.push_back(configRow(daemons, "every daemon watches", runWatchEverywhere(daemons)));
        table.rows.push_back(configRow(daemons, "every daemon polls each second", runPolling(daemons, seed)));
    }
    return table;
}

} // namespace rattanshunt::lab

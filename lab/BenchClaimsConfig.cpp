// Claims with and without group commit; spread of configuration through relays, by watching everywhere, by polling.
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

    double quantile(std::vector<double> values, double part)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<size_t>(part * static_cast<double>(values.size() - 1))];
    }

    // ---- Claims ----------------------------------------------------------------------------------

    constexpr double kvMillis = 4; // for one transaction
    constexpr double kvWritesPerSecond = 400;
    constexpr double claimHopMillis = 1.5; // to the claim's home, one way
    constexpr double claimRunSeconds = 20;

    struct ClaimResult {
        double writesPerSecond = 0;
        std::vector<double> waitMillis;
        int64_t lateCount = 0; // waited for more than a second
        int64_t doubleGrants = 0;
    };

    // Homes gather claims; each has one transaction under way, started at least 20 ms after the one before.
    ClaimResult runGroupCommit(double rate, uint64_t seed)
    {
        constexpr size_t homes = 4;
        constexpr double interval = 20;
        std::mt19937_64 random(seed);
        KvStore store;
        std::vector<idempotency::ClaimQueue> queues(homes);
        std::vector<double> nextStart(homes, 0.0);
        std::map<uint64_t, double> arrivedAt;
        std::map<std::string, int> granted;
        ClaimResult run;
        std::exponential_distribution<double> gap(rate / 1000);
        double next = gap(random);
        uint64_t id = 0;
        for (double now = 0; now < claimRunSeconds * 1000; now += 0.5) {
            for (; next <= now; next += gap(random)) {
                // One in fifty is a repeat of an earlier call, sent to another daemon.
                uint64_t call = id && random() % 50 == 0 ? random() % id : id;
                std::string key = idempotency::claimKvKey("acme", fmt::format("call-{}", call));
                arrivedAt[++id] = next;
                queues[base::stableHash(key) % homes].waiting.push_back(
                    { id, key, 0, idempotency::claimToText({ fmt::format("op-{}", id), "d", "i", "x" }) });
            }
            for (size_t home = 0; home < homes; ++home) {
                if (queues[home].waiting.empty() || nextStart[home] > now)
                    continue;
                auto batch = idempotency::claimBatchTake(queues[home]);
                std::vector<coordination::KvCompare> compares;
                std::vector<coordination::KvWrite> writes;
                idempotency::claimBatchTxn(batch, compares, writes, 0);
                auto outcome = idempotency::claimBatchResolve(batch, storeTxn(store, compares, writes));
                run.writesPerSecond += 1 / claimRunSeconds;
                nextStart[home] = now + std::max(interval, kvMillis);
                for (auto& again : outcome.retries)
                    queues[home].waiting.push_front(again);
                for (auto& result : outcome.results) {
                    run.waitMillis.push_back(now + kvMillis + 2 * claimHopMillis - arrivedAt[result.id]);
                    bool isGranted = result.outcome == idempotency::ClaimWriteOutcome::Done;
                    auto write
                        = std::find_if(batch.begin(), batch.end(), [&](auto& item) { return item.id == result.id; });
                    run.doubleGrants += isGranted && granted[write->key]++;
                }
            }
        }
        for (double wait : run.waitMillis)
            run.lateCount += wait > 1000;
        return run;
    }

    // Each daemon writes each claim by itself; the KV serves so many writes a second.
    ClaimResult runSingleWrites(double rate, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ClaimResult run;
        std::exponential_distribution<double> gap(rate / 1000);
        double freeAt = 0;
        for (double now = gap(random); now < claimRunSeconds * 1000; now += gap(random)) {
            freeAt = std::max(freeAt, now) + 1000 / kvWritesPerSecond;
            run.waitMillis.push_back(freeAt - now + kvMillis);
            run.writesPerSecond += 1 / claimRunSeconds;
            run.lateCount += run.waitMillis.back() > 1000;
        }
        return run;
    }

    BenchRow claimRow(double rate, const char* way, const ClaimResult& run)
    {
        return { { fmt::format("{:.0f}", rate), way, fmt::format("{:.0f}", run.writesPerSecond),
            fmt::format("{:.1f}", quantile(run.waitMillis, 0.5)), fmt::format("{:.1f}", quantile(run.waitMillis, 0.99)),
            fmt::format(
                "{:.2f}", 100.0 * static_cast<double>(run.lateCount) / static_cast<double>(run.waitMillis.size())),
            fmt::format("{}", run.doubleGrants) } };
    }

    // ---- Configuration ---------------------------------------------------------------------------

    constexpr size_t dataCenterCount = 4;
    constexpr size_t relaysPerDataCenter = 2;
    constexpr double configRunSeconds = 120;
    constexpr double watchMillis = 2; // from a change to a watcher
    constexpr double syncWaitMillis = 500;
    constexpr double headIntervalMillis = 500;

    struct ConfigResult {
        std::vector<double> propagationMillis; // milliseconds until a change was in force everywhere
        double kvReadsPerSecond = 0;
        double openWatchCount = 0;
        double peerBytesPerSecond = 0;   // a second, between peers
        int64_t revisionRegressions = 0; // times that a mirror's revision fell
    };

    // Relays hear by watch; the others ask a relay with a call that waits. Messages are the real ones.
    ConfigResult runRelays(size_t daemons, double changesPerSecond, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<fleet::Mirror> mirrors(daemons);
        std::vector<double> askedAt(daemons, 0.0);
        std::vector<coordination::Revision> askedWith(daemons, 0);
        ConfigResult run;
        KvStore store;
        std::vector<std::pair<double, coordination::Revision>> open;
        double next = 0;
        auto isRelay = [&](size_t daemon) { return daemon / dataCenterCount < relaysPerDataCenter; };
        double bytes = 0;
        std::exponential_distribution<double> gap(changesPerSecond / 1000);
        for (double now = 0; now < configRunSeconds * 1000; now += 1) {
            if (now >= next) {
                storeTxn(store, {},
                    { { fmt::format("/rs/cfg/key/k{}", random() % 200),
                        std::string(120, 'x') + std::to_string(now) } });
                open.emplace_back(now, store.revision);
                next = now + gap(random);
            }
            for (size_t daemon = 0; daemon < daemons; ++daemon) {
                coordination::Revision before = mirrors[daemon].revision;
                if (isRelay(daemon)) {
                    std::vector<coordination::KvEvent> events;
                    for (const coordination::KvEvent& event : store.history) {
                        if (event.entry.modRevision > before && !open.empty() && now >= open.back().first + watchMillis)
                            events.push_back(event);
                    }
                    if (!events.empty())
                        fleet::mirrorApplyEvents(mirrors[daemon], events, 0);
                } else {
                    const fleet::Mirror& relay
                        = mirrors[daemon % dataCenterCount + dataCenterCount * (random() % relaysPerDataCenter)];
                    bool hasNews = relay.revision > askedWith[daemon] && now >= askedAt[daemon] + 1;
                    if (hasNews || now >= askedAt[daemon] + syncWaitMillis) {
                        nlohmann::json delta = fleet::mirrorDelta(relay, askedWith[daemon], 0, timeAt(now));
                        bytes += static_cast<double>(nlohmann::json::to_msgpack(delta).size()) + 80;
                        fleet::mirrorMerge(mirrors[daemon], delta, timeAt(now));
                        askedWith[daemon] = mirrors[daemon].revision;
                        askedAt[daemon] = now + 1;
                    }
                }
                run.revisionRegressions += mirrors[daemon].revision < before;
            }
            std::erase_if(open, [&](auto& change) {
                bool isEverywhere = std::all_of(
                    mirrors.begin(), mirrors.end(), [&](auto& mirror) { return mirror.revision >= change.second; });
                if (isEverywhere)
                    run.propagationMillis.push_back(now - change.first);
                return isEverywhere;
            });
            while (store.history.size() > 256)
                store.history.pop_front();
        }
        double relayCount = static_cast<double>(std::min(daemons, dataCenterCount * relaysPerDataCenter));
        run.kvReadsPerSecond = relayCount * 1000 / headIntervalMillis;
        run.openWatchCount = relayCount;
        run.peerBytesPerSecond = bytes / configRunSeconds / static_cast<double>(daemons);
        return run;
    }

    ConfigResult runWatchEverywhere(size_t daemons)
    {
        ConfigResult run;
        run.propagationMillis = { watchMillis };
        run.kvReadsPerSecond = static_cast<double>(daemons) * 1000 / headIntervalMillis;
        run.openWatchCount = static_cast<double>(daemons);
        return run;
    }

    ConfigResult runPolling(size_t daemons, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ConfigResult run;
        for (int change = 0; change < 500; ++change) {
            double latest = 0;
            for (size_t daemon = 0; daemon < daemons; ++daemon)
                latest = std::max(latest, std::uniform_real_distribution<double>(0, 1000)(random));
            run.propagationMillis.push_back(latest + watchMillis);
        }
        run.kvReadsPerSecond = static_cast<double>(daemons);
        return run;
    }

    BenchRow configRow(size_t daemons, const char* way, const ConfigResult& run)
    {
        return { { fmt::format("{}", daemons), way, fmt::format("{:.0f}", quantile(run.propagationMillis, 0.5)),
            fmt::format("{:.0f}", quantile(run.propagationMillis, 1)), fmt::format("{:.0f}", run.kvReadsPerSecond),
            fmt::format("{:.0f}", run.openWatchCount), fmt::format("{:.0f}", run.peerBytesPerSecond),
            fmt::format("{}", run.revisionRegressions) } };
    }

} // namespace

BenchTable benchClaims(uint64_t seed)
{
    BenchTable table;
    table.title
        = "Claims of calls that may not be repeated: the KV takes 4 ms for a transaction and 400 writes a second";
    table.columns = { "calls/s", "way", "KV writes/s", "wait p50 ms", "wait p99 ms", "over 1 s %", "run twice" };
    for (double rate : { 50.0, 300.0, 1000.0, 4300.0 }) {
        table.rows.push_back(claimRow(rate, "group commit, 4 homes", runGroupCommit(rate, seed)));
        table.rows.push_back(claimRow(rate, "a write each", runSingleWrites(rate, seed)));
    }
    table.notes = { "an outcome is stored by a second write of the same kind, so a call costs twice these writes" };
    return table;
}

BenchTable benchConfig(uint64_t seed)
{
    BenchTable table;
    table.title = "Configuration in force everywhere: 4 data centres, a change every 20 s as at letter 1's size";
    table.columns = { "daemons", "way", "in force p50 ms", "in force max ms", "KV reads/s", "open watches",
        "peer bytes/s each", "went back" };
    constexpr double changesPerSecond = 0.05;
    for (size_t daemons : { size_t { 18 }, size_t { 100 } }) {
        table.rows.push_back(
            configRow(daemons, "relays, two a data centre", runRelays(daemons, changesPerSecond, seed)));
        table.rows.push_back(configRow(daemons, "every daemon watches", runWatchEverywhere(daemons)));
        table.rows.push_back(configRow(daemons, "every daemon polls each second", runPolling(daemons, seed)));
    }
    return table;
}

} // namespace rattanshunt::lab

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
    constexpr double hopMillis = 1.5; // to the claim's home, one way
    constexpr double claimSeconds = 20;

    struct ClaimRun {
        double writesPerSecond = 0;
        std::vector<double> waits;
        int64_t late = 0; // waited for more than a second
        int64_t ranTwice = 0;
    };

    // Homes gather claims; each has one transaction under way, started at least 20 ms after the one before.
    ClaimRun runGrouped(double rate, uint64_t seed)
    {
        constexpr size_t homes = 4;
        constexpr double interval = 20;
        std::mt19937_64 random(seed);
        KvStore store;
        std::vector<idempotency::ClaimQueue> queues(homes);
        std::vector<double> nextStart(homes, 0.0);
        std::map<uint64_t, double> arrivedAt;
        std::map<std::string, int> granted;
        ClaimRun run;
        std::exponential_distribution<double> gap(rate / 1000);
        double next = gap(random);
        uint64_t id = 0;
        for (double now = 0; now < claimSeconds * 1000; now += 0.5) {
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
                auto outcome = idempotency::claimBatchResolve(batch, kvStoreTxn(store, compares, writes));
                run.writesPerSecond += 1 / claimSeconds;
                nextStart[home] = now + std::max(interval, kvMillis);
                for (auto& again : outcome.retries)
                    queues[home].waiting.push_front(again);
                for (auto& result : outcome.results) {
                    run.waits.push_back(now + kvMillis + 2 * hopMillis - arrivedAt[result.id]);
                    bool isGranted = result.outcome == idempotency::ClaimWriteOutcome::Done;
                    auto write
                        = std::find_if(batch.begin(), batch.end(), [&](auto& item) { return item.id == result.id; });
                    run.ranTwice += isGranted && granted[write->key]++;
                }
            }
        }
        for (double wait : run.waits)
            run.late += wait > 1000;
        return run;
    }

    // Each daemon writes each claim by itself; the KV serves so many writes a second.
    ClaimRun runSingle(double rate, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ClaimRun run;
        std::exponential_distribution<double> gap(rate / 1000);
        double freeAt = 0;
        for (double now = gap(random); now < claimSeconds * 1000; now += gap(random)) {
            freeAt = std::max(freeAt, now) + 1000 / kvWritesPerSecond;
            run.waits.push_back(freeAt - now + kvMillis);
            run.writesPerSecond += 1 / claimSeconds;
            run.late += run.waits.back() > 1000;
        }
        return run;
    }

    BenchRow claimRow(double rate, const char* way, const ClaimRun& run)
    {
        return { { fmt::format("{:.0f}", rate), way, fmt::format("{:.0f}", run.writesPerSecond),
            fmt::format("{:.1f}", quantile(run.waits, 0.5)), fmt::format("{:.1f}", quantile(run.waits, 0.99)),
            fmt::format("{:.2f}", 100.0 * static_cast<double>(run.late) / static_cast<double>(run.waits.size())),
            fmt::format("{}", run.ranTwice) } };
    }

    // ---- Configuration ---------------------------------------------------------------------------

    constexpr size_t centers = 4;
    constexpr size_t relays = 2;
    constexpr double configSeconds = 120;
    constexpr double watchMillis = 2; // from a change to a watcher
    constexpr double syncWait = 500;
    constexpr double headInterval = 500;

    struct ConfigRun {
        std::vector<double> spreads; // milliseconds until a change was in force everywhere
        double readsPerSecond = 0;
        double openWatches = 0;
        double bytesPerDaemon = 0; // a second, between peers
        int64_t wentBack = 0;      // times that a mirror's revision fell
    };

    // Relays hear by watch; the others ask a relay with a call that waits. Messages are the real ones.
    ConfigRun runRelays(size_t daemons, double changesPerSecond, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<fleet::Mirror> mirrors(daemons);
        std::vector<double> askedAt(daemons, 0.0);
        std::vector<coordination::Revision> askedWith(daemons, 0);
        ConfigRun run;
        KvStore store;
        std::vector<std::pair<double, coordination::Revision>> open;
        double next = 0;
        auto isRelay = [&](size_t daemon) { return daemon / centers < relays; };
        double bytes = 0;
        std::exponential_distribution<double> gap(changesPerSecond / 1000);
        for (double now = 0; now < configSeconds * 1000; now += 1) {
            if (now >= next) {
                kvStoreTxn(store, {},
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
                    const fleet::Mirror& relay = mirrors[daemon % centers + centers * (random() % relays)];
                    bool hasNews = relay.revision > askedWith[daemon] && now >= askedAt[daemon] + 1;
                    if (hasNews || now >= askedAt[daemon] + syncWait) {
                        nlohmann::json delta = fleet::mirrorDelta(relay, askedWith[daemon], 0, timeAt(now));
                        bytes += static_cast<double>(nlohmann::json::to_msgpack(delta).size()) + 80;
                        fleet::mirrorMerge(mirrors[daemon], delta, timeAt(now));
                        askedWith[daemon] = mirrors[daemon].revision;
                        askedAt[daemon] = now + 1;
                    }
                }
                run.wentBack += mirrors[daemon].revision < before;
            }
            std::erase_if(open, [&](auto& change) {
                bool isEverywhere = std::all_of(
                    mirrors.begin(), mirrors.end(), [&](auto& mirror) { return mirror.revision >= change.second; });
                if (isEverywhere)
                    run.spreads.push_back(now - change.first);
                return isEverywhere;
            });
            while (store.history.size() > 256)
                store.history.pop_front();
        }
        double relayCount = static_cast<double>(std::min(daemons, centers * relays));
        run.readsPerSecond = relayCount * 1000 / headInterval;
        run.openWatches = relayCount;
        run.bytesPerDaemon = bytes / configSeconds / static_cast<double>(daemons);
        return run;
    }

    ConfigRun runEverywhere(size_t daemons)
    {
        ConfigRun run;
        run.spreads = { watchMillis };
        run.readsPerSecond = static_cast<double>(daemons) * 1000 / headInterval;
        run.openWatches = static_cast<double>(daemons);
        return run;
    }

    ConfigRun runPolling(size_t daemons, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        ConfigRun run;
        for (int change = 0; change < 500; ++change) {
            double latest = 0;
            for (size_t daemon = 0; daemon < daemons; ++daemon)
                latest = std::max(latest, std::uniform_real_distribution<double>(0, 1000)(random));
            run.spreads.push_back(latest + watchMillis);
        }
        run.readsPerSecond = static_cast<double>(daemons);
        return run;
    }

    BenchRow configRow(size_t daemons, const char* way, const ConfigRun& run)
    {
        return { { fmt::format("{}", daemons), way, fmt::format("{:.0f}", quantile(run.spreads, 0.5)),
            fmt::format("{:.0f}", quantile(run.spreads, 1)), fmt::format("{:.0f}", run.readsPerSecond),
            fmt::format("{:.0f}", run.openWatches), fmt::format("{:.0f}", run.bytesPerDaemon),
            fmt::format("{}", run.wentBack) } };
    }

} // namespace

BenchTable benchOnce(uint64_t seed)
{
    BenchTable table;
    table.title
        = "Claims of calls that may not be repeated: the KV takes 4 ms for a transaction and 400 writes a second";
    table.columns = { "calls/s", "way", "KV writes/s", "wait p50 ms", "wait p99 ms", "over 1 s %", "run twice" };
    for (double rate : { 50.0, 300.0, 1000.0, 4300.0 }) {
        table.rows.push_back(claimRow(rate, "group commit, 4 homes", runGrouped(rate, seed)));
        table.rows.push_back(claimRow(rate, "a write each", runSingle(rate, seed)));
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
        table.rows.push_back(configRow(daemons, "every daemon watches", runEverywhere(daemons)));
        table.rows.push_back(configRow(daemons, "every daemon polls each second", runPolling(daemons, seed)));
    }
    return table;
}

} // namespace rattanshunt::lab

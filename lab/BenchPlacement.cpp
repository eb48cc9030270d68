// Cold-start storm: the placement planner compared with first come, first served, with routers that load without
// coordination, and with the lower bound that the weight store sets.
#include <cmath>
#include <queue>
#include <random>

#include <fmt/format.h>

#include "Bench.h"
#include "placement/PlacementPlanner.h"

namespace rattanshunt::lab {

using namespace placement;
using base::TimePoint;

namespace {

    TimePoint timeAt(double millis)
    {
        return TimePoint {} + base::Seconds(1000) + base::durationOf(millis / 1000);
    }

    struct City {
        const char* name;
        size_t modelCount;
        size_t endpointCount;
        double loadStartsPerSecond; // limit of the weight store
        double loadMillis;          // duration of a load when at most fullSpeedLoads run at once
    };

    constexpr double fullSpeedLoads = 4;
    constexpr size_t modelsPerEndpoint = 4;
    constexpr double decisionMillis = 14;    // report of demand to the owner, one transaction, the order
    constexpr double readyNoticeMillis = 35; // until a finished load is noticed, recorded and known to all daemons

    struct Request {
        double millis = 0;
        size_t model = 0;
        bool isHighPriority = false;
    };

    std::vector<Request> makeStorm(const City& city, uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<Request> requests;
        for (size_t model = 0; model < city.modelCount; ++model) {
            bool isHighPriority = model % 4 == 0;
            double first = static_cast<double>(random() % 1500);
            for (int i = 0; i < 20; ++i)
                requests.push_back({ first + static_cast<double>(random() % 3000), model, isHighPriority });
            requests.push_back({ first, model, isHighPriority });
        }
        std::sort(
            requests.begin(), requests.end(), [](const Request& a, const Request& b) { return a.millis < b.millis; });
        return requests;
    }

    // A weight store whose loads share the bandwidth of fullSpeedLoads loads when more are running.
    class WeightStore {
    public:
        explicit WeightStore(const City& city)
            : m_city(city)
        {
        }

        void start(double now, size_t model)
        {
            double startAtMillis = std::max(now, m_nextStartMillis);
            m_nextStartMillis = startAtMillis + 1000 / m_city.loadStartsPerSecond;
            m_loads.push_back({ model, startAtMillis, m_city.loadMillis });
        }

        // Advances the loads by `step` milliseconds and gives the models whose load has finished.
        std::vector<size_t> advance(double now, double step)
        {
            double active = 0;
            for (const Load& load : m_loads)
                active += load.startAtMillis <= now;
            double speed = active > fullSpeedLoads ? fullSpeedLoads / active : 1;
            std::vector<size_t> done;
            for (Load& load : m_loads) {
                if (load.startAtMillis <= now)
                    load.leftMillis -= step * speed;
                if (load.leftMillis <= 0)
                    done.push_back(load.model);
            }
            std::erase_if(m_loads, [](const Load& load) { return load.leftMillis <= 0; });
            return done;
        }

    private:
        struct Load {
            size_t model;
            double startAtMillis;
            double leftMillis;
        };
        const City& m_city;
        std::vector<Load> m_loads;
        double m_nextStartMillis = 0;
    };

    struct Result {
        std::vector<double> allWaitsMillis;
        std::vector<double> highPriorityWaitsMillis;
        double lastReadyMillis = 0;
    };

    Result waitsUntilReady(const std::vector<Request>& requests, const std::vector<double>& readyAt)
    {
        Result result;
        for (const Request& request : requests) {
            double wait = std::max(readyAt[request.model] - request.millis, 0.0);
            result.allWaitsMillis.push_back(wait);
            if (request.isHighPriority)
                result.highPriorityWaitsMillis.push_back(wait);
            result.lastReadyMillis = std::max(result.lastReadyMillis, readyAt[request.model]);
        }
        return result;
    }

    // The product's planner, with the delays of its daemon and transactions.
    Result runPlanner(const City& city, const std::vector<Request>& requests, bool ordersByPriority)
    {
        PlacementPlanner planner;
        planner.options.maxStoreLoads = static_cast<size_t>(fullSpeedLoads);
        planner.options.ordersByPriority = ordersByPriority;
        for (size_t i = 0; i < city.endpointCount; ++i) {
            PlacementEndpointState endpoint;
            endpoint.id = fmt::format("e{}", i);
            endpoint.pool = "p";
            endpoint.bootId = "b";
            endpoint.memoryBytes = static_cast<int64_t>(modelsPerEndpoint) * 10;
            planner.endpoints[endpoint.id] = endpoint;
        }
        for (size_t i = 0; i < city.modelCount; ++i) {
            PlacementModelState model;
            model.name = fmt::format("m{:03}", i);
            model.pool = "p";
            model.bytes = 10;
            model.idleTime = base::Seconds(600);
            planner.models[model.name] = model;
        }
        WeightStore store(city);
        std::vector<double> readyAt(city.modelCount, 1e9);
        struct Event {
            double millis;
            size_t model;
            int kind; // 0: the order reaches the endpoint, 1: all daemons know that the model is ready
            bool operator<(const Event& other) const { return millis > other.millis; }
        };
        std::priority_queue<Event> events;
        size_t nextRequest = 0;
        size_t readyCount = 0;
        int orderCount = 0;
        constexpr double step = 1;
        for (double now = 0; readyCount < city.modelCount && now < 600000; now += step) {
            for (; nextRequest < requests.size() && requests[nextRequest].millis <= now; ++nextRequest) {
                PlacementModelState& model = planner.models[fmt::format("m{:03}", requests[nextRequest].model)];
                if (!model.waitingCount++) {
                    model.waitingSince = timeAt(now);
                    model.waitingPriority = requests[nextRequest].isHighPriority ? resources::PriorityClass::High
                                                                                 : resources::PriorityClass::Normal;
                }
            }
            for (size_t model : store.advance(now, step))
                events.push({ now + readyNoticeMillis, model, 1 });
            while (!events.empty() && events.top().millis <= now) {
                Event event = events.top();
                events.pop();
                if (event.kind == 0) {
                    store.start(now, event.model);
                    continue;
                }
                PlacementModelState& model = planner.models[fmt::format("m{:03}", event.model)];
                model.placedReplicas[0].state = PlacedReplicaState::Ready;
                model.waitingCount = 0;
                model.lastUsedAt = timeAt(now);
                readyAt[event.model] = now;
                ++readyCount;
            }
            while (auto change = placementNextChange(planner, timeAt(now))) {
                ModelRecord record;
                MemoryLedger ledger;
                if (change->kind != PlacementChangeKind::Load
                    || !placementApplyChange(planner, *change, fmt::format("o{}", orderCount++), 1, record, ledger))
                    break;
                planner.models[change->model].placedReplicas = record.placedReplicas;
                planner.endpoints[change->endpoint].ledger = ledger;
                events.push({ now + decisionMillis, static_cast<size_t>(std::stoul(change->model.substr(1))), 0 });
            }
        }
        return waitsUntilReady(requests, readyAt);
    }

    // Each router orders a load at its first request for a cold model, regardless of the store's limits.
    Result runUncoordinatedRouters(const City& city, const std::vector<Request>& requests)
    {
        WeightStore store(city);
        std::vector<double> readyAt(city.modelCount, 1e9);
        std::vector<bool> isStarted(city.modelCount);
        size_t nextRequest = 0;
        size_t readyCount = 0;
        constexpr double step = 1;
        for (double now = 0; readyCount < city.modelCount && now < 600000; now += step) {
            for (; nextRequest < requests.size() && requests[nextRequest].millis <= now; ++nextRequest) {
                if (isStarted[requests[nextRequest].model])
                    continue;
                isStarted[requests[nextRequest].model] = true;
                store.start(now + decisionMillis, requests[nextRequest].model);
            }
            for (size_t model : store.advance(now, step)) {
                readyAt[model] = now + readyNoticeMillis;
                ++readyCount;
            }
        }
        return waitsUntilReady(requests, readyAt);
    }

    // Lower bound: the store is always busy and nothing else takes time. Highest priority first, then the oldest
    // request.
    Result runStoreBound(const City& city, const std::vector<Request>& requests)
    {
        std::vector<double> firstAt(city.modelCount, 1e9);
        std::vector<bool> isHighPriority(city.modelCount);
        for (const Request& request : requests) {
            firstAt[request.model] = std::min(firstAt[request.model], request.millis);
            isHighPriority[request.model] = request.isHighPriority;
        }
        std::vector<double> freeAt(static_cast<size_t>(fullSpeedLoads), 0.0);
        std::vector<double> readyAt(city.modelCount, 1e9);
        std::vector<bool> isDone(city.modelCount);
        double nextStart = 0;
        for (size_t count = 0; count < city.modelCount; ++count) {
            auto freeLoader = std::min_element(freeAt.begin(), freeAt.end());
            double now = std::max(*freeLoader, nextStart);
            double earliest = 1e9;
            for (size_t model = 0; model < city.modelCount; ++model) {
                if (!isDone[model])
                    earliest = std::min(earliest, firstAt[model]);
            }
            now = std::max(now, earliest);
            size_t best = city.modelCount;
            for (size_t model = 0; model < city.modelCount; ++model) {
                if (isDone[model] || firstAt[model] > now)
                    continue;
                bool isBetter = best == city.modelCount || (isHighPriority[model] && !isHighPriority[best])
                    || (isHighPriority[model] == isHighPriority[best] && firstAt[model] < firstAt[best]);
                if (isBetter)
                    best = model;
            }
            isDone[best] = true;
            nextStart = now + 1000 / city.loadStartsPerSecond;
            readyAt[best] = *freeLoader = now + city.loadMillis;
        }
        return waitsUntilReady(requests, readyAt);
    }

    double quantile(std::vector<double> values, double fraction)
    {
        std::sort(values.begin(), values.end());
        return values.empty()
            ? 0
            : values[std::min(values.size() - 1, static_cast<size_t>(fraction * static_cast<double>(values.size())))];
    }

    BenchRow rowOf(const City& city, const char* strategy, const Result& result, const Result& storeBound,
        const Result& uncoordinated)
    {
        return { { city.name, strategy, fmt::format("{:.2f}", quantile(result.allWaitsMillis, 0.5) / 1000),
            fmt::format("{:.2f}", quantile(result.allWaitsMillis, 0.99) / 1000),
            fmt::format("{:.2f}", quantile(result.allWaitsMillis, 1) / 1000),
            fmt::format("{:.2f}", quantile(result.highPriorityWaitsMillis, 0.99) / 1000),
            fmt::format("{:.2f}", quantile(result.allWaitsMillis, 0.99) / quantile(storeBound.allWaitsMillis, 0.99)),
            fmt::format("{:.2f}",
                quantile(result.highPriorityWaitsMillis, 0.99)
                    / quantile(uncoordinated.highPriorityWaitsMillis, 0.99)) } };
    }

} // namespace

BenchTable benchPlacement(uint64_t seed)
{
    BenchTable table;
    table.title = "Cold-start storm: all models at once, a quarter of them with high priority (bulletins); waits of "
                  "requests in s";
    table.columns
        = { "city", "way", "p50", "p99", "max", "bulletins p99", "p99 / store's bound", "bulletins p99 / per router" };
    for (const City& city :
        { City { "Mauritius, 30 models", 30, 14, 2, 2000 }, City { "Ho Chi Minh City, 45 models", 45, 24, 4, 1000 } }) {
        auto requests = makeStorm(city, seed);
        Result storeBound = runStoreBound(city, requests);
        Result uncoordinated = runUncoordinatedRouters(city, requests);
        table.rows.push_back(rowOf(city, "store's bound", storeBound, storeBound, uncoordinated));
        table.rows.push_back(rowOf(city, "planner", runPlanner(city, requests, true), storeBound, uncoordinated));
        table.rows.push_back(rowOf(
            city, "planner, first come first served", runPlanner(city, requests, false), storeBound, uncoordinated));
        table.rows.push_back(
            rowOf(city, "per router, first come first served", uncoordinated, storeBound, uncoordinated));
    }
    table.notes
        = { "the store starts 2 or 4 loads a second and runs 4 at full speed; each replica holds one model copy" };
    return table;
}

} // namespace rattanshunt::lab

// Cost of single operations at the size of the reference fleet, for docs/CAPACITY.md. Calls the product's functions on
// as many records as that fleet has.
#include <unistd.h>

#include <fstream>

#include <fmt/format.h>

#include "Bench.h"
#include "base/Text.h"
#include "budget/Borrower.h"
#include "fleet/Members.h"
#include "idempotency/Claims.h"
#include "net/PeerFrames.h"
#include "placement/PlacementPlanner.h"
#include "resources/Catalog.h"

namespace rattanshunt::lab {

using base::Clock;
using nlohmann::json;

namespace {

    // Size of the reference fleet.
    constexpr size_t daemonCount = 410;
    constexpr size_t replicaCount = 3600;
    constexpr size_t modelCount = 1000;
    constexpr size_t adapterCount = 2900;
    constexpr size_t regionCount = 7;
    constexpr size_t accountCount = 300;
    constexpr size_t keyCount = 1200;

    double residentMegabytes()
    {
        std::ifstream file("/proc/self/statm");
        size_t total = 0;
        size_t resident = 0;
        file >> total >> resident;
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }

    // Mean seconds per call of `operation`, measured over at least 200 ms.
    template <typename Step> double secondsPerCall(Step&& operation)
    {
        size_t count = 0;
        base::TimePoint start = Clock::now();
        while (Clock::now() - start < base::Millis(200)) {
            operation();
            ++count;
        }
        return base::secondsOf(Clock::now() - start) / static_cast<double>(count);
    }

    fleet::Mirror referenceMirror()
    {
        fleet::Mirror mirror;
        coordination::Revision revision = 0;
        auto put = [&](const std::string& key, const std::string& value) {
            ++revision;
            mirror.records[key] = { value, revision, revision };
        };
        for (size_t i = 0; i < modelCount; ++i)
            put(resources::resourceKvKey("model", fmt::format("model-{}", i)),
                R"({"pool":"drafter","bytes":40000000000,"replicas":4,"idle_seconds":300})");
        for (size_t i = 0; i < adapterCount; ++i)
            put(resources::resourceKvKey("adapter", fmt::format("adapter-{}", i)),
                fmt::format(R"({{"model":"model-{}","bytes":200000000}})", i % modelCount));
        for (size_t i = 0; i < accountCount; ++i)
            put(resources::resourceKvKey("account", fmt::format("account-{}", i)), R"({"rate":4000,"burst":16000})");
        for (size_t i = 0; i < keyCount; ++i)
            put(resources::resourceKvKey("key", fmt::format("key-{}", i)),
                fmt::format(R"({{"account":"account-{}","digest":"{}"}})", i % accountCount,
                    base::hexEncode(base::sha256(std::to_string(i)))));
        for (size_t i = 0; i < daemonCount; ++i) {
            fleet::Session session { fmt::format("daemon-{}", i), base::randomId(), { "10.0.0.1", 8081 },
                { "10.0.0.1", 8082 }, fmt::format("dc-{}", i % 17), fleet::SessionState::Ready };
            put(fleet::sessionKvKey(session.name), fleet::sessionToText(session));
        }
        // 14% of models and adapters are loaded.
        for (size_t i = 0; i < (modelCount + adapterCount) * 14 / 100; ++i) {
            placement::ModelRecord record {
                { { fmt::format("engine-{}", i), "boot", base::randomId(), 1, placement::PlacedReplicaState::Ready } },
                base::randomId()
            };
            put(placement::modelKvKey(fmt::format("model-{}", i)), placement::modelRecordToText(record));
        }
        mirror.revision = revision;
        std::vector<coordination::Instance> list;
        for (size_t i = 0; i < replicaCount; ++i)
            list.push_back({ fmt::format("engine-{}", i), "drafter", { "10.0.0.1", 8000 }, fmt::format("dc-{}", i % 17),
                "boot", coordination::InstanceState::Live, 80000000000, true });
        fleet::mirrorApplyInstances(mirror, list, 1);
        return mirror;
    }

    placement::PlacementPlanner referencePlanner()
    {
        placement::PlacementPlanner planner;
        for (size_t i = 0; i < replicaCount / regionCount; ++i) {
            placement::PlacementEndpointState endpoint;
            endpoint.id = fmt::format("engine-{}", i);
            endpoint.pool = "drafter";
            endpoint.bootId = "boot";
            endpoint.memoryBytes = 80;
            planner.endpoints[endpoint.id] = endpoint;
        }
        for (size_t i = 0; i < modelCount + adapterCount; ++i) {
            placement::PlacementModelState model;
            model.name = fmt::format("model-{}", i);
            model.pool = "drafter";
            model.bytes = i < modelCount ? 40 : 1;
            model.idleTime = base::Seconds(300);
            if (i >= modelCount)
                model.base = fmt::format("model-{}", i % modelCount);
            planner.models[model.name] = model;
        }
        return planner;
    }

} // namespace

BenchTable benchCapacity(uint64_t)
{
    BenchTable table;
    table.title = "Single operations at the size of the reference fleet (410 daemons, 3600 replicas, 1000 models, 2900 "
                  "adapters, 1200 keys)";
    table.columns = { "step", "time us", "bytes" };
    auto row = [&](const std::string& operation, double seconds, const std::string& bytes) {
        table.rows.push_back({ { operation, fmt::format("{:.1f}", seconds * 1e6), bytes } });
    };
    double before = residentMegabytes();
    fleet::Mirror mirror = referenceMirror();
    double afterMirror = residentMegabytes();
    resources::EndpointLoads loads;
    auto catalog = resources::catalogBuild(mirror, loads);
    double afterCatalog = residentMegabytes();
    table.rows.push_back({ { "memory of the mirror", "", fmt::format("{:.1f} MB", afterMirror - before) } });
    table.rows.push_back({ { "memory of one catalog", "", fmt::format("{:.1f} MB", afterCatalog - afterMirror) } });
    row("build a catalog after a change", secondsPerCall([&] { resources::catalogBuild(mirror, loads); }), "");
    row("read all sessions", secondsPerCall([&] { fleet::sessionsRead(mirror); }), "");
    auto sessions = fleet::sessionsRead(mirror);
    row("rank the owners of one slot", secondsPerCall([&] { fleet::ownersRank(sessions, "slot/1", "dc-1"); }), "");
    json snapshot = fleet::mirrorDelta(mirror, 0, 0, Clock::now());
    row("answer a sync without changes",
        secondsPerCall([&] { fleet::mirrorDelta(mirror, mirror.revision, mirror.instanceListVersion, Clock::now()); }),
        fmt::format("{}",
            json::to_msgpack(fleet::mirrorDelta(mirror, mirror.revision, mirror.instanceListVersion, Clock::now()))
                    .size()
                + 20));
    row("full copy for a daemon that starts", secondsPerCall([&] { fleet::mirrorDelta(mirror, 0, 0, Clock::now()); }),
        fmt::format("{}", json::to_msgpack(snapshot).size()));

    net::PeerHandshake handshake { "d1", std::string(16, 'a'), "d2", std::string(16, 'b') };
    net::PeerFrameCodec caller("secret-secret-16", handshake, net::PeerSide::Caller);
    net::PeerFrameCodec listener("secret-secret-16", handshake, net::PeerSide::Listener);
    budget::BudgetOptions options;
    options.slotCount = 8;
    resources::Account account { "account-1", 4000, 16000, 1 };
    budget::Lender lender;
    lender.epoch = 1;
    lender.isFirstHolder = true;
    auto lookup = [&](const std::string&) { return budget::LenderAccountSpec { &account, 1 }; };
    budget::BudgetCall call { 1,
        { { 1, "account-1", budget::BudgetItemMode::Take, 1, 0, resources::PriorityClass::Normal, base::Micros(100), 0,
            "daemon-1/123" } },
        { { "account-1", 5, 1 } } };
    budget::BudgetAnswer answer = budget::lenderAnswer(lender, call, lookup, options, Clock::now());
    json request = json::array({ "q", 1, "budget", { { "slot", 1 }, { "call", budget::budgetCallToJson(call) } } });
    json reply = json::array({ "a", 1, true, budget::budgetAnswerToJson(answer) });
    size_t callBytes = json::to_msgpack(request).size() + json::to_msgpack(reply).size() + 40;
    row("borrow once from a peer, both sides", secondsPerCall([&] {
        auto opened = listener.decode(caller.encode(request).substr(net::peerLengthBytes));
        budget::BudgetCall read = budget::budgetCallFromJson((*opened)[3]["call"]);
        read.returns.clear();
        json body = budget::budgetAnswerToJson(budget::lenderAnswer(lender, read, lookup, options, Clock::now()));
        auto answered
            = caller.decode(listener.encode(json::array({ "a", 1, true, body })).substr(net::peerLengthBytes));
        budget::budgetAnswerFromJson((*answered)[3]);
    }),
        fmt::format("{}", callBytes));

    placement::PlacementPlanner planner = referencePlanner();
    planner.models["model-7"].waitingCount = 1;
    row("one decision of a region's placement owner",
        secondsPerCall([&] { placement::placementNextChange(planner, Clock::now()); }), "");

    idempotency::Claim claim { base::randomId() + base::randomId(), "daemon-1", base::randomId(),
        std::string(32, 'd') };
    size_t claimBytes = idempotency::claimToText(claim).size() + 80;
    row("100 claims in one transaction", secondsPerCall([&] {
        idempotency::ClaimQueue queue;
        for (size_t i = 0; i < 100; ++i)
            queue.waiting.push_back(
                { i, idempotency::claimKvKey("account-1", std::to_string(i)), 0, idempotency::claimToText(claim) });
        std::vector<coordination::KvCompare> compares;
        std::vector<coordination::KvWrite> writes;
        idempotency::claimBatchTxn(idempotency::claimBatchTake(queue), compares, writes, 1);
    }),
        fmt::format("{}", claimBytes * 100));
    return table;
}

} // namespace rattanshunt::lab

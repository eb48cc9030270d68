// Bytes without end from what a daemon of the product's own interface calls: engines, services and the KV service. Each
// call ends in time, and many at once keep bounded memory.
#include <fstream>

#include "ServeFixtures.h"
#include "coordination/KvClient.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using namespace rattanshunt::tests;

namespace {

constexpr size_t endpointCount = 50;
constexpr size_t maxPeakBytes = 64 * 1024 * 1024; // of a daemon on a machine with 112 MB, with all of the endpoints
constexpr base::Millis answerMargin { 500 };

// The largest resident size that this process ever had, in bytes.
size_t peakResidentBytes()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

} // namespace

Test(endless_response, a_watch_whose_line_never_ends_fails_in_time, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        struct Pace {
            size_t bytes;
            base::Millis interval;
        };
        Pace pace {};
        ByteStandIn service(loop, [&](ByteConnection& connection, const net::HttpRequest&) {
            connection.send("HTTP/1.1 200 OK\r\n\r\n");
            while (connection.send(std::string(pace.bytes, 'x')))
                net::sleepFor(pace.interval);
        });
        std::string error;
        cr_assert(service.listen(error), "%s", error.c_str());
        coordination::KvClientOptions options { { service.address() } };
        options.watchTimeout = base::Millis(500);
        for (Pace tried : { Pace { 64 * 1024, base::Millis(1) }, Pace { 1, base::Millis(50) } }) {
            pace = tried;
            coordination::HttpKv kv(loop, options);
            bool isEnded = false;
            loop.spawn([&] {
                kv.watch("/", 1, [](auto&, auto) { return true; });
                isEnded = true;
            });
            base::TimePoint startedAt = base::Clock::now();
            while (!isEnded && base::Clock::now() - startedAt < base::Seconds(3))
                net::sleepFor(base::Millis(10));
            cr_expect_lt(base::Clock::now() - startedAt, options.watchTimeout + answerMargin, "%zu bytes every %lld ms",
                pace.bytes, static_cast<long long>(pace.interval.count()));
            cr_expect_lt(peakResidentBytes(), maxPeakBytes, "peak of %zu MB", peakResidentBytes() >> 20);
            kv.close();
            while (!isEnded)
                net::sleepFor(base::Millis(10));
        }
        service.stop();
    });
}

Test(endless_response, states_of_engines_that_never_end_stay_within_the_memory_limit, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        std::vector<std::unique_ptr<ByteStandIn>> engines;
        FleetPlan plan = ServiceFixture::plan();
        LabFleet fleet(loop, plan);
        cr_assert(fleet.start());
        auto platform = net::HttpConnection::create(loop, fleet.standInAddresses().at("platform"));
        std::set<size_t> polled;
        for (size_t i = 0; i < endpointCount; ++i) {
            engines.push_back(
                std::make_unique<ByteStandIn>(loop, [&polled, i](ByteConnection& connection, const net::HttpRequest&) {
                    polled.insert(i);
                    sendEndlessResponse(connection, i % 2 ? EndlessForm::ChunkedBody : EndlessForm::BodyUntilClose, {});
                }));
            std::string error;
            cr_assert(engines.back()->listen(error), "%s", error.c_str());
            coordination::Instance instance { fmt::format("drafter-{}", i), "drafter", engines.back()->address(),
                "dc-1", "boot", coordination::InstanceState::Live, EngineStandInOptions().memoryBytes, true };
            net::httpCall(*platform, { "PUT", "/instances", {}, coordination::instanceToJson(instance).dump() },
                base::Clock::now() + base::Seconds(5));
        }
        cr_assert(fleet.waitUntil([&] { return polled.size() == endpointCount; }, base::Seconds(10)));
        net::sleepFor(base::Millis(2000));
        cr_expect_lt(peakResidentBytes(), maxPeakBytes, "peak of %zu MB", peakResidentBytes() >> 20);
        for (auto& engine : engines)
            engine->stop();
    });
}

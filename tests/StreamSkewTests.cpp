// Streams of two versions are broken off and taken up at gateways that did not begin them, while gateways, the hub's
// way to the store or the store itself fail: none is joined from two versions, and those that callers take up at
// gateways in touch go on nearly as often as new ones begin.
#include <fmt/format.h>

#include "FaultProxy.h"
#include "VersionFixture.h"
#include "base/Counters.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;
using namespace rattanshunt::lab;

namespace {

constexpr size_t minTakeUps = 12; // of a version, below which its share is not judged

struct TakeUpCounts {
    size_t all = 0;
    size_t inTouch = 0;
    size_t continued = 0; // of those in touch
};

// Five gateways, each with a link of its own to the store, and streams of half a second.
struct SkewFixture {
    VersionFixture fixture;
    std::vector<std::unique_ptr<FaultProxy>> links;
    std::map<LabGateway*, FaultProxy*> linkOf;
    std::set<LabGateway*> outOfTouch;
    std::map<std::string, TakeUpCounts> takeUps; // by the version that began the stream
    size_t newInTouch = 0;
    size_t begunInTouch = 0;
    size_t joined = 0;
    int64_t knownBefore = knownCount();

    SkewFixture(net::Loop& loop, const std::vector<std::string>& versions)
        : fixture(loop, versions, 0, 13, base::Millis(40))
    {
        for (size_t i = 0; i < 5; ++i) {
            links.push_back(std::make_unique<FaultProxy>(loop, fixture.fleet.store().address()));
            std::string error;
            cr_assert(links.back()->listen(error));
            fixture.gateways.push_back(&fixture.fleet.addGateway(fmt::format("g{}", i), links.back()->address()));
            linkOf[fixture.gateways.back()] = links.back().get();
        }
        cr_assert(fixture.fleet.waitReady());
        net::sleepFor(base::Millis(1000));
    }
    ~SkewFixture()
    {
        awaitCalls();
        fixture.fleet.store().faults().mode = StoreMode::Normal;
        for (auto& link : links) {
            link->setMode(ProxyMode::Pass);
            link->stop();
        }
    }

    static int64_t knownCount() { return base::countersRead()["stream_take_ups_total{origin=\"known\"}"]; }

    void awaitCalls()
    {
        while (fixture.openCalls)
            net::sleepFor(base::Millis(5));
    }

    // Callers that each begin a stream, leave after a part of it or lose it, and take it up at another gateway.
    void play(size_t count, base::Millis interval = base::Millis(10))
    {
        for (size_t i = 0; i < count; ++i) {
            ++fixture.openCalls;
            fixture.loop.spawn([this] {
                playCaller(++fixture.sequence);
                --fixture.openCalls;
            });
            net::sleepFor(interval);
        }
    }

    void playCaller(size_t number)
    {
        size_t first = number % fixture.gateways.size();
        LabGateway* began = fixture.gateways[first];
        std::string id = fmt::format("{:016x}", number);
        bool isInTouch = !outOfTouch.contains(began);
        CallerResponse response = fixture.fleet.call(
            *began, labRequest("/stream/", id, "m1"), base::Millis(100 + static_cast<int>(number * 37 % 350)));
        size_t at = response.body.rfind("id: ");
        bool hasBegun = at != std::string::npos;
        newInTouch += isInTouch ? 1 : 0;
        begunInTouch += isInTouch && hasBegun ? 1 : 0;
        std::set<std::string> versions = fixture.versionsThatServed(id);
        if (!hasBegun || response.error == net::HttpCallError::None || versions.size() != 1) {
            joined += versions.size() > 1 ? 1 : 0;
            return;
        }
        net::sleepFor(base::Millis(30 + static_cast<int>(number * 53 % 500)));
        LabGateway* next = fixture.gateways[(first + 1 + number % 3) % fixture.gateways.size()];
        if (next == began)
            next = fixture.gateways[(first + 1) % fixture.gateways.size()];
        net::HttpRequest request = labRequest("/stream/", id + "b", "m1");
        request.headers.push_back({ "Last-Event-Id", std::to_string(std::stoi(response.body.substr(at + 4))) });
        request.headers.push_back({ "Resumes", id });
        isInTouch = !outOfTouch.contains(next);
        TakeUpCounts& counts = takeUps[*versions.begin()];
        ++counts.all;
        counts.inTouch += isInTouch ? 1 : 0;
        bool isContinued = fixture.fleet.call(*next, request, base::Millis(3000)).status == 200;
        counts.continued += isInTouch && isContinued ? 1 : 0;
        versions.merge(fixture.versionsThatServed(id + "b"));
        joined += versions.size() > 1 ? 1 : 0;
    }

    LabGateway* hub() const
    {
        for (LabGateway* gateway : fixture.gateways) {
            if (gateway->hubSync.isHub())
                return gateway;
        }
        return nullptr;
    }

    void kill(LabGateway* gateway)
    {
        std::erase(fixture.gateways, gateway);
        fixture.fleet.kill(*gateway);
    }

    void expectNoneJoined(size_t minKnown)
    {
        awaitCalls();
        for (const auto& [version, counts] : takeUps) {
            cr_log_info("%s: %zu take-ups, %zu in touch, %zu go on; new: %zu of %zu; known: %ld", version.c_str(),
                counts.all, counts.inTouch, counts.continued, begunInTouch, newInTouch,
                static_cast<long>(knownCount() - knownBefore));
        }
        cr_assert_eq(takeUps.size(), 2);
        cr_assert_geq(std::min(takeUps["v1"].all, takeUps["v2"].all), minTakeUps);
        cr_assert_geq(static_cast<size_t>(knownCount() - knownBefore), minKnown);
        cr_expect_eq(joined, 0, "%zu streams are joined from two versions", joined);
    }

    void expectHalfGoOn()
    {
        for (const auto& [version, counts] : takeUps) {
            cr_assert_geq(counts.inTouch, minTakeUps, "%s: %zu in touch", version.c_str(), counts.inTouch);
            cr_expect_geq(2 * counts.continued * newInTouch, counts.inTouch * begunInTouch,
                "%s: %zu of %zu go on, %zu of %zu new ones begin", version.c_str(), counts.continued, counts.inTouch,
                begunInTouch, newInTouch);
        }
    }
};

} // namespace

Test(stream_skew, streams_whose_gateway_is_killed_go_on_elsewhere_at_their_version, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        SkewFixture skew(loop, { "v1", "v1", "v2", "v2" });
        skew.play(80);
        skew.kill(skew.hub());
        skew.play(80);
        skew.kill(skew.fixture.gateways[0]);
        skew.play(80);
        skew.expectNoneJoined(2 * minTakeUps);
        skew.expectHalfGoOn();
    });
}

Test(stream_skew, streams_are_not_joined_while_the_hub_does_not_reach_the_store, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        SkewFixture skew(loop, { "v1", "v1", "v2", "v2" });
        LabGateway* hub = skew.hub();
        skew.outOfTouch.insert(hub);
        skew.linkOf[hub]->setMode(ProxyMode::Stall);
        skew.play(250, base::Millis(12));
        skew.expectNoneJoined(2 * minTakeUps);
        skew.expectHalfGoOn();
    });
}

// Nobody is in touch: only the versions count.
Test(stream_skew, streams_are_not_joined_while_the_store_is_silent, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        SkewFixture skew(loop, { "v1", "v1", "v2", "v2" });
        skew.play(50);
        skew.fixture.fleet.store().faults().mode = StoreMode::Hang;
        skew.play(50);
        skew.kill(skew.fixture.gateways[0]);
        skew.play(100);
        skew.fixture.fleet.store().faults().mode = StoreMode::Normal;
        skew.play(50);
        skew.expectNoneJoined(minTakeUps);
    });
}

// Guards against streams that began before their gateway knew that there are two versions, and against a gateway whose
// list is of the time before.
Test(stream_skew, streams_are_not_joined_while_the_second_version_appears, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        SkewFixture skew(loop, { "v1", "v1" });
        skew.play(50);
        LabGateway* late = skew.fixture.gateways[skew.fixture.gateways[0] == skew.hub() ? 1 : 0];
        skew.outOfTouch.insert(late);
        skew.linkOf[late]->setMode(ProxyMode::Stall);
        skew.fixture.addReplica("v2");
        skew.fixture.addReplica("v2");
        skew.play(100);
        skew.kill(skew.hub());
        skew.play(150);
        skew.expectNoneJoined(minTakeUps);
        skew.expectHalfGoOn();
    });
}

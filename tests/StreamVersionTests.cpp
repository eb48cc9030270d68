// Two versions of a service's software serve, and broken streams are taken up. A stream goes on only at the version
// that began it, whichever gateway the caller comes back to.
#include <fmt/format.h>

#include "FaultProxy.h"
#include "VersionFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;
using namespace rattanshunt::lab;

Test(stream_version, streams_are_not_joined_from_two_versions_after_all_gateways_were_killed, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1", "v2", "v2" });
        net::sleepFor(base::Millis(1000));
        fixture.startStreams(60);
        net::sleepFor(base::Millis(2000));
        fixture.expectNearlyAllGoOnAfterKill();
    });
}

// Guards against origins that only memory held when all gateways were killed (review/5): streams of half a second are
// mostly younger than the hub's next write.
Test(stream_version, short_streams_go_on_after_all_gateways_were_killed, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        for (int phase = 0; phase < 3; ++phase) {
            VersionFixture fixture(loop, { "v1", "v1", "v2", "v2" }, 3, 13, base::Millis(40));
            net::sleepFor(base::Millis(1000));
            for (int i = 0; i < 100 + phase * 7; ++i) {
                fixture.startStreams(1);
                net::sleepFor(base::Millis(25));
            }
            fixture.broken.clear();
            fixture.killAllGateways();
            cr_assert(fixture.fleet.waitReady());
            cr_assert_geq(fixture.broken.size(), 12);
            size_t continued = fixture.takeUp();
            cr_expect_geq(2 * continued, fixture.broken.size(), "phase %d: %zu of %zu streams go on", phase, continued,
                fixture.broken.size());
        }
    });
}

// The store comes back from a copy that has neither the records nor their lease.
Test(stream_version, origins_are_written_again_after_the_store_lost_them, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1", "v2", "v2" });
        net::sleepFor(base::Millis(1000));
        fixture.fleet.store().saveCopy();
        fixture.startStreams(60);
        net::sleepFor(base::Millis(700));
        fixture.fleet.store().restoreCopy();
        net::sleepFor(base::Millis(1500));
        fixture.expectNearlyAllGoOnAfterKill();
    });
}

// Guards against a hub that is elected again between two syncs of a member: the member does not read the store, so it
// has to learn from the hub that what it wrote is gone.
Test(stream_version, origins_are_written_again_by_a_member_that_does_not_read_the_restored_store, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v2" }, 1, 13, base::Millis(40));
        fixture.fleet.hubSyncOptions.minSyncInterval = base::Millis(1500);
        fixture.fleet.hubSyncOptions.maxSyncInterval = base::Millis(1500);
        fixture.fleet.hubSyncOptions.maxHubDataAge = base::Seconds(30);
        fixture.addGateway();
        cr_assert(fixture.fleet.waitReady());
        fixture.gateways.erase(fixture.gateways.begin());
        hub::HubSync& member = fixture.gateways[0]->hubSync;
        fixture.fleet.store().saveCopy();
        fixture.startStreams(20);
        net::sleepFor(base::Millis(700));
        cr_assert_eq(fixture.storedOriginCount(), 20);
        base::BootTime freshAsOf = member.freshAsOf();
        while (member.freshAsOf() == freshAsOf)
            net::sleepFor(base::Millis(1));
        fixture.fleet.store().restoreCopy();
        for (int i = 0; i < 300 && fixture.storedOriginCount() < 20; ++i)
            net::sleepFor(base::Millis(10));
        cr_expect_eq(fixture.storedOriginCount(), 20);
    });
}

// Guards against a machine that is out of step during a release: it knows one version, and other machines have begun
// streams at another one.
Test(stream_version, a_gateway_out_of_step_joins_no_streams, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1" }, 1);
        FaultProxy store(loop, fixture.fleet.store().address());
        std::string error;
        cr_assert(store.listen(error));
        LabGateway& late = fixture.fleet.addGateway("late", store.address());
        cr_assert(fixture.fleet.waitReady());
        net::sleepFor(base::Millis(700));
        // It reaches neither the store nor a hub from now on, and knows no other member.
        store.setMode(ProxyMode::Stall);
        fixture.fleet.kill(*fixture.gateways[0]);
        fixture.gateways.clear();
        fixture.addReplica("v2");
        fixture.addReplica("v2");
        fixture.addGateway();
        while (fixture.gateways[0]->hubSync.directory().replicas.size() < 4)
            net::sleepFor(base::Millis(5));
        size_t calls = 0;
        for (int i = 0; i < 30; ++i) {
            ++calls;
            loop.spawn([&, id = fmt::format("{:016x}", 0xc0000000 + i)] {
                CallerResponse response
                    = fixture.fleet.call(*fixture.gateways[0], labRequest("/stream/", id, "m1"), base::Millis(300));
                size_t at = response.body.rfind("id: ");
                if (at != std::string::npos)
                    fixture.broken.push_back({ id, std::to_string(std::stoi(response.body.substr(at + 4))) });
                --calls;
            });
        }
        while (calls)
            net::sleepFor(base::Millis(5));
        cr_assert_gt(fixture.broken.size(), 20);
        fixture.gateways[0] = &late;
        fixture.takeUp(); // checks that none is joined
        store.setMode(ProxyMode::Pass);
        store.stop();
    });
}

// Guards against a hub that says from an older list that there is one version: a daemon that starts reads the store
// itself, begins streams at a version that the hub has not seen, and ends before it tells the hub.
Test(stream_version, a_hub_that_has_not_read_of_a_version_joins_no_streams, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1" }, 2, 20);
        net::sleepFor(base::Millis(700));
        size_t hub = fixture.gateways[0]->hubSync.isHub() ? 0 : 1;
        LabGateway* member = fixture.gateways[1 - hub];
        hub::HubSync& hubSync = fixture.gateways[hub]->hubSync;
        base::BootTime readAt = hubSync.freshAsOf();
        while (hubSync.freshAsOf() == readAt)
            net::sleepFor(base::Millis(1));
        fixture.addReplica("v2");
        fixture.addReplica("v2");
        LabGateway& starting = fixture.fleet.addGateway("starting");
        while (starting.hubSync.directory().replicas.size() < 4)
            net::sleepFor(base::Millis(1));
        fixture.gateways = { &starting };
        fixture.startStreams(30);
        net::sleepFor(base::Millis(120));
        fixture.fleet.kill(starting);
        while (fixture.openCalls)
            net::sleepFor(base::Millis(1));
        cr_assert_gt(fixture.broken.size(), 20);
        cr_assert(std::any_of(fixture.broken.begin(), fixture.broken.end(),
            [&](const BrokenStream& stream) { return fixture.versionsThatServed(stream.requestId).contains("v2"); }));
        fixture.gateways = { member };
        fixture.takeUp(); // checks that none is joined
    });
}

// A take-up may wait for its model, and another version appear meanwhile (review/3): it is bound to the version that
// was the only one when it arrived, and that only if the knowledge is recent enough.
Test(stream_version, a_take_up_is_bound_to_the_only_version_that_may_have_begun_it)
{
    using namespace streams;
    base::BootTime now = base::BootTime {} + base::Seconds(1000);
    VersionHistory history;
    cr_expect_not(takeUpDecide({ versionsOnly(history, "engine", now), false }).mayContinue, "no version is known");
    versionsSee(history, "engine", "v1", now);
    TakeUp only = takeUpDecide({ versionsOnly(history, "engine", now), false });
    cr_expect(only.mayContinue);
    cr_expect_str_eq(only.version.c_str(), "v1");
    versionsSee(history, "engine", "v2", now);
    cr_expect_not(takeUpDecide({ versionsOnly(history, "engine", now), false }).mayContinue);
    cr_expect_str_eq(takeUpDecide({ "v2", true }).version.c_str(), "v2");
    versionsSee(history, "engine", "v2", now + originLifetime);
    cr_expect_str_eq(versionsOnly(history, "engine", now + originLifetime + base::Millis(1))->c_str(), "v2");

    cr_expect(versionsAreKnown(now, now));
    cr_expect_not(versionsAreKnown(now - base::Millis(1), now), "a hub's, too");
}

// Nobody knows of these streams: their gateways are gone, and they began too late to be written.
Test(stream_version, streams_of_unknown_version_are_refused_at_once, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1", "v2", "v2" });
        net::sleepFor(base::Millis(1000));
        for (size_t i = 0; i < 20; ++i)
            fixture.broken.push_back({ fmt::format("{:016x}", 0xb0000000 + i), "3" });
        cr_expect_eq(fixture.takeUp(), 0);
        fixture.killAllGateways();
        cr_assert(fixture.fleet.waitReady());
        cr_expect_eq(fixture.takeUp(), 0);
    });
}

// One gateway is killed right after its streams began, and their callers come back to the others at once.
Test(stream_version, streams_of_a_killed_gateway_go_on_at_their_version_or_not_at_all, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1", "v2", "v2" });
        net::sleepFor(base::Millis(1000));
        fixture.startStreams(60);
        net::sleepFor(base::Millis(1000));
        size_t hub = 0;
        while (!fixture.gateways[hub]->hubSync.isHub())
            ++hub;
        fixture.fleet.kill(*fixture.gateways[hub]);
        fixture.gateways.erase(fixture.gateways.begin() + static_cast<ptrdiff_t>(hub));
        while (fixture.broken.size() < 15)
            net::sleepFor(base::Millis(5));
        size_t count = fixture.broken.size();
        size_t continued = fixture.takeUp();
        cr_expect_geq(static_cast<double>(continued), goodShare * static_cast<double>(count),
            "%zu of %zu streams go on", continued, count);
    });
}

// The last replicas of the old version leave before the callers come back.
Test(stream_version, streams_of_a_version_that_has_left_are_not_continued, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1" });
        fixture.startStreams(20);
        net::sleepFor(base::Millis(500));
        fixture.addReplica("v2");
        fixture.addReplica("v2");
        net::sleepFor(base::Millis(1500));
        for (const auto& [id, replica] : fixture.replicas) {
            if (fixture.versionOf(id) == "v1")
                fixture.fleet.publishEntry(*replica, true);
        }
        net::sleepFor(base::Millis(900));
        fixture.killAllGateways();
        net::sleepFor(base::Millis(2500));
        cr_assert_gt(fixture.broken.size(), 15);
        cr_expect_eq(fixture.takeUp(), 0);
    });
}

Test(stream_version, streams_go_on_while_there_is_one_version, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v1" });
        fixture.startStreams(30);
        net::sleepFor(base::Millis(800));
        fixture.killAllGateways();
        cr_assert(fixture.fleet.waitReady());
        cr_expect_eq(fixture.takeUp(), fixture.broken.size());
    });
}

// A replica ends in the middle of a stream, and the gateway itself looks for another one.
Test(stream_version, one_answer_is_not_joined_from_two_versions, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        VersionFixture fixture(loop, { "v1", "v2", "v2" }, 2);
        net::sleepFor(base::Millis(500));
        fixture.startStreams(30);
        net::sleepFor(base::Millis(800));
        for (const auto& [id, replica] : fixture.replicas) {
            if (fixture.versionOf(id) == "v1")
                replica->crash();
        }
        while (fixture.openCalls)
            net::sleepFor(base::Millis(20));
        size_t atOldVersion = 0;
        for (size_t i = 0; i <= fixture.sequence; ++i) {
            std::string id = fmt::format("{:016x}", i);
            std::set<std::string> versions = fixture.versionsThatServed(id);
            cr_expect_leq(versions.size(), 1, "stream %s", id.c_str());
            atOldVersion += versions.contains("v1") ? 1 : 0;
        }
        cr_assert_gt(atOldVersion, 0, "no stream was served by the replica that ended");
    });
}

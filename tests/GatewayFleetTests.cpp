// Gateways and their hub with stand-ins for the users' platform: model loads and orders, API keys, replicas that leave,
// store outages, account limits.
#include "ByteStandIn.h"
#include "GatewayFixture.h"
#include "base/Counters.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::GatewayFixture;

// ---- Models -------------------------------------------------------------------------------------

Test(gateway, models_and_adapters_that_no_replica_has_are_loaded_and_served, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        net::sleepFor(base::Millis(700)); // until the new hub may give orders and knows arrival rates
        for (const char* model : { "m2", "m3", "m1", "m2/a1", "m2/a2", "m2/a3", "m3", "m1" }) {
            CallerResponse response = fixture.call("/stream/", std::string("r-") + model, model);
            cr_assert_eq(response.status, 200, "%s gave status %d", model, response.status);
        }
        for (ReplicaStandIn* replica : fixture.engine)
            cr_assert(!replica->history().wasOvercommitted);
    });
}

// A crashed replica stays listed for some heartbeats. Callers must not each wait for it to time out, and a model
// that only this replica had must be loaded elsewhere.
Test(gateway, a_replica_that_falls_silent_is_left_out_and_its_models_come_elsewhere, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        net::sleepFor(base::Millis(700));
        cr_assert_eq(fixture.call("/stream/", "first", "m2").status, 200);
        size_t holder = fixture.engine[0]->loadedModels().contains("m2") ? 0 : 1;
        fixture.engine[holder]->stop();
        net::sleepFor(base::Millis(2600));
        CallerResponse response = fixture.call("/stream/", "second", "m2");
        cr_assert_eq(response.status, 200);
        cr_assert(fixture.engine[1 - holder]->loadedModels().contains("m2"));
    });
}

// Found by msc-notices-grown trouble-2 --seed 505149596634: a replica accepts the unload of an adapter but carries it
// out only when the adapter is no longer in use; loading another one before that overcommits the adapter slots.
Test(gateway, an_adapter_in_use_keeps_its_slot_until_its_requests_have_ended, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        fixture.engine[1]->faults() = { ReplicaFault::Refuse, -1 };
        fixture.fleet.removeEntry(*fixture.engine[1]);
        net::sleepFor(base::Millis(1300));
        fixture.engine[0]->setProcessingTime(base::Millis(250));
        std::vector<int> statuses;
        for (const char* model : { "m1/a1", "m1/a2", "m1/a3", "m1/a4" }) {
            loop.spawn([&fixture, &statuses, model] {
                statuses.push_back(fixture.call("/stream/", std::string("use-") + model, model).status);
            });
            net::sleepFor(base::Millis(150));
        }
        while (statuses.size() < 4)
            net::sleepFor(base::Millis(20));
        cr_assert(!fixture.engine[0]->history().wasOvercommitted);
        cr_assert_geq(std::count(statuses.begin(), statuses.end(), 200), 3);
    });
}

Test(gateway, delayed_orders_never_overcommit_a_replica, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        for (ReplicaStandIn* replica : fixture.engine)
            replica->faults().orderDelay = base::Millis(900);
        for (int round = 0; round < 3; ++round) {
            for (const char* model : { "m2", "m3" })
                loop.spawn([&fixture, model, round] {
                    fixture.call(
                        "/stream/", fmt::format("late-{}-{}", model, round), model, "secret-1", base::Millis(1500));
                });
            net::sleepFor(base::Millis(1600));
        }
        for (ReplicaStandIn* replica : fixture.engine)
            replica->faults().orderDelay = base::Millis(0);
        net::sleepFor(base::Millis(1200));
        cr_assert_eq(fixture.call("/stream/", "after", "m2").status, 200);
        for (ReplicaStandIn* replica : fixture.engine)
            cr_assert(!replica->history().wasOvercommitted);
    });
}

Test(gateway, only_the_hub_gives_orders_and_a_successor_waits_for_the_handover_delay, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2);
        net::sleepFor(base::Millis(700));
        size_t hubIndex = fixture.gateways[0]->hubSync.isHub() ? 0 : 1;
        cr_assert(fixture.gateways[hubIndex]->hubSync.isHub());
        cr_assert(!fixture.gateways[1 - hubIndex]->hubSync.isHub());
        base::BootTime lastOrderAt = base::BootClock::now();
        cr_assert(fixture.gateways[hubIndex]->hubSync.mayOrder(lastOrderAt));
        fixture.gateways[hubIndex]->hubSync.leaveElection();
        cr_assert(!fixture.gateways[hubIndex]->hubSync.mayOrder(base::BootClock::now()));
        auto& successor = fixture.gateways[1 - hubIndex]->hubSync;
        while (!successor.mayOrder(base::BootClock::now()))
            net::sleepFor(base::Millis(5));
        cr_assert(base::BootClock::now() - lastOrderAt >= fixture.fleet.hubSyncOptions.orderHandoverDelay);
    });
}

// A hub's link at hundreds of daemons does not carry a whole copy to each of them within its lease.
Test(gateway, a_new_hub_sends_members_only_what_they_do_not_have, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        constexpr size_t replicaCount = 120;
        constexpr size_t memberCount = 5;
        GatewayFleet fleet(loop);
        fleet.configure(labConfiguration(1));
        for (size_t i = 0; i < replicaCount; ++i)
            fleet.store().put(fmt::format("servers/i-{}", i), byteReplicaEntry("plain", { "127.0.0.1", 9 }));
        std::vector<LabGateway*> gateways;
        for (size_t i = 0; i < memberCount + 1; ++i)
            gateways.push_back(&fleet.addGateway(fmt::format("g{}", i)));
        cr_assert(fleet.waitReady());
        net::sleepFor(base::Millis(1500));
        auto former = std::find_if(gateways.begin(), gateways.end(), [](auto* each) { return each->hubSync.isHub(); });
        cr_assert(former != gateways.end());
        auto sentCount = [] { return base::countersRead()["hub_sync_replicas_sent_total"]; };
        int64_t before = sentCount();
        (*former)->hubSync.leaveElection();
        auto isKnown = [&](LabGateway* each) {
            return each == *former || each->hubSync.isHub()
                || (each->hubSync.hasHub() && each->hubSync.directory().replicas.size() == replicaCount);
        };
        net::sleepFor(base::Millis(2500));
        cr_expect(std::all_of(gateways.begin(), gateways.end(), isKnown));
        // One replica changes: each member gets it once, and little else was sent.
        fleet.store().put("servers/i-3", byteReplicaEntry("plain", { "127.0.0.1", 10 }));
        net::sleepFor(base::Millis(1800));
        for (LabGateway* each : gateways)
            cr_expect_eq(each->hubSync.directory().replicas["i-3"].entry.address.port, 10);
        cr_expect_leq(sentCount() - before, static_cast<int64_t>(memberCount) * 5);
        fleet.store().remove("servers/i-4");
        net::sleepFor(base::Millis(1800));
        for (LabGateway* each : gateways)
            cr_expect(!each->hubSync.directory().replicas.contains("i-4"));
        fleet.stop();
    });
}

// ---- Configuration, keys and the store -----------------------------------------------------------

Test(gateway, a_revoked_key_is_refused_in_time_even_without_the_store, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2);
        net::sleepFor(base::Millis(700));
        fixture.fleet.configure(labConfiguration(2, 0, 0, "\"secret-2\""));
        net::sleepFor(base::Millis(1600));
        for (LabGateway* gateway : fixture.gateways)
            cr_assert_eq(fixture.fleet.call(*gateway, labRequest("/safe/", "old")).status, 401);
        cr_assert_eq(fixture.call("/safe/", "new", "", "secret-2").status, 200);
        // The store stops answering: keys stay valid up to maxConfigurationAgeForKeys, then requests are refused.
        fixture.fleet.store().faults().mode = StoreMode::Hang;
        cr_assert_eq(fixture.call("/safe/", "silent", "", "secret-2").status, 200);
        net::sleepFor(fixture.fleet.gatewayOptions.maxConfigurationAgeForKeys + base::Millis(300));
        CallerResponse stale = fixture.call("/safe/", "stale", "", "secret-2");
        cr_assert_eq(stale.status, 503);
        cr_assert_eq(fixture.plainRunCount("stale"), 0);
        cr_assert(stale.duration < base::Millis(300));
        cr_assert_eq(fixture.call("/open/", "open", "", "").status, 200);
        fixture.fleet.store().faults().mode = StoreMode::Normal;
        net::sleepFor(base::Millis(2500));
        cr_assert_eq(fixture.call("/safe/", "back", "", "secret-2").status, 200);
    });
}

Test(gateway, draining_and_removed_replicas_get_no_requests, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2);
        net::sleepFor(base::Millis(700));
        fixture.fleet.publishEntry(*fixture.plain[0], true);
        fixture.fleet.removeEntry(*fixture.engine[0]);
        net::sleepFor(base::Millis(1600));
        size_t before = fixture.plain[0]->history().executions.size() + fixture.engine[0]->history().executions.size();
        for (int i = 0; i < 20; ++i) {
            LabGateway& gateway = *fixture.gateways[static_cast<size_t>(i % 2)];
            cr_assert_eq(fixture.fleet.call(gateway, labRequest("/safe/", "d" + std::to_string(i))).status, 200);
            cr_assert_eq(
                fixture.fleet.call(gateway, labRequest("/stream/", "e" + std::to_string(i), "m1")).status, 200);
        }
        cr_assert_eq(
            fixture.plain[0]->history().executions.size() + fixture.engine[0]->history().executions.size(), before);
    });
}

Test(gateway, entries_that_lapse_in_a_store_outage_stay_for_the_grace_period, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        fixture.fleet.store().faults().mode = StoreMode::Unavailable;
        net::sleepFor(base::Millis(1500));
        fixture.fleet.removeEntry(*fixture.plain[0]);
        fixture.fleet.removeEntry(*fixture.plain[1]);
        fixture.fleet.store().faults().mode = StoreMode::Normal;
        net::sleepFor(base::Millis(1000));
        cr_assert_eq(fixture.call("/safe/", "lapsed").status, 200);
        fixture.fleet.publishEntry(*fixture.plain[1]);
        net::sleepFor(base::Millis(3000));
        auto& replicas = fixture.gateways[0]->hubSync.directory().replicas;
        cr_assert(!replicas.contains("i-plain-0"));
        cr_assert(replicas.contains("i-plain-1"));
        cr_assert_eq(fixture.call("/safe/", "back").status, 200);
    });
}

// ---- Usage --------------------------------------------------------------------------------------

Test(gateway, an_account_gets_its_burst_once_over_all_gateways_and_excess_is_refused_at_once, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        // Rate 1 token/s, burst 200 tokens: 20 plain requests of 10 tokens each.
        GatewayFixture fixture(loop, 2, 1, 200);
        net::sleepFor(base::Millis(700));
        int served = 0;
        for (int i = 0; i < 40; ++i) {
            CallerResponse response = fixture.fleet.call(
                *fixture.gateways[static_cast<size_t>(i % 2)], labRequest("/safe/", "q" + std::to_string(i)));
            served += response.status == 200;
            if (response.status != 200) {
                cr_assert_eq(response.status, 429);
                cr_assert(response.duration < base::Millis(300));
            }
        }
        cr_assert_leq(served, 21);
        cr_assert_geq(served, 19);
    });
}

// What the hub knows of a replica's models after its orders. The tests replay orders of events that overcommitted
// replicas, and the explorer case "ledger" looks for others.
#include "GatewayFixture.h"
#include "models/ReplicaLedger.h"

using namespace rattanshunt;
using namespace rattanshunt::gateway;

namespace {

base::BootTime bootAt(int64_t millis)
{
    return base::BootTime {} + base::Seconds(1000) + base::Millis(millis);
}

Engine engineWithTwoAdapterSlots()
{
    Engine engine;
    engine.weightsMb = 100;
    engine.adapterSlots = 2;
    for (const char* name : { "m1", "m2", "m3" }) {
        ModelSpec spec;
        spec.name = name;
        spec.weightsMb = 40;
        spec.adapterMb = 1;
        engine.models[name] = spec;
    }
    return engine;
}

ReplicaReport reportOf(int64_t ordersAccepted, std::vector<std::string> adapters, std::vector<std::string> pending = {})
{
    ReplicaReport report;
    report.ordersAccepted = ordersAccepted;
    report.models = { { "m1", std::move(adapters) } };
    report.pendingAdapters = std::move(pending);
    return report;
}

ModelOrder loadOrder(const models::ReplicaLedger& ledger, const std::string& model, const std::string& adapter)
{
    return { true, model, adapter, ledger.ordersAccepted, "hub", 1 };
}

// Sends a load that the replica accepts.
void load(models::ReplicaLedger& ledger, const std::string& adapter, int64_t millis)
{
    ModelOrder order = loadOrder(ledger, "m1", adapter);
    models::ledgerOrderSent(ledger);
    models::ledgerOrderEnded(ledger, order, OrderResult::Accepted, bootAt(millis), bootAt(millis + 1));
    models::ledgerAddHeld(ledger, "m1", adapter);
}

} // namespace

// Found by taraza-coop, slow-and-cut-replicas --vary --seed 1017 (LIMIT): eight adapters were loaded one after another
// on a slow replica with eight slots, and a ninth without an unload. A report that showed the first adapter in transit
// was taken over; a later one, from before the second order, showed it loaded and nothing in transit.
Test(replica_ledger, an_adapter_in_transit_keeps_its_slot_when_a_report_that_lags_arrives)
{
    Engine engine = engineWithTwoAdapterSlots();
    models::LedgerOptions options;
    models::ReplicaLedger ledger;
    models::ledgerApplyReport(ledger, reportOf(0, {}), bootAt(0), false, options);
    load(ledger, "a1", 10);
    cr_assert(models::ledgerApplyReport(ledger, reportOf(1, {}, { "m1/a1" }), bootAt(20), false, options));
    cr_assert(models::ledgerOrderFits(ledger, engine, loadOrder(ledger, "m1", "a2"), bootAt(30), options));
    load(ledger, "a2", 30);
    cr_assert(!models::ledgerApplyReport(ledger, reportOf(1, { "a1" }), bootAt(40), false, options));
    cr_assert(!models::ledgerOrderFits(ledger, engine, loadOrder(ledger, "m1", "a3"), bootAt(50), options));
}

// Found by the explorer: the replica does not have the adapter yet, says so, and has it afterwards.
Test(replica_ledger, an_adapter_that_may_be_in_transit_is_not_unloaded)
{
    Engine engine = engineWithTwoAdapterSlots();
    models::LedgerOptions options;
    models::ReplicaLedger ledger;
    models::ledgerApplyReport(ledger, reportOf(0, {}), bootAt(0), false, options);
    load(ledger, "a1", 10);
    ModelOrder unload { false, "m1", "a1", ledger.ordersAccepted, "hub", 1 };
    cr_assert(!models::ledgerOrderFits(ledger, engine, unload, bootAt(20), options));
    models::ledgerApplyReport(ledger, reportOf(1, {}, { "m1/a1" }), bootAt(30), false, options);
    cr_assert(!models::ledgerOrderFits(ledger, engine, unload, bootAt(40), options));
    models::ledgerApplyReport(ledger, reportOf(1, { "a1" }), bootAt(50), false, options);
    cr_assert(models::ledgerOrderFits(ledger, engine, unload, bootAt(60), options));
}

// A replica restarts under its identifier and counts its orders from 0 again; a late order to its former start expects
// a count that the new start reaches.
Test(replica_ledger, an_order_to_an_earlier_start_finds_room_or_expires)
{
    Engine engine = engineWithTwoAdapterSlots();
    models::LedgerOptions options;
    models::ReplicaLedger former;
    models::ledgerApplyReport(former, reportOf(2, {}), bootAt(0), false, options);
    ModelOrder late = loadOrder(former, "m1", "late");
    models::ledgerOrderSent(former);
    models::ledgerOrderEnded(former, late, OrderResult::Unknown, bootAt(10), bootAt(810));

    models::ReplicaLedger ledger = models::ledgerBeginStart(former, bootAt(2000), options);
    models::ledgerApplyReport(ledger, reportOf(0, {}), bootAt(2000), false, options);
    cr_assert(models::ledgerOrderFits(ledger, engine, loadOrder(ledger, "m1", "b1"), bootAt(2100), options));
    load(ledger, "b1", 2100);
    // The second load would bring the replica to two orders and two adapters, where the late order is accepted.
    cr_assert(!models::ledgerOrderFits(ledger, engine, loadOrder(ledger, "m1", "b2"), bootAt(2200), options));
    base::BootTime afterExpiry = bootAt(20) + options.lateOrderLifetime;
    cr_assert(models::ledgerOrderFits(ledger, engine, loadOrder(ledger, "m1", "b2"), afterExpiry, options));
}

Test(replica_ledger, orders_that_arrive_after_a_restart_never_overcommit_a_replica, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        tests::GatewayFixture fixture(loop);
        net::sleepFor(base::Millis(700));
        for (int round = 0; round < 4; ++round) {
            for (lab::ReplicaStandIn* replica : fixture.engine)
                replica->faults().orderDelay = base::Millis(1500);
            for (const char* model : { "m2", "m3", "m1/a1", "m1/a2" })
                loop.spawn([&fixture, model, round] {
                    fixture.call(
                        "/stream/", fmt::format("late-{}-{}", model, round), model, "secret-1", base::Millis(1000));
                });
            net::sleepFor(base::Millis(1000));
            for (lab::ReplicaStandIn* replica : fixture.engine) {
                replica->restart();
                replica->faults().orderDelay = base::Millis(0);
                fixture.fleet.publishEntry(*replica);
            }
            for (const char* model : { "m1", "m2", "m3", "m1/a3", "m1/a4", "m2" })
                fixture.call("/stream/", fmt::format("new-{}-{}", model, round), model, "secret-1", base::Millis(2000));
        }
        for (lab::ReplicaStandIn* replica : fixture.engine)
            cr_assert(!replica->history().wasOvercommitted);
    });
}

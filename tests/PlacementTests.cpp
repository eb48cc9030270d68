// Placement planner of the daemons: replica and memory limits, order of loads, resolution of pending orders by endpoint
// reports, and encoding of the stored records.
#include "Support.h"
#include "placement/PlacementPlanner.h"

using namespace rattanshunt;
using namespace rattanshunt::placement;
using resources::PriorityClass;
using tests::at;

namespace {

PlacementPlanner createPlanner(int models, int endpoints, int64_t memory = 100, int64_t bytes = 60)
{
    PlacementPlanner planner;
    for (int i = 0; i < endpoints; ++i) {
        PlacementEndpointState endpoint;
        endpoint.id = fmt::format("e{}", i);
        endpoint.pool = "p";
        endpoint.bootId = "b1";
        endpoint.memoryBytes = memory;
        planner.endpoints[endpoint.id] = endpoint;
    }
    for (int i = 0; i < models; ++i) {
        PlacementModelState model;
        model.name = fmt::format("m{}", i);
        model.pool = "p";
        model.bytes = bytes;
        model.idleTime = base::Seconds(60);
        planner.models[model.name] = model;
    }
    return planner;
}

void addWaitingRequest(PlacementPlanner& planner, const std::string& name, PriorityClass priority, double sinceMillis)
{
    PlacementModelState& model = planner.models[name];
    model.waitingCount = 1;
    model.waitingPriority = priority;
    model.waitingSince = at(sinceMillis);
}

// Applies a change to the planner's state, as a successful store write would.
bool applyChange(PlacementPlanner& planner, const PlacementChange& change, const std::string& order)
{
    ModelRecord record;
    MemoryLedger ledger;
    if (!placementApplyChange(planner, change, order, 1, record, ledger))
        return false;
    planner.models[change.model].placedReplicas = record.placedReplicas;
    planner.endpoints[change.endpoint].ledger = ledger;
    return true;
}

} // namespace

Test(placement_planner, high_priority_models_are_loaded_before_longer_waiting_ones)
{
    PlacementPlanner planner = createPlanner(2, 1);
    addWaitingRequest(planner, "m0", PriorityClass::Normal, 0);
    addWaitingRequest(planner, "m1", PriorityClass::High, 500);
    auto change = placementNextChange(planner, at(1000));
    cr_assert(change && change->model == "m1");
    planner.options.ordersByPriority = false;
    change = placementNextChange(planner, at(1000));
    cr_assert(change && change->model == "m0");
}

Test(placement_planner, concurrent_store_loads_stay_within_the_limit)
{
    PlacementPlanner planner = createPlanner(10, 10);
    planner.options.maxStoreLoads = 4;
    for (int i = 0; i < 10; ++i)
        addWaitingRequest(planner, fmt::format("m{}", i), PriorityClass::Normal, i);
    int started = 0;
    while (auto change = placementNextChange(planner, at(1000)))
        cr_assert(applyChange(planner, *change, fmt::format("o{}", started++)));
    cr_assert_eq(started, 4);
    cr_assert_eq(placementLoadingCount(planner, false), 4);
}

Test(placement_planner, a_cold_model_gets_one_load_for_any_number_of_requests)
{
    PlacementPlanner planner = createPlanner(1, 5);
    planner.models["m0"].maxReplicas = 3;
    addWaitingRequest(planner, "m0", PriorityClass::High, 0);
    planner.models["m0"].waitingCount = 500;
    cr_assert(applyChange(planner, *placementNextChange(planner, at(0)), "o1"));
    cr_assert(!placementNextChange(planner, at(10)));
}

Test(placement_planner, memory_and_replica_limits_hold_under_random_changes)
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 200; ++round) {
        PlacementPlanner planner = createPlanner(6, 3, 100, 30 + static_cast<int64_t>(random() % 40));
        for (auto& [name, model] : planner.models)
            model.maxReplicas = 1 + static_cast<int>(random() % 2);
        int orders = 0;
        for (int step = 0; step < 60; ++step) {
            std::string model = fmt::format("m{}", random() % 6);
            if (random() % 2)
                addWaitingRequest(planner, model, static_cast<PriorityClass>(random() % 3), step);
            else
                planner.models[model].waitingCount = 0;
            if (auto change = placementNextChange(planner, at(step * 1000.0)))
                applyChange(planner, *change, fmt::format("o{}", orders++));
            for (auto& [name, item] : planner.models) {
                for (size_t i = 0; i < item.placedReplicas.size(); ++i) {
                    PlacedReplica& replica = item.placedReplicas[i];
                    if (replica.state == PlacedReplicaState::Loading && random() % 2)
                        replica.state = PlacedReplicaState::Ready;
                    else if (replica.state == PlacedReplicaState::Unloading && random() % 2) {
                        applyChange(planner,
                            { PlacementChangeKind::Forget, name, replica.endpoint, replica.orderId, "unloaded" }, "f");
                        break;
                    }
                }
                cr_assert_leq(item.placedReplicas.size(), static_cast<size_t>(item.maxReplicas));
            }
            for (auto& [id, endpoint] : planner.endpoints)
                cr_assert_leq(memoryLedgerReservedBytes(endpoint.ledger), endpoint.memoryBytes);
        }
    }
}

Test(placement_planner, an_idle_model_is_evicted_and_one_in_use_is_not)
{
    PlacementPlanner planner = createPlanner(2, 1);
    addWaitingRequest(planner, "m0", PriorityClass::Normal, 0);
    cr_assert(applyChange(planner, *placementNextChange(planner, at(0)), "o1"));
    PlacementModelState& first = planner.models["m0"];
    first.placedReplicas[0].state = PlacedReplicaState::Ready;
    first.waitingCount = 0;
    first.loadPerSlot = 0.5;
    first.lastUsedAt = at(0);
    addWaitingRequest(planner, "m1", PriorityClass::High, 100);
    cr_assert(!placementNextChange(planner, at(10000)));
    first.loadPerSlot = 0;
    auto change = placementNextChange(planner, at(10000));
    cr_assert(change && change->kind == PlacementChangeKind::Unload && change->model == "m0");
    cr_assert_str_eq(change->reason.c_str(), "evicted");
}

Test(placement_planner, an_adapter_is_loaded_beside_its_model_and_unloaded_before_it)
{
    PlacementPlanner planner = createPlanner(1, 2);
    PlacementModelState adapter;
    adapter.name = "a";
    adapter.pool = "p";
    adapter.base = "m0";
    adapter.bytes = 5;
    planner.models["a"] = adapter;
    addWaitingRequest(planner, "a", PriorityClass::Normal, 0);
    cr_assert(!placementNextChange(planner, at(0)), "an adapter was placed before its model was loaded");
    addWaitingRequest(planner, "m0", PriorityClass::Normal, 0);
    cr_assert(applyChange(planner, *placementNextChange(planner, at(0)), "o1"));
    planner.models["m0"].placedReplicas[0].state = PlacedReplicaState::Ready;
    planner.models["m0"].waitingCount = 0;
    auto change = placementNextChange(planner, at(0));
    cr_assert(change && change->model == "a" && change->endpoint == planner.models["m0"].placedReplicas[0].endpoint);
    cr_assert(applyChange(planner, *change, "o2"));
    planner.models["a"].placedReplicas[0].state = PlacedReplicaState::Ready;
    planner.models["a"].waitingCount = 0;
    change = placementNextChange(planner, at(120000));
    cr_assert(change && change->kind == PlacementChangeKind::Unload && change->model == "a");
}

Test(placement_planner, an_endpoint_with_the_checkpoint_on_disk_is_preferred)
{
    PlacementPlanner planner = createPlanner(1, 3);
    planner.endpoints["e2"].cachedCheckpoints["m0"] = CheckpointTier::Disk;
    addWaitingRequest(planner, "m0", PriorityClass::Normal, 0);
    auto change = placementNextChange(planner, at(0));
    cr_assert(change && change->endpoint == "e2");
    cr_assert_str_eq(change->reason.c_str(), "checkpoint_on_disk");
}

Test(placement_planner, a_leaving_endpoint_gets_no_loads_and_is_unloaded)
{
    PlacementPlanner planner = createPlanner(1, 2);
    planner.endpoints["e0"].isLive = false;
    addWaitingRequest(planner, "m0", PriorityClass::Normal, 0);
    auto change = placementNextChange(planner, at(0));
    cr_assert(change && change->endpoint == "e1");
    cr_assert(applyChange(planner, *change, "o1"));
    planner.models["m0"].placedReplicas[0].state = PlacedReplicaState::Ready;
    planner.endpoints["e1"].isLive = false;
    change = placementNextChange(planner, at(10));
    cr_assert(change && change->kind == PlacementChangeKind::Unload);
    cr_assert_str_eq(change->reason.c_str(), "endpoint_leaving");
}

Test(placement_planner, an_unknown_boot_id_releases_no_reservation)
{
    PlacementPlanner planner = createPlanner(1, 1);
    addWaitingRequest(planner, "m0", PriorityClass::Normal, 0);
    cr_assert(applyChange(planner, *placementNextChange(planner, at(0)), "o1"));
    // As after reading the records anew, before the endpoint has reported.
    planner.endpoints["e0"].bootId = "";
    cr_assert(!placementNextChange(planner, at(10)));
    planner.endpoints["e0"].bootId = "b2";
    auto change = placementNextChange(planner, at(10));
    cr_assert(change && change->kind == PlacementChangeKind::Forget);
}

Test(order_resolution, without_fencing_checks_an_order_stays_pending_until_it_is_reported)
{
    PlacedReplica replica { "e0", "b1", "o1", 5, PlacedReplicaState::Loading };
    PlacementOptions options;
    EndpointReport report;
    report.bootId = "b1";
    report.highestFencingToken = 9;
    cr_assert(placementResolveOrder(replica, report, options) == OrderResolution::Pending);
    report.checksFencing = true;
    cr_assert(placementResolveOrder(replica, report, options) == OrderResolution::Ended);
    report.loadingOrders = { "o1" };
    cr_assert(placementResolveOrder(replica, report, options) == OrderResolution::Pending);
    report.loadedOrders = { "o1" };
    cr_assert(placementResolveOrder(replica, report, options) == OrderResolution::Loaded);
    report.bootId = "b2";
    cr_assert(placementResolveOrder(replica, report, options) == OrderResolution::Ended);
}

Test(placement_records, round_trip_through_their_encoding_and_reject_malformed_text)
{
    ModelRecord record { { { "e0", "b1", "o1", 5, PlacedReplicaState::Unloading } }, "op" };
    auto read = modelRecordFromText(modelRecordToText(record));
    cr_assert(read && read->placedReplicas[0].state == PlacedReplicaState::Unloading
        && read->placedReplicas[0].fencingToken == 5);
    MemoryLedger ledger { "b1", { { "m0", 60, "o1" } }, "op" };
    cr_assert_eq(memoryLedgerReservedBytes(*memoryLedgerFromText(memoryLedgerToText(ledger))), 60);
    OwnerRecord owner { "d1", "i1", 3, "op" };
    cr_assert_eq(ownerFromText(ownerToText(owner))->epoch, 3);
    cr_assert(!modelRecordFromText("{\"places\":[{}],\"operation\":\"x\"}"));
    cr_assert(!memoryLedgerFromText("[]"));
}

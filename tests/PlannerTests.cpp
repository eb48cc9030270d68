// Decisions on model placement: which models are loaded where. Tests replay the load pattern that a decision was made
// for.
#include <random>

#include "Support.h"
#include "models/ModelPlan.h"
#include "models/StoreConcurrency.h"

using namespace rattanshunt;
using namespace rattanshunt::gateway;

namespace {

// Replicas with 100 MB for models of 40 MB each: two models fit.
struct PlanFixture {
    Engine engine;
    models::PlanInput input;

    PlanFixture()
    {
        engine.weightsMb = 100;
        engine.adapterSlots = 2;
        for (std::string name : { "m1", "m2", "m3", "m4", "m5" }) {
            ModelSpec spec;
            spec.name = name;
            spec.weightsMb = 40;
            spec.adapterMb = 1;
            engine.models[name] = spec;
        }
        input.engine = &engine;
        input.service = "s";
        input.storeLoadsLeft = 4;
    }
    models::PlanReplica& addReplica(const std::string& id, const std::vector<std::string>& held)
    {
        models::PlanReplica replica;
        replica.id = id;
        for (const std::string& model : held)
            replica.held.push_back({ model, {} });
        input.replicas.push_back(replica);
        return input.replicas.back();
    }
    hub::Demand& demand(const std::string& model, const std::string& adapter = "")
    {
        return input.demand[{ "s", model, adapter }];
    }
    models::Plan plan() const { return models::planJobs(input, {}); }
};

} // namespace

Test(planner, an_unplaced_model_is_loaded_where_it_is_on_disk_and_replaces_the_least_requested_one)
{
    PlanFixture fixture;
    fixture.addReplica("a", { "m1", "m2" });
    fixture.addReplica("b", { "m3", "m4" }).onDisk = { "m5" };
    fixture.demand("m1").arrivalRate = 5;
    fixture.demand("m3").arrivalRate = 2;
    fixture.demand("m5") = { 1, 1, 0, 0, 0.1 };
    models::Plan plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].replica, "b");
    cr_assert_eq(plan.jobs[0].unloadModels, std::vector<std::string> { "m4" });
    cr_assert(!plan.jobs[0].isFromStore);
}

Test(planner, a_last_copy_with_waiting_requests_stays_and_the_most_requested_model_goes_first)
{
    PlanFixture fixture;
    fixture.addReplica("a", { "m1", "m2" });
    fixture.demand("m1") = { 2, 2, 0, 0, 1 };
    fixture.demand("m2") = { 2, 2, 0, 0, 1 };
    fixture.demand("m3") = { 1, 1, 0, 0, 1 };
    fixture.demand("m4") = { 3, 3, 0, 0, 1 };
    models::Plan plan = fixture.plan();
    cr_assert(plan.jobs.empty());
    cr_assert_eq(plan.unplacedModels, (std::vector<std::string> { "m4", "m3" }));
    fixture.demand("m2").waiting = 0;
    plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].model, "m4");
    cr_assert_eq(plan.jobs[0].unloadModels, std::vector<std::string> { "m2" });
}

// Requests wait at the only copy's replica, which limits its rate; it gets no orders itself.
Test(planner, a_model_on_limited_replicas_only_gets_another_copy_if_that_displaces_less)
{
    PlanFixture fixture;
    fixture.addReplica("limited", { "m1" });
    fixture.input.replicas[0].isLimited = fixture.input.replicas[0].isOccupied = true;
    fixture.addReplica("other", { "m2", "m3" });
    fixture.input.replicas[1].onDisk = { "m1" };
    fixture.demand("m1").waiting = 3;
    fixture.demand("m2").arrivalRate = 0.1;
    fixture.demand("m3").arrivalRate = 2;
    models::Plan plan = planJobs(fixture.input, {});
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].replica, "other");
    cr_assert_eq(plan.jobs[0].model, "m1");
    cr_assert_eq(plan.jobs[0].unloadModels, std::vector<std::string> { "m2" });
    fixture.demand("m1").waiting = 0.1;
    cr_assert(planJobs(fixture.input, {}).jobs.empty());
    fixture.demand("m1").waiting = 3;
    fixture.input.replicas[0].isLimited = false;
    cr_assert(planJobs(fixture.input, {}).jobs.empty());
}

Test(planner, a_new_hub_unloads_nothing_and_store_loads_stay_within_the_limit)
{
    PlanFixture fixture;
    for (const char* id : { "a", "b", "c" })
        fixture.addReplica(id, { "m1", "m2" });
    for (const char* model : { "m3", "m4", "m5" })
        fixture.demand(model) = { 1, 1, 0, 0, 1 };
    fixture.input.mayUnload = false;
    cr_assert(fixture.plan().jobs.empty());
    fixture.input.mayUnload = true;
    fixture.input.storeLoadsLeft = 1;
    models::Plan plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.unplacedModels.size(), 2);
}

Test(planner, a_model_whose_callers_wait_for_their_first_byte_gets_another_copy)
{
    PlanFixture fixture;
    fixture.addReplica("a", { "m1", "m2" });
    fixture.addReplica("b", { "m3", "m4" }).onDisk = { "m1" };
    fixture.demand("m1") = { 0, 0, 0.5, 0, 5 };
    cr_assert(fixture.plan().jobs.empty());
    fixture.demand("m1").awaitingFirstByte = 9;
    models::Plan plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].replica, "b");
    cr_assert_eq(plan.jobs[0].model, "m1");
}

Test(planner, memory_that_a_crash_freed_is_refilled_from_disk_before_any_request)
{
    PlanFixture fixture;
    fixture.addReplica("a", { "m1", "m2" });
    fixture.addReplica("b", {}).onDisk = { "m3", "m1" };
    fixture.demand("m1").arrivalRate = 0.1;
    fixture.demand("m3").arrivalRate = 0.1;
    models::Plan plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].model, "m3");
}

Test(planner, an_adapter_replaces_the_least_requested_one)
{
    PlanFixture fixture;
    models::PlanReplica& replica = fixture.addReplica("a", { "m1" });
    replica.held[0].adapters = { "a1", "a2" };
    fixture.demand("m1", "a1").arrivalRate = 3;
    fixture.demand("m1", "a2").arrivalRate = 0.2;
    fixture.demand("m1", "a3") = { 1, 1, 0, 0, 0.1 };
    models::Plan plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].adapter, "a3");
    cr_assert_eq(plan.jobs[0].unloadAdapters[0].adapters[0], "a2");
}

Test(planner, never_plans_more_than_fits, .timeout = 30)
{
    std::mt19937 random(11);
    for (int round = 0; round < 400; ++round) {
        PlanFixture fixture;
        for (int i = 0; i < 4; ++i) {
            models::PlanReplica& replica = fixture.addReplica("r" + std::to_string(i), {});
            for (auto& [name, spec] : fixture.engine.models) {
                if (replica.held.size() < 2 && random() % 2)
                    replica.held.push_back({ name, {} });
                if (random() % 2)
                    replica.onDisk.insert(name);
            }
            replica.isOccupied = random() % 4 == 0;
        }
        for (auto& [name, spec] : fixture.engine.models)
            fixture.demand(name) = { static_cast<double>(random() % 3), 1, static_cast<double>(random() % 8), 0, 0.1 };
        std::set<std::string> usedReplicas;
        for (const models::PlanJob& job : fixture.plan().jobs) {
            cr_assert(usedReplicas.insert(job.replica).second);
            for (const models::PlanReplica& replica : fixture.input.replicas) {
                if (replica.id != job.replica)
                    continue;
                cr_assert(!replica.isOccupied);
                double after = 40 * (1 + static_cast<double>(replica.held.size() - job.unloadModels.size()));
                cr_assert_leq(after, fixture.engine.weightsMb);
            }
        }
    }
}

Test(store_concurrency, finds_the_number_of_loads_that_run_at_full_speed)
{
    for (double actualLimit : { 2.0, 4.0, 8.0 }) {
        models::StoreConcurrency concurrency;
        for (int i = 0; i < 60; ++i) {
            double concurrentLoads = std::max(1.0, std::floor(concurrency.estimatedLoads));
            models::storeConcurrencyUpdate(concurrency, concurrentLoads, std::max(1.0, concurrentLoads / actualLimit));
        }
        cr_assert_geq(concurrency.estimatedLoads, actualLimit - 0.5);
        cr_assert_leq(concurrency.estimatedLoads, actualLimit * models::storeConcurrencySlowdownLimit + 1);
    }
}

// Guards against the models of an evacuated data centre being loaded only when requests wait for them, and against a
// load from the weight store taking the place of one from disk.
Test(planner, models_of_an_evacuated_data_center_are_loaded_elsewhere_first)
{
    PlanFixture fixture;
    fixture.addReplica("a", { "m1" }).onDisk = { "m3" };
    fixture.input.evacuatedModels = { "m1", "m2", "m3" };
    fixture.demand("m2").arrivalRate = 5;
    fixture.demand("m3").arrivalRate = 1;
    models::Plan plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1U);
    cr_expect_str_eq(plan.jobs[0].model.c_str(), "m3", "the copy on disk");
    cr_expect(!plan.jobs[0].isFromStore);
    fixture.addReplica("b", {});
    plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 2U);
    cr_expect_str_eq(plan.jobs[1].model.c_str(), "m2");
    cr_expect(plan.jobs[1].isFromStore);
}

// Guards against the model with the dearest waiting requests coming after others, and against models that are held
// elsewhere being loaded again.
Test(planner, of_evacuated_models_the_dearest_waiting_is_loaded_first)
{
    PlanFixture fixture;
    fixture.addReplica("a", { "m1" });
    fixture.input.evacuatedModels = { "m1", "m2", "m3" };
    fixture.demand("m2") = { 3, 0.5, 0, 0, 5 };
    fixture.demand("m3") = { 1, 1, 0, 0, 0.1 };
    models::Plan plan = fixture.plan();
    cr_assert_eq(plan.jobs.size(), 1U);
    cr_expect_str_eq(plan.jobs[0].model.c_str(), "m3");
}

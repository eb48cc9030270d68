// Decision logic of the hub: which models are loaded where, how account usage is limited with and without a hub, and
// who becomes hub. Tests replay the load pattern that a decision was made for.
#include <random>

#include "Support.h"
#include "hub/HubTerm.h"
#include "models/ModelPlan.h"
#include "models/StoreConcurrency.h"
#include "quota/AccountQuota.h"

using namespace rattanshunt;
using namespace rattanshunt::gateway;

namespace {

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000)
        + std::chrono::duration_cast<base::BootClock::duration>(base::durationOf(millis / 1000));
}

} // namespace

// ---- Models -------------------------------------------------------------------------------------

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

// ---- Usage --------------------------------------------------------------------------------------

Test(quota, the_hub_admits_burst_and_rate_in_every_window_and_not_more)
{
    quota::HubQuota hubQuota;
    quota::AccountLimit limit { 100, 300, 0 };
    std::mt19937 random(3);
    std::deque<std::pair<base::BootTime, double>> grants;
    double sum = 0;
    for (int tick = 0; tick < 60000; ++tick) {
        base::BootTime now = bootAt(tick);
        double tokens = 1 + static_cast<double>(random() % 60);
        if (quota::hubQuotaTake(hubQuota, "a", limit, tokens, now)) {
            grants.push_back({ now, tokens });
            sum += tokens;
        }
        while (!grants.empty() && grants.front().first <= now - base::Seconds(8)) {
            sum -= grants.front().second;
            grants.pop_front();
        }
        cr_assert_leq(sum, 300 + 8 * 100 + 1e-6);
    }
    // An account that is steadily above its rate gets a fraction of its burst in every window.
    cr_assert_gt(sum, 8 * 100 + 300 * quota::burstRefillFraction - 60);
}

Test(quota, without_a_hub_overload_stays_within_the_slack_and_low_usage_accounts_are_admitted)
{
    constexpr size_t members = 19;
    quota::AccountLimit limit { 30000, 69000, 110000 };
    std::mt19937 random(5);
    std::vector<quota::LocalQuota> daemons(members);
    double sum = 0;
    // An account sends seven times its rate for two seconds; no daemon knows its usage.
    for (int tick = 0; tick < 2000; tick += 43) {
        double randomFraction = static_cast<double>(random() % 1000) / 1000;
        if (quota::localQuotaSpendFallback(
                daemons[random() % members], "a", limit, 9200, members, randomFraction, bootAt(tick)))
            sum += 9200;
    }
    // The limit allows a tenth of rate x window and burst in addition, and the slack.
    cr_assert_leq(sum, 2 * limit.rate + 0.1 * (8 * limit.rate + limit.burst) + limit.slack);
    cr_assert_gt(sum, limit.rate);

    quota::LocalQuota lowUsage;
    lowUsage.isLowUsageByAccount["a"] = true;
    lowUsage.lastHubContactAt = bootAt(0);
    cr_assert(quota::localQuotaSpendLowUsage(lowUsage, "a", limit, 9200, members, 0.5, bootAt(1000)));
    cr_assert(!quota::localQuotaSpendLowUsage(lowUsage, "a", limit, 9200, members, 0.5, bootAt(6000)));
    for (int i = 0; i < 10; ++i)
        quota::localQuotaSpendLowUsage(lowUsage, "a", limit, 9200, members, 0.5, bootAt(1500));
    cr_assert_leq(lowUsage.shares["a"].unreportedTokens,
        quota::lowUsageShareFactor * (limit.rate * 5 + limit.burst / 2) / members);
}

// A low-usage account jumps to seven times its rate when the hub is lost. Members admit it by the hub's last low-usage
// flag. Their first call to the next hub fails, and only the second one reports the tokens spent.
Test(quota, tokens_spent_without_a_hub_are_charged_at_the_next_one_although_a_call_to_it_fails)
{
    constexpr size_t members = 19;
    constexpr double tokens = 9200;
    constexpr int electedAt = 2000;  // ms, as all times here
    constexpr int firstCall = 2100;  // fails, so the reported tokens are restored
    constexpr int secondCall = 2400; // succeeds; from here on requests go to the new hub
    quota::AccountLimit limit { 30000, 69000, 110000 };
    std::mt19937 random(7);
    std::vector<quota::LocalQuota> daemons(members);
    for (quota::LocalQuota& daemon : daemons) {
        daemon.isLowUsageByAccount["a"] = true;
        daemon.lastHubContactAt = bootAt(0);
    }
    quota::HubQuota hubQuota;
    hubQuota.electedAt = bootAt(electedAt);
    hubQuota.initialFraction = quota::successorInitialFraction;
    hubQuota.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
    hubQuota.wasLowUsageByAccount["a"] = true;
    double sum = 0;
    for (int tick = 0; tick < 8000; tick += 43) {
        quota::LocalQuota& daemon = daemons[random() % members];
        base::BootTime now = bootAt(tick);
        double randomFraction = static_cast<double>(random() % 1000) / 1000;
        bool isAdmitted = tick >= secondCall
            ? quota::hubQuotaTake(hubQuota, "a", limit, tokens, now)
            : quota::localQuotaSpendLowUsage(daemon, "a", limit, tokens, members, randomFraction, now)
                || quota::localQuotaSpendFallback(daemon, "a", limit, tokens, members, randomFraction, now);
        sum += isAdmitted ? tokens : 0;
        if (tick / 43 == firstCall / 43) {
            for (quota::LocalQuota& member : daemons)
                quota::localQuotaRestoreUnreported(member, quota::localQuotaTakeUnreported(member));
        }
        if (tick / 43 == secondCall / 43) {
            quota::hubQuotaBucket(hubQuota, "a", limit, bootAt(electedAt));
            for (quota::LocalQuota& member : daemons) {
                for (const auto& [account, spent] : quota::localQuotaTakeUnreported(member))
                    quota::hubQuotaCharge(hubQuota, account, limit, spent, now);
            }
        }
    }
    cr_assert_leq(sum, 1.1 * (8 * limit.rate + limit.burst) + limit.slack);
    cr_assert_gt(sum, 8 * limit.rate);
}

// A large fleet is partitioned, the hub is lost, and an account jumps to seven times its rate just before the next hub
// is elected. Members that do not reach the new hub keep spending tokens on their own.
Test(quota, a_hub_grants_only_the_fraction_of_the_members_that_reach_it)
{
    constexpr size_t members = 135;
    constexpr int hubLostAt = 1000; // ms, as all times here
    constexpr int overloadFrom = 2700;
    constexpr int electedAt = 3000;
    constexpr int reachableFrom = 3300;
    quota::AccountLimit limit { 180000, 180000, 110000 };
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        size_t unreachableMembers = members * (seed % 5) / 4; // 0 to all of them
        std::vector<quota::LocalQuota> daemons(members);
        for (quota::LocalQuota& daemon : daemons) {
            daemon.isLowUsageByAccount["a"] = true;
            daemon.lastHubContactAt = bootAt(hubLostAt);
        }
        quota::HubQuota firstHub;
        quota::HubQuota secondHub;
        secondHub.electedAt = bootAt(electedAt);
        secondHub.initialFraction = quota::successorInitialFraction;
        secondHub.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
        secondHub.wasLowUsageByAccount["a"] = true;
        double sum = 0;
        double tick = 0;
        while (tick < 8000) {
            double tokens = 5000 + static_cast<double>(random() % 9000);
            tick += std::exponential_distribution<double>(limit.rate * (tick < overloadFrom ? 0.6 : 7.5) / 9500 / 1000)(
                random);
            base::BootTime now = bootAt(tick);
            size_t chosen = random() % members;
            quota::LocalQuota& daemon = daemons[chosen];
            double randomFraction = static_cast<double>(random() % 1000) / 1000;
            secondHub.reachableMemberFraction = tick < reachableFrom
                ? 1.0 / members
                : std::max(1.0, static_cast<double>(members - unreachableMembers)) / members;
            if (tick < hubLostAt) {
                sum += quota::hubQuotaTake(firstHub, "a", limit, tokens, now) ? tokens : 0;
            } else if (tick >= reachableFrom && chosen >= unreachableMembers) {
                for (const auto& [account, spent] : quota::localQuotaTakeUnreported(daemon))
                    quota::hubQuotaCharge(secondHub, account, limit, spent, now);
                sum += quota::hubQuotaTake(secondHub, "a", limit, tokens, now) ? tokens : 0;
            } else if (quota::localQuotaSpendLowUsage(daemon, "a", limit, tokens, members, randomFraction, now)
                || quota::localQuotaSpendFallback(daemon, "a", limit, tokens, members, randomFraction, now))
                sum += tokens;
        }
        cr_assert_leq(sum, 1.1 * (8 * limit.rate + limit.burst) + limit.slack,
            "%zu members unreachable: %f tokens admitted", unreachableMembers, sum);
        cr_assert_gt(sum, 0.5 * 8 * limit.rate);
    }
}

// ---- Election -----------------------------------------------------------------------------------

// The hub of a large fleet is lost; its members detect this up to 0.9 s apart, and one in ten has a high election
// priority.
Test(hub, a_high_priority_member_is_elected_although_low_priority_ones_detect_the_loss_first)
{
    constexpr size_t members = 135;
    constexpr double detectionSpread = 0.9; // seconds between the first and the last detection
    std::mt19937 random(9);
    auto randomFraction = [&] { return static_cast<double>(random() % 10000) / 10000; };
    constexpr int elections = 500;
    int lowPriorityWins = 0;
    for (int election = 0; election < elections; ++election) {
        double earliest = 10;
        bool isWinnerHighPriority = false;
        for (size_t i = 0; i < members; ++i) {
            bool isHighPriority = i % 10 == 0;
            double campaignAt = randomFraction() * detectionSpread
                + base::secondsOf(hub::campaignDelay(isHighPriority ? 0.9 : 0.1, randomFraction()));
            if (campaignAt < earliest) {
                earliest = campaignAt;
                isWinnerHighPriority = isHighPriority;
            }
        }
        lowPriorityWins += !isWinnerHighPriority;
    }
    cr_assert_lt(lowPriorityWins, elections / 50);
    // If all have a low priority, the first candidate still campaigns within a second.
    cr_assert_leq(hub::campaignDelay(0, 1), base::Duration(base::Seconds(1)));
}

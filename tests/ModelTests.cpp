// Placement of models and usage of accounts, each replaying the load that it answers.
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

// Replicas of 100 MB and models of 40 MB: two models fit.
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

Test(planner, a_missing_model_goes_where_it_is_on_disk_and_takes_the_place_that_is_asked_for_least)
{
    PlanFixture shelf;
    shelf.addReplica("a", { "m1", "m2" });
    shelf.addReplica("b", { "m3", "m4" }).onDisk = { "m5" };
    shelf.demand("m1").arrivalRate = 5;
    shelf.demand("m3").arrivalRate = 2;
    shelf.demand("m5") = { 1, 1, 0, 0, 0.1 };
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].replica, "b");
    cr_assert_eq(plan.jobs[0].unloadModels, std::vector<std::string> { "m4" });
    cr_assert(!plan.jobs[0].isFromStore);
}

Test(planner, the_only_copy_that_others_wait_for_stays_and_the_most_wanted_model_goes_first)
{
    PlanFixture shelf;
    shelf.addReplica("a", { "m1", "m2" });
    shelf.demand("m1") = { 2, 2, 0, 0, 1 };
    shelf.demand("m2") = { 2, 2, 0, 0, 1 };
    shelf.demand("m3") = { 1, 1, 0, 0, 1 };
    shelf.demand("m4") = { 3, 3, 0, 0, 1 };
    models::Plan plan = shelf.plan();
    cr_assert(plan.jobs.empty());
    cr_assert_eq(plan.unplacedModels, (std::vector<std::string> { "m4", "m3" }));
    shelf.demand("m2").waiting = 0;
    plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].model, "m4");
    cr_assert_eq(plan.jobs[0].unloadModels, std::vector<std::string> { "m2" });
}

Test(planner, a_new_hub_unloads_nothing_and_the_store_is_not_asked_for_more_than_it_serves)
{
    PlanFixture shelf;
    for (const char* id : { "a", "b", "c" })
        shelf.addReplica(id, { "m1", "m2" });
    for (const char* model : { "m3", "m4", "m5" })
        shelf.demand(model) = { 1, 1, 0, 0, 1 };
    shelf.input.mayUnload = false;
    cr_assert(shelf.plan().jobs.empty());
    shelf.input.mayUnload = true;
    shelf.input.storeLoadsLeft = 1;
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.unplacedModels.size(), 2);
}

Test(planner, a_model_whose_callers_wait_for_their_first_byte_gets_another_copy)
{
    PlanFixture shelf;
    shelf.addReplica("a", { "m1", "m2" });
    shelf.addReplica("b", { "m3", "m4" }).onDisk = { "m1" };
    shelf.demand("m1") = { 0, 0, 0.5, 0, 5 };
    cr_assert(shelf.plan().jobs.empty());
    shelf.demand("m1").awaitingFirstByte = 9;
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].replica, "b");
    cr_assert_eq(plan.jobs[0].model, "m1");
}

Test(planner, room_that_a_crash_left_is_filled_from_disk_before_anybody_asks)
{
    PlanFixture shelf;
    shelf.addReplica("a", { "m1", "m2" });
    shelf.addReplica("b", {}).onDisk = { "m3", "m1" };
    shelf.demand("m1").arrivalRate = 0.1;
    shelf.demand("m3").arrivalRate = 0.1;
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].model, "m3");
}

Test(planner, an_adapter_takes_the_place_of_the_one_that_is_asked_for_least)
{
    PlanFixture shelf;
    models::PlanReplica& replica = shelf.addReplica("a", { "m1" });
    replica.held[0].adapters = { "a1", "a2" };
    shelf.demand("m1", "a1").arrivalRate = 3;
    shelf.demand("m1", "a2").arrivalRate = 0.2;
    shelf.demand("m1", "a3") = { 1, 1, 0, 0, 0.1 };
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].adapter, "a3");
    cr_assert_eq(plan.jobs[0].unloadAdapters[0].adapters[0], "a2");
}

Test(planner, never_plans_more_than_fits, .timeout = 30)
{
    std::mt19937 random(11);
    for (int round = 0; round < 400; ++round) {
        PlanFixture shelf;
        for (int i = 0; i < 4; ++i) {
            models::PlanReplica& replica = shelf.addReplica("r" + std::to_string(i), {});
            for (auto& [name, spec] : shelf.engine.models) {
                if (replica.held.size() < 2 && random() % 2)
                    replica.held.push_back({ name, {} });
                if (random() % 2)
                    replica.onDisk.insert(name);
            }
            replica.isOccupied = random() % 4 == 0;
        }
        for (auto& [name, spec] : shelf.engine.models)
            shelf.demand(name) = { static_cast<double>(random() % 3), 1, static_cast<double>(random() % 8), 0, 0.1 };
        std::set<std::string> engaged;
        for (const models::PlanJob& job : shelf.plan().jobs) {
            cr_assert(engaged.insert(job.replica).second);
            for (const models::PlanReplica& replica : shelf.input.replicas) {
                if (replica.id != job.replica)
                    continue;
                cr_assert(!replica.isOccupied);
                double after = 40 * (1 + static_cast<double>(replica.held.size() - job.unloadModels.size()));
                cr_assert_leq(after, shelf.engine.weightsMb);
            }
        }
    }
}

Test(store_speed, finds_the_number_of_loads_that_run_at_full_speed)
{
    for (double real : { 2.0, 4.0, 8.0 }) {
        models::StoreConcurrency speed;
        for (int i = 0; i < 60; ++i) {
            double crowd = std::max(1.0, std::floor(speed.estimatedLoads));
            models::storeConcurrencyUpdate(speed, crowd, std::max(1.0, crowd / real));
        }
        cr_assert_geq(speed.estimatedLoads, real - 0.5);
        cr_assert_leq(speed.estimatedLoads, real * models::storeConcurrencySlowdownLimit + 1);
    }
}

// ---- Usage --------------------------------------------------------------------------------------

Test(grants, the_book_admits_burst_and_rate_in_every_window_and_not_more)
{
    quota::HubQuota book;
    quota::AccountLimit limit { 100, 300, 0 };
    std::mt19937 random(3);
    std::deque<std::pair<base::BootTime, double>> taken;
    double sum = 0;
    for (int tick = 0; tick < 60000; ++tick) {
        base::BootTime now = bootAt(tick);
        double tokens = 1 + static_cast<double>(random() % 60);
        if (quota::hubQuotaTake(book, "a", limit, tokens, now)) {
            taken.push_back({ now, tokens });
            sum += tokens;
        }
        while (!taken.empty() && taken.front().first <= now - base::Seconds(8)) {
            sum -= taken.front().second;
            taken.pop_front();
        }
        cr_assert_leq(sum, 300 + 8 * 100 + 1e-6);
    }
    // An account that is steadily above its rate gets part of its burst in every window.
    cr_assert_gt(sum, 8 * 100 + 300 * quota::burstRefillFraction - 60);
}

Test(grants, without_a_hub_a_hot_account_stays_within_the_slack_and_a_calm_one_is_let_through)
{
    constexpr size_t members = 19;
    quota::AccountLimit limit { 30000, 69000, 110000 };
    std::mt19937 random(5);
    std::vector<quota::LocalQuota> daemons(members);
    double sum = 0;
    // An account at seven times its rate for two seconds, no daemon knows anything of it.
    for (int tick = 0; tick < 2000; tick += 43) {
        double luck = static_cast<double>(random() % 1000) / 1000;
        if (quota::localQuotaSpendFallback(daemons[random() % members], "a", limit, 9200, members, luck, bootAt(tick)))
            sum += 9200;
    }
    // What the window holds beyond rate and burst: a tenth of both and the slack.
    cr_assert_leq(sum, 2 * limit.rate + 0.1 * (8 * limit.rate + limit.burst) + limit.slack);
    cr_assert_gt(sum, limit.rate);

    quota::LocalQuota calm;
    calm.isLowUsageByAccount["a"] = true;
    calm.lastHubContactAt = bootAt(0);
    cr_assert(quota::localQuotaSpendLowUsage(calm, "a", limit, 9200, members, 0.5, bootAt(1000)));
    cr_assert(!quota::localQuotaSpendLowUsage(calm, "a", limit, 9200, members, 0.5, bootAt(6000)));
    for (int i = 0; i < 10; ++i)
        quota::localQuotaSpendLowUsage(calm, "a", limit, 9200, members, 0.5, bootAt(1500));
    cr_assert_leq(
        calm.shares["a"].unreportedTokens, quota::lowUsageShareFactor * (limit.rate * 5 + limit.burst / 2) / members);
}

// A calm account jumps to seven times its rate as its hub dies. The members let it through on the hub's last word;
// their first call to the next hub fails, and only the second one tells it what was spent.
Test(grants, what_was_spent_without_a_hub_reaches_the_next_one_though_a_call_to_it_fails)
{
    constexpr size_t members = 19;
    constexpr double tokens = 9200;
    constexpr int electedAt = 2000;  // ms
    constexpr int firstCall = 2100;  // fails
    constexpr int secondCall = 2400; //
    quota::AccountLimit limit { 30000, 69000, 110000 };
    std::mt19937 random(7);
    std::vector<quota::LocalQuota> daemons(members);
    for (quota::LocalQuota& daemon : daemons) {
        daemon.isLowUsageByAccount["a"] = true;
        daemon.lastHubContactAt = bootAt(0);
    }
    quota::HubQuota book;
    book.electedAt = bootAt(electedAt);
    book.initialFraction = quota::successorInitialFraction;
    book.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
    book.wasLowUsageByAccount["a"] = true;
    double sum = 0;
    for (int tick = 0; tick < 8000; tick += 43) {
        quota::LocalQuota& daemon = daemons[random() % members];
        base::BootTime now = bootAt(tick);
        double luck = static_cast<double>(random() % 1000) / 1000;
        bool isLet = tick >= secondCall ? quota::hubQuotaTake(book, "a", limit, tokens, now)
                                        : quota::localQuotaSpendLowUsage(daemon, "a", limit, tokens, members, luck, now)
                || quota::localQuotaSpendFallback(daemon, "a", limit, tokens, members, luck, now);
        sum += isLet ? tokens : 0;
        if (tick / 43 == firstCall / 43) {
            for (quota::LocalQuota& member : daemons)
                quota::localQuotaRestoreUnreported(member, quota::localQuotaTakeUnreported(member));
        }
        if (tick / 43 == secondCall / 43) {
            quota::hubQuotaBucket(book, "a", limit, bootAt(electedAt));
            for (quota::LocalQuota& member : daemons) {
                for (const auto& [account, spent] : quota::localQuotaTakeUnreported(member))
                    quota::hubQuotaCharge(book, account, limit, spent, now);
            }
        }
    }
    cr_assert_leq(sum, 1.1 * (8 * limit.rate + limit.burst) + limit.slack);
    cr_assert_gt(sum, 8 * limit.rate);
}

// A large fleet falls apart, the hub is lost, and an account jumps to seven times its rate just before the next hub is
// elected. The members that the new hub does not reach spend on their own meanwhile.
Test(grants, a_hub_grants_only_the_part_of_the_members_that_it_hears)
{
    constexpr size_t members = 135;
    constexpr int hubLostAt = 1000; // ms
    constexpr int hotFrom = 2700;
    constexpr int electedAt = 3000;
    constexpr int heardFrom = 3300;
    quota::AccountLimit limit { 180000, 180000, 110000 };
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        size_t cutMembers = members * (seed % 5) / 4; // none to all
        std::vector<quota::LocalQuota> daemons(members);
        for (quota::LocalQuota& daemon : daemons) {
            daemon.isLowUsageByAccount["a"] = true;
            daemon.lastHubContactAt = bootAt(hubLostAt);
        }
        quota::HubQuota first;
        quota::HubQuota second;
        second.electedAt = bootAt(electedAt);
        second.initialFraction = quota::successorInitialFraction;
        second.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
        second.wasLowUsageByAccount["a"] = true;
        double sum = 0;
        double tick = 0;
        while (tick < 8000) {
            double tokens = 5000 + static_cast<double>(random() % 9000);
            tick += std::exponential_distribution<double>(limit.rate * (tick < hotFrom ? 0.6 : 7.5) / 9500 / 1000)(
                random);
            base::BootTime now = bootAt(tick);
            size_t chosen = random() % members;
            quota::LocalQuota& daemon = daemons[chosen];
            double luck = static_cast<double>(random() % 1000) / 1000;
            second.reachableMemberFraction
                = tick < heardFrom ? 1.0 / members : std::max(1.0, static_cast<double>(members - cutMembers)) / members;
            if (tick < hubLostAt) {
                sum += quota::hubQuotaTake(first, "a", limit, tokens, now) ? tokens : 0;
            } else if (tick >= heardFrom && chosen >= cutMembers) {
                for (const auto& [account, spent] : quota::localQuotaTakeUnreported(daemon))
                    quota::hubQuotaCharge(second, account, limit, spent, now);
                sum += quota::hubQuotaTake(second, "a", limit, tokens, now) ? tokens : 0;
            } else if (quota::localQuotaSpendLowUsage(daemon, "a", limit, tokens, members, luck, now)
                || quota::localQuotaSpendFallback(daemon, "a", limit, tokens, members, luck, now))
                sum += tokens;
        }
        cr_assert_leq(sum, 1.1 * (8 * limit.rate + limit.burst) + limit.slack, "%zu cut off: %f", cutMembers, sum);
        cr_assert_gt(sum, 0.5 * 8 * limit.rate);
    }
}

// ---- Election -----------------------------------------------------------------------------------

// The hub of a large fleet is lost; its members notice it up to 0.9 s apart, and one in ten of them is strong.
Test(hub, a_strong_member_follows_a_lost_hub_although_weak_ones_notice_first)
{
    constexpr size_t members = 135;
    constexpr double noticeSpread = 0.9; // s
    std::mt19937 random(9);
    auto draw = [&] { return static_cast<double>(random() % 10000) / 10000; };
    constexpr int elections = 500;
    int weakWins = 0;
    for (int election = 0; election < elections; ++election) {
        double first = 10;
        bool isFirstStrong = false;
        for (size_t i = 0; i < members; ++i) {
            bool isStrong = i % 10 == 0;
            double at = draw() * noticeSpread + base::secondsOf(hub::campaignDelay(isStrong ? 0.9 : 0.1, draw()));
            if (at < first) {
                first = at;
                isFirstStrong = isStrong;
            }
        }
        weakWins += !isFirstStrong;
    }
    cr_assert_lt(weakWins, elections / 50);
    // Where all are weak, the first still asks within a second.
    cr_assert_leq(hub::campaignDelay(0, 1), base::Duration(base::Seconds(1)));
}

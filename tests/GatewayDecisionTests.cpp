// The gateway's decisions, each replaying the load that it answers.
#include <random>

#include "Support.h"
#include "directory/Directory.h"
#include "gateway/Events.h"
#include "gateway/RepeatBudget.h"
#include "gateway/ReplicaChoice.h"
#include "gateway/RequestPlan.h"
#include "gateway/Waiting.h"
#include "models/Planner.h"
#include "models/StoreSpeed.h"
#include "platform/Dialect.h"
#include "quota/Grants.h"

using namespace rattanshunt;
using namespace rattanshunt::gateway;
using base::Millis;

namespace {

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000)
        + std::chrono::duration_cast<base::BootClock::duration>(base::durationOf(millis / 1000));
}

} // namespace

// ---- Repeats and refusals -----------------------------------------------------------------------

Test(request_plan, a_refusal_is_given_only_if_nothing_can_have_run_and_once_calls_never_run_twice)
{
    // All histories of up to four attempts, for each kind, with and without budget and time.
    for (RepeatKind repeat : { RepeatKind::Safe, RepeatKind::Once, RepeatKind::Resumable }) {
        for (int history = 0; history < 4 * 4 * 4 * 4 * 4; ++history) {
            for (int passes = 0; passes < 2; ++passes) {
                RequestProgress progress;
                progress.repeat = repeat;
                progress.maxAttempts = 1 + history % 4;
                int left = history / 4;
                bool mayHaveRun = false;
                for (int attempt = 0; attempt < 4; ++attempt) {
                    auto end = static_cast<AttemptEnd>(left % 4);
                    left /= 4;
                    ++progress.attemptsSent;
                    if (end != AttemptEnd::NotRun) {
                        ++progress.attemptsRun;
                        mayHaveRun = true;
                        progress.hasPassedHead = progress.hasPassedHead || passes;
                    }
                    RepeatMeans means { attempt % 2 == 0 || history % 3 != 0, history % 5 != 0 };
                    NextStep step = stepAfterAttempt(progress, end, means);
                    if (step == NextStep::Refuse)
                        cr_assert(!mayHaveRun);
                    if (step == NextStep::PassFailure || step == NextStep::Fail)
                        cr_assert(!progress.hasPassedHead);
                    if (step != NextStep::Repeat)
                        break;
                    cr_assert(means.hasBudget && means.hasTime);
                    cr_assert_lt(progress.attemptsRun, progress.maxAttempts);
                    if (repeat == RepeatKind::Once)
                        cr_assert(!mayHaveRun);
                }
            }
        }
    }
}

Test(request_plan, without_a_replica_the_answer_depends_on_what_may_have_run)
{
    RequestProgress progress;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::Refuse);
    progress.attemptsRun = 1;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::Fail);
    progress.hasPassedHead = true;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::Cut);
}

Test(repeat_budget, the_fleet_stays_within_its_budget_when_every_request_would_repeat)
{
    RepeatBudgetOptions options;
    constexpr size_t members = 19;
    std::vector<RepeatBudget> daemons(members);
    std::mt19937 random(7);
    std::deque<base::BootTime> requests;
    std::deque<base::BootTime> repeats;
    for (int tick = 0; tick < 40000; ++tick) {
        base::BootTime now = bootAt(tick);
        RepeatBudget& daemon = daemons[random() % members];
        if (tick % 10 == 0) {
            repeatCountRequest(daemon, now, options);
            requests.push_back(now);
        }
        if (repeatTake(daemon, now, members, options))
            repeats.push_back(now);
        repeatForget(requests, now - options.window);
        repeatForget(repeats, now - options.window);
        cr_assert_leq(
            static_cast<double>(repeats.size()), options.ratio * static_cast<double>(requests.size()) + options.extra);
    }
    cr_assert_gt(repeats.size(), 100);
}

// ---- Waiting ------------------------------------------------------------------------------------

Test(waiting, what_cannot_be_served_before_the_caller_leaves_is_refused_at_once_with_the_time)
{
    WaitOptions options;
    WaitView view;
    view.isEngine = true;
    view.hasHub = true;
    view.timeLeft = base::Seconds(17);
    view.patienceLeft = base::Seconds(5);
    view.readyIn = base::Seconds(9);
    WaitDecision late = waitDecide(view, options);
    cr_assert(!late.mayWait);
    cr_assert_eq(late.retryAfter->count(), 9000);
    view.readyIn = base::Seconds(2);
    cr_assert(waitDecide(view, options).mayWait);
    view.readyIn.reset();
    cr_assert(waitDecide(view, options).mayWait); // the hub has not said anything yet
    view.hasHub = false;
    cr_assert(waitDecide(view, options).mayWait); // a hub comes back in time
    view.patienceLeft = base::Seconds(2);
    cr_assert(!waitDecide(view, options).mayWait);
    view.hasHub = true;
    view.timeLeft = Millis(100);
    cr_assert(!waitDecide(view, options).mayWait);
}

// ---- Choice -------------------------------------------------------------------------------------

Test(replica_choice, prompts_with_the_same_beginning_share_a_replica_until_it_is_busier)
{
    ReplicaChoiceOptions options;
    std::vector<ReplicaView> views;
    for (std::string_view id : { "a", "b", "c", "d" })
        views.push_back({ id, 64 });
    size_t first = *replicaChoose(views, { 99, 1 }, options);
    for (uint64_t draw = 2; draw < 40; ++draw)
        cr_assert_eq(*replicaChoose(views, { 99, draw }, options), first);
    views[first].ownNow = 30;
    cr_assert_neq(*replicaChoose(views, { 99, 3 }, options), first);
}

Test(replica_choice, a_replica_that_failed_is_left_out_until_no_other_is_left_or_it_is_forgotten)
{
    ReplicaChoiceOptions options;
    std::vector<ReplicaView> views = { { "a", 8 }, { "b", 8 } };
    views[0].trouble = options.troubleMost;
    for (uint64_t draw = 0; draw < 20; ++draw)
        cr_assert_eq(*replicaChoose(views, { 0, draw }, options), 1);
    views[1].ownNow = 8;
    cr_assert(!replicaChoose(views, { 0, 1 }, options));
    views[1].trouble = options.troubleMost;
    cr_assert_eq(*replicaChoose(views, { 0, 1 }, options), 0);
}

Test(replica_choice, reports_without_news_lose_their_weight)
{
    ReplicaChoiceOptions options;
    std::vector<ReplicaView> views = { { "a", 8 } };
    views[0].reported = 20;
    cr_assert(!replicaChoose(views, { 0, 1 }, options));
    views[0].reportAge = base::Seconds(3);
    cr_assert(replicaChoose(views, { 0, 1 }, options).has_value());
}

// ---- Models -------------------------------------------------------------------------------------

namespace {

// Replicas of 100 MB and models of 40 MB: two models fit.
struct Shelf {
    Engine engine;
    models::PlanInput input;

    Shelf()
    {
        engine.weightsMb = 100;
        engine.adapterPlaces = 2;
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
    models::PlanReplica& add(const std::string& id, const std::vector<std::string>& held)
    {
        models::PlanReplica replica;
        replica.id = id;
        for (const std::string& model : held)
            replica.held.push_back({ model, {} });
        input.replicas.push_back(replica);
        return input.replicas.back();
    }
    fabric::Demand& demand(const std::string& model, const std::string& adapter = "")
    {
        return input.demand[{ "s", model, adapter }];
    }
    models::Plan plan() const { return models::planJobs(input, {}); }
};

} // namespace

Test(planner, a_missing_model_goes_where_it_is_on_disk_and_takes_the_place_that_is_asked_for_least)
{
    Shelf shelf;
    shelf.add("a", { "m1", "m2" });
    shelf.add("b", { "m3", "m4" }).onDisk = { "m5" };
    shelf.demand("m1").rate = 5;
    shelf.demand("m3").rate = 2;
    shelf.demand("m5") = { 1, 1, 0, 0, 0.1 };
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].replica, "b");
    cr_assert_eq(plan.jobs[0].unloadModels, std::vector<std::string> { "m4" });
    cr_assert(!plan.jobs[0].fromStore);
}

Test(planner, the_only_copy_that_others_wait_for_stays_and_the_most_wanted_model_goes_first)
{
    Shelf shelf;
    shelf.add("a", { "m1", "m2" });
    shelf.demand("m1") = { 2, 2, 0, 0, 1 };
    shelf.demand("m2") = { 2, 2, 0, 0, 1 };
    shelf.demand("m3") = { 1, 1, 0, 0, 1 };
    shelf.demand("m4") = { 3, 3, 0, 0, 1 };
    models::Plan plan = shelf.plan();
    cr_assert(plan.jobs.empty());
    cr_assert_eq(plan.missing, (std::vector<std::string> { "m4", "m3" }));
    shelf.demand("m2").waiting = 0;
    plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].model, "m4");
    cr_assert_eq(plan.jobs[0].unloadModels, std::vector<std::string> { "m2" });
}

Test(planner, a_new_hub_unloads_nothing_and_the_store_is_not_asked_for_more_than_it_serves)
{
    Shelf shelf;
    for (const char* id : { "a", "b", "c" })
        shelf.add(id, { "m1", "m2" });
    for (const char* model : { "m3", "m4", "m5" })
        shelf.demand(model) = { 1, 1, 0, 0, 1 };
    shelf.input.mayUnload = false;
    cr_assert(shelf.plan().jobs.empty());
    shelf.input.mayUnload = true;
    shelf.input.storeLoadsLeft = 1;
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.missing.size(), 2);
}

Test(planner, a_model_whose_callers_wait_for_their_first_byte_gets_another_copy)
{
    Shelf shelf;
    shelf.add("a", { "m1", "m2" });
    shelf.add("b", { "m3", "m4" }).onDisk = { "m1" };
    shelf.demand("m1") = { 0, 0, 0.5, 0, 5 };
    cr_assert(shelf.plan().jobs.empty());
    shelf.demand("m1").reading = 9;
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].replica, "b");
    cr_assert_eq(plan.jobs[0].model, "m1");
}

Test(planner, room_that_a_crash_left_is_filled_from_disk_before_anybody_asks)
{
    Shelf shelf;
    shelf.add("a", { "m1", "m2" });
    shelf.add("b", {}).onDisk = { "m3", "m1" };
    shelf.demand("m1").rate = 0.1;
    shelf.demand("m3").rate = 0.1;
    models::Plan plan = shelf.plan();
    cr_assert_eq(plan.jobs.size(), 1);
    cr_assert_eq(plan.jobs[0].model, "m3");
}

Test(planner, an_adapter_takes_the_place_of_the_one_that_is_asked_for_least)
{
    Shelf shelf;
    models::PlanReplica& replica = shelf.add("a", { "m1" });
    replica.held[0].adapters = { "a1", "a2" };
    shelf.demand("m1", "a1").rate = 3;
    shelf.demand("m1", "a2").rate = 0.2;
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
        Shelf shelf;
        for (int i = 0; i < 4; ++i) {
            models::PlanReplica& replica = shelf.add("r" + std::to_string(i), {});
            for (auto& [name, spec] : shelf.engine.models) {
                if (replica.held.size() < 2 && random() % 2)
                    replica.held.push_back({ name, {} });
                if (random() % 2)
                    replica.onDisk.insert(name);
            }
            replica.isEngaged = random() % 4 == 0;
        }
        for (auto& [name, spec] : shelf.engine.models)
            shelf.demand(name) = { static_cast<double>(random() % 3), 1, static_cast<double>(random() % 8), 0, 0.1 };
        std::set<std::string> engaged;
        for (const models::PlanJob& job : shelf.plan().jobs) {
            cr_assert(engaged.insert(job.replica).second);
            for (const models::PlanReplica& replica : shelf.input.replicas) {
                if (replica.id != job.replica)
                    continue;
                cr_assert(!replica.isEngaged);
                double after = 40 * (1 + static_cast<double>(replica.held.size() - job.unloadModels.size()));
                cr_assert_leq(after, shelf.engine.weightsMb);
            }
        }
    }
}

Test(store_speed, finds_the_number_of_loads_that_run_at_full_speed)
{
    for (double real : { 2.0, 4.0, 8.0 }) {
        models::StoreSpeed speed;
        for (int i = 0; i < 60; ++i) {
            double crowd = std::max(1.0, std::floor(speed.atOnce));
            models::storeSpeedNote(speed, crowd, std::max(1.0, crowd / real));
        }
        cr_assert_geq(speed.atOnce, real - 0.5);
        cr_assert_leq(speed.atOnce, real * models::storeSpeedSlack + 1);
    }
}

// ---- Usage --------------------------------------------------------------------------------------

Test(grants, the_book_admits_burst_and_rate_in_every_window_and_not_more)
{
    quota::GrantBook book;
    quota::AccountLimit limit { 100, 300, 0 };
    std::mt19937 random(3);
    std::deque<std::pair<base::BootTime, double>> taken;
    double sum = 0;
    for (int tick = 0; tick < 60000; ++tick) {
        base::BootTime now = bootAt(tick);
        double tokens = 1 + static_cast<double>(random() % 60);
        if (quota::bookTake(book, "a", limit, tokens, now)) {
            taken.push_back({ now, tokens });
            sum += tokens;
        }
        while (!taken.empty() && taken.front().first <= now - base::Seconds(8)) {
            sum -= taken.front().second;
            taken.pop_front();
        }
        cr_assert_leq(sum, 300 + 8 * 100 + 1e-6);
    }
    cr_assert_gt(sum, 8 * 100 - 60);
}

Test(grants, without_a_hub_a_hot_account_stays_within_the_slack_and_a_calm_one_is_let_through)
{
    constexpr size_t members = 19;
    quota::AccountLimit limit { 30000, 69000, 110000 };
    std::mt19937 random(5);
    std::vector<quota::LocalGrants> daemons(members);
    double sum = 0;
    // An account at seven times its rate for two seconds, no daemon knows anything of it.
    for (int tick = 0; tick < 2000; tick += 43) {
        double luck = static_cast<double>(random() % 1000) / 1000;
        if (quota::grantSpendAlone(daemons[random() % members], "a", limit, 9200, members, luck, bootAt(tick)))
            sum += 9200;
    }
    // What the window holds beyond rate and burst: a tenth of both and the slack.
    cr_assert_leq(sum, 2 * limit.rate + 0.1 * (8 * limit.rate + limit.burst) + limit.slack);
    cr_assert_gt(sum, limit.rate);

    quota::LocalGrants calm;
    calm.calm["a"] = true;
    calm.hubWordAt = bootAt(0);
    cr_assert(quota::grantSpendCalm(calm, "a", limit, 9200, members, bootAt(1000)));
    cr_assert(!quota::grantSpendCalm(calm, "a", limit, 9200, members, bootAt(6000)));
    for (int i = 0; i < 10; ++i)
        quota::grantSpendCalm(calm, "a", limit, 9200, members, bootAt(1500));
    cr_assert_leq(calm.shares["a"].spent, quota::calmShares * (limit.rate * 5 + limit.burst / 2) / members);
}

// ---- Streams ------------------------------------------------------------------------------------

Test(events, whole_events_pass_however_the_bytes_are_cut_and_repeats_are_left_out)
{
    std::string text = "weight-versions: 1\nid: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (size_t step = 1; step < text.size(); ++step) {
        EventSplitter splitter;
        std::string out;
        for (size_t at = 0; at < text.size(); at += step)
            out += eventsTake(splitter, std::string_view(text).substr(at, step));
        cr_assert_eq(out, text);
        cr_assert_eq(splitter.lastId, "3");
    }
    EventSplitter splitter;
    eventsTake(splitter, "id: 1\ndata: a\n\nid: 2\nda");
    eventsDropPartial(splitter);
    cr_assert_eq(splitter.lastId, "1");
    cr_assert_eq(eventsTake(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

// ---- Replicas -----------------------------------------------------------------------------------

namespace {

std::string entryText(const std::string& state, int64_t born, const std::string& more = "")
{
    return fmt::format(R"({{"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"{}","born":{},)"
                       R"("models":[{{"name":"m1","adapters":[]}}]{}}})",
        state, born, more);
}

} // namespace

Test(directory, an_older_entry_or_report_never_replaces_a_newer_one_and_another_start_forgets_the_first)
{
    Dialect dialect = platform::dialectCreate();
    directory::Directory directory;
    directory::directoryApplyList(directory, dialect, { { "servers/i", entryText("draining", 5), 9 } }, false);
    directory::directoryApplyChanges(directory, dialect, { { "servers/i", entryText("ready", 5), 7 } }, {});
    cr_assert(directory.replicas.at("i").entry.isDraining);
    ReplicaReport report;
    report.bornMillis = 5;
    report.models = { { "m2", {} } };
    cr_assert(directory::directoryApplyReport(directory, "i", report, bootAt(100)));
    cr_assert(!directory::directoryApplyReport(directory, "i", report, bootAt(50)));
    cr_assert(directory::replicaHolds(directory.replicas.at("i"), "m2", "", bootAt(200)));
    directory::directoryApplyList(directory, dialect, { { "servers/i", entryText("ready", 6), 12 } }, false);
    cr_assert(!directory::replicaHolds(directory.replicas.at("i"), "m2", "", bootAt(200)));
    cr_assert(directory::replicaHolds(directory.replicas.at("i"), "m1", "", bootAt(200)));
    cr_assert(!directory::directoryApplyReport(directory, "i", report, bootAt(300)));
}

Test(directory, entries_of_other_writers_name_no_replica_and_the_others_hold)
{
    Dialect dialect = platform::dialectCreate();
    directory::Directory directory;
    std::vector<directory::RawEntry> list = { { "servers/good", entryText("ready", 1), 1 } };
    int number = 0;
    for (const char* bad : { "", "{", "[]", "null", R"({"service":"s"})",
             R"({"service":1,"address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready"})",
             R"({"service":"s","address":"nowhere","zone":"z","slots":8,"state":"ready"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":"8","state":"ready"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"odd"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready","born":1.5})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready","models":[{"name":3}]})" })
        list.push_back({ "servers/bad" + std::to_string(++number), bad, 1 });
    auto faults = directory::directoryApplyList(directory, dialect, list, false);
    cr_assert_eq(faults.size(), static_cast<size_t>(number));
    cr_assert_eq(directory.replicas.size(), 1);
    for (auto& fault : faults)
        cr_assert(!fault.fault.empty());
}

Test(directory, entries_lapse_only_around_an_outage_and_draining_ones_go_at_once)
{
    Dialect dialect = platform::dialectCreate();
    directory::Directory directory;
    std::vector<directory::RawEntry> list
        = { { "servers/a", entryText("ready", 1), 1 }, { "servers/b", entryText("draining", 1), 2 } };
    directory::directoryApplyList(directory, dialect, list, false);
    directory::directoryApplyList(directory, dialect, {}, true);
    cr_assert(directory.replicas.contains("a"));
    cr_assert(!directory.replicas.contains("b"));
    uint64_t before = directory.stamp;
    directory::directoryApplyList(directory, dialect, { list[0] }, true);
    cr_assert(!directory.replicas.at("a").isLapsed);
    cr_assert_gt(directory.stamp, before);
    directory::directoryApplyList(directory, dialect, {}, false);
    cr_assert(directory.replicas.empty());
}

// ---- Configuration ------------------------------------------------------------------------------

Test(configuration, the_longest_prefix_wins_and_shares_are_kept)
{
    Configuration configuration;
    Route shortRoute;
    shortRoute.host = "h";
    shortRoute.prefix = "/a/";
    Route longRoute = shortRoute;
    longRoute.prefix = "/a/b/";
    longRoute.services = { { "x", 90 }, { "y", 10 } };
    configuration.routes = { shortRoute, longRoute };
    configuration.services = { { "x", { "x", 1, {} } }, { "y", { "y", 1, {} } } };
    configurationIndex(configuration);
    cr_assert_eq(routeFind(configuration, "h", "/a/b/c?x=/")->prefix, "/a/b/");
    cr_assert_eq(routeFind(configuration, "h:80", "/a/bc")->prefix, "/a/");
    cr_assert(!routeFind(configuration, "h", "/ab/"));
    cr_assert(!routeFind(configuration, "g", "/a/"));
    int count = 0;
    for (int i = 0; i < 1000; ++i)
        count += serviceDraw(configuration, *routeFind(configuration, "h", "/a/b/"), i / 1000.0)->name == "y";
    cr_assert_eq(count, 100);
}

Test(configuration, a_fault_names_its_field)
{
    Dialect dialect = platform::dialectCreate();
    std::string fault;
    cr_assert(!dialect.readConfiguration(R"({"version":1,"routes":[{"name":"r"}],"services":[]})", fault));
    cr_assert(fault.find("\"host\"") != std::string::npos);
    cr_assert(!dialect.readConfiguration("\xff", fault));
}

Test(text, what_is_packed_comes_back_and_broken_bytes_do_not)
{
    std::string text(100000, 'x');
    std::string packed = base::compress(text);
    cr_assert_lt(packed.size(), 2000);
    cr_assert_eq(*base::decompress(packed), text);
    cr_assert(!base::decompress(packed.substr(0, packed.size() - 3)));
    cr_assert(!base::decompress("short"));
    packed[3] = '\x7f'; // a length that no memory holds
    packed[6] = '\x7f';
    cr_assert(!base::decompress(packed));
}

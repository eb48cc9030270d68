// The gateway before stand-ins of the users' platform: whole answers, repeats, refusals, streams, models, keys, usage.
#include "GatewayFleet.h"
#include "Support.h"
#include "platform/Dialect.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;

namespace {

// Two plain replicas, two engine replicas, one gateway unless more are asked for.
struct Site {
    net::Loop& loop;
    GatewayFleet fleet;
    WireReplica* plain[2] = {};
    WireReplica* engine[2] = {};
    std::vector<LabGateway*> gateways;

    explicit Site(net::Loop& ownLoop, size_t count = 1, double rate = 0, double burst = 0)
        : loop(ownLoop)
        , fleet(ownLoop)
    {
        fleet.configure(labConfiguration(1, rate, burst));
        for (int i = 0; i < 2; ++i) {
            WireReplicaOptions options;
            options.id = "i-plain-" + std::to_string(i);
            plain[i] = &fleet.addReplica(options);
            options.id = "i-engine-" + std::to_string(i);
            options.service = "engine";
            options.isEngine = true;
            options.sizes = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
            options.held = { "m1" };
            engine[i] = &fleet.addReplica(options);
        }
        for (size_t i = 0; i < count; ++i)
            gateways.push_back(&fleet.addGateway("g" + std::to_string(i)));
        cr_assert(fleet.awaitReady());
    }
    ~Site() { fleet.stop(); }

    CallerAnswer call(const std::string& path, const std::string& id, const std::string& model = "",
        const std::string& key = "secret-1", base::Millis leaveAfter = base::Millis(8000))
    {
        return fleet.call(*gateways[0], labRequest(path, id, model, key), leaveAfter);
    }
    int plainRuns(const std::string& id)
    {
        int sum = 0;
        for (WireReplica* replica : plain)
            sum += replica->book().runsOf()[id];
        return sum;
    }
    void faultAll(ReplicaFault fault, int next)
    {
        for (WireReplica* replica : { plain[0], plain[1], engine[0], engine[1] })
            replica->faults() = { fault, next };
    }
};

std::string events(int from, int to)
{
    std::string text;
    for (int i = from; i <= to; ++i)
        text += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
    return text;
}

} // namespace

// ---- Whole answers and keys ---------------------------------------------------------------------

Test(gateway, an_answer_comes_whole_with_its_signature_and_the_key_stays_here, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        CallerAnswer answer = site.call("/safe/x?y=1", "00000001");
        cr_assert_eq(answer.status, 200);
        cr_assert_str_eq(answer.body.c_str(), "answer to 00000001");
        cr_assert(!net::httpHeader(answer.headers, "Server-Seal").empty());
        for (WireReplica* replica : site.plain) {
            for (const WireRun& run : replica->book().runs) {
                cr_assert_str_eq(run.account.c_str(), "acme");
                cr_assert(!run.hadKey);
            }
        }
        cr_assert_eq(site.call("/safe/", "00000002", "", "wrong").status, 401);
        cr_assert_eq(site.call("/open/", "00000003", "", "").status, 200);
        cr_assert_eq(site.call("/none/", "00000004").status, 404);
        cr_assert_eq(site.plainRuns("00000002"), 0);
    });
}

Test(gateway, headers_that_only_the_system_sets_are_not_passed_on)
{
    gateway::Dialect dialect = platform::dialectCreate();
    net::HttpRequest request = labRequest("/safe/", "1");
    for (const char* name : { "Tenant", "Expect-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Keep-Alive" })
        request.headers.push_back({ name, "forged" });
    request.headers.push_back({ "Connection", "close, x-own" });
    request.headers.push_back({ "X-Own", "for this connection" });
    request.headers.push_back({ "X-Other", "kept" });
    net::HttpRequest attempt = dialect.writeAttempt(request, { "i-1", "acme", base::Millis(900), 4, "" });
    for (const net::HttpHeader& header : attempt.headers)
        cr_assert(header.value.find("forged") == std::string::npos, "%s", header.name.c_str());
    cr_assert(net::httpHeader(attempt.headers, "X-Own").empty());
    cr_assert(net::httpHeader(attempt.headers, "Authorization").empty());
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "X-Other")).c_str(), "kept");
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "Tenant")).c_str(), "acme");
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "Deadline-Ms")).c_str(), "900");
    cr_assert_eq(net::httpHeaderCount(attempt.headers, "Tenant"), 1);
}

// ---- Repeats and refusals -----------------------------------------------------------------------

Test(gateway, a_call_that_may_run_once_is_never_sent_again_after_it_may_have_run, .timeout = 60)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        int number = 0;
        for (ReplicaFault fault : { ReplicaFault::LoseAnswer, ReplicaFault::Truncate, ReplicaFault::NoSeal }) {
            site.faultAll(fault, 1);
            std::string id = "once" + std::to_string(++number);
            CallerAnswer answer = site.call("/once/", id);
            cr_assert_eq(answer.status, 502, "fault %d gave %d", static_cast<int>(fault), answer.status);
            cr_assert_eq(site.plainRuns(id), 1);
            site.faultAll(ReplicaFault::None, 0);
        }
        site.faultAll(ReplicaFault::Fail, 1);
        cr_assert_eq(site.call("/once/", "failed").status, 500);
        cr_assert_eq(site.plainRuns("failed"), 1);
    });
}

Test(gateway, a_refused_call_goes_to_another_replica_and_a_safe_one_after_any_failure, .timeout = 60)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        int number = 0;
        for (ReplicaFault fault : { ReplicaFault::LoseAnswer, ReplicaFault::Truncate, ReplicaFault::NoSeal,
                 ReplicaFault::Fail, ReplicaFault::Refuse, ReplicaFault::Foreign }) {
            // One of the two is faulty: whichever serves first, the other one is sound.
            site.plain[number % 2]->faults() = { fault, -1 };
            for (int i = 0; i < 4; ++i) {
                std::string id = fmt::format("s{}-{}", number, i);
                CallerAnswer answer = site.call("/safe/", id);
                cr_assert_eq(answer.status, 200, "fault %d gave %d", static_cast<int>(fault), answer.status);
                cr_assert_eq(answer.body, "answer to " + id);
            }
            site.plain[number % 2]->faults() = {};
            ++number;
        }
        site.plain[0]->faults() = { ReplicaFault::Refuse, -1 };
        for (int i = 0; i < 4; ++i)
            cr_assert_eq(site.call("/once/", "o" + std::to_string(i)).status, 200);
    });
}

Test(gateway, what_no_replica_takes_is_refused_truthfully_and_at_once, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        site.faultAll(ReplicaFault::Refuse, -1);
        CallerAnswer answer = site.call("/once/", "refused");
        cr_assert_eq(answer.status, 503);
        cr_assert(!net::httpHeader(answer.headers, "Retry-After").empty());
        cr_assert_eq(site.plainRuns("refused"), 0);
        cr_assert(answer.took < base::Seconds(1));
    });
}

Test(gateway, a_caller_that_leaves_reaches_the_replica, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        site.faultAll(ReplicaFault::Silent, -1);
        site.call("/safe/", "left", "", "secret-1", base::Millis(200));
        base::TimePoint left = base::Clock::now();
        net::sleepFor(base::Millis(450));
        bool isSeen = false;
        for (WireReplica* replica : site.plain) {
            for (const WireRun& run : replica->book().runs)
                isSeen = isSeen || (run.request == "left" && run.sawLeave && run.endedAt - left < base::Millis(500));
        }
        cr_assert(isSeen);
        cr_assert_eq(site.plainRuns("left"), 1);
    });
}

// ---- Streams ------------------------------------------------------------------------------------

Test(gateway, a_stream_is_continued_on_whole_events_or_cut, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        cr_assert_eq(site.call("/stream/", "whole", "m1").body, events(1, 5));
        // A caller that continues after the last event gets a whole answer without events.
        net::HttpRequest last = labRequest("/stream/", "last", "m1");
        last.headers.push_back({ "Last-Event-Id", "5" });
        CallerAnswer nothing = site.fleet.call(*site.gateways[0], last);
        cr_assert_eq(nothing.error, net::HttpCallError::None);
        cr_assert_eq(nothing.status, 200);
        cr_assert(nothing.body.empty());
        // The replica that the prompt's shared parts lead to breaks off after two events, the other one is sound.
        size_t preferred = site.engine[0]->book().runs.empty() ? 1 : 0;
        site.engine[preferred]->faults() = { ReplicaFault::Truncate, 2, 2 };
        for (int i = 0; i < 2; ++i) {
            CallerAnswer answer = site.call("/stream/", "c" + std::to_string(i), "m1");
            cr_assert_eq(answer.error, net::HttpCallError::None);
            cr_assert_eq(answer.body, events(1, 5));
        }
        int continued = 0;
        for (const WireRun& run : site.engine[1 - preferred]->book().runs)
            continued += run.lastEventId == "2";
        cr_assert_gt(continued, 0);
        for (WireReplica* replica : site.engine)
            replica->faults() = { ReplicaFault::Truncate, -1, 2 };
        CallerAnswer cut = site.call("/single/", "single", "m1");
        cr_assert_neq(cut.error, net::HttpCallError::None); // no end mark
        cr_assert_eq(cut.body, events(1, 2));
        int runs = site.engine[0]->book().runsOf()["single"] + site.engine[1]->book().runsOf()["single"];
        cr_assert_eq(runs, 1);
    });
}

// ---- Models -------------------------------------------------------------------------------------

Test(gateway, a_model_and_an_adapter_that_nobody_holds_are_ordered_and_served, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        net::sleepFor(base::Millis(700)); // orders and rates of a new hub
        for (const char* model : { "m2", "m3", "m1", "m2/a1", "m2/a2", "m2/a3", "m3", "m1" }) {
            CallerAnswer answer = site.call("/stream/", std::string("r-") + model, model);
            cr_assert_eq(answer.status, 200, "%s gave %d", model, answer.status);
        }
        for (WireReplica* replica : site.engine)
            cr_assert(!replica->book().isOvercommitted);
    });
}

// A replica that crashed stays in the list for some heartbeats. Callers do not wait for its silence one by one, and
// what only it held is brought to another.
Test(gateway, a_replica_that_falls_silent_is_left_out_and_its_models_come_elsewhere, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        net::sleepFor(base::Millis(700));
        cr_assert_eq(site.call("/stream/", "first", "m2").status, 200);
        size_t holder = site.engine[0]->held().contains("m2") ? 0 : 1;
        site.engine[holder]->stop();
        net::sleepFor(base::Millis(2600));
        CallerAnswer answer = site.call("/stream/", "second", "m2");
        cr_assert_eq(answer.status, 200);
        cr_assert(site.engine[1 - holder]->held().contains("m2"));
    });
}

// msc-notices-grown trouble-2 --seed 505149596634: an unload that was accepted is not done while the adapter is in use.
Test(gateway, an_adapter_in_use_keeps_its_place_until_its_runs_have_ended, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        site.engine[1]->faults() = { ReplicaFault::Refuse, -1 };
        site.fleet.withdraw(*site.engine[1]);
        net::sleepFor(base::Millis(1300));
        site.engine[0]->setWorkTime(base::Millis(250));
        std::vector<int> statuses;
        for (const char* model : { "m1/a1", "m1/a2", "m1/a3", "m1/a4" }) {
            loop.spawn([&site, &statuses, model] {
                statuses.push_back(site.call("/stream/", std::string("use-") + model, model).status);
            });
            net::sleepFor(base::Millis(150));
        }
        while (statuses.size() < 4)
            net::sleepFor(base::Millis(20));
        cr_assert(!site.engine[0]->book().isOvercommitted);
        cr_assert_geq(std::count(statuses.begin(), statuses.end(), 200), 3);
    });
}

Test(gateway, late_orders_never_overcommit_a_replica, .timeout = 60)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        for (WireReplica* replica : site.engine)
            replica->faults().orderDelay = base::Millis(900);
        for (int round = 0; round < 3; ++round) {
            for (const char* model : { "m2", "m3" })
                loop.spawn([&site, model, round] {
                    site.call(
                        "/stream/", fmt::format("late-{}-{}", model, round), model, "secret-1", base::Millis(1500));
                });
            net::sleepFor(base::Millis(1600));
        }
        for (WireReplica* replica : site.engine)
            replica->faults().orderDelay = base::Millis(0);
        net::sleepFor(base::Millis(1200));
        cr_assert_eq(site.call("/stream/", "after", "m2").status, 200);
        for (WireReplica* replica : site.engine)
            cr_assert(!replica->book().isOvercommitted);
    });
}

Test(gateway, one_holder_gives_orders_and_a_successor_waits, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop, 2);
        net::sleepFor(base::Millis(700));
        size_t hub = site.gateways[0]->fabric.isHub() ? 0 : 1;
        cr_assert(site.gateways[hub]->fabric.isHub());
        cr_assert(!site.gateways[1 - hub]->fabric.isHub());
        base::BootTime last = base::BootClock::now();
        cr_assert(site.gateways[hub]->fabric.mayOrder(last));
        site.gateways[hub]->fabric.retire();
        cr_assert(!site.gateways[hub]->fabric.mayOrder(base::BootClock::now()));
        auto& successor = site.gateways[1 - hub]->fabric;
        while (!successor.mayOrder(base::BootClock::now()))
            net::sleepFor(base::Millis(5));
        cr_assert(base::BootClock::now() - last >= site.fleet.fabricOptions.orderGap);
    });
}

// ---- Configuration, keys and the store -----------------------------------------------------------

Test(gateway, a_key_that_was_taken_away_is_refused_in_time_whatever_the_daemon_can_reach, .timeout = 60)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop, 2);
        net::sleepFor(base::Millis(700));
        site.fleet.configure(labConfiguration(2, 0, 0, "\"secret-2\""));
        net::sleepFor(base::Millis(1600));
        for (LabGateway* gateway : site.gateways)
            cr_assert_eq(site.fleet.call(*gateway, labRequest("/safe/", "old")).status, 401);
        cr_assert_eq(site.call("/safe/", "new", "", "secret-2").status, 200);
        // The store falls silent: keys are trusted up to the limit and not beyond.
        site.fleet.store().faults().mode = StoreMode::Silent;
        cr_assert_eq(site.call("/safe/", "silent", "", "secret-2").status, 200);
        net::sleepFor(site.fleet.gatewayOptions.revokeLimit + base::Millis(300));
        CallerAnswer stale = site.call("/safe/", "stale", "", "secret-2");
        cr_assert_eq(stale.status, 503);
        cr_assert_eq(site.plainRuns("stale"), 0);
        cr_assert(stale.took < base::Millis(300));
        cr_assert_eq(site.call("/open/", "open", "", "").status, 200);
        site.fleet.store().faults().mode = StoreMode::Sound;
        net::sleepFor(base::Millis(2500));
        cr_assert_eq(site.call("/safe/", "back", "", "secret-2").status, 200);
    });
}

Test(gateway, nothing_is_sent_to_a_replica_that_leaves, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop, 2);
        net::sleepFor(base::Millis(700));
        site.fleet.announce(*site.plain[0], true);
        site.fleet.withdraw(*site.engine[0]);
        net::sleepFor(base::Millis(1600));
        size_t before = site.plain[0]->book().runs.size() + site.engine[0]->book().runs.size();
        for (int i = 0; i < 20; ++i) {
            LabGateway& gateway = *site.gateways[static_cast<size_t>(i % 2)];
            cr_assert_eq(site.fleet.call(gateway, labRequest("/safe/", "d" + std::to_string(i))).status, 200);
            cr_assert_eq(site.fleet.call(gateway, labRequest("/stream/", "e" + std::to_string(i), "m1")).status, 200);
        }
        cr_assert_eq(site.plain[0]->book().runs.size() + site.engine[0]->book().runs.size(), before);
    });
}

Test(gateway, entries_that_lapse_with_the_store_away_stay_until_the_grace_is_over, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        site.fleet.store().faults().mode = StoreMode::Busy;
        net::sleepFor(base::Millis(1500));
        site.fleet.withdraw(*site.plain[0]);
        site.fleet.withdraw(*site.plain[1]);
        site.fleet.store().faults().mode = StoreMode::Sound;
        net::sleepFor(base::Millis(1000));
        cr_assert_eq(site.call("/safe/", "lapsed").status, 200);
        site.fleet.announce(*site.plain[1]);
        net::sleepFor(base::Millis(3000));
        auto& replicas = site.gateways[0]->fabric.directory().replicas;
        cr_assert(!replicas.contains("i-plain-0"));
        cr_assert(replicas.contains("i-plain-1"));
        cr_assert_eq(site.call("/safe/", "back").status, 200);
    });
}

// ---- Usage --------------------------------------------------------------------------------------

Test(gateway, an_account_gets_its_burst_once_over_all_daemons_and_the_rest_is_refused_at_once, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        // 1 token a second, 200 at once: 20 plain requests of 10 tokens.
        Site site(loop, 2, 1, 200);
        net::sleepFor(base::Millis(700));
        int served = 0;
        for (int i = 0; i < 40; ++i) {
            CallerAnswer answer = site.fleet.call(
                *site.gateways[static_cast<size_t>(i % 2)], labRequest("/safe/", "q" + std::to_string(i)));
            served += answer.status == 200;
            if (answer.status != 200) {
                cr_assert_eq(answer.status, 429);
                cr_assert(answer.took < base::Millis(300));
            }
        }
        cr_assert_leq(served, 21);
        cr_assert_geq(served, 19);
    });
}

// Replicas in need name the request rate that they accept from all gateways together; the fleet must keep to it.
#include "ServerLimitFixture.h"

#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

namespace {

constexpr base::Seconds judgedTime { 9 };

// All gateways send to a replica of the plain service that names `limit`, beside one that names none.
void playPlain(size_t gatewayCount, const std::string& limit, base::Millis interval)
{
    runOnLoop([&](net::Loop& loop) {
        LimitFixture fixture(loop, gatewayCount, 2, 0);
        fixture.startSending("/safe/", "", interval);
        net::sleepFor(base::Seconds(1));
        fixture.plain[0]->faults().namedLimits = { limit };
        base::TimePoint namedAt = base::Clock::now();
        net::sleepFor(judgedTime);
        fixture.stopSending();
        fixture.checkLimit(*fixture.plain[0], std::stod(limit), namedAt);
        cr_expect_geq(fixture.answersByStatus[200], 9 * fixture.answersByStatus[503],
            "%zu requests were refused although another replica had room", fixture.answersByStatus[503]);
    });
}

gateway::NamedLimit readLimits(const std::vector<std::string>& values)
{
    net::HttpResponse response;
    for (const std::string& value : values)
        response.headers.push_back({ "Server-Limit", value });
    return platform::wireCodecCreate().readLimit(response);
}

} // namespace

Test(server_limit, a_fleet_keeps_to_the_rate_that_a_replica_names, .timeout = 60)
{
    playPlain(19, "1.6", base::Millis(20));
}

Test(server_limit, a_fleet_with_more_gateways_than_the_rate_allows_requests_keeps_to_it, .timeout = 60)
{
    playPlain(60, "0.5", base::Millis(20));
}

// Reports and orders reach the replica as requests do.
Test(server_limit, reports_and_orders_of_the_hub_count, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 6, 0, 2);
        fixture.startSending("/stream/", "m1", base::Millis(50));
        fixture.startSending("/stream/", "m1/a1", base::Millis(300));
        fixture.startSending("/stream/", "m1/a2", base::Millis(300));
        net::sleepFor(base::Millis(500));
        fixture.engines[0]->faults().namedLimits = { "1" };
        base::TimePoint namedAt = base::Clock::now();
        for (const char* model : { "m1/a3", "m1/a4", "m2", "m3" }) {
            fixture.startSending("/stream/", model, base::Millis(400));
            net::sleepFor(base::Millis(1500));
        }
        net::sleepFor(base::Seconds(2));
        fixture.stopSending();
        fixture.checkLimit(*fixture.engines[0], 1, namedAt);
    });
}

// The only replica of a service, with more requests than it accepts: it gets its rate, and the others are refused
// before their callers give up.
Test(server_limit, the_only_replica_gets_the_rate_that_it_names, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 19, 1, 0);
        fixture.startSending("/safe/", "", base::Millis(50));
        net::sleepFor(base::Seconds(1));
        fixture.plain[0]->faults().namedLimits = { "3" };
        base::TimePoint namedAt = base::Clock::now();
        net::sleepFor(base::Seconds(3) + judgedTime);
        fixture.stopSending();
        fixture.checkLimit(*fixture.plain[0], 3, namedAt);
        double use = fixture.useOf(*fixture.plain[0], 3, namedAt + base::Seconds(3), namedAt + base::Seconds(12));
        cr_expect_geq(use, goodUse, "%.2f of the limit was used", use);
        cr_expect_eq(fixture.answersByStatus[0], 0, "%zu callers gave up", fixture.answersByStatus[0]);
    });
}

Test(server_limit, a_limit_holds_while_the_hub_is_replaced, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 19, 2, 0);
        fixture.startSending("/safe/", "", base::Millis(20));
        fixture.plain[0]->faults().namedLimits = { "1" };
        base::TimePoint namedAt = base::Clock::now();
        net::sleepFor(base::Millis(3500));
        size_t hub = fixture.hubIndex();
        fixture.fleet.kill(*fixture.gateways[hub]);
        fixture.gateways[hub] = &fixture.fleet.addGateway("g-new");
        net::sleepFor(judgedTime);
        fixture.stopSending();
        fixture.checkLimit(*fixture.plain[0], 1, namedAt, { hub });
    });
}

// A limit in one response of three, and in refusals.
Test(server_limit, a_limit_holds_between_the_responses_that_name_it, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 10, 2, 0);
        fixture.startSending("/safe/", "", base::Millis(20));
        fixture.plain[0]->faults().namedLimits = { "2" };
        fixture.plain[0]->faults().namesLimitEveryNth = 3;
        fixture.plain[0]->faults().fault = ReplicaFault::Refuse;
        fixture.plain[0]->faults().remainingRequests = 10;
        base::TimePoint namedAt = base::Clock::now();
        net::sleepFor(judgedTime);
        fixture.stopSending();
        fixture.checkLimit(*fixture.plain[0], 2, namedAt);
    });
}

Test(server_limit, a_limit_that_falls_binds_and_one_that_is_no_longer_named_is_lifted, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 10, 1, 0);
        fixture.startSending("/safe/", "", base::Millis(20));
        ReplicaStandIn& replica = *fixture.plain[0];
        replica.faults().namedLimits = { "4" };
        net::sleepFor(base::Seconds(4));
        replica.faults().namedLimits = { "0.5" };
        base::TimePoint fellAt = base::Clock::now();
        net::sleepFor(base::Seconds(8));
        fixture.checkLimit(replica, 0.5, fellAt + base::Seconds(1));
        replica.faults().namedLimits.clear();
        net::sleepFor(base::Seconds(14)); // trials at the low rate have to show that the limit has ended
        base::TimePoint end = base::Clock::now();
        fixture.stopSending();
        double rate = fixture.useOf(replica, 1, end - base::Seconds(2), end);
        cr_expect_gt(rate, 10, "%.1f requests a second after the limit had ended", rate);
    });
}

Test(server_limit, a_replica_that_accepts_nothing_gets_trials_only, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 10, 2, 0);
        fixture.startSending("/safe/", "", base::Millis(20));
        fixture.plain[0]->faults().namedLimits = { "0" };
        base::TimePoint namedAt = base::Clock::now();
        net::sleepFor(judgedTime);
        fixture.stopSending();
        fixture.checkLimit(*fixture.plain[0], 0, namedAt);
        cr_expect_eq(fixture.answersByStatus[503], 0);
    });
}

Test(server_limit, a_restart_ends_the_limit, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 4, 1, 0);
        fixture.startSending("/safe/", "", base::Millis(20));
        ReplicaStandIn& replica = *fixture.plain[0];
        replica.faults().namedLimits = { "0.5" };
        net::sleepFor(base::Seconds(3));
        replica.faults().namedLimits.clear();
        replica.restart();
        fixture.fleet.publishEntry(replica);
        net::sleepFor(base::Seconds(3));
        base::TimePoint end = base::Clock::now();
        fixture.stopSending();
        double rate = fixture.useOf(replica, 1, end - base::Seconds(1), end);
        cr_expect_gt(rate, 10, "%.1f requests a second after the restart", rate);
    });
}

// The model's only copy is on a limited replica, and another one has room for it.
Test(server_limit, a_model_whose_replica_is_limited_is_loaded_elsewhere, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 6, 0, 2);
        fixture.startSending("/stream/", "m2", base::Millis(100));
        net::sleepFor(base::Seconds(2));
        auto holders = [&] {
            return std::count_if(fixture.engines.begin(), fixture.engines.end(),
                [](const ReplicaStandIn* each) { return each->loadedModels().contains("m2"); });
        };
        cr_assert_geq(holders(), 1);
        for (ReplicaStandIn* replica : fixture.engines) {
            if (replica->loadedModels().contains("m2")) {
                replica->faults().namedLimits = { "0.5" };
                break;
            }
        }
        net::sleepFor(base::Seconds(6));
        fixture.stopSending();
        cr_expect_eq(holders(), 2);
    });
}

Test(server_limit, values_are_read_as_whole_finite_numbers)
{
    cr_expect_eq(*readLimits({ "2.25" }).requestsPerSecond, 2.25);
    cr_expect_eq(*readLimits({ " 0 " }).requestsPerSecond, 0);
    cr_expect_eq(*readLimits({ "1e300" }).requestsPerSecond, 1e15);
    cr_expect_eq(*readLimits({ "3", "2", "x" }).requestsPerSecond, 2, "the lowest of several limits counts");
    for (const char* text : { "", " ", "-1", "nan", "inf", "-inf", "2 per second", "0x10", "1,5", "1e999" }) {
        cr_expect(readLimits({ text }).isNamed);
        cr_expect_not(readLimits({ text }).requestsPerSecond.has_value(), "\"%s\" was read as a number", text);
    }
    cr_expect_not(readLimits({}).isNamed);
}

// Guards against brittle replicas that fall over because all gateways together are refused too often: the users' rule
// allows two falls and a tenth of the replicas.
Test(server_limit, brittle_replicas_that_are_full_do_not_fall_over, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        constexpr int replicaCount = 4;
        constexpr int slots = 8;
        LimitFixture fixture(loop, 12, replicaCount, 0);
        for (ReplicaStandIn* replica : fixture.plain) {
            replica->setProcessingTime(base::Millis(200)); // together they serve 160 a second
            replica->faults().brittleRefusals = 6;         // there is room until they let none wait
        }
        for (int i = 0; i < 2; ++i)
            fixture.startSending("/safe/", "", base::Millis(5)); // about 200 a second together
        net::sleepFor(limitContactTime);
        for (ReplicaStandIn* replica : fixture.plain)
            replica->faults().maxRunning = slots;
        net::sleepFor(base::Seconds(10));
        size_t falls = 0;
        for (ReplicaStandIn* replica : fixture.plain)
            falls += replica->history().crashes.size();
        cr_expect_leq(falls, 2 + replicaCount / 10, "%zu falls", falls);
        fixture.stopSending();
    });
}

// Cold replicas: gateways against a store and replicas.
#include "ColdSupport.h"
#include "ServerLimitFixture.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

namespace {

// The users' rule: in any one second at most this many requests, of all gateways together.
constexpr double allowedInSecond = 1.5 * coldPerSecond + 5;

// Gateways with requests for a plain service whose replicas turn cold, and write their entries as on a platform.
struct ColdFixture : LimitFixture {
    bool isWriting = true;
    size_t writers = 0;

    ColdFixture(net::Loop& testLoop, size_t gatewayCount, size_t replicaCount)
        : LimitFixture(testLoop, gatewayCount, replicaCount, 0)
    {
        std::string configuration = labConfiguration(2);
        std::string limit = R"("maxConnections":50},{"name":"engine")";
        size_t found = configuration.find(limit);
        cr_assert_neq(found, std::string::npos);
        configuration.insert(found + 19, R"(,"coldPerS":6.5,"coldS":3.0)");
        fleet.configure(configuration);
        for (ReplicaStandIn* replica : plain) {
            ++writers;
            loop.spawn([this, replica] {
                while (isWriting) {
                    fleet.publishEntry(*replica);
                    net::sleepFor(base::Millis(500));
                }
                --writers;
            });
        }
        for (int i = 0; i < 400 && !allKnowConfiguration(); ++i)
            net::sleepFor(base::Millis(10));
        cr_assert(allKnowConfiguration());
    }
    ~ColdFixture()
    {
        isWriting = false;
        while (writers)
            net::sleepFor(base::Millis(20));
    }

    bool allKnowConfiguration() const
    {
        return std::all_of(gateways.begin(), gateways.end(), [](LabGateway* each) {
            auto configuration = each->hubSync.configuration();
            return configuration && configuration->version == 2;
        });
    }
    size_t countAtLeast(size_t cold) const
    {
        return std::count_if(gateways.begin(), gateways.end(),
            [&](LabGateway* each) { return each->hubSync.coldReplicaCount() >= cold; });
    }
    bool waitUntilCold(size_t cold) const
    {
        for (int i = 0; i < 400 && countAtLeast(cold) < gateways.size(); ++i)
            net::sleepFor(base::Millis(10));
        return countAtLeast(cold) == gateways.size();
    }
    static size_t mostInSecondSince(const ReplicaStandIn& replica, base::TimePoint from, base::TimePoint until)
    {
        std::vector<base::BootTime> arrivals;
        for (const ReplicaArrival& arrival : replica.history().arrivals) {
            if (!arrival.requestId.empty() && arrival.at >= from && arrival.at < until)
                arrivals.push_back(base::BootTime {} + (arrival.at - from));
        }
        return mostInSecond(arrivals);
    }
};

} // namespace

// Guards against a cold replica getting the traffic of a warm one from gateways that all know that it is cold, and
// against traffic not coming back when it is warm.
Test(cold_replicas, a_fleet_keeps_to_the_cold_rate, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        ColdFixture fixture(loop, 19, 1);
        fixture.startSending("/safe/", "", base::Millis(10));
        net::sleepFor(base::Millis(500));
        ReplicaStandIn& replica = *fixture.plain[0];
        replica.faults().coldUntil = base::Clock::now() + base::Seconds(6);
        cr_assert(fixture.waitUntilCold(1));
        base::TimePoint known = base::Clock::now();
        net::sleepFor(base::Millis(3500));
        base::TimePoint until = base::Clock::now();
        size_t most = ColdFixture::mostInSecondSince(replica, known, until);
        cr_expect_leq(most, allowedInSecond, "%zu requests in a second", most);
        double use = fixture.useOf(replica, coldPerSecond, known + base::Seconds(1), until);
        cr_expect_geq(use, 0.6, "%.2f of the cold rate was used", use);
        net::sleepFor(base::Seconds(5));
        base::TimePoint end = base::Clock::now();
        double warm = fixture.useOf(replica, 1, end - base::Seconds(1), end);
        cr_expect_gt(warm, 30, "%.1f requests a second when it was warm again", warm);
        fixture.stopSending();
    });
}

// Guards against the permits of the next hub adding to those of the last one.
Test(cold_replicas, a_fleet_keeps_to_the_cold_rate_while_the_hub_is_replaced, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        ColdFixture fixture(loop, 19, 1);
        fixture.startSending("/safe/", "", base::Millis(10));
        ReplicaStandIn& replica = *fixture.plain[0];
        replica.faults().coldUntil = base::Clock::now() + base::Seconds(12);
        cr_assert(fixture.waitUntilCold(1));
        base::TimePoint known = base::Clock::now();
        net::sleepFor(base::Seconds(1));
        size_t hub = fixture.hubIndex();
        fixture.fleet.kill(*fixture.gateways[hub]);
        fixture.gateways[hub] = fixture.gateways[hub ? 0 : 1];
        net::sleepFor(base::Seconds(5));
        size_t most = ColdFixture::mostInSecondSince(replica, known, base::Clock::now());
        cr_expect_leq(most, allowedInSecond, "%zu requests in a second", most);
        fixture.stopSending();
    });
}

// Guards against replicas getting one request of each waiting gateway when their evacuation ends.
Test(cold_replicas, replicas_that_return_from_an_evacuation_get_the_cold_rate, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        ColdFixture fixture(loop, 40, 3);
        fixture.fleet.store().put("op/evacuate/dc-1", "{}");
        net::sleepFor(base::Millis(1800));
        fixture.startSending("/safe/", "", base::Millis(4));
        net::sleepFor(base::Millis(500));
        for (ReplicaStandIn* replica : fixture.plain)
            replica->faults().coldUntil = base::Clock::now() + base::Seconds(5);
        base::TimePoint returned = base::Clock::now();
        fixture.fleet.store().remove("op/evacuate/dc-1");
        net::sleepFor(base::Seconds(4));
        for (ReplicaStandIn* replica : fixture.plain) {
            size_t most = ColdFixture::mostInSecondSince(*replica, returned, base::Clock::now());
            cr_expect_leq(most, allowedInSecond, "%zu requests in a second", most);
            cr_expect_geq(most, 3U, "%zu requests in a second: the replica is not used", most);
        }
        fixture.stopSending();
    });
}

// Guards against a service without `coldPerS` being served otherwise because its replicas name a time.
Test(cold_replicas, a_service_without_a_cold_rate_is_served_as_before, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        LimitFixture fixture(loop, 4, 1, 0);
        fixture.plain[0]->faults().coldUntil = base::Clock::now() + base::Seconds(20);
        fixture.plain[0]->faults().saysColdInResponses = true;
        fixture.fleet.publishEntry(*fixture.plain[0]);
        fixture.startSending("/safe/", "", base::Millis(10));
        net::sleepFor(base::Seconds(3));
        base::TimePoint end = base::Clock::now();
        double rate = fixture.useOf(*fixture.plain[0], 1, end - base::Seconds(1), end);
        cr_expect_gt(rate, 30, "%.1f requests a second", rate);
        fixture.stopSending();
    });
}

// Guards against replicas staying presumed cold after an evacuation: an entry that keeps saying that its replica is
// warm does not change.
Test(cold_replicas, a_warm_replica_that_returns_from_an_evacuation_is_cold_for_its_cold_time_only, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        ColdFixture fixture(loop, 3, 2);
        fixture.isWriting = false;
        net::sleepFor(base::Seconds(1));
        fixture.fleet.store().put("op/evacuate/dc-1", "{}");
        net::sleepFor(base::Millis(1800));
        fixture.fleet.store().remove("op/evacuate/dc-1");
        cr_assert(fixture.waitUntilCold(2));
        net::sleepFor(base::Seconds(4));
        cr_expect_eq(fixture.countAtLeast(1), 0U);
    });
}

// Guards against a service whose configuration states a rate of 0 getting no requests after a return.
Test(cold_replicas, a_rate_of_0_means_that_replicas_do_not_turn_cold)
{
    std::string json = labConfiguration(2);
    std::string limit = R"("maxConnections":50},{"name":"engine")";
    json.insert(json.find(limit) + 19, R"(,"coldPerS":0.0,"coldS":0.0)");
    std::string fault;
    auto configuration = platform::wireCodecCreate().readConfiguration(json, fault);
    cr_assert(configuration, "%s", fault.c_str());
    for (const auto& [name, service] : configuration->services)
        cr_expect(!service.coldPerSecond.has_value(), "%s", name.c_str());
}

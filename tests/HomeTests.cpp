// Homes of routes and accounts: the geos whose replicas may serve a request.
#include "GatewayFixture.h"
#include "cli/GatewayDaemonOptions.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

namespace {

// A plain replica in each of three data centres; only the first two have a known geo.
struct HomeFleet {
    lab::GatewayFleet fleet;
    std::vector<lab::ReplicaStandIn*> replicas;
    lab::LabGateway* gateway = nullptr;
    int calls = 0;

    HomeFleet(net::Loop& loop, const std::string& routeHomes, const std::string& accountHomes)
        : fleet(loop)
    {
        std::string configuration = lab::labConfiguration(1);
        auto insert = [&](const std::string& before, const std::string& homes) {
            size_t found = configuration.find(before);
            cr_assert_neq(found, std::string::npos);
            if (!homes.empty())
                configuration.insert(found, "\"allowedRegions\":" + homes + ",");
        };
        insert(R"("host":"a.example")", routeHomes); // of the first route, /safe/
        insert(R"("apiKeys")", accountHomes);
        fleet.configure(configuration);
        fleet.hubSyncOptions.geos = { { "dc-1", "north" }, { "dc-2", "south" } };
        for (int i = 1; i <= 3; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = "i-" + std::to_string(i);
            options.dataCenter = "dc-" + std::to_string(i);
            replicas.push_back(&fleet.addReplica(options));
        }
        gateway = &fleet.addGateway("g0");
        cr_assert(fleet.waitReady());
    }
    ~HomeFleet() { fleet.stop(); }

    // How many of the requests each replica got, and how many were refused.
    std::vector<size_t> send(const std::string& path, int requests)
    {
        std::vector<size_t> before;
        for (lab::ReplicaStandIn* replica : replicas)
            before.push_back(replica->history().executions.size());
        size_t refused = 0;
        for (int i = 0; i < requests; ++i) {
            int status = fleet.call(*gateway, lab::labRequest(path, "call" + std::to_string(calls++))).status;
            cr_expect(status == 200 || status == 503);
            refused += status == 503 ? 1 : 0;
        }
        std::vector<size_t> counts;
        for (size_t i = 0; i < replicas.size(); ++i)
            counts.push_back(replicas[i]->history().executions.size() - before[i]);
        counts.push_back(refused);
        return counts;
    }
};

} // namespace

// Guards against a request that reaches a replica outside its route's homes, or in a data centre whose geo is unknown.
Test(homes, a_route_is_served_in_its_homes_only)
{
    runOnLoop([](net::Loop& loop) {
        HomeFleet test(loop, R"(["south"])", "");
        auto counts = test.send("/safe/x", 12);
        cr_expect_eq(counts[0], 0U);
        cr_expect_eq(counts[1], 12U);
        cr_expect_eq(counts[2], 0U);
        counts = test.send("/once/x", 12);
        cr_expect_eq(counts[0] + counts[1] + counts[2], 12U, "another route has none");
    });
}

// Guards against the homes of an account being ignored, and against one of two sets of homes replacing the other.
Test(homes, both_the_route_and_the_account_bind)
{
    runOnLoop([](net::Loop& loop) {
        HomeFleet test(loop, R"(["north","south"])", R"(["north"])");
        auto counts = test.send("/safe/x", 12);
        cr_expect_eq(counts[0], 12U);
        counts = test.send("/once/x", 12);
        cr_expect_eq(counts[0], 12U);
    });
}

// Guards against a request that no home can serve going elsewhere.
Test(homes, a_request_without_a_common_home_is_refused)
{
    runOnLoop([](net::Loop& loop) {
        HomeFleet test(loop, R"(["south"])", R"(["north"])");
        auto counts = test.send("/safe/x", 2);
        cr_expect_eq(counts[0] + counts[1] + counts[2], 0U);
        cr_expect_eq(counts[3], 2U);
    });
}

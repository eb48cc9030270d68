// Evacuations of data centres: decisions, and gateways against a store and replicas.
#include "GatewayFixture.h"
#include "evacuation/Evacuations.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;
using evacuation::Evacuations;

namespace {

base::BootTime at(int millis)
{
    return base::BootTime {} + base::Seconds(100) + base::Millis(millis);
}

} // namespace

// Guards against knowledge that a lagging daemon passes on taking back an evacuation.
Test(evacuation, an_older_list_changes_nothing)
{
    Evacuations evacuations;
    evacuation::evacuationsApply(evacuations, { "dc-1" }, at(100), false);
    cr_expect(evacuation::evacuationsApply(evacuations, {}, at(50), false).empty());
    cr_expect(evacuation::isEvacuated(evacuations, "dc-1"));
    auto changes = evacuation::evacuationsApply(evacuations, {}, at(200), false);
    cr_expect_eq(changes.size(), 1U);
    cr_expect(!evacuation::isEvacuated(evacuations, "dc-1"));
}

// Guards against a copy of the store that lacks the request ending an evacuation.
Test(evacuation, a_list_that_may_be_incomplete_ends_none)
{
    Evacuations evacuations;
    evacuation::evacuationsApply(evacuations, { "dc-1" }, at(0), false);
    cr_expect(evacuation::evacuationsApply(evacuations, { "dc-2" }, at(100), true).size() == 1);
    cr_expect(evacuation::isEvacuated(evacuations, "dc-1"));
    cr_expect(evacuation::isEvacuated(evacuations, "dc-2"));
}

namespace {

// A plain replica in each of two data centres, and two gateways.
struct EvacuationFleet {
    net::Loop& loop;
    lab::GatewayFleet fleet;
    lab::ReplicaStandIn* replicas[2] = {};
    std::vector<lab::LabGateway*> gateways;
    int calls = 0;

    explicit EvacuationFleet(net::Loop& testLoop)
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.configure(lab::labConfiguration(1));
        for (int i = 0; i < 2; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = "i-plain-" + std::to_string(i);
            options.dataCenter = "dc-" + std::to_string(i + 1);
            replicas[i] = &fleet.addReplica(options);
        }
        for (int i = 0; i < 2; ++i)
            gateways.push_back(&fleet.addGateway("g" + std::to_string(i)));
        cr_assert(fleet.waitReady());
    }
    ~EvacuationFleet() { fleet.stop(); }

    // Sends requests through both gateways; how many reached the replica.
    int countAt(int replica, int requests)
    {
        std::set<std::string> before;
        for (const auto& [id, count] : replicas[replica]->history().executionsByRequest())
            before.insert(id);
        for (int i = 0; i < requests; ++i) {
            auto response = fleet.call(*gateways[i % 2], lab::labRequest("/safe/x", "call" + std::to_string(calls++)));
            cr_expect_eq(response.status, 200);
        }
        int reached = 0;
        for (const auto& [id, count] : replicas[replica]->history().executionsByRequest())
            reached += before.contains(id) ? 0 : 1;
        return reached;
    }

    bool waitUntil(bool isEvacuated)
    {
        for (int i = 0; i < 400; ++i) {
            bool isDone = true;
            for (lab::LabGateway* gateway : gateways)
                isDone = isDone && evacuation::isEvacuated(gateway->hubSync.evacuations(), "dc-1") == isEvacuated;
            if (isDone)
                return true;
            net::sleepFor(base::Millis(10));
        }
        return false;
    }
};

} // namespace

// Guards against requests that reach a data centre's replicas although its evacuation is known, and against its
// replicas staying out of use afterwards.
Test(evacuation, an_evacuated_data_center_gets_no_requests_until_it_is_taken_back)
{
    runOnLoop([](net::Loop& loop) {
        EvacuationFleet test(loop);
        test.fleet.store().put("op/evacuate/dc-1", "{}");
        cr_assert(test.waitUntil(true));
        cr_expect_eq(test.countAt(0, 20), 0);
        test.fleet.store().remove("op/evacuate/dc-1");
        test.fleet.store().put("op/evacuate/dc-2", "{}");
        cr_assert(test.waitUntil(false));
        cr_expect_eq(test.countAt(0, 20), 20);
    });
}

// Guards against an evacuation being forgotten while the hub is lost.
Test(evacuation, an_evacuation_outlives_the_hub)
{
    runOnLoop([](net::Loop& loop) {
        EvacuationFleet test(loop);
        test.fleet.store().put("op/evacuate/dc-1", "{}");
        cr_assert(test.waitUntil(true));
        size_t hub = test.gateways[0]->hubSync.isHub() ? 0 : 1;
        test.fleet.kill(*test.gateways[hub]);
        std::swap(test.gateways[0], test.gateways[1 - hub]);
        test.gateways[1] = test.gateways[0];
        cr_expect_eq(test.countAt(0, 20), 0);
    });
}

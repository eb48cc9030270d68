// Gateways in two data centres that send work to each other, against a store and replicas.
#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

namespace {

// A gateway and a plain replica in each of two data centres; the first replica has four slots, the second one sixteen.
struct SpillFleet {
    net::Loop& loop;
    lab::GatewayFleet fleet;
    lab::ReplicaStandIn* replicas[2] = {};
    lab::LabGateway* gateways[2] = {};
    int calls = 0;

    explicit SpillFleet(net::Loop& testLoop)
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.configure(lab::labConfiguration(1));
        fleet.hubSyncOptions.spill.costPerMb = 0.2;
        fleet.hubSyncOptions.spill.delay = base::Millis(100);
        for (int i = 0; i < 2; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = "i-plain-" + std::to_string(i);
            options.dataCenter = "dc-" + std::to_string(i + 1);
            options.batchSlots = i == 0 ? 4 : 16;
            options.processingTime = base::Millis(50);
            replicas[i] = &fleet.addReplica(options);
            fleet.hubSyncOptions.dataCenter = options.dataCenter;
            gateways[i] = &fleet.addGateway("g" + std::to_string(i));
        }
        cr_assert(fleet.waitReady());
    }
    ~SpillFleet() { fleet.stop(); }

    size_t executedAt(int replica) const { return replicas[replica]->history().executions.size(); }

    // Some callers that each send a request through the first gateway after the other; how many were not served.
    int callFor(int callers, base::Millis duration)
    {
        int failures = 0;
        int running = callers;
        base::TimePoint end = base::Clock::now() + duration;
        for (int i = 0; i < callers; ++i) {
            loop.spawn([&] {
                while (base::Clock::now() < end) {
                    auto response
                        = fleet.call(*gateways[0], lab::labRequest("/safe/x", "call" + std::to_string(calls++)));
                    failures += response.status != 200;
                }
                --running;
            });
        }
        while (running > 0)
            net::sleepFor(base::Millis(10));
        return failures;
    }
};

} // namespace

// Guards against requests that leave a data centre with free slots, and against the hub's plan not reaching the
// gateways, or not being followed, when callers need more than its own replicas have.
Test(spill_gateway, work_leaves_only_a_data_center_that_needs_it)
{
    runOnLoop([](net::Loop& loop) {
        SpillFleet test(loop);
        cr_expect_eq(test.callFor(2, base::Millis(1000)), 0);
        cr_expect_gt(test.executedAt(0), 10);
        cr_expect_eq(test.executedAt(1), 0, "%zu", test.executedAt(1));
        cr_expect_eq(test.callFor(8, base::Millis(5000)), 0);
        hub::ModelKey plain { "plain", "" };
        auto shares = test.gateways[0]->hubSync.spillShares(plain, base::BootClock::now());
        cr_expect(shares.contains("dc-2") && shares["dc-2"] > 0.3);
        cr_expect(test.gateways[1]->hubSync.spillShares(plain, base::BootClock::now()).empty());
        cr_expect_gt(test.executedAt(1), 100);
        // Old shares are not followed.
        cr_expect(test.gateways[0]->hubSync.spillShares(plain, base::BootClock::now() + base::Seconds(10)).empty());
    });
}

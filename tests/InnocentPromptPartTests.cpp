// Prompt parts that were in requests whose replicas ended or cut connections for other reasons.
#include "CrashingPromptPartFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

Test(crashing_prompt_part, another_part_in_prefill_at_the_crashes_is_served, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        constexpr base::Millis processingTime { 150 }; // longer than a crash takes
        CrashingPartFixture fixture(loop);
        for (ReplicaStandIn* replica : fixture.replicas)
            replica->setProcessingTime(processingTime);
        fixture.startSound(base::Millis(50), "aa:20,beef:20");
        net::sleepFor(base::Millis(500));
        fixture.startCrashing("dead");
        fixture.waitForCrashes(crashesOfRule, base::Seconds(4));
        net::sleepUntil(fixture.decisiveCrash() + contactTime);
        fixture.stopSending();
        cr_assert_geq(fixture.crashesWithOthers(processingTime), 2);
        net::sleepFor(base::Millis(2500)); // until the last replica is back
        size_t begun = fixture.countBegun(20, "aa:20,beef:20");
        cr_expect_geq(begun, 18, "%zu of 20 requests with the part began", begun);
    });
}

Test(crashing_prompt_part, connections_reset_by_replicas_that_go_on_accuse_no_part, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop, {});
        for (ReplicaStandIn* replica : fixture.replicas)
            replica->faults() = { ReplicaFault::CloseAfterHead, 1 };
        auto hasResetOn = [](const ReplicaStandIn* replica) { return replica->history().executions.size() > 0; };
        for (size_t i = 0; i < 200 && !std::all_of(fixture.replicas.begin(), fixture.replicas.end(), hasResetOn); ++i) {
            fixture.sendSound(i % fixture.gateways.size(), "aa:20,beef:20");
            net::sleepFor(base::Millis(20));
        }
        fixture.stopSending();
        for (ReplicaStandIn* replica : fixture.replicas)
            cr_assert_eq(replica->faults().remainingRequests, 0);
        net::sleepFor(contactTime);
        size_t begun = fixture.countBegun(20, "aa:20,beef:20");
        cr_expect_eq(begun, 20, "%zu of 20 requests with the part began", begun);
    });
}

// Requests with the same parts run on all of them.
Test(crashing_prompt_part, replicas_that_lose_power_together_accuse_no_part, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop, {});
        for (ReplicaStandIn* replica : fixture.replicas)
            replica->setProcessingTime(base::Millis(100));
        fixture.startSound(base::Millis(12), "aa:20,beef:20"); // fills most slots of all replicas
        for (int round = 0; round < 2; ++round) {
            net::sleepFor(base::Millis(1000));
            for (ReplicaStandIn* replica : fixture.replicas)
                replica->crash();
            net::sleepFor(base::Millis(3500)); // until they are back and have the model
        }
        fixture.stopSending();
        cr_assert_geq(fixture.crashesWithOthers(base::Millis(500)), 6);
        size_t begun = fixture.countBegun(20, "aa:20,beef:20");
        cr_expect_eq(begun, 20, "%zu of 20 requests with the part began", begun);
    });
}

// Requests with one prompt part crash every replica that begins to answer them. The rule: after the fifth crash plus
// the contact time, at most three more reach replicas; from twice that time on, sound requests with the same key or
// first part begin at the first attempt at least half as often as before.
#include "CrashingPromptPartFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

Test(crashing_prompt_part, replicas_stop_ending_under_requests_with_one_prompt_part, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop);
        fixture.checkRule(1, [] {});
    });
}

Test(crashing_prompt_part, two_parts_are_found_at_once, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop, { "dead", "dad0" });
        fixture.checkRule(1, [] {});
    });
}

// Guards against parts far back in a long prompt that were never suspected (review/2).
Test(crashing_prompt_part, is_found_far_back_in_a_long_prompt, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (size_t before : { 35, 800 }) {
            CrashingPartFixture fixture(loop);
            fixture.ownParts = before - 2;
            fixture.checkRule(1, [] {});
        }
    });
}

// The first event of an answer does not show that its prompt is harmless.
Test(crashing_prompt_part, is_found_although_replicas_end_after_the_first_event, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop);
        for (ReplicaStandIn* replica : fixture.replicas)
            replica->faults().eventsBeforeCrash = 1;
        fixture.checkRule(1, [] {});
    });
}

Test(crashing_prompt_part, is_found_although_the_hub_dies_at_the_third_crash, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop);
        fixture.checkRule(3, [&] { fixture.replaceGateways({ fixture.hubIndex() }); });
    });
}

// What was found has to outlive the processes that found it.
Test(crashing_prompt_part, is_known_after_a_restart_of_all_gateways, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop);
        fixture.checkRule(crashesOfRule, [&] {
            net::sleepUntil(fixture.decisiveCrash() + contactTime);
            std::vector<size_t> all(fixture.gateways.size());
            std::iota(all.begin(), all.end(), size_t(0));
            fixture.replaceGateways(all);
        });
    });
}

Test(crashing_prompt_part, is_refused_by_a_gateway_that_starts_after_it_was_found, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop);
        fixture.startSound();
        net::sleepFor(base::Millis(500));
        fixture.startCrashing("dead");
        fixture.waitForCrashes(crashesOfRule, base::Seconds(4));
        net::sleepUntil(fixture.decisiveCrash() + contactTime);
        fixture.isSendingCrashing = false;
        fixture.addGateway();
        cr_assert(fixture.fleet.waitReady());
        for (int i = 0; i < 20; ++i) {
            fixture.sendCrashing(fixture.gateways.size() - 1, "dead");
            net::sleepFor(base::Millis(100));
        }
        fixture.stopSending();
        fixture.checkLateArrivals();
    });
}

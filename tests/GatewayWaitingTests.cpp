// Requests that wait for a slot at real gateways whose replicas are full.
#include <fmt/format.h>

#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::GatewayFixture;

// Guards against holding requests until their callers leave although the slots go to others before them, against
// refusals without a time to come back, and against slots that stay free while requests wait.
Test(gateway_waiting, requests_whose_turn_comes_too_late_are_refused_before_their_time_is_over, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        net::sleepFor(base::Millis(700));
        for (ReplicaStandIn* replica : fixture.engine)
            replica->setProcessingTime(base::Millis(60));
        size_t open = 0;
        int served = 0;
        std::vector<double> heldSeconds;
        for (int i = 0; i < 140; ++i) {
            loop.spawn([&, i] {
                ++open;
                CallerResponse response = fixture.call("/stream/", fmt::format("r-{}", i), "m1");
                --open;
                if (response.status == 200) {
                    ++served;
                    return;
                }
                cr_expect_eq(response.status, 503);
                cr_expect(!net::httpHeader(response.headers, "Retry-After").empty());
                heldSeconds.push_back(base::secondsOf(response.duration));
            });
            net::sleepFor(base::Millis(5));
        }
        while (open > 0)
            net::sleepFor(base::Millis(20));
        std::sort(heldSeconds.begin(), heldSeconds.end());
        cr_assert(!heldSeconds.empty());
        cr_log_warn("served %d, refused %zu after %.2f s at the median", served, heldSeconds.size(),
            heldSeconds[heldSeconds.size() / 2]);
        // 16 slots, 0.3 s each, for 2.5 s.
        cr_expect_geq(served, 80);
        cr_expect_lt(heldSeconds[heldSeconds.size() / 2], 1.5);
    });
}

// Requests with a key while the store is silent and the configuration grows too old to trust keys.
#include <regex>

#include <fmt/format.h>

#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::GatewayFixture;

// Guards against requests that are held for seconds and then refused, as keys are no longer trusted: the store is
// silent, the hub has lost its lease, and nobody orders the model that they need.
Test(configuration_age, requests_that_can_not_be_served_before_keys_are_too_old_are_refused_at_once, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2);
        // Callers wait for 5 s. The replicas are full of m1 to m3, and m4 is only loaded if it is ordered.
        std::string configuration = std::regex_replace(
            labConfiguration(2), std::regex("\"targetLatencyMs\":500"), "\"targetLatencyMs\":1500");
        std::string m4
            = R"("models":[{"name":"m4","weightsMb":40,"loadS":0.2,"diskS":0.05,"warmS":0.05,"adapters":0},)";
        configuration = std::regex_replace(configuration, std::regex("\"models\":\\["), m4);
        fixture.fleet.configure(configuration);
        net::sleepFor(base::Millis(1200));
        fixture.fleet.store().faults().mode = StoreMode::Hang;
        net::sleepFor(base::Millis(1500)); // the hub's term ends
        size_t open = 0;
        size_t held = 0;
        int served = 0;
        for (int i = 0; i < 20; ++i) {
            for (const char* model : { "m1", "m4" }) {
                loop.spawn([&, i, model] {
                    ++open;
                    CallerResponse response = fixture.fleet.call(*fixture.gateways[static_cast<size_t>(i) % 2],
                        labRequest("/stream/", fmt::format("r-{}-{}", i, model), model));
                    --open;
                    served += response.status == 200;
                    cr_expect(response.status == 200 || response.status == 503);
                    held += response.status == 503 && response.duration > base::Millis(700);
                });
            }
            net::sleepFor(base::Millis(200));
        }
        while (open > 0)
            net::sleepFor(base::Millis(20));
        cr_expect_geq(served, 12, "%d requests for a model that is loaded were served", served);
        cr_expect_eq(held, 0, "%zu requests were held for more than 0.7 s and refused", held);
    });
}

// Blocked prompt parts in the store: gateways take them from the record, and an operator lifts a block there.
#include <chrono>

#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::GatewayFixture;

namespace {

// The record with one row that cannot be read and one that blocks the part "aa" of labRequest() for `left`.
std::string recordOf(base::Millis left)
{
    auto unixNow = std::chrono::duration_cast<base::Millis>(std::chrono::system_clock::now().time_since_epoch());
    return fmt::format(R"({{"parts":[{{"part":7}},{{"service":"engine","part":"aa","until_ms":{},"blocks":1}}]}})",
        (unixNow + left).count());
}

constexpr base::Millis spreadTime { 2000 }; // for a change in the store to reach all gateways

} // namespace

Test(blocked_part_record, is_obeyed_by_all_gateways_and_lifted_by_hand, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2, 300, 300);
        fixture.fleet.store().put("rs/parts", recordOf(base::Millis(60000)));
        net::sleepFor(spreadTime);
        for (LabGateway* gateway : fixture.gateways) {
            for (int i = 0; i < 20; ++i) {
                CallerResponse refused = fixture.fleet.call(*gateway, labRequest("/stream/", "blocked", "m1"));
                cr_assert_eq(refused.status, 503, "status %d", refused.status);
                cr_assert_neq(refused.body.find("aa"), std::string::npos, "%s", refused.body.c_str());
                double retryAfter = std::stod(std::string(net::httpHeader(refused.headers, "Retry-After")));
                cr_assert(retryAfter > 40 && retryAfter <= 60, "%f", retryAfter);
            }
        }
        for (ReplicaStandIn* replica : fixture.engine)
            cr_expect_eq(replica->history().executionsByRequest()["blocked"], 0);
        // The last part accuses nobody, and other prompts are served; the refusals were not charged.
        CallerResponse other = fixture.fleet.call(
            *fixture.gateways[0], labRequest("/stream/", "other", "m1", "secret-1", "cc:40,aa:20"));
        cr_expect_eq(other.status, 200, "status %d", other.status);

        fixture.fleet.store().remove("rs/parts");
        net::sleepFor(spreadTime);
        for (LabGateway* gateway : fixture.gateways) {
            CallerResponse served = fixture.fleet.call(*gateway, labRequest("/stream/", "lifted", "m1"));
            cr_expect_eq(served.status, 200, "status %d", served.status);
            net::sleepFor(base::Millis(500));
        }
    });
}

Test(blocked_part_record, whose_time_is_over_refuses_nothing, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2);
        fixture.fleet.store().put("rs/parts", recordOf(base::Millis(-1000)));
        net::sleepFor(spreadTime);
        for (LabGateway* gateway : fixture.gateways)
            cr_expect_eq(fixture.fleet.call(*gateway, labRequest("/stream/", "late", "m1")).status, 200);
    });
}

// Tokens of client accounts at real gateways: requests that wait for tokens, and refused callers that come back.
#include "GatewayFixture.h"
#include "base/Counters.h"

using namespace rattanshunt;
using lab::CallerResponse;
using lab::labRequest;
using tests::GatewayFixture;

namespace {

// Plain requests cost 10 tokens each, and can wait 300 ms of their target latency of 500 ms.
std::optional<double> retryAfterMillis(const CallerResponse& response)
{
    for (const net::HttpHeader& header : response.headers) {
        if (net::httpNameEquals(header.name, "Retry-After"))
            return std::stod(header.value) * 1000;
    }
    return std::nullopt;
}

} // namespace

Test(gateway_quota, requests_wait_for_tokens_and_refused_callers_get_them_at_the_time_they_were_told, .timeout = 30)
{
    // Guards against requests being refused although tokens come in time, and against a Retry-After at which there are
    // none, at another gateway and with a new id.
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2, 100, 100, true);
        net::sleepFor(base::Millis(700));
        int held = 0;
        int retried = 0;
        int refused = 0;
        int ended = 0;
        constexpr int count = 60;
        for (int i = 0; i < count; ++i) {
            loop.spawn([&, i] {
                net::HttpRequest request = labRequest("/safe/" + std::to_string(i), "first-" + std::to_string(i));
                CallerResponse response = fixture.fleet.call(*fixture.gateways[i % 2], request);
                cr_assert(response.error == net::HttpCallError::None);
                held += response.status == 200 && response.duration > base::Millis(30);
                cr_assert(response.status == 200 || response.status == 429);
                cr_assert(response.status == 200 || response.duration < base::Millis(250), "a refusal was held");
                auto retryAfter = retryAfterMillis(response);
                if (response.status == 429 && retryAfter) {
                    ++refused;
                    net::sleepFor(std::chrono::duration_cast<base::Millis>(base::durationOf(*retryAfter / 1000)));
                    request = labRequest("/safe/" + std::to_string(i), "again-" + std::to_string(i));
                    response = fixture.fleet.call(*fixture.gateways[(i + 1) % 2], request);
                    retried += response.status == 200;
                }
                ++ended;
            });
        }
        while (ended < count)
            net::sleepFor(base::Millis(20));
        cr_assert_gt(held, 0, "no request waited for tokens");
        cr_assert_gt(refused, 0, "no caller was told a time");
        cr_assert_eq(retried, refused, "%d of %d callers were served when they came back", retried, refused);
    });
}

Test(gateway_quota, tokens_of_a_caller_that_leaves_while_its_request_waits_go_to_others, .timeout = 30)
{
    // Guards against requests that run although their caller has left, and tokens that stay charged for them.
    tests::runOnLoop([](net::Loop& loop) {
        // The store names two members, so that one gateway grants half of the rate.
        GatewayFixture fixture(loop, 1, 60, 100, true);
        net::sleepFor(base::Millis(700));
        int64_t before = base::countersRead()["quota_reservations_released_total"];
        std::string left;
        for (int i = 0; i < 100 && left.empty(); ++i) {
            std::string id = "r" + std::to_string(i);
            CallerResponse response = fixture.call("/safe/" + id, id, "", "secret-1", base::Millis(30));
            if (response.error != net::HttpCallError::None)
                left = id;
            else if (response.status == 429)
                net::sleepFor(base::Millis(10));
        }
        cr_assert_neq(left, "", "no request waited for tokens");
        net::sleepFor(base::Millis(500));
        cr_assert_eq(fixture.plainRunCount(left), 0);
        int64_t released = base::countersRead()["quota_reservations_released_total"];
        cr_assert_eq(released, before + 1);
        CallerResponse next = fixture.call("/safe/next", "next");
        cr_assert(next.error == net::HttpCallError::None && next.status == 200);
    });
}

Test(gateway_quota, a_gateway_that_has_just_started_refuses_nothing_before_it_knows_the_hub, .timeout = 30)
{
    // Guards against refusals by a gateway that spends only its own share of a limit in its first moments.
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 1, 20, 200, true);
        net::sleepFor(base::Millis(700));
        lab::LabGateway& started = fixture.fleet.addGateway("g-late");
        int served = 0;
        for (int i = 0; i < 400 && served < 10; ++i) {
            CallerResponse response = fixture.fleet.call(started, labRequest("/safe/", "s" + std::to_string(i)));
            cr_assert_neq(response.status, 429, "refused after %d were served", served);
            served += response.status == 200;
            if (response.status != 200)
                net::sleepFor(base::Millis(5));
        }
        cr_assert_eq(served, 10);
    });
}

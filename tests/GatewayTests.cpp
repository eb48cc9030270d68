// The gateway with stand-ins for the users' platform: complete responses, API keys, retries, refusals, event streams.
#include "GatewayFixture.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::GatewayFixture;

namespace {

std::string eventText(int from, int to)
{
    std::string text;
    for (int i = from; i <= to; ++i)
        text += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
    return text;
}

} // namespace

// ---- Responses and keys -------------------------------------------------------------------------

Test(gateway, responses_arrive_complete_and_signed_and_api_keys_are_not_forwarded, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        CallerResponse response = fixture.call("/safe/x?y=1", "00000001");
        cr_assert_eq(response.status, 200);
        cr_assert_str_eq(response.body.c_str(), "answer to 00000001");
        cr_assert(!net::httpHeader(response.headers, "Server-Seal").empty());
        for (ReplicaStandIn* replica : fixture.plain) {
            for (const RequestExecution& execution : replica->history().executions) {
                cr_assert_str_eq(execution.account.c_str(), "acme");
                cr_assert(!execution.hadApiKey);
            }
        }
        cr_assert_eq(fixture.call("/safe/", "00000002", "", "wrong").status, 401);
        cr_assert_eq(fixture.call("/open/", "00000003", "", "").status, 200);
        cr_assert_eq(fixture.call("/none/", "00000004").status, 404);
        cr_assert_eq(fixture.plainRunCount("00000002"), 0);
    });
}

Test(gateway, reserved_and_hop_by_hop_headers_are_not_forwarded)
{
    gateway::WireCodec codec = platform::wireCodecCreate();
    net::HttpRequest request = labRequest("/safe/", "1");
    for (const char* name : { "Tenant", "Expect-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Keep-Alive" })
        request.headers.push_back({ name, "forged" });
    request.headers.push_back({ "Connection", "close, x-own" });
    request.headers.push_back({ "X-Own", "for this connection" });
    request.headers.push_back({ "X-Other", "kept" });
    net::HttpRequest attempt = codec.writeAttempt(request, { "i-1", "acme", base::Millis(900), 4, "" });
    for (const net::HttpHeader& header : attempt.headers)
        cr_assert(header.value.find("forged") == std::string::npos, "%s", header.name.c_str());
    cr_assert(net::httpHeader(attempt.headers, "X-Own").empty());
    cr_assert(net::httpHeader(attempt.headers, "Authorization").empty());
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "X-Other")).c_str(), "kept");
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "Tenant")).c_str(), "acme");
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "Deadline-Ms")).c_str(), "900");
    cr_assert_eq(net::httpHeaderCount(attempt.headers, "Tenant"), 1);
}

// ---- Retries and refusals -----------------------------------------------------------------------

Test(gateway, an_at_most_once_call_is_never_retried_after_possible_execution, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        int number = 0;
        for (ReplicaFault fault : { ReplicaFault::LoseResponse, ReplicaFault::Truncate, ReplicaFault::NoSeal }) {
            fixture.setFaultOnAll(fault, 1);
            std::string id = "once" + std::to_string(++number);
            CallerResponse response = fixture.call("/once/", id);
            cr_assert_eq(response.status, 502, "fault %d gave status %d", static_cast<int>(fault), response.status);
            cr_assert_eq(fixture.plainRunCount(id), 1);
            fixture.setFaultOnAll(ReplicaFault::None, 0);
        }
        fixture.setFaultOnAll(ReplicaFault::Fail, 1);
        cr_assert_eq(fixture.call("/once/", "failed").status, 500);
        cr_assert_eq(fixture.plainRunCount("failed"), 1);
    });
}

Test(gateway, a_refused_call_is_retried_elsewhere_and_an_idempotent_one_after_any_failure, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        int number = 0;
        for (ReplicaFault fault : { ReplicaFault::LoseResponse, ReplicaFault::Truncate, ReplicaFault::NoSeal,
                 ReplicaFault::Fail, ReplicaFault::Refuse, ReplicaFault::ForeignResponse }) {
            // One of the two replicas is faulty, the other is not, so a retry elsewhere succeeds.
            fixture.plain[number % 2]->faults() = { fault, -1 };
            for (int i = 0; i < 4; ++i) {
                std::string id = fmt::format("s{}-{}", number, i);
                CallerResponse response = fixture.call("/safe/", id);
                cr_assert_eq(response.status, 200, "fault %d gave status %d", static_cast<int>(fault), response.status);
                cr_assert_eq(response.body, "answer to " + id);
            }
            fixture.plain[number % 2]->faults() = {};
            ++number;
        }
        fixture.plain[0]->faults() = { ReplicaFault::Refuse, -1 };
        for (int i = 0; i < 4; ++i)
            cr_assert_eq(fixture.call("/once/", "o" + std::to_string(i)).status, 200);
    });
}

Test(gateway, a_call_that_all_replicas_refuse_is_refused_at_once_and_not_executed, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        fixture.setFaultOnAll(ReplicaFault::Refuse, -1);
        CallerResponse response = fixture.call("/once/", "refused");
        cr_assert_eq(response.status, 503);
        cr_assert(!net::httpHeader(response.headers, "Retry-After").empty());
        cr_assert_eq(fixture.plainRunCount("refused"), 0);
        cr_assert(response.duration < base::Seconds(1));
    });
}

Test(gateway, a_disconnect_of_the_caller_reaches_the_replica, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        fixture.setFaultOnAll(ReplicaFault::Hang, -1);
        fixture.call("/safe/", "left", "", "secret-1", base::Millis(200));
        base::TimePoint leftAt = base::Clock::now();
        net::sleepFor(base::Millis(450));
        bool sawDisconnect = false;
        for (ReplicaStandIn* replica : fixture.plain) {
            for (const RequestExecution& execution : replica->history().executions)
                sawDisconnect = sawDisconnect
                    || (execution.requestId == "left" && execution.wasDisconnected
                        && execution.endedAt - leftAt < base::Millis(500));
        }
        cr_assert(sawDisconnect);
        cr_assert_eq(fixture.plainRunCount("left"), 1);
    });
}

// ---- Streams ------------------------------------------------------------------------------------

Test(gateway, a_stream_is_resumed_after_complete_events_or_aborted, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop);
        cr_assert_eq(fixture.call("/stream/", "whole", "m1").body, eventText(1, 5));
        // A caller that resumes after the last event gets a complete response without events.
        net::HttpRequest last = labRequest("/stream/", "last", "m1");
        last.headers.push_back({ "Last-Event-Id", "5" });
        CallerResponse nothing = fixture.fleet.call(*fixture.gateways[0], last);
        cr_assert_eq(nothing.error, net::HttpCallError::None);
        cr_assert_eq(nothing.status, 200);
        cr_assert(nothing.body.empty());
        // The replica that is preferred for the shared prompt prefix truncates the stream after two events; the other
        // one does not.
        size_t preferred = fixture.engine[0]->history().executions.empty() ? 1 : 0;
        fixture.engine[preferred]->faults() = { ReplicaFault::Truncate, 2, 2 };
        for (int i = 0; i < 2; ++i) {
            CallerResponse response = fixture.call("/stream/", "c" + std::to_string(i), "m1");
            cr_assert_eq(response.error, net::HttpCallError::None);
            cr_assert_eq(response.body, eventText(1, 5));
        }
        int resumedCount = 0;
        for (const RequestExecution& execution : fixture.engine[1 - preferred]->history().executions)
            resumedCount += execution.lastEventId == "2";
        cr_assert_gt(resumedCount, 0);
        for (ReplicaStandIn* replica : fixture.engine)
            replica->faults() = { ReplicaFault::Truncate, -1, 2 };
        CallerResponse truncated = fixture.call("/single/", "single", "m1");
        cr_assert_neq(truncated.error, net::HttpCallError::None); // the terminating chunk is missing
        cr_assert_eq(truncated.body, eventText(1, 2));
        int runs = fixture.engine[0]->history().executionsByRequest()["single"]
            + fixture.engine[1]->history().executionsByRequest()["single"];
        cr_assert_eq(runs, 1);
    });
}

// The gateway before stand-ins of the users' platform: whole answers, repeats, refusals, streams.
#include "GatewaySite.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::Site;

namespace {

std::string events(int from, int to)
{
    std::string text;
    for (int i = from; i <= to; ++i)
        text += fmt::format("id: {}\ndata: piece {}\n\n", i, i);
    return text;
}

} // namespace

// ---- Whole answers and keys ---------------------------------------------------------------------

Test(gateway, an_answer_comes_whole_with_its_signature_and_the_key_stays_here, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        CallerResponse answer = site.call("/safe/x?y=1", "00000001");
        cr_assert_eq(answer.status, 200);
        cr_assert_str_eq(answer.body.c_str(), "answer to 00000001");
        cr_assert(!net::httpHeader(answer.headers, "Server-Seal").empty());
        for (ReplicaStandIn* replica : site.plain) {
            for (const RequestExecution& run : replica->history().executions) {
                cr_assert_str_eq(run.account.c_str(), "acme");
                cr_assert(!run.hadApiKey);
            }
        }
        cr_assert_eq(site.call("/safe/", "00000002", "", "wrong").status, 401);
        cr_assert_eq(site.call("/open/", "00000003", "", "").status, 200);
        cr_assert_eq(site.call("/none/", "00000004").status, 404);
        cr_assert_eq(site.plainRuns("00000002"), 0);
    });
}

Test(gateway, headers_that_only_the_system_sets_are_not_passed_on)
{
    gateway::WireCodec dialect = platform::wireCodecCreate();
    net::HttpRequest request = labRequest("/safe/", "1");
    for (const char* name : { "Tenant", "Expect-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Keep-Alive" })
        request.headers.push_back({ name, "forged" });
    request.headers.push_back({ "Connection", "close, x-own" });
    request.headers.push_back({ "X-Own", "for this connection" });
    request.headers.push_back({ "X-Other", "kept" });
    net::HttpRequest attempt = dialect.writeAttempt(request, { "i-1", "acme", base::Millis(900), 4, "" });
    for (const net::HttpHeader& header : attempt.headers)
        cr_assert(header.value.find("forged") == std::string::npos, "%s", header.name.c_str());
    cr_assert(net::httpHeader(attempt.headers, "X-Own").empty());
    cr_assert(net::httpHeader(attempt.headers, "Authorization").empty());
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "X-Other")).c_str(), "kept");
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "Tenant")).c_str(), "acme");
    cr_assert_str_eq(std::string(net::httpHeader(attempt.headers, "Deadline-Ms")).c_str(), "900");
    cr_assert_eq(net::httpHeaderCount(attempt.headers, "Tenant"), 1);
}

// ---- Repeats and refusals -----------------------------------------------------------------------

Test(gateway, a_call_that_may_run_once_is_never_sent_again_after_it_may_have_run, .timeout = 60)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        int number = 0;
        for (ReplicaFault fault : { ReplicaFault::LoseResponse, ReplicaFault::Truncate, ReplicaFault::NoSeal }) {
            site.faultAll(fault, 1);
            std::string id = "once" + std::to_string(++number);
            CallerResponse answer = site.call("/once/", id);
            cr_assert_eq(answer.status, 502, "fault %d gave %d", static_cast<int>(fault), answer.status);
            cr_assert_eq(site.plainRuns(id), 1);
            site.faultAll(ReplicaFault::None, 0);
        }
        site.faultAll(ReplicaFault::Fail, 1);
        cr_assert_eq(site.call("/once/", "failed").status, 500);
        cr_assert_eq(site.plainRuns("failed"), 1);
    });
}

Test(gateway, a_refused_call_goes_to_another_replica_and_a_safe_one_after_any_failure, .timeout = 60)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        int number = 0;
        for (ReplicaFault fault : { ReplicaFault::LoseResponse, ReplicaFault::Truncate, ReplicaFault::NoSeal,
                 ReplicaFault::Fail, ReplicaFault::Refuse, ReplicaFault::ForeignResponse }) {
            // One of the two is faulty: whichever serves first, the other one is sound.
            site.plain[number % 2]->faults() = { fault, -1 };
            for (int i = 0; i < 4; ++i) {
                std::string id = fmt::format("s{}-{}", number, i);
                CallerResponse answer = site.call("/safe/", id);
                cr_assert_eq(answer.status, 200, "fault %d gave %d", static_cast<int>(fault), answer.status);
                cr_assert_eq(answer.body, "answer to " + id);
            }
            site.plain[number % 2]->faults() = {};
            ++number;
        }
        site.plain[0]->faults() = { ReplicaFault::Refuse, -1 };
        for (int i = 0; i < 4; ++i)
            cr_assert_eq(site.call("/once/", "o" + std::to_string(i)).status, 200);
    });
}

Test(gateway, what_no_replica_takes_is_refused_truthfully_and_at_once, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        site.faultAll(ReplicaFault::Refuse, -1);
        CallerResponse answer = site.call("/once/", "refused");
        cr_assert_eq(answer.status, 503);
        cr_assert(!net::httpHeader(answer.headers, "Retry-After").empty());
        cr_assert_eq(site.plainRuns("refused"), 0);
        cr_assert(answer.duration < base::Seconds(1));
    });
}

Test(gateway, a_caller_that_leaves_reaches_the_replica, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        site.faultAll(ReplicaFault::Hang, -1);
        site.call("/safe/", "left", "", "secret-1", base::Millis(200));
        base::TimePoint left = base::Clock::now();
        net::sleepFor(base::Millis(450));
        bool isSeen = false;
        for (ReplicaStandIn* replica : site.plain) {
            for (const RequestExecution& run : replica->history().executions)
                isSeen = isSeen
                    || (run.requestId == "left" && run.wasDisconnected && run.endedAt - left < base::Millis(500));
        }
        cr_assert(isSeen);
        cr_assert_eq(site.plainRuns("left"), 1);
    });
}

// ---- Streams ------------------------------------------------------------------------------------

Test(gateway, a_stream_is_continued_on_whole_events_or_cut, .timeout = 30)
{
    tests::onLoop([](net::Loop& loop) {
        Site site(loop);
        cr_assert_eq(site.call("/stream/", "whole", "m1").body, events(1, 5));
        // A caller that continues after the last event gets a whole answer without events.
        net::HttpRequest last = labRequest("/stream/", "last", "m1");
        last.headers.push_back({ "Last-Event-Id", "5" });
        CallerResponse nothing = site.fleet.call(*site.gateways[0], last);
        cr_assert_eq(nothing.error, net::HttpCallError::None);
        cr_assert_eq(nothing.status, 200);
        cr_assert(nothing.body.empty());
        // The replica that the prompt's shared parts lead to breaks off after two events, the other one is sound.
        size_t preferred = site.engine[0]->history().executions.empty() ? 1 : 0;
        site.engine[preferred]->faults() = { ReplicaFault::Truncate, 2, 2 };
        for (int i = 0; i < 2; ++i) {
            CallerResponse answer = site.call("/stream/", "c" + std::to_string(i), "m1");
            cr_assert_eq(answer.error, net::HttpCallError::None);
            cr_assert_eq(answer.body, events(1, 5));
        }
        int continued = 0;
        for (const RequestExecution& run : site.engine[1 - preferred]->history().executions)
            continued += run.lastEventId == "2";
        cr_assert_gt(continued, 0);
        for (ReplicaStandIn* replica : site.engine)
            replica->faults() = { ReplicaFault::Truncate, -1, 2 };
        CallerResponse cut = site.call("/single/", "single", "m1");
        cr_assert_neq(cut.error, net::HttpCallError::None); // no end mark
        cr_assert_eq(cut.body, events(1, 2));
        int runs = site.engine[0]->history().executionsByRequest()["single"]
            + site.engine[1]->history().executionsByRequest()["single"];
        cr_assert_eq(runs, 1);
    });
}

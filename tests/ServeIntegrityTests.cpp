// The same reports of operators as in AnswerIntegrityTests.cpp, and bytes without end, on the product's own interface.
// Lost answers, cut streams, stops and frozen owners are scenarios: once-service-loses-answers, broken-streams,
// graceful-stop, frozen-owner.
#include "ServeFixtures.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using namespace rattanshunt::tests;

// ---- Late copies --------------------------------------------------------------------------------

// A service that tells request ids, and one that does not: only the ids show whose answer it is.
Test(serve_integrity, a_late_copy_of_an_answer_reaches_no_other_caller, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (bool hasIds : { true, false }) {
            std::string previous;
            ServiceFixture fixture(loop, [&](ByteConnection& connection, const net::HttpRequest& request) {
                std::string id(net::httpHeader(request.headers, "X-Request-Id"));
                if (connection.requestNumber() == 0)
                    previous.clear();
                std::string copy = previous.empty() ? "" : serviceResponse(previous, hasIds);
                previous = id;
                connection.send(copy + serviceResponse(id, hasIds));
            });
            int served = 0;
            for (int i = 0; i < 30; ++i) {
                std::string id = fmt::format("copy-{}", i);
                net::HttpResult result = fixture.call(i % 2 ? "/once" : "/again", id);
                if (result.error == net::HttpCallError::None && result.response.status == 200) {
                    ++served;
                    cr_expect_eq(result.response.body, "answer to " + id, "%s got \"%s\"", id.c_str(),
                        result.response.body.c_str());
                }
            }
            cr_expect_geq(served, 15);
        }
    });
}

// ---- Bytes without end --------------------------------------------------------------------------

Test(
    serve_integrity, a_service_that_never_ends_its_answer_fails_in_time_and_is_not_said_not_to_have_run, .timeout = 120)
{
    tests::runOnLoop([](net::Loop& loop) {
        EndlessForm form = EndlessForm::Head;
        ServiceFixture fixture(loop, [&form](ByteConnection& connection, const net::HttpRequest& request) {
            std::string id(net::httpHeader(request.headers, "X-Request-Id"));
            if (id.starts_with("warm"))
                connection.send(serviceResponse(id, true));
            else
                sendEndlessResponse(connection, form, { { "X-Request-Id", id } });
        });
        for (EndlessForm tried : endlessForms()) {
            // These are complete answers of a call.
            if (tried == EndlessForm::BeyondLength || tried == EndlessForm::Event)
                continue;
            form = tried;
            for (const char* path : { "/again", "/once" }) {
                base::TimePoint startedAt = base::Clock::now();
                net::HttpResult result = fixture.call(path, "endless");
                cr_expect_lt(base::Clock::now() - startedAt, routeTimeLeft + base::Millis(500), "%s, %s",
                    endlessFormName(form), path);
                cr_expect_geq(result.response.status, 500, "%s, %s", endlessFormName(form), path);
                cr_expect_str_eq(std::string(net::httpHeader(result.response.headers, "X-Outcome")).c_str(), "unknown",
                    "%s, %s", endlessFormName(form), path);
            }
        }
    });
}

Test(serve_integrity, a_stream_with_an_event_without_end_is_cut, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        EngineFixture fixture(loop);
        fixture.setFaults({ { "endless_after", 3 } });
        base::TimePoint startedAt = base::Clock::now();
        net::HttpResult result = fixture.complete(20, base::Millis(3000));
        cr_expect(!isComplete(result) && endsWithUnknownOutcome(result));
        cr_expect_lt(base::Clock::now() - startedAt, base::Millis(3500));
        cr_expect_leq(result.response.body.size(), 4096);
    });
}

// ---- Slow and stalled streams -------------------------------------------------------------------

Test(serve_integrity, a_stalled_stream_that_sends_a_byte_now_and_then_goes_on_at_another_engine, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        EngineFixture fixture(loop);
        fixture.fleet.setEngineFaults("drafter-1", { { "dribble_after", 5 } });
        for (int i = 0; i < 4; ++i) {
            base::TimePoint startedAt = base::Clock::now();
            net::HttpResult result = fixture.complete(20);
            cr_expect_eq(result.error, net::HttpCallError::None);
            cr_expect_eq(completionTokens(result.response.body), 20);
            cr_expect_lt(base::Clock::now() - startedAt, base::Seconds(2));
        }
        // With no sound engine it ends by its deadline.
        fixture.setFaults({ { "dribble_after", 5 } });
        base::TimePoint startedAt = base::Clock::now();
        net::HttpResult stalled = fixture.complete(20, base::Millis(3000));
        cr_expect(!isComplete(stalled) && endsWithUnknownOutcome(stalled));
        cr_expect_lt(base::Clock::now() - startedAt, base::Millis(3500));
    });
}

Test(serve_integrity, a_slow_stream_is_delivered_whole, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        EngineFixture fixture(loop);
        // Between two tokens just less than the time after which a stream counts as stalled, 500 ms.
        fixture.setFaults({ { "token_us", 400000 } });
        net::HttpResult result = fixture.complete(8, base::Millis(10000));
        cr_expect_eq(result.error, net::HttpCallError::None);
        cr_expect_eq(completionTokens(result.response.body), 8);
    });
}

// The answer was whole; what its engine sends afterwards must not hold the caller.
Test(serve_integrity, a_stream_ends_with_its_end_mark_whatever_follows, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        EngineFixture fixture(loop);
        fixture.setFaults({ { "trailing", true } });
        for (int i = 0; i < 6; ++i) {
            base::TimePoint startedAt = base::Clock::now();
            net::HttpResult result = fixture.complete(10);
            cr_expect_eq(result.error, net::HttpCallError::None);
            cr_expect_eq(completionTokens(result.response.body), 10);
            cr_expect_lt(base::Clock::now() - startedAt, base::Seconds(1));
        }
    });
}

// An engine or a service writes a refusal once more, late: while the request that it refused runs after all, sent again
// on the same connection. What ran is compared with what the caller heard.
#include "ServeFixtures.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using namespace rattanshunt::tests;

namespace {

constexpr base::Millis runTime { 50 };
constexpr base::Millis copyDelay { 10 };   // from the start of the run
constexpr base::Millis settleTime { 100 }; // after which a request that was sent has begun to run
constexpr int maxRefusalsOfCompletion = 6; // after which the next attempt is the last
constexpr size_t warmCompletions = 3;
constexpr size_t completionLength = 4; // in tokens

std::string requestIdOf(const net::HttpRequest& request)
{
    return std::string(net::httpHeader(request.headers, "X-Request-Id"));
}

std::string outcomeOf(const net::HttpResult& result)
{
    return std::string(net::httpHeader(result.response.headers, "X-Outcome"));
}

// Refuses requests on demand, and writes the copy of a connection's last refusal while the next request there runs.
struct Refuser {
    int refusalsLeft = 0;
    std::string refusal; // without id and end of head
    base::Millis copyAfter = copyDelay;
    std::map<std::string, int> runs; // by request id
    std::map<ByteConnection*, std::string> copies;
    int copiesSent = 0;

    // True if the request runs; the caller sends the response.
    bool begin(ByteConnection& connection, const std::string& id)
    {
        if (connection.requestNumber() == 0)
            copies[&connection].clear();
        if (refusalsLeft > 0) {
            --refusalsLeft;
            copies[&connection] = refusal + "X-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
            connection.send(copies[&connection]);
            return false;
        }
        ++runs[id];
        std::string copy = std::exchange(copies[&connection], "");
        if (!copy.empty()) {
            ++copiesSent;
            net::sleepFor(copyAfter);
            connection.send(copy);
        }
        net::sleepFor(runTime);
        return true;
    }
};

// A byte stand-in before the only engine, registered in its place.
struct RefusingEngine {
    net::Loop& loop;
    Refuser refuser;
    std::function<bool(ByteConnection&, const std::string& id)> intercept; // true: it has answered the completion
    base::Address engine;
    ByteStandIn front;
    EngineFixture fixture;

    explicit RefusingEngine(net::Loop& testLoop)
        : loop(testLoop)
        , front(testLoop,
              [this](ByteConnection& connection, const net::HttpRequest& request) { respond(connection, request); })
        , fixture(
              testLoop, [this](LabFleet& fleet) { install(fleet); }, 1)
    {
        refuser.refusal = "HTTP/1.1 503 Full\r\nX-Load: 8,9,8\r\n";
        cr_assert(fixture.fleet.waitUntil(
            [&] {
                complete("");
                return refuser.runs.size() >= warmCompletions;
            },
            base::Seconds(10)));
    }
    ~RefusingEngine() { front.stop(); }

    void install(LabFleet& fleet)
    {
        engine = fleet.standInAddresses().at("drafter-1");
        std::string error;
        cr_assert(front.listen(error), "%s", error.c_str());
        coordination::Instance instance { "drafter-1", "drafter", front.address(), "dc-1", "drafter-1-boot-1",
            coordination::InstanceState::Live, EngineStandInOptions().memoryBytes, true };
        auto connection = net::HttpConnection::create(loop, fleet.standInAddresses().at("platform"));
        net::httpCall(*connection, { "PUT", "/instances", {}, coordination::instanceToJson(instance).dump() },
            base::Clock::now() + base::Seconds(5));
    }

    void respond(ByteConnection& connection, const net::HttpRequest& request)
    {
        std::string id = requestIdOf(request);
        if (request.target == "/v1/completions"
            && ((intercept && intercept(connection, id)) || !refuser.begin(connection, id)))
            return;
        auto call = net::HttpConnection::create(loop, engine);
        net::HttpRequest copy = request;
        std::erase_if(copy.headers, [](const net::HttpHeader& header) { return header.name == "Content-Length"; });
        net::HttpResult result = net::httpCall(*call, copy, base::Clock::now() + base::Seconds(5));
        const std::string& body = result.response.body;
        connection.send(fmt::format(
            "HTTP/1.1 {} -\r\nContent-Type: {}\r\nX-Request-Id: {}\r\nContent-Length: {}\r\n\r\n{}",
            result.response.status, net::httpHeader(result.response.headers, "Content-Type"), id, body.size(), body));
    }

    net::HttpResult complete(const std::string& id, base::Millis timeLeft = base::Millis(6000))
    {
        return fixture.complete(completionLength, timeLeft, id);
    }

    void expectRanOnceAndComplete(const net::HttpResult& result, const std::string& id)
    {
        net::sleepFor(settleTime);
        cr_expect_eq(refuser.runs[id], 1, "%s ran %d times", id.c_str(), refuser.runs[id]);
        cr_expect_eq(result.response.status, 200, "%s: %d", id.c_str(), result.response.status);
        cr_expect(isComplete(result));
        cr_expect_eq(completionTokens(result.response.body), completionLength);
    }
};

// A service whose calls run as soon as it stops refusing them.
struct RefusingService {
    Refuser refuser;
    ServiceFixture fixture;

    explicit RefusingService(net::Loop& loop)
        : fixture(loop, [this](ByteConnection& connection, const net::HttpRequest& request) {
            std::string id = requestIdOf(request);
            if (refuser.begin(connection, id))
                connection.send(serviceResponse(id, true));
        })
    {
        refuser.refusal = "HTTP/1.1 503 Full\r\nX-Not-Run: true\r\n";
    }

    void expectRanOnceAndComplete(const net::HttpResult& result, const std::string& id)
    {
        net::sleepFor(settleTime);
        cr_expect_eq(refuser.runs[id], 1, "%s ran %d times", id.c_str(), refuser.runs[id]);
        cr_expect_eq(
            result.response.status, 200, "%s: %d %s", id.c_str(), result.response.status, outcomeOf(result).c_str());
        cr_expect_eq(result.response.body, "answer to " + id);
    }
};

} // namespace

// ---- Engines ------------------------------------------------------------------------------------

Test(serve_refusal_copy, a_copy_does_not_make_a_completion_run_twice, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingEngine engine(loop);
        for (base::Millis delay : { base::Millis(0), copyDelay }) {
            for (int i = 0; i < 2; ++i) {
                std::string id = fmt::format("twice-{}-{}", delay.count(), i);
                engine.refuser.copyAfter = delay;
                engine.refuser.refusalsLeft = 1;
                engine.expectRanOnceAndComplete(engine.complete(id), id);
            }
        }
    });
}

// The engine accepts the last attempt, and the copy comes while it runs.
Test(serve_refusal_copy, a_completion_that_runs_is_not_refused_for_a_copy, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingEngine engine(loop);
        engine.refuser.refusalsLeft = maxRefusalsOfCompletion;
        engine.expectRanOnceAndComplete(engine.complete("last"), "last");
    });
}

Test(serve_refusal_copy, a_copy_does_not_answer_a_completion_that_its_caller_sends_again, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingEngine engine(loop);
        engine.refuser.refusalsLeft = maxRefusalsOfCompletion + 1;
        net::HttpResult refused = engine.complete("again");
        cr_expect_eq(outcomeOf(refused), "refused-not-run", "%s", outcomeOf(refused).c_str());
        cr_expect_eq(engine.refuser.refusalsLeft, 0);
        cr_expect_eq(engine.refuser.runs["again"], 0);
        engine.expectRanOnceAndComplete(engine.complete("again"), "again");
    });
}

Test(serve_refusal_copy, a_copy_does_not_end_the_completion_that_follows, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingEngine engine(loop);
        engine.refuser.refusalsLeft = maxRefusalsOfCompletion + 1;
        cr_expect_eq(outcomeOf(engine.complete("refused")), "refused-not-run");
        for (int i = 0; i < 2; ++i) {
            std::string id = fmt::format("next-{}", i);
            engine.expectRanOnceAndComplete(engine.complete(id), id);
        }
        cr_expect_geq(engine.refuser.copiesSent, 1);
    });
}

// The completion runs when the engine writes a refusal that names no request; every later attempt is refused.
Test(serve_refusal_copy, a_refusal_without_id_on_a_reused_connection_is_no_promise, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingEngine engine(loop);
        for (int status : { 400, 404, 429, 503 }) {
            bool hasRun = false;
            engine.intercept = [&](ByteConnection& connection, const std::string& id) {
                if (!hasRun && connection.requestNumber() == 0)
                    return false;
                connection.send(hasRun ? "HTTP/1.1 503 Full\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
                                       : fmt::format("HTTP/1.1 {} -\r\nContent-Length: 0\r\n\r\n", status));
                hasRun = true;
                return true;
            };
            net::HttpResult result;
            for (int i = 0; i < 10 && !hasRun; ++i) {
                result = engine.complete(fmt::format("nameless-{}-{}", status, i), base::Millis(400));
                net::sleepFor(settleTime); // until the connection is idle
            }
            cr_expect(hasRun, "%d: no connection was reused", status);
            cr_expect_eq(
                outcomeOf(result), "unknown", "%d: %d %s", status, result.response.status, outcomeOf(result).c_str());
            engine.intercept = nullptr;
        }
    });
}

// ---- Services -----------------------------------------------------------------------------------

Test(serve_refusal_copy, a_copy_does_not_answer_a_call_that_its_caller_sends_again, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingService service(loop);
        for (base::Millis delay : { base::Millis(0), copyDelay }) {
            service.refuser.copyAfter = delay;
            for (const char* first : { "/again", "/once" }) {
                for (const char* second : { "/again", "/once" }) {
                    std::string id = fmt::format("call-{}{}{}", delay.count(), first + 1, second + 1);
                    service.refuser.refusalsLeft = 1;
                    cr_expect_eq(outcomeOf(service.fixture.call(first, id)), "refused-not-run");
                    cr_expect_eq(service.refuser.runs[id], 0);
                    service.expectRanOnceAndComplete(service.fixture.call(second, id), id);
                }
            }
        }
    });
}

Test(serve_refusal_copy, a_copy_does_not_end_the_call_that_follows, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingService service(loop);
        for (const char* first : { "/again", "/once" }) {
            std::string id = fmt::format("next-{}", first + 1);
            service.refuser.refusalsLeft = 1;
            cr_expect_eq(outcomeOf(service.fixture.call(first, "refused-" + id)), "refused-not-run");
            service.expectRanOnceAndComplete(service.fixture.call("/again", id), id);
        }
        cr_expect_geq(service.refuser.copiesSent, 1);
    });
}

// A replica that has restarted is listed under two ids for a while.
Test(serve_refusal_copy, a_call_to_a_replica_listed_twice_is_not_refused_for_a_copy, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        RefusingService service(loop);
        coordination::Instance instance { "ledger-2", "ledger", service.fixture.service.address(), "dc-1", "boot-2",
            coordination::InstanceState::Live, 0, false };
        service.fixture.send(service.fixture.fleet.standInAddresses().at("platform"),
            { "PUT", "/instances", {}, coordination::instanceToJson(instance).dump() }, base::Seconds(5));
        // In force when a call that is refused is sent to both.
        cr_assert(service.fixture.fleet.waitUntil(
            [&] {
                service.refuser.refusalsLeft = 2;
                service.fixture.call("/again", fmt::format("probe-{}", base::randomId()));
                return service.refuser.refusalsLeft == 0;
            },
            base::Seconds(10)));
        for (int i = 0; i < 3; ++i) {
            std::string id = fmt::format("listed-{}", i);
            service.refuser.refusalsLeft = 1;
            service.expectRanOnceAndComplete(service.fixture.call("/again", id), id);
        }
    });
}

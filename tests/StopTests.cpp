// Planned stops under load: a request whose bytes have arrived is served.
#include <boost/asio/ip/tcp.hpp>

#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;

namespace {

constexpr const char* requestBytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

// A server that answers each request with the body "served" after 20 ms.
net::HttpServerHandle serveSlowly(net::Loop& loop, net::HttpServerLimits limits = {})
{
    net::HttpServerEvents events;
    events.onRequest = [](net::HttpExchange& exchange) {
        net::sleepFor(base::Millis(20));
        exchange.respond({ 200, {}, "served" });
    };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    std::string error;
    auto server = net::httpServe(loop, { "127.0.0.1", 0 }, limits, std::move(events), error);
    cr_assert(server.has_value(), "%s", error.c_str());
    return *server;
}

// A caller's socket. write() does not suspend, so nothing else runs between it and the next statement.
struct CallerSocket {
    boost::asio::ip::tcp::socket socket;

    CallerSocket(net::Loop& loop, const base::Address& address)
        : socket(loop.io())
    {
        socket.connect({ boost::asio::ip::make_address(address.ip), address.port });
    }
    void write(const std::string& bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }

    // All bytes until the end of one response, or until the connection ends.
    std::string readResponse()
    {
        std::string text;
        char buffer[1024];
        while (text.find("served") == std::string::npos) {
            auto read = net::awaitIo(
                [&](auto handler) { socket.async_read_some(boost::asio::buffer(buffer), std::move(handler)); });
            if (read.error)
                break;
            text.append(buffer, read.bytes);
        }
        return text;
    }
};

bool isServed(const std::string& response)
{
    return response.starts_with("HTTP/1.1 200") && response.ends_with("served");
}

} // namespace

Test(stop, a_request_that_has_arrived_on_an_idle_connection_is_served, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (int round = 0; round < 20; ++round) {
            net::HttpServerHandle server = serveSlowly(loop);
            CallerSocket caller(loop, server.address);
            caller.write(requestBytes);
            cr_assert(isServed(caller.readResponse()));
            net::sleepFor(base::Millis(10));
            caller.write(requestBytes);
            server.stopAccepting();
            cr_assert(isServed(caller.readResponse()), "round %d", round);
        }
    });
}

Test(stop, a_request_on_a_connection_that_was_not_accepted_yet_is_served, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (int round = 0; round < 20; ++round) {
            net::HttpServerHandle server = serveSlowly(loop);
            net::sleepFor(base::Millis(10)); // until the server waits for connections
            std::vector<std::unique_ptr<CallerSocket>> callers;
            for (int i = 0; i < 5; ++i) {
                callers.push_back(std::make_unique<CallerSocket>(loop, server.address));
                callers.back()->write(requestBytes);
            }
            server.stopAccepting();
            for (auto& caller : callers)
                cr_assert(isServed(caller->readResponse()), "round %d", round);
        }
    });
}

// Found by msc-notices-grown with 1,760 added routes: a channel was closed 85 ms after a whole request had arrived. A
// thread that was busy for longer than the time left until the idle timeout runs the timer before it reads.
Test(stop, a_request_that_arrives_while_the_thread_is_busy_is_not_lost_to_the_idle_timeout, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (int round = 0; round < 10; ++round) {
            net::HttpServerLimits limits;
            limits.idleTimeout = base::Millis(200);
            net::HttpServerHandle server = serveSlowly(loop, limits);
            CallerSocket caller(loop, server.address);
            caller.write(requestBytes);
            cr_assert(isServed(caller.readResponse()));
            net::sleepFor(base::Millis(100));
            caller.write(requestBytes);
            std::this_thread::sleep_for(base::Millis(200)); // the thread is busy, as when it reads a configuration
            cr_assert(isServed(caller.readResponse()), "round %d", round);
            server.stopAccepting();
        }
    });
}

// The steps of the gateway's stop, with callers that keep their connections and send one request after another.
Test(stop, a_gateway_under_load_answers_every_request_that_it_has_read, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        tests::GatewayFixture fixture(loop);
        gateway::Gateway& gateway = fixture.gateways[0]->gateway;
        int sent = 0;
        int answered = 0;
        int callersRunning = 0;
        for (int i = 0; i < 16; ++i) {
            ++callersRunning;
            loop.spawn([&, i] {
                auto connection = net::HttpConnection::create(loop, gateway.address());
                bool isOpen = connection->connect(base::Clock::now() + base::Seconds(2)) == net::HttpCallError::None;
                for (int number = 0; isOpen; ++number) {
                    const char* path = i % 2 ? "/once/" : "/safe/";
                    net::HttpRequest request = labRequest(path, fmt::format("stop-{}-{}", i, number));
                    ++sent;
                    net::HttpResult result = net::httpCall(*connection, request, base::Clock::now() + base::Seconds(8));
                    answered += result.error == net::HttpCallError::None && result.response.status == 200;
                    isOpen = connection->isReusable();
                }
                --callersRunning;
            });
        }
        net::sleepFor(base::Millis(500));
        gateway.beginDrain();
        net::sleepFor(base::Millis(300));
        gateway.stopAccepting();
        while (callersRunning)
            net::sleepFor(base::Millis(10));
        cr_expect_gt(sent, 100);
        cr_expect_eq(answered, sent);
        cr_expect_eq(gateway.requestsInFlight(), 0);
    });
}

// Guards against requests that were sent late in the grace period and cut at its end, although they may run only once.
Test(stop, a_request_that_cannot_end_in_time_is_refused_and_does_not_run, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        tests::GatewayFixture fixture(loop);
        for (lab::ReplicaStandIn* replica : fixture.plain)
            replica->setProcessingTime(base::Millis(600));
        for (int i = 0; i < 12; ++i)
            cr_assert_eq(fixture.call(i % 2 ? "/once/" : "/safe/", fmt::format("before-{}", i)).status, 200);
        base::BootTime begunAt = base::BootClock::now();
        fixture.gateways[0]->gateway.beginDrain(begunAt + base::Millis(3000));
        cr_expect_eq(fixture.call("/once/", "early").status, 200, "there is time for it");
        net::sleepFor(base::Millis(2600) - (base::BootClock::now() - begunAt));
        for (const char* path : { "/once/", "/safe/" }) {
            CallerResponse late = fixture.call(path, std::string("late") + path);
            cr_expect_eq(late.status, 503, "%s: %d", path, late.status);
            cr_expect_lt(base::secondsOf(late.duration), 0.1, "refused at once");
            cr_expect_eq(fixture.plainRunCount(std::string("late") + path), 0);
        }
    });
}

Test(stop, what_does_not_end_in_time_gets_an_answer_that_promises_nothing, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        tests::GatewayFixture fixture(loop);
        gateway::Gateway& gateway = fixture.gateways[0]->gateway;
        fixture.setFaultOnAll(ReplicaFault::Hang, -1);
        std::map<std::string, CallerResponse> responses;
        for (const char* path : { "/once/", "/safe/", "/stream/", "/single/" }) {
            loop.spawn([&, path = std::string(path)] {
                responses[path]
                    = fixture.call(path, "id" + path, path.starts_with("/s") && path != "/safe/" ? "m1" : "");
            });
        }
        net::sleepFor(base::Millis(400));
        gateway.beginDrain(base::BootClock::now() + base::Millis(200));
        net::sleepFor(base::Millis(200));
        gateway.endRequests();
        net::sleepFor(base::Millis(200));
        cr_expect_eq(responses.size(), 4, "all have an answer 0.2 s later");
        for (const auto& [path, response] : responses)
            cr_expect_eq(response.status, 502, "%s: %d", path.c_str(), response.status);
        cr_expect_eq(fixture.plainRunCount("id/once/"), 1);
        cr_expect_eq(gateway.requestsInFlight(), 0);
    });
}

Test(stop, the_usual_time_is_one_that_few_responses_exceed)
{
    gateway::UsualTime usual;
    for (int i = 0; i < 4; ++i)
        gateway::usualTimeRecord(usual, base::Millis(100));
    cr_expect_not(gateway::usualTimeLimit(usual));
    std::mt19937 random(1);
    int longer = 0;
    for (int i = 0; i < 1000; ++i) {
        base::Millis time(100 + random() % 400);
        auto limit = gateway::usualTimeLimit(usual);
        longer += limit && time > *limit ? 1 : 0;
        gateway::usualTimeRecord(usual, time);
    }
    cr_expect_leq(longer, 10);
    cr_expect_lt(base::secondsOf(*gateway::usualTimeLimit(usual)), 1.2);
    base::BootTime now = base::BootTime {} + base::Seconds(100);
    gateway::StopInputs inputs { now, now + base::Seconds(1), now + base::Seconds(5), std::nullopt };
    cr_expect_not(gateway::stopAllowsAttempt(inputs), "nothing is known of the route");
    inputs.usualTime = base::Millis(900);
    cr_expect(gateway::stopAllowsAttempt(inputs));
    inputs.usualTime = base::Millis(1100);
    cr_expect_not(gateway::stopAllowsAttempt(inputs));
    inputs.deadline = now + base::Millis(1000);
    cr_expect(gateway::stopAllowsAttempt(inputs), "it ends by its deadline");
}

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

// Replicas that answer before they have read a request's body, with a body that only the end of the connection ends,
// and then reset the connection: what has arrived is no complete answer, whichever side notices the reset first.
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "CutOffGateway.h"
#include "ServeFixtures.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Reads the head of each connection's request, answers a part, and resets the connection after `resetAfter`.
struct EarlyReplica {
    struct State {
        Tcp::acceptor acceptor;
        base::Millis resetAfter;
        int answerCount = 0;
    };

    std::shared_ptr<State> state;

    EarlyReplica(net::Loop& loop, base::Millis resetAfter)
        : state(std::make_shared<State>(
            State { Tcp::acceptor(loop.io(), { asio::ip::make_address("127.0.0.1"), 0 }), resetAfter }))
    {
        loop.spawn([&loop, state = state] {
            while (true) {
                auto socket = std::make_shared<Tcp::socket>(loop.io());
                if (net::awaitIo([&](auto handler) {
                        state->acceptor.async_accept(*socket, std::move(handler));
                    }).error)
                    return;
                loop.spawn([state, socket] { serve(*state, *socket); });
            }
        });
    }
    base::Address address() const { return { "127.0.0.1", state->acceptor.local_endpoint().port() }; }
    void stop()
    {
        net::ErrorCode ignored;
        state->acceptor.close(ignored);
    }

    static void serve(State& state, Tcp::socket& socket)
    {
        std::string head;
        if (net::awaitIo([&](auto handler) {
                asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", std::move(handler));
            }).error)
            return;
        size_t at = head.find("Request-Id: "); // or X-Request-Id
        size_t lineAt = head.rfind("\r\n", at) + 2;
        std::string id = at == std::string::npos ? "" : head.substr(lineAt, head.find("\r\n", at) - lineAt) + "\r\n";
        std::string part = "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\n" + id + "\r\na part of an answer";
        net::awaitIo([&](auto handler) { asio::async_write(socket, asio::buffer(part), std::move(handler)); });
        ++state.answerCount;
        net::sleepFor(state.resetAfter);
        net::ErrorCode ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
};

void expectNoCompleteAnswer(bool isRelayed)
{
    tests::runOnLoop([isRelayed](net::Loop& loop) {
        for (int resetAfterMs : { 0, 20, 200 }) {
            EarlyReplica replica(loop, base::Millis(resetAfterMs));
            EarlyReplica other(loop, base::Millis(resetAfterMs));
            tests::CutOffGateway gateways(loop, replica.address(), other.address(), isRelayed);
            for (size_t bodyBytes : { 100, 30000, 900000 }) {
                for (int i = 0; i < 5; ++i) {
                    net::HttpRequest request = labRequest("/once/", fmt::format("id-{}-{}", bodyBytes, i));
                    request.body = std::string(bodyBytes, 'x');
                    CallerResponse response = gateways.fleet.call(*gateways.cutOff, request);
                    cr_expect(response.error != net::HttpCallError::None || response.status == 502,
                        "relayed %d, reset after %d ms, body of %zu bytes: status %d, body %s", isRelayed, resetAfterMs,
                        bodyBytes, response.status, response.body.c_str());
                }
            }
            replica.stop();
            other.stop();
        }
    });
}

} // namespace

Test(early_answer, a_part_is_not_complete_if_the_connection_is_reset_while_the_body_is_written, .timeout = 60)
{
    expectNoCompleteAnswer(false);
}

Test(early_answer, a_relayed_part_is_not_complete_if_the_connection_is_reset_while_the_body_is_written, .timeout = 60)
{
    expectNoCompleteAnswer(true);
}

Test(early_answer, a_part_of_a_services_answer_is_not_complete_if_the_connection_is_reset, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        tests::ServiceFixture fixture(loop, [](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(
                tests::serviceResponse(std::string(net::httpHeader(request.headers, "X-Request-Id")), true));
        });
        int boot = 1;
        for (int resetAfterMs : { 0, 20, 200 }) {
            EarlyReplica service(loop, base::Millis(resetAfterMs));
            fixture.list(service.address(), fmt::format("boot-{}", ++boot));
            cr_assert(fixture.fleet.waitUntil(
                [&] {
                    fixture.call("/once", "listed");
                    return service.state->answerCount > 0;
                },
                base::Seconds(5)));
            for (size_t bodyBytes : { 100, 30000, 900000 }) {
                for (int i = 0; i < 5; ++i) {
                    net::HttpResult result
                        = fixture.call("/once", fmt::format("id-{}-{}", bodyBytes, i), std::string(bodyBytes, 'x'));
                    cr_expect(result.error != net::HttpCallError::None || result.response.status >= 500,
                        "reset after %d ms, body of %zu bytes: status %d, body %s", resetAfterMs, bodyBytes,
                        result.response.status, result.response.body.c_str());
                }
            }
            service.stop();
        }
    });
}

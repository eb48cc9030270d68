// Connections to replicas that another gateway carries, as this one has lost its links to all replicas.
#include "CutOffGateway.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;

namespace {

// Replicas that answer as `script` says, behind a gateway that is cut off and one that carries its connections.
struct RelayFleet {
    net::Loop& loop;
    ByteStandIn replica;
    ByteStandIn other;
    std::optional<tests::CutOffGateway> gateways;

    RelayFleet(net::Loop& testLoop, const ByteScript& script)
        : loop(testLoop)
        , replica(testLoop, script)
        , other(testLoop, script)
    {
        std::string error;
        cr_assert(replica.listen(error) && other.listen(error), "%s", error.c_str());
        gateways.emplace(testLoop, replica.address(), other.address());
    }
    ~RelayFleet()
    {
        replica.stop();
        other.stop();
    }
    CallerResponse call(const std::string& path, const std::string& id, base::Millis limit = base::Millis(8000))
    {
        return gateways->fleet.call(*gateways->cutOff, labRequest(path, id), limit);
    }
    size_t requestCount() const { return replica.requestTargets().size() + other.requestTargets().size(); }
};

std::string headWithoutLength(const net::HttpRequest& request)
{
    return fmt::format("HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nRequest-Id: {}\r\n\r\n",
        net::httpHeader(request.headers, "Request-Id"));
}

enum class Ending { Close, Reset, RelayEnds };

// The status of an answer without a length whose connection ends so, after a part of it.
void expectStatus(Ending ending, int status)
{
    tests::runOnLoop([=](net::Loop& loop) {
        auto sentCount = std::make_shared<int>(0);
        RelayFleet fixture(loop, [ending, sentCount](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(headWithoutLength(request) + "a part of an answer");
            ++*sentCount;
            net::sleepFor(base::Millis(ending == Ending::RelayEnds ? 800 : 300));
            if (ending == Ending::Reset)
                connection.reset();
            else
                connection.close();
        });
        if (ending == Ending::RelayEnds)
            loop.spawn([&fixture, sentCount] {
                while (!*sentCount)
                    net::sleepFor(base::Millis(10));
                net::sleepFor(base::Millis(50));
                fixture.gateways->fleet.kill(*fixture.gateways->relay);
            });
        CallerResponse response = fixture.call("/once/", "id-1");
        cr_expect_eq(response.status, status, "status %d", response.status);
        cr_expect_eq(*sentCount, 1);
    });
}

} // namespace

Test(relayed_connection, an_answer_without_length_is_complete_if_the_replica_has_ended_it, .timeout = 30)
{
    expectStatus(Ending::Close, 200);
}

Test(relayed_connection, an_answer_without_length_that_is_reset_is_not_complete, .timeout = 30)
{
    expectStatus(Ending::Reset, 502);
}

Test(relayed_connection, an_answer_without_length_is_not_complete_if_the_gateway_that_carries_it_ends, .timeout = 30)
{
    expectStatus(Ending::RelayEnds, 502);
}

Test(relayed_connection, a_caller_that_leaves_ends_its_request_at_the_replica, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        auto endedAt = std::make_shared<std::optional<base::TimePoint>>();
        RelayFleet fixture(loop, [endedAt](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(headWithoutLength(request));
            while (connection.send("."))
                net::sleepFor(base::Millis(20));
            *endedAt = base::Clock::now();
        });
        base::TimePoint leftAt = base::Clock::now() + base::Millis(500);
        fixture.call("/once/", "id-1", base::Millis(500));
        while (!*endedAt && base::Clock::now() < leftAt + base::Seconds(3))
            net::sleepFor(base::Millis(10));
        cr_assert(*endedAt);
        cr_expect_lt(**endedAt - leftAt, base::Millis(500));
        cr_expect_eq(fixture.gateways->relay->dialer.carriedCount(), 0);
    });
}

Test(relayed_connection, what_a_replica_says_of_leaving_binds_the_gateway_that_carries_the_connection, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        RelayFleet fixture(loop, [](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(fmt::format("HTTP/1.1 200 OK\r\nServer-Seal: seal\r\nRequest-Id: {}\r\n"
                                        "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
                net::httpHeader(request.headers, "Request-Id")));
        });
        for (int i = 0; i < 2; ++i)
            cr_expect_eq(fixture.call("/safe/", fmt::format("id-{}", i)).status, 200);
        net::sleepFor(base::Millis(200));
        size_t before = fixture.requestCount();
        cr_expect_eq(before, 2);
        CallerResponse response
            = fixture.gateways->fleet.call(*fixture.gateways->relay, labRequest("/safe/", "id-9"), base::Millis(1000));
        cr_expect(response.error != net::HttpCallError::None || response.status == 503);
        cr_expect_eq(fixture.requestCount(), before);
    });
}

Test(relayed_connection, a_gateway_that_has_lost_the_replicas_too_carries_nothing, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        RelayFleet fixture(loop, [](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(headWithoutLength(request));
            connection.close();
        });
        fixture.gateways->relay->replicaLinks->setCut(LinkCut::Hang);
        base::TimePoint calledAt = base::Clock::now();
        CallerResponse response = fixture.call("/once/", "id-1");
        cr_expect_eq(response.status, 503, "status %d", response.status);
        cr_expect(!net::httpHeader(response.headers, "Retry-After").empty());
        cr_expect_lt(base::Clock::now() - calledAt, base::Millis(1500));
        cr_expect_eq(fixture.requestCount(), 0);
        calledAt = base::Clock::now();
        cr_expect_eq(fixture.call("/once/", "id-2").status, 503);
        cr_expect_lt(base::Clock::now() - calledAt, base::Millis(300), "what can't be served is refused at once");
    });
}

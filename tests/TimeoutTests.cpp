// Timeouts on a busy thread: a timer that is due together with the completion of an operation must not end it.
#include <array>
#include <atomic>
#include <thread>

#include <boost/asio/ip/tcp.hpp>

#include "Support.h"
#include "base/Counters.h"
#include "net/Http.h"

using namespace rattanshunt;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr base::Millis timeout { 1000 };
constexpr base::Millis shortlyBefore { 500 }; // before the timeout
constexpr base::Millis busyTime { 1100 };     // until after the timeout, whenever it began

void keepThreadBusy()
{
    std::this_thread::sleep_for(busyTime);
}

struct CountingServer {
    net::HttpServerHandle handle;
    std::shared_ptr<int> handledCount = std::make_shared<int>(0);

    // Ends the server's fibers, for which the loop waits.
    void stop()
    {
        handle.stopAccepting();
        handle.closeAll();
    }
};

CountingServer startServer(net::Loop& loop, const net::HttpServerLimits& limits)
{
    CountingServer server;
    net::HttpServerEvents events;
    events.onRequest = [handled = server.handledCount](net::HttpExchange& exchange) {
        ++*handled;
        exchange.respond({ 200, {}, "served" });
    };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    std::string error;
    auto handle = net::httpServe(loop, { "127.0.0.1", 0 }, limits, std::move(events), error);
    cr_assert(handle.has_value(), "%s", error.c_str());
    server.handle = *handle;
    return server;
}

Tcp::endpoint endpointOf(const base::Address& address)
{
    return { asio::ip::make_address(address.ip), address.port };
}

// A caller whose write() does not suspend, so that nothing else runs between it and the next statement.
struct CallerSocket {
    Tcp::socket socket;

    CallerSocket(net::Loop& loop, const base::Address& address)
        : socket(loop.io())
    {
        socket.connect(endpointOf(address));
    }
    void write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
    // The bytes that arrive until a response is complete or the connection ends.
    std::string readResponse()
    {
        std::string text;
        std::array<char, 1024> bytes {};
        while (!text.ends_with("served")) {
            net::IoResult result
                = net::awaitIo([&](auto handler) { socket.async_read_some(asio::buffer(bytes), std::move(handler)); });
            if (result.error)
                break;
            text.append(bytes.data(), result.bytes);
        }
        return text;
    }
    bool readsServed()
    {
        std::string text = readResponse();
        return text.starts_with("HTTP/1.1 200") && text.ends_with("served");
    }
};

// Accepts one connection on a thread of its own, waits for `delay` after the first bytes and sends `response`.
struct RawServer {
    asio::io_context io;
    Tcp::acceptor acceptor { io, { asio::ip::address_v4::loopback(), 0 } };
    std::thread thread;

    RawServer(base::Millis delay, const std::string& response)
        : thread([this, delay, response] {
            Tcp::socket socket(io);
            acceptor.accept(socket);
            std::array<char, 4096> bytes {};
            boost::system::error_code ignored;
            socket.read_some(asio::buffer(bytes), ignored);
            std::this_thread::sleep_for(delay);
            asio::write(socket, asio::buffer(response), ignored);
            socket.read_some(asio::buffer(bytes), ignored); // until the client closes
        })
    {
    }
    ~RawServer() { thread.join(); }
    base::Address address() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }
};

} // namespace

Test(timeouts, a_request_is_not_handled_after_its_connection_was_closed, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        net::HttpServerLimits limits;
        limits.headerTimeout = timeout;
        CountingServer server = startServer(loop, limits);
        for (int round = 0; round < 3; ++round) {
            CallerSocket caller(loop, server.handle.address);
            caller.write("GET /x HTTP/1.1\r\n");
            net::sleepFor(shortlyBefore);
            caller.write("Host: a\r\n\r\n");
            keepThreadBusy();
            cr_expect(caller.readsServed(), "round %d: no answer, %d handled", round, *server.handledCount);
        }
        cr_expect_eq(*server.handledCount, 3);
        server.stop();
    });
}

Test(timeouts, a_body_that_has_arrived_is_not_lost_to_the_body_timeout, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        net::HttpServerLimits limits;
        limits.bodyTimeout = timeout;
        CountingServer server = startServer(loop, limits);
        for (int round = 0; round < 3; ++round) {
            CallerSocket caller(loop, server.handle.address);
            caller.write("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n");
            net::sleepFor(shortlyBefore);
            caller.write(std::string(200000, 'b'));
            keepThreadBusy();
            cr_expect(caller.readsServed(), "round %d: no answer, %d handled", round, *server.handledCount);
        }
        server.stop();
    });
}

// The caller reads nothing until a chunk waits for room in the sockets, and all of it while the thread is busy.
Test(timeouts, a_response_that_a_caller_reads_is_not_cut_by_the_write_timeout, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        int chunksBegun = 0;
        bool isCut = false;
        bool isEnough = false;
        net::HttpServerEvents events;
        events.onRequest = [&](net::HttpExchange& exchange) {
            exchange.startStream(200, {});
            while (!isEnough && !isCut) {
                ++chunksBegun;
                isCut = !exchange.sendChunk(std::string(65536, 'c'));
            }
            exchange.finishStream();
        };
        events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
        net::HttpServerLimits limits;
        limits.writeTimeout = timeout;
        std::string error;
        auto server = net::httpServe(loop, { "127.0.0.1", 0 }, limits, std::move(events), error);
        cr_assert(server.has_value());
        constexpr std::string_view lastChunk = "0\r\n\r\n";
        bool isWhole = false;
        std::atomic<bool> isReading = false;
        std::thread caller([&, address = server->address] {
            asio::io_context io;
            Tcp::socket socket(io);
            socket.connect(endpointOf(address));
            asio::write(socket, asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
            while (!isReading)
                std::this_thread::sleep_for(base::Millis(1));
            std::vector<char> bytes(1 << 20);
            boost::system::error_code ended;
            while (!ended) {
                size_t count = socket.read_some(asio::buffer(bytes), ended);
                if (count >= lastChunk.size())
                    isWhole = std::string_view(bytes.data(), count).ends_with(lastChunk);
            }
        });
        for (int before = -1; before != chunksBegun || !chunksBegun;) {
            before = chunksBegun;
            net::sleepFor(timeout / 4);
        }
        isReading = true;
        keepThreadBusy();
        isEnough = true;
        while (server->connectionCount())
            net::sleepFor(base::Millis(10));
        caller.join();
        cr_expect(isWhole);
        server->stopAccepting();
    });
}

Test(timeouts, an_answer_that_has_arrived_is_not_lost_to_the_deadline, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (int round = 0; round < 3; ++round) {
            RawServer server(
                shortlyBefore, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'b'));
            auto connection = net::HttpConnection::create(loop, server.address());
            loop.spawn([] {
                net::sleepFor(shortlyBefore / 2);
                keepThreadBusy();
            });
            net::HttpResult result = net::httpCall(*connection, { "GET", "/x", {}, "" }, base::Clock::now() + timeout);
            cr_expect(result.error == net::HttpCallError::None, "round %d: %s", round, httpCallErrorName(result.error));
            connection->cancel();
        }
    });
}

Test(timeouts, a_connection_that_is_established_is_not_lost_to_the_deadline, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (int round = 0; round < 3; ++round) {
            RawServer server(base::Millis(0), "");
            auto connection = net::HttpConnection::create(loop, server.address());
            loop.spawn([] { keepThreadBusy(); });
            net::HttpCallError error = connection->connect(base::Clock::now() + timeout);
            cr_expect(error == net::HttpCallError::None, "round %d: %s", round, httpCallErrorName(error));
            connection->cancel();
        }
    });
}

Test(timeouts, an_operation_without_progress_ends_at_its_timeout, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        net::HttpServerLimits limits;
        limits.headerTimeout = timeout;
        CountingServer server = startServer(loop, limits);
        CallerSocket caller(loop, server.handle.address);
        caller.write("GET /x HTTP/1.1\r\n");
        base::TimePoint begunAt = base::Clock::now();
        cr_expect(caller.readResponse().empty());
        base::Duration took = base::Clock::now() - begunAt;
        cr_expect_geq(took, timeout - base::Millis(10));
        cr_expect_leq(took, timeout + base::Millis(200));
        cr_expect_eq(*server.handledCount, 0);
        server.stop();
    });
}

Test(timeouts, a_longer_idle_timeout_holds_for_connections_that_are_idle_already, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        net::HttpServerLimits limits;
        limits.idleTimeout = timeout;
        CountingServer server = startServer(loop, limits);
        CallerSocket caller(loop, server.handle.address);
        caller.write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        cr_assert(caller.readsServed());
        limits.idleTimeout = timeout * 5;
        server.handle.setLimits(limits);
        net::sleepFor(timeout * 2);
        caller.write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        cr_expect(caller.readsServed());
        cr_expect_eq(*server.handledCount, 2);
        server.stop();
    });
}

Test(timeouts, timers_run_on_a_loop_that_is_never_idle, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        bool isOver = false;
        for (int i = 0; i < 20; ++i) {
            loop.spawn([&] {
                while (!isOver)
                    boost::this_fiber::yield();
            });
        }
        for (int i = 0; i < 10; ++i) {
            base::TimePoint begunAt = base::Clock::now();
            net::sleepFor(base::Millis(50));
            cr_expect_leq(base::millisOf(base::Clock::now() - begunAt), 200);
        }
        isOver = true;
    });
}

// A stream whose head promised to keep the connection ends while the server drains; the next request has arrived.
Test(timeouts, a_request_on_a_connection_that_was_promised_to_stay_open_is_served, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        bool isDraining = false;
        int handledCount = 0;
        net::Event mayFinish;
        net::HttpServerEvents events;
        events.isDraining = [&] { return isDraining; };
        events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
        events.onRequest = [&](net::HttpExchange& exchange) {
            if (++handledCount > 1) {
                exchange.respond({ 200, {}, "served" });
                return;
            }
            exchange.startStream(200, {});
            mayFinish.waitUntil();
            exchange.finishStream();
        };
        std::string error;
        auto server = net::httpServe(loop, { "127.0.0.1", 0 }, {}, std::move(events), error);
        cr_assert(server.has_value());
        CallerSocket caller(loop, server->address);
        caller.write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        net::sleepFor(base::Millis(100));
        isDraining = true;
        caller.write("GET /y HTTP/1.1\r\nHost: a\r\n\r\n");
        mayFinish.set();
        std::string text = caller.readResponse();
        cr_expect(text.ends_with("served"), "%s", text.c_str());
        cr_expect_eq(handledCount, 2);
        server->stopAccepting();
        server->closeAll();
    });
}

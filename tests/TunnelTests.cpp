// How a tunnel's end is told, when the server resets its connection while bytes for it are being written.
#include <boost/asio/write.hpp>

#include "Support.h"
#include "net/TunnelPump.h"

using namespace rattanshunt;
using Tcp = boost::asio::ip::tcp;
namespace asio = boost::asio;

namespace {

std::pair<Tcp::socket, Tcp::socket> connectedPair(net::Loop& loop)
{
    Tcp::acceptor acceptor(loop.io(), { asio::ip::make_address("127.0.0.1"), 0 });
    Tcp::socket near(loop.io());
    Tcp::socket far(loop.io());
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
    return { std::move(near), std::move(far) };
}

} // namespace

Test(tunnel, a_reset_that_a_write_notices_first_is_no_end_in_order, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (int round = 0; round < 20; ++round) {
            auto [caller, pumpCaller] = connectedPair(loop);
            auto [pumpServer, server] = connectedPair(loop);
            auto pump = std::make_shared<net::TunnelPump>(loop, std::move(pumpCaller), std::move(pumpServer));
            auto end = std::make_shared<net::TunnelEnd>(net::TunnelEnd::Unknown);
            loop.spawn([pump, end] {
                pump->run(base::Clock::now() + base::Seconds(5), [end](net::TunnelEnd how) { *end = how; });
            });
            // Small writes go on until the caller's side is closed, so that one meets the reset before a read does.
            auto writer = std::make_shared<Tcp::socket>(std::move(caller));
            auto isWriting = std::make_shared<bool>(true);
            loop.spawn([writer, isWriting] {
                std::string bytes(2000, 'x');
                while (*isWriting && !net::awaitIo([&](auto handler) {
                    asio::async_write(*writer, asio::buffer(bytes), std::move(handler));
                }).error) { }
                *isWriting = false;
            });
            net::sleepFor(base::Millis(5));
            net::awaitIo([&](auto handler) {
                asio::async_write(server, asio::buffer("a part of an answer", 19), std::move(handler));
            });
            net::ErrorCode ignored;
            server.set_option(asio::socket_base::linger(true, 0), ignored);
            server.close(ignored);
            base::TimePoint startedAt = base::Clock::now();
            while (*end == net::TunnelEnd::Unknown && base::Clock::now() - startedAt < base::Seconds(2))
                net::sleepFor(base::Millis(5));
            cr_expect_eq(*end, net::TunnelEnd::ByServer, "round %d: %s", round, net::tunnelEndName(*end));
            pump->close();
            writer->close(ignored);
            while (*isWriting)
                net::sleepFor(base::Millis(5));
        }
    });
}

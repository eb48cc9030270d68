#include "net/TunnelPump.h"

#include <boost/asio/write.hpp>

#include "base/Counters.h"

namespace rattanshunt::net {

namespace asio = boost::asio;

namespace {
    constexpr size_t bufferBytes = 16 * 1024;
}

const char* tunnelEndName(TunnelEnd end)
{
    switch (end) {
    case TunnelEnd::Unknown:
        return "unknown";
    case TunnelEnd::InOrder:
        return "in_order";
    case TunnelEnd::ByServer:
        return "by_server";
    case TunnelEnd::ByCaller:
        return "by_caller";
    }
    return "unknown";
}

TunnelPump::TunnelPump(Loop& loop, Socket caller, Socket server)
    : m_loop(loop)
    , m_caller(std::move(caller))
    , m_server(std::move(server))
{
}

void TunnelPump::run(base::TimePoint endsBy, std::function<void(TunnelEnd)> onEnd)
{
    m_onEnd = std::move(onEnd);
    TimerId timer = m_loop.timers().subscribe(endsBy, [self = shared_from_this()] { self->close(); });
    Event hasEnded;
    m_loop.spawn([self = shared_from_this(), &hasEnded] {
        self->pumpToServer();
        hasEnded.set();
    });
    pumpToCaller();
    hasEnded.waitUntil();
    m_loop.timers().cancel(timer);
    close();
}

void TunnelPump::end(TunnelEnd end)
{
    if (m_end != TunnelEnd::Unknown)
        return;
    m_end = end;
    base::counterAddLabelled("tunnels_ended_total", "end", tunnelEndName(end));
    m_onEnd(end);
}

void TunnelPump::close()
{
    end(TunnelEnd::ByCaller);
    ErrorCode ignored;
    m_caller.close(ignored);
    m_server.close(ignored);
}

// The caller half-closes nothing: its end ends the tunnel.
void TunnelPump::pumpToServer()
{
    std::vector<char> buffer(bufferBytes);
    while (true) {
        IoResult read
            = awaitIo([&](auto handler) { m_caller.async_read_some(asio::buffer(buffer), std::move(handler)); });
        if (read.error)
            return close();
        IoResult written = awaitIo([&](auto handler) {
            asio::async_write(m_server, asio::buffer(buffer.data(), read.bytes), std::move(handler));
        });
        // What the server has sent before it stopped reading may still be on its way to the caller.
        if (written.error) {
            m_hasServerFailed = true;
            return;
        }
    }
}

void TunnelPump::pumpToCaller()
{
    std::vector<char> buffer(bufferBytes);
    ErrorCode ignored;
    while (true) {
        IoResult read
            = awaitIo([&](auto handler) { m_server.async_read_some(asio::buffer(buffer), std::move(handler)); });
        // A write that has failed took the socket's error with it: reads then end as if in order.
        if (read.error == asio::error::eof && !m_hasServerFailed) {
            end(TunnelEnd::InOrder);
            m_caller.shutdown(Socket::shutdown_send, ignored);
            return;
        }
        if (read.error) {
            end(TunnelEnd::ByServer);
            m_caller.set_option(asio::socket_base::linger(true, 0), ignored); // closing resets it
            return close();
        }
        IoResult written = awaitIo([&](auto handler) {
            asio::async_write(m_caller, asio::buffer(buffer.data(), read.bytes), std::move(handler));
        });
        if (written.error)
            return close();
    }
}

} // namespace rattanshunt::net

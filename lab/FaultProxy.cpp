#include "FaultProxy.h"

#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace rattanshunt::lab {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

    constexpr base::Millis modePollInterval { 5 };
    constexpr size_t bufferBytes = 4096;

    struct ProxiedConnection {
        Tcp::socket client;
        Tcp::socket target;
        int activePumps = 0;

        explicit ProxiedConnection(net::Loop& loop)
            : client(loop.io())
            , target(loop.io())
        {
        }
        void close()
        {
            net::ErrorCode ignored;
            client.close(ignored);
            target.close(ignored);
        }
    };

} // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl> {
    net::Loop& loop;
    base::Address target;
    Tcp::acceptor acceptor;
    ProxyMode mode = ProxyMode::Pass;
    base::Millis delay { 0 };
    std::string heldPrefix;
    bool isStopped = false;
    std::set<std::shared_ptr<ProxiedConnection>> connections;

    Impl(net::Loop& eventLoop, const base::Address& targetAddress)
        : loop(eventLoop)
        , target(targetAddress)
        , acceptor(eventLoop.io())
    {
    }

    bool isStalled(bool isFromTarget) const
    {
        return mode == ProxyMode::Stall
            || mode == (isFromTarget ? ProxyMode::StallFromTarget : ProxyMode::StallToTarget);
    }

    bool isHeld(std::string_view chunk) const { return !heldPrefix.empty() && chunk.starts_with(heldPrefix); }

    void pump(const std::shared_ptr<ProxiedConnection>& connection, bool isFromTarget)
    {
        Tcp::socket& from = isFromTarget ? connection->target : connection->client;
        Tcp::socket& to = isFromTarget ? connection->client : connection->target;
        std::vector<char> buffer(bufferBytes);
        while (!isStopped && from.is_open() && to.is_open()) {
            auto read
                = net::awaitIo([&](auto handler) { from.async_read_some(asio::buffer(buffer), std::move(handler)); });
            if (read.error) {
                net::ErrorCode ignored;
                if (read.error != asio::error::eof)
                    to.set_option(asio::socket_base::linger(true, 0), ignored); // passes a reset on
                break;
            }
            if (!isFromTarget && isHeld({ buffer.data(), read.bytes })) {
                std::string prefix = heldPrefix;
                while (heldPrefix == prefix && !isStopped)
                    net::sleepFor(modePollInterval);
                break;
            }
            if (mode == ProxyMode::Delay)
                net::sleepFor(delay);
            while (isStalled(isFromTarget) && !isStopped && to.is_open())
                net::sleepFor(modePollInterval);
            auto written = net::awaitIo([&](auto handler) {
                asio::async_write(to, asio::buffer(buffer.data(), read.bytes), std::move(handler));
            });
            if (written.error)
                break;
        }
        connection->close();
        if (--connection->activePumps == 0)
            connections.erase(connection);
    }

    void connect(const std::shared_ptr<ProxiedConnection>& connection)
    {
        Tcp::endpoint endpoint(asio::ip::make_address(target.ip), target.port);
        auto connected
            = net::awaitIo([&](auto handler) { connection->target.async_connect(endpoint, std::move(handler)); });
        if (connected.error || isStopped) {
            connection->close();
            return;
        }
        connections.insert(connection);
        connection->activePumps = 2;
        for (bool isFromTarget : { false, true })
            loop.spawn([self = shared_from_this(), connection, isFromTarget] { self->pump(connection, isFromTarget); });
    }

    void accept()
    {
        while (!isStopped) {
            auto connection = std::make_shared<ProxiedConnection>(loop);
            auto accepted
                = net::awaitIo([&](auto handler) { acceptor.async_accept(connection->client, std::move(handler)); });
            if (accepted.error)
                break;
            if (mode == ProxyMode::Reset)
                continue;
            loop.spawn([self = shared_from_this(), connection] { self->connect(connection); });
        }
    }
};

FaultProxy::FaultProxy(net::Loop& loop, const base::Address& target)
    : m_impl(std::make_shared<Impl>(loop, target))
{
}

FaultProxy::~FaultProxy() = default;

bool FaultProxy::listen(std::string& error)
{
    net::ErrorCode code;
    Tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
    m_impl->acceptor.open(endpoint.protocol(), code);
    m_impl->acceptor.bind(endpoint, code);
    if (!code)
        m_impl->acceptor.listen(asio::socket_base::max_listen_connections, code);
    error = code.message();
    if (code)
        return false;
    m_impl->loop.spawn([impl = m_impl] { impl->accept(); });
    return true;
}

void FaultProxy::setHeldPrefix(const std::string& prefix)
{
    m_impl->heldPrefix = prefix;
}

void FaultProxy::setMode(ProxyMode mode, base::Millis delay)
{
    m_impl->mode = mode;
    m_impl->delay = delay;
    if (mode == ProxyMode::Reset) {
        for (const auto& connection : m_impl->connections)
            connection->close();
    }
}

void FaultProxy::setTarget(const base::Address& target)
{
    m_impl->target = target;
}

void FaultProxy::stop()
{
    m_impl->isStopped = true;
    net::ErrorCode ignored;
    m_impl->acceptor.close(ignored);
    for (const auto& connection : m_impl->connections)
        connection->close();
}

base::Address FaultProxy::address() const
{
    return { "127.0.0.1", m_impl->acceptor.local_endpoint().port() };
}

} // namespace rattanshunt::lab

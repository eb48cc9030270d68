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
    bool isStopped = false;
    std::set<std::shared_ptr<ProxiedConnection>> connections;

    Impl(net::Loop& ownLoop, const base::Address& ownTarget)
        : loop(ownLoop)
        , target(ownTarget)
        , acceptor(ownLoop.io())
    {
    }

    bool isStalled(bool isBack) const
    {
        return mode == ProxyMode::Stall || mode == (isBack ? ProxyMode::StallFromTarget : ProxyMode::StallToTarget);
    }

    void pump(const std::shared_ptr<ProxiedConnection>& pair, bool isBack)
    {
        Tcp::socket& from = isBack ? pair->target : pair->client;
        Tcp::socket& to = isBack ? pair->client : pair->target;
        std::vector<char> piece(bufferBytes);
        while (!isStopped && from.is_open() && to.is_open()) {
            auto read
                = net::awaitIo([&](auto handler) { from.async_read_some(asio::buffer(piece), std::move(handler)); });
            if (read.error)
                break;
            if (mode == ProxyMode::Delay)
                net::sleepFor(delay);
            while (isStalled(isBack) && !isStopped && to.is_open())
                net::sleepFor(modePollInterval);
            auto written = net::awaitIo([&](auto handler) {
                asio::async_write(to, asio::buffer(piece.data(), read.bytes), std::move(handler));
            });
            if (written.error)
                break;
        }
        pair->close();
        if (--pair->activePumps == 0)
            connections.erase(pair);
    }

    void connect(const std::shared_ptr<ProxiedConnection>& pair)
    {
        Tcp::endpoint endpoint(asio::ip::make_address(target.ip), target.port);
        auto connected = net::awaitIo([&](auto handler) { pair->target.async_connect(endpoint, std::move(handler)); });
        if (connected.error || isStopped) {
            pair->close();
            return;
        }
        connections.insert(pair);
        pair->activePumps = 2;
        for (bool isBack : { false, true })
            loop.spawn([self = shared_from_this(), pair, isBack] { self->pump(pair, isBack); });
    }

    void accept()
    {
        while (!isStopped) {
            auto pair = std::make_shared<ProxiedConnection>(loop);
            auto accepted
                = net::awaitIo([&](auto handler) { acceptor.async_accept(pair->client, std::move(handler)); });
            if (accepted.error)
                break;
            if (mode == ProxyMode::Reset)
                continue;
            loop.spawn([self = shared_from_this(), pair] { self->connect(pair); });
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

void FaultProxy::setMode(ProxyMode mode, base::Millis delay)
{
    m_impl->mode = mode;
    m_impl->delay = delay;
    if (mode == ProxyMode::Reset) {
        for (const auto& pair : m_impl->connections)
            pair->close();
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
    for (const auto& pair : m_impl->connections)
        pair->close();
}

base::Address FaultProxy::address() const
{
    return { "127.0.0.1", m_impl->acceptor.local_endpoint().port() };
}

} // namespace rattanshunt::lab

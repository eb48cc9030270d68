#include "FaultProxy.h"

#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace rattanshunt::lab {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

    constexpr base::Millis modePoll { 5 };
    constexpr size_t pieceBytes = 4096;

    struct Pair {
        Tcp::socket caller;
        Tcp::socket target;
        int pumps = 0;

        explicit Pair(net::Loop& loop)
            : caller(loop.io())
            , target(loop.io())
        {
        }
        void close()
        {
            net::ErrorCode ignored;
            caller.close(ignored);
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
    std::set<std::shared_ptr<Pair>> pairs;

    Impl(net::Loop& ownLoop, const base::Address& ownTarget)
        : loop(ownLoop)
        , target(ownTarget)
        , acceptor(ownLoop.io())
    {
    }

    bool isHeld(bool isBack) const
    {
        return mode == ProxyMode::Silence || mode == (isBack ? ProxyMode::CutBack : ProxyMode::CutThere);
    }

    void pump(const std::shared_ptr<Pair>& pair, bool isBack)
    {
        Tcp::socket& from = isBack ? pair->target : pair->caller;
        Tcp::socket& to = isBack ? pair->caller : pair->target;
        std::vector<char> piece(pieceBytes);
        while (!isStopped && from.is_open() && to.is_open()) {
            auto read
                = net::awaitIo([&](auto handler) { from.async_read_some(asio::buffer(piece), std::move(handler)); });
            if (read.error)
                break;
            if (mode == ProxyMode::Delay)
                net::sleepFor(delay);
            while (isHeld(isBack) && !isStopped && to.is_open())
                net::sleepFor(modePoll);
            auto written = net::awaitIo([&](auto handler) {
                asio::async_write(to, asio::buffer(piece.data(), read.bytes), std::move(handler));
            });
            if (written.error)
                break;
        }
        pair->close();
        if (--pair->pumps == 0)
            pairs.erase(pair);
    }

    void connect(const std::shared_ptr<Pair>& pair)
    {
        Tcp::endpoint endpoint(asio::ip::make_address(target.ip), target.port);
        auto connected = net::awaitIo([&](auto handler) { pair->target.async_connect(endpoint, std::move(handler)); });
        if (connected.error || isStopped) {
            pair->close();
            return;
        }
        pairs.insert(pair);
        pair->pumps = 2;
        for (bool isBack : { false, true })
            loop.spawn([self = shared_from_this(), pair, isBack] { self->pump(pair, isBack); });
    }

    void accept()
    {
        while (!isStopped) {
            auto pair = std::make_shared<Pair>(loop);
            auto accepted
                = net::awaitIo([&](auto handler) { acceptor.async_accept(pair->caller, std::move(handler)); });
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
        for (const auto& pair : m_impl->pairs)
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
    for (const auto& pair : m_impl->pairs)
        pair->close();
}

base::Address FaultProxy::address() const
{
    return { "127.0.0.1", m_impl->acceptor.local_endpoint().port() };
}

} // namespace rattanshunt::lab

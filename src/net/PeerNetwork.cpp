// The network of connections: who is dialled, accepted and kept.
#include "net/PeerConnection.h"

namespace rattanshunt::net {

namespace {

    constexpr base::Millis acceptRetryPause { 50 };

    struct Dial {
        std::shared_ptr<PeerConnection> link;
        std::vector<Event*> waiters;
        bool isPending = false;
    };

} // namespace

struct PeerNetwork::Impl : std::enable_shared_from_this<PeerNetwork::Impl> {
    Impl(Loop& owner, PeerOptions peerOptions)
        : loop(owner)
        , options(std::move(peerOptions))
        , acceptor(loop.io())
    {
    }

    Loop& loop;
    PeerOptions options;
    TransferTotals totals;
    Tcp::acceptor acceptor;
    PeerHandler handler;
    std::map<std::string, Dial> dials; // by address
    std::vector<std::weak_ptr<PeerConnection>> accepted;
    bool isClosed = false;

    void acceptLoop()
    {
        while (!isClosed) {
            Tcp::socket socket(loop.io());
            IoResult result = awaitIo([&](auto done) { acceptor.async_accept(socket, std::move(done)); });
            if (isClosed)
                break;
            if (result.error) {
                sleepFor(acceptRetryPause);
                continue;
            }
            auto link = std::make_shared<PeerConnection>(loop, options, totals, std::move(socket));
            std::erase_if(accepted, [](auto& weak) { return weak.expired(); });
            accepted.push_back(link);
            loop.spawn([self = shared_from_this(), link] {
                if (!link->handshakeAsListener())
                    return;
                link->startWriter();
                link->readLoop(self->handler);
            });
        }
    }

    void maintainLoop()
    {
        while (!isClosed) {
            sleepFor(options.heartbeatInterval);
            base::TimePoint now = base::Clock::now();
            for (auto& [address, dial] : dials) {
                if (dial.link)
                    dial.link->maintain(now);
            }
            std::erase_if(dials, [](auto& item) {
                return !item.second.isPending && (!item.second.link || !item.second.link->isOpen());
            });
        }
    }

    std::shared_ptr<PeerConnection> linkTo(const base::Address& address)
    {
        std::string name = base::formatAddress(address);
        Dial& dial = dials[name];
        if (dial.link && dial.link->isOpen())
            return dial.link;
        if (dial.isPending) {
            Event ready;
            dial.waiters.push_back(&ready);
            ready.waitUntil();
            auto found = dials.find(name);
            return found == dials.end() ? nullptr : found->second.link;
        }
        dial.isPending = true;
        auto link = std::make_shared<PeerConnection>(loop, options, totals, Tcp::socket(loop.io()));
        bool isReady = link->handshakeAsCaller(address) && !isClosed;
        Dial& after = dials[name];
        after.isPending = false;
        after.link = isReady ? link : nullptr;
        for (Event* waiter : after.waiters)
            waiter->set();
        after.waiters.clear();
        if (!isReady) {
            base::counterAdd("peer_dials_failed_total");
            return nullptr;
        }
        link->startWriter();
        loop.spawn([self = shared_from_this(), link] { link->readLoop(self->handler); });
        return link;
    }
};

PeerNetwork::PeerNetwork(Loop& loop, PeerOptions options)
    : m_impl(std::make_shared<Impl>(loop, std::move(options)))
{
    loop.spawn([impl = m_impl] { impl->maintainLoop(); });
}

PeerNetwork::~PeerNetwork() = default;

bool PeerNetwork::listen(base::Address& address, PeerHandler handler, std::string& error)
{
    m_impl->handler = std::move(handler);
    Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    ErrorCode code;
    m_impl->acceptor.open(endpoint.protocol(), code);
    m_impl->acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
    m_impl->acceptor.bind(endpoint, code);
    if (!code)
        m_impl->acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code) {
        error = code.message();
        return false;
    }
    address.port = m_impl->acceptor.local_endpoint().port();
    m_impl->loop.spawn([impl = m_impl] { impl->acceptLoop(); });
    return true;
}

PeerResult PeerNetwork::call(
    const base::Address& address, const std::string& method, const json& body, base::TimePoint deadline)
{
    auto link = m_impl->isClosed ? nullptr : m_impl->linkTo(address);
    if (!link || !link->isOpen())
        return { PeerError::NotSent, {} };
    return link->call(method, body, deadline);
}

void PeerNetwork::close()
{
    m_impl->isClosed = true;
    ErrorCode ignored;
    m_impl->acceptor.close(ignored);
    for (auto& [address, dial] : m_impl->dials) {
        if (dial.link)
            dial.link->close();
    }
    for (auto& weak : m_impl->accepted) {
        if (auto link = weak.lock())
            link->close();
    }
}

uint64_t PeerNetwork::bytesSent() const
{
    return m_impl->totals.bytesSent;
}
uint64_t PeerNetwork::bytesReceived() const
{
    return m_impl->totals.bytesReceived;
}
size_t PeerNetwork::connectionCount() const
{
    return m_impl->dials.size();
}

} // namespace rattanshunt::net

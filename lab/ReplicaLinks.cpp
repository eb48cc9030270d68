#include "ReplicaLinks.h"

namespace rattanshunt::lab {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {
    constexpr int queuedConnections = 3; // more than a backlog of 0 holds
}

ReplicaLinks::ReplicaLinks(net::Loop& loop)
    : m_loop(loop)
    , m_fullListener(loop.io())
    , m_closedPort(loop.io())
{
    net::ErrorCode ignored;
    Tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    m_fullListener.open(any.protocol(), ignored);
    m_fullListener.bind(any, ignored);
    m_fullListener.listen(0, ignored);
    for (int i = 0; i < queuedConnections; ++i) {
        m_queued.emplace_back(loop.io());
        m_queued.back().async_connect(m_fullListener.local_endpoint(), [](net::ErrorCode) {});
    }
    m_closedPort.open(any.protocol(), ignored);
    m_closedPort.bind(any, ignored);
}

base::Address ReplicaLinks::dialAddress(const base::Address& replica)
{
    if (m_cut == LinkCut::Hang)
        return { "127.0.0.1", m_fullListener.local_endpoint().port() };
    if (m_cut != LinkCut::None)
        return { "127.0.0.1", m_closedPort.local_endpoint().port() };
    auto& proxy = m_proxies[base::formatAddress(replica)];
    if (!proxy) {
        proxy = std::make_unique<FaultProxy>(m_loop, replica);
        std::string error;
        proxy->listen(error);
    }
    return proxy->address();
}

void ReplicaLinks::setCut(LinkCut cut)
{
    m_cut = cut;
    for (auto& [address, proxy] : m_proxies)
        proxy->setMode(cut == LinkCut::Hang ? ProxyMode::Stall
                : cut == LinkCut::Reset     ? ProxyMode::Reset
                                            : ProxyMode::Pass);
}

void ReplicaLinks::stop()
{
    net::ErrorCode ignored;
    m_fullListener.close(ignored);
    m_closedPort.close(ignored);
    for (auto& socket : m_queued)
        socket.close(ignored);
    for (auto& [address, proxy] : m_proxies)
        proxy->stop();
}

} // namespace rattanshunt::lab

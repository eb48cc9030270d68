#include "endpoints/ConnectionPool.h"

namespace rattanshunt::endpoints {

namespace {
    constexpr size_t maxIdlePerEndpoint = 64;
    constexpr base::Seconds maxIdleTime { 20 }; // shorter than the idle timeout of typical endpoints
}

ConnectionPool::ConnectionPool(net::Loop& loop)
    : m_loop(loop)
{
}

std::unique_ptr<net::HttpConnection> ConnectionPool::acquire(const base::Address& address)
{
    auto found = m_idleConnections.find(base::formatAddress(address));
    base::TimePoint oldestUsable = base::Clock::now() - maxIdleTime;
    while (found != m_idleConnections.end() && !found->second.empty()) {
        IdleConnection idle = std::move(found->second.back());
        found->second.pop_back();
        if (idle.idleSince < oldestUsable) {
            // The remaining connections have been idle for even longer.
            found->second.clear();
            break;
        }
        if (idle.connection->isReusable())
            return std::move(idle.connection);
    }
    return net::HttpConnection::create(m_loop, address);
}

void ConnectionPool::release(std::unique_ptr<net::HttpConnection> connection)
{
    if (!connection->isReusable())
        return;
    auto& list = m_idleConnections[base::formatAddress(connection->address())];
    if (list.size() < maxIdlePerEndpoint)
        list.push_back({ std::move(connection), base::Clock::now() });
}

size_t ConnectionPool::idleCount() const
{
    size_t count = 0;
    for (auto& [address, list] : m_idleConnections)
        count += list.size();
    return count;
}

} // namespace rattanshunt::endpoints

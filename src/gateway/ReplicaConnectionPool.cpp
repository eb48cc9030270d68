#include "gateway/ReplicaConnectionPool.h"

#include <algorithm>

#include "base/Counters.h"

namespace rattanshunt::gateway {

ReplicaConnectionPool::ReplicaConnectionPool(net::Loop& loop, ReplicaConnectionOptions options)
    : m_loop(loop)
    , m_options(options)
{
}

std::unique_ptr<net::HttpConnection> ReplicaConnectionPool::acquire(const base::Address& address, RetryClass retryClass)
{
    auto& idle = m_idleConnections[base::formatAddress(address)];
    base::BootTime now = base::BootClock::now();
    while (!idle.empty()) {
        IdleConnection last = std::move(idle.back());
        idle.pop_back();
        if (now >= last.expiresAt || !last.connection->isReusable())
            continue;
        if (retryClass == RetryClass::AtMostOnce && now - last.idleSince > m_options.maxIdleTimeAtMostOnce) {
            // All others have been idle for longer.
            idle.push_back(std::move(last));
            break;
        }
        return std::move(last.connection);
    }
    base::counterAdd("replica_connections_opened_total");
    return net::HttpConnection::create(m_loop, address, m_options.receiveBufferBytes);
}

bool ReplicaConnectionPool::hasIdle(const base::Address& address, RetryClass retryClass) const
{
    auto found = m_idleConnections.find(base::formatAddress(address));
    if (found == m_idleConnections.end() || found->second.empty())
        return false;
    const IdleConnection& last = found->second.back();
    base::BootTime now = base::BootClock::now();
    return now < last.expiresAt && last.connection->isReusable()
        && (retryClass != RetryClass::AtMostOnce || now - last.idleSince <= m_options.maxIdleTimeAtMostOnce);
}

void ReplicaConnectionPool::release(
    std::unique_ptr<net::HttpConnection> connection, std::optional<base::Seconds> idleTimeout)
{
    if (!connection->isReusable())
        return;
    base::Duration limit = m_options.maxIdleTime;
    if (idleTimeout)
        limit = std::min<base::Duration>(limit, *idleTimeout - m_options.idleTimeoutMargin);
    if (limit <= base::Duration(0))
        return;
    auto& idle = m_idleConnections[base::formatAddress(connection->address())];
    if (idle.size() >= m_options.maxIdlePerReplica)
        return;
    base::BootTime now = base::BootClock::now();
    idle.push_back({ std::move(connection), now, now + limit });
}

void ReplicaConnectionPool::closeIdle(const base::Address& address)
{
    m_idleConnections.erase(base::formatAddress(address));
}

void ReplicaConnectionPool::closeExpired()
{
    base::BootTime now = base::BootClock::now();
    for (auto& [address, idle] : m_idleConnections)
        std::erase_if(
            idle, [&](IdleConnection& entry) { return now >= entry.expiresAt || !entry.connection->isReusable(); });
    std::erase_if(m_idleConnections, [](auto& item) { return item.second.empty(); });
}

} // namespace rattanshunt::gateway

#include "gateway/ReplicaConnectionPool.h"

#include <algorithm>

#include "base/Counters.h"

namespace rattanshunt::gateway {

ReplicaConnectionPool::ReplicaConnectionPool(net::Loop& loop, ReplicaConnectionOptions options)
    : m_loop(loop)
    , m_options(options)
{
}

std::unique_ptr<net::HttpConnection> ReplicaConnectionPool::acquire(const base::Address& address, RetryClass repeat)
{
    auto& kept = m_idleConnections[base::formatAddress(address)];
    base::BootTime now = base::BootClock::now();
    while (!kept.empty()) {
        IdleConnection last = std::move(kept.back());
        kept.pop_back();
        if (now >= last.expiresAt || !last.connection->isReusable())
            continue;
        if (repeat == RetryClass::AtMostOnce && now - last.idleSince > m_options.maxIdleTimeAtMostOnce) {
            // The others have been idle for longer still.
            kept.push_back(std::move(last));
            break;
        }
        return std::move(last.connection);
    }
    base::counterAdd("replica_connections_opened_total");
    return net::HttpConnection::create(m_loop, address);
}

bool ReplicaConnectionPool::hasIdle(const base::Address& address, RetryClass repeat) const
{
    auto found = m_idleConnections.find(base::formatAddress(address));
    if (found == m_idleConnections.end() || found->second.empty())
        return false;
    const IdleConnection& last = found->second.back();
    base::BootTime now = base::BootClock::now();
    return now < last.expiresAt && last.connection->isReusable()
        && (repeat != RetryClass::AtMostOnce || now - last.idleSince <= m_options.maxIdleTimeAtMostOnce);
}

void ReplicaConnectionPool::release(
    std::unique_ptr<net::HttpConnection> connection, std::optional<base::Seconds> idleLimit)
{
    if (!connection->isReusable())
        return;
    base::Duration limit = m_options.maxIdleTime;
    if (idleLimit)
        limit = std::min<base::Duration>(limit, *idleLimit - m_options.idleTimeoutMargin);
    if (limit <= base::Duration(0))
        return;
    auto& kept = m_idleConnections[base::formatAddress(connection->address())];
    if (kept.size() >= m_options.maxIdlePerReplica)
        return;
    base::BootTime now = base::BootClock::now();
    kept.push_back({ std::move(connection), now, now + limit });
}

void ReplicaConnectionPool::closeIdle(const base::Address& address)
{
    m_idleConnections.erase(base::formatAddress(address));
}

void ReplicaConnectionPool::closeExpired()
{
    base::BootTime now = base::BootClock::now();
    for (auto& [address, kept] : m_idleConnections)
        std::erase_if(
            kept, [&](IdleConnection& each) { return now >= each.expiresAt || !each.connection->isReusable(); });
    std::erase_if(m_idleConnections, [](auto& item) { return item.second.empty(); });
}

} // namespace rattanshunt::gateway

#include "net/ConnectionPool.h"

#include <algorithm>

#include "base/Counters.h"

namespace rattanshunt::net {

ConnectionPool::ConnectionPool(Loop& loop, ConnectionPoolOptions options)
    : m_loop(loop)
    , m_options(options)
{
}

bool ConnectionPool::isUsable(const IdleConnection& idle, base::BootTime now)
{
    return now < idle.expiresAt && idle.pooled.connection->isReusable();
}

bool ConnectionPool::isRecentEnough(const IdleConnection& idle, bool isAtMostOnce, base::BootTime now) const
{
    return !isAtMostOnce || now - idle.idleSince <= m_options.maxIdleTimeAtMostOnce;
}

PooledConnection ConnectionPool::acquire(const base::Address& address, const ConnectionRequest& request)
{
    auto& idle = m_idleConnections[base::formatAddress(address)];
    base::BootTime now = base::BootClock::now();
    for (size_t i = idle.size(); i-- > 0;) {
        auto entry = idle.begin() + static_cast<std::ptrdiff_t>(i);
        if (!isUsable(*entry, now)) {
            idle.erase(entry);
        } else if (!request.id.empty() && isRecentEnough(*entry, request.isAtMostOnce, now)
            && !answeredContains(entry->pooled.answered, request.id)) {
            PooledConnection pooled = std::move(entry->pooled);
            idle.erase(entry);
            return pooled;
        }
    }
    base::counterAdd("replica_connections_opened_total");
    return { HttpConnection::create(m_loop, address, m_options.connect), {} };
}

bool ConnectionPool::hasIdle(const base::Address& address, bool isAtMostOnce) const
{
    auto found = m_idleConnections.find(base::formatAddress(address));
    base::BootTime now = base::BootClock::now();
    return found != m_idleConnections.end()
        && std::any_of(found->second.rbegin(), found->second.rend(),
            [&](const auto& entry) { return isRecentEnough(entry, isAtMostOnce, now) && isUsable(entry, now); });
}

void ConnectionPool::release(
    PooledConnection pooled, std::string_view answeredId, std::optional<base::Seconds> idleTimeout)
{
    answeredAdd(pooled.answered, answeredId);
    if (answeredIsFull(pooled.answered) || !pooled.connection->isReusable())
        return;
    base::Duration limit = m_options.maxIdleTime;
    if (idleTimeout)
        limit = std::min<base::Duration>(limit, *idleTimeout - m_options.idleTimeoutMargin);
    keep(std::move(pooled), limit);
}

void ConnectionPool::add(std::unique_ptr<HttpConnection> connection)
{
    keep({ std::move(connection), {} }, m_options.maxIdleTimeAtMostOnce);
}

void ConnectionPool::keep(PooledConnection pooled, base::Duration limit)
{
    if (limit <= base::Duration(0))
        return;
    auto& idle = m_idleConnections[base::formatAddress(pooled.connection->address())];
    if (idle.size() >= m_options.maxIdlePerAddress)
        return;
    base::BootTime now = base::BootClock::now();
    idle.push_back({ std::move(pooled), now, now + limit });
}

void ConnectionPool::closeIdle(const base::Address& address)
{
    m_idleConnections.erase(base::formatAddress(address));
}

void ConnectionPool::closeExpired()
{
    base::BootTime now = base::BootClock::now();
    for (auto& [address, idle] : m_idleConnections)
        std::erase_if(idle, [&](const IdleConnection& entry) { return !isUsable(entry, now); });
    std::erase_if(m_idleConnections, [](auto& item) { return item.second.empty(); });
}

} // namespace rattanshunt::net

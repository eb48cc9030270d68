#include "gateway/ReplicaConnectionPool.h"

#include <algorithm>

#include "base/Counters.h"

namespace rattanshunt::gateway {

Channels::Channels(net::Loop& loop, ChannelOptions options)
    : m_loop(loop)
    , m_options(options)
{
}

std::unique_ptr<net::HttpConnection> Channels::take(const base::Address& address, RepeatKind repeat)
{
    auto& kept = m_kept[base::formatAddress(address)];
    base::BootTime now = base::BootClock::now();
    while (!kept.empty()) {
        Kept last = std::move(kept.back());
        kept.pop_back();
        if (now >= last.until || !last.connection->isReusable())
            continue;
        if (repeat == RepeatKind::Once && now - last.since > m_options.onceIdleMost) {
            // The others have been idle for longer still.
            kept.push_back(std::move(last));
            break;
        }
        return std::move(last.connection);
    }
    base::counterAdd("replica_connections_opened_total");
    return net::HttpConnection::create(m_loop, address);
}

bool Channels::hasIdle(const base::Address& address, RepeatKind repeat) const
{
    auto found = m_kept.find(base::formatAddress(address));
    if (found == m_kept.end() || found->second.empty())
        return false;
    const Kept& last = found->second.back();
    base::BootTime now = base::BootClock::now();
    return now < last.until && last.connection->isReusable()
        && (repeat != RepeatKind::Once || now - last.since <= m_options.onceIdleMost);
}

void Channels::giveBack(std::unique_ptr<net::HttpConnection> connection, std::optional<base::Seconds> idleLimit)
{
    if (!connection->isReusable())
        return;
    base::Duration limit = m_options.idleMost;
    if (idleLimit)
        limit = std::min<base::Duration>(limit, *idleLimit - m_options.idleMargin);
    if (limit <= base::Duration(0))
        return;
    auto& kept = m_kept[base::formatAddress(connection->address())];
    if (kept.size() >= m_options.idleEach)
        return;
    base::BootTime now = base::BootClock::now();
    kept.push_back({ std::move(connection), now, now + limit });
}

void Channels::forget(const base::Address& address)
{
    m_kept.erase(base::formatAddress(address));
}

void Channels::sweep()
{
    base::BootTime now = base::BootClock::now();
    for (auto& [address, kept] : m_kept)
        std::erase_if(kept, [&](Kept& each) { return now >= each.until || !each.connection->isReusable(); });
    std::erase_if(m_kept, [](auto& item) { return item.second.empty(); });
}

} // namespace rattanshunt::gateway

#include "net/MemoryAccount.h"

#include <algorithm>

#include "base/Counters.h"

namespace rattanshunt::net {

namespace {

    constexpr size_t megabyte = 1024 * 1024;

    // Least memory of a process with its code, the configuration and the directory of a large fleet, before any
    // request.
    constexpr size_t leastReservedBytes = 40 * megabyte;

    constexpr size_t trimBytes = 8 * megabyte; // freed since the last trim, that make another one worth its time
    constexpr base::Seconds trimInterval { 1 };

} // namespace

size_t memoryReservedBytes(size_t totalBytes)
{
    return std::max(leastReservedBytes, totalBytes / 8 * 3);
}

size_t memoryLeastBytes(size_t maxBodyBytes)
{
    // A quarter of the account is for small requests.
    return leastReservedBytes + (maxBodyBytes + connectionBytes) / 3 * 4;
}

MemoryPlan memoryPlan(size_t totalBytes, size_t maxDescriptors)
{
    MemoryPlan plan;
    if (maxDescriptors)
        plan.maxConnections
            = std::min(plan.maxConnections, (maxDescriptors - std::min(maxDescriptors, reservedDescriptors)) / 3 * 2);
    if (!totalBytes)
        return plan;
    plan.limitBytes = totalBytes - std::min(totalBytes, memoryReservedBytes(totalBytes));
    plan.smallOnlyBytes = plan.limitBytes / 4;
    // The system takes twice the size that is set. A body of 18 KB fits into the receive buffer of the smallest
    // machine.
    plan.receiveBufferBytes = std::clamp<size_t>(totalBytes / 4096, 16384, 262144);
    plan.sendBufferBytes = plan.receiveBufferBytes / 2;
    plan.maxConnections = std::min(plan.maxConnections, plan.limitBytes / 2 / connectionBytes);
    return plan;
}

bool memoryMayTake(const MemoryPlan& plan, size_t usedBytes, size_t held, size_t more)
{
    if (!plan.limitBytes)
        return true;
    bool isSmall = held + more <= smallRequestBytes;
    return usedBytes + more <= plan.limitBytes - (isSmall ? 0 : plan.smallOnlyBytes);
}

std::optional<uint64_t> memoryFindStalled(const std::map<uint64_t, MemoryHolding>& holders, base::TimePoint now)
{
    std::optional<uint64_t> found;
    double largest = 0;
    for (const auto& [id, holding] : holders) {
        if (!holding.idleSince || now - *holding.idleSince < stallTime || holding.bytes <= smallRequestBytes)
            continue;
        double product = static_cast<double>(holding.bytes) * base::secondsOf(now - *holding.idleSince);
        if (product > largest) {
            largest = product;
            found = id;
        }
    }
    return found;
}

void MemoryAccount::closeStalled(base::TimePoint now)
{
    if (now - m_closedAt < memoryPollInterval)
        return;
    m_closedAt = now;
    auto id = memoryFindStalled(m_watched, now);
    if (!id)
        return;
    base::counterAdd("memory_stalled_closed_total");
    m_watched.erase(*id);
    m_closeHandlers.extract(*id).mapped()();
}

bool MemoryAccount::takeTrimRequest(base::TimePoint now)
{
    if (!isLimited() || m_peakBytes < m_usedBytes + trimBytes || now - m_trimmedAt < trimInterval)
        return false;
    m_trimmedAt = now;
    m_peakBytes = m_usedBytes;
    return true;
}

bool MemoryUse::resize(size_t bytes)
{
    if (m_account && bytes > m_bytes
        && !memoryMayTake(m_account->m_plan, m_account->m_usedBytes, m_bytes, bytes - m_bytes))
        return false;
    set(bytes);
    return true;
}

void MemoryUse::set(size_t bytes)
{
    if (!m_account)
        return;
    m_account->m_usedBytes += bytes - m_bytes;
    m_account->m_peakBytes = std::max(m_account->m_peakBytes, m_account->m_usedBytes);
    m_bytes = bytes;
}

MemoryWatch::MemoryWatch(MemoryAccount* account, size_t bytes, std::function<void()> close)
    : m_account(account)
{
    if (!account || !account->isLimited())
        return;
    m_id = ++account->m_lastId;
    account->m_watched[m_id] = { bytes, base::Clock::now() };
    account->m_closeHandlers[m_id] = std::move(close);
}

MemoryWatch::~MemoryWatch()
{
    if (!m_id)
        return;
    m_account->m_watched.erase(m_id);
    m_account->m_closeHandlers.erase(m_id);
}

MemoryHolding* MemoryWatch::find()
{
    if (!m_id)
        return nullptr;
    auto watched = m_account->m_watched.find(m_id);
    return watched == m_account->m_watched.end() ? nullptr : &watched->second;
}

void MemoryWatch::setBytes(size_t bytes)
{
    if (MemoryHolding* holding = find())
        holding->bytes = bytes;
}

void MemoryWatch::recordProgress(base::TimePoint now)
{
    if (MemoryHolding* holding = find())
        holding->idleSince = now;
}

void MemoryWatch::pause()
{
    if (MemoryHolding* holding = find())
        holding->idleSince.reset();
}

} // namespace rattanshunt::net

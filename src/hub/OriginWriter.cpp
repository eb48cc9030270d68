#include "hub/OriginWriter.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;

namespace {
    constexpr size_t maxWritesPerCall = 8; // segments; a call of the store takes 32 items
    constexpr size_t maxDeletesPerCall = 24;
}

OriginWriter::OriginWriter(net::Loop& loop, coordination::Kv& kv, const std::string& incarnation)
    : m_loop(loop)
    , m_kv(kv)
    , m_prefix(originSegmentPrefix + incarnation + "/")
{
}

void OriginWriter::add(streams::StreamKey key, const streams::StreamOrigin& origin)
{
    for (uint64_t number : streams::segmentsExpire(m_segments, origin.recordedAt))
        m_expired.push_back(number);
    streams::segmentsAdd(m_segments, key, origin);
    wake();
}

void OriginWriter::setConditions(bool areVersionsMixed, size_t members)
{
    m_areVersionsMixed = areVersionsMixed;
    m_members = members;
    wake();
}

void OriginWriter::seeStoreEra(int64_t era)
{
    if (!streams::segmentsSeeEra(m_segments, era))
        return;
    // The store may give the lease's identifier to another daemon.
    m_lease = 0;
    base::counterAdd("stream_origins_forgotten_total");
    base::logEvent(base::LogLevel::Info, "stream.origins_forgotten", { { "era", era } });
    wake();
}

void OriginWriter::forgetWritten()
{
    streams::segmentsForget(m_segments);
    m_lease = 0;
    wake();
}

void OriginWriter::stop()
{
    m_isStopped = true;
}

void OriginWriter::wake()
{
    bool hasWork = std::any_of(m_segments.segments.begin(), m_segments.segments.end(), streams::segmentIsUnwritten);
    if (m_isWriting || m_isStopped || !m_areVersionsMixed || !hasWork)
        return;
    m_isWriting = true;
    m_loop.spawn([this] {
        writeAll();
        m_isWriting = false;
    });
}

void OriginWriter::writeAll()
{
    while (!m_isStopped && m_areVersionsMixed) {
        base::Duration pause = m_writtenAt + streams::originWriteInterval(m_members, m_refusals) - BootClock::now();
        if (pause > base::Duration(0))
            net::sleepFor(pause);
        if (m_isStopped || !write())
            return;
    }
}

// Returns false if there was nothing to write. Suspends.
bool OriginWriter::write()
{
    BootTime now = BootClock::now();
    m_writtenAt = now;
    for (uint64_t number : streams::segmentsExpire(m_segments, now))
        m_expired.push_back(number);
    std::vector<coordination::KvWrite> writes;
    streams::WrittenCounts counts;
    for (const streams::OriginSegment& segment : m_segments.segments) {
        if (!streams::segmentIsUnwritten(segment) || writes.size() >= maxWritesPerCall)
            continue;
        writes.push_back({ keyOf(segment.number), streams::segmentText(segment), 0 });
        counts.emplace_back(segment.number, segment.count);
    }
    if (writes.empty())
        return false;
    if (!ensureLease(now)) {
        ++m_refusals;
        return true;
    }
    for (coordination::KvWrite& item : writes)
        item.lease = m_lease;
    size_t deleteCount = std::min(m_expired.size(), maxDeletesPerCall);
    for (size_t i = 0; i < deleteCount; ++i)
        writes.push_back({ keyOf(m_expired[i]), std::nullopt, 0 });
    uint64_t losses = m_segments.losses;
    coordination::KvTxnResult result = m_kv.txn({}, writes);
    seeStoreEra(m_kv.era());
    base::counterAddLabelled("stream_origin_writes_total", "end", result.isApplied ? "applied" : "failed");
    if (!result.isApplied) {
        base::logEvent(base::LogLevel::Warning, "stream.origins_unwritten",
            { { "segments", counts.size() }, { "refusals", m_refusals + 1 } });
        // Without an error the store does not know the lease, and with it all that was written is gone.
        if (result.error == coordination::KvError::None)
            forgetWritten();
        else
            ++m_refusals;
        // The call may take effect later, and would replace what is written by then.
        if (result.error == coordination::KvError::OutcomeUnknown)
            renumber(counts);
        return true;
    }
    m_refusals = 0;
    m_expired.erase(m_expired.begin(), m_expired.begin() + static_cast<std::ptrdiff_t>(deleteCount));
    streams::segmentsRecordWritten(m_segments, counts, losses);
    return true;
}

// Gives segments other keys.
void OriginWriter::renumber(const streams::WrittenCounts& counts)
{
    for (streams::OriginSegment& segment : m_segments.segments) {
        auto isSame = [&](const auto& item) { return item.first == segment.number; };
        if (std::none_of(counts.begin(), counts.end(), isSame))
            continue;
        m_expired.push_back(segment.number);
        segment.number = ++m_segments.lastNumber;
        segment.writtenCount = 0;
    }
}

// Suspends.
bool OriginWriter::ensureLease(BootTime now)
{
    if (m_lease && now - m_leaseRenewedAt < originLeaseRenewal)
        return true;
    if (m_lease) {
        coordination::KvLeaseResult renewed = m_kv.leaseRenew(m_lease);
        seeStoreEra(m_kv.era());
        if (renewed.error != coordination::KvError::None)
            return false;
        if (m_lease && renewed.lease) {
            m_leaseRenewedAt = now;
            return true;
        }
        if (m_lease)
            forgetWritten();
    }
    uint64_t losses = m_segments.losses;
    coordination::KvLeaseResult granted = m_kv.leaseGrant(originLeaseTime);
    seeStoreEra(m_kv.era());
    if (granted.error != coordination::KvError::None || !granted.lease) {
        base::logEvent(base::LogLevel::Warning, "stream.lease_refused", {});
        return false;
    }
    // Granted in an era that has ended, perhaps.
    if (m_segments.losses != losses)
        return false;
    m_lease = granted.lease;
    m_leaseRenewedAt = now;
    return true;
}

std::string OriginWriter::keyOf(uint64_t number) const
{
    return fmt::format("{}{}", m_prefix, number);
}

} // namespace rattanshunt::hub

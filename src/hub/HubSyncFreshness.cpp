// The age of the directory: how it was last confirmed, and reads of the store that requests cause. What replicas say of
// themselves.
#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using directory::DirectoryAgeStep;

const char* directorySourceName(DirectorySource source)
{
    switch (source) {
    case DirectorySource::Store:
        return "store";
    case DirectorySource::Hub:
        return "hub";
    case DirectorySource::Member:
        return "member";
    }
    return "store";
}

// Call after the directory was brought up to date from data that was current at `asOf`.
void HubSync::confirmDirectory(BootTime asOf, DirectorySource source)
{
    if (asOf <= m_freshAsOf)
        return;
    m_freshAsOf = asOf;
    m_directorySource = source;
}

bool HubSync::directoryIsTooOld(base::Millis maxAge)
{
    DirectoryAgeStep step
        = directory::directoryAgeDecide(m_options.directoryAge, m_refresh, m_freshAsOf, maxAge, BootClock::now());
    if (step == DirectoryAgeStep::UseAndRefresh || step == DirectoryAgeStep::BeginAndAwait)
        beginRefresh();
    bool isTooOld = step == DirectoryAgeStep::AwaitRefresh || step == DirectoryAgeStep::BeginAndAwait;
    m_refresh.isAwaited = m_refresh.isAwaited || isTooOld;
    return isTooOld;
}

void HubSync::recordStatement(
    const std::string& replica, int64_t startedAtMillis, const directory::ReplicaStatement& statement)
{
    BootTime now = BootClock::now();
    if (statement.isQuietUnreadable) {
        base::counterAdd("replica_quiet_unreadable_total");
        base::logEvent(LogLevel::Warning, "replica.quiet_unreadable", { { "replica", replica } });
    }
    if (statement.coldFor && coldServiceOf(replica)) {
        uint64_t before = m_cold.ledger.version;
        bool isBegun = limits::coldRecord(m_cold.ledger, replica, startedAtMillis, *statement.coldFor, now, now);
        if (isBegun)
            logCold(replica, "response");
        if (m_cold.ledger.version != before)
            notifySubscribers();
    }
    bool wasLeaving = directory::noticeIsLeaving(m_notices, replica, startedAtMillis);
    if (!directory::noticeRecord(m_notices, replica, startedAtMillis, statement, now))
        return;
    if (statement.isLeaving && !wasLeaving)
        base::logEvent(LogLevel::Info, "replica.leaving", { { "replica", replica }, { "start", startedAtMillis } });
    if (statement.quietFor)
        base::logEvent(LogLevel::Info, "replica.quiet",
            { { "replica", replica }, { "start", startedAtMillis }, { "for_ms", statement.quietFor->count() } });
    directory::noticesPrune(
        m_notices, [this](const std::string& id) { return m_directory.replicas.contains(id); }, now);
}

// Reads the store in a fiber of its own: the main one may wait for a hub that does not answer.
void HubSync::beginRefresh()
{
    if (m_isStopping)
        return;
    BootTime begunAt = BootClock::now();
    m_refresh.isUnderWay = true;
    m_refresh.begunAt = begunAt;
    base::counterAdd("directory_refreshes_total");
    base::logEvent(LogLevel::Info, "directory.refresh",
        { { "age_ms", ageMillis(begunAt, m_freshAsOf) }, { "source", directorySourceName(m_directorySource) } });
    m_loop.spawn([this] {
        if (!readStore())
            base::counterAdd("directory_refreshes_failed_total");
    });
}

} // namespace rattanshunt::hub

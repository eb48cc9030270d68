// The record of usage in the store, in class HubSync.
#include <fmt/format.h>

#include "base/Json.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

// What the record lists. One of another era of the store is not used: a copy may lack accounts that were listed later.
// Suspends.
void HubSync::readUsageRecord(quota::HubQuota& hubQuota, int64_t era)
{
    coordination::KvRangeResult read = m_kv.get(usageKey);
    m_quota.isUsageRecordRead = read.error == coordination::KvError::None;
    if (!m_quota.isUsageRecordRead)
        return quota::usageRecordUnread(hubQuota);
    Json json = base::jsonTryParse(read.entries.empty() ? "" : read.entries[0].value);
    if (!json.is_object() || !json.contains("era") || !json.contains("above") || !json.at("above").is_array()
        || base::jsonInteger(json.at("era")) != era)
        return quota::usageRecordMissing(hubQuota);
    std::set<std::string> listed;
    for (const Json& account : json.at("above")) {
        if (!account.is_string())
            return quota::usageRecordMissing(hubQuota);
        listed.insert(account.get<std::string>());
    }
    quota::usageRecordTakeOver(hubQuota, listed);
}

// Writes the record when the accounts that it should list have changed. Only while this daemon's hub record stands.
// Suspends.
void HubSync::storeUsageRecord()
{
    if (!m_options.quotaReservations)
        return;
    BootTime now = BootClock::now();
    int64_t lease = m_term.lease;
    auto hasTermEnded = [&] { return m_term.lease != lease || termIsOver(m_term, BootClock::now()); };
    if (!m_quota.isUsageRecordRead && !hasTermEnded())
        readUsageRecord(m_quota.hub, coordination::revisionEra(m_term.fencingToken));
    if (!m_configuration || hasTermEnded() || !m_quota.isUsageRecordRead
        || !quota::mayBeginRecord(m_quota.hub, m_options.quotaWindow, now)
        || now - m_quota.usageRecordSentAt < usageRecordInterval)
        return;
    std::map<std::string, quota::AccountLimit> limits;
    for (const auto& [name, account] : m_configuration->accounts) {
        if (account.rate > 0)
            limits[name] = limitOf(account);
    }
    std::set<std::string> listed = quota::accountsToList(m_quota.hub, limits, now);
    if (limits.empty() || (m_quota.isUsageRecordStored && listed == m_quota.hub.listed))
        return;
    m_quota.usageRecordSentAt = now;
    m_quota.isUsageRecordStored = false;
    quota::usageRecordSent(m_quota.hub, listed);
    Json record { { "above", listed }, { "era", coordination::revisionEra(m_term.fencingToken) } };
    auto written = m_kv.txn({ { hubKey, m_term.fencingToken } }, { { usageKey, record.dump(), 0 } });
    if (written.error != coordination::KvError::None || !written.isApplied || hasTermEnded())
        return;
    quota::usageRecordStored(m_quota.hub, listed);
    m_quota.isUsageRecordStored = true;
    base::logEvent(
        LogLevel::Info, "quota.usage_recorded", { { "accounts", fmt::format("{}", fmt::join(listed, ",")) } });
}

} // namespace rattanshunt::hub

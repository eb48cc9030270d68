// The hub's term: election, lease, and the record of who orders.
#include <fmt/format.h>

#include "base/Json.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

namespace {

    std::optional<OrdererRecord> readOrdererRecord(const std::vector<coordination::KvEntry>& entries)
    {
        if (entries.empty())
            return std::nullopt;
        Json json = base::jsonTryParse(entries[0].value);
        // Earlier versions of this program wrote the name alone.
        if (!json.is_object() || !json.contains("name") || !json.at("name").is_string())
            return OrdererRecord { entries[0].value, 0 };
        auto era = json.contains("era") ? base::jsonInteger(json.at("era")) : std::nullopt;
        return OrdererRecord { json.at("name").get<std::string>(), era.value_or(0) };
    }

} // namespace

// ---- The hub -----------------------------------------------------------------------------------

void HubSync::campaign()
{
    BootTime now = BootClock::now();
    if (m_term.isHeld || m_isStopping || m_hasLeftElection || !m_storeIsReachable
        || now - m_lastReadAt > m_options.directReadInterval)
        return;
    // It could give no order and read no report.
    if (m_hasLostReplicas && now - m_hubMissingSince < lostCampaignDelay)
        return;
    // A record of this process outside a term of it is one that the store's copy brought back.
    bool isFromCopy = m_storeEra && coordination::revisionEra(m_term.fencingToken) != *m_storeEra;
    bool isOwnPreviousRecord = m_hubRecord && m_hubRecord->name == m_options.name
        && (m_hubRecord->incarnation != m_incarnation || (m_term.fencingToken && isFromCopy));
    if (m_hubRecord && !isOwnPreviousRecord)
        return;
    if (!isOwnPreviousRecord) {
        double randomFraction
            = static_cast<double>(base::stableHash(m_options.name, base::stableHash(m_incarnation)) % 1000) / 1000;
        net::sleepFor(campaignDelay(m_options.electionPriority, randomFraction));
        auto current = m_kv.get(hubKey);
        if (current.error != coordination::KvError::None || !current.entries.empty() || m_isStopping
            || m_hasLeftElection)
            return;
    }
    BootTime requestedAt = BootClock::now();
    auto granted = m_kv.leaseGrant(m_options.leaseTtl);
    int64_t era = m_kv.era();
    if (granted.error != coordination::KvError::None)
        return;
    Json record { { "name", m_options.name }, { "address", base::formatAddress(m_options.peerAddress) },
        { "start", m_incarnation } };
    // A previous incarnation of this daemon issued the last orders and has ended, so its record may be replaced before
    // the lease expires.
    int64_t expected = isOwnPreviousRecord ? m_hubRecord->modRevision : 0;
    auto written = m_kv.txn({ { hubKey, expected } }, { { hubKey, record.dump(), granted.lease } });
    // A lease of an earlier era is gone, and its identifier may have been given to another daemon.
    bool isRestored = m_kv.era() != era;
    if (written.error != coordination::KvError::None || !written.isApplied || isRestored) {
        base::logEvent(LogLevel::Info, "hub.not_elected",
            { { "why",
                isRestored                                         ? "the store was restored"
                    : written.error == coordination::KvError::None ? "another daemon was first"
                                                                   : "no answer" } });
        return;
    }
    // No earlier hub writes the record from now on.
    quota::HubQuota hubQuota;
    if (m_options.quotaReservations)
        readUsageRecord(hubQuota, coordination::revisionEra(written.revision));
    becomeHub(granted.lease, requestedAt, written.revision, std::move(hubQuota));
}

void HubSync::becomeHub(int64_t lease, BootTime requestedAt, int64_t revision, quota::HubQuota hubQuota)
{
    m_term = termBegin(lease, revision, requestedAt, BootClock::now(), m_options.leaseTtl);
    m_members.clear();
    m_quota.hub = std::move(hubQuota);
    m_quota.isUsageRecordStored = false;
    m_quota.reservations.accounts.clear();
    m_quota.shortAccounts.clear();
    m_quota.hub.electedAt = m_term.electedAt;
    m_quota.hub.reachableMemberFraction = 1.0 / static_cast<double>(std::max<size_t>(1, m_memberCount));
    m_quota.hub.initialFraction = quota::successorInitialFraction;
    m_quota.hub.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
    if (BootClock::now() - m_quota.local.lastHubContactAt < memberTimeout)
        m_quota.hub.wasLowUsageByAccount = m_quota.local.isLowUsageByAccount;
    base::logEvent(LogLevel::Info, "hub.elected", { { "fencing_token", revision }, { "lease", lease } });
    m_loop.spawn([this] { renewLoop(); });
    takeOverParts(BootClock::now());
    m_limits.schedules.clear();
    m_spill.demand.clear();
    m_spill.running.clear();
    m_streams.storedAt = {};

    auto orderer = m_kv.get(ordererKey);
    auto secret = m_kv.get(secretKey);
    if (!m_term.isHeld)
        return;
    if (secret.error == coordination::KvError::None && secret.entries.empty()) {
        // The one that the daemons use already, if the store was restored from a copy without it.
        std::string created = m_secret.empty() ? base::hexEncode(base::randomBytes(secretBytes)) : m_secret;
        if (m_kv.txn({ { secretKey, 0 } }, { { secretKey, created, 0 } }).isApplied)
            ensurePeerNetwork(created);
    }
    BootTime now = BootClock::now();
    PreviousOrderer previous = orderer.error != coordination::KvError::None
        ? PreviousOrderer::Unknown
        : previousOrderer(readOrdererRecord(orderer.entries), m_options.name,
            coordination::revisionEra(m_term.fencingToken), m_hasSeenRestore);
    if (previous == PreviousOrderer::Nobody) {
        m_quota.hub.initialFraction = 1;
        m_quota.hub.electedAt = {};
        m_quota.hub.reachableMemberFraction = 1;
    }
    for (const auto& [account, tokens] : quota::localQuotaTakeUnreported(m_quota.local))
        chargeUngranted(account, tokens);
    m_term.ordersAllowedAt = termOrdersAllowedAt(previous, now, m_options.orderHandoverDelay);
    m_term.isOrdererRecorded = previous == PreviousOrderer::Self;
    if (!m_term.isOrdererRecorded)
        m_loop.spawn([this] { recordOrderer(); });
}

// Records this daemon as the orderer, as soon as no order of a previous hub can be under way.
void HubSync::recordOrderer()
{
    int64_t lease = m_term.lease;
    auto hasTermEnded = [&] { return !m_term.isHeld || m_term.lease != lease; };
    Json record { { "name", m_options.name }, { "era", coordination::revisionEra(m_term.fencingToken) } };
    net::sleepFor(m_term.ordersAllowedAt - BootClock::now());
    while (!hasTermEnded()) {
        auto known = m_kv.get(ordererKey);
        if (known.error == coordination::KvError::None && !hasTermEnded()) {
            int64_t expected = known.entries.empty() ? 0 : known.entries[0].modRevision;
            // Conditional on this daemon's hub record: a successor may already be issuing orders.
            auto written = m_kv.txn(
                { { ordererKey, expected }, { hubKey, m_term.fencingToken } }, { { ordererKey, record.dump(), 0 } });
            if (hasTermEnded())
                return;
            if (written.isApplied) {
                m_term.isOrdererRecorded = true;
                return;
            }
        }
        net::sleepFor(recordRetryInterval);
    }
}

void HubSync::resign(const char* why)
{
    if (!m_term.isHeld)
        return;
    m_term.isHeld = false;
    m_hubRecord.reset();
    m_hubMissingSince = BootClock::now();
    // Until the next hub sends addresses.
    for (const auto& [name, member] : m_members) {
        if (!member.address.ip.empty())
            m_memberAddresses[name] = member.address;
    }
    base::logEvent(LogLevel::Warning, "hub.resigned", { { "why", why }, { "fencing_token", m_term.fencingToken } });
    m_wake.set();
}

void HubSync::setReplicasLost(bool isLost)
{
    m_hasLostReplicas = isLost;
    if (!isLost || !m_term.isHeld)
        return;
    int64_t lease = m_term.lease;
    resign("no replica is reached");
    m_loop.spawn([this, lease] { m_kv.leaseRevoke(lease); }); // if that fails, it expires
}

void HubSync::renewLoop()
{
    int64_t lease = m_term.lease;
    while (m_term.isHeld && m_term.lease == lease) {
        net::sleepFor(m_options.leaseTtl / 4);
        if (!m_term.isHeld || m_term.lease != lease)
            return;
        BootTime requestedAt = BootClock::now();
        auto renewed = m_kv.leaseRenew(lease);
        if (!m_term.isHeld || m_term.lease != lease)
            return;
        if (m_kv.era() != coordination::revisionEra(m_term.fencingToken))
            return resign("the store was restored");
        if (renewed.error == coordination::KvError::None && renewed.lease == lease)
            termRenewed(m_term, requestedAt, m_options.leaseTtl);
        else if (renewed.error == coordination::KvError::None)
            return resign("the lease has ended");
        if (termIsOver(m_term, BootClock::now()))
            return resign("the lease could not be renewed");
    }
}

} // namespace rattanshunt::hub

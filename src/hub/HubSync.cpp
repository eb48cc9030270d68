// Start and stop, the main fiber, and the data read from the store.
#include <cmath>

#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Json.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

namespace {

    constexpr size_t maxMembers = 100000; // that a record is believed to name

    size_t readMemberCount(const std::string& value)
    {
        Json json = base::jsonTryParse(value);
        auto count
            = json.is_object() && json.contains("members") ? base::jsonInteger(json.at("members")) : std::nullopt;
        return count ? std::min(static_cast<size_t>(*count), maxMembers) : 0;
    }

} // namespace

HubSync::HubSync(net::Loop& loop, HubSyncOptions options, const gateway::WireCodec& codec, coordination::Kv& kv)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_codec(codec)
    , m_kv(kv)
    , m_incarnation(base::randomId())
    , m_originWriter(loop, kv, m_incarnation)
{
}

HubSync::~HubSync() = default;

void HubSync::start()
{
    m_isRunning = true;
    m_loop.spawn([this] {
        run();
        m_isRunning = false;
    });
}

void HubSync::leaveElection()
{
    m_hasLeftElection = true;
    if (!m_term.isHeld)
        return;
    int64_t lease = m_term.lease;
    resign("stopping");
    m_kv.leaseRevoke(lease);
}

void HubSync::stop()
{
    leaveElection();
    m_isStopping = true;
    m_originWriter.stop();
    m_wake.set();
    while (m_isRunning || m_refresh.isUnderWay || m_streams.isReadingOrigins || m_streams.waitingForVersions
        || m_originWriter.isWriting())
        net::sleepFor(base::Millis(10));
    if (m_peers)
        m_peers->close();
}

void HubSync::subscribe(std::function<void()> onChange)
{
    m_subscribers.push_back(std::move(onChange));
}

void HubSync::setDemandSource(std::function<DemandTable()> source)
{
    m_demandSource = std::move(source);
}

void HubSync::setAwaitingModelCheck(std::function<bool()> isAwaiting)
{
    m_isAwaitingModel = std::move(isAwaiting);
}

void HubSync::setOnDemandReported(std::function<void()> onReported)
{
    m_onDemandReported = std::move(onReported);
}

void HubSync::notifySubscribers()
{
    for (auto& subscriber : m_subscribers)
        subscriber();
}

void HubSync::requestSync()
{
    m_wake.set();
}

size_t HubSync::memberCount() const
{
    size_t known = m_memberCount ? m_memberCount : m_options.assumedMemberCount;
    // Not all members have synced with a new hub yet.
    bool isNewHub = m_term.isHeld && BootClock::now() - m_term.electedAt < memberTimeout;
    return isNewHub ? std::max(known, m_members.size() + 1) : known;
}

bool HubSync::mayOrder(BootTime now) const
{
    return termMayOrder(m_term, now);
}

void HubSync::notifyPlacementChanged(const std::string& replica)
{
    auto found = m_directory.replicas.find(replica);
    if (found != m_directory.replicas.end())
        found->second.changeSequence = ++m_directory.changeSequence;
    notifySubscribers();
}

void HubSync::sleepUntilWoken(base::Duration duration)
{
    if (m_isStopping)
        return;
    m_wake.waitUntil(base::Clock::now() + duration);
    m_wake.reset();
}

void HubSync::run()
{
    while (!m_isStopping) {
        if (m_term.isHeld) {
            readStore();
            storeMemberCount();
            updateReachableMemberFraction();
            updateSpillPlan(BootClock::now());
            settleReservations();
            storeUsageRecord();
            advanceParts(BootClock::now());
            storeParts();
            storeStreams();
            net::sleepFor(m_options.hubReadInterval);
            continue;
        }
        bool isSynced
            = m_hubRecord && m_hubRecord->name != m_options.name && m_peers && syncWith(m_hubRecord->address, true);
        if (m_isHubReachable != isSynced)
            base::logEvent(LogLevel::Info, isSynced ? "hub.reached" : "hub.lost",
                { { "hub", m_hubRecord ? m_hubRecord->name : "" },
                    { "knowledge_age_ms", ageMillis(BootClock::now(), m_freshAsOf) } });
        m_isHubReachable = isSynced;
        if (isSynced && BootClock::now() - m_freshAsOf < m_options.maxHubDataAge) {
            sleepUntilWoken(
                m_isAwaitingModel && m_isAwaitingModel() ? m_options.modelWaitSyncInterval : currentSyncInterval());
            // A requested sync is made at once, but not more often than the interval allows.
            base::Duration since = BootClock::now() - m_lastSyncAt;
            if (since < m_options.urgentSyncInterval && !m_isStopping)
                net::sleepFor(m_options.urgentSyncInterval - since);
            continue;
        }
        bool hasRead = readStore();
        if (!hasRead && !isSynced)
            syncWithRandomMember();
        campaign();
        if (!m_term.isHeld && !m_isStopping && !hasUntriedHub()) {
            bool isStarting = hasRead && !m_hubRecord;
            net::sleepFor(isStarting                              ? startupReadInterval
                    : m_hubRecord && hasRead && !m_isHubReachable ? startupReadInterval * 2
                                                                  : m_options.directReadInterval);
        }
    }
}

// ---- The store ---------------------------------------------------------------------------------

// `requestedAt`: of the read that tells. Call before its data are applied.
void HubSync::updateStoreReachable(bool isReachable, BootTime requestedAt)
{
    BootTime now = BootClock::now();
    if (isReachable == m_storeIsReachable && m_hasReadStore)
        return;
    if (isReachable) {
        if (m_hasReadStore && directory::outageMayLapseEntries(m_freshAsOf, requestedAt, m_options.entryInterval))
            m_storeRecoveredAt = now;
        m_hasReadStore = true;
    }
    if (isReachable != m_storeIsReachable)
        base::logEvent(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "store.reached" : "store.lost",
            { { "knowledge_age_ms", m_freshAsOf == BootTime {} ? -1 : ageMillis(now, m_freshAsOf) } });
    m_storeIsReachable = isReachable;
}

void HubSync::logEntryFaults(const std::vector<directory::EntryFault>& faults)
{
    for (const directory::EntryFault& fault : faults)
        base::logEvent(LogLevel::Warning, "replica.entry_unreadable", { { "key", fault.key }, { "why", fault.fault } });
}

base::Duration HubSync::currentSyncInterval() const
{
    double fleetFactor = static_cast<double>(memberCount()) / static_cast<double>(m_options.maxMembersAtMinInterval);
    return std::clamp<base::Duration>(base::durationOf(base::secondsOf(m_options.minSyncInterval) * fleetFactor),
        m_options.minSyncInterval, m_options.maxSyncInterval);
}

// Returns all entries of the store, but for the origins of streams, from a linearizable read. A large configuration
// that is known already is left out and compared instead: a transaction without writes proves that it has not changed,
// or else returns it. All other keys sort after the configuration's key.
coordination::KvRangeResult HubSync::readStoreEntries()
{
    if (m_configurationValue.size() < largeConfigurationBytes)
        return m_kv.range("", coordination::kvPrefixEnd(originSegmentPrefix));
    auto compared = m_kv.txn({ { m_codec.configurationKey, m_configurationRevision } }, {});
    if (compared.error != coordination::KvError::None) {
        coordination::KvRangeResult failed;
        failed.error = compared.error;
        return failed;
    }
    coordination::KvRangeResult all = m_kv.range("", m_codec.configurationKey);
    for (coordination::KvEntry& entry : compared.current)
        all.entries.push_back(std::move(entry));
    return all;
}

bool HubSync::readStore()
{
    BootTime requestedAt = BootClock::now();
    m_refresh.isUnderWay = true;
    m_refresh.begunAt = requestedAt;
    coordination::KvRangeResult all = readStoreEntries();
    // If the process was suspended during the call, the answer is older than its arrival suggests. Its age therefore
    // counts from the request.
    updateStoreReachable(all.error == coordination::KvError::None, requestedAt);
    bool hasRead = all.error == coordination::KvError::None;
    if (hasRead)
        applyStoreEntries(all, requestedAt);
    m_refresh.isUnderWay = false;
    m_refresh.failedAt = hasRead ? BootTime {} : BootClock::now();
    // Those that wait go on also if it failed.
    if (std::exchange(m_refresh.isAwaited, false))
        notifySubscribers();
    return hasRead;
}

// A new era begins like the end of an outage: entries that the copy lacks are written again.
void HubSync::updateStoreEra(int64_t era, BootTime now)
{
    if (m_storeEra && *m_storeEra != era) {
        base::logEvent(LogLevel::Warning, "store.restored", { { "era", era }, { "before", *m_storeEra } });
        base::counterAdd("store_restores_total");
        m_storeRecoveredAt = now;
        m_hasSeenRestore = true;
    }
    m_storeEra = era;
    m_originWriter.seeStoreEra(era);
    if (m_term.isHeld && coordination::revisionEra(m_term.fencingToken) != era)
        resign("the store was restored");
}

// Nothing if the record cannot be read.
std::optional<HubRecord> HubSync::readHubRecord(const coordination::KvEntry& entry)
{
    try {
        Json json = base::jsonParse(entry.value);
        auto address = base::parseAddress(json.at("address").get<std::string>());
        if (!address)
            throw base::JsonFault("field \"address\" is not IP:PORT");
        return HubRecord { json.at("name").get<std::string>(), *address, json.at("start").get<std::string>(),
            entry.createRevision, entry.modRevision, entry.lease };
    } catch (const std::exception& error) {
        base::logEvent(LogLevel::Warning, "hub.record_unreadable", { { "why", error.what() } });
        return std::nullopt;
    }
}

void HubSync::applyStoreEntries(const coordination::KvRangeResult& all, BootTime requestedAt)
{
    int64_t era = coordination::revisionEra(all.revision);
    if (requestedAt < m_freshAsOf || (m_storeEra && era < *m_storeEra))
        return;
    updateStoreEra(era, BootClock::now());
    std::vector<directory::RawEntry> entries;
    std::optional<HubRecord> record;
    const coordination::KvEntry* parts = nullptr;
    std::set<std::string> evacuated;
    std::string secret;
    for (const coordination::KvEntry& entry : all.entries) {
        if (entry.key == m_codec.configurationKey)
            applyConfiguration(entry.value, entry.modRevision);
        else if (entry.key.starts_with(m_codec.entryPrefix))
            entries.push_back({ entry.key, entry.value, entry.modRevision });
        else if (entry.key.starts_with(m_codec.evacuationPrefix))
            evacuated.insert(entry.key.substr(m_codec.evacuationPrefix.size()));
        else if (entry.key == fleetKey) {
            m_storedMemberCount = readMemberCount(entry.value);
            if (!m_memberCount)
                m_memberCount = m_storedMemberCount;
        } else if (entry.key == secretKey)
            secret = entry.value;
        else if (entry.key == partsKey)
            parts = &entry;
        else if (entry.key == streamsKey)
            applyStoredStreams(entry, BootClock::now());
        else if (entry.key == hubKey)
            record = readHubRecord(entry);
    }
    uint64_t before = m_directory.changeSequence;
    BootTime now = BootClock::now();
    auto listedBefore = listedProcesses();
    bool mayBeLapsed = m_storeRecoveredAt != BootTime {} && now - m_storeRecoveredAt < directory::lapseGracePeriod;
    logEntryFaults(directory::directoryApplyList(m_directory, m_codec, entries, mayBeLapsed, all.revision));
    applyColdEntries(listedBefore, requestedAt);
    applyEvacuations(evacuated, requestedAt);
    confirmDirectory(requestedAt, DirectorySource::Store);
    recordEntryWrites(requestedAt);
    m_lastReadAt = requestedAt;
    applyStoredParts(parts, era, requestedAt);
    pruneCold(now);
    pruneLimits(now);
    seeVersions(now);
    if (!secret.empty())
        ensurePeerNetwork(secret);
    if (!record && m_hubRecord)
        m_hubMissingSince = now;
    if (m_hubRecord && record && record->incarnation != m_hubRecord->incarnation)
        base::logEvent(LogLevel::Info, "hub.changed", { { "hub", record->name }, { "before", m_hubRecord->name } });
    m_hubRecord = record;
    if (m_term.isHeld && (!record || record->incarnation != m_incarnation))
        resign("another hub holds the record");
    if (m_directory.changeSequence != before)
        notifySubscribers();
}

gateway::ConfigurationStamp HubSync::configurationStamp() const
{
    return { m_configuration ? m_configuration->version : 0, m_configurationRevision };
}

void HubSync::applyConfiguration(const std::string& value, int64_t revision)
{
    bool isSameEra = coordination::revisionEra(revision) == coordination::revisionEra(m_configurationRevision);
    if (revision == m_ignoredConfigurationRevision || (isSameEra && revision <= m_configurationRevision))
        return;
    base::TimePoint begunAt = base::Clock::now();
    std::string fault;
    auto configuration = m_codec.readConfiguration(value, fault);
    if (m_configuration && !isSameEra
        && (!configuration
            || !gateway::configurationIsNewer({ configuration->version, revision }, configurationStamp()))) {
        m_ignoredConfigurationRevision = revision;
        base::logEvent(LogLevel::Warning, "configuration.older_ignored",
            { { "version", configuration ? configuration->version : -1 }, { "revision", revision },
                { "in_force", m_configuration->version } });
        return;
    }
    m_configurationRevision = revision;
    m_configurationValue = value;
    m_configurationCompressed = base::compress(value);
    if (!configuration) {
        base::logEvent(LogLevel::Error, "configuration.unreadable", { { "revision", revision }, { "why", fault } });
        return;
    }
    base::logEvent(LogLevel::Info, "configuration.in_force",
        { { "version", configuration->version }, { "revision", revision }, { "routes", configuration->routes.size() },
            { "took_ms", base::millisOf(base::Clock::now() - begunAt) } });
    m_configuration = configuration;
    notifySubscribers();
}

void HubSync::ensurePeerNetwork(const std::string& secret)
{
    if (m_peers)
        return;
    m_secret = secret;
    net::PeerOptions options;
    options.name = m_options.name;
    options.secret = secret;
    m_peers = std::make_unique<net::PeerNetwork>(m_loop, options);
    m_peers->setTunnelHandler(m_tunnelHandler);
    std::string error;
    bool isListening = m_peers->listen(
        m_options.peerAddress,
        [this](const std::string& from, const std::string& method, const Json& body) {
            return handleCall(from, method, body);
        },
        error);
    if (!isListening)
        base::logEvent(LogLevel::Error, "peer.listen_failed",
            { { "address", base::formatAddress(m_options.peerAddress) }, { "why", error } });
}

} // namespace rattanshunt::hub

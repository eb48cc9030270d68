// Start and stop, the main fiber, and what is read from the store.
#include <cmath>

#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

Fabric::Fabric(net::Loop& loop, FabricOptions options, const gateway::Dialect& dialect, coordination::Kv& kv)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_dialect(dialect)
    , m_kv(kv)
    , m_start(base::randomId())
{
}

Fabric::~Fabric() = default;

void Fabric::start()
{
    m_isRunning = true;
    m_loop.spawn([this] {
        run();
        m_isRunning = false;
    });
}

void Fabric::retire()
{
    m_isRetired = true;
    if (!m_term.isHeld)
        return;
    int64_t lease = m_term.lease;
    resign("stopping");
    m_kv.leaseRevoke(lease);
}

void Fabric::stop()
{
    retire();
    m_isStopping = true;
    m_wake.set();
    while (m_isRunning)
        net::sleepFor(base::Millis(10));
    if (m_peers)
        m_peers->close();
}

void Fabric::subscribe(std::function<void()> onChange)
{
    m_subscribers.push_back(std::move(onChange));
}

void Fabric::setDemandSource(std::function<DemandTable()> source)
{
    m_demandSource = std::move(source);
}

void Fabric::setAwaitingModel(std::function<bool()> isAwaiting)
{
    m_isAwaitingModel = std::move(isAwaiting);
}

void Fabric::setOnDemand(std::function<void()> onDemand)
{
    m_onDemand = std::move(onDemand);
}

void Fabric::notify()
{
    for (auto& subscriber : m_subscribers)
        subscriber();
}

void Fabric::hurry()
{
    m_wake.set();
}

size_t Fabric::memberCount() const
{
    size_t known = m_memberCount ? m_memberCount : m_options.membersAssumed;
    // A new hub has not heard of all members yet.
    bool isNewHub = m_term.isHeld && BootClock::now() - m_term.since < memberSilence;
    return isNewHub ? std::max(known, m_members.size() + 1) : known;
}

bool Fabric::mayOrder(BootTime now) const
{
    return termMayOrder(m_term, now);
}

void Fabric::placementChanged(const std::string& replica)
{
    auto found = m_directory.replicas.find(replica);
    if (found != m_directory.replicas.end())
        found->second.stamp = ++m_directory.stamp;
    notify();
}

void Fabric::pause(base::Duration duration)
{
    if (m_isStopping)
        return;
    m_wake.waitUntil(base::Clock::now() + duration);
    m_wake.reset();
}

void Fabric::run()
{
    while (!m_isStopping) {
        if (m_term.isHeld) {
            readStore();
            storeMembers();
            noteHeard();
            net::sleepFor(m_options.readInterval);
            continue;
        }
        bool isSynced = m_hub && m_hub->name != m_options.name && m_peers && syncWith(m_hub->address, true);
        if (m_hubAnswers != isSynced)
            base::logEvent(LogLevel::Info, isSynced ? "hub.reached" : "hub.lost",
                { { "hub", m_hub ? m_hub->name : "" },
                    { "knowledge_age_ms", ageMillis(BootClock::now(), m_provenAt) } });
        m_hubAnswers = isSynced;
        if (isSynced && BootClock::now() - m_provenAt < m_options.staleAge) {
            pause(m_isAwaitingModel && m_isAwaitingModel() ? m_options.awaitInterval : syncPause());
            // News travel at once, but not more often than this.
            base::Duration since = BootClock::now() - m_lastSync;
            if (since < m_options.urgentInterval && !m_isStopping)
                net::sleepFor(m_options.urgentInterval - since);
            continue;
        }
        bool hasRead = readStore();
        if (!hasRead && !isSynced)
            askAnybody();
        campaign();
        if (!m_term.isHeld && !m_isStopping) {
            bool isStarting = hasRead && !m_hub;
            net::sleepFor(isStarting                    ? startInterval
                    : m_hub && hasRead && !m_hubAnswers ? startInterval * 2
                                                        : m_options.directInterval);
        }
    }
}

// ---- The store ---------------------------------------------------------------------------------

void Fabric::noteStore(bool isReachable)
{
    BootTime now = BootClock::now();
    if (isReachable == m_storeIsReachable && m_hasReadStore)
        return;
    if (isReachable) {
        if (m_hasReadStore && now - m_storeFailedSince > outageLeast)
            m_storeBackAt = now;
        m_hasReadStore = true;
    } else
        m_storeFailedSince = now;
    if (isReachable != m_storeIsReachable)
        base::logEvent(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "store.reached" : "store.lost",
            { { "knowledge_age_ms", m_provenAt == BootTime {} ? -1 : ageMillis(now, m_provenAt) } });
    m_storeIsReachable = isReachable;
}

void Fabric::noteFaults(const std::vector<directory::EntryFault>& faults)
{
    for (const directory::EntryFault& fault : faults)
        base::logEvent(LogLevel::Warning, "replica.entry_unreadable", { { "key", fault.key }, { "why", fault.fault } });
}

base::Duration Fabric::syncPause() const
{
    double crowd = static_cast<double>(memberCount()) / static_cast<double>(m_options.syncMembers);
    return std::clamp<base::Duration>(base::durationOf(base::secondsOf(m_options.syncInterval) * crowd),
        m_options.syncInterval, m_options.syncIntervalMost);
}

// Everything in the store, in one linearizable read. A large configuration that is known already is not read again but
// compared: a transaction without writes proves that it has not changed.
coordination::KvRangeResult Fabric::readAll()
{
    if (m_configurationValue.size() < configurationLarge)
        return m_kv.range("");
    auto compared = m_kv.txn({ { m_dialect.configurationKey, m_configurationRevision } }, {});
    if (compared.error != coordination::KvError::None) {
        coordination::KvRangeResult failed;
        failed.error = compared.error;
        return failed;
    }
    coordination::KvRangeResult all = m_kv.range("", m_dialect.configurationKey);
    for (coordination::KvEntry& entry : compared.current)
        all.entries.push_back(std::move(entry));
    return all;
}

bool Fabric::readStore()
{
    BootTime askedAt = BootClock::now();
    coordination::KvRangeResult all = readAll();
    // A freeze during the call makes the answer older than the proof says; the age counts from the question.
    noteStore(all.error == coordination::KvError::None);
    if (all.error != coordination::KvError::None)
        return false;
    takeRecords(all, askedAt);
    return true;
}

void Fabric::takeRecords(const coordination::KvRangeResult& all, BootTime askedAt)
{
    if (askedAt < m_provenAt)
        return;
    std::vector<directory::RawEntry> entries;
    std::optional<HubRecord> hub;
    std::string secret;
    for (const coordination::KvEntry& entry : all.entries) {
        if (entry.key == m_dialect.configurationKey)
            takeConfiguration(entry.value, entry.modRevision);
        else if (entry.key.starts_with(m_dialect.entryPrefix))
            entries.push_back({ entry.key, entry.value, entry.modRevision });
        else if (entry.key == fleetKey) {
            Json json = Json::parse(entry.value, nullptr, false);
            m_membersStored = json.is_object() ? json.value("members", size_t(0)) : 0;
            if (!m_memberCount)
                m_memberCount = m_membersStored;
        } else if (entry.key == secretKey)
            secret = entry.value;
        else if (entry.key == hubKey) {
            Json json = Json::parse(entry.value, nullptr, false);
            auto address = json.is_object() ? base::parseAddress(json.value("address", "")) : std::nullopt;
            if (address)
                hub = HubRecord { json.value("name", ""), *address, json.value("start", ""), entry.createRevision,
                    entry.modRevision, entry.lease };
        }
    }
    uint64_t before = m_directory.stamp;
    BootTime now = BootClock::now();
    bool mayBeLapsed = m_storeBackAt != BootTime {} && now - m_storeBackAt < directory::lapseGrace;
    noteFaults(directory::directoryApplyList(m_directory, m_dialect, entries, mayBeLapsed));
    m_provenAt = provenByRead(m_provenAt, askedAt);
    m_lastRead = askedAt;
    if (!secret.empty())
        ensurePeers(secret);
    if (!hub && m_hub)
        m_hubMissingSince = now;
    if (m_hub && hub && hub->start != m_hub->start)
        base::logEvent(LogLevel::Info, "hub.changed", { { "hub", hub->name }, { "before", m_hub->name } });
    m_hub = hub;
    if (m_term.isHeld && (!hub || hub->start != m_start))
        resign("another hub holds the record");
    if (m_directory.stamp != before)
        notify();
}

void Fabric::takeConfiguration(const std::string& value, int64_t revision)
{
    if (revision <= m_configurationRevision)
        return;
    m_configurationRevision = revision;
    m_configurationValue = value;
    m_configurationPacked = base::compress(value);
    std::string fault;
    auto configuration = m_dialect.readConfiguration(value, fault);
    if (!configuration) {
        base::logEvent(LogLevel::Error, "configuration.unreadable", { { "revision", revision }, { "why", fault } });
        return;
    }
    base::logEvent(LogLevel::Info, "configuration.in_force",
        { { "version", configuration->version }, { "revision", revision },
            { "routes", configuration->routes.size() } });
    m_configuration = configuration;
    notify();
}

void Fabric::ensurePeers(const std::string& secret)
{
    if (m_peers)
        return;
    net::PeerOptions options;
    options.name = m_options.name;
    options.secret = secret;
    m_peers = std::make_unique<net::PeerNetwork>(m_loop, options);
    std::string error;
    bool isListening = m_peers->listen(
        m_options.peerAddress,
        [this](const std::string& from, const std::string& method, const Json& body) {
            return answer(from, method, body);
        },
        error);
    if (!isListening)
        base::logEvent(LogLevel::Error, "peer.listen_failed",
            { { "address", base::formatAddress(m_options.peerAddress) }, { "why", error } });
}

} // namespace rattanshunt::hub

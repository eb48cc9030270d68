#include "fabric/Fabric.h"

#include <cmath>

#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::fabric {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

namespace {

    constexpr const char* hubKey = "rs/hub";
    constexpr const char* ordererKey = "rs/orderer";
    constexpr const char* fleetKey = "rs/fleet";
    constexpr const char* secretKey = "rs/secret";
    constexpr size_t secretBytes = 16;

    constexpr base::Millis campaignSpread { 700 };   // over which candidates wait for a stronger one
    constexpr base::Millis startInterval { 200 };    // between two reads while there is no hub yet
    constexpr base::Millis memberSilence { 3000 };   // after which the hub no longer counts a member
    constexpr base::Millis leaseMargin { 250 };      // before the lease's end, from which on nothing is ordered
    constexpr base::Millis outageLeast { 300 };      // failures of the store shorter than this let nothing lapse
    constexpr size_t configurationLarge = 48 * 1024; // bytes from which on a known configuration is not read again
    constexpr base::Millis grantWait { 150 };        // for the hub to grant usage
    constexpr base::Millis ratesInterval { 1500 };   // between two reports of rates, which change slowly
    constexpr double membersStep = 0.2;              // part by which the number of members must change to be stored
    constexpr double grantAhead = 2;                 // requests of this size that one grant covers

    int64_t ageMillis(BootTime now, BootTime then)
    {
        return std::chrono::duration_cast<base::Millis>(now - then).count();
    }

} // namespace

Fabric::Fabric(net::Loop& loop, FabricOptions options, const gateway::Dialect& dialect, platform::Kv& kv)
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
    if (!m_isHub)
        return;
    int64_t lease = m_lease;
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
    bool isNewHub = m_isHub && BootClock::now() - m_hubSince < memberSilence;
    return isNewHub ? std::max(known, m_members.size() + 1) : known;
}

bool Fabric::mayOrder(BootTime now) const
{
    return m_isHub && now >= m_ordersFrom && now < m_leaseUntil - leaseMargin;
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
        if (m_isHub) {
            readStore();
            storeMembers();
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
        if (!m_isHub && !m_isStopping) {
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
platform::KvRangeResult Fabric::readAll()
{
    if (m_configurationValue.size() < configurationLarge)
        return m_kv.range("");
    auto compared = m_kv.txn({ { m_dialect.configurationKey, m_configurationRevision } }, {});
    if (compared.error != platform::KvError::None) {
        platform::KvRangeResult failed;
        failed.error = compared.error;
        return failed;
    }
    platform::KvRangeResult all = m_kv.range("", m_dialect.configurationKey);
    for (platform::KvEntry& entry : compared.current)
        all.entries.push_back(std::move(entry));
    return all;
}

bool Fabric::readStore()
{
    BootTime askedAt = BootClock::now();
    platform::KvRangeResult all = readAll();
    // A freeze during the call makes the answer older than the proof says; the age counts from the question.
    noteStore(all.error == platform::KvError::None);
    if (all.error != platform::KvError::None)
        return false;
    takeRecords(all, askedAt);
    return true;
}

void Fabric::takeRecords(const platform::KvRangeResult& all, BootTime askedAt)
{
    if (askedAt < m_provenAt)
        return;
    std::vector<directory::RawEntry> entries;
    std::optional<HubRecord> hub;
    std::string secret;
    for (const platform::KvEntry& entry : all.entries) {
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
    m_provenAt = askedAt;
    m_lastRead = askedAt;
    if (!secret.empty())
        ensurePeers(secret);
    if (!hub && m_hub)
        m_hubMissingSince = now;
    if (m_hub && hub && hub->start != m_hub->start)
        base::logEvent(LogLevel::Info, "hub.changed", { { "hub", hub->name }, { "before", m_hub->name } });
    m_hub = hub;
    if (m_isHub && (!hub || hub->start != m_start))
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

// ---- The hub -----------------------------------------------------------------------------------

void Fabric::campaign()
{
    BootTime now = BootClock::now();
    if (m_isHub || m_isStopping || m_isRetired || !m_storeIsReachable || now - m_lastRead > m_options.directInterval)
        return;
    bool isOwnOld = m_hub && m_hub->name == m_options.name && m_hub->start != m_start;
    if (m_hub && !isOwnOld)
        return;
    if (!isOwnOld) {
        double luck = static_cast<double>(base::stableHash(m_options.name, base::stableHash(m_start)) % 1000) / 1000;
        double weakness = 1 - std::clamp(m_options.strength, 0.0, 1.0);
        double part = luck * (0.3 + 0.7 * weakness) + (weakness > 0.8 ? 0.3 : 0);
        auto wait = base::durationOf(base::secondsOf(campaignSpread) * part);
        net::sleepFor(wait);
        auto current = m_kv.get(hubKey);
        if (current.error != platform::KvError::None || !current.entries.empty() || m_isStopping || m_isRetired)
            return;
    }
    BootTime askedAt = BootClock::now();
    auto granted = m_kv.leaseGrant(m_options.leaseTime);
    if (granted.error != platform::KvError::None)
        return;
    Json record { { "name", m_options.name }, { "address", base::formatAddress(m_options.peerAddress) },
        { "start", m_start } };
    // The former start of this daemon gave the last orders, so its record may be replaced before its lease ends.
    int64_t expected = isOwnOld ? m_hub->modRevision : 0;
    auto written = m_kv.txn({ { hubKey, expected } }, { { hubKey, record.dump(), granted.lease } });
    if (written.error != platform::KvError::None || !written.isApplied) {
        base::logEvent(LogLevel::Info, "hub.not_elected",
            { { "why", written.error == platform::KvError::None ? "another daemon was first" : "no answer" } });
        return;
    }
    becomeHub(granted.lease, askedAt, written.revision);
}

void Fabric::becomeHub(int64_t lease, BootTime askedAt, int64_t revision)
{
    m_isHub = true;
    m_hubSince = BootClock::now();
    m_lease = lease;
    m_leaseUntil = askedAt + m_options.leaseTime;
    m_fencingToken = revision;
    m_members.clear();
    m_grantBook = {};
    m_grantBook.startPart = quota::successorStartPart;
    m_grantBook.calmStartPart = quota::successorCalmPart;
    if (BootClock::now() - m_grants.hubWordAt < memberSilence)
        m_grantBook.wasCalm = m_grants.calm;
    m_ordersFrom = BootTime::max();
    base::logEvent(LogLevel::Info, "hub.elected", { { "fencing_token", revision }, { "lease", lease } });
    m_loop.spawn([this] { renewLoop(); });

    auto orderer = m_kv.get(ordererKey);
    auto secret = m_kv.get(secretKey);
    if (!m_isHub)
        return;
    if (secret.error == platform::KvError::None && secret.entries.empty()) {
        std::string fresh = base::hexEncode(base::randomBytes(secretBytes));
        if (m_kv.txn({ { secretKey, 0 } }, { { secretKey, fresh, 0 } }).isApplied)
            ensurePeers(fresh);
    }
    BootTime now = BootClock::now();
    bool isKnown = orderer.error == platform::KvError::None;
    bool isFirst = isKnown && orderer.entries.empty();
    bool wasSelf = isKnown && !orderer.entries.empty() && orderer.entries[0].value == m_options.name;
    if (!wasSelf) {
        int64_t expected = isFirst || !isKnown ? 0 : orderer.entries[0].modRevision;
        auto written = m_kv.txn({ { ordererKey, expected } }, { { ordererKey, m_options.name, 0 } });
        if (!written.isApplied) {
            // Without this record the next hub would not know whose orders to wait for.
            int64_t ended = m_lease;
            resign("the orderer's record was not written");
            m_kv.leaseRevoke(ended);
            return;
        }
    }
    if (isFirst)
        m_grantBook.startPart = 1;
    for (auto& [account, share] : m_grants.shares)
        chargeSpent(account, std::exchange(share.spent, 0));
    m_ordersFrom = isFirst || wasSelf ? now : now + m_options.orderGap;
}

// Keeps the number of members in the store, for daemons that start without a hub.
void Fabric::storeMembers()
{
    BootTime now = BootClock::now();
    if (!m_isHub || now - m_hubSince < memberSilence || now >= m_leaseUntil)
        return;
    double known = static_cast<double>(m_membersStored);
    double change = std::abs(static_cast<double>(m_memberCount) - known);
    if (m_memberCount == 0 || change <= membersStep * known)
        return;
    m_kv.txn({}, { { fleetKey, Json { { "members", m_memberCount } }.dump(), 0 } });
}

void Fabric::resign(const char* why)
{
    if (!m_isHub)
        return;
    m_isHub = false;
    m_hub.reset();
    m_leaseUntil = {};
    base::logEvent(LogLevel::Warning, "hub.resigned", { { "why", why }, { "fencing_token", m_fencingToken } });
    m_wake.set();
}

void Fabric::renewLoop()
{
    int64_t lease = m_lease;
    while (m_isHub && m_lease == lease) {
        net::sleepFor(m_options.leaseTime / 4);
        if (!m_isHub || m_lease != lease)
            return;
        BootTime askedAt = BootClock::now();
        auto renewed = m_kv.leaseRenew(lease);
        if (!m_isHub || m_lease != lease)
            return;
        if (renewed.error == platform::KvError::None && renewed.lease == lease)
            m_leaseUntil = std::max(m_leaseUntil, askedAt + m_options.leaseTime);
        else if (renewed.error == platform::KvError::None)
            return resign("the lease has ended");
        if (BootClock::now() >= m_leaseUntil)
            return resign("the lease could not be renewed");
    }
}

Json Fabric::answer(const std::string& from, const std::string& method, const Json& body)
{
    if (method == "sync" && body.is_object()) {
        try {
            return answerSync(from, body);
        } catch (const std::exception& error) {
            base::logEvent(LogLevel::Warning, "peer.call_unreadable", { { "peer", from }, { "why", error.what() } });
            return Json(Json::value_t::discarded);
        }
    }
    if (method == "grant" && body.is_object()) {
        BootTime now = BootClock::now();
        if (!m_isHub || now >= m_leaseUntil || !m_configuration)
            return Json { { "hub", false } };
        auto account = m_configuration->accounts.find(body.value("account", ""));
        if (account == m_configuration->accounts.end())
            return Json { { "hub", true }, { "tokens", 0.0 } };
        quota::AccountLimit limit = limitOf(account->second);
        double need = body.value("need", 0.0);
        double tokens = 0;
        for (double wanted : { need * grantAhead, need }) {
            if (tokens == 0 && quota::bookTake(m_grantBook, account->first, limit, wanted, now))
                tokens = wanted;
        }
        return Json { { "hub", true }, { "tokens", tokens } };
    }
    return Json(Json::value_t::discarded);
}

void Fabric::takeDemand(HubMember& member, const Json& body, BootTime now)
{
    member.lastSeen = now;
    auto keyOf = [](const Json& row) {
        return DemandKey { row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<std::string>() };
    };
    if (body.contains("rates")) {
        member.demand.clear();
        for (const Json& row : body.at("rates"))
            member.demand[keyOf(row)].rate = row.at(3).get<double>();
    }
    for (auto& [key, demand] : member.demand)
        demand.waiting = demand.worth = demand.reading = demand.running = 0;
    if (body.contains("waiting")) {
        for (const Json& row : body.at("waiting")) {
            Demand& demand = member.demand[keyOf(row)];
            demand.waiting = row.at(3).get<double>();
            demand.worth = row.at(4).get<double>();
            demand.reading = row.at(5).get<double>();
            demand.running = row.at(6).get<double>();
        }
    }
}

Json Fabric::answerSync(const std::string& from, const Json& body)
{
    BootTime now = BootClock::now();
    if (m_isHub && now < m_leaseUntil) {
        auto address = base::parseAddress(body.value("address", ""));
        HubMember& member = m_members[from];
        if (address)
            member.address = *address;
        takeDemand(member, body, now);
        Json unused = body.value("unused", Json::object());
        for (auto& [account, tokens] : unused.items())
            quota::bookGiveBack(m_grantBook, account, tokens.get<double>());
        Json spent = body.value("spent", Json::object());
        for (auto& [account, tokens] : spent.items())
            chargeSpent(account, tokens.get<double>());
        std::erase_if(m_members, [&](auto& item) { return now - item.second.lastSeen > memberSilence; });
        if (now - m_hubSince >= memberSilence)
            m_memberCount = m_members.size() + 1;
    }
    if (m_isHub && body.contains("waiting") && m_onDemand)
        m_onDemand();
    return describe(body, now);
}

// What this daemon knows that the asker does not.
Json Fabric::describe(const Json& asked, BootTime now)
{
    Json reply { { "start", m_start }, { "hub", m_isHub && now < m_leaseUntil }, { "stamp", m_directory.stamp },
        { "members", memberCount() } };
    if (m_provenAt == BootTime {})
        return reply;
    reply["age_us"] = std::chrono::duration_cast<base::Micros>(now - m_provenAt).count();
    if (asked.value("configuration", int64_t(0)) < m_configurationRevision) {
        reply["configuration"] = m_configurationRevision;
        reply["configuration_value"] = Json::binary({ m_configurationPacked.begin(), m_configurationPacked.end() });
    }
    if (m_isHub && m_configuration) {
        Json calm = Json::object();
        for (const auto& [name, account] : m_configuration->accounts) {
            if (account.rate > 0)
                calm[name] = quota::bookIsCalm(m_grantBook, name, limitOf(account), now);
        }
        reply["calm"] = std::move(calm);
    }
    if (m_hub && !m_isHub)
        reply["hub_address"] = base::formatAddress(m_hub->address);
    bool isSame = asked.value("start", "") == m_start;
    uint64_t since = isSame ? asked.value("stamp", uint64_t(0)) : 0;
    reply["whole"] = !isSame;
    Json entries = Json::array();
    Json placed = Json::array();
    Json loads = Json::array();
    for (const auto& [id, replica] : m_directory.replicas) {
        if (replica.stamp > since) {
            auto raw = m_directory.raw.find(m_dialect.entryPrefix + id);
            if (raw != m_directory.raw.end())
                entries.push_back({ raw->first, raw->second.value, raw->second.revision });
            Json models = Json::array();
            for (const gateway::HeldModel& held : directory::replicaModels(replica))
                models.push_back({ held.name, held.adapters });
            Json coming = Json::array();
            for (const directory::ComingModel& model : replica.coming)
                coming.push_back({ model.model, ageMillis(model.readyAt, now), model.isSure });
            placed.push_back({ id, replica.entry.bornMillis, models, coming });
        }
        if (replica.hasReport)
            loads.push_back({ id, replica.entry.bornMillis, replica.report.running, replica.report.waiting,
                ageMillis(now, replica.reportAt) });
    }
    reply["entries"] = std::move(entries);
    reply["placed"] = std::move(placed);
    reply["loads"] = std::move(loads);
    Json outlook = Json::array();
    for (const auto& [key, readyAt] : m_outlook)
        outlook.push_back({ key.first, key.second, ageMillis(readyAt, now) });
    reply["outlook"] = std::move(outlook);
    Json removed = Json::array();
    for (const auto& [id, stamp] : m_directory.removed) {
        if (stamp > since)
            removed.push_back(id);
    }
    reply["removed"] = std::move(removed);
    if (m_isHub && asked.value("members", size_t(0)) != memberCount()) {
        Json addresses = Json::object();
        for (const auto& [name, member] : m_members)
            addresses[name] = base::formatAddress(member.address);
        reply["addresses"] = std::move(addresses);
    }
    return reply;
}

DemandTable Fabric::collectDemand(BootTime now)
{
    DemandTable table;
    if (m_demandSource)
        table = m_demandSource();
    for (const auto& [name, member] : m_members) {
        if (now - member.lastSeen > memberSilence)
            continue;
        for (const auto& [key, demand] : member.demand) {
            table[key].waiting += demand.waiting;
            table[key].worth += demand.worth;
            table[key].reading += demand.reading;
            table[key].running += demand.running;
            table[key].rate += demand.rate;
        }
    }
    return table;
}

// ---- A member ----------------------------------------------------------------------------------

Json Fabric::syncBody()
{
    BootTime now = BootClock::now();
    Json body { { "address", base::formatAddress(m_options.peerAddress) }, { "start", m_hubStart },
        { "stamp", m_hubStamp }, { "configuration", m_configurationRevision },
        { "members", m_memberAddresses.empty() ? 0 : m_memberCount } };
    if (!m_demandSource)
        return body;
    Json waiting = Json::array();
    Json rates = Json::array();
    for (const auto& [key, row] : m_demandSource()) {
        if (row.waiting > 0 || row.running > 0)
            waiting.push_back(
                { key.service, key.model, key.adapter, row.waiting, row.worth, row.reading, row.running });
        if (row.rate > 0)
            rates.push_back({ key.service, key.model, key.adapter, row.rate });
    }
    if (!waiting.empty())
        body["waiting"] = std::move(waiting);
    if (now - m_ratesSentAt >= ratesInterval) {
        body["rates"] = std::move(rates);
        m_ratesSentAt = now;
    }
    return body;
}

bool Fabric::syncWith(const base::Address& address, bool isHub)
{
    BootTime askedAt = BootClock::now();
    m_lastSync = askedAt;
    Json body = isHub ? syncBody() : Json { { "configuration", m_configurationRevision } };
    if (isHub) {
        Json unused = Json::object();
        for (auto& [account, share] : m_grants.shares) {
            // A grant that has not been spent since the last call goes back.
            if (share.granted > 0)
                unused[account] = std::exchange(share.granted, 0);
        }
        if (!unused.empty())
            body["unused"] = std::move(unused);
        Json spent = Json::object();
        for (auto& [account, share] : m_grants.shares) {
            if (share.spent > 0)
                spent[account] = std::exchange(share.spent, 0);
        }
        if (!spent.empty())
            body["spent"] = std::move(spent);
    }
    net::PeerResult result = m_peers->call(address, "sync", body, base::Clock::now() + m_options.syncTime);
    if (result.error != net::PeerError::None || !result.body.is_object())
        return false;
    try {
        if (isHub && !result.body.value("hub", false))
            return false;
        takeSync(result.body, askedAt, isHub);
    } catch (const std::exception& error) {
        base::logEvent(LogLevel::Warning, "peer.answer_unreadable",
            { { "peer", base::formatAddress(address) }, { "why", error.what() } });
        return false;
    }
    return true;
}

void Fabric::takeSync(const Json& body, BootTime askedAt, bool isHub)
{
    if (!body.contains("age_us"))
        return;
    BootTime provenAt = askedAt - base::Micros(body.at("age_us").get<int64_t>());
    if (body.contains("configuration_value")) {
        const auto& bytes = body.at("configuration_value").get_binary();
        auto value = base::decompress({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
        if (!value)
            throw std::runtime_error("the configuration is not compressed as expected");
        takeConfiguration(*value, body.at("configuration").get<int64_t>());
    }
    uint64_t before = m_directory.stamp;
    // Older knowledge must not bring back replicas that have gone since.
    bool isNewer = provenAt >= m_provenAt;
    if (isNewer || isHub) {
        std::vector<directory::RawEntry> entries;
        std::set<std::string> present;
        for (const Json& row : body.at("entries")) {
            entries.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<int64_t>() });
            present.insert(entries.back().key);
        }
        std::vector<std::string> removed;
        if (isNewer) {
            removed = body.at("removed").get<std::vector<std::string>>();
            if (body.at("whole").get<bool>()) {
                for (const auto& [id, replica] : m_directory.replicas) {
                    if (!present.contains(m_dialect.entryPrefix + id))
                        removed.push_back(id);
                }
            }
        }
        noteFaults(directory::directoryApplyChanges(m_directory, m_dialect, entries, removed));
    }
    for (const Json& row : body.at("placed")) {
        auto found = m_directory.replicas.find(row.at(0).get<std::string>());
        if (found == m_directory.replicas.end() || found->second.entry.bornMillis != row.at(1).get<int64_t>())
            continue;
        std::vector<gateway::HeldModel> models;
        for (const Json& model : row.at(2))
            models.push_back({ model.at(0).get<std::string>(), model.at(1).get<std::vector<std::string>>() });
        found->second.placed = std::move(models);
        found->second.coming.clear();
        for (const Json& coming : row.at(3))
            found->second.coming.push_back({ coming.at(0).get<std::string>(),
                askedAt + base::Millis(coming.at(1).get<int64_t>()), coming.at(2).get<bool>() });
        found->second.stamp = ++m_directory.stamp;
    }
    for (const Json& row : body.at("loads")) {
        auto found = m_directory.replicas.find(row.at(0).get<std::string>());
        if (found == m_directory.replicas.end() || found->second.entry.bornMillis != row.at(1).get<int64_t>())
            continue;
        gateway::ReplicaReport report;
        report.bornMillis = row.at(1).get<int64_t>();
        report.running = row.at(2).get<double>();
        report.waiting = row.at(3).get<double>();
        report.models = directory::replicaModels(found->second);
        directory::directoryApplyReport(
            m_directory, row.at(0).get<std::string>(), report, askedAt - base::Millis(row.at(4).get<int64_t>()));
    }
    m_outlook.clear();
    for (const Json& row : body.at("outlook"))
        m_outlook[{ row.at(0).get<std::string>(), row.at(1).get<std::string>() }]
            = askedAt + base::Millis(row.at(2).get<int64_t>());
    if (isHub) {
        if (m_hubStart != body.at("start").get<std::string>())
            m_ratesSentAt = {}; // a new hub knows no rates
        m_hubStart = body.at("start").get<std::string>();
        m_hubStamp = body.at("stamp").get<uint64_t>();
        m_memberCount = body.at("members").get<size_t>();
        m_grants.calm.clear();
        for (auto& [account, isCalm] : body.at("calm").items())
            m_grants.calm[account] = isCalm.get<bool>();
        m_grants.hubWordAt = askedAt;
        if (body.contains("addresses")) {
            m_memberAddresses.clear();
            for (auto& [name, address] : body.at("addresses").items()) {
                if (auto parsed = base::parseAddress(address.get<std::string>()))
                    m_memberAddresses[name] = *parsed;
            }
        }
    } else if (body.contains("hub_address") && !m_storeIsReachable) {
        if (auto address = base::parseAddress(body.at("hub_address").get<std::string>()))
            m_hub = HubRecord { "", *address, "", 0, 0, 0 };
    }
    m_provenAt = std::max(m_provenAt, provenAt);
    if (m_directory.stamp != before)
        notify();
}

// For a daemon that reaches neither the store nor the hub: any other may know more.
bool Fabric::askAnybody()
{
    if (!m_peers || m_memberAddresses.empty())
        return false;
    size_t skip = base::stableHash(base::randomBytes(4)) % m_memberAddresses.size();
    auto chosen = std::next(m_memberAddresses.begin(), static_cast<std::ptrdiff_t>(skip));
    if (chosen->first == m_options.name)
        return false;
    return syncWith(chosen->second, false);
}

// ---- Usage -------------------------------------------------------------------------------------

bool Fabric::quotaTake(const gateway::Account& account, double tokens)
{
    if (account.rate <= 0)
        return true;
    BootTime now = BootClock::now();
    quota::AccountLimit limit = limitOf(account);
    if (m_isHub && now < m_leaseUntil)
        return quota::bookTake(m_grantBook, account.name, limit, tokens, now);
    if (quota::grantSpend(m_grants, account.name, tokens))
        return true;
    if (m_hub && m_hubAnswers && m_peers) {
        net::PeerResult result = m_peers->call(m_hub->address, "grant",
            Json { { "account", account.name }, { "need", tokens } }, base::Clock::now() + grantWait);
        if (result.error == net::PeerError::None && result.body.is_object() && result.body.value("hub", false)) {
            double granted = result.body.value("tokens", 0.0);
            m_grants.shares[account.name].granted += granted;
            return quota::grantSpend(m_grants, account.name, tokens);
        }
    }
    base::counterAdd("quota_decided_alone_total");
    if (quota::grantSpendCalm(m_grants, account.name, limit, tokens, memberCount(), BootClock::now()))
        return true;
    double luck = static_cast<double>(base::stableHash(base::randomBytes(8)) % 10000) / 10000;
    return quota::grantSpendAlone(m_grants, account.name, limit, tokens, memberCount(), luck, BootClock::now());
}

quota::AccountLimit Fabric::limitOf(const gateway::Account& account) const
{
    return { account.rate, account.burst, m_options.quotaSlack };
}

// Counts what was let through without a hub.
void Fabric::chargeSpent(const std::string& account, double tokens)
{
    if (!m_configuration || tokens <= 0)
        return;
    auto found = m_configuration->accounts.find(account);
    if (found != m_configuration->accounts.end())
        quota::bookCharge(m_grantBook, account, limitOf(found->second), tokens, BootClock::now());
}

void Fabric::quotaGiveBack(const std::string& account, double tokens)
{
    if (m_isHub)
        quota::bookGiveBack(m_grantBook, account, tokens);
    else
        m_grants.shares[account].granted += tokens;
}

} // namespace rattanshunt::fabric

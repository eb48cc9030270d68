// Being hub: election, lease, answers to members, the demand of the fleet.
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

// ---- The hub -----------------------------------------------------------------------------------

void Fabric::campaign()
{
    BootTime now = BootClock::now();
    if (m_term.isHeld || m_isStopping || m_isRetired || !m_storeIsReachable
        || now - m_lastRead > m_options.directInterval)
        return;
    bool isOwnOld = m_hub && m_hub->name == m_options.name && m_hub->start != m_start;
    if (m_hub && !isOwnOld)
        return;
    if (!isOwnOld) {
        double luck = static_cast<double>(base::stableHash(m_options.name, base::stableHash(m_start)) % 1000) / 1000;
        net::sleepFor(campaignWait(m_options.strength, luck));
        auto current = m_kv.get(hubKey);
        if (current.error != coordination::KvError::None || !current.entries.empty() || m_isStopping || m_isRetired)
            return;
    }
    BootTime askedAt = BootClock::now();
    auto granted = m_kv.leaseGrant(m_options.leaseTime);
    if (granted.error != coordination::KvError::None)
        return;
    Json record { { "name", m_options.name }, { "address", base::formatAddress(m_options.peerAddress) },
        { "start", m_start } };
    // The former start of this daemon gave the last orders, so its record may be replaced before its lease ends.
    int64_t expected = isOwnOld ? m_hub->modRevision : 0;
    auto written = m_kv.txn({ { hubKey, expected } }, { { hubKey, record.dump(), granted.lease } });
    if (written.error != coordination::KvError::None || !written.isApplied) {
        base::logEvent(LogLevel::Info, "hub.not_elected",
            { { "why", written.error == coordination::KvError::None ? "another daemon was first" : "no answer" } });
        return;
    }
    becomeHub(granted.lease, askedAt, written.revision);
}

void Fabric::becomeHub(int64_t lease, BootTime askedAt, int64_t revision)
{
    m_term = termBegin(lease, revision, askedAt, BootClock::now(), m_options.leaseTime);
    m_members.clear();
    m_grantBook = {};
    m_grantBook.since = m_term.since;
    m_grantBook.heardPart = 1.0 / static_cast<double>(std::max<size_t>(1, m_memberCount));
    m_grantBook.startPart = quota::successorStartPart;
    m_grantBook.calmStartPart = quota::successorCalmPart;
    if (BootClock::now() - m_grants.hubWordAt < memberSilence)
        m_grantBook.wasCalm = m_grants.calm;
    base::logEvent(LogLevel::Info, "hub.elected", { { "fencing_token", revision }, { "lease", lease } });
    m_loop.spawn([this] { renewLoop(); });

    auto orderer = m_kv.get(ordererKey);
    auto secret = m_kv.get(secretKey);
    if (!m_term.isHeld)
        return;
    if (secret.error == coordination::KvError::None && secret.entries.empty()) {
        std::string fresh = base::hexEncode(base::randomBytes(secretBytes));
        if (m_kv.txn({ { secretKey, 0 } }, { { secretKey, fresh, 0 } }).isApplied)
            ensurePeers(fresh);
    }
    BootTime now = BootClock::now();
    OrdererRecord before = orderer.error != coordination::KvError::None ? OrdererRecord::Unknown
        : orderer.entries.empty()                                       ? OrdererRecord::Nobody
        : orderer.entries[0].value == m_options.name                    ? OrdererRecord::Self
                                                                        : OrdererRecord::Another;
    if (before == OrdererRecord::Nobody) {
        m_grantBook.startPart = 1;
        m_grantBook.since = {};
        m_grantBook.heardPart = 1;
    }
    for (const auto& [account, tokens] : quota::spentTake(m_grants))
        chargeSpent(account, tokens);
    m_term.ordersFrom = termOrdersFrom(before, now, m_options.orderGap);
    m_term.isRecorded = before == OrdererRecord::Self;
    if (!m_term.isRecorded)
        m_loop.spawn([this] { recordOrders(); });
}

// Writes down that this daemon gives orders from now on, once a former holder's are over.
void Fabric::recordOrders()
{
    int64_t lease = m_term.lease;
    auto isOver = [&] { return !m_term.isHeld || m_term.lease != lease; };
    net::sleepFor(m_term.ordersFrom - BootClock::now());
    while (!isOver()) {
        auto known = m_kv.get(ordererKey);
        if (known.error == coordination::KvError::None && !isOver()) {
            int64_t expected = known.entries.empty() ? 0 : known.entries[0].modRevision;
            // Only while the hub's record is this daemon's: a successor may have begun to order.
            auto written = m_kv.txn(
                { { ordererKey, expected }, { hubKey, m_term.fencingToken } }, { { ordererKey, m_options.name, 0 } });
            if (isOver())
                return;
            if (written.isApplied) {
                m_term.isRecorded = true;
                return;
            }
        }
        net::sleepFor(recordRetry);
    }
}

// Keeps the number of members in the store, for daemons that start without a hub.
void Fabric::storeMembers()
{
    BootTime now = BootClock::now();
    if (!m_term.isHeld || now - m_term.since < memberSilence || termIsOver(m_term, now))
        return;
    double known = static_cast<double>(m_membersStored);
    double change = std::abs(static_cast<double>(m_memberCount) - known);
    if (m_memberCount == 0 || change <= membersStep * known)
        return;
    m_kv.txn({}, { { fleetKey, Json { { "members", m_memberCount } }.dump(), 0 } });
}

// The members that this hub does not hear spend on their own what is theirs.
void Fabric::noteHeard()
{
    BootTime now = BootClock::now();
    if (m_memberCount >= m_membersMost || now - m_membersMostAt > m_options.quotaWindow) {
        m_membersMost = m_memberCount;
        m_membersMostAt = now;
    }
    base::Duration recent = syncPause() * heardSyncs;
    auto heard = std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& item) { return now - item.second.lastSeen <= recent; });
    double known = static_cast<double>(std::max<size_t>(1, m_membersMost));
    double part = std::min(1.0, static_cast<double>(heard + 1) / known);
    if ((part < heardLow) != (m_grantBook.heardPart < heardLow))
        base::logEvent(part < heardLow ? LogLevel::Warning : LogLevel::Info, "quota.members_heard",
            { { "heard", heard + 1 }, { "members", m_membersMost } });
    m_grantBook.heardPart = part;
}

void Fabric::resign(const char* why)
{
    if (!m_term.isHeld)
        return;
    m_term.isHeld = false;
    m_hub.reset();
    base::logEvent(LogLevel::Warning, "hub.resigned", { { "why", why }, { "fencing_token", m_term.fencingToken } });
    m_wake.set();
}

void Fabric::renewLoop()
{
    int64_t lease = m_term.lease;
    while (m_term.isHeld && m_term.lease == lease) {
        net::sleepFor(m_options.leaseTime / 4);
        if (!m_term.isHeld || m_term.lease != lease)
            return;
        BootTime askedAt = BootClock::now();
        auto renewed = m_kv.leaseRenew(lease);
        if (!m_term.isHeld || m_term.lease != lease)
            return;
        if (renewed.error == coordination::KvError::None && renewed.lease == lease)
            termRenewed(m_term, askedAt, m_options.leaseTime);
        else if (renewed.error == coordination::KvError::None)
            return resign("the lease has ended");
        if (termIsOver(m_term, BootClock::now()))
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
        if (termIsOver(m_term, now) || !m_configuration)
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
    if (!termIsOver(m_term, now)) {
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
        if (now - m_term.since >= memberSilence)
            m_memberCount = m_members.size() + 1;
    }
    if (m_term.isHeld && body.contains("waiting") && m_onDemand)
        m_onDemand();
    return describe(body, now);
}

// What this daemon knows that the asker does not.
Json Fabric::describe(const Json& asked, BootTime now)
{
    Json reply { { "start", m_start }, { "hub", !termIsOver(m_term, now) }, { "stamp", m_directory.stamp },
        { "members", memberCount() } };
    if (m_provenAt == BootTime {})
        return reply;
    reply["age_us"] = std::chrono::duration_cast<base::Micros>(now - m_provenAt).count();
    if (asked.value("configuration", int64_t(0)) < m_configurationRevision) {
        reply["configuration"] = m_configurationRevision;
        reply["configuration_value"] = Json::binary({ m_configurationPacked.begin(), m_configurationPacked.end() });
    }
    if (m_term.isHeld && m_configuration) {
        Json calm = Json::object();
        for (const auto& [name, account] : m_configuration->accounts) {
            if (account.rate > 0)
                calm[name] = quota::bookIsCalm(m_grantBook, name, limitOf(account), now);
        }
        reply["calm"] = std::move(calm);
    }
    if (m_hub && !m_term.isHeld)
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
            placed.push_back({ id, replica.entry.bornMillis, models, coming, replica.isSilent });
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
    for (const auto& [id, gone] : m_directory.removed) {
        if (gone.stamp > since)
            removed.push_back({ id, gone.revision });
    }
    reply["removed"] = std::move(removed);
    reply["replicas"] = m_directory.replicas.size();
    if (m_term.isHeld && asked.value("members", size_t(0)) != memberCount()) {
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

} // namespace rattanshunt::hub

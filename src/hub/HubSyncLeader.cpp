// The hub role: members, answers to them, and the fleet's demand. The election is in HubSyncElection.cpp.
#include <cmath>

#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"
#include "hub/PeerCalls.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

// ---- Members -----------------------------------------------------------------------------------

// Keeps the member count in the store up to date, for daemons that start without a hub.
void HubSync::storeMemberCount()
{
    BootTime now = BootClock::now();
    if (!m_term.isHeld || now - m_term.electedAt < memberTimeout || termIsOver(m_term, now))
        return;
    double stored = static_cast<double>(m_storedMemberCount);
    double change = std::abs(static_cast<double>(m_memberCount) - stored);
    if (m_memberCount == 0 || change <= memberCountChangeFraction * stored)
        return;
    m_kv.txn({}, { { fleetKey, Json { { "members", m_memberCount } }.dump(), 0 } });
}

// Members that do not sync with this hub spend their own quota shares, so the hub grants only the reachable fraction.
void HubSync::updateReachableMemberFraction()
{
    BootTime now = BootClock::now();
    if (m_memberCount >= m_maxMemberCount || now - m_maxMemberCountAt > m_options.quotaWindow) {
        m_maxMemberCount = m_memberCount;
        m_maxMemberCountAt = now;
    }
    base::Duration recent = currentSyncInterval() * maxMissedSyncs;
    auto reachable = std::count_if(
        m_members.begin(), m_members.end(), [&](const auto& item) { return now - item.second.lastSeenAt <= recent; });
    double known = static_cast<double>(std::max<size_t>(1, m_maxMemberCount));
    double fraction = std::min(1.0, static_cast<double>(reachable + 1) / known);
    if ((fraction < lowReachableMemberFraction) != (m_quota.hub.reachableMemberFraction < lowReachableMemberFraction))
        base::logEvent(fraction < lowReachableMemberFraction ? LogLevel::Warning : LogLevel::Info,
            "quota.members_heard", { { "heard", reachable + 1 }, { "members", m_maxMemberCount } });
    m_quota.hub.reachableMemberFraction = fraction;
}

Json HubSync::handleCall(const std::string& from, const std::string& method, const Json& body)
{
    try {
        if (method == "sync" && body.is_object())
            return handleSync(from, body);
        if (method == "grant" && body.is_object())
            return handleGrantCall(body);
        if (method == "stream" && body.is_object())
            return handleStreamCall(body);
        if (method == "permit" && body.is_object())
            return handlePermitCall(from, body);
        if (method == "tunnel_end" && body.is_object())
            return tunnelEndAnswer(*m_peers, body);
        if (method == "statement" && body.is_object()) {
            PassedStatement passed = passedStatementRead(body);
            recordStatement(passed.replica, passed.startedAtMillis, passed.statement);
            return Json::object();
        }
    } catch (const std::exception& error) {
        base::logEvent(LogLevel::Warning, "peer.call_unreadable",
            { { "peer", from }, { "method", method }, { "why", error.what() } });
    }
    return Json(Json::value_t::discarded);
}

void HubSync::applyMemberDemand(HubMember& member, const Json& body, BootTime now)
{
    member.lastSeenAt = now;
    auto keyOf = [](const Json& row) {
        return DemandKey { row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<std::string>() };
    };
    if (body.contains("rates")) {
        member.demand.clear();
        for (const Json& row : body.at("rates")) {
            Demand& demand = member.demand[keyOf(row)];
            demand.arrivalRate = row.at(3).get<double>();
            demand.transferSeconds = row.size() > 4 ? row.at(4).get<double>() : 0;
        }
    }
    for (auto& [key, demand] : member.demand)
        demand.waiting = demand.waitingWeightSum = demand.awaitingFirstByte = demand.running = 0;
    if (body.contains("waiting")) {
        for (const Json& row : body.at("waiting")) {
            Demand& demand = member.demand[keyOf(row)];
            demand.waiting = row.at(3).get<double>();
            demand.waitingWeightSum = row.at(4).get<double>();
            demand.awaitingFirstByte = row.at(5).get<double>();
            demand.running = row.at(6).get<double>();
        }
    }
}

Json HubSync::handleSync(const std::string& from, const Json& body)
{
    BootTime now = BootClock::now();
    if (!termIsOver(m_term, now)) {
        auto address = base::parseAddress(body.value("address", ""));
        HubMember& member = m_members[from];
        if (address)
            member.address = *address;
        member.dataCenter = body.value("data_center", "");
        applyMemberDemand(member, body, now);
        applyMemberParts(body, now);
        applyMemberLimits(from, body, now);
        applyMemberStreams(body, now);
        applyMemberQuota(body, now);
        std::erase_if(m_members, [&](auto& item) { return now - item.second.lastSeenAt > memberTimeout; });
        if (now - m_term.electedAt >= memberTimeout)
            m_memberCount = m_members.size() + 1;
    }
    if (m_term.isHeld && body.contains("waiting") && m_onDemandReported)
        m_onDemandReported();
    return buildSyncReply(body, now);
}

// The buckets of replicas of which this daemon knows something else than a member with the digest.
std::vector<bool> HubSync::differingBuckets(const directory::DirectoryDigest& memberDigest)
{
    if (m_digestSequence != m_directory.changeSequence || m_digest.empty()) {
        m_digest = directory::directoryDigest(m_directory);
        m_digestSequence = m_directory.changeSequence;
    }
    std::vector<bool> differing(directory::digestBucketCount, true);
    for (size_t i = 0; i < differing.size() && i < memberDigest.size(); ++i)
        differing[i] = m_digest[i] != memberDigest[i];
    return differing;
}

// Some other members, which a member can ask if it reaches neither the store nor the hub, or no replica; others for
// each member, and spread over all names, as neighbours of a name are in one data centre and fail together.
Json HubSync::memberAddressSample(const std::string& seed) const
{
    Json addresses = Json::object();
    if (m_members.empty())
        return addresses;
    size_t count = std::min(m_members.size(), maxAddressSample);
    size_t first = base::stableHash(seed) % m_members.size();
    for (size_t i = 0; i < count; ++i) {
        size_t index = (first + i * m_members.size() / count) % m_members.size();
        auto member = std::next(m_members.begin(), static_cast<std::ptrdiff_t>(index));
        addresses[member->first] = base::formatAddress(member->second.address);
    }
    return addresses;
}

// Builds the data that this daemon has and the requesting member lacks.
Json HubSync::buildSyncReply(const Json& asked, BootTime now)
{
    Json reply { { "start", m_incarnation }, { "hub", !termIsOver(m_term, now) },
        { "stamp", m_directory.changeSequence }, { "members", memberCount() } };
    if (m_freshAsOf == BootTime {})
        return reply;
    if (m_storeEra)
        reply["store_era"] = *m_storeEra;
    addPartsToReply(asked, reply, now);
    addLimitsToReply(asked, reply);
    addColdToReply(asked, reply, now);
    addSpillToReply(asked, reply, now);
    reply["age_us"] = ageMicros(now, m_freshAsOf);
    reply["evacuated"] = m_evacuations.dataCenters;
    gateway::ConfigurationStamp askedStamp { asked.value("configuration_version", int64_t(0)),
        asked.value("configuration", int64_t(0)) };
    if (gateway::configurationIsNewer(configurationStamp(), askedStamp)) {
        reply["configuration"] = m_configurationRevision;
        reply["configuration_value"]
            = Json::binary({ m_configurationCompressed.begin(), m_configurationCompressed.end() });
    }
    if (m_term.isHeld && m_configuration) {
        Json lowUsage = Json::object();
        for (const auto& [name, account] : m_configuration->accounts) {
            if (account.rate > 0)
                lowUsage[name] = quota::hubQuotaIsLowUsage(m_quota.hub, name, limitOf(account), now);
        }
        reply["calm"] = std::move(lowUsage);
    }
    if (m_hubRecord && !m_term.isHeld)
        reply["hub_address"] = base::formatAddress(m_hubRecord->address);
    bool isSame = asked.value("start", "") == m_incarnation;
    uint64_t since = isSame ? asked.value("stamp", uint64_t(0)) : 0;
    reply["whole"] = !isSame;
    // A member that knew another hub sends a digest of what it has, and gets the replicas of the buckets that differ.
    std::vector<bool> isBucketSent(directory::digestBucketCount, true);
    auto memberDigest = asked.find("digest");
    if (!isSame && memberDigest != asked.end()) {
        isBucketSent = differingBuckets(memberDigest->get<directory::DirectoryDigest>());
        reply["buckets"] = isBucketSent;
    }
    Json entries = Json::array();
    Json placed = Json::array();
    Json loads = Json::array();
    for (const auto& [id, replica] : m_directory.replicas) {
        if (replica.changeSequence > since && isBucketSent[directory::directoryBucketOf(id)]) {
            auto raw = m_directory.rawEntries.find(m_codec.entryPrefix + id);
            if (raw != m_directory.rawEntries.end())
                entries.push_back({ raw->first, raw->second.value, raw->second.revision });
            Json models = Json::array();
            for (const gateway::LoadedModel& loaded : directory::replicaModels(replica))
                models.push_back({ loaded.name, loaded.adapters });
            Json pending = Json::array();
            for (const directory::PendingModel& model : replica.pendingModels)
                pending.push_back({ model.model, ageMillis(model.readyAt, now), model.isConfirmed });
            placed.push_back({ id, replica.entry.startedAtMillis, models, pending, replica.isUnreachableFromHub });
        }
        if (replica.hasReport)
            loads.push_back({ id, replica.entry.startedAtMillis, std::lround(replica.report.running),
                std::lround(replica.report.waiting), ageMillis(now, replica.reportRequestedAt) });
    }
    base::counterAdd("hub_sync_replicas_sent_total", placed.size());
    reply["entries"] = std::move(entries);
    reply["placed"] = std::move(placed);
    reply["loads"] = std::move(loads);
    Json estimates = Json::array();
    for (const auto& [key, readyAt] : m_readyEstimates)
        estimates.push_back({ key.first, key.second, ageMillis(readyAt, now) });
    reply["outlook"] = std::move(estimates);
    Json removed = Json::array();
    for (const auto& [id, tombstone] : m_directory.removed) {
        if (tombstone.changeSequence > since)
            removed.push_back({ id, tombstone.revision });
    }
    reply["removed"] = std::move(removed);
    reply["replicas"] = m_directory.replicas.size();
    if (m_term.isHeld && asked.value("members", size_t(0)) != memberCount()) {
        reply["addresses"] = memberAddressSample(asked.value("address", ""));
    }
    return reply;
}

DemandTable HubSync::collectDemand(BootTime now)
{
    DemandTable table;
    if (m_demandSource)
        table = m_demandSource();
    for (const auto& [name, member] : m_members) {
        if (now - member.lastSeenAt > memberTimeout)
            continue;
        for (const auto& [key, demand] : member.demand) {
            table[key].waiting += demand.waiting;
            table[key].waitingWeightSum += demand.waitingWeightSum;
            table[key].awaitingFirstByte += demand.awaitingFirstByte;
            table[key].running += demand.running;
            table[key].arrivalRate += demand.arrivalRate;
        }
    }
    return table;
}

} // namespace rattanshunt::hub

// The member role: syncs with the hub or with another member.
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

// ---- A member ----------------------------------------------------------------------------------

Json HubSync::buildSyncRequest()
{
    BootTime now = BootClock::now();
    Json body { { "address", base::formatAddress(m_options.peerAddress) }, { "start", m_hubIncarnation },
        { "stamp", m_hubChangeSequence }, { "cold_version", m_cold.hubVersion },
        { "configuration", m_configurationRevision }, { "configuration_version", configurationStamp().version },
        { "members", m_memberAddresses.empty() ? 0 : m_memberCount } };
    if (!m_hubRecord || m_hubRecord->incarnation != m_hubIncarnation)
        body["digest"] = directory::directoryDigest(m_directory);
    if (!m_demandSource)
        return body;
    Json waiting = Json::array();
    Json rates = Json::array();
    for (const auto& [key, row] : m_demandSource()) {
        if (row.waiting > 0 || row.running > 0)
            waiting.push_back({ key.service, key.model, key.adapter, row.waiting, row.waitingWeightSum,
                row.awaitingFirstByte, row.running });
        if (row.arrivalRate > 0)
            rates.push_back({ key.service, key.model, key.adapter, row.arrivalRate });
        if (row.arrivalRate > 0 && spill::spillIsOn(m_options.spill))
            rates.back().push_back(row.transferSeconds);
    }
    if (!waiting.empty())
        body["waiting"] = std::move(waiting);
    if (now - m_ratesSentAt >= rateReportInterval) {
        body["rates"] = std::move(rates);
        m_ratesSentAt = now;
    }
    return body;
}

bool HubSync::syncWith(const base::Address& address, bool isHub)
{
    BootTime requestedAt = BootClock::now();
    m_lastSyncAt = requestedAt;
    if (isHub && m_hubRecord)
        m_triedHubIncarnation = m_hubRecord->incarnation;
    std::map<std::string, double> unreported;
    Json body = isHub ? buildSyncRequest()
                      : Json { { "configuration", m_configurationRevision },
                            { "configuration_version", configurationStamp().version } };
    uint64_t sentSequence = 0;
    uint64_t sentLimitSequence = 0;
    uint64_t sentStreamSequence = 0;
    if (isHub) {
        sentSequence = addPartsToRequest(body, requestedAt);
        sentLimitSequence = addLimitsToRequest(body, requestedAt);
        sentStreamSequence = addStreamsToRequest(body);
        addSpillToRequest(body);
        unreported = addQuotaToRequest(body);
    }
    net::PeerResult result = m_peers->call(address, "sync", body, base::Clock::now() + m_options.syncTimeout);
    bool isAnswered = result.error == net::PeerError::None && result.body.is_object()
        && (!isHub || result.body.value("hub", false));
    if (!isAnswered) {
        quota::localQuotaRestoreUnreported(m_quota.local, unreported);
        return false;
    }
    try {
        applySyncReply(result.body, requestedAt, isHub);
        applyPartsReply(result.body, requestedAt, sentSequence, isHub);
        applyLimitsReply(result.body, requestedAt, sentLimitSequence, isHub);
        if (isHub) {
            recordStreamsTold(result.body, sentStreamSequence);
            applySpillReply(result.body, requestedAt);
        }
    } catch (const std::exception& error) {
        base::logEvent(LogLevel::Warning, "peer.answer_unreadable",
            { { "peer", base::formatAddress(address) }, { "why", error.what() } });
        return false;
    }
    return true;
}

void HubSync::applySyncReply(const Json& body, BootTime requestedAt, bool isHub)
{
    if (!body.contains("age_us"))
        return;
    // A member of a hub that is elected again right after a restore may not read the store itself.
    if (body.contains("store_era"))
        m_originWriter.seeStoreEra(body.at("store_era").get<int64_t>());
    BootTime replyFreshAsOf = freshAsOfPeer({}, requestedAt, base::Micros(body.at("age_us").get<int64_t>()));
    if (body.contains("configuration_value")) {
        const auto& bytes = body.at("configuration_value").get_binary();
        auto value = base::decompress({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
        if (!value)
            throw std::runtime_error("the configuration is not compressed as expected");
        applyConfiguration(*value, body.at("configuration").get<int64_t>());
    }
    uint64_t before = m_directory.changeSequence;
    // Older data must not bring back replicas that were removed since.
    bool isNewer = replyFreshAsOf >= m_freshAsOf;
    if (isNewer || isHub) {
        std::vector<directory::RawEntry> entries;
        std::set<std::string> present;
        for (const Json& row : body.at("entries")) {
            entries.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<int64_t>() });
            present.insert(entries.back().key);
        }
        std::vector<directory::RemovedReplica> removed;
        for (const Json& row : body.at("removed"))
            removed.push_back({ row.at(0).get<std::string>(), row.at(1).get<int64_t>() });
        // An entry that is missing from a complete list counts as removed only if that list is newer than the own data.
        // The list covers the buckets that differ, or all of them.
        if (isNewer && body.at("whole").get<bool>()) {
            std::vector<bool> isBucketSent(directory::digestBucketCount, true);
            if (body.contains("buckets"))
                isBucketSent = body.at("buckets").get<std::vector<bool>>();
            for (const auto& [key, raw] : m_directory.rawEntries) {
                std::string id = key.substr(m_codec.entryPrefix.size());
                if (!present.contains(key) && isBucketSent.at(directory::directoryBucketOf(id)))
                    removed.push_back({ id, raw.revision });
            }
        }
        logEntryFaults(directory::directoryApplyChanges(m_directory, m_codec, entries, removed));
    }
    for (const Json& row : body.at("placed")) {
        auto found = m_directory.replicas.find(row.at(0).get<std::string>());
        if (found == m_directory.replicas.end() || found->second.entry.startedAtMillis != row.at(1).get<int64_t>())
            continue;
        std::vector<gateway::LoadedModel> models;
        for (const Json& model : row.at(2))
            models.push_back({ model.at(0).get<std::string>(), model.at(1).get<std::vector<std::string>>() });
        found->second.placedModels = std::move(models);
        found->second.isUnreachableFromHub = row.at(4).get<bool>();
        found->second.pendingModels.clear();
        for (const Json& pending : row.at(3))
            found->second.pendingModels.push_back({ pending.at(0).get<std::string>(),
                requestedAt + base::Millis(pending.at(1).get<int64_t>()), pending.at(2).get<bool>() });
        found->second.changeSequence = ++m_directory.changeSequence;
    }
    for (const Json& row : body.at("loads")) {
        auto found = m_directory.replicas.find(row.at(0).get<std::string>());
        if (found == m_directory.replicas.end() || found->second.entry.startedAtMillis != row.at(1).get<int64_t>())
            continue;
        gateway::ReplicaReport report;
        report.startedAtMillis = row.at(1).get<int64_t>();
        report.running = row.at(2).get<double>();
        report.waiting = row.at(3).get<double>();
        report.models = directory::replicaModels(found->second);
        directory::directoryApplyReport(
            m_directory, row.at(0).get<std::string>(), report, requestedAt - base::Millis(row.at(4).get<int64_t>()));
    }
    seeVersions(BootClock::now());
    m_readyEstimates.clear();
    for (const Json& row : body.at("outlook"))
        m_readyEstimates[{ row.at(0).get<std::string>(), row.at(1).get<std::string>() }]
            = requestedAt + base::Millis(row.at(2).get<int64_t>());
    if (isHub) {
        if (m_hubIncarnation != body.at("start").get<std::string>())
            m_ratesSentAt = {}; // a new hub has no arrival rates yet
        m_hubIncarnation = body.at("start").get<std::string>();
        // A removal that was sent while this daemon's own data seemed newer is not sent again. If the counts differ,
        // the cleared incarnation makes the next sync request everything.
        if (isNewer && m_directory.replicas.size() != body.at("replicas").get<size_t>()) {
            base::logEvent(LogLevel::Warning, "directory.differs",
                { { "replicas", m_directory.replicas.size() }, { "at_hub", body.at("replicas").get<size_t>() } });
            m_hubIncarnation.clear();
        }
        m_hubChangeSequence = body.at("stamp").get<uint64_t>();
        m_memberCount = body.at("members").get<size_t>();
        m_quota.local.isLowUsageByAccount.clear();
        // A hub without a configuration sends no accounts.
        Json lowUsage = body.value("calm", Json::object());
        for (auto& [account, isLowUsage] : lowUsage.items())
            m_quota.local.isLowUsageByAccount[account] = isLowUsage.get<bool>();
        m_quota.local.lastHubContactAt = requestedAt;
        if (body.contains("addresses")) {
            m_memberAddresses.clear();
            for (auto& [name, address] : body.at("addresses").items()) {
                if (auto parsed = base::parseAddress(address.get<std::string>()))
                    m_memberAddresses[name] = *parsed;
            }
        }
    } else if (body.contains("hub_address") && !m_storeIsReachable) {
        if (auto address = base::parseAddress(body.at("hub_address").get<std::string>()))
            m_hubRecord = HubRecord { "", *address, "", 0, 0, 0 };
    }
    applyEvacuationsReply(body, replyFreshAsOf);
    applyColdReply(body, requestedAt, replyFreshAsOf, isHub);
    confirmDirectory(replyFreshAsOf, isHub ? DirectorySource::Hub : DirectorySource::Member);
    if (m_directory.changeSequence != before)
        notifySubscribers();
}

std::map<std::string, base::Address> HubSync::peerAddresses() const
{
    std::map<std::string, base::Address> addresses = m_memberAddresses;
    if (m_term.isHeld) {
        for (const auto& [name, member] : m_members)
            addresses[name] = member.address;
    }
    std::erase_if(addresses, [](const auto& item) { return item.second.ip.empty(); });
    if (m_hubRecord && !m_hubRecord->name.empty())
        addresses[m_hubRecord->name] = m_hubRecord->address;
    addresses.erase(m_options.name);
    return addresses;
}

void HubSync::setTunnelHandler(net::TunnelHandler handler)
{
    m_tunnelHandler = std::move(handler);
    if (m_peers)
        m_peers->setTunnelHandler(m_tunnelHandler);
}

// Whether the store names a hub that this daemon has not called yet. Requests may be waiting for it.
bool HubSync::hasUntriedHub() const
{
    return m_hubRecord && m_peers && m_hubRecord->name != m_options.name
        && m_hubRecord->incarnation != m_triedHubIncarnation;
}

// Used when neither the store nor the hub is reachable: any other member may have newer data.
bool HubSync::syncWithRandomMember()
{
    if (!m_peers || m_memberAddresses.empty())
        return false;
    size_t skip = base::stableHash(base::randomBytes(4)) % m_memberAddresses.size();
    auto chosen = std::next(m_memberAddresses.begin(), static_cast<std::ptrdiff_t>(skip));
    if (chosen->first == m_options.name)
        return false;
    return syncWith(chosen->second, false);
}

} // namespace rattanshunt::hub

// Versions that began streams: from all daemons to the hub and the store, while a service has several.
#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Json.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using streams::StreamKey;
using Json = nlohmann::json;

namespace {

    constexpr int originCalls = 4;                     // to the hub, for one take-up
    constexpr base::Millis originCallInterval { 150 }; // a member may not have told the hub yet
    constexpr base::Millis originCallTimeout { 150 };

    using OriginGroups = std::map<std::pair<std::string, std::string>, Json>; // by service and version

    Json groupsJson(OriginGroups& groups)
    {
        Json rows = Json::array();
        for (auto& [group, keys] : groups)
            rows.push_back({ group.first, group.second, std::move(keys) });
        return rows;
    }

} // namespace

// ---- Knowledge ---------------------------------------------------------------------------------

void HubSync::recordStreamOrigin(const std::string& service, const std::string& requestId, const std::string& version)
{
    StreamKey key = streams::streamKey(requestId);
    BootTime now = BootClock::now();
    streams::originsExpire(m_streams.origins, now);
    if (m_streams.origins.origins.contains(key))
        return;
    streams::originRecord(m_streams.origins, key, { service, version, now });
    m_streams.recent.push_back({ key, ++m_streams.lastSequence });
    while (!m_streams.recent.empty() && !m_streams.origins.origins.contains(m_streams.recent.front().key))
        m_streams.recent.pop_front();
    m_originWriter.add(key, { service, version, now });
}

void HubSync::announceBrokenStream()
{
    if (anyVersionsAreMixed())
        requestSync();
}

bool HubSync::versionsAreMixed(const std::string& service) const
{
    return streams::versionsAreMixed(m_streams.versions, service, BootClock::now());
}

bool HubSync::anyVersionsAreMixed() const
{
    return std::any_of(m_streams.versions.begin(), m_streams.versions.end(),
        [this](const auto& item) { return versionsAreMixed(item.first); });
}

void HubSync::seeVersions(BootTime now)
{
    for (const auto& [id, replica] : m_directory.replicas)
        streams::versionsSee(m_streams.versions, replica.entry.service, replica.entry.version, now);
    m_originWriter.setConditions(anyVersionsAreMixed(), memberCount());
}

// Waits for a read of the store that begins after `takenUpAt`. False if it has not ended in time. Suspends.
bool HubSync::awaitVersions(BootTime takenUpAt)
{
    BootTime begunAt = BootClock::now();
    ++m_streams.waitingForVersions;
    while (!m_isStopping && !streams::versionsAreKnown(m_freshAsOf, takenUpAt)
        && BootClock::now() - begunAt < versionReadWait) {
        if (!m_refresh.isUnderWay && BootClock::now() - m_refresh.begunAt >= versionReadInterval)
            beginRefresh();
        net::sleepFor(base::Millis(5));
    }
    --m_streams.waitingForVersions;
    return streams::versionsAreKnown(m_freshAsOf, takenUpAt);
}

streams::TakeUpKnowledge HubSync::takeUpKnowledge(const std::string& service, const std::string& requestId)
{
    StreamKey key = streams::streamKey(requestId);
    BootTime takenUpAt = BootClock::now();
    bool isOneVersion = false;
    Json ask { { "service", service }, { "key", key } };
    for (int i = 0; i <= originCalls && !isOneVersion; ++i) {
        if (i > 0)
            net::sleepFor(originCallInterval);
        if (auto version = streams::originFind(m_streams.origins, key, service))
            return { version, true };
        bool isMixed = versionsAreMixed(service);
        if (!isMixed && streams::versionsAreKnown(m_freshAsOf, takenUpAt)) {
            isOneVersion = true;
            continue;
        }
        if (m_term.isHeld || !m_hubRecord || !m_isHubReachable || !m_peers) {
            if (isMixed)
                refreshOrigins();
            else if (awaitVersions(takenUpAt))
                isOneVersion = !versionsAreMixed(service);
            continue;
        }
        net::PeerResult result
            = m_peers->call(m_hubRecord->address, "stream", ask, base::Clock::now() + originCallTimeout);
        if (result.error != net::PeerError::None || !result.body.is_object() || !result.body.value("hub", false))
            continue;
        if (result.body.contains("version")) {
            std::string version = result.body.at("version").get<std::string>();
            streams::originRecord(m_streams.origins, key, { service, version, BootClock::now() });
            return { version, true };
        }
        isOneVersion = !result.body.value("mixed", true);
        if (result.body.contains("since_us")) {
            ask["start"] = result.body.at("start");
            ask["since_us"] = result.body.at("since_us");
        }
    }
    if (!isOneVersion)
        return {};
    return { streams::versionsOnly(m_streams.versions, service, BootClock::now()), false };
}

// ---- Messages ----------------------------------------------------------------------------------

// Adds the origins that the hub has not been told; returns the sequence of the last one. None while each service has
// one version: a version that appears later makes all of them known.
uint64_t HubSync::addStreamsToRequest(Json& body)
{
    if (!anyVersionsAreMixed())
        return m_streams.told.sequence;
    OriginGroups groups;
    uint64_t sequence = m_streams.told.sequence;
    size_t count = 0;
    for (const StreamSync::OwnOrigin& own : m_streams.recent) {
        auto origin = m_streams.origins.origins.find(own.key);
        if (own.sequence <= m_streams.told.sequence || origin == m_streams.origins.origins.end())
            continue;
        if (++count > maxOriginsPerCall)
            break;
        groups[{ origin->second.service, origin->second.version }].push_back(own.key);
        sequence = own.sequence;
    }
    if (!groups.empty())
        body["streams"] = groupsJson(groups);
    return sequence;
}

void HubSync::applyMemberStreams(const Json& body, BootTime now)
{
    if (!body.contains("streams"))
        return;
    for (const Json& row : body.at("streams")) {
        for (const Json& key : row.at(2))
            streams::originRecord(m_streams.origins, key.get<StreamKey>(),
                { row.at(0).get<std::string>(), row.at(1).get<std::string>(), now });
    }
}

void HubSync::recordStreamsTold(const Json& body, uint64_t sentSequence)
{
    toldRecord(m_streams.told, body.at("start").get<std::string>(), sentSequence);
}

Json HubSync::handleStreamCall(const Json& body)
{
    if (termIsOver(m_term, BootClock::now()))
        return Json { { "hub", false } };
    std::string service = body.at("service").get<std::string>();
    StreamKey key = body.at("key").get<StreamKey>();
    // A member that asks again names the time of its first question on this daemon's clock.
    BootTime now = BootClock::now();
    BootTime askedAt = now;
    if (body.value("start", "") == m_incarnation)
        askedAt = std::min(now, BootTime(base::Micros(body.at("since_us").get<int64_t>())));
    bool isKnown
        = streams::originFind(m_streams.origins, key, service) || versionsAreMixed(service) || awaitVersions(askedAt);
    if (termIsOver(m_term, BootClock::now()))
        return Json { { "hub", false } };
    Json reply { { "hub", true }, { "mixed", versionsAreMixed(service) || !isKnown }, { "start", m_incarnation },
        { "since_us", std::chrono::ceil<base::Micros>(askedAt.time_since_epoch()).count() } };
    if (auto version = streams::originFind(m_streams.origins, key, service))
        reply["version"] = *version;
    else if (versionsAreMixed(service))
        refreshOrigins();
    return reply;
}

// ---- The store ---------------------------------------------------------------------------------

// Merges the record, which another hub may have written.
void HubSync::applyStoredStreams(const coordination::KvEntry& entry, BootTime now)
{
    if (entry.modRevision == m_streams.storedRevision)
        return;
    m_streams.storedRevision = entry.modRevision;
    Json json = base::jsonTryParse(entry.value);
    if (!json.is_object() || !json.contains("versions") || !json.at("versions").is_array()) {
        base::logEvent(LogLevel::Warning, "stream.record_unreadable", {});
        return;
    }
    for (const Json& row : json.at("versions")) {
        auto seenAt = row.is_array() && row.size() >= 3 ? base::jsonInteger(row[2]) : std::nullopt;
        if (!seenAt || !row[0].is_string() || !row[1].is_string()) {
            base::logEvent(LogLevel::Warning, "stream.record_unreadable", {});
            continue;
        }
        base::Millis age = std::max(base::Millis(0), unixNow() - base::Millis(*seenAt));
        streams::versionsSee(m_streams.versions, row[0].get<std::string>(), row[1].get<std::string>(), now - age);
    }
}

// Merges the origins that other daemons wrote, also those that have ended since.
void HubSync::applyStoredOrigins(const std::vector<coordination::KvEntry>& entries, BootTime now)
{
    std::map<std::string, int64_t> present;
    size_t count = 0;
    for (const coordination::KvEntry& entry : entries) {
        if (!entry.key.starts_with(originSegmentPrefix))
            continue;
        present[entry.key] = entry.modRevision;
        auto known = m_streams.readSegments.find(entry.key);
        if (known != m_streams.readSegments.end() && known->second == entry.modRevision)
            continue;
        for (const streams::StoredOrigin& origin : streams::segmentRead(entry.value)) {
            streams::originRecord(m_streams.origins, origin.key, { origin.service, origin.version, now });
            ++count;
        }
    }
    m_streams.readSegments = std::move(present);
    if (count)
        base::counterAddLabelled("stream_origins_read_total", "from", "store", static_cast<int64_t>(count));
    if (m_streams.origins.dropped > m_streams.reportedDrops) {
        base::counterAdd(
            "stream_origins_dropped_total", static_cast<int64_t>(m_streams.origins.dropped - m_streams.reportedDrops));
        base::logEvent(LogLevel::Warning, "stream.limit_reached", { { "dropped", m_streams.origins.dropped } });
        m_streams.reportedDrops = m_streams.origins.dropped;
    }
}

// Reads the origins that other daemons wrote, in a fiber of its own, as a caller waits for one of them.
void HubSync::refreshOrigins()
{
    BootTime now = BootClock::now();
    if (m_isStopping || m_streams.isReadingOrigins || now - m_streams.originsReadAt < originReadInterval)
        return;
    m_streams.isReadingOrigins = true;
    m_streams.originsReadAt = now;
    m_loop.spawn([this] {
        coordination::KvRangeResult read = m_kv.range(originSegmentPrefix);
        if (read.error == coordination::KvError::None)
            applyStoredOrigins(read.entries, BootClock::now());
        else
            base::logEvent(LogLevel::Warning, "stream.origins_unread", {});
        m_streams.isReadingOrigins = false;
    });
}

// Writes the record of versions while a service has several. Only while this daemon's hub record stands. Suspends.
void HubSync::storeStreams()
{
    BootTime now = BootClock::now();
    streams::originsExpire(m_streams.origins, now);
    if (!m_term.isHeld || termIsOver(m_term, now) || !anyVersionsAreMixed())
        return;
    Json versions = Json::array();
    std::string mixture;
    for (const auto& [service, seen] : m_streams.versions) {
        if (!versionsAreMixed(service))
            continue;
        for (const auto& [version, seenAt] : seen) {
            versions.push_back({ service, version, (unixNow() - base::Millis(ageMillis(now, seenAt))).count() });
            mixture += fmt::format("{}/{} ", service, version);
        }
    }
    // The record has to show until when a version that has left was seen.
    if (mixture == m_streams.storedMixture && now - m_streams.storedAt < versionRecordInterval)
        return;
    if (mixture != m_streams.storedMixture)
        base::logEvent(LogLevel::Info, "stream.versions_mixed", { { "versions", mixture } });
    auto written = m_kv.txn({ { hubKey, m_term.fencingToken } },
        { { streamsKey, Json { { "versions", std::move(versions) }, { "streams", Json::array() } }.dump(), 0 } });
    // A write whose outcome is unknown is made again with the next one.
    if (written.error != coordination::KvError::None || !written.isApplied)
        return;
    m_streams.storedAt = now;
    m_streams.storedMixture = mixture;
    m_streams.storedRevision = written.revision;
}

} // namespace rattanshunt::hub

// Prompt parts that end replicas: evidence from all daemons to the hub, and blocks from the hub to all. Their record in
// the store is in HubSyncPartRecord.cpp.
#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using prompts::PartKey;
using Json = nlohmann::json;

namespace {

    constexpr size_t maxLoggedChanges = 64; // of one message; a prompt may have some thousand parts

    // The replicas that ended, each with the age of its end.
    std::string endsText(const std::vector<prompts::PartEnd>& ends, BootTime now)
    {
        std::string text;
        for (const prompts::PartEnd& end : ends)
            text += fmt::format("{}{}:{}ms", text.empty() ? "" : ",", end.life.replica, ageMillis(now, end.observedAt));
        return text;
    }

    size_t endBytes(const prompts::ReplicaEnd& end)
    {
        size_t bytes = sizeof(end);
        for (const std::string& part : end.parts)
            bytes += sizeof(std::string) + part.size();
        return bytes;
    }

    PartKey keyOf(const Json& row)
    {
        return { row.at(0).get<std::string>(), row.at(1).get<std::string>() };
    }

} // namespace

// ---- Evidence ----------------------------------------------------------------------------------

void HubSync::recordReplicaEnd(const prompts::ReplicaEnd& end)
{
    BootTime now = BootClock::now();
    prompts::ReplicaEnd own = end;
    std::erase_if(own.parts, [&](const std::string& part) {
        return prompts::settledContains(m_parts.ledger.settled, { own.service, part }, now);
    });
    if (own.parts.empty())
        return;
    m_parts.recentEnds.push_back({ own, ++m_parts.lastSequence, endBytes(own) });
    m_parts.recentEndBytes += m_parts.recentEnds.back().bytes;
    while (m_parts.recentEndBytes > maxRecentEndBytes
        || now - m_parts.recentEnds.front().end.observedAt > prompts::observationMemory) {
        const PartSync::SentEnd& oldest = m_parts.recentEnds.front();
        if (oldest.sequence > m_parts.told.sequence && !m_term.isHeld)
            base::counterAddLabelled("prompt_evidence_dropped_total", "kind", "untold_end");
        m_parts.recentEndBytes -= oldest.bytes;
        m_parts.recentEnds.pop_front();
    }
    if (!m_term.isHeld)
        return requestSync();
    applyPartChanges(prompts::ledgerRecordEnd(m_parts.ledger, own, now), now);
}

void HubSync::recordSettledParts(const std::string& service, const std::vector<std::string>& parts)
{
    BootTime now = BootClock::now();
    std::vector<prompts::PartChange> changes;
    for (const std::string& part : parts) {
        PartKey key { service, part };
        if (m_term.isHeld) {
            std::ranges::move(prompts::ledgerRecordSettled(m_parts.ledger, key, now), std::back_inserter(changes));
            continue;
        }
        prompts::settledRecord(m_parts.ledger.settled, key, now);
        if (m_parts.view.suspected.contains(key) || m_parts.view.blocked.contains(key))
            requestSync();
    }
    if (!changes.empty())
        applyPartChanges(changes, now);
}

void HubSync::recordSettledRequest(const std::string& service, const std::string& requestKey)
{
    PartKey key { service, requestKey };
    bool isSuspected = m_parts.view.suspected.contains(key) || m_parts.view.blocked.contains(key)
        || m_parts.ledger.suspected.contains(key);
    for (PartSync::SentEnd& sent : m_parts.recentEnds)
        isSuspected |= sent.end.service == service && std::erase(sent.end.parts, requestKey) > 0;
    // Others are not recorded: there are too many.
    if (isSuspected)
        recordSettledParts(service, { requestKey });
}

bool HubSync::hasOwnEnd(const prompts::ReplicaEnd& end, const std::string& requestKey) const
{
    return std::any_of(m_parts.recentEnds.begin(), m_parts.recentEnds.end(), [&](const PartSync::SentEnd& sent) {
        return sent.end.service == end.service && sent.end.life != end.life
            && std::find(sent.end.parts.begin(), sent.end.parts.end(), requestKey) != sent.end.parts.end();
    });
}

size_t HubSync::blockedPartCount() const
{
    BootTime now = BootClock::now();
    auto count = std::count_if(m_parts.view.blocked.begin(), m_parts.view.blocked.end(),
        [&](const auto& item) { return now < item.second.until; });
    return static_cast<size_t>(count);
}

// ---- The hub -----------------------------------------------------------------------------------

void HubSync::applyPartChanges(const std::vector<prompts::PartChange>& changes, BootTime now)
{
    uint64_t drops = m_parts.ledger.droppedSuspects + m_parts.ledger.droppedBlocks;
    if (drops != m_parts.reportedDrops) {
        base::counterAddLabelled(
            "prompt_evidence_dropped_total", "kind", "ledger", static_cast<int64_t>(drops - m_parts.reportedDrops));
        base::logEvent(LogLevel::Warning, "part.limit_reached",
            { { "suspects_dropped", m_parts.ledger.droppedSuspects },
                { "blocks_dropped", m_parts.ledger.droppedBlocks }, { "suspected", m_parts.ledger.suspected.size() },
                { "blocked", m_parts.ledger.blocked.size() } });
        m_parts.reportedDrops = drops;
    }
    size_t logged = 0;
    for (const prompts::PartChange& change : changes) {
        if (++logged > maxLoggedChanges) {
            base::logEvent(LogLevel::Info, "part.more_changes", { { "count", changes.size() - maxLoggedChanges } });
            break;
        }
        bool isBlocked = change.kind == prompts::PartChangeKind::Blocked;
        const char* event = isBlocked                           ? "part.accused"
            : change.kind == prompts::PartChangeKind::Suspected ? "part.suspected"
                                                                : "part.cleared";
        base::logEvent(isBlocked ? LogLevel::Warning : LogLevel::Info, event,
            { { "part", change.key.part }, { "service", change.key.service }, { "why", change.reason },
                { "ends", change.ends.size() }, { "replicas", endsText(change.ends, now) },
                { "blocks", change.block.count },
                { "blocked_ms", isBlocked ? ageMillis(change.block.until, now) : 0 } });
        if (isBlocked)
            base::counterAdd("prompt_parts_blocked_total");
    }
    refreshPartView();
}

// Updates the view after a change of the ledger, and tells subscribers if blocks have changed.
void HubSync::refreshPartView()
{
    if (m_parts.view.version == m_parts.ledger.version)
        return;
    prompts::PartView view = prompts::ledgerView(m_parts.ledger);
    bool hasNewBlocks = view.blocked.size() != m_parts.view.blocked.size()
        || !std::equal(view.blocked.begin(), view.blocked.end(), m_parts.view.blocked.begin(),
            [](const auto& a, const auto& b) { return a.first == b.first && a.second.until == b.second.until; });
    if (!m_term.isHeld)
        view.suspected = std::move(m_parts.view.suspected);
    m_parts.view = std::move(view);
    if (hasNewBlocks)
        notifySubscribers();
}

void HubSync::advanceParts(BootTime now)
{
    if (!m_term.isHeld || (m_parts.ledger.suspected.empty() && m_parts.ledger.blocked.empty()))
        return;
    auto lastReport = [this](const prompts::ReplicaLife& life) -> std::optional<BootTime> {
        std::optional<BootTime> newest;
        auto written = m_parts.entryWrites.find(life.replica);
        if (written != m_parts.entryWrites.end() && written->second.startedAtMillis == life.startedAtMillis)
            newest = written->second.aliveAt;
        auto found = m_directory.replicas.find(life.replica);
        if (found != m_directory.replicas.end() && found->second.hasReport
            && found->second.report.startedAtMillis == life.startedAtMillis)
            newest = std::max(newest.value_or(BootTime {}), found->second.reportRequestedAt);
        return newest;
    };
    applyPartChanges(prompts::ledgerAdvance(m_parts.ledger, lastReport, now), now);
}

// Call after each list of the store was applied.
void HubSync::recordEntryWrites(BootTime listRequestedAt)
{
    std::erase_if(m_parts.entryWrites, [&](const auto& item) { return !m_directory.replicas.contains(item.first); });
    for (const auto& [id, replica] : m_directory.replicas) {
        EntryWrites& writes = m_parts.entryWrites[id];
        if (writes.startedAtMillis != replica.entry.startedAtMillis)
            writes = { replica.entry.startedAtMillis, replica.entry.writeCount, {}, {} };
        else if (replica.entry.writeCount > writes.writeCount) {
            writes.aliveAt = writes.countReadAt;
            writes.writeCount = replica.entry.writeCount;
        }
        writes.countReadAt = listRequestedAt;
    }
}

// A new hub begins with the blocks that it knew as a member, and with its own ends. The members send theirs again.
void HubSync::takeOverParts(BootTime now)
{
    m_parts.ledger.suspected.clear();
    ++m_parts.ledger.version;
    for (const PartSync::SentEnd& sent : m_parts.recentEnds) {
        if (now - sent.end.observedAt <= prompts::observationMemory)
            applyPartChanges(prompts::ledgerRecordEnd(m_parts.ledger, sent.end, now), now);
    }
    refreshPartView();
}

void HubSync::applyMemberParts(const Json& body, BootTime now)
{
    std::vector<prompts::PartChange> changes;
    if (body.contains("settled_parts")) {
        for (const Json& row : body.at("settled_parts"))
            std::ranges::move(
                prompts::ledgerRecordSettled(m_parts.ledger, keyOf(row), now), std::back_inserter(changes));
    }
    if (body.contains("replica_ends")) {
        for (const Json& row : body.at("replica_ends")) {
            prompts::ReplicaEnd end;
            end.life = { row.at(0).get<std::string>(), row.at(1).get<int64_t>() };
            end.observedAt = now - base::Millis(row.at(2).get<int64_t>());
            end.service = row.at(3).get<std::string>();
            end.parts = row.at(4).get<std::vector<std::string>>();
            std::ranges::move(prompts::ledgerRecordEnd(m_parts.ledger, end, now), std::back_inserter(changes));
        }
    }
    applyPartChanges(changes, now);
    advanceParts(now);
}

void HubSync::addPartsToReply(const Json& asked, Json& reply, BootTime now) const
{
    const prompts::PartView& view = m_parts.view;
    bool isSameHub = asked.value("start", "") == m_incarnation;
    if (isSameHub && asked.value("parts_version", uint64_t(0)) == view.version)
        return;
    Json suspected = Json::array();
    for (const auto& [key, lives] : view.suspected) {
        Json ended = Json::array();
        for (const prompts::ReplicaLife& life : lives)
            ended.push_back({ life.replica, life.startedAtMillis });
        suspected.push_back({ key.service, key.part, std::move(ended) });
    }
    Json blocked = Json::array();
    for (const auto& [key, block] : view.blocked)
        blocked.push_back({ key.service, key.part, ageMillis(block.until, now), block.count });
    reply["parts"] = Json { { "version", view.version }, { "suspected", std::move(suspected) },
        { "blocked", std::move(blocked) } };
}

// ---- A member ----------------------------------------------------------------------------------

// Returns the sequence of the last end that the request tells of.
uint64_t HubSync::addPartsToRequest(Json& body, BootTime now)
{
    body["parts_version"] = m_parts.hubVersion;
    Json ends = Json::array();
    size_t bytes = 0;
    uint64_t last = m_parts.told.sequence;
    for (const auto& [end, sequence, endSize] : m_parts.recentEnds) {
        if (sequence <= m_parts.told.sequence)
            continue;
        bytes += endSize;
        if (bytes > maxEndBytesPerCall && !ends.empty())
            break;
        last = sequence;
        if (now - end.observedAt <= prompts::observationMemory)
            ends.push_back(
                { end.life.replica, end.life.startedAtMillis, ageMillis(now, end.observedAt), end.service, end.parts });
    }
    if (!ends.empty())
        body["replica_ends"] = std::move(ends);
    Json settled = Json::array();
    auto addSettled = [&](const PartKey& key) {
        if (prompts::settledContains(m_parts.ledger.settled, key, now))
            settled.push_back({ key.service, key.part });
    };
    for (const auto& [key, lives] : m_parts.view.suspected)
        addSettled(key);
    for (const auto& [key, block] : m_parts.view.blocked)
        addSettled(key);
    if (!settled.empty())
        body["settled_parts"] = std::move(settled);
    return last;
}

void HubSync::applyPartsReply(const Json& body, BootTime requestedAt, uint64_t sentSequence, bool isHub)
{
    if (isHub) {
        // Another hub needs the ends that the previous one was told of.
        if (!toldRecord(m_parts.told, body.at("start").get<std::string>(), sentSequence) && !m_parts.recentEnds.empty())
            requestSync();
    }
    if (!body.contains("parts"))
        return;
    const Json& parts = body.at("parts");
    std::map<PartKey, prompts::PartBlock> blocked;
    for (const Json& row : parts.at("blocked"))
        blocked[keyOf(row)] = { requestedAt + base::Millis(row.at(2).get<int64_t>()), row.at(3).get<int>(), {}, 0 };
    if (!isHub) {
        for (const auto& [key, block] : blocked)
            prompts::ledgerBlock(m_parts.ledger, key, block);
        return refreshPartView();
    }
    std::map<PartKey, std::vector<prompts::ReplicaLife>> suspected;
    for (const Json& row : parts.at("suspected")) {
        std::vector<prompts::ReplicaLife>& lives = suspected[keyOf(row)];
        for (const Json& life : row.at(2))
            lives.push_back({ life.at(0).get<std::string>(), life.at(1).get<int64_t>() });
    }
    m_parts.hubVersion = parts.at("version").get<uint64_t>();
    m_parts.ledger.suspected.clear();
    m_parts.ledger.blocked = std::move(blocked);
    ++m_parts.ledger.version;
    m_parts.view.suspected = std::move(suspected);
    refreshPartView();
    BootTime now = BootClock::now();
    for (const auto& [key, lives] : m_parts.view.suspected) {
        if (prompts::settledContains(m_parts.ledger.settled, key, now))
            return requestSync();
    }
}

} // namespace rattanshunt::hub

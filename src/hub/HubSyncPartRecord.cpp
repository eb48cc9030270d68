// The record of blocked prompt parts in the store.
#include <fmt/format.h>

#include "base/Json.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using prompts::PartKey;
using Json = nlohmann::json;

namespace {

    constexpr int64_t maxBlockCount = 1000; // of one part, that a record is believed to name

    // The blocks in the store's value. Rows that cannot be read are left out.
    std::map<PartKey, prompts::PartBlock> readStoredBlocks(const std::string& value, BootTime now)
    {
        std::map<PartKey, prompts::PartBlock> blocks;
        Json json = base::jsonTryParse(value);
        if (!json.is_object() || !json.contains("parts") || !json.at("parts").is_array())
            return blocks;
        for (const Json& row : json.at("parts")) {
            try {
                auto until = base::jsonInteger(row.at("until_ms"));
                auto count = base::jsonInteger(row.at("blocks"));
                if (!until || !count)
                    throw base::JsonFault("a time or a count is not a number in range");
                prompts::PartBlock block;
                block.until = now + std::min<base::Millis>(base::Millis(*until) - unixNow(), prompts::maxBlockTime);
                block.count = static_cast<int>(std::min(*count, maxBlockCount));
                blocks[{ row.at("service").get<std::string>(), row.at("part").get<std::string>() }] = block;
            } catch (const std::exception& error) {
                base::logEvent(LogLevel::Warning, "part.record_unreadable", { { "why", error.what() } });
            }
        }
        return blocks;
    }

} // namespace

// `entry`: the record, or null if the store has none. `era`: of the store when it was read.
void HubSync::applyStoredParts(const coordination::KvEntry* entry, int64_t era, BootTime requestedAt)
{
    int64_t revision = entry ? entry->modRevision : 0;
    // A copy of the store neither lifts blocks nor brings them back; the hub writes what is known.
    bool isCopy = m_parts.storedEra && *m_parts.storedEra != era;
    if ((revision == m_parts.storedRevision && !isCopy) || requestedAt < m_parts.storeWrittenAt)
        return;
    m_parts.storedEra = era;
    BootTime now = BootClock::now();
    std::map<PartKey, prompts::PartBlock> blocks;
    if (entry)
        blocks = readStoredBlocks(entry->value, now);
    for (const auto& [key, count] : m_parts.stored) {
        if (!blocks.contains(key) && !isCopy)
            applyPartChanges(prompts::ledgerUnblock(m_parts.ledger, key), now);
    }
    m_parts.stored.clear();
    for (const auto& [key, block] : blocks) {
        m_parts.stored[key] = block.count;
        if (!isCopy)
            prompts::ledgerBlock(m_parts.ledger, key, block);
    }
    m_parts.storedRevision = revision;
    refreshPartView();
}

// Writes the blocks to the store if it has others. Only while this daemon's hub record stands, as a successor may know
// better. Suspends.
void HubSync::storeParts()
{
    BootTime now = BootClock::now();
    if (!m_term.isHeld || termIsOver(m_term, now))
        return;
    std::map<PartKey, int> counts;
    Json rows = Json::array();
    for (const auto& [key, block] : m_parts.ledger.blocked) {
        counts[key] = block.count;
        base::Millis until = unixNow() + base::Millis(ageMillis(block.until, now));
        rows.push_back(Json { { "service", key.service }, { "part", key.part }, { "until_ms", until.count() },
            { "blocks", block.count } });
    }
    if (counts == m_parts.stored)
        return;
    auto written = m_kv.txn({ { partsKey, m_parts.storedRevision }, { hubKey, m_term.fencingToken } },
        { { partsKey, Json { { "parts", std::move(rows) } }.dump(), 0 } });
    // A write whose outcome is unknown shows at the next read.
    if (written.error != coordination::KvError::None || !written.isApplied)
        return;
    m_parts.stored = std::move(counts);
    m_parts.storedRevision = written.revision;
    m_parts.storeWrittenAt = BootClock::now();
}

} // namespace rattanshunt::hub

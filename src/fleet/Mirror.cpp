#include "fleet/Mirror.h"

#include "coordination/KvCodec.h"

namespace rattanshunt::fleet {

using coordination::KvEntry;
using coordination::KvEvent;
using nlohmann::json;

namespace {

    bool isMirrored(const std::string& key)
    {
        return key.starts_with(mirrorPrefix);
    }

    void appendToHistory(Mirror& mirror, const KvEvent& event)
    {
        mirror.history.push_back(event);
        while (mirror.history.size() > mirrorHistoryLimit) {
            mirror.historyStartRevision = mirror.history.front().entry.modRevision;
            mirror.history.pop_front();
        }
    }

    void applyEvent(Mirror& mirror, const KvEvent& event)
    {
        if (event.isDelete)
            mirror.records.erase(event.entry.key);
        else
            mirror.records[event.entry.key]
                = { event.entry.value, event.entry.modRevision, event.entry.createRevision };
        appendToHistory(mirror, event);
        ++mirror.changeCount;
    }

    json eventsToJson(const Mirror& mirror, Revision after)
    {
        json events = json::array();
        for (const KvEvent& event : mirror.history) {
            if (event.entry.modRevision > after)
                events.push_back({ event.isDelete, event.entry.key, event.entry.value, event.entry.modRevision,
                    event.entry.createRevision });
        }
        return events;
    }

    json snapshotToJson(const Mirror& mirror)
    {
        json entries = json::array();
        for (auto& [key, record] : mirror.records)
            entries.push_back({ false, key, record.value, record.modRevision, record.createRevision });
        return entries;
    }

    std::vector<KvEvent> eventsFromJson(const json& list)
    {
        std::vector<KvEvent> events;
        events.reserve(list.size());
        for (const json& item : list) {
            KvEvent event;
            event.isDelete = item.at(0).get<bool>();
            event.entry.key = item.at(1).get<std::string>();
            event.entry.value = item.at(2).get<std::string>();
            event.entry.modRevision = item.at(3).get<Revision>();
            event.entry.createRevision = item.at(4).get<Revision>();
            events.push_back(std::move(event));
        }
        return events;
    }

    std::vector<KvEntry> entriesOf(std::vector<KvEvent> events)
    {
        std::vector<KvEntry> entries;
        entries.reserve(events.size());
        for (KvEvent& event : events)
            entries.push_back(std::move(event.entry));
        return entries;
    }

} // namespace

void mirrorApplyEvents(Mirror& mirror, const std::vector<KvEvent>& events, Revision head, const MirrorRules& rules)
{
    for (const KvEvent& event : events) {
        bool isOlder = event.entry.modRevision <= mirror.revision;
        if (!isMirrored(event.entry.key) || (isOlder && rules.refusesOlderRevisions))
            continue;
        applyEvent(mirror, event);
    }
    // All changes of a transaction share one revision, so the mirror's revision advances only after the whole batch.
    for (const KvEvent& event : events)
        head = std::max(head, event.entry.modRevision);
    if (head > mirror.revision || !rules.refusesOlderRevisions)
        mirror.revision = head;
}

void mirrorApplySnapshot(
    Mirror& mirror, const std::vector<KvEntry>& entries, Revision revision, const MirrorRules& rules)
{
    if (revision <= mirror.revision && rules.refusesOlderRevisions)
        return;
    mirror.records.clear();
    for (const KvEntry& entry : entries) {
        if (isMirrored(entry.key))
            mirror.records[entry.key] = { entry.value, entry.modRevision, entry.createRevision };
    }
    mirror.revision = revision;
    mirror.history.clear();
    mirror.historyStartRevision = revision;
    ++mirror.changeCount;
}

void mirrorApplyInstances(Mirror& mirror, const std::vector<coordination::Instance>& changed, int64_t version)
{
    if (version <= mirror.instanceListVersion)
        return;
    for (const coordination::Instance& instance : changed)
        mirror.instances[instance.id] = { instance, version };
    mirror.instanceListVersion = version;
    ++mirror.changeCount;
}

void mirrorUpdateFreshness(Mirror& mirror, Revision head, base::TimePoint sentAt)
{
    if (mirror.revision >= head)
        mirror.freshAsOf = std::max(mirror.freshAsOf, sentAt);
}

void mirrorWithdrawKey(Mirror& mirror, const std::string& keyName)
{
    if (mirror.withdrawnKeys.insert(keyName).second)
        ++mirror.changeCount;
}

json mirrorDelta(const Mirror& mirror, Revision revision, int64_t listVersion, base::TimePoint now)
{
    json delta = { { "rev", mirror.revision }, { "list_rev", mirror.instanceListVersion } };
    if (mirror.freshAsOf != base::TimePoint {})
        delta["age_us"] = std::chrono::duration_cast<base::Micros>(now - mirror.freshAsOf).count();
    if (revision < mirror.revision) {
        bool needsSnapshot = revision < mirror.historyStartRevision;
        json changes = needsSnapshot ? snapshotToJson(mirror) : eventsToJson(mirror, revision);
        if (needsSnapshot || !changes.empty())
            delta[needsSnapshot ? "snapshot" : "events"] = std::move(changes);
    }
    if (listVersion < mirror.instanceListVersion) {
        json entries = json::array();
        for (auto& [id, entry] : mirror.instances) {
            if (entry.changedAtVersion > listVersion)
                entries.push_back(coordination::instanceToJson(entry.instance));
        }
        delta["list"] = std::move(entries);
    }
    if (!mirror.withdrawnKeys.empty())
        delta["withdrawn"] = mirror.withdrawnKeys;
    return delta;
}

bool mirrorMerge(Mirror& mirror, const json& delta, base::TimePoint sentAt, const MirrorRules& rules)
{
    try {
        auto revision = delta.at("rev").get<Revision>();
        if (delta.contains("snapshot"))
            mirrorApplySnapshot(mirror, entriesOf(eventsFromJson(delta["snapshot"])), revision, rules);
        else if (revision > mirror.revision || !rules.refusesOlderRevisions)
            mirrorApplyEvents(mirror, eventsFromJson(delta.value("events", json::array())), revision, rules);
        if (delta.contains("list")) {
            std::vector<coordination::Instance> changed;
            for (const json& item : delta["list"]) {
                if (auto instance = coordination::instanceFromJson(item))
                    changed.push_back(std::move(*instance));
            }
            mirrorApplyInstances(mirror, changed, delta.at("list_rev").get<int64_t>());
        }
        for (const json& name : delta.value("withdrawn", json::array()))
            mirrorWithdrawKey(mirror, name.get<std::string>());
        if (delta.contains("age_us"))
            mirrorUpdateFreshness(mirror, revision, sentAt - base::Micros(delta["age_us"].get<int64_t>()));
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

const char* freshnessName(Freshness freshness)
{
    switch (freshness) {
    case Freshness::Fresh:
        return "fresh";
    case Freshness::Outage:
        return "outage";
    case Freshness::CutOff:
        return "cut_off";
    }
    return "cut_off";
}

Freshness freshnessDecide(const FreshnessView& view, base::TimePoint now, base::Duration limit)
{
    if (view.freshAsOf != base::TimePoint {} && now - view.freshAsOf <= limit)
        return Freshness::Fresh;
    return view.freshMembers * 2 > view.knownMembers ? Freshness::Outage : Freshness::CutOff;
}

} // namespace rattanshunt::fleet

// Cold replicas: from their entries in the store to the hub, and with each sync reply to the members. What is known of
// a replica's availability.
#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using limits::ColdRow;
using Json = nlohmann::json;

namespace {

    constexpr int64_t noEnd = -1; // on the wire: cold until the replica says otherwise

    int64_t microsLeft(BootTime until, BootTime now)
    {
        return until == BootTime::max() ? noEnd : std::max<int64_t>(0, ageMicros(until, now));
    }

    BootTime timeAfter(BootTime from, int64_t micros)
    {
        return micros == noEnd ? BootTime::max() : from + base::Micros(micros);
    }

} // namespace

// ---- Knowledge ---------------------------------------------------------------------------------

// The service of a listed replica if its replicas turn cold; null otherwise.
const gateway::Service* HubSync::coldServiceOf(const std::string& replica) const
{
    auto found = m_directory.replicas.find(replica);
    if (!m_configuration || found == m_directory.replicas.end())
        return nullptr;
    auto service = m_configuration->services.find(found->second.entry.service);
    bool turnsCold = service != m_configuration->services.end() && service->second.coldPerSecond;
    return turnsCold ? &service->second : nullptr;
}

std::optional<BootTime> HubSync::coldUntil(const std::string& replica, int64_t startedAtMillis) const
{
    return coldServiceOf(replica) ? limits::coldUntil(m_cold.ledger, replica, startedAtMillis, BootClock::now())
                                  : std::nullopt;
}

directory::ReplicaLife HubSync::replicaLife(
    const directory::Replica& replica, const std::optional<std::set<std::string>>& homes) const
{
    const gateway::ReplicaEntry& entry = replica.entry;
    directory::ReplicaLife life;
    life.isLeaving = !directory::replicaIsUsable(replica)
        || directory::noticeIsLeaving(m_notices, entry.id, entry.startedAtMillis);
    life.isEvacuated = evacuation::isEvacuated(m_evacuations, entry.dataCenter);
    if (homes) {
        auto geo = m_options.geos.find(entry.dataCenter);
        life.isOutsideHomes = geo == m_options.geos.end() || !homes->contains(geo->second);
    }
    life.quietUntil = directory::noticeQuietUntil(m_notices, entry.id, entry.startedAtMillis, BootClock::now());
    life.limit = replicaLimit(entry.id, entry.startedAtMillis);
    life.coldUntil = limits::coldUntil(m_cold.ledger, entry.id, entry.startedAtMillis, BootClock::now());
    const gateway::Service* service = life.coldUntil ? coldServiceOf(entry.id) : nullptr;
    if (service)
        life.coldRate = limits::coldPermitRate(*service->coldPerSecond, m_options.coldBound);
    else
        life.coldUntil.reset();
    return life;
}

std::optional<double> HubSync::replicaPermitRate(const std::string& replica, int64_t startedAtMillis) const
{
    directory::ReplicaLife life;
    life.limit = replicaLimit(replica, startedAtMillis);
    life.coldUntil = coldUntil(replica, startedAtMillis);
    if (life.coldUntil)
        life.coldRate = limits::coldPermitRate(*coldServiceOf(replica)->coldPerSecond, m_options.coldBound);
    return directory::replicaPermitRate(life, BootClock::now());
}

size_t HubSync::coldReplicaCount() const
{
    return limits::coldRows(m_cold.ledger, BootClock::now()).size();
}

// ---- The store ---------------------------------------------------------------------------------

// The processes of replicas that may turn cold, by replica. Call before a list is applied.
std::map<std::string, HubSync::ListedProcess> HubSync::listedProcesses() const
{
    std::map<std::string, ListedProcess> processes;
    for (const auto& [id, replica] : m_directory.replicas) {
        if (coldServiceOf(id))
            processes[id] = { replica.entry.startedAtMillis, replica.revision };
    }
    return processes;
}

// Takes over what entries say that have changed since `before`.
void HubSync::applyColdEntries(const std::map<std::string, ListedProcess>& before, BootTime readAt)
{
    BootTime now = BootClock::now();
    for (const auto& [id, replica] : m_directory.replicas) {
        const gateway::Service* service = coldServiceOf(id);
        if (!service)
            continue;
        auto known = before.find(id);
        bool wasListed = known != before.end();
        bool isNew = !wasListed || known->second.startedAtMillis != replica.entry.startedAtMillis;
        if (!isNew && known->second.revision == replica.revision)
            continue;
        limits::ColdStatement statement { id, replica.entry.startedAtMillis, isNew, wasListed,
            replica.entry.coldTimeLeft, service->coldTime };
        if (limits::coldApplyEntry(m_cold.ledger, statement, readAt, now, m_options.entryInterval))
            logCold(id, "entry");
    }
}

void HubSync::pruneCold(BootTime now)
{
    limits::coldPrune(
        m_cold.ledger,
        [this](const std::string& id) -> std::optional<int64_t> {
            auto found = m_directory.replicas.find(id);
            return found == m_directory.replicas.end() ? std::nullopt
                                                       : std::optional(found->second.entry.startedAtMillis);
        },
        now);
}

void HubSync::logCold(const std::string& replica, const char* source) const
{
    base::counterAddLabelled("replicas_cold_total", "source", source);
    auto found = m_cold.ledger.replicas.find(replica);
    BootTime until = found->second.until;
    base::logEvent(LogLevel::Info, "replica.cold",
        { { "replica", replica }, { "start", found->second.startedAtMillis }, { "source", source },
            { "for_ms", until == BootTime::max() ? -1 : ageMillis(until, BootClock::now()) } });
}

// The replicas of a data centre are used again. Until their entries tell, they may be cold. An entry that says that its
// replica is warm is not changed by the next one that says so, so the presumption ends by itself.
void HubSync::presumeCold(const std::string& dataCenter)
{
    BootTime now = BootClock::now();
    for (const auto& [id, replica] : m_directory.replicas) {
        const gateway::Service* service = coldServiceOf(id);
        if (!service || replica.entry.dataCenter != dataCenter)
            continue;
        limits::coldPresume(m_cold.ledger, id, replica.entry.startedAtMillis, now + service->coldTime, now);
        logCold(id, "returned");
    }
}

void HubSync::presumeRestarted(const std::string& replica, int64_t startedAtMillis)
{
    const gateway::Service* service = coldServiceOf(replica);
    if (!service || coldUntil(replica, startedAtMillis))
        return;
    BootTime now = BootClock::now();
    limits::coldPresume(m_cold.ledger, replica, startedAtMillis, now + service->coldTime, now, true);
    if (coldUntil(replica, startedAtMillis))
        logCold(replica, "ended");
    notifySubscribers();
}

// ---- Messages ----------------------------------------------------------------------------------

void HubSync::addColdToReply(const Json& asked, Json& reply, BootTime now) const
{
    bool isSameHub = asked.value("start", "") == m_incarnation;
    if (isSameHub && asked.value("cold_version", uint64_t(0)) == m_cold.ledger.version)
        return;
    Json rows = Json::array();
    for (const ColdRow& row : limits::coldRows(m_cold.ledger, now))
        rows.push_back(
            { row.replica, row.startedAtMillis, microsLeft(row.until, now), microsLeft(row.permitsFrom, now) });
    reply["cold"] = Json { { "version", m_cold.ledger.version }, { "rows", std::move(rows) } };
}

void HubSync::applyColdReply(const Json& body, BootTime requestedAt, BootTime asOf, bool isHub)
{
    if (!body.contains("cold"))
        return;
    BootTime now = BootClock::now();
    std::vector<ColdRow> rows;
    for (const Json& row : body.at("cold").at("rows")) {
        // The times left are counted from the arrival, which is later than their writing.
        rows.push_back({ row.at(0).get<std::string>(), row.at(1).get<int64_t>(),
            timeAfter(now, row.at(2).get<int64_t>()), timeAfter(requestedAt, row.at(3).get<int64_t>()) });
    }
    bool isComplete = limits::coldApplyRows(m_cold.ledger, rows, asOf, isHub, now);
    if (isHub)
        m_cold.hubVersion = isComplete ? body.at("cold").at("version").get<uint64_t>() : 0;
    notifySubscribers();
}

// A member that asks for a permit tells what it knows of the replica, as a response or the replica's end may have told
// it alone.
void HubSync::applyMemberCold(const Json& body, BootTime now)
{
    if (!body.contains("cold_left_us"))
        return;
    std::string replica = body.at("replica").get<std::string>();
    auto startedAtMillis = body.at("born").get<int64_t>();
    if (!coldServiceOf(replica) || coldUntil(replica, startedAtMillis))
        return;
    BootTime asOf = now - base::Micros(body.at("cold_age_us").get<int64_t>());
    auto known = m_cold.ledger.replicas.find(replica);
    bool isNewer = known == m_cold.ledger.replicas.end() || known->second.startedAtMillis != startedAtMillis
        || asOf > known->second.asOf;
    if (!isNewer)
        return;
    limits::coldPresume(
        m_cold.ledger, replica, startedAtMillis, timeAfter(now, body.at("cold_left_us").get<int64_t>()), asOf, true);
    auto adopted = m_cold.ledger.replicas.find(replica);
    adopted->second.permitsFrom = now + limits::coldInformDelay;
    if (coldUntil(replica, startedAtMillis))
        logCold(replica, "member");
}

} // namespace rattanshunt::hub

// Request rates that replicas name: observations from all daemons to the hub, limits and permits from the hub to all.
#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using limits::LimitChange;
using limits::LimitObservation;
using limits::PermitAnswer;
using Json = nlohmann::json;

// ---- Observations ------------------------------------------------------------------------------

void HubSync::recordLimit(const LimitObservation& observation)
{
    bool isLimited = limits::ledgerFind(m_limits.ledger, observation.replica, observation.startedAtMillis);
    if (!observation.rate && !isLimited)
        return;
    auto& recent = m_limits.recent;
    bool isRepeated = !recent.empty() && recent.back().sequence > m_limits.sentSequence
        && recent.back().observation.replica == observation.replica
        && recent.back().observation.startedAtMillis == observation.startedAtMillis
        && recent.back().observation.rate == observation.rate;
    if (isRepeated) {
        LimitObservation& last = recent.back().observation;
        last.answers += observation.answers;
        last.answeredAt = observation.answeredAt;
        // Responses without a limit only count from the earliest request on.
        last.requestedAt = observation.rate ? observation.requestedAt : last.requestedAt;
    } else
        recent.push_back({ observation, ++m_limits.lastSequence });
    while (recent.size() > maxRecentLimits
        || BootClock::now() - recent.front().observation.answeredAt > limitObservationMemory)
        recent.pop_front();
    // The end of a limit is the hub's to decide, which sees the responses that all daemons get.
    if (observation.rate || m_term.isHeld || !hasHub())
        applyLimitObservation(observation, m_options.name);
}

void HubSync::applyLimitObservation(const LimitObservation& observation, const std::string& source)
{
    BootTime now = BootClock::now();
    LimitChange change = limits::ledgerRecord(m_limits.ledger, observation, now);
    if (change == LimitChange::None)
        return;
    base::logEvent(LogLevel::Info, change == LimitChange::Lifted ? "replica.limit_lifted" : "replica.limited",
        { { "replica", observation.replica }, { "per_second", observation.rate.value_or(-1) }, { "source", source },
            { "age_ms", ageMillis(now, observation.answeredAt) } });
    if (change == LimitChange::Lifted)
        m_limits.schedules.erase(observation.replica);
    if (!m_term.isHeld)
        requestSync();
    notifySubscribers();
}

std::optional<double> HubSync::replicaLimit(const std::string& replica, int64_t startedAtMillis) const
{
    const limits::ReplicaLimit* limit = limits::ledgerFind(m_limits.ledger, replica, startedAtMillis);
    return limit ? std::optional(limit->rate) : std::nullopt;
}

void HubSync::pruneLimits(BootTime now)
{
    limits::ledgerPrune(
        m_limits.ledger,
        [this](const std::string& id) -> std::optional<int64_t> {
            auto found = m_directory.replicas.find(id);
            return found == m_directory.replicas.end() ? std::nullopt
                                                       : std::optional(found->second.entry.startedAtMillis);
        },
        now);
    auto isUnlimited = [&](const auto& item) {
        auto cold = m_cold.ledger.replicas.find(item.first);
        bool isCold = cold != m_cold.ledger.replicas.end() && now < cold->second.until;
        return !isCold && !m_limits.ledger.limits.contains(item.first);
    };
    std::erase_if(m_limits.schedules, isUnlimited);
    std::erase_if(m_limits.shares, isUnlimited);
}

// ---- Messages ----------------------------------------------------------------------------------

// Adds what the hub has not been told; returns the sequence of the last observation.
uint64_t HubSync::addLimitsToRequest(Json& body, BootTime now)
{
    body["limits_version"] = m_limits.hubVersion;
    Json rows = Json::array();
    for (const auto& [seen, sequence] : m_limits.recent) {
        if (sequence > m_limits.told.sequence)
            rows.push_back({ seen.replica, seen.startedAtMillis, seen.rate.value_or(-1),
                ageMicros(now, seen.requestedAt), ageMicros(now, seen.answeredAt), seen.answers });
    }
    if (!rows.empty())
        body["named_limits"] = std::move(rows);
    // Permits whose return is lost stay unused.
    if (!m_limits.unusedPermits.empty())
        body["unused_permits"] = std::exchange(m_limits.unusedPermits, {});
    m_limits.sentSequence = m_limits.lastSequence;
    return m_limits.lastSequence;
}

void HubSync::applyMemberLimits(const std::string& from, const Json& body, BootTime now)
{
    if (body.contains("named_limits")) {
        for (const Json& row : body.at("named_limits")) {
            LimitObservation seen;
            seen.replica = row.at(0).get<std::string>();
            seen.startedAtMillis = row.at(1).get<int64_t>();
            double rate = row.at(2).get<double>();
            seen.rate = rate < 0 ? std::nullopt : std::optional(rate);
            seen.requestedAt = now - base::Micros(row.at(3).get<int64_t>());
            seen.answeredAt = now - base::Micros(row.at(4).get<int64_t>());
            seen.answers = row.at(5).get<int>();
            applyLimitObservation(seen, from);
        }
    }
    if (!body.contains("unused_permits"))
        return;
    for (auto& [replica, count] : body.at("unused_permits").items()) {
        auto limit = m_limits.ledger.limits.find(replica);
        auto schedule = m_limits.schedules.find(replica);
        if (limit == m_limits.ledger.limits.end() || schedule == m_limits.schedules.end())
            continue;
        for (int i = 0; i < count.get<int>(); ++i)
            limits::permitReturn(schedule->second, limit->second.rate);
    }
}

void HubSync::addLimitsToReply(const Json& asked, Json& reply) const
{
    bool isSameHub = asked.value("start", "") == m_incarnation;
    if (isSameHub && asked.value("limits_version", uint64_t(0)) == m_limits.ledger.version)
        return;
    Json rows = Json::array();
    for (const auto& [replica, limit] : m_limits.ledger.limits)
        rows.push_back({ replica, limit.startedAtMillis, limit.rate });
    reply["limits"] = Json { { "version", m_limits.ledger.version }, { "rows", std::move(rows) } };
}

void HubSync::recordLimitsTold(const Json& body, uint64_t sentSequence)
{
    if (!toldRecord(m_limits.told, body.at("start").get<std::string>(), sentSequence) && !m_limits.recent.empty())
        requestSync();
}

void HubSync::applyLimitsReply(const Json& body, BootTime requestedAt, uint64_t sentSequence, bool isHub)
{
    if (isHub)
        recordLimitsTold(body, sentSequence);
    if (!body.contains("limits"))
        return;
    std::map<std::string, limits::ReplicaLimit> limits;
    for (const Json& row : body.at("limits").at("rows")) {
        limits::ReplicaLimit limit { row.at(1).get<int64_t>(), row.at(2).get<double>(), requestedAt, requestedAt, 0 };
        limits[row.at(0).get<std::string>()] = limit;
    }
    if (!isHub) {
        // Another member may know less than this one, so nothing ends.
        for (const auto& [replica, limit] : limits)
            limits::ledgerRecord(m_limits.ledger,
                { replica, limit.startedAtMillis, limit.rate, requestedAt, requestedAt, 1 }, BootClock::now());
        return;
    }
    m_limits.hubVersion = body.at("limits").at("version").get<uint64_t>();
    m_limits.ledger.limits = std::move(limits);
    ++m_limits.ledger.version;
    for (const auto& [seen, sequence] : m_limits.recent) {
        if (sequence > sentSequence && seen.rate)
            limits::ledgerRecord(m_limits.ledger, seen, BootClock::now());
    }
    notifySubscribers();
}

// ---- Permits -----------------------------------------------------------------------------------

// Precondition: this daemon is the hub.
PermitAnswer HubSync::grantPermit(
    const std::string& replica, int64_t startedAtMillis, base::Duration maxWait, BootTime now)
{
    std::optional<double> rate = replicaPermitRate(replica, startedAtMillis);
    if (!rate)
        return { true, base::Duration(0), false };
    bool isCold = coldUntil(replica, startedAtMillis).has_value();
    auto [schedule, isNew] = m_limits.schedules.try_emplace(replica);
    if (isNew)
        schedule->second.nextAt = m_term.electedAt + (isCold ? limits::coldTakeoverDelay : limits::takeoverDelay);
    base::counterAdd("replica_permits_requested_total");
    if (!isCold)
        return limits::permitTake(schedule->second, *rate, now, maxWait);
    const limits::ColdState& state = m_cold.ledger.replicas.at(replica);
    schedule->second.nextAt = std::max(schedule->second.nextAt, state.permitsFrom);
    PermitAnswer answer
        = limits::permitTake(schedule->second, *rate, now, std::min<base::Duration>(maxWait, limits::coldPermitWait));
    // A returned permit would be granted again at the time of another one, which is too many within a second.
    answer.isFromHub = false;
    return answer;
}

Json HubSync::handlePermitCall(const std::string& from, const Json& body)
{
    BootTime now = BootClock::now();
    if (termIsOver(m_term, now))
        return Json { { "hub", false } };
    applyMemberLimits(from, body, now);
    applyMemberCold(body, now);
    PermitAnswer answer = grantPermit(body.at("replica").get<std::string>(), body.at("born").get<int64_t>(),
        base::Millis(body.at("max_wait_ms").get<int64_t>()), now);
    return Json { { "hub", true }, { "start", m_incarnation }, { "granted", answer.isGranted },
        { "scheduled", answer.isFromHub },
        { "starts_in_us", std::chrono::duration_cast<base::Micros>(answer.startsIn).count() } };
}

PermitAnswer HubSync::takePermit(const std::string& replica, int64_t startedAtMillis, base::Duration maxWait)
{
    BootTime now = BootClock::now();
    maxWait = std::clamp<base::Duration>(maxWait, base::Duration(0), limits::maxPermitWait);
    std::optional<double> rate = replicaPermitRate(replica, startedAtMillis);
    if (!rate)
        return { true, base::Duration(0), false };
    auto until = coldUntil(replica, startedAtMillis);
    if (!termIsOver(m_term, now))
        return grantPermit(replica, startedAtMillis, maxWait, now);
    if (m_hubRecord && m_isHubReachable && m_peers) {
        Json body { { "replica", replica }, { "born", startedAtMillis },
            { "max_wait_ms", std::chrono::duration_cast<base::Millis>(maxWait).count() } };
        if (until) {
            const limits::ColdState& state = m_cold.ledger.replicas.at(replica);
            body["cold_left_us"] = *until == BootTime::max() ? -1 : ageMicros(*until, now);
            body["cold_age_us"] = ageMicros(now, state.asOf);
        }
        uint64_t sentSequence = addLimitsToRequest(body, now);
        net::PeerResult result
            = m_peers->call(m_hubRecord->address, "permit", body, base::Clock::now() + permitTimeout);
        if (result.error == net::PeerError::None && result.body.is_object() && result.body.value("hub", false)) {
            recordLimitsTold(result.body, sentSequence);
            return { result.body.value("granted", false), base::Micros(result.body.value("starts_in_us", int64_t(0))),
                result.body.value("scheduled", false) };
        }
    }
    base::counterAdd("replica_permits_decided_alone_total");
    limits::PermitShare& share = m_limits.shares[replica];
    return until ? limits::coldShareTake(share, *rate, memberCount(), randomFraction(), BootClock::now())
                 : limits::shareTake(share, *rate, memberCount(), randomFraction(), BootClock::now());
}

void HubSync::returnPermit(const std::string& replica)
{
    if (!m_term.isHeld) {
        ++m_limits.unusedPermits[replica];
        return;
    }
    auto limit = m_limits.ledger.limits.find(replica);
    auto schedule = m_limits.schedules.find(replica);
    if (limit != m_limits.ledger.limits.end() && schedule != m_limits.schedules.end())
        limits::permitReturn(schedule->second, limit->second.rate);
}

} // namespace rattanshunt::hub

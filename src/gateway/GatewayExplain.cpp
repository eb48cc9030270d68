// Where a request would go now, in class Gateway: the decisions of a request's way, without carrying them out.
#include <cmath>

#include <fmt/format.h>

#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using Json = nlohmann::json;

namespace {

    constexpr size_t maxReplicasShown = 200;

    int64_t millisSince(BootTime now, BootTime then)
    {
        return then == BootTime {} ? -1 : std::chrono::duration_cast<base::Millis>(now - then).count();
    }

    Json candidateJson(const SelectionTrace& trace, size_t i)
    {
        const ReplicaCandidate& candidate = trace.candidates[i];
        Json json { { "replica", candidate.id }, { "data_center", trace.dataCenters[i] }, { "slots", candidate.slots },
            { "reported_in_flight", candidate.reportedInFlight }, { "own_in_flight", candidate.ownInFlight },
            { "report_age_ms", base::millisOf(candidate.reportAge) } };
        if (trace.terms.size() <= i || trace.terms[i].empty()) {
            json["not_usable"] = "full, or fails while others do not";
            return json;
        }
        double cost = 0;
        Json terms = Json::object();
        for (const auto& [term, value] : trace.terms[i]) {
            cost += value;
            if (std::isfinite(value))
                terms[term] = value;
        }
        if (std::isfinite(cost))
            json["cost"] = cost;
        else
            json["not_usable"] = "its data centre's slots are kept for its own callers, or it is not reached";
        json["terms"] = std::move(terms);
        return json;
    }

} // namespace

// Why a replica of the request's service is no candidate.
const char* Gateway::exclusionReason(
    const RequestContext& request, const directory::Replica& replica, BootTime now) const
{
    bool isEngine = request.service->engine && !request.head.model.empty();
    if (isEngine && !directory::replicaHasModel(replica, request.head.model, request.head.adapter, now))
        return "model_not_loaded";
    if (const char* obstacle = directory::obstacleName(directory::replicaObstacle(lifeOf(request, replica, now), now)))
        return obstacle;
    return replica.isUnreachableFromHub ? "unreachable_from_hub" : "not_a_candidate";
}

// Selects a replica for the request without an effect on later selections.
Json Gateway::explainSelection(RequestContext& request)
{
    auto stats = m_replicaStats;
    auto credits = m_spillCredits;
    auto transferSeconds = m_transferSeconds;
    m_isExplaining = true;
    ReplicaChoice choice = selectReplica(request, {});
    m_isExplaining = false;
    m_replicaStats = std::move(stats);
    m_spillCredits = std::move(credits);
    m_transferSeconds = std::move(transferSeconds);

    BootTime now = BootClock::now();
    const SelectionTrace& trace = *request.trace;
    std::set<std::string_view> candidateIds;
    Json candidates = Json::array();
    for (size_t i = 0; i < trace.candidates.size(); ++i) {
        candidateIds.insert(trace.candidates[i].id);
        if (i < maxReplicasShown)
            candidates.push_back(candidateJson(trace, i));
    }
    Json excluded = Json::array();
    for (const auto& [id, replica] : m_hubSync.directory().replicas) {
        if (replica.entry.service == request.service->name && !candidateIds.contains(id)
            && excluded.size() < maxReplicasShown)
            excluded.push_back({ { "replica", id }, { "data_center", replica.entry.dataCenter },
                { "why", exclusionReason(request, replica, now) } });
    }
    Json json { { "candidates", candidates }, { "candidate_count", trace.candidates.size() },
        { "excluded", excluded } };
    const std::string& own = m_hubSync.options().dataCenter;
    json["other_data_centers"] = { { "is_planned", spill::spillIsOn(m_hubSync.options().spill) }, { "own", own },
        { "plan_age_ms", millisSince(now, m_hubSync.spillSync().asOf) }, { "shares", trace.spillShares },
        { "sent_away_to", request.spillTarget.value_or("") }, { "transfer_ms", 1000 * trace.transferSeconds },
        { "mean_transfer_ms", 1000 * trace.meanTransferSeconds } };
    if (choice.replica) {
        json["decision"] = { { "outcome", choice.needsPermit ? "waits for a permit" : "is sent" },
            { "replica", choice.replica->entry.id }, { "data_center", choice.replica->entry.dataCenter },
            { "leaves_data_center", choice.replica->entry.dataCenter != own } };
        return json;
    }
    if (request.homes && !choice.isInHomes) {
        json["decision"] = { { "outcome", "is refused" }, { "why", "no_replica_in_homes" } };
        return json;
    }
    WaitInputs inputs;
    inputs.timeLeft = request.deadline - now;
    inputs.firstByteTimeLeft = request.firstByteDeadline - now;
    inputs.waitingRequests = m_waitingRequests.size();
    inputs.hasUsableReplica = choice.hasUsable;
    inputs.isEngineService = request.service->engine.has_value();
    inputs.hasHub = m_hubSync.hasHub();
    inputs.isForAdapter = !request.head.adapter.empty();
    if (choice.permitAt)
        inputs.permitIn = std::max<base::Duration>(base::Duration(0), *choice.permitAt - now);
    if (auto readyAt = choice.hasUsable ? std::nullopt : estimatedReadyAt(request))
        inputs.readyIn = *readyAt - now;
    WaitDecision decision = waitDecide(inputs, m_options.waiting);
    json["decision"] = { { "outcome", decision.mayWait ? "waits" : "is refused" }, { "why", decision.reason },
        { "ready_in_ms", inputs.readyIn ? base::millisOf(*inputs.readyIn) : -1 },
        { "retry_after_ms", decision.retryAfter ? decision.retryAfter->count() : -1 },
        { "waiting_here", inputs.waitingRequests } };
    return json;
}

Json Gateway::explainWhere(net::HttpExchange& exchange, const WhereQuestion& question)
{
    BootTime now = BootClock::now();
    auto configuration = m_hubSync.configuration();
    Json json { { "knowledge",
        { { "age_ms", millisSince(now, m_hubSync.freshAsOf()) },
            { "source", hub::directorySourceName(m_hubSync.directorySource()) }, { "has_hub", m_hubSync.hasHub() },
            { "is_hub", m_hubSync.isHub() }, { "is_fresh_for_keys", hasFreshConfiguration(now) },
            { "configuration_version", configuration ? configuration->version : 0 } } } };
    auto refused = [&](const char* reason) {
        json["decision"] = { { "outcome", "is refused" }, { "why", reason } };
        return json;
    };
    if (!configuration)
        return refused("no_configuration");
    SelectionTrace trace;
    trace.bodyBytes = question.bodyBytes;
    RequestContext request { exchange, question.head };
    request.trace = &trace;
    request.configuration = configuration;
    request.arrivedAt = now;
    request.sharedParts = sharedPartsOf(request.head);
    request.route = routeFind(*configuration, request.head.host, question.path);
    if (!request.route)
        return refused("no_route");
    Json split = Json::array();
    for (const ServiceWeight& weight : request.route->services)
        split.push_back({ { "service", weight.service }, { "weight", weight.weight } });
    double draw = static_cast<double>(base::stableHash(request.head.id) % 100000) / 100000;
    request.service = serviceSelect(*configuration, *request.route, draw);
    json["route"] = { { "name", request.route->name }, { "prefix", request.route->prefix },
        { "is_stream", request.route->isStream }, { "priority", request.route->priority }, { "split", split },
        { "service", request.service ? request.service->name : "" } };
    if (!request.service)
        return refused("no_service");
    request.progress.retryClass = request.route->retryClass;
    request.deadline = now + request.route->timeout;
    request.firstByteDeadline = now + std::min(request.route->timeout, routeFirstByteTimeout(*request.route));
    auto blocked = prompts::viewFindBlocked(m_hubSync.partView(), request.service->name, request.sharedParts, now);
    if (blocked)
        return refused(partBlockedReason);
    bool needsAccount = !request.route->isPublic && !configuration->accounts.empty();
    auto account = configuration->accounts.find(question.account);
    if (needsAccount && !hasFreshConfiguration(now))
        return refused("configuration_stale");
    if (needsAccount && account == configuration->accounts.end())
        return refused("unknown_account");
    if (needsAccount) {
        const Account& found = account->second;
        request.accountName = found.name;
        json["usage"] = { { "account", found.name }, { "keys", found.keys.size() }, { "rate", found.rate },
            { "burst", found.burst },
            { "tokens", found.isTokenMetered ? request.head.totalTokens.value_or(found.defaultTokens) : 1 },
            { "decided_by", m_hubSync.hasHub() ? "hub" : "own_share" }, { "note", "not taken" } };
    }
    request.homes = homesOf(request);
    json.update(explainSelection(request));
    return json;
}

} // namespace rattanshunt::gateway

// Work that is sent to other data centres, in class Gateway.
#include "base/Counters.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;

namespace {

    constexpr double meanWeight = 0.05; // of the newest request in a mean
    constexpr double headBytes = 600;   // of a request's and its response's heads together, about

    hub::ModelKey modelKey(const RequestContext& request)
    {
        return { request.service->name, request.head.model };
    }

    // Tokens of the prompt that other requests may share, so that replicas in the own data centre may have them cached.
    double sharedTokens(const RequestHead& head)
    {
        double tokens = 0;
        for (size_t i = 0; i + 1 < head.promptSegments.size(); ++i)
            tokens += head.promptSegments[i].tokens;
        return tokens;
    }

    void meanAdd(std::map<std::string, double>& means, const std::string& key, double value)
    {
        auto [mean, isNew] = means.try_emplace(key, value);
        mean->second += meanWeight * (value - mean->second);
    }

} // namespace

double Gateway::expectedTransferSeconds(const RequestContext& request) const
{
    auto response = m_responseBytes.find(request.route->name);
    size_t bodyBytes = request.trace ? request.trace->bodyBytes : request.exchange.request().body.size();
    double bytes
        = headBytes + static_cast<double>(bodyBytes) + (response == m_responseBytes.end() ? 0 : response->second);
    return spill::transferSeconds({ bytes / 1e6, sharedTokens(request.head) }, m_hubSync.options().spill);
}

// Sets each candidate's cost for its data centre. Decides once for a request whether it is sent away.
void Gateway::setDataCenterCosts(RequestContext& request, std::vector<ReplicaCandidate>& candidates,
    const std::vector<const directory::Replica*>& replicas, double fixedCost)
{
    const spill::SpillOptions& options = m_hubSync.options().spill;
    const std::string& own = m_hubSync.options().dataCenter;
    std::map<std::string, spill::DataCenterKnowledge> known;
    spill::DataCenterChoice choice { own };
    if (spill::spillIsOn(options) && !candidates.empty()) {
        std::map<std::string, double> slots;
        for (const directory::Replica* replica : replicas)
            slots[replica->entry.dataCenter] += std::max(1.0, replica->entry.slots);
        choice.hasLocalReplica = slots.contains(own);
        for (size_t i = 0; i < candidates.size(); ++i) {
            spill::DataCenterKnowledge& dataCenter = known[replicas[i]->entry.dataCenter];
            double weight = std::max(1.0, candidates[i].slots) / slots[replicas[i]->entry.dataCenter];
            dataCenter.load += weight * replicaLoad(candidates[i], m_options.engineSelection);
            dataCenter.meanFailures += weight * candidates[i].failureScore;
        }
        if (!request.spillTarget)
            request.spillTarget = chooseSpillTarget(request, known);
        choice.target = *request.spillTarget;
    }
    for (size_t i = 0; i < candidates.size(); ++i) {
        const std::string& dataCenter = replicas[i]->entry.dataCenter;
        auto found = known.find(dataCenter);
        candidates[i].dataCenterCost = spill::dataCenterCost(dataCenter, choice,
            found == known.end() ? spill::DataCenterKnowledge {} : found->second, fixedCost, options);
    }
}

std::string Gateway::chooseSpillTarget(
    const RequestContext& request, const std::map<std::string, spill::DataCenterKnowledge>& known)
{
    hub::ModelKey model { request.service->name, request.head.model };
    double cost = expectedTransferSeconds(request);
    double& mean = m_transferSeconds.try_emplace(model, cost).first->second;
    mean += meanWeight * (cost - mean);
    auto shares
        = spill::reachableShares(m_hubSync.spillShares(model, BootClock::now()), known, m_hubSync.options().spill);
    if (request.trace) {
        request.trace->spillShares = shares;
        request.trace->transferSeconds = cost;
        request.trace->meanTransferSeconds = mean;
    }
    double draw = static_cast<double>(base::stableHash(request.head.id) % 1000) / 1000;
    return spill::spillTarget(m_spillCredits[model], shares, mean > 0 ? cost / mean : 1, draw);
}

void Gateway::recordTransfer(const RequestContext& request, const ReplicaEntry& entry, const AttemptResult& result)
{
    if (!result.wasSent)
        return;
    if (result.outcome == AttemptOutcome::Complete)
        meanAdd(m_responseBytes, request.route->name, static_cast<double>(request.attemptBodyBytes));
    if (entry.dataCenter == m_hubSync.options().dataCenter)
        return;
    base::counterAddLabelled("spilled_requests_total", "data_center", entry.dataCenter);
    base::counterAddLabelled("spilled_bytes_total", "data_center", entry.dataCenter,
        static_cast<int64_t>(headBytes) + static_cast<int64_t>(request.exchange.request().body.size())
            + static_cast<int64_t>(request.attemptBodyBytes));
}

} // namespace rattanshunt::gateway

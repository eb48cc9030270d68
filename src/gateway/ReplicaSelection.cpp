#include "gateway/ReplicaSelection.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/Text.h"

namespace rattanshunt::gateway {

double replicaLoad(const ReplicaCandidate& candidate, const ReplicaSelectionOptions& options)
{
    double others = std::max(0.0, candidate.reportedInFlight - candidate.ownInFlightAtReport);
    double halfLives = base::secondsOf(candidate.reportAge) / base::secondsOf(options.reportHalfLife);
    // Without responses there is no new report. An old report loses weight, or a full replica would look full forever.
    double weight = halfLives <= 2 ? 1 : std::exp2(-(halfLives - 2));
    return (others * weight + candidate.ownInFlight) / std::max(1.0, candidate.slots);
}

std::vector<bool> replicasForShortPrompts(
    const std::vector<std::string_view>& ids, uint64_t modelHash, const ReplicaSelectionOptions& options)
{
    std::vector<bool> isForShortPrompts(ids.size(), false);
    if (ids.size() < options.minReplicasForGroups)
        return isForShortPrompts;
    std::vector<std::pair<uint64_t, size_t>> ranks;
    for (size_t i = 0; i < ids.size(); ++i)
        ranks.emplace_back(base::stableHash(ids[i], modelHash), i);
    std::sort(ranks.begin(), ranks.end());
    auto count = static_cast<size_t>(std::ceil(options.shortPromptFraction * static_cast<double>(ids.size())));
    for (size_t i = 0; i < count; ++i)
        isForShortPrompts[ranks[i].second] = true;
    return isForShortPrompts;
}

std::optional<size_t> replicaSelect(const std::vector<ReplicaCandidate>& candidates, const SelectionRequest& request,
    const ReplicaSelectionOptions& options)
{
    bool hasGroups = request.modelHash && candidates.size() >= options.minReplicasForGroups;
    std::vector<bool> isForShortPrompts;
    if (hasGroups) {
        std::vector<std::string_view> ids;
        ids.reserve(candidates.size());
        for (const ReplicaCandidate& candidate : candidates)
            ids.push_back(candidate.id);
        isForShortPrompts = replicasForShortPrompts(ids, request.modelHash, options);
    }
    std::optional<size_t> preferred;
    uint64_t preferredRank = 0;
    bool hasHealthy = false;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].failureScore >= options.maxFailureScore)
            continue;
        hasHealthy = true;
        if (hasGroups && isForShortPrompts[i] == request.hasLongPrompt)
            continue;
        uint64_t rank = base::stableHash(candidates[i].id, request.affinityHash);
        if (request.affinityHash && (!preferred || rank > preferredRank)) {
            preferred = i;
            preferredRank = rank;
        }
    }
    std::optional<size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t i = 0; i < candidates.size(); ++i) {
        const ReplicaCandidate& candidate = candidates[i];
        if (hasHealthy && candidate.failureScore >= options.maxFailureScore)
            continue;
        double load = replicaLoad(candidate, options);
        if (load >= options.maxLoad)
            continue;
        double cost = load + candidate.failureScore * options.failureCost;
        cost += candidate.ownAwaitingFirstByte * options.prefillCost;
        cost += candidate.reportedWaiting * options.waitingCost
            * std::exp2(-base::secondsOf(candidate.reportAge) / base::secondsOf(options.waitingHalfLife));
        if (hasGroups && isForShortPrompts[i] == request.hasLongPrompt)
            cost += options.otherGroupCost;
        if (candidate.isLimited)
            cost += options.limitedCost;
        if (candidate.isInOtherDataCenter)
            cost += options.otherDataCenterCost;
        if (!candidate.hasIdleConnection)
            cost += options.connectionCost;
        if (preferred && *preferred == i)
            cost -= options.affinityBonus;
        // Breaks ties differently for each request.
        cost += 1e-4 * static_cast<double>(base::stableHash(candidate.id, request.requestHash) % 1024) / 1024;
        if (cost < bestCost) {
            bestCost = cost;
            best = i;
        }
    }
    return best;
}

} // namespace rattanshunt::gateway

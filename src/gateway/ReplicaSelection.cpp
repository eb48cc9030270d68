#include "gateway/ReplicaSelection.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/Text.h"

namespace rattanshunt::gateway {

double replicaLoad(const ReplicaCandidate& view, const ReplicaSelectionOptions& options)
{
    double others = std::max(0.0, view.reportedInFlight - view.ownInFlightAtReport);
    double halves = base::secondsOf(view.reportAge) / base::secondsOf(options.reportHalfLife);
    // Without answers there is no new report: an old one loses its weight, or a full replica would look full for ever.
    double weight = halves <= 2 ? 1 : std::exp2(-(halves - 2));
    return (others * weight + view.ownInFlight) / std::max(1.0, view.slots);
}

std::vector<bool> replicasForShortPrompts(
    const std::vector<std::string_view>& ids, uint64_t group, const ReplicaSelectionOptions& options)
{
    std::vector<bool> isShort(ids.size(), false);
    if (ids.size() < options.minReplicasForGroups)
        return isShort;
    std::vector<std::pair<uint64_t, size_t>> ranks;
    for (size_t i = 0; i < ids.size(); ++i)
        ranks.emplace_back(base::stableHash(ids[i], group), i);
    std::sort(ranks.begin(), ranks.end());
    auto count = static_cast<size_t>(std::ceil(options.shortPromptFraction * static_cast<double>(ids.size())));
    for (size_t i = 0; i < count; ++i)
        isShort[ranks[i].second] = true;
    return isShort;
}

std::optional<size_t> replicaSelect(
    const std::vector<ReplicaCandidate>& views, const SelectionRequest& request, const ReplicaSelectionOptions& options)
{
    bool hasGroups = request.modelHash && views.size() >= options.minReplicasForGroups;
    std::vector<bool> isShort;
    if (hasGroups) {
        std::vector<std::string_view> ids;
        ids.reserve(views.size());
        for (const ReplicaCandidate& view : views)
            ids.push_back(view.id);
        isShort = replicasForShortPrompts(ids, request.modelHash, options);
    }
    std::optional<size_t> preferred;
    uint64_t preferredRank = 0;
    bool hasSound = false;
    for (size_t i = 0; i < views.size(); ++i) {
        if (views[i].failureScore >= options.maxFailureScore)
            continue;
        hasSound = true;
        if (hasGroups && isShort[i] == request.hasLongPrompt)
            continue;
        uint64_t rank = base::stableHash(views[i].id, request.affinityHash);
        if (request.affinityHash && (!preferred || rank > preferredRank)) {
            preferred = i;
            preferredRank = rank;
        }
    }
    std::optional<size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t i = 0; i < views.size(); ++i) {
        const ReplicaCandidate& view = views[i];
        if (hasSound && view.failureScore >= options.maxFailureScore)
            continue;
        double load = replicaLoad(view, options);
        if (load >= options.maxLoad)
            continue;
        double cost = load + view.failureScore * options.failureCost;
        cost += view.ownAwaitingFirstByte * options.prefillCost;
        cost += view.reportedWaiting * options.waitingCost
            * std::exp2(-base::secondsOf(view.reportAge) / base::secondsOf(options.waitingHalfLife));
        if (hasGroups && isShort[i] == request.hasLongPrompt)
            cost += options.otherGroupCost;
        if (view.isInOtherDataCenter)
            cost += options.otherDataCenterCost;
        if (!view.hasIdleConnection)
            cost += options.connectionCost;
        if (preferred && *preferred == i)
            cost -= options.affinityBonus;
        // Breaks ties differently for each request.
        cost += 1e-4 * static_cast<double>(base::stableHash(view.id, request.requestHash) % 1024) / 1024;
        if (cost < bestCost) {
            bestCost = cost;
            best = i;
        }
    }
    return best;
}

} // namespace rattanshunt::gateway

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

struct ReplicaCost {
    double fixed = 0; // what does not depend on the replica's load
    double total = std::numeric_limits<double>::max();
};

// One of the candidates near `best`, by a draw that differs for each request. None has a larger fixed cost, so that the
// draw causes no traffic to other data centres and opens no connections.
static size_t drawNearBest(const std::vector<ReplicaCandidate>& candidates, const std::vector<ReplicaCost>& costs,
    size_t best, uint64_t requestHash, const ReplicaSelectionOptions& options)
{
    constexpr double fixedTolerance = 0.01; // failures long ago leave a small cost
    size_t drawn = best;
    uint64_t highest = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (costs[i].total > costs[best].total + options.nearBestMargin
            || costs[i].fixed > costs[best].fixed + fixedTolerance)
            continue;
        uint64_t draw = base::stableHash(candidates[i].id, requestHash + 1);
        if (draw >= highest) {
            highest = draw;
            drawn = i;
        }
    }
    return drawn;
}

std::optional<size_t> replicaSelect(const std::vector<ReplicaCandidate>& candidates, const SelectionRequest& request,
    const ReplicaSelectionOptions& options, std::vector<CostTerms>* terms)
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
        if (candidates[i].failureScore >= options.maxFailureScore || std::isinf(candidates[i].dataCenterCost))
            continue;
        hasHealthy = true;
        if (hasGroups && isForShortPrompts[i] == request.hasLongPrompt)
            continue;
        // The bonus could not outweigh the cost, and no other replica would get it.
        if (candidates[i].dataCenterCost > options.affinityBonus)
            continue;
        uint64_t rank = base::stableHash(candidates[i].id, request.affinityHash);
        if (request.affinityHash && (!preferred || rank > preferredRank)) {
            preferred = i;
            preferredRank = rank;
        }
    }
    std::optional<size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    std::vector<ReplicaCost> costs(candidates.size());
    if (terms)
        terms->assign(candidates.size(), {});
    for (size_t i = 0; i < candidates.size(); ++i) {
        const ReplicaCandidate& candidate = candidates[i];
        if (hasHealthy && candidate.failureScore >= options.maxFailureScore)
            continue;
        double load = replicaLoad(candidate, options);
        if (load >= options.maxLoad)
            continue;
        double cost = 0;
        double fixed = 0;
        auto add = [&](const char* term, double value) {
            cost += value;
            if (terms)
                (*terms)[i].emplace_back(term, value);
        };
        auto addFixed = [&](const char* term, double value) {
            fixed += value;
            add(term, value);
        };
        add("load", load);
        addFixed("failures", candidate.failureScore * options.failureCost);
        add("prefill", candidate.ownAwaitingFirstByte * options.prefillCost);
        add("waiting",
            candidate.reportedWaiting * options.waitingCost
                * std::exp2(-base::secondsOf(candidate.reportAge) / base::secondsOf(options.waitingHalfLife)));
        if (candidate.statesPace)
            add("pace", candidate.paceCost);
        if (hasGroups && isForShortPrompts[i] == request.hasLongPrompt)
            addFixed("prompt_length", options.otherGroupCost);
        if (candidate.isLimited)
            addFixed("limited", options.limitedCost);
        addFixed("data_center", candidate.dataCenterCost);
        if (!candidate.hasIdleConnection)
            addFixed("connection", options.connectionCost);
        costs[i] = { fixed, cost };
        if (preferred && *preferred == i)
            add("prefix", -options.affinityBonus);
        // Breaks ties differently for each request.
        add("tie", 1e-4 * static_cast<double>(base::stableHash(candidate.id, request.requestHash) % 1024) / 1024);
        if (cost < bestCost) {
            bestCost = cost;
            best = i;
        }
    }
    bool statesPace = std::any_of(
        candidates.begin(), candidates.end(), [](const ReplicaCandidate& candidate) { return candidate.statesPace; });
    if (best && best != preferred && statesPace)
        return drawNearBest(candidates, costs, *best, request.requestHash, options);
    return best;
}

} // namespace rattanshunt::gateway

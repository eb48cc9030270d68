#include "routing/EndpointChoice.h"

#include <algorithm>
#include <cmath>

#include "base/Text.h"

namespace rattanshunt::routing {

double candidateLoad(const Candidate& candidate, const EndpointChoiceOptions& options)
{
    double others = std::max(candidate.reportedInFlight - candidate.ownInFlightAtReport, 0.0);
    double halfLives = base::secondsOf(candidate.reportAge) / base::secondsOf(options.reportHalfLife);
    double requests = candidate.ownInFlight + others * std::exp2(-halfLives);
    double load = requests / std::max(candidate.slots, 1.0);
    return candidate.isInOtherDataCenter ? load + options.otherDataCenterPenalty : load;
}

uint64_t prefixHash(std::string_view prompt, const EndpointChoiceOptions& options)
{
    return base::stableHash(prompt.substr(0, options.prefixBytes));
}

namespace {

    size_t preferredIndex(const std::vector<Candidate>& candidates, uint64_t prefix)
    {
        size_t best = 0;
        uint64_t bestScore = 0;
        for (size_t i = 0; i < candidates.size(); ++i) {
            uint64_t score = base::stableHash(candidates[i].endpoint, prefix);
            if (score >= bestScore) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    size_t lessLoadedOfTwo(const std::vector<double>& loads, uint64_t draw)
    {
        size_t count = loads.size();
        size_t first = draw % count;
        size_t second = (first + 1 + (draw >> 32) % std::max<size_t>(count - 1, 1)) % count;
        return loads[second] < loads[first] ? second : first;
    }

} // namespace

std::optional<size_t> candidateChoose(
    const std::vector<Candidate>& candidates, uint64_t prefix, uint64_t draw, const EndpointChoiceOptions& options)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<double> loads;
    double sum = 0;
    for (const Candidate& candidate : candidates) {
        loads.push_back(candidateLoad(candidate, options));
        sum += loads.back();
    }
    double average = sum / static_cast<double>(loads.size());
    size_t preferred = preferredIndex(candidates, prefix);
    bool isWithinBound = loads[preferred] <= average * options.affinityLoadFactor + options.affinityLoadMargin;
    if (isWithinBound && loads[preferred] < options.maxLoad)
        return preferred;
    size_t chosen = lessLoadedOfTwo(loads, draw);
    if (loads[chosen] < options.maxLoad)
        return chosen;
    auto least = std::min_element(loads.begin(), loads.end());
    if (*least < options.maxLoad)
        return static_cast<size_t>(least - loads.begin());
    return std::nullopt;
}

} // namespace rattanshunt::routing

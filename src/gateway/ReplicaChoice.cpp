#include "gateway/ReplicaChoice.h"

#include <cmath>
#include <limits>

#include "base/Text.h"

namespace rattanshunt::gateway {

double replicaLoad(const ReplicaView& view, const ReplicaChoiceOptions& options)
{
    double others = std::max(0.0, view.reported - view.ownThen);
    double halves = base::secondsOf(view.reportAge) / base::secondsOf(options.reportHalfLife);
    // Without answers there is no new report: an old one loses its weight, or a full replica would look full for ever.
    double weight = halves <= 2 ? 1 : std::exp2(-(halves - 2));
    return (others * weight + view.ownNow) / std::max(1.0, view.slots);
}

std::optional<size_t> replicaChoose(
    const std::vector<ReplicaView>& views, const ChoiceRequest& request, const ReplicaChoiceOptions& options)
{
    std::optional<size_t> preferred;
    uint64_t preferredRank = 0;
    bool hasSound = false;
    for (size_t i = 0; i < views.size(); ++i) {
        if (views[i].trouble >= options.troubleMost)
            continue;
        hasSound = true;
        uint64_t rank = base::stableHash(views[i].id, request.affinity);
        if (request.affinity && (!preferred || rank > preferredRank)) {
            preferred = i;
            preferredRank = rank;
        }
    }
    std::optional<size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t i = 0; i < views.size(); ++i) {
        const ReplicaView& view = views[i];
        if (hasSound && view.trouble >= options.troubleMost)
            continue;
        double load = replicaLoad(view, options);
        if (load >= options.fullLoad)
            continue;
        double cost = load + view.trouble * options.troubleCost;
        if (view.isAway)
            cost += options.awayCost;
        if (preferred && *preferred == i)
            cost -= options.affinityWorth;
        // Breaks ties differently for each request.
        cost += 1e-4 * static_cast<double>(base::stableHash(view.id, request.draw) % 1024) / 1024;
        if (cost < bestCost) {
            bestCost = cost;
            best = i;
        }
    }
    return best;
}

} // namespace rattanshunt::gateway

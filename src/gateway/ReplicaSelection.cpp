#include "gateway/ReplicaSelection.h"

#include <algorithm>
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

std::vector<bool> replicasForShort(
    const std::vector<std::string_view>& ids, uint64_t group, const ReplicaChoiceOptions& options)
{
    std::vector<bool> isShort(ids.size(), false);
    if (ids.size() < options.groupsFrom)
        return isShort;
    std::vector<std::pair<uint64_t, size_t>> ranks;
    for (size_t i = 0; i < ids.size(); ++i)
        ranks.emplace_back(base::stableHash(ids[i], group), i);
    std::sort(ranks.begin(), ranks.end());
    auto count = static_cast<size_t>(std::ceil(options.shortPart * static_cast<double>(ids.size())));
    for (size_t i = 0; i < count; ++i)
        isShort[ranks[i].second] = true;
    return isShort;
}

std::optional<size_t> replicaChoose(
    const std::vector<ReplicaView>& views, const ChoiceRequest& request, const ReplicaChoiceOptions& options)
{
    bool hasGroups = request.group && views.size() >= options.groupsFrom;
    std::vector<bool> isShort;
    if (hasGroups) {
        std::vector<std::string_view> ids;
        ids.reserve(views.size());
        for (const ReplicaView& view : views)
            ids.push_back(view.id);
        isShort = replicasForShort(ids, request.group, options);
    }
    std::optional<size_t> preferred;
    uint64_t preferredRank = 0;
    bool hasSound = false;
    for (size_t i = 0; i < views.size(); ++i) {
        if (views[i].trouble >= options.troubleMost)
            continue;
        hasSound = true;
        if (hasGroups && isShort[i] == request.isLong)
            continue;
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
        cost += view.ownUnread * options.unreadCost;
        cost += view.reportedWaiting * options.waitingCost
            * std::exp2(-base::secondsOf(view.reportAge) / base::secondsOf(options.waitingHalfLife));
        if (hasGroups && isShort[i] == request.isLong)
            cost += options.otherGroupCost;
        if (view.isAway)
            cost += options.awayCost;
        if (!view.hasConnection)
            cost += options.connectionCost;
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

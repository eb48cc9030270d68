// Where adapters are loaded, see ModelPlan.h.
#include <algorithm>
#include <limits>

#include "models/ModelPlanInternal.h"

namespace rattanshunt::models {

using gateway::LoadedModel;
using gateway::ModelSpec;

namespace {

    // How much an adapter is needed, as its arrival rate plus weights for waiting and running requests.
    double adapterNeed(const Planning& planning, const std::string& model, const std::string& adapter)
    {
        auto found = planning.input.demand.find({ planning.input.service, model, adapter });
        constexpr double waitingWeight = 100; // an adapter with waiting requests is evicted last
        constexpr double runningWeight = 10;  // one in use can't be unloaded before its running requests have ended
        if (found == planning.input.demand.end())
            return 0;
        return found->second.arrivalRate + waitingWeight * found->second.waiting
            + runningWeight * found->second.running;
    }

} // namespace

std::optional<double> lowestLoad(const Planning& planning, const std::string& model, const std::string& adapter)
{
    std::optional<double> least;
    for (const PlanReplica& replica : planning.input.replicas) {
        const LoadedModel* held = heldModel(replica, model);
        if (!held)
            continue;
        if (!adapter.empty()
            && std::find(held->adapters.begin(), held->adapters.end(), adapter) == held->adapters.end())
            continue;
        if (!least || replica.load < *least)
            least = replica.load;
    }
    return least;
}

void placeAdapter(Planning& planning, const ModelSpec& spec, const std::string& adapter)
{
    const gateway::Engine& engine = *planning.input.engine;
    const PlanReplica* best = nullptr;
    std::optional<LoadedModel> bestEvicted;
    double bestScore = std::numeric_limits<double>::max();
    for (const PlanReplica& replica : planning.input.replicas) {
        const LoadedModel* held = heldModel(replica, spec.name);
        if (replica.isOccupied || planning.occupied.contains(replica.id) || !held)
            continue;
        if (std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end())
            continue;
        size_t usedSlots = replica.adaptersInTransit;
        std::optional<LoadedModel> leastNeeded;
        double leastNeed = std::numeric_limits<double>::max();
        for (const LoadedModel& model : replica.held) {
            usedSlots += model.adapters.size();
            for (const std::string& other : model.adapters) {
                if (replica.adaptersNotConfirmed.contains(model.name + "/" + other))
                    continue;
                double need = adapterNeed(planning, model.name, other);
                if (need < leastNeed) {
                    leastNeed = need;
                    leastNeeded = LoadedModel { model.name, { other } };
                }
            }
        }
        double score = replica.load;
        std::optional<LoadedModel> evicted;
        bool isFull = usedSlots >= engine.adapterSlots || usedMb(engine, replica) + spec.adapterMb > engine.weightsMb;
        if (isFull) {
            if (!leastNeeded)
                continue;
            evicted = leastNeeded;
            score += leastNeed + 0.2;
        }
        if (score < bestScore) {
            bestScore = score;
            best = &replica;
            bestEvicted = evicted;
        }
    }
    if (!best)
        return;
    planning.occupied.insert(best->id);
    PlanJob job;
    job.replica = best->id;
    job.model = spec.name;
    job.adapter = adapter;
    if (bestEvicted)
        job.unloadAdapters.push_back(*bestEvicted);
    planning.jobs.push_back(std::move(job));
}

} // namespace rattanshunt::models

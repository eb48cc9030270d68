#include "models/ModelPlan.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

#include "models/ModelPlanInternal.h"

namespace rattanshunt::models {

using gateway::LoadedModel;
using gateway::ModelSpec;

namespace {

    struct LoadSource {
        base::Millis time { 0 };
        bool isStore = false;
    };

    LoadSource loadSource(const PlanReplica& replica, const ModelSpec& spec)
    {
        if (replica.inMemory.contains(spec.name))
            return { spec.memoryLoadTime, false };
        if (replica.onDisk.contains(spec.name))
            return { spec.diskLoadTime, false };
        return { spec.storeLoadTime, true };
    }

    // Cost of unloading one copy of a model, in requests that would then wait for a swap or for the remaining copies.
    double unloadCost(const Planning& planning, const std::string& model)
    {
        const PlanOptions& options = planning.options;
        auto found = planning.demand.find(model);
        double rate = options.minHeldModelRate;
        double awaitingFirstByte = 0;
        double running = 0;
        if (found != planning.demand.end()) {
            rate = std::max(rate, found->second.rate);
            awaitingFirstByte = found->second.awaitingFirstByte;
            running = found->second.running;
        }
        auto copies = planning.copies.find(model);
        int count = copies == planning.copies.end() ? 1 : std::max(1, copies->second);
        if (count == 1)
            return options.swapBaseCost + rate * options.swapSeconds + awaitingFirstByte
                + running * options.runningRequestCost;
        double perRemainingCopy = awaitingFirstByte / (count - 1);
        return options.swapBaseCost / count + rate / count * 0.1
            + (perRemainingCopy > options.maxAwaitingFirstBytePerCopy / 2 ? perRemainingCopy : 0);
    }

    // Gain of one more copy of a loaded model, in requests that would no longer wait for their first byte.
    double copyGain(const Planning& planning, const std::string& model)
    {
        auto found = planning.demand.find(model);
        auto copies = planning.copies.find(model);
        if (found == planning.demand.end() || copies == planning.copies.end() || copies->second < 1)
            return 0;
        double perCopy = found->second.awaitingFirstByte / copies->second;
        return perCopy > planning.options.maxAwaitingFirstBytePerCopy
            ? found->second.awaitingFirstByte / (copies->second + 1)
            : 0;
    }

    struct Eviction {
        std::vector<std::string> unload;
        double cost = 0;
    };

    // The cheapest models to unload for `spec`; nothing if they do not free enough memory.
    std::optional<Eviction> planEviction(const Planning& planning, const PlanReplica& replica, const ModelSpec& spec)
    {
        const gateway::Engine& engine = *planning.input.engine;
        double freeMb = engine.weightsMb - usedMb(engine, replica);
        Eviction eviction;
        if (freeMb >= spec.weightsMb)
            return eviction;
        if (!planning.input.mayUnload)
            return std::nullopt;
        std::vector<std::pair<double, const LoadedModel*>> candidates;
        for (const LoadedModel& held : replica.held) {
            auto demand = planning.demand.find(held.name);
            bool isLast = planning.copies.contains(held.name) && planning.copies.at(held.name) <= 1;
            if (isLast && demand != planning.demand.end() && demand->second.waiting > 0)
                continue;
            candidates.emplace_back(unloadCost(planning, held.name), &held);
        }
        std::sort(candidates.begin(), candidates.end(),
            [](auto& a, auto& b) { return a.first != b.first ? a.first < b.first : a.second->name < b.second->name; });
        for (auto& [cost, held] : candidates) {
            if (freeMb >= spec.weightsMb)
                break;
            auto heldSpec = engine.models.find(held->name);
            if (heldSpec == engine.models.end())
                continue;
            freeMb
                += heldSpec->second.weightsMb + heldSpec->second.adapterMb * static_cast<double>(held->adapters.size());
            eviction.unload.push_back(held->name);
            eviction.cost += cost;
        }
        if (freeMb < spec.weightsMb)
            return std::nullopt;
        return eviction;
    }

    // Plans one more copy of a model on the replica where that costs least. `maxCost`: of the models unloaded for it.
    // `mayUseStore`: also where its weights have to come from the weight store.
    bool placeModel(Planning& planning, const ModelSpec& spec, double maxCost, bool mayUseStore = true)
    {
        const PlanReplica* best = nullptr;
        Eviction bestEviction;
        LoadSource bestSource;
        double bestScore = std::numeric_limits<double>::max();
        for (const PlanReplica& replica : planning.input.replicas) {
            if (replica.isOccupied || planning.occupied.contains(replica.id) || heldModel(replica, spec.name))
                continue;
            LoadSource source = loadSource(replica, spec);
            if (source.isStore && (!mayUseStore || planning.storeLoadsLeft < 1))
                continue;
            auto eviction = planEviction(planning, replica, spec);
            if (!eviction || eviction->cost > maxCost)
                continue;
            double score = base::secondsOf(source.time) + eviction->cost * 2 + replica.load;
            if (score < bestScore) {
                bestScore = score;
                best = &replica;
                bestEviction = std::move(*eviction);
                bestSource = source;
            }
        }
        if (!best)
            return false;
        planning.occupied.insert(best->id);
        planning.storeLoadsLeft -= bestSource.isStore ? 1 : 0;
        for (const std::string& evicted : bestEviction.unload)
            --planning.copies[evicted];
        ++planning.copies[spec.name];
        planning.jobs.push_back(
            { best->id, bestEviction.unload, {}, spec.name, "", bestSource.isStore, bestSource.time });
        return true;
    }

    // Plans copies of the models that only evacuated replicas hold, dearest first. Models with waiting
    // requests that found no place are tried again with the others.
    void placeEvacuatedModels(Planning& planning)
    {
        struct Missing {
            double waitingWeightSum = 0;
            double rate = 0;
            const ModelSpec* spec = nullptr;
        };
        std::vector<Missing> missing;
        for (const std::string& name : planning.input.evacuatedModels) {
            auto spec = planning.input.engine->models.find(name);
            auto copies = planning.copies.find(name);
            if (spec == planning.input.engine->models.end() || (copies != planning.copies.end() && copies->second > 0))
                continue;
            const ModelDemand& demand = planning.demand[name];
            missing.push_back({ demand.waitingWeightSum, demand.rate, &spec->second });
        }
        std::sort(missing.begin(), missing.end(), [](const Missing& a, const Missing& b) {
            return std::tie(b.waitingWeightSum, b.rate, a.spec->name)
                < std::tie(a.waitingWeightSum, a.rate, b.spec->name);
        });
        for (bool mayUseStore : { false, true }) {
            for (const Missing& each : missing) {
                const ModelDemand& demand = planning.demand[each.spec->name];
                // Without waiting requests, what is unloaded for it must be worth less than the model itself.
                double maxCost = demand.waiting > 0 ? std::numeric_limits<double>::max()
                                                    : demand.rate * planning.options.swapSeconds;
                if (planning.copies[each.spec->name] == 0)
                    placeModel(planning, *each.spec, maxCost, mayUseStore);
            }
        }
    }

    // Fills free memory of one replica with the model that has most requests per copy. True if a job was added.
    bool fillFreeMemory(Planning& planning, const PlanReplica& replica)
    {
        const gateway::Engine& engine = *planning.input.engine;
        double freeMb = engine.weightsMb - usedMb(engine, replica);
        const ModelSpec* best = nullptr;
        double bestGain = 0;
        for (const auto& [name, spec] : engine.models) {
            if (spec.weightsMb > freeMb || heldModel(replica, name) || replica.loading.contains(name))
                continue;
            auto demand = planning.demand.find(name);
            double rate = demand == planning.demand.end() ? 0 : demand->second.rate;
            auto found = planning.copies.find(name);
            int copies = found == planning.copies.end() ? 0 : found->second;
            bool isLocal = !loadSource(replica, spec).isStore;
            if (!isLocal && (copies > 0 || rate < planning.options.minHeldModelRate || planning.storeLoadsLeft < 2))
                continue;
            if (copies > 0 && rate / copies < planning.options.minSpareCopyRate)
                continue;
            double gain = copies == 0 ? (rate + planning.options.minHeldModelRate) * planning.options.unheldModelWeight
                                      : rate / copies;
            if (gain > bestGain) {
                bestGain = gain;
                best = &spec;
            }
        }
        if (!best)
            return false;
        LoadSource source = loadSource(replica, *best);
        planning.occupied.insert(replica.id);
        planning.storeLoadsLeft -= source.isStore ? 1 : 0;
        ++planning.copies[best->name];
        planning.jobs.push_back({ replica.id, {}, {}, best->name, "", source.isStore, source.time });
        return true;
    }

} // namespace

Plan planJobs(const PlanInput& input, const PlanOptions& options)
{
    Planning planning { input, options, {}, {}, {}, {}, input.storeLoadsLeft, {} };
    for (const auto& [key, row] : input.demand) {
        if (key.service != input.service || !input.engine->models.contains(key.model))
            continue;
        ModelDemand& demand = planning.demand[key.model];
        demand.waiting += row.waiting;
        demand.waitingWeightSum += row.waitingWeightSum;
        demand.rate += row.arrivalRate;
        demand.awaitingFirstByte += row.awaitingFirstByte;
        demand.running += row.running;
    }
    for (const PlanReplica& replica : input.replicas) {
        for (const LoadedModel& held : replica.held) {
            ++planning.copies[held.name];
            planning.limitedCopies[held.name] += replica.isLimited ? 1 : 0;
        }
        for (const std::string& model : replica.loading)
            ++planning.copies[model];
    }
    std::vector<std::pair<double, const ModelSpec*>> order;
    for (const auto& [name, demand] : planning.demand)
        order.emplace_back(demand.waitingWeightSum, &input.engine->models.at(name));
    std::sort(order.begin(), order.end(),
        [](auto& a, auto& b) { return a.first != b.first ? a.first > b.first : a.second->name < b.second->name; });

    placeEvacuatedModels(planning);
    std::vector<std::string> unplacedModels;
    // Models with waiting requests but no copy, by the weight of these requests.
    for (auto& [waitingWeightSum, spec] : order) {
        if (planning.demand[spec->name].waiting > 0 && planning.copies[spec->name] == 0
            && !placeModel(planning, *spec, std::numeric_limits<double>::max()))
            unplacedModels.push_back(spec->name);
    }
    // Models whose copies are all on limited replicas, where requests wait for their turn.
    for (auto& [waitingWeightSum, spec] : order) {
        double waiting = planning.demand[spec->name].waiting;
        int copies = planning.copies[spec->name];
        if (waiting > 0 && copies > 0 && copies == planning.limitedCopies[spec->name])
            placeModel(planning, *spec, waiting);
    }
    // Adapters with waiting requests, on replicas that have their models.
    for (const auto& [key, row] : input.demand) {
        if (key.service != input.service || key.adapter.empty() || row.waiting <= 0)
            continue;
        auto spec = input.engine->models.find(key.model);
        if (spec == input.engine->models.end())
            continue;
        auto least = lowestLoad(planning, key.model, key.adapter);
        if (!least || *least > options.adapterLoadThreshold)
            placeAdapter(planning, spec->second, key.adapter);
    }
    // Further copies of models whose replicas are busy with prompts, highest gain first.
    std::vector<std::pair<double, const ModelSpec*>> scaleUps;
    for (auto& [waitingWeightSum, spec] : order) {
        bool isLoading = false;
        for (const PlanReplica& replica : input.replicas)
            isLoading = isLoading || replica.loading.contains(spec->name);
        double gain = copyGain(planning, spec->name);
        if (gain > 0 && !isLoading)
            scaleUps.emplace_back(gain, spec);
    }
    std::sort(scaleUps.begin(), scaleUps.end(),
        [](auto& a, auto& b) { return a.first != b.first ? a.first > b.first : a.second->name < b.second->name; });
    for (auto& [gain, spec] : scaleUps)
        placeModel(planning, *spec, gain / options.minGainRatio);
    for (const PlanReplica& replica : input.replicas) {
        if (!replica.isOccupied && !planning.occupied.contains(replica.id))
            fillFreeMemory(planning, replica);
    }
    return { std::move(planning.jobs), std::move(unplacedModels) };
}

} // namespace rattanshunt::models

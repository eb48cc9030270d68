#include "models/ModelPlan.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace rattanshunt::models {

using gateway::LoadedModel;
using gateway::ModelSpec;

namespace {

    struct ModelDemand {
        double waiting = 0;
        double worth = 0;
        double rate = 0;
        double reading = 0;
        double running = 0;
    };

    struct Planning {
        const PlanInput& input;
        const PlanOptions& options;
        std::map<std::string, ModelDemand> demand; // by model
        std::map<std::string, int> copies;         // held or coming
        std::set<std::string> engaged;             // replicas with a job, also of this plan
        double storeLoadsLeft = 0;
        std::vector<PlanJob> jobs;
    };

    const LoadedModel* heldModel(const PlanReplica& replica, const std::string& model)
    {
        for (const LoadedModel& held : replica.held) {
            if (held.name == model)
                return &held;
        }
        return nullptr;
    }

    double usedMb(const gateway::Engine& engine, const PlanReplica& replica)
    {
        double sum = 0;
        for (const LoadedModel& held : replica.held) {
            auto spec = engine.models.find(held.name);
            if (spec != engine.models.end())
                sum += spec->second.weightsMb + spec->second.adapterMb * static_cast<double>(held.adapters.size());
        }
        return sum;
    }

    struct Tier {
        base::Millis time { 0 };
        bool isStore = false;
    };

    Tier loadTier(const PlanReplica& replica, const ModelSpec& spec)
    {
        if (replica.inMemory.contains(spec.name))
            return { spec.memoryLoadTime, false };
        if (replica.onDisk.contains(spec.name))
            return { spec.diskLoadTime, false };
        return { spec.storeLoadTime, true };
    }

    // What unloading one copy of a model costs: requests that then wait for a swap, or for the copies that are left.
    double unloadCost(const Planning& planning, const std::string& model)
    {
        const PlanOptions& options = planning.options;
        auto found = planning.demand.find(model);
        double rate = options.minHeldModelRate;
        double reading = 0;
        double running = 0;
        if (found != planning.demand.end()) {
            rate = std::max(rate, found->second.rate);
            reading = found->second.reading;
            running = found->second.running;
        }
        auto copies = planning.copies.find(model);
        int count = copies == planning.copies.end() ? 1 : std::max(1, copies->second);
        if (count == 1)
            return options.swapBaseCost + rate * options.swapSeconds + reading + running * options.runningRequestCost;
        double left = reading / (count - 1);
        return options.swapBaseCost / count + rate / count * 0.1
            + (left > options.maxAwaitingFirstBytePerCopy / 2 ? left : 0);
    }

    // What one more copy of a model brings.
    double copyGain(const Planning& planning, const std::string& model)
    {
        auto found = planning.demand.find(model);
        auto copies = planning.copies.find(model);
        if (found == planning.demand.end() || copies == planning.copies.end() || copies->second < 1)
            return 0;
        double each = found->second.reading / copies->second;
        return each > planning.options.maxAwaitingFirstBytePerCopy ? found->second.reading / (copies->second + 1) : 0;
    }

    struct Room {
        std::vector<std::string> unload;
        double cost = 0;
    };

    // The cheapest models to unload for `spec`; nothing if they do not make enough room.
    std::optional<Room> makeRoom(const Planning& planning, const PlanReplica& replica, const ModelSpec& spec)
    {
        const gateway::Engine& engine = *planning.input.engine;
        double freeMb = engine.weightsMb - usedMb(engine, replica);
        Room room;
        if (freeMb >= spec.weightsMb)
            return room;
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
            room.unload.push_back(held->name);
            room.cost += cost;
        }
        if (freeMb < spec.weightsMb)
            return std::nullopt;
        return room;
    }

    // Brings one copy of a model to the replica where that costs least. `mostCost`: of what makes way.
    bool placeModel(Planning& planning, const ModelSpec& spec, double mostCost)
    {
        const PlanReplica* best = nullptr;
        Room bestRoom;
        Tier bestTier;
        double bestScore = std::numeric_limits<double>::max();
        for (const PlanReplica& replica : planning.input.replicas) {
            if (replica.isOccupied || planning.engaged.contains(replica.id) || heldModel(replica, spec.name))
                continue;
            Tier tier = loadTier(replica, spec);
            if (tier.isStore && planning.storeLoadsLeft < 1)
                continue;
            auto room = makeRoom(planning, replica, spec);
            if (!room || room->cost > mostCost)
                continue;
            double score = base::secondsOf(tier.time) + room->cost * 2 + replica.load;
            if (score < bestScore) {
                bestScore = score;
                best = &replica;
                bestRoom = std::move(*room);
                bestTier = tier;
            }
        }
        if (!best)
            return false;
        planning.engaged.insert(best->id);
        planning.storeLoadsLeft -= bestTier.isStore ? 1 : 0;
        for (const std::string& gone : bestRoom.unload)
            --planning.copies[gone];
        ++planning.copies[spec.name];
        planning.jobs.push_back({ best->id, bestRoom.unload, {}, spec.name, "", bestTier.isStore, bestTier.time });
        return true;
    }

    // Fills free room of one replica with the model that is asked for most for each copy. True if a job was added.
    bool fillRoom(Planning& planning, const PlanReplica& replica)
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
            bool isAtHand = !loadTier(replica, spec).isStore;
            if (!isAtHand && (copies > 0 || rate < planning.options.minHeldModelRate || planning.storeLoadsLeft < 2))
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
        Tier tier = loadTier(replica, *best);
        planning.engaged.insert(replica.id);
        planning.storeLoadsLeft -= tier.isStore ? 1 : 0;
        ++planning.copies[best->name];
        planning.jobs.push_back({ replica.id, {}, {}, best->name, "", tier.isStore, tier.time });
        return true;
    }

    // Load of the least busy holder; nothing if there is none.
    std::optional<double> leastLoad(const Planning& planning, const std::string& model, const std::string& adapter)
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

    double adapterRate(const Planning& planning, const std::string& model, const std::string& adapter)
    {
        auto found = planning.input.demand.find({ planning.input.service, model, adapter });
        constexpr double waitingWeight = 100; // an adapter that is waited for is the last to go
        constexpr double runningWeight = 10;  // one that is in use can't go before its runs have ended
        if (found == planning.input.demand.end())
            return 0;
        return found->second.arrivalRate + waitingWeight * found->second.waiting
            + runningWeight * found->second.running;
    }

    // Brings an adapter to the replica that holds its model and gives up least for it.
    void placeAdapter(Planning& planning, const ModelSpec& spec, const std::string& adapter)
    {
        const gateway::Engine& engine = *planning.input.engine;
        const PlanReplica* best = nullptr;
        std::optional<LoadedModel> bestGone;
        double bestScore = std::numeric_limits<double>::max();
        for (const PlanReplica& replica : planning.input.replicas) {
            const LoadedModel* held = heldModel(replica, spec.name);
            if (replica.isOccupied || planning.engaged.contains(replica.id) || !held)
                continue;
            if (std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end())
                continue;
            size_t places = 0;
            std::optional<LoadedModel> leastAsked;
            double leastRate = std::numeric_limits<double>::max();
            for (const LoadedModel& model : replica.held) {
                places += model.adapters.size();
                for (const std::string& other : model.adapters) {
                    double rate = adapterRate(planning, model.name, other);
                    if (rate < leastRate) {
                        leastRate = rate;
                        leastAsked = LoadedModel { model.name, { other } };
                    }
                }
            }
            double score = replica.load;
            std::optional<LoadedModel> gone;
            bool isFull = places >= engine.adapterSlots || usedMb(engine, replica) + spec.adapterMb > engine.weightsMb;
            if (isFull) {
                if (!leastAsked)
                    continue;
                gone = leastAsked;
                score += leastRate + 0.2;
            }
            if (score < bestScore) {
                bestScore = score;
                best = &replica;
                bestGone = gone;
            }
        }
        if (!best)
            return;
        planning.engaged.insert(best->id);
        PlanJob job;
        job.replica = best->id;
        job.model = spec.name;
        job.adapter = adapter;
        if (bestGone)
            job.unloadAdapters.push_back(*bestGone);
        planning.jobs.push_back(std::move(job));
    }

} // namespace

Plan planJobs(const PlanInput& input, const PlanOptions& options)
{
    Planning planning { input, options, {}, {}, {}, input.storeLoadsLeft, {} };
    for (const auto& [key, row] : input.demand) {
        if (key.service != input.service || !input.engine->models.contains(key.model))
            continue;
        ModelDemand& demand = planning.demand[key.model];
        demand.waiting += row.waiting;
        demand.worth += row.waitingWeightSum;
        demand.rate += row.arrivalRate;
        demand.reading += row.awaitingFirstByte;
        demand.running += row.running;
    }
    for (const PlanReplica& replica : input.replicas) {
        for (const LoadedModel& held : replica.held)
            ++planning.copies[held.name];
        for (const std::string& model : replica.loading)
            ++planning.copies[model];
    }
    std::vector<std::pair<double, const ModelSpec*>> order;
    for (const auto& [name, demand] : planning.demand)
        order.emplace_back(demand.worth, &input.engine->models.at(name));
    std::sort(order.begin(), order.end(),
        [](auto& a, auto& b) { return a.first != b.first ? a.first > b.first : a.second->name < b.second->name; });

    std::vector<std::string> missing;
    // Models that are waited for and that nobody holds, by the worth that waits.
    for (auto& [worth, spec] : order) {
        if (planning.demand[spec->name].waiting > 0 && planning.copies[spec->name] == 0
            && !placeModel(planning, *spec, std::numeric_limits<double>::max()))
            missing.push_back(spec->name);
    }
    // Adapters of models that are held.
    for (const auto& [key, row] : input.demand) {
        if (key.service != input.service || key.adapter.empty() || row.waiting <= 0)
            continue;
        auto spec = input.engine->models.find(key.model);
        if (spec == input.engine->models.end())
            continue;
        auto least = leastLoad(planning, key.model, key.adapter);
        if (!least || *least > options.adapterLoadThreshold)
            placeAdapter(planning, spec->second, key.adapter);
    }
    // Further copies of models whose holders are busy reading prompts, those that bring most first.
    std::vector<std::pair<double, const ModelSpec*>> wanted;
    for (auto& [worth, spec] : order) {
        bool isComing = false;
        for (const PlanReplica& replica : input.replicas)
            isComing = isComing || replica.loading.contains(spec->name);
        double gain = copyGain(planning, spec->name);
        if (gain > 0 && !isComing)
            wanted.emplace_back(gain, spec);
    }
    std::sort(wanted.begin(), wanted.end(),
        [](auto& a, auto& b) { return a.first != b.first ? a.first > b.first : a.second->name < b.second->name; });
    for (auto& [gain, spec] : wanted)
        placeModel(planning, *spec, gain / options.minGainRatio);
    for (const PlanReplica& replica : input.replicas) {
        if (!replica.isOccupied && !planning.engaged.contains(replica.id))
            fillRoom(planning, replica);
    }
    return { std::move(planning.jobs), std::move(missing) };
}

} // namespace rattanshunt::models

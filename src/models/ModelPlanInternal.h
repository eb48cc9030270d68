// Internal to models/: what the parts of a plan share.
//
// Pure; safe from any thread.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "models/ModelPlan.h"

namespace rattanshunt::models {

struct ModelDemand {
    double waiting = 0;
    double waitingWeightSum = 0;
    double rate = 0;
    double awaitingFirstByte = 0;
    double running = 0;
};

struct Planning {
    const PlanInput& input;
    const PlanOptions& options;
    std::map<std::string, ModelDemand> demand; // by model
    std::map<std::string, int> copies;         // loaded or being loaded
    std::map<std::string, int> limitedCopies;  // those on replicas that limit their request rate
    std::set<std::string> occupied;            // replicas that got a job in this plan
    double storeLoadsLeft = 0;
    std::vector<PlanJob> jobs;
};

inline const gateway::LoadedModel* heldModel(const PlanReplica& replica, const std::string& model)
{
    for (const gateway::LoadedModel& held : replica.held) {
        if (held.name == model)
            return &held;
    }
    return nullptr;
}

inline double usedMb(const gateway::Engine& engine, const PlanReplica& replica)
{
    double sum = 0;
    for (const gateway::LoadedModel& held : replica.held) {
        auto spec = engine.models.find(held.name);
        if (spec != engine.models.end())
            sum += spec->second.weightsMb + spec->second.adapterMb * static_cast<double>(held.adapters.size());
    }
    return sum;
}

// Load of the least busy replica with the model, and the adapter unless it is empty; nothing if there is none.
std::optional<double> lowestLoad(const Planning&, const std::string& model, const std::string& adapter);

// Plans the load of an adapter on a replica that has its model and evicts the least needed adapter for it.
void placeAdapter(Planning&, const gateway::ModelSpec&, const std::string& adapter);

} // namespace rattanshunt::models

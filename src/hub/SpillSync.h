// What a daemon knows of the work that is sent to other data centres.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/Time.h"
#include "hub/HubSyncData.h"

namespace rattanshunt::hub {

inline constexpr base::Millis spillPlanInterval { 500 }; // between two plans of the hub
inline constexpr base::Millis spillLogInterval { 2000 }; // between two lines on the same service and model

struct SpillSync {
    std::map<ModelKey, spill::SpillShares> plan;               // at a member: the shares of its own data centre
    uint64_t version = 0;                                      // of the hub's plan; 0: none yet
    std::string incarnation;                                   // of the hub that made it; at a member
    base::BootTime asOf {};                                    // when the plan was last confirmed
    std::map<std::pair<ModelKey, std::string>, double> demand; // smoothed, by data centre; hub only
    std::map<ModelKey, double> running;          // requests at replicas, smoothed like arrival rates; hub only
    std::map<ModelKey, base::BootTime> loggedAt; // hub only
};

} // namespace rattanshunt::hub

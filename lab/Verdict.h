// Judges a demonstration: what callers and endpoints saw against the properties that must always hold.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

struct VerdictInput {
    nlohmann::json load;                  // as printed by the load generator with --json
    std::vector<nlohmann::json> engines;  // states
    std::vector<nlohmann::json> services; // runs
    int withdrawnStatus = 0;              // HTTP status that the withdrawn key gets at the end
    int stopExit = -1;                    // exit code of the daemon that stopped gracefully
};

struct VerdictLine {
    std::string property;
    bool holds = false;
    std::string observed;
};

std::vector<VerdictLine> verdict(const VerdictInput&);
std::string outcomesTable(const nlohmann::json& load);

} // namespace rattanshunt::lab

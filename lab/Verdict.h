// Checks the results of a demonstration run: what callers and endpoints observed against properties that must always
// hold. Missing JSON fields throw nlohmann::json::exception.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

struct VerdictInput {
    nlohmann::json load;                  // output of the load generator with --json
    std::vector<nlohmann::json> engines;  // /state of each engine
    std::vector<nlohmann::json> services; // /runs of each service
    int withdrawnStatus = 0;              // HTTP status of a request with the withdrawn key at the end
    int stopExit = -1;                    // exit code of the daemon that stopped gracefully
};

struct VerdictLine {
    std::string property;
    bool holds = false;
    std::string observed; // the figures behind `holds`
};

std::vector<VerdictLine> verdict(const VerdictInput&);
std::string outcomesTable(const nlohmann::json& load);

} // namespace rattanshunt::lab

// Scenarios: scripted sessions against a LabFleet, in a small line-based language. docs/SCENARIOS.md has the words.
//
// Contents
//   [1] Parsing         scenarioParse(): lines to commands; a wrong line is named with what was expected
//   [2] Running         scenarioRun(): real time, waiting for conditions
#pragma once

#include <map>
#include <string>
#include <vector>

#include "net/Loop.h"

namespace rattanshunt::lab {

// ---- [1] Parsing -------------------------------------------------------------------------------

struct ScenarioCommand {
    size_t line = 0;
    std::string name;
    std::vector<std::string> arguments;         // after the name, without options
    std::map<std::string, std::string> options; // key=value
    std::string lineText;                       // of the whole line
};

struct ScenarioScript {
    std::vector<ScenarioCommand> commands;
    std::vector<std::string> errors; // "line N: ..."; empty if all is well
};

ScenarioScript scenarioParse(const std::string& text);

// ---- [2] Running -------------------------------------------------------------------------------

struct ScenarioResult {
    bool isPassed = false;
    std::vector<std::string> failures; // "line N: expected ..., but ..."
    std::vector<std::string> trace;    // what was done, with times
};

// Runs a script in a fiber of the calling loop. Suspends.
ScenarioResult scenarioRun(net::Loop&, const ScenarioScript&);

} // namespace rattanshunt::lab

// Scenarios: scripted tests against a LabFleet, in a small line-based language. docs/SCENARIOS.md lists the commands.
//
// Contents
//   [1] Parsing         scenarioParse(): lines to commands; errors name the line and the expected syntax
//   [2] Running         scenarioRun(): in real time; stops at the first failed command
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
    std::vector<std::string> arguments;         // after the name, except options
    std::map<std::string, std::string> options; // key=value
    std::string lineText;                       // the whole line without its comment
};

struct ScenarioScript {
    std::vector<ScenarioCommand> commands;
    std::vector<std::string> errors; // "line N: ..."
};

ScenarioScript scenarioParse(const std::string& text);

// ---- [2] Running -------------------------------------------------------------------------------

struct ScenarioResult {
    bool isPassed = false;
    std::vector<std::string> failures; // "line N: expected ..., but ..."
    std::vector<std::string> trace;    // executed commands and failures, with seconds since the start
};

// Runs a script. Precondition: called in a fiber of the loop. Suspends. A script with errors is not run.
ScenarioResult scenarioRun(net::Loop&, const ScenarioScript&);

} // namespace rattanshunt::lab

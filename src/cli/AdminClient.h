// The operators' commands, which call a daemon's admin address.
#pragma once

#include <string>
#include <vector>

namespace rattanshunt::cli {

// Runs the command arguments[0], one of `get`, `apply`, `delete`, `watch`, `key`, `status`, `state`, `counters`,
// `report` and `explain`, on an event loop of its own. Returns the exit code: 0 done, 1 refused by the daemon or daemon
// not reached, 2 wrong usage. Precondition: flags are parsed, `arguments` is not empty.
int adminClientRun(const std::vector<std::string>& arguments);

// The output of `rattanshunt help`.
std::string helpText();

} // namespace rattanshunt::cli

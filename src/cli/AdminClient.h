// The operators' commands that talk to a daemon's admin address.
#pragma once

#include <string>
#include <vector>

namespace rattanshunt::cli {

// Runs one command of `get`, `apply`, `delete`, `watch`, `key`, `status`, `report`, `explain`. Gives the exit code:
// 0 done, 1 refused by the daemon or not reached, 2 wrong usage.
int adminClientRun(const std::vector<std::string>& arguments);

// The text of `rattanshunt help`.
std::string helpText();

} // namespace rattanshunt::cli

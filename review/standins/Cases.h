// The review's cases that are scripts.
#pragma once

#include <string>

#include "net/Loop.h"

namespace rattanshunt::review {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int cannotRun = 2;

// Runs the case of that name and writes to `recordPath`. Suspends.
int runCase(net::Loop&, const std::string& name, const std::string& recordPath, bool hasTrouble);

} // namespace rattanshunt::review

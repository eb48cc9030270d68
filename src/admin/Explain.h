// Explanations for operators: why something is as it is, and the daemon's own state.
// Queries only. Control thread only.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "entry/DaemonContext.h"
#include "fleet/Fleet.h"

namespace rattanshunt::admin {

// Of `kind` "model", "account", "instance" or "reason".
nlohmann::json explainSubject(
    const fleet::Fleet&, const entry::DaemonContext&, const std::string& kind, const std::string& name);

// The daemon's own state: slots, ownership, links, what it knows and since when.
nlohmann::json explainDaemonState(fleet::Fleet&, const entry::DaemonContext&);

} // namespace rattanshunt::admin

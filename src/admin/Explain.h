// Diagnostics for operators: the state of a model, account, instance or refusal reason, and of the daemon itself.
//
// Read-only. All functions must be called on the control thread.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "entry/DaemonContext.h"
#include "fleet/Fleet.h"

namespace rattanshunt::admin {

// State of a subject, with notes. `kind` is "model", "account", "instance" or "reason"; otherwise the result is an
// error.
nlohmann::json explainSubject(
    const fleet::Fleet&, const entry::DaemonContext&, const std::string& kind, const std::string& name);

// State of this daemon: budget slots, placement ownership, peer connections, and revision and freshness of its data.
nlohmann::json explainDaemonState(fleet::Fleet&, const entry::DaemonContext&);

} // namespace rattanshunt::admin

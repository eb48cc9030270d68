// The data centres that an operator evacuates: no new request is sent to their replicas until the operator ends it.
//
// Contents
//   [1] Data            Evacuations
//   [2] Decisions       evacuationsApply(), isEvacuated()
//
// Load pattern: an evacuation begins or ends while the hub is lost, the store is silent or was restored from an older
// copy. What is known stays in force until a newer read tells otherwise. A copy of the store may lack an evacuation
// that the operator has requested and writes again, so a read shortly after a restore ends none.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace rattanshunt::evacuation {

// ---- [1] Data ----------------------------------------------------------------------------------

struct Evacuations {
    std::set<std::string> dataCenters; // being evacuated
    base::BootTime asOf {};            // when the read was sent that tells
};

struct EvacuationChange {
    std::string dataCenter;
    bool isBegun = false; // false: it has ended
};

// ---- [2] Decisions -----------------------------------------------------------------------------

// Applies the list of a read that was sent at `asOf`, unless a newer one is known. `mayBeIncomplete`: the list may lack
// evacuations that are still requested. Returns what has changed.
std::vector<EvacuationChange> evacuationsApply(
    Evacuations&, const std::set<std::string>& listed, base::BootTime asOf, bool mayBeIncomplete);

inline bool isEvacuated(const Evacuations& evacuations, const std::string& dataCenter)
{
    return evacuations.dataCenters.contains(dataCenter);
}

} // namespace rattanshunt::evacuation

// Decides whether a request may still be sent to a replica although the process is about to end.
//
// Contents
//   [1] Data            UsualTime, StopInputs
//   [2] Decisions       usualTimeRecord(), usualTimeLimit(), stopAllowsAttempt()
//
// Load pattern: a planned stop in calm. Callers keep their connections, and their requests go on arriving until the
// load balancer has noticed. One that is sent to a replica and cut when the process ends may have run; one that is
// refused before goes elsewhere.
//
// Pure functions over data that the calling thread owns.
#pragma once

#include <optional>

#include "base/Time.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

// How long the complete responses of a route take, smoothed.
struct UsualTime {
    double meanMillis = 0;
    double deviationMillis = 0;
    size_t count = 0;
};

struct StopInputs {
    base::BootTime now {};
    base::BootTime endsAt = base::BootTime::max(); // of all responses, as the process ends then
    base::BootTime deadline {};                    // of the request
    std::optional<base::Duration> usualTime;       // nothing: too few responses of the route were seen
};

// ---- [2] Decisions -----------------------------------------------------------------------------

void usualTimeRecord(UsualTime&, base::Duration);

// A time that few responses exceed. Nothing if too few were seen.
std::optional<base::Duration> usualTimeLimit(const UsualTime&);

bool stopAllowsAttempt(const StopInputs&);

} // namespace rattanshunt::gateway

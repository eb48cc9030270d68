// Carries out the attempts of one request of the product's own interface, completions and calls alike.
//
// What happens after each attempt is decided in attempts/RequestPlan.h; this loop only asks for attempts, takes repeats
// from the thread's budget and names the reason in which the request ends.
//
// Own thread only; attemptsRun() suspends as long as its attempts do.
#pragma once

#include <functional>

#include "attempts/RetryPolicy.h"
#include "entry/RequestState.h"

namespace rattanshunt::entry {

struct Attempt {
    attempts::AttemptOutcome result = attempts::AttemptOutcome::NotExecuted;
    bool wasMade = false;                        // false: no endpoint was tried, and none will be
    Reason reason = Reason::EndpointUnavailable; // why none was tried
};

struct AttemptsResult {
    attempts::NextStep step = attempts::NextStep::Refuse; // never Repeat
    RequestResult requestResult {};                       // for every step but Deliver and PassFailure
};

// Makes attempts until the request ends. `attempt` makes one; `progress` tells the kind of repeat and the number of
// attempts, and afterwards what may have run.
AttemptsResult attemptsRun(
    ThreadState&, RequestState&, attempts::RequestProgress&, const std::function<Attempt()>& makeAttempt);

} // namespace rattanshunt::entry

// Retry loop for requests to the product's own interface; used for both completions and service calls.
//
// attempts/RetryPolicy.h decides what follows each attempt. This loop makes the attempts, charges retries to the
// thread's retry budget and determines the reason that the request ends with.
//
// Must be called on the traffic thread that owns the ThreadState. attemptsRun() suspends its fiber while an attempt is
// suspended.
#pragma once

#include <functional>

#include "attempts/RetryPolicy.h"
#include "entry/RequestState.h"

namespace rattanshunt::entry {

struct Attempt {
    attempts::AttemptOutcome result = attempts::AttemptOutcome::NotExecuted;
    bool wasMade = false;                        // false: nothing was sent, and no further attempt is made
    Reason reason = Reason::EndpointUnavailable; // why nothing was sent; valid if `wasMade` is false
};

struct AttemptsResult {
    attempts::NextStep step = attempts::NextStep::Refuse; // never Retry
    RequestResult requestResult {};                       // set unless `step` is Deliver or ForwardFailure
};

// Makes attempts until the request ends. `makeAttempt` makes one attempt. On entry, `progress` holds the retry class
// and the maximum number of attempts; on return, it also holds how many attempts were made and may have been executed.
AttemptsResult attemptsRun(
    ThreadState&, RequestState&, attempts::RequestProgress&, const std::function<Attempt()>& makeAttempt);

} // namespace rattanshunt::entry

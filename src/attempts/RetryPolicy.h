// What happens to a request after each attempt: the one place that decides about repeats and refusals.
//
// Contents
//   [1] Data            RetryClass, AttemptOutcome, RequestProgress, NextStep
//   [2] Decisions       stepAfterAttempt(), stepWithoutReplica(), refusalIsTrue()
//   [3] Progress        noteAttempt()
//
// Both of the product's ways in use it: gateway/ for the platform's replicas, entry/ for the product's own interface.
//
// The table, by kind of repeat and by how the attempt ended:
//
//   attempt ended     Safe               Once               Resumable
//   whole             deliver            deliver            deliver
//   not run           other replica      other replica      other replica
//   ran and failed    other replica (1)  pass the failure   pass the failure
//   unknown           other replica      fail (502)         other replica, after the last whole event
//
//   (1) if an attempt is left; otherwise the failure is passed on.
//
// A refusal promises that the request has not run. It is given only while every attempt so far surely did not run.
//
// Pure; safe from any thread.
#pragma once

namespace rattanshunt::attempts {

// ---- [1] Data ----------------------------------------------------------------------------------

enum class RetryClass {
    Idempotent, // may run more than once
    AtMostOnce, // may run at most once for each request
    Resumable,  // a stream that another replica may continue after the last whole event
};

enum class AttemptOutcome {
    Complete,       // a success came whole
    NotExecuted,    // surely not run: never sent, or the replica says so
    ExecutedFailed, // the replica ran it and answered with a failure of its own
    Unknown,        // sent, and no answer that can be passed on
};

struct RequestProgress {
    RetryClass retryClass = RetryClass::AtMostOnce;
    int attemptsPossiblyExecuted = 0; // attempts that may have run
    int attemptsMade = 0;             // those that surely did not run, too
    int maxAttempts = 1;              //
    bool hasSentHead = false;         // the caller has got the head of a stream
};

enum class NextStep {
    Deliver,        // the answer is complete
    Retry,          // to another replica; a stream continues after its last whole event
    ForwardFailure, // the replica's own failure
    Refuse,         // not run, and will not be
    Fail,           // may have run: 502, or 504 once the time is over
    AbortStream,    // a stream that has begun and can't be completed
};

struct RetryConditions {
    bool hasBudget = true; // the fleet's budget for repeats covers one more
    bool hasTime = true;   // another attempt could still answer in time
};

// Replicas that may refuse one request before the caller gets the refusal itself. Each refusal counts against the
// fleet's budget for repeats.
constexpr int maxRefusals = 3;

// ---- [2] Decisions -----------------------------------------------------------------------------

NextStep stepAfterAttempt(const RequestProgress&, AttemptOutcome, RetryConditions);

// When no replica will take the request any more.
NextStep stepWithoutReplica(const RequestProgress&);

// True while "has not run and will not run" may be said of the request.
bool refusalIsAllowed(const RequestProgress&);

// ---- [3] Progress ------------------------------------------------------------------------------

// Counts an attempt that has ended.
void progressCountAttempt(RequestProgress&, AttemptOutcome);

} // namespace rattanshunt::attempts

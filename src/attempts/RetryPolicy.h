// Decides what happens to a request after each attempt. All decisions about retries and refusals are made here.
//
// Contents
//   [1] Data            RetryClass, AttemptOutcome, RequestProgress, NextStep
//   [2] Decisions       stepAfterAttempt(), stepWithoutReplica(), refusalIsAllowed()
//   [3] Progress        progressCountAttempt()
//
// Used by both request paths: gateway/ for the platform's replicas, entry/ for the product's own interface.
//
// Next step by retry class and outcome of the attempt:
//
//   outcome           Idempotent           AtMostOnce         Resumable
//   Complete          deliver              deliver            deliver
//   NotExecuted       another replica      another replica    another replica
//   ExecutedFailed    another replica (1)  forward failure    forward failure
//   Unknown           another replica      fail (502)         another replica, after the last complete event
//
//   (1) if an attempt is left; otherwise the failure is forwarded.
//
// A refusal promises that the request has not been executed. It is given only if no attempt so far can have executed
// it.
//
// Pure functions; safe to call from any thread.
#pragma once

namespace rattanshunt::attempts {

// ---- [1] Data ----------------------------------------------------------------------------------

enum class RetryClass {
    Idempotent, // may be executed more than once
    AtMostOnce, // may be executed at most once
    Resumable,  // a stream that another replica can continue after the last complete event
};

enum class AttemptOutcome {
    Complete,       // a complete, successful response
    NotExecuted,    // certainly not executed: never sent, or the replica says so
    ExecutedFailed, // the replica executed the request and responded with its own failure
    Unknown,        // sent, but no response that can be forwarded
};

struct RequestProgress {
    RetryClass retryClass = RetryClass::AtMostOnce;
    int attemptsPossiblyExecuted = 0; // attempts whose outcome is not NotExecuted
    int attemptsMade = 0;             // all attempts
    int maxAttempts = 1;              // limit for attemptsPossiblyExecuted
    bool hasSentHead = false;         // the head of a stream has been sent to the caller
};

enum class NextStep {
    Deliver,        // the response is complete
    Retry,          // on another replica; a stream continues after its last complete event
    ForwardFailure, // send the replica's own failure to the caller
    Refuse,         // not executed, and will not be
    Fail,           // may have been executed: 502, or 504 after the deadline
    AbortStream,    // the stream has begun and cannot be completed
};

struct RetryConditions {
    bool hasBudget = true;       // the fleet's retry budget covers one more retry
    bool hasTime = true;         // another attempt could still finish before the deadline
    bool mayEndReplicas = false; // replicas end under requests like this one, see prompts/PartLedger.h
};

// Attempts beyond maxAttempts that a request may make when replicas refuse it. In gateway/, each one is charged to the
// fleet's retry budget.
constexpr int maxRefusals = 3;

// ---- [2] Decisions -----------------------------------------------------------------------------

NextStep stepAfterAttempt(const RequestProgress&, AttemptOutcome, RetryConditions);

// The step to take when no replica is available for another attempt.
NextStep stepWithoutReplica(const RequestProgress&);

// True while it is certain that the request has not been executed.
bool refusalIsAllowed(const RequestProgress&);

// ---- [3] Progress ------------------------------------------------------------------------------

// Counts a finished attempt.
void progressCountAttempt(RequestProgress&, AttemptOutcome);

} // namespace rattanshunt::attempts

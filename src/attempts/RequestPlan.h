// What happens to a request after each attempt: the one place that decides about repeats and refusals.
//
// Contents
//   [1] Data            AttemptEnd, RequestProgress, NextStep
//   [2] Decisions       stepAfterAttempt(), stepWithoutReplica(), refusalIsTrue()
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

#include <cstdint>

#include "base/Time.h"
#include "gateway/Configuration.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

enum class AttemptEnd {
    Whole,     // a success came whole
    NotRun,    // surely not run: never sent, or the replica says so
    RanFailed, // the replica ran it and answered with a failure of its own
    Unknown,   // sent, and no answer that can be passed on
};

struct RequestProgress {
    RepeatKind repeat = RepeatKind::Once;
    int attemptsRun = 0;        // attempts that may have run
    int attemptsSent = 0;       // attempts that reached a replica, refused ones too
    int maxAttempts = 1;        //
    bool hasPassedHead = false; // the caller has got the head of a stream
};

enum class NextStep {
    Deliver,     // the answer is complete
    Repeat,      // to another replica; a stream continues after its last whole event
    PassFailure, // the replica's own failure
    Refuse,      // not run, and will not be
    Fail,        // may have run: 502, or 504 once the time is over
    Cut,         // a stream that has begun and can't be completed
};

struct RepeatMeans {
    bool hasBudget = true; // the fleet's budget for repeats covers one more
    bool hasTime = true;   // another attempt could still answer in time
};

// Replicas that may refuse one request before the caller gets the refusal itself. Each refusal counts against the
// fleet's budget for repeats.
constexpr int refusalsMost = 3;

// ---- [2] Decisions -----------------------------------------------------------------------------

NextStep stepAfterAttempt(const RequestProgress&, AttemptEnd, RepeatMeans);

// When no replica will take the request any more.
NextStep stepWithoutReplica(const RequestProgress&);

// True while "has not run and will not run" may be said of the request.
bool refusalIsTrue(const RequestProgress&);

} // namespace rattanshunt::gateway

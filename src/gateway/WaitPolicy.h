// Whether a request that no replica can take now may wait, or is refused at once.
//
// Contents
//   [1] Data            WaitView, WaitOptions, WaitDecision
//   [2] Decision        waitDecide()
//
// Load pattern: demand moves to models that nobody holds, or replicas are full, and more requests come than can be
// served. A request waits only while it can still be answered before its caller leaves. One that can't is refused at
// once with the time at which it could be served, so that the caller may come back then or go elsewhere.
//
// Pure; safe from any thread.
#pragma once

#include <optional>

#include "base/Time.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

struct WaitInputs {
    base::Duration waited { 0 };            // so far
    base::Duration timeLeft { 0 };          // until the deadline
    base::Duration firstByteTimeLeft { 0 }; // until the caller leaves without a first byte
    size_t waitingRequests = 0;             // requests that wait at this daemon
    bool hasUsableReplica = false;          // some usable replica holds the model, but all are full or tried
    bool isEngineService = false;           // a service whose replicas hold models
    bool isForAdapter = false;              // an adapter of a model is asked for
    bool hasTriedReplica = false;           // at least one replica was tried
    bool hasHub = false;                    // somebody can order the model
    std::optional<base::Duration> readyIn;  // estimate until some replica holds the model
};

struct WaitOptions {
    base::Millis minServiceTime { 150 };           // time that a request needs at a replica at least
    base::Millis modelLoadTimeWithoutHub { 4500 }; // until a new hub may order and the model is loaded from disk
    base::Millis minRetryAfter { 200 };            // shortest time after which a refused caller may come back
    base::Millis recheckInterval { 150 };          // between two looks while waiting
    base::Millis estimateSlack { 300 };            // by which estimates may be late
    size_t maxWaitingRequests = 400;               // requests that wait at one daemon
};

struct WaitDecision {
    bool mayWait = false;
    const char* reason = "";                // of a refusal
    std::optional<base::Millis> retryAfter; // of a refusal
    base::Millis recheckAfter { 0 };
};

// ---- [2] Decision ------------------------------------------------------------------------------

WaitDecision waitDecide(const WaitInputs&, const WaitOptions&);

} // namespace rattanshunt::gateway

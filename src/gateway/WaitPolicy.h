// Decides whether a request that no replica can take now may wait or is refused at once.
//
// Contents
//   [1] Data            WaitInputs, WaitOptions, WaitDecision
//   [2] Decision        waitDecide()
//
// Load pattern: demand moves to models that no replica has loaded, or replicas are full or limit their request rate,
// and more requests arrive than can be served. A request waits only while it can still be served before its caller
// disconnects. Otherwise it is refused at once with the time at which it could be served, so that the caller can come
// back then or go elsewhere.
//
// The store is silent: the hub loses its lease, no model is ordered, and after some seconds API keys are no longer
// trusted. A request with a key that can't be served before would be held until then and refused.
//
// Pure functions; safe to call from any thread.
#pragma once

#include <optional>

#include "base/Time.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

struct WaitInputs {
    base::Duration waited { 0 };            // so far
    base::Duration timeLeft { 0 };          // until the deadline
    base::Duration firstByteTimeLeft { 0 }; // until the caller disconnects for lack of a first byte
    size_t waitingRequests = 0;             // requests waiting at this daemon
    bool hasUsableReplica = false;          // a usable replica has the model, but all such replicas are full or tried
    bool isEngineService = false;           // the service has replicas that load models
    bool isForAdapter = false;              // the request is for an adapter of a model
    bool hasTriedReplica = false;           // at least one attempt was made
    bool hasHub = false;                    // a hub is known that can order the model
    std::optional<base::Duration> permitIn; // if all replicas limit their rate: time until one may get a request
    std::optional<base::Duration> readyIn;  // estimated time until a replica has the model
    // For a request with an API key while the proof of the configuration is late: time until keys are no longer
    // trusted.
    std::optional<base::Duration> keysExpireIn;
    std::optional<base::Duration> slotIn; // if all replicas are full: expected time until the request gets a slot
};

struct WaitOptions {
    base::Millis minServiceTime { 150 };           // minimum time that a replica needs for a request
    base::Millis firstEventTime { 300 };           // from sending to the first byte while replicas are busy
    base::Millis modelLoadTimeWithoutHub { 4500 }; // until a new hub may issue orders and the model is loaded from disk
    base::Millis minRetryAfter { 200 };            // shortest Retry-After of a refusal
    base::Millis recheckInterval { 150 };          // between two checks while waiting
    base::Millis estimateSlack { 300 };            // by which estimates may be too early
    size_t maxWaitingRequests = 400;               // per daemon
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

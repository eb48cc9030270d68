// One request on its way through the gateway, and the attempts that carry it to replicas.
//
// Contents
//   [1] Data            Session, AttemptResult
//   [2] Attempts        attemptRun()
//
// Own thread only; attemptRun() suspends the calling fiber.
#pragma once

#include <string>

#include "attempts/RetryPolicy.h"
#include "gateway/ReplicaConnectionPool.h"
#include "gateway/ServerSentEvents.h"
#include "gateway/WireCodec.h"
#include "net/Http.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

using attempts::AttemptOutcome;
using attempts::NextStep;
using attempts::RequestProgress;

struct RequestContext {
    net::HttpExchange& exchange;
    RequestHead head;
    ConfigurationPointer configuration {};
    const Route* route = nullptr;     // of `configuration`
    const Service* service = nullptr; //
    std::string accountName {};       // name; empty on public routes
    int priority = 5;
    double tokenCost = 1;    // cost to the account
    double demandWeight = 1; // of its wait, beside others
    base::BootTime arrivedAt {};
    base::BootTime deadline {};          // the caller's or the route's, whichever is earlier
    base::BootTime firstByteDeadline {}; // by when the first byte must come, or the caller leaves
    RequestProgress progress {};
    EventSplitter eventSplitter {};
    bool isAwaitingModel = false;              // waits, and no replica holds the model
    bool hasCallerLeft = false;                // the caller has left
    base::Duration totalWait { 0 };            // for a replica, over all attempts
    base::BootTime firstEventAt {};            // of a stream: when it was passed on
    base::BootTime lastEventAt {};             //
    base::Duration longestEventGap { 0 };      // between two of its events
    net::HttpConnection* connection = nullptr; // to the replica, while an attempt runs
    std::function<void()> onFirstByte {};      // called once for each attempt, at its end at the latest
    net::Event wakeEvent {};                   // something that the request waits for may have changed
};

struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    const char* reason = "";
    bool isReplicaFault = false; // counts against the replica
    bool wasMisdirected = false; // the replica does not hold what was thought
    net::HttpResponse response;  // for a failure of the replica's own, or a whole answer that is not a stream
    std::optional<ResponseHead::Load> load;
    base::Duration timeToFirstByte { 0 }; // from sending to the head of the answer
    bool wasConnectionReused = false;     // the connection had served before
};

// Time to open a connection to a replica.
constexpr base::Millis connectTimeout { 700 };

// ---- [2] Attempts ------------------------------------------------------------------------------

// Sends the request to one replica and passes the answer on as far as it may: the events of a stream as they come, any
// other answer is returned whole. Cancelled through Session::connection.
AttemptResult attemptRun(RequestContext&, const ReplicaEntry&, const WireCodec&, ReplicaConnectionPool&);

// What is left until the deadline.
base::Millis requestTimeLeft(const RequestContext&, base::BootTime now);

} // namespace rattanshunt::gateway

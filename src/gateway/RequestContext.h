// State of one request in the gateway, and its attempts at replicas.
//
// Contents
//   [1] Data            ReplicaPermit, SelectionTrace, RequestContext, AttemptResult
//   [2] Attempts        attemptRun()
//
// Call from the owning thread only; attemptRun() suspends the calling fiber.
#pragma once

#include <set>
#include <string>

#include "attempts/RetryPolicy.h"
#include "gateway/ReplicaSelection.h"
#include "gateway/ResponseMemory.h"
#include "gateway/ServerSentEvents.h"
#include "gateway/WireCodec.h"
#include "net/ConnectionPool.h"
#include "net/Http.h"
#include "prompts/PartLedger.h"
#include "reach/RelayChoice.h"

namespace rattanshunt::gateway {

// ---- [1] Data ----------------------------------------------------------------------------------

using attempts::AttemptOutcome;
using attempts::NextStep;
using attempts::RequestProgress;

// Allows one request to a replica that limits its rate.
struct ReplicaPermit {
    std::string replica;
    int64_t startedAtMillis = 0; // of the replica
    base::BootTime expiresAt {};
    bool isFromHub = false; // to be returned there if it is not used
};

// What a selection was decided on, for explaining it.
struct SelectionTrace {
    size_t bodyBytes = 0; // of the request in question
    std::vector<ReplicaCandidate> candidates;
    std::vector<CostTerms> terms;              // of each candidate
    std::vector<std::string> dataCenters;      // the same
    std::map<std::string, double> spillShares; // that the request is drawn by
    double transferSeconds = 0;                // cost of serving the request in another data centre
    double meanTransferSeconds = 0;            // of the requests for its service and model
};

struct RequestContext {
    net::HttpExchange& exchange;
    RequestHead head;
    ConfigurationPointer configuration {};
    const Route* route = nullptr;                  // of `configuration`
    const Service* service = nullptr;              // of `configuration`
    std::string accountName {};                    // empty on public routes
    std::optional<std::set<std::string>> homes {}; // geos whose replicas may serve it; empty: all
    int priority = 5;                              // for the replica: 0 (most urgent) to 9
    double tokenCost = 1;                          // tokens charged to the account's quota
    double demandWeight = 1;                       // weight of this request in the reported demand while it waits
    base::BootTime arrivedAt {};
    base::BootTime deadline {};          // the caller's or the route's, whichever is earlier
    base::BootTime firstByteDeadline {}; // if the first byte has not arrived by then, the caller disconnects
    RequestProgress progress {};
    std::string lastReplicaId {}; // to which the last attempt was made; empty: none was made
    EventSplitter eventSplitter {};
    std::optional<std::string> pinnedVersion {}; // of replicas; the stream goes on at no other one
    std::function<void()> onFirstEvent {};       // called before the attempt's first event is forwarded
    std::string blockedPart {};                  // or the request's key, that the request is refused for
    std::vector<std::string> sharedParts {};     // ids of the prompt's parts but the last
    std::string requestKey {};                   // the same when the caller sends the request again
    base::BootTime attemptFirstEventAt {};       // time of the first event of the present attempt
    base::BootTime attemptSentAt {};             // when the present attempt was sent; default: not yet
    base::BootTime attemptHeardAt {};            // when its last bytes arrived
    bool isAwaitingModel = false;                // waiting, and no replica has the model loaded
    bool hasWaitedForSlot = false;               // has been in the queue for slots
    bool hasCallerLeft = false;                  // the caller has disconnected
    base::Duration totalWait { 0 };              // time spent waiting for a replica, over all attempts
    base::BootTime firstEventAt {};              // time at which the first event of a stream was forwarded
    base::BootTime lastEventAt {};               // time at which the last event was forwarded
    base::Duration longestEventGap { 0 };        // between two events of the stream
    net::HttpConnection* connection = nullptr;   // to the replica, during an attempt
    // Opens a connection for an attempt until a deadline, or replaces it by an open one. Returns null, or why it
    // failed. Empty: connects it. May suspend.
    std::function<const char*(std::unique_ptr<net::HttpConnection>&, base::TimePoint)> openConnection {};
    std::optional<reach::Relay> relay {}; // the daemon that carries the attempt's connection
    bool mayReuseConnections = true;      // open ones to the replica
    bool hasLostLink = false;             // the attempt was given up as no replica is reached
    std::function<bool()> confirmEnd {};  // whether the end of a relayed connection is the replica's
    std::function<void()> onHeard {};     // called when bytes have arrived from the replica
    std::function<void()> onFirstByte {}; // called once per attempt, at its end at the latest
    std::function<void(const ResponseHead::Load&)> onLoad {}; // called with the load that a response's head reports
    std::function<void(const NamedLimit&)> onLimit {};        // called with what each response's head says
    std::function<void(const directory::ReplicaStatement&)> onStatement {}; // called with what each response says
    std::function<const char*()> findSendObstacle {}; // called right before an attempt is sent; null: there is none
    std::optional<ReplicaPermit> permit {};           // for the next attempt
    std::optional<std::string> spillTarget {};        // data centre that it is sent away to, once decided; empty: none
    SelectionTrace* trace = nullptr;                  // null, unless the request is only being explained
    uint64_t attemptBodyBytes = 0;                    // of the present attempt's response, as received
    std::function<void()> onSettled {};               // called when the answer to an attempt has settled, then null
    net::Event wakeEvent {};                          // set when something that the request waits for may have changed
};

struct AttemptResult {
    AttemptOutcome outcome = AttemptOutcome::Unknown;
    const char* reason = "";
    bool isReplicaFault = false;          // counts against the replica
    bool wasMisdirected = false;          // the replica does not have the model, or is not the expected one
    net::HttpResponse response;           // the replica's failure, or a complete response that is not a stream
    ResponseMemoryShare memory;           // of `response`
    base::Duration timeToFirstByte { 0 }; // from sending the request to the head of the response
    bool wasConnectionReused = false;     // the connection had been used before
    bool wasIdentified = false;           // the response carried the request's id
    bool mayEndReplicas = false;          // no other replica should get the request, see attempts::RetryConditions
    bool wasSent = false;                 // at least in part
    bool hasConnectionEnded = false;      // at the replica's side, before the end of the answer or as its end
};

// Reason of refusals and attempts that are not made because a part of the prompt is blocked.
constexpr const char* partBlockedReason = "prompt_part_ends_replicas";

// The same because the request itself is blocked.
constexpr const char* requestBlockedReason = "request_ends_replicas";

// Reason of refusals and attempts that are not made because the replica's rate is used up.
constexpr const char* replicaLimitedReason = "replica_limited";

// Reasons of attempts that are not made because the replica was selected by knowledge that does not hold any more.
constexpr const char* replicaLeftReason = "replica_left";
constexpr const char* directoryTooOldReason = "directory_too_old";
constexpr const char* replicaQuietReason = "replica_quiet";
constexpr const char* replicaEvacuatedReason = "replica_evacuated";
constexpr const char* replicaColdReason = "replica_cold";

// Reason of attempts that could not open a connection.
constexpr const char* connectFailedReason = "connect_failed";

// Reasons of attempts without a connection while this daemon has lost all replicas: the daemon that was to carry it
// knows that the replica leaves or wants quiet; no daemon carries it.
constexpr const char* relayBarredReason = "relay_barred";
constexpr const char* noLinkReason = "no_link_to_replicas";

// Timeout for opening a connection to a replica.
constexpr base::Millis connectTimeout { 700 };

// ---- [2] Attempts ------------------------------------------------------------------------------

// Sends the request to one replica. Forwards the events of a stream to the caller as they arrive; any other response is
// returned complete. Cancelled through RequestContext::connection. `memory` must outlive the result.
AttemptResult attemptRun(
    RequestContext&, const ReplicaEntry&, const WireCodec&, net::ConnectionPool&, ResponseMemory& memory);

// The ids of the parts of the prompt that other requests may share: all but the last. Those that are not UTF-8 are left
// out, as they could not be passed on to other daemons.
std::vector<std::string> sharedPartsOf(const RequestHead&);

// What the same request has in common whenever its caller sends it: method, host, target, account, model and body, as a
// hash. Ids, deadlines and other headers differ each time.
std::string requestKeyOf(const RequestContext&);

// The geos that both the route and the account allow; empty: all.
std::optional<std::set<std::string>> homesOf(const RequestContext&);

// The text of a refusal for the caller: the reason and, if it is a block, the part or the request's key.
std::string refusalText(const RequestContext&, std::string_view reason);

// The shared parts of an attempt that ended with its connection before its answer had settled; empty for any other.
std::string attemptPartsText(const RequestContext&, const AttemptResult&);

// The request key of an attempt that ended with its connection at the replica's side; empty for any other.
std::string attemptKeyText(const RequestContext&, const AttemptResult&);

// Whether the attempt was not made because of what became known after the replica's selection. It is no retry to select
// another one.
bool attemptIsObsolete(const AttemptResult&);

// Time left until the deadline.
base::Millis requestTimeLeft(const RequestContext&, base::BootTime now);

} // namespace rattanshunt::gateway

// State of one request and of the traffic thread that serves it. Internal to entry/.
//
// Everything here belongs to one traffic thread and may be used on that thread only. The functions that serve a request
// suspend its fiber.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entry/DaemonContext.h"
#include "entry/Outcome.h"
#include "entry/ReplicaScheduler.h"
#include "entry/RequestParser.h"
#include "entry/TokenCache.h"
#include "gateway/ResponseMemory.h"
#include "net/ConnectionPool.h"
#include "net/Http.h"

namespace rattanshunt::entry {

constexpr size_t maxResponseBytes = 1024 * 1024; // of an endpoint's response that is not a stream

// Moving average of the service time of one output token, by model.
struct ServiceTimes {
    std::map<std::string, double> secondsPerToken;
};

// The latest time at which a request for `tokens` output tokens can be sent to an engine and still be expected to
// finish by `deadline`. At least half of the time between arrival and deadline remains available for waiting.
base::TimePoint latestStartTime(
    const ServiceTimes&, const std::string& model, double tokens, base::TimePoint arrivedAt, base::TimePoint deadline);

// Adds the duration of a completed request with `tokens` output tokens to the average.
void serviceTimeRecord(ServiceTimes&, const std::string& model, double tokens, base::Duration duration);

// State owned by one traffic thread.
struct ThreadState {
    net::Loop& loop;
    DaemonContext& context;
    net::ConnectionPool connectionPool;
    TokenCache tokenCache;
    ReplicaScheduler replicaScheduler;
    RequestLimits requestLimits;
    double availableRetries = 10; // retries that the retry budget currently allows
    size_t requestsInFlight = 0;
    std::set<net::HttpConnection*> activeConnections; // to endpoints, with a call in flight; cancelled on abort
    ServiceTimes serviceTimes;
    gateway::ResponseMemory responseMemory { { .maxBytes = maxResponseBytes } };

    ThreadState(net::Loop&, DaemonContext&);
};

// Registers a connection in ThreadState::activeConnections for the lifetime of the guard.
struct ActiveConnectionGuard {
    ActiveConnectionGuard(ThreadState& state, net::HttpConnection* activeConnection)
        : thread(state)
        , connection(activeConnection)
    {
        thread.activeConnections.insert(connection);
    }
    ~ActiveConnectionGuard() { thread.activeConnections.erase(connection); }
    ActiveConnectionGuard(const ActiveConnectionGuard&) = delete;
    ActiveConnectionGuard& operator=(const ActiveConnectionGuard&) = delete;

    ThreadState& thread;
    net::HttpConnection* connection;
};

struct RequestState {
    net::HttpExchange& exchange;
    std::string id;
    base::TimePoint arrivedAt {};
    base::TimePoint deadline {};
    base::TimePoint startDeadline {}; // tokens and a replica must be obtained by then
    std::string keyDigest;            // SHA-256 in hexadecimal; empty on public routes
    std::string account;              // empty on public routes
    std::string subject;              // name of the model, adapter or route
    std::vector<budget::Grant> grants;
    double reservedTokens = 0;
    double usedTokens = 0; // charged to the account when the request ends
    bool isCallerGone = false;
    net::HttpConnection* connectionToCancel = nullptr; // cancelled if the caller disconnects; may be null
    bool hasStreamStarted = false;
    base::TimePoint firstByteAt {};
    bool wasColdStart = false;                      // waited until a replica was loaded
    base::Duration coldStartWait { 0 };             // total wait of attempts that needed a cold start
    gateway::ResponseMemoryShare responseMemory {}; // of a service's response
};

struct RequestResult {
    Reason reason = Reason::None;
    std::string detail;
    base::Millis retryAfter { 0 };
    bool isResponseSent = false; // nothing more is to be sent to the caller
};

// Serves a completion or a service call. Precondition: the API key was checked, unless the route is public.
RequestResult serveCompletion(ThreadState&, RequestState&);
RequestResult serveRoute(ThreadState&, RequestState&, const resources::Route&);

// Reserves tokens of the request's account. Reason::None if they are granted, or if none are needed.
RequestResult reserveTokens(ThreadState&, RequestState&, double tokens, resources::PriorityClass);

// Checks again, immediately before a request is sent to an endpoint, that the caller is connected and that the API key
// is still valid in the latest catalog. Reason::None if so.
Reason checkBeforeSend(ThreadState&, const RequestState&);

// Takes one retry from the thread's retry budget; false if the budget is used up.
bool retryTokenTake(ThreadState&);

} // namespace rattanshunt::entry

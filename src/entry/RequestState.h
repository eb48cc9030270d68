// Internal to entry/: one request and what its thread has for it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "endpoints/ConnectionPool.h"
#include "entry/DaemonContext.h"
#include "entry/Outcome.h"
#include "entry/ReplicaScheduler.h"
#include "entry/RequestParser.h"
#include "entry/TokenCache.h"
#include "net/Http.h"

namespace rattanshunt::entry {

// How long one token takes, by model, smoothed over recent requests. Own thread only.
struct ServiceTimes {
    std::map<std::string, double> secondsPerToken;
};

// The latest time at which a request may start so that it is likely to end by its deadline.
base::TimePoint latestStartTime(
    const ServiceTimes&, const std::string& model, double tokens, base::TimePoint arrivedAt, base::TimePoint deadline);
void serviceTimeRecord(ServiceTimes&, const std::string& model, double tokens, base::Duration duration);

// What one traffic thread owns.
struct ThreadState {
    net::Loop& loop;
    DaemonContext& context;
    endpoints::ConnectionPool connectionPool;
    TokenCache tokenCache;
    ReplicaScheduler replicaScheduler;
    RequestLimits requestLimits;
    double availableRetries = 10; // repeats that may be made now
    size_t requestsInFlight = 0;
    std::set<net::HttpConnection*> activeConnections; // connections to endpoints with a call under way
    ServiceTimes serviceTimes;

    ThreadState(net::Loop&, DaemonContext&);
};

// Notes a connection as calling while it lives.
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
    base::TimePoint startDeadline {}; // tokens and a replica must be had by then
    std::string keyDigest;            // empty on open routes
    std::string account;
    std::string subject; // model, adapter or route
    std::vector<budget::Grant> grants;
    double reservedTokens = 0;
    double usedTokens = 0; // tokens, settled at the end
    bool isCallerGone = false;
    net::HttpConnection* connectionToCancel = nullptr; // cancelled when the caller goes
    bool hasStreamStarted = false;
    base::TimePoint firstByteAt {};
    bool wasColdStart = false;
    base::Duration coldStartWait { 0 };
};

struct RequestResult {
    Reason reason = Reason::None;
    std::string detail;
    base::Millis retryAfter { 0 };
    bool isResponseSent = false; // the caller has an answer already
};

// Serves a completion or a service call after its key was checked.
RequestResult serveCompletion(ThreadState&, RequestState&);
RequestResult serveRoute(ThreadState&, RequestState&, const resources::Route&);

// Reserves tokens of the request's account.
RequestResult reserveTokens(ThreadState&, RequestState&, double tokens, resources::PriorityClass);

// None if the request may still run: its key is valid on the latest knowledge and the caller is there.
Reason checkBeforeSend(ThreadState&, const RequestState&);

// Takes one repeat from the retry budget.
bool retryTokenTake(ThreadState&);

} // namespace rattanshunt::entry

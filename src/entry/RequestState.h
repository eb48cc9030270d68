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
#include "entry/RequestParser.h"
#include "entry/Outcome.h"
#include "entry/ReplicaScheduler.h"
#include "entry/TokenCache.h"
#include "net/Http.h"

namespace rattanshunt::entry {

// How long one token takes, by model, smoothed over recent requests. Own thread only.
struct ServiceTimes {
    std::map<std::string, double> secondsPerToken;
};

// The latest time at which a request may start so that it is likely to end by its deadline.
base::TimePoint latestStart(
    const ServiceTimes&, const std::string& model, double tokens, base::TimePoint arrivedAt, base::TimePoint deadline);
void serviceTimeNote(ServiceTimes&, const std::string& model, double tokens, base::Duration took);

// What one traffic thread owns.
struct ThreadState {
    net::Loop& loop;
    Backbone& backbone;
    endpoints::ConnectionPool pool;
    Wallet wallet;
    Replicas replicas;
    IntakeLimits limits;
    double retryTokens = 10; // repeats that may be made now
    size_t underWay = 0;
    std::set<net::HttpConnection*> calling; // connections to endpoints with a call under way
    ServiceTimes serviceTimes;

    ThreadState(net::Loop&, Backbone&);
};

// Notes a connection as calling while it lives.
struct CallingGuard {
    CallingGuard(ThreadState& state, net::HttpConnection* called)
        : thread(state)
        , connection(called)
    {
        thread.calling.insert(connection);
    }
    ~CallingGuard() { thread.calling.erase(connection); }
    CallingGuard(const CallingGuard&) = delete;
    CallingGuard& operator=(const CallingGuard&) = delete;

    ThreadState& thread;
    net::HttpConnection* connection;
};

struct RequestState {
    net::HttpExchange& exchange;
    std::string id;
    base::TimePoint arrivedAt {};
    base::TimePoint deadline {};
    base::TimePoint startBy {}; // tokens and a replica must be had by then
    std::string keyDigest;      // empty on open routes
    std::string account;
    std::string subject; // model, adapter or route
    std::vector<budget::Grant> grants;
    double reserved = 0;
    double used = 0; // tokens, settled at the end
    bool isCallerGone = false;
    net::HttpConnection* sending = nullptr; // cancelled when the caller goes
    bool hasStreamStarted = false;
    base::TimePoint firstByteAt {};
    bool wasCold = false;
    base::Duration coldWait { 0 };
};

struct RequestEnd {
    Reason reason = Reason::None;
    std::string detail;
    base::Millis retryAfter { 0 };
    bool isAnswered = false; // the caller has an answer already
};

// Serves a completion or a service call after its key was checked.
RequestEnd serveCompletion(ThreadState&, RequestState&);
RequestEnd serveRoute(ThreadState&, RequestState&, const resources::Route&);

// Reserves tokens of the request's account.
RequestEnd reserveTokens(ThreadState&, RequestState&, double tokens, resources::ValueClass);

// None if the request may still run: its key is valid on the latest knowledge and the caller is there.
Reason lastCheck(ThreadState&, const RequestState&);

// Takes one repeat from the retry budget.
bool takeRetry(ThreadState&);

} // namespace rattanshunt::entry

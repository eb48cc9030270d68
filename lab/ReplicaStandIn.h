// Simulated replica of an engine or of a plain service, speaking the replica protocol of the users' platform, with
// injected faults. Records what checks need: the requests that were executed and the orders that were accepted.
//
// Thread safety: use from the loop's thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/Http.h"

namespace rattanshunt::lab {

enum class ReplicaFault {
    None,
    Refuse,          // 503 with Not-Executed; the request is not executed
    Fail,            // executes and responds with 500
    LoseResponse,    // executes and closes the connection without a response
    Truncate,        // executes and cuts the response off; a stream, in the middle of an event
    ForeignResponse, // sends a late response to another request first
    NoSeal,          // executes and responds without the Server-Seal signature
    Hang,            // executes and never responds
    CloseAfterHead,  // executes and closes the connection of a stream after its head; the replica goes on
};

struct ReplicaStandInOptions {
    std::string id = "i-1";
    std::string service = "plain";
    std::string dataCenter = "dc-1";
    std::string version = "v1"; // of its software
    bool isEngine = false;
    int batchSlots = 8;
    double weightsMb = 100; // engine memory in MB
    size_t adapterSlots = 2;
    std::map<std::string, double> modelSizesMb; // MB by model
    std::set<std::string> loadedModels;         // at the start
    base::Millis processingTime { 5 };          // of a plain request, or per event of a stream
    base::Millis loadTime { 40 };               // of a model
    int eventsPerStream = 5;
    base::Millis crashDelay { 50 };     // from the head or last event of a crashing response to the end of the replica
    base::Millis restartDelay { 1500 }; // from a crash to the new start
    bool keepsIdAtRestart = false;      // otherwise each start after a crash has an identifier of its own
};

struct ReplicaStandInFaults {
    ReplicaFault fault = ReplicaFault::None;
    int remainingRequests = 0;     // that the fault applies to; negative: unlimited
    int truncateAfterEvents = 2;   // for ReplicaFault::Truncate of a stream
    base::Millis orderDelay { 0 }; // above 0: orders get no response and are executed after this delay
    // A stream whose prompt holds one of these parts, except as its last part, crashes the replica.
    std::set<std::string> crashingParts {};
    int eventsBeforeCrash = 0;
    // A request of a plain replica with one of these bodies crashes it when it is processed.
    std::set<std::string> crashingBodies {};
    std::vector<std::string> namedLimits {}; // values of the Server-Limit headers of its responses
    int namesLimitEveryNth = 1;              // responses between two that carry them
    bool namesLimitInReports = false;        // also in the answers to reports
    int maxRunning = 0;                      // requests beyond them get 503 with Not-Executed; 0: no limit
    int brittleRefusals = 0; // it says so, and ends after more of them in a second for want of room; 0: not brittle
    std::optional<base::TimePoint> coldUntil {}; // its entries and, if set, its responses tell the time left
    bool saysColdInResponses = false;
    int saysLeavingEveryNth = 0;            // of its responses to requests; 0: none
    std::vector<std::string> quietTimes {}; // values of the Retry-After headers of refusals (ReplicaFault::Refuse)
};

struct RequestExecution {
    std::string requestId;
    std::string account;
    std::string model;
    std::string lastEventId;
    bool hadApiKey = false;       // the caller's API key was forwarded
    bool wasDisconnected = false; // the gateway closed the connection before the end
    base::TimePoint startedAt {};
    base::TimePoint endedAt {};
};

struct AcceptedOrder {
    std::string hub;
    int64_t fencingToken = 0;
    base::TimePoint at {};
};

// A request, report or order that reached the replica.
struct ReplicaArrival {
    base::TimePoint at {};
    std::string requestId;                           // empty: a report or an order
    std::optional<base::TimePoint> namedAt;          // when the head of its response named a limit
    std::optional<base::TimePoint> leavingSaidAt {}; // when its response said that the replica leaves
    std::optional<base::TimePoint> quietSaidAt {};   // when its response asked for quiet
};

// Something that happened because of a prompt part or a request's body.
struct PartEvent {
    base::TimePoint at {};
    std::string part; // empty: there was no such cause
};

struct ReplicaHistory {
    std::vector<RequestExecution> executions;
    std::vector<AcceptedOrder> acceptedOrders;
    int refusedOrderCount = 0;
    bool wasOvercommitted = false; // was ordered to load more than fits
    std::vector<ReplicaArrival> arrivals;
    std::vector<PartEvent> crashes;
    std::vector<PartEvent> crashingArrivals; // of requests with a crashing part or body, executed or not
    std::map<std::string, int> executionsByRequest() const;
};

class ReplicaStandIn {
public:
    ReplicaStandIn(net::Loop&, ReplicaStandInOptions);
    ~ReplicaStandIn();

    // Listens on a free loopback port; see address(). Returns false and sets `error` on failure.
    bool listen(std::string& error);
    void stop();

    // Its directory entry, with its own address or that of a proxy in front of it. Also records drain periods.
    std::string entry(bool isDraining = false, std::optional<base::Address> advertisedAddress = std::nullopt);

    // Periods in which its entries said that it drains: start and end, timeNever while it lasts.
    const std::vector<std::pair<base::TimePoint, base::TimePoint>>& drainPeriods() const;

    // A crash and a new start under the same identifier: nothing is loaded, and orders are counted from 0. Orders that
    // were delayed still reach it.
    void restart();

    // Ends the replica: closes its connections and refuses new ones. It starts again at the same address after
    // `restartDelay`, with nothing loaded, and calls `onStarted` in a fiber of its own.
    void crash(const std::string& part = {});
    void setOnStarted(std::function<void()> onStarted);
    const std::string& id() const;

    base::Address address() const;
    void setProcessingTime(base::Millis); // of requests that start from now on
    ReplicaStandInFaults& faults();
    const ReplicaHistory& history() const;
    const std::set<std::string>& loadedModels() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

// Identifies a request also if it has no id: its id, or what follows "body of " in its body; see labRequest().
std::string requestKey(const net::HttpRequest&);

} // namespace rattanshunt::lab

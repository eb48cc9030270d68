// What the product knows of a platform's messages, and the functions by which an adapter translates them.
//
// Contents
//   [1] Requests        RequestHead, AttemptTarget, ResponseHead
//   [2] Replicas        ReplicaEntry, ReplicaReport, ModelOrder
//   [3] Dialect         the adapter's functions
//
// The adapter fills the structs once, at the boundary; nothing behind it sees a name of the wire.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Text.h"
#include "base/Time.h"
#include "gateway/Configuration.h"
#include "net/Http.h"

namespace rattanshunt::gateway {

// ---- [1] Requests ------------------------------------------------------------------------------

struct PromptSegment {
    std::string id;
    double tokens = 0;
};

struct RequestHead {
    std::string id;
    std::string host;
    std::string apiKey;  // of the client account; empty: none was sent
    std::string model;   // empty: not for an engine
    std::string adapter; // of the model; empty: none
    std::vector<PromptSegment> promptSegments;
    std::optional<double> totalTokens; // prompt and most output together, if the caller names them
    double promptTokens = 0;
    double maxOutputTokens = 0;           // most that the caller takes
    std::optional<base::Millis> timeLeft; // that the caller will wait
    std::string lastEventId;              // the caller continues a stream after this event; empty: from the start
};

// What the system adds to a request on its way to one replica.
struct AttemptTarget {
    std::string replicaId;   // identifier; another replica at the address refuses
    std::string accountName; // name; empty on public routes
    base::Millis timeLeft { 0 };
    int priority = 5;        // 0 first, 9 last
    std::string lastEventId; // continue after this event; empty: as the caller sent it
};

struct ResponseHead {
    bool isForOtherRequest = false;    // belongs to another request
    bool isNotExecuted = false;        // the replica says that it has not run the request
    bool isMisdirected = false;        // another replica, or without this model
    bool isForwardableSuccess = false; // a success that may be passed on: signed and without encoding
    bool closesConnection = false;
    std::optional<base::Seconds> idleTimeout; // after which the replica closes an idle channel
    struct Load {
        double running = 0;
        double waiting = 0;
        double slots = 0;
    };
    std::optional<Load> load;
};

// ---- [2] Replicas ------------------------------------------------------------------------------

struct LoadedModel {
    std::string name;
    std::vector<std::string> adapters;

    bool operator==(const LoadedModel&) const = default;
};

// What a replica says of itself in the platform's list.
struct ReplicaEntry {
    std::string id;
    std::string service;
    std::string dataCenter;
    base::Address address;
    double slots = 1;
    bool isDraining = false;
    std::optional<base::Millis> timeUntilRemoval; // until it is taken away
    int64_t startedAtMillis = 0;                  // its start; another value under the same id is another replica
    std::vector<LoadedModel> models;

    bool operator==(const ReplicaEntry&) const = default;
};

// What a replica answers when asked.
struct ReplicaReport {
    int64_t startedAtMillis = 0;
    std::vector<LoadedModel> models;
    std::vector<std::string> pendingAdapters; // MODEL/ADAPTER, on their way
    std::vector<std::string> modelsInMemory;  // models whose weights are in host memory
    std::vector<std::string> modelsOnDisk;
    bool isExecutingOrder = false; // with an order
    int64_t ordersAccepted = 0;
    double running = 0;
    double waiting = 0;
    double kvUsed = 0;
    double kvTotal = 0;
};

struct ModelOrder {
    bool isLoad = true; // else unload
    std::string model;
    std::string adapter;                // empty: the model itself
    int64_t expectedOrdersAccepted = 0; // orders that the replica has taken before this one
    std::string hubName;
    int64_t fencingToken = 0;
};

enum class OrderResult {
    Accepted,
    AlreadyApplied, // it is so already
    Conflict,       // another order is under way, or others came before
    Superseded,     // a higher fencing token has been seen
    Refused,        // another replica, or a malformed order
    Unknown,        // no answer: it may be carried out later
};

// ---- [3] Dialect -------------------------------------------------------------------------------

struct WireCodec {
    std::function<RequestHead(const net::HttpRequest&)> readRequest;
    std::function<net::HttpRequest(const net::HttpRequest&, const AttemptTarget&)> writeAttempt;
    std::function<ResponseHead(const net::HttpResponse&, const std::string& requestId)> readResponseHead;
    std::function<std::vector<net::HttpHeader>(const net::HttpResponse&)> forwardedHeaders; // to pass on to the caller
    std::function<net::HttpResponse(
        int status, std::string_view reason, std::optional<base::Millis> retryAfter, const std::string& requestId)>
        writeErrorResponse;

    // Nothing if the value can't be read; `fault` names the field.
    std::function<ConfigurationPointer(const std::string& value, std::string& fault)> readConfiguration;
    std::function<std::optional<ReplicaEntry>(const std::string& key, const std::string& value, std::string& fault)>
        readEntry;
    std::string configurationKey;
    std::string entryPrefix;

    std::function<net::HttpRequest()> writeReportRequest;
    std::function<std::optional<ReplicaReport>(const net::HttpResponse&)> readReport;
    std::function<net::HttpRequest(const ModelOrder&, const std::string& replica)> writeOrder;
    std::function<OrderResult(const net::HttpResponse&)> readOrderResponse;
    std::string readinessPath;
};

} // namespace rattanshunt::gateway

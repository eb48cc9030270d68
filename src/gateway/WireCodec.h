// The platform's messages in the product's own types, and the functions that translate them from and to the wire.
//
// Contents
//   [1] Requests        PromptSegment, RequestHead, AttemptTarget, NamedLimit, ResponseHead
//   [2] Replicas        LoadedModel, ReplicaEntry, entryIsNewer(), ReplicaReport, ModelOrder, OrderResult
//   [3] Codec           WireCodec
//
// The codec fills these structs where messages enter the process; no other code uses names of the wire format.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/Text.h"
#include "base/Time.h"
#include "directory/ReplicaNotices.h"
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
    std::string apiKey;  // API key of the client account; empty: none was sent
    std::string model;   // empty: the request is not for an engine
    std::string adapter; // adapter of the model; empty: none
    std::vector<PromptSegment> promptSegments;
    std::optional<double> totalTokens; // promptTokens + maxOutputTokens, if the caller states them
    double promptTokens = 0;
    double maxOutputTokens = 0;           // 0 if not stated
    std::optional<base::Millis> timeLeft; // how long the caller will wait
    std::string lastEventId;              // the caller resumes a stream after this event; empty: from the start
    std::string resumedId;                // id of the request that brought the first event of that stream
};

// What the gateway adds to a request that it sends to a replica.
struct AttemptTarget {
    std::string replicaId;   // a different replica at the same address refuses the request
    std::string accountName; // empty on public routes
    base::Millis timeLeft { 0 };
    int priority = 5;        // 0 (most urgent) to 9
    std::string lastEventId; // resume after this event; empty: as the caller sent it
};

// The request rate that a replica accepts from all daemons together, as named in one of its responses.
struct NamedLimit {
    bool isNamed = false;
    std::optional<double> requestsPerSecond; // empty although named: not a finite number of at least 0
};

struct ResponseHead {
    bool isForOtherRequest = false;           // late response to another request on the same connection
    bool isIdentified = false;                // carries the id of this request
    bool isNotExecuted = false;               // the replica states that it has not executed the request
    bool isMisdirected = false;               // 421: another replica at the address, or the model is not loaded
    bool isForwardableSuccess = false;        // successful, signed by the replica and without content encoding
    bool closesConnection = false;            // the replica closes the connection after this response
    std::optional<base::Seconds> idleTimeout; // after which the replica closes an idle connection
    struct Load {
        double running = 0;
        double waiting = 0;
        double slots = 0;
        std::optional<double> pace; // 1: work takes as long as usual there, 2: twice as long; empty: not stated
    };
    std::optional<Load> load;
    NamedLimit limit;
    directory::ReplicaStatement statement;
};

// ---- [2] Replicas ------------------------------------------------------------------------------

struct LoadedModel {
    std::string name;
    std::vector<std::string> adapters;

    bool operator==(const LoadedModel&) const = default;
};

// A replica's entry in the platform's list.
struct ReplicaEntry {
    std::string id;
    std::string service;
    std::string dataCenter;
    std::string version; // of its software, not of the weights; streams of different versions do not fit together
    base::Address address;
    double slots = 1;
    bool isDraining = false;
    std::optional<base::Millis> timeUntilRemoval; // until the platform removes the replica
    std::optional<base::Millis> coldTimeLeft;     // when it was written; 0: the replica is warm
    int64_t startedAtMillis = 0; // start time of the replica; a different value under the same id means a restart
    std::vector<LoadedModel> models;
    int64_t writeCount = 0; // rises with each entry that this process of the replica writes; 0: not stated
};

// Whether `entry` was written later than `known`, an entry of the same replica, by what the replica itself says. For
// entries whose revisions are of different eras of the store. A replica that drains does not become ready again.
inline bool entryIsNewer(const ReplicaEntry& entry, const ReplicaEntry& known)
{
    return std::tuple(entry.startedAtMillis, entry.writeCount, entry.isDraining)
        > std::tuple(known.startedAtMillis, known.writeCount, known.isDraining);
}

// Whether both say the same of the replica, whenever they were written.
inline bool entryIsEqual(const ReplicaEntry& a, const ReplicaEntry& b)
{
    auto fields = [](const ReplicaEntry& entry) {
        return std::tie(entry.id, entry.service, entry.dataCenter, entry.version, entry.address, entry.slots,
            entry.isDraining, entry.timeUntilRemoval, entry.startedAtMillis, entry.models);
    };
    return fields(a) == fields(b);
}

// A replica's response to a report request.
struct ReplicaReport {
    int64_t startedAtMillis = 0;
    std::vector<LoadedModel> models;
    std::vector<std::string> pendingAdapters; // MODEL/ADAPTER, being loaded
    std::vector<std::string> modelsInMemory;  // models whose weights are in host memory
    std::vector<std::string> modelsOnDisk;    // models whose weights are on its disk
    bool isExecutingOrder = false;            // loading or unloading a model
    int64_t ordersAccepted = 0;
    double running = 0;
    double waiting = 0;
    double kvUsed = 0;
    double kvTotal = 0;
};

struct ModelOrder {
    bool isLoad = true; // false: unload
    std::string model;
    std::string adapter;                // empty: the order is for the model itself
    int64_t expectedOrdersAccepted = 0; // ReplicaReport::ordersAccepted before this order
    std::string hubName;                // name of the hub that issues the order
    int64_t fencingToken = 0;
};

enum class OrderResult {
    Accepted,
    AlreadyApplied, // the replica already is in the ordered state
    Conflict,       // another order is in progress, or expectedOrdersAccepted does not match
    Superseded,     // the replica has seen a higher fencing token
    Refused,        // sent to another replica, or malformed
    Unknown,        // no response: the order may still be executed
};

// ---- [3] Codec ---------------------------------------------------------------------------------

struct WireCodec {
    std::function<RequestHead(const net::HttpRequest&)> readRequest;
    // Without the body, which is sent as it was received.
    std::function<net::HttpRequest(const net::HttpRequest&, const AttemptTarget&)> writeAttempt;
    std::function<ResponseHead(const net::HttpResponse&, const std::string& requestId)> readResponseHead;
    std::function<std::vector<net::HttpHeader>(const net::HttpResponse&)> forwardedHeaders; // to send on to the caller
    std::function<net::HttpResponse(
        int status, std::string_view reason, std::optional<base::Millis> retryAfter, const std::string& requestId)>
        writeErrorResponse;

    // Both return nothing if the value cannot be read; `fault` then names the field.
    std::function<ConfigurationPointer(const std::string& value, std::string& fault)> readConfiguration;
    std::function<std::optional<ReplicaEntry>(const std::string& key, const std::string& value, std::string& fault)>
        readEntry;
    std::string configurationKey;
    std::string entryPrefix;
    std::string evacuationPrefix; // of the keys that name a data centre to be evacuated

    std::function<net::HttpRequest()> writeReportRequest;
    std::function<std::optional<ReplicaReport>(const net::HttpResponse&)> readReport;
    std::function<NamedLimit(const net::HttpResponse&)> readLimit;                      // of any response of a replica
    std::function<directory::ReplicaStatement(const net::HttpResponse&)> readStatement; // the same
    std::function<net::HttpRequest(const ModelOrder&, const std::string& replica)> writeOrder;
    std::function<OrderResult(const net::HttpResponse&)> readOrderResponse;
    std::string readinessPath;
};

} // namespace rattanshunt::gateway

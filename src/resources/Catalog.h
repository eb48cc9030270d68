// Immutable snapshot of resources, endpoints and placements for the traffic threads, built from the mirror of the KV
// store.
//
// The control thread builds and publishes a new catalog after changes. Traffic threads hold a shared pointer for as
// long as a request needs it. Safe to read from any thread.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/Mirror.h"
#include "placement/PlacementRecords.h"
#include "resources/Resources.h"

namespace rattanshunt::resources {

// Load of one endpoint as known to this daemon. Shared by all catalogs and threads.
struct EndpointLoad {
    std::atomic<int> ownInFlight { 0 };         // requests that this daemon has sent
    std::atomic<int> reportedInFlight { 0 };    // running and waiting requests, as last reported by the endpoint
    std::atomic<int> ownInFlightAtReport { 0 }; // ownInFlight when the report arrived
    std::atomic<int64_t> reportedAt { 0 };      // steady clock, microseconds
    std::atomic<int> batchSlots { 8 };          // requests that the endpoint runs in one batch, as last reported
    // Steady clock, microseconds. After a failed connection, no requests are sent until then.
    std::atomic<int64_t> avoidUntil { 0 };
};

struct EndpointInfo {
    std::string id;
    base::Address address;
    std::string dataCenter;
    std::string bootId; // of the endpoint's process
    std::shared_ptr<EndpointLoad> load;
};

struct Catalog {
    coordination::Revision revision = 0;
    std::map<std::string, Model> models;
    std::map<std::string, Adapter> adapters;
    std::map<std::string, Account> accounts;
    std::map<std::string, coordination::Revision> accountCreateRevisions; // revisions at which accounts were created
    std::unordered_map<std::string, ApiKey> keysByDigest; // with withdrawn keys, so that a refusal can say why
    std::vector<Route> routes;                            // longest prefix first
    std::map<std::string, Service> services;
    std::map<std::string, std::vector<EndpointInfo>> endpointsByPool;       // live endpoints by pool
    std::map<std::string, std::vector<EndpointInfo>> readyEndpointsByModel; // live endpoints by loaded model or adapter
    std::map<std::string, placement::ModelRecord> placements;
    std::vector<std::string> recordErrors; // one message for each record that could not be parsed
};

using EndpointLoads = std::map<std::string, std::shared_ptr<EndpointLoad>>;

// Builds a catalog. `loads` carries the load of each endpoint over from one catalog to the next.
std::shared_ptr<const Catalog> catalogBuild(const fleet::Mirror&, EndpointLoads& loads);

// The route with the longest matching prefix, or null. Valid as long as the catalog.
const Route* catalogFindRoute(const Catalog&, std::string_view path);

} // namespace rattanshunt::resources

// An immutable view of all that traffic threads need to know, made from the mirror.
//
// The control thread makes a new catalog after changes and publishes it; traffic threads hold a shared pointer for as
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

// Load of one endpoint as this daemon knows it. Shared by all catalogs and threads.
struct EndpointLoad {
    std::atomic<int> ownInFlight { 0 };         // requests of this daemon
    std::atomic<int> reportedInFlight { 0 };    // running and waiting, as last reported
    std::atomic<int> ownInFlightAtReport { 0 }; // ownInFlight when the report came
    std::atomic<int64_t> reportedAt { 0 };      // steady microseconds
    std::atomic<int> batchSlots { 8 };          // requests that it batches, as last reported
    std::atomic<int64_t> avoidUntil { 0 };      // steady microseconds; avoided until then after a failed connection
};

struct EndpointInfo {
    std::string id;
    base::Address address;
    std::string dataCenter;
    std::string bootId;
    std::shared_ptr<EndpointLoad> load;
};

struct Catalog {
    coordination::Revision revision = 0;
    std::map<std::string, Model> models;
    std::map<std::string, Adapter> adapters;
    std::map<std::string, Account> accounts;
    std::map<std::string, coordination::Revision> accountCreateRevisions;
    std::unordered_map<std::string, ApiKey> keysByDigest; // with withdrawn ones, so that a refusal can say so
    std::vector<Route> routes;                            // longest prefix first
    std::map<std::string, Service> services;
    std::map<std::string, std::vector<EndpointInfo>> endpointsByPool; // live endpoints by pool
    std::map<std::string, std::vector<EndpointInfo>>
        readyEndpointsByModel; // live endpoints that have a model or adapter loaded
    std::map<std::string, placement::ModelRecord> placements;
    std::vector<std::string> recordErrors; // records that could not be read
};

using EndpointLoads = std::map<std::string, std::shared_ptr<EndpointLoad>>;

// Builds a catalog. `loads` keeps the load of each endpoint from one catalog to the next.
std::shared_ptr<const Catalog> catalogBuild(const fleet::Mirror&, EndpointLoads& loads);

// The route for a path, or null.
const Route* catalogFindRoute(const Catalog&, std::string_view path);

} // namespace rattanshunt::resources

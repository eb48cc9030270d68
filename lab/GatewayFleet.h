// In-process fleet of gateways, all on one loop, with simulated replicas and a simulated metadata store. For tests.
// Thread safety: use from the loop's thread only.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ReplicaLinks.h"
#include "ReplicaStandIn.h"
#include "StoreStandIn.h"
#include "gateway/Gateway.h"
#include "hub/HubSync.h"
#include "models/Placer.h"
#include "platform/StoreClient.h"
#include "reach/ReplicaDialer.h"

namespace rattanshunt::lab {

// One gateway with its dependencies.
struct LabGateway {
    LabGateway(net::Loop&, const base::Address& store, const std::string& name, const gateway::GatewayOptions&,
        const hub::HubSyncOptions&, std::unique_ptr<ReplicaLinks>);

    gateway::WireCodec codec;
    platform::StoreClient store;
    std::unique_ptr<ReplicaLinks> replicaLinks; // null: replicas are dialled at their own addresses
    hub::HubSync hubSync;
    reach::ReplicaDialer dialer;
    gateway::Gateway gateway;
    models::Placer placer;
};

// What one caller received.
struct CallerResponse {
    net::HttpCallError error = net::HttpCallError::None;
    int status = 0;
    std::string body;
    std::vector<net::HttpHeader> headers;
    base::Duration duration { 0 }; // from sending to the end of the response
};

class GatewayFleet {
public:
    explicit GatewayFleet(net::Loop&);
    ~GatewayFleet();

    ReplicaStandIn& addReplica(ReplicaStandInOptions);
    LabGateway& addGateway(const std::string& name, std::optional<base::Address> store = std::nullopt);
    // Writes its directory entry to the store. A replica that starts again after a crash does this by itself.
    void publishEntry(ReplicaStandIn&, bool isDraining = false);
    void removeEntry(ReplicaStandIn&);       // deletes its directory entry from the store
    void configure(const std::string& json); // writes the configuration to the store
    void kill(LabGateway&);                  // ends it without leaving the election or draining; suspends
    bool waitReady(); // until all gateways can serve and know all replicas; false on timeout. Suspends.
    void stop();      // stops everything and waits for the fibers to end. Suspends.

    // Sends one request to a gateway on a connection of its own, which is closed after `disconnectAfter` at the latest.
    CallerResponse call(LabGateway&, net::HttpRequest, base::Millis disconnectAfter = base::Millis(8000));

    StoreStandIn& store() { return m_store; }

    // Options of gateways that are added from now on.
    gateway::GatewayOptions gatewayOptions;
    hub::HubSyncOptions hubSyncOptions;
    bool hasReplicaLinks = false; // gateways that are added reach replicas over links that can be cut

private:
    net::Loop& m_loop;
    StoreStandIn m_store;
    std::vector<std::pair<std::string, std::unique_ptr<ReplicaStandIn>>> m_replicas; // by identifier
    std::vector<std::unique_ptr<LabGateway>> m_gateways;
    std::vector<std::unique_ptr<LabGateway>> m_killedGateways; // their fibers may still refer to them
};

// A configuration with a plain service and an engine service. Routes on host a.example: /safe/ (idempotent), /once/ (at
// most once), /stream/ (resumable), /single/ (a stream that is not resumable) and /open/ (needs no key). One account,
// "acme", with key "secret-1" by default; `keys` is a comma-separated list of JSON strings. `rate` is in tokens per
// second.
std::string labConfiguration(int version, double rate = 0, double burst = 0, const std::string& keys = "\"secret-1\"");

// A caller's request. `model` is empty for the plain routes, which send no `promptPrefix` either; an empty `key` sends
// no Authorization header.
net::HttpRequest labRequest(const std::string& path, const std::string& id, const std::string& model = "",
    const std::string& key = "secret-1", const std::string& promptPrefix = "aa:40,bb:20");

} // namespace rattanshunt::lab

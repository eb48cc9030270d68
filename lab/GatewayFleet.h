// Gateways in this process, on one loop, before stand-ins of the users' platform. For tests.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ReplicaStandIn.h"
#include "StoreStandIn.h"
#include "gateway/Gateway.h"
#include "hub/HubSync.h"
#include "models/Placer.h"
#include "platform/StoreClient.h"

namespace rattanshunt::lab {

// One gateway with everything it needs. Own thread only.
struct LabGateway {
    LabGateway(net::Loop&, const base::Address& store, const std::string& name, const gateway::GatewayOptions&,
        const hub::HubSyncOptions&);

    gateway::WireCodec codec;
    platform::StoreClient store;
    hub::HubSync hubSync;
    gateway::Gateway gateway;
    models::Placer placer;
};

// What one caller got.
struct CallerResponse {
    net::HttpCallError error = net::HttpCallError::None;
    int status = 0;
    std::string body;
    std::vector<net::HttpHeader> headers;
    base::Duration duration { 0 };
};

class GatewayFleet {
public:
    explicit GatewayFleet(net::Loop&);
    ~GatewayFleet();

    // -- commands; all but stop() before start() or after it --
    ReplicaStandIn& addReplica(ReplicaStandInOptions);
    LabGateway& addGateway(const std::string& name);
    void publishEntry(ReplicaStandIn&, bool isDraining = false); // writes its entry
    void removeEntry(ReplicaStandIn&);                           // removes its entry
    void configure(const std::string& json);
    bool waitReady(); // until all gateways serve
    void stop();      // ends all fibers

    // Sends one request to a gateway. `leaveAfter`: closes the connection then.
    CallerResponse call(LabGateway&, net::HttpRequest, base::Millis leaveAfter = base::Millis(8000));

    StoreStandIn& store() { return m_store; }
    gateway::GatewayOptions gatewayOptions;
    hub::HubSyncOptions hubSyncOptions;

private:
    net::Loop& m_loop;
    StoreStandIn m_store;
    std::vector<std::pair<std::string, std::unique_ptr<ReplicaStandIn>>> m_replicas; // by identifier
    std::vector<std::unique_ptr<LabGateway>> m_gateways;
};

// A configuration with a plain service and an engine service: routes /safe/, /once/, /stream/ (may be continued),
// /single/ (may not), /open/ (needs no key) of host a.example; account "acme" with key "secret-1".
std::string labConfiguration(int version, double rate = 0, double burst = 0, const std::string& keys = "\"secret-1\"");

// A request of a caller. `model` is empty for the plain routes.
net::HttpRequest labRequest(
    const std::string& path, const std::string& id, const std::string& model = "", const std::string& key = "secret-1");

} // namespace rattanshunt::lab

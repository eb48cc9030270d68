// Fixture of the gateway tests: gateways, replicas and store of the platform on one loop.
#pragma once

#include "GatewayFleet.h"
#include "Support.h"

namespace rattanshunt::tests {

// Two plain replicas, two engine replicas and `gatewayCount` gateways, ready to serve when constructed. `rate` (tokens
// per second) and `burst` (tokens) limit the account; 0: no limit. Use on the loop's thread.
struct GatewayFixture {
    net::Loop& loop;
    lab::GatewayFleet fleet;
    lab::ReplicaStandIn* plain[2] = {};
    lab::ReplicaStandIn* engine[2] = {};
    std::vector<lab::LabGateway*> gateways;

    explicit GatewayFixture(
        net::Loop& testLoop, size_t gatewayCount = 1, double rate = 0, double burst = 0, bool quotaReservations = false)
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.hubSyncOptions.quotaReservations = quotaReservations;
        fleet.configure(lab::labConfiguration(1, rate, burst));
        for (int i = 0; i < 2; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = "i-plain-" + std::to_string(i);
            plain[i] = &fleet.addReplica(options);
            options.id = "i-engine-" + std::to_string(i);
            options.service = "engine";
            options.isEngine = true;
            options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
            options.loadedModels = { "m1" };
            engine[i] = &fleet.addReplica(options);
        }
        for (size_t i = 0; i < gatewayCount; ++i)
            gateways.push_back(&fleet.addGateway("g" + std::to_string(i)));
        cr_assert(fleet.waitReady());
    }
    ~GatewayFixture() { fleet.stop(); }

    // Sends a request to the first gateway. The caller disconnects after `leaveAfter` if it has no complete response.
    lab::CallerResponse call(const std::string& path, const std::string& id, const std::string& model = "",
        const std::string& key = "secret-1", base::Millis leaveAfter = base::Millis(8000))
    {
        return fleet.call(*gateways[0], lab::labRequest(path, id, model, key), leaveAfter);
    }
    // How often the plain replicas executed the request `id`.
    int plainRunCount(const std::string& id)
    {
        int runCount = 0;
        for (lab::ReplicaStandIn* replica : plain)
            runCount += replica->history().executionsByRequest()[id];
        return runCount;
    }
    // Sets `fault` on all replicas for their next `requestCount` requests each; negative: for all requests.
    void setFaultOnAll(lab::ReplicaFault fault, int requestCount)
    {
        for (lab::ReplicaStandIn* replica : { plain[0], plain[1], engine[0], engine[1] })
            replica->faults() = { fault, requestCount };
    }
};

} // namespace rattanshunt::tests

// The site that the tests of the gateway run on.
#pragma once

#include "GatewayFleet.h"
#include "Support.h"

namespace rattanshunt::tests {

// Two plain replicas, two engine replicas, one gateway unless more are asked for.
struct Site {
    net::Loop& loop;
    lab::GatewayFleet fleet;
    lab::ReplicaStandIn* plain[2] = {};
    lab::ReplicaStandIn* engine[2] = {};
    std::vector<lab::LabGateway*> gateways;

    explicit Site(net::Loop& ownLoop, size_t count = 1, double rate = 0, double burst = 0)
        : loop(ownLoop)
        , fleet(ownLoop)
    {
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
        for (size_t i = 0; i < count; ++i)
            gateways.push_back(&fleet.addGateway("g" + std::to_string(i)));
        cr_assert(fleet.waitReady());
    }
    ~Site() { fleet.stop(); }

    lab::CallerResponse call(const std::string& path, const std::string& id, const std::string& model = "",
        const std::string& key = "secret-1", base::Millis leaveAfter = base::Millis(8000))
    {
        return fleet.call(*gateways[0], lab::labRequest(path, id, model, key), leaveAfter);
    }
    int plainRuns(const std::string& id)
    {
        int sum = 0;
        for (lab::ReplicaStandIn* replica : plain)
            sum += replica->history().executionsByRequest()[id];
        return sum;
    }
    void faultAll(lab::ReplicaFault fault, int next)
    {
        for (lab::ReplicaStandIn* replica : { plain[0], plain[1], engine[0], engine[1] })
            replica->faults() = { fault, next };
    }
};

} // namespace rattanshunt::tests

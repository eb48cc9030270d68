// Two gateways and two replicas of the service "plain", of which the first gateway may have lost its links to both.
#pragma once

#include "ByteStandIn.h"
#include "GatewayFixture.h"

namespace rattanshunt::tests {

// Use on the loop's thread. Precondition: something listens at the replicas' addresses.
struct CutOffGateway {
    lab::GatewayFleet fleet;
    lab::LabGateway* cutOff = nullptr;
    lab::LabGateway* relay = nullptr;

    CutOffGateway(
        net::Loop& loop, const base::Address& replica, const base::Address& otherReplica, bool isCutOff = true)
        : fleet(loop)
    {
        fleet.hasReplicaLinks = isCutOff;
        fleet.configure(lab::labConfiguration(1));
        fleet.store().put("servers/i-0", lab::byteReplicaEntry("plain", replica));
        fleet.store().put("servers/i-1", lab::byteReplicaEntry("plain", otherReplica));
        cutOff = &fleet.addGateway("g0");
        relay = &fleet.addGateway("g1");
        cr_assert(fleet.waitReady());
        while (cutOff->hubSync.directory().replicas.size() < 2 || relay->hubSync.directory().replicas.size() < 2
            || cutOff->hubSync.peerAddresses().empty())
            net::sleepFor(base::Millis(10));
        if (!isCutOff)
            return;
        cutOff->replicaLinks->setCut(lab::LinkCut::Reset);
        cutOff->dialer.confirmReach({});
        cr_assert(cutOff->dialer.hasLostReplicas());
    }
    ~CutOffGateway() { fleet.stop(); }
};

} // namespace rattanshunt::tests

// Gateways whose links to all replicas can be cut, and callers of each that count their first tries.
#pragma once

#include "GatewayFixture.h"

namespace rattanshunt::tests {

using lab::LinkCut;

struct TryCount {
    int tries = 0;
    int served = 0;

    double servedShare() const { return tries ? static_cast<double>(served) / tries : 1; }
};

// Four plain and three engine replicas, one of which holds another model than the others. Use on the loop's thread.
struct ReplicaLinkFixture {
    static constexpr base::Millis contactTime { 3000 }; // from the cut on, until callers count

    net::Loop& loop;
    lab::GatewayFleet fleet;
    std::vector<lab::ReplicaStandIn*> replicas;
    std::vector<lab::LabGateway*> gateways;
    std::vector<lab::LabGateway*> cutGateways;
    TryCount cutTries;
    TryCount otherTries;
    int callersLeft = 0;
    bool keepsConnections = false; // callers use their open connections again
    std::map<lab::LabGateway*, std::vector<std::unique_ptr<net::HttpConnection>>> openConnections;

    ReplicaLinkFixture(net::Loop& testLoop, size_t gatewayCount)
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.hasReplicaLinks = true;
        fleet.configure(lab::labConfiguration(1));
        for (int i = 0; i < 7; ++i) {
            lab::ReplicaStandInOptions options;
            options.id = fmt::format("i-{}", i);
            if (i >= 4) {
                options.service = "engine";
                options.isEngine = true;
                options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
                options.loadedModels = { i == 6 ? "m2" : "m1" };
            }
            replicas.push_back(&fleet.addReplica(options));
        }
        for (size_t i = 0; i < gatewayCount; ++i)
            gateways.push_back(&fleet.addGateway(fmt::format("g{}", i)));
        cr_assert(fleet.waitReady());
    }
    ~ReplicaLinkFixture() { fleet.stop(); }

    lab::LabGateway* hub() const
    {
        auto found = std::find_if(
            gateways.begin(), gateways.end(), [](lab::LabGateway* gateway) { return gateway->hubSync.isHub(); });
        return found == gateways.end() ? nullptr : *found;
    }

    // Cuts the links of `count` gateways; the hub is the first or the last to be cut.
    void cut(LinkCut how, size_t count, bool hubFirst)
    {
        std::vector<lab::LabGateway*> order = gateways;
        lab::LabGateway* first = hub();
        std::stable_partition(
            order.begin(), order.end(), [&](lab::LabGateway* gateway) { return (gateway == first) == hubFirst; });
        cutGateways.assign(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count));
        for (lab::LabGateway* gateway : cutGateways)
            gateway->replicaLinks->setCut(how);
    }
    void heal()
    {
        for (lab::LabGateway* gateway : cutGateways)
            gateway->replicaLinks->setCut(LinkCut::None);
        cutGateways.clear();
    }

    // Each gateway gets a new request each 100 ms for `time`. Returns when all have ended.
    void callAll(base::Duration time)
    {
        cutTries = otherTries = {};
        base::TimePoint endsAt = base::Clock::now() + time;
        static int callNumber = 0;
        while (base::Clock::now() < endsAt) {
            for (lab::LabGateway* gateway : gateways) {
                ++callersLeft;
                loop.spawn([this, gateway, number = callNumber++] { call(*gateway, number); });
            }
            net::sleepFor(base::Millis(100));
        }
        while (callersLeft)
            net::sleepFor(base::Millis(10));
    }

    static std::string requestId(int number) { return fmt::format("{:016x}", number); }
    static bool isAtMostOnce(const std::string& id) { return std::stoull(id, nullptr, 16) % 4 == 1; }

    void call(lab::LabGateway& gateway, int number)
    {
        constexpr const char* paths[] = { "/safe/", "/once/", "/stream/", "/stream/" };
        constexpr const char* models[] = { "", "", "m1", "m2" };
        bool isCut = std::find(cutGateways.begin(), cutGateways.end(), &gateway) != cutGateways.end();
        size_t kind = static_cast<size_t>(number) % 4;
        auto& open = openConnections[&gateway];
        std::unique_ptr<net::HttpConnection> connection;
        if (open.empty()) {
            connection = net::HttpConnection::create(loop, gateway.gateway.address());
        } else {
            connection = std::move(open.back());
            open.pop_back();
        }
        net::HttpResult result = net::httpCall(*connection,
            lab::labRequest(paths[kind], requestId(number), models[kind]), base::Clock::now() + base::Seconds(8));
        TryCount& count = isCut ? cutTries : otherTries;
        ++count.tries;
        count.served += result.response.status == 200 && result.error == net::HttpCallError::None;
        if (keepsConnections && connection->isReusable())
            open.push_back(std::move(connection));
        --callersLeft;
    }
};

} // namespace rattanshunt::tests

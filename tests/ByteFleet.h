// Fixture of the tests with replicas whose responses are bytes that the test chooses.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ByteStandIn.h"
#include "GatewayFleet.h"
#include "Support.h"

namespace rattanshunt::tests {

inline std::string requestIdOf(const net::HttpRequest& request)
{
    return std::string(net::httpHeader(request.headers, "Request-Id"));
}

// Byte stand-ins as replicas of one service, and one gateway that knows them.
struct ByteFleet {
    net::Loop& loop;
    lab::GatewayFleet fleet;
    std::vector<std::unique_ptr<lab::ByteStandIn>> replicas;
    lab::LabGateway* gateway = nullptr;
    std::map<std::string, int> runsById;

    ByteFleet(net::Loop& testLoop, const std::string& service, size_t count, const lab::ByteScript& script)
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.configure(lab::labConfiguration(1));
        for (size_t i = 0; i < count; ++i) {
            replicas.push_back(std::make_unique<lab::ByteStandIn>(
                loop, [this, script](lab::ByteConnection& connection, const net::HttpRequest& request) {
                    if (request.target == "/rattanshunt/report")
                        return connection.close();
                    ++runsById[requestIdOf(request)];
                    script(connection, request);
                }));
            std::string error;
            cr_assert(replicas.back()->listen(error), "%s", error.c_str());
            fleet.store().put(
                fmt::format("servers/i-{}", i), lab::byteReplicaEntry(service, replicas.back()->address(), { "m1" }));
        }
        gateway = &fleet.addGateway("g0");
        cr_assert(fleet.waitReady());
        while (gateway->hubSync.directory().replicas.size() < count)
            net::sleepFor(base::Millis(10));
    }
    ~ByteFleet()
    {
        for (auto& replica : replicas)
            replica->stop();
        fleet.stop();
    }
    lab::CallerResponse call(const std::string& path, const std::string& id, base::Millis timeLeft = base::Millis(3000))
    {
        net::HttpRequest request = lab::labRequest(path, id, "m1");
        for (net::HttpHeader& header : request.headers) {
            if (header.name == "Deadline-Ms")
                header.value = std::to_string(timeLeft.count());
        }
        return fleet.call(*gateway, request);
    }
};

} // namespace rattanshunt::tests

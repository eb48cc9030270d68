// Fixture of the tests of streams that are taken up while several versions of a service's software serve.
#pragma once

#include <fmt/format.h>

#include "GatewayFleet.h"
#include "Support.h"

namespace rattanshunt::tests {

using namespace lab;

inline constexpr double goodShare = 0.95; // of take-ups that go on, against new streams that begin

struct BrokenStream {
    std::string requestId;
    std::string lastEventId;
};

// Engine replicas of two versions, and gateways with many open streams.
struct VersionFixture {
    net::Loop& loop;
    GatewayFleet fleet;
    std::vector<LabGateway*> gateways;
    std::map<std::string, ReplicaStandIn*> replicas; // by identifier
    std::vector<BrokenStream> broken;
    size_t openCalls = 0;
    size_t sequence = 0;
    int eventsPerStream;
    base::Millis eventInterval;

    VersionFixture(net::Loop& testLoop, const std::vector<std::string>& versions, size_t gatewayCount = 4,
        int eventCount = 60, base::Millis interval = base::Millis(50))
        : loop(testLoop)
        , fleet(testLoop)
        , eventsPerStream(eventCount)
        , eventInterval(interval)
    {
        fleet.configure(labConfiguration(1));
        for (const std::string& version : versions)
            addReplica(version);
        for (size_t i = 0; i < gatewayCount; ++i)
            addGateway();
        cr_assert(fleet.waitReady());
    }
    ~VersionFixture()
    {
        while (openCalls)
            net::sleepFor(base::Millis(20));
        fleet.stop();
    }

    void addReplica(const std::string& version)
    {
        ReplicaStandInOptions options;
        options.id = fmt::format("i-{}", replicas.size());
        options.service = "engine";
        options.isEngine = true;
        options.version = version;
        options.batchSlots = 64;
        options.processingTime = eventInterval;
        options.eventsPerStream = eventsPerStream;
        options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
        options.loadedModels = { "m1" };
        replicas[options.id] = &fleet.addReplica(options);
    }
    void addGateway() { gateways.push_back(&fleet.addGateway(fmt::format("g{}", sequence++))); }

    // Starts streams, spread over the gateways; those that break off are kept in `broken`.
    void startStreams(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            ++openCalls;
            loop.spawn([this, index = i % gateways.size(), id = fmt::format("{:016x}", ++sequence)] {
                CallerResponse response = fleet.call(*gateways[index], labRequest("/stream/", id, "m1"));
                size_t at = response.body.rfind("id: ");
                bool isBroken = response.error != net::HttpCallError::None && at != std::string::npos;
                if (isBroken)
                    broken.push_back({ id, std::to_string(std::stoi(response.body.substr(at + 4))) });
                --openCalls;
            });
        }
    }

    void killAllGateways()
    {
        size_t killing = gateways.size();
        for (LabGateway* gateway : gateways) {
            loop.spawn([this, gateway, &killing] {
                fleet.kill(*gateway);
                --killing;
            });
        }
        while (killing || openCalls)
            net::sleepFor(base::Millis(5));
        size_t count = std::exchange(gateways, {}).size();
        for (size_t i = 0; i < count; ++i)
            addGateway();
    }

    size_t storedOriginCount()
    {
        size_t count = 0;
        for (const auto& [key, entry] : fleet.store().state().entries) {
            if (key.starts_with(hub::originSegmentPrefix))
                count += streams::segmentRead(entry.value).size();
        }
        return count;
    }

    std::set<std::string> versionsThatServed(const std::string& requestId) const
    {
        std::set<std::string> versions;
        for (const auto& [id, replica] : replicas) {
            if (replica->history().executionsByRequest().contains(requestId))
                versions.insert(versionOf(id));
        }
        return versions;
    }
    std::string versionOf(const std::string& replica) const
    {
        return nlohmann::json::parse(replicas.at(replica)->entry()).at("version").get<std::string>();
    }

    // Takes all broken streams up; returns how many go on. Checks that none goes on at another version.
    size_t takeUp()
    {
        size_t continued = 0;
        for (size_t i = 0; i < broken.size(); ++i) {
            ++openCalls;
            loop.spawn([this, i, &continued] {
                std::string id = fmt::format("{:016x}", 0xa0000000 + i);
                net::HttpRequest request = labRequest("/stream/", id, "m1");
                request.headers.push_back({ "Last-Event-Id", broken[i].lastEventId });
                request.headers.push_back({ "Resumes", broken[i].requestId });
                CallerResponse response = fleet.call(*gateways[i % gateways.size()], request, base::Millis(6000));
                continued += response.status == 200 ? 1 : 0;
                std::set<std::string> versions = versionsThatServed(id);
                if (!versions.empty())
                    cr_expect_eq(versions, versionsThatServed(broken[i].requestId),
                        "stream %s is joined from two versions", broken[i].requestId.c_str());
                --openCalls;
            });
        }
        while (openCalls)
            net::sleepFor(base::Millis(20));
        return continued;
    }

    // Kills all gateways under the open streams, and checks that nearly all of these go on.
    void expectNearlyAllGoOnAfterKill()
    {
        killAllGateways();
        cr_assert(fleet.waitReady());
        cr_assert_gt(broken.size(), 50);
        size_t continued = takeUp();
        cr_expect_geq(static_cast<double>(continued), goodShare * static_cast<double>(broken.size()),
            "%zu of %zu streams go on", continued, broken.size());
    }
};

} // namespace rattanshunt::tests

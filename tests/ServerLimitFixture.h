// Gateways under steady traffic beside replicas that name the request rate that they accept.
#pragma once

#include "GatewayFleet.h"
#include "Support.h"

namespace rattanshunt::tests {

using namespace lab;

// The users' rule: from `contactTime` after a replica first named its limit, any `limitWindow` brings it no more than
// `limitExcess` times what the limit allows, and `limitExtra` requests, from gateways that know of the limit for
// `toldDelay`.
inline constexpr base::Millis limitContactTime { 3000 };
inline constexpr base::Seconds limitWindow { 4 };
inline constexpr double limitExcess = 1.5;
inline constexpr double limitExtra = 5;
inline constexpr base::Millis toldDelay { 500 };
inline constexpr double goodUse = 0.8; // part of the limit that a replica should get while requests wait for it

struct LimitFixture {
    net::Loop& loop;
    GatewayFleet fleet;
    std::vector<LabGateway*> gateways;
    std::vector<ReplicaStandIn*> plain;
    std::vector<ReplicaStandIn*> engines;
    bool isSending = true;
    size_t senders = 0;
    size_t openCalls = 0;
    size_t sequence = 0;
    std::map<int, size_t> answersByStatus;
    base::Duration longestRefusal { 0 };

    LimitFixture(net::Loop& testLoop, size_t gatewayCount, size_t plainCount, size_t engineCount)
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.configure(labConfiguration(1));
        for (size_t i = 0; i < plainCount + engineCount; ++i) {
            ReplicaStandInOptions options;
            options.id = fmt::format("i-{}", i);
            options.processingTime = base::Millis(10);
            if (i >= plainCount) {
                options.service = "engine";
                options.isEngine = true;
                options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
                options.loadedModels = { "m1" };
            }
            (i < plainCount ? plain : engines).push_back(&fleet.addReplica(options));
        }
        for (size_t i = 0; i < gatewayCount; ++i)
            gateways.push_back(&fleet.addGateway(fmt::format("g{}", i)));
        cr_assert(fleet.waitReady());
        net::sleepFor(base::Millis(700)); // until the hub may give orders
    }
    ~LimitFixture()
    {
        stopSending();
        fleet.stop();
    }

    size_t hubIndex() const
    {
        for (size_t i = 0; i < gateways.size(); ++i) {
            if (gateways[i]->hubSync.isHub())
                return i;
        }
        return 0;
    }

    // Sends requests to one gateway after the other. Request ids begin with the index of the gateway.
    void startSending(const std::string& path, const std::string& model, base::Millis interval)
    {
        ++senders;
        loop.spawn([this, path, model, interval] {
            for (size_t turn = 0; isSending; ++turn) {
                size_t index = turn % gateways.size();
                ++openCalls;
                loop.spawn([this, path, model, index] {
                    std::string id = fmt::format("{:04x}{:012x}", index, ++sequence);
                    CallerResponse response
                        = fleet.call(*gateways[index], labRequest(path, id, model), base::Millis(4000));
                    ++answersByStatus[response.status];
                    if (response.status == 503)
                        longestRefusal = std::max(longestRefusal, response.duration);
                    --openCalls;
                });
                net::sleepFor(interval);
            }
            --senders;
        });
    }
    void stopSending()
    {
        isSending = false;
        while (openCalls || senders)
            net::sleepFor(base::Millis(20));
    }

    // Checks the rule for a limit that the replica has named since `namedAt`. Reports and orders count from there on,
    // whichever gateway sent them. `excused` gateways do not count.
    void checkLimit(const ReplicaStandIn& replica, double limit, base::TimePoint namedAt,
        const std::set<size_t>& excused = {}) const
    {
        std::map<size_t, base::TimePoint> toldAt;
        auto senderOf
            = [](const ReplicaArrival& arrival) { return std::stoul(arrival.requestId.substr(0, 4), nullptr, 16); };
        std::vector<base::TimePoint> counted;
        for (const ReplicaArrival& arrival : replica.history().arrivals) {
            if (!arrival.requestId.empty() && arrival.namedAt)
                toldAt.try_emplace(senderOf(arrival), *arrival.namedAt);
        }
        for (const ReplicaArrival& arrival : replica.history().arrivals) {
            base::TimePoint told = namedAt;
            if (!arrival.requestId.empty()) {
                auto found = toldAt.find(senderOf(arrival));
                if (found == toldAt.end() || excused.contains(found->first))
                    continue;
                told = found->second;
            }
            if (arrival.at >= told + toldDelay)
                counted.push_back(arrival.at);
        }
        double allowed = limitExcess * limit * limitWindow.count() + limitExtra;
        size_t most = 0;
        for (size_t last = 0, first = 0; last < counted.size(); ++last) {
            while (counted[first] <= counted[last] - limitWindow)
                ++first;
            if (counted[last] >= namedAt + limitContactTime)
                most = std::max(most, last - first + 1);
        }
        cr_expect_leq(static_cast<double>(most), allowed, "a limit of %g a second: %zu requests in 4 s, allowed %g",
            limit, most, allowed);
    }

    // The part of the limit that callers' requests used in [from, until).
    double useOf(const ReplicaStandIn& replica, double limit, base::TimePoint from, base::TimePoint until) const
    {
        auto used = std::count_if(replica.history().arrivals.begin(), replica.history().arrivals.end(),
            [&](const ReplicaArrival& each) { return !each.requestId.empty() && each.at >= from && each.at < until; });
        return static_cast<double>(used) / (limit * base::secondsOf(until - from));
    }
};

} // namespace rattanshunt::tests

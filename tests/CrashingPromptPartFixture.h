// Gateways and replicas with sound and crashing traffic, for the tests of prompt parts that crash replicas.
#pragma once

#include <numeric>

#include "GatewayFleet.h"
#include "Support.h"

namespace rattanshunt::tests {

using namespace lab;

inline constexpr base::Millis contactTime { 3000 }; // in which news is due at every gateway that is in touch
inline constexpr size_t crashesOfRule = 5;
inline constexpr size_t maxLateArrivals = 3;
inline constexpr size_t minJudgedRequests = 20;

struct SoundRequest {
    base::TimePoint sentAt {};
    bool hasBegun = false; // at the caller's first attempt
};

// Gateways and engine replicas with sound and crashing traffic. Use on the loop's thread.
struct CrashingPartFixture {
    static constexpr size_t gatewayCount = 6;
    static constexpr size_t replicaCount = 6;

    net::Loop& loop;
    GatewayFleet fleet;
    std::set<std::string> parts; // that crash replicas
    std::vector<LabGateway*> gateways;
    std::vector<ReplicaStandIn*> replicas;
    std::vector<SoundRequest> sound;
    bool isSendingSound = true;
    bool isSendingCrashing = true;
    int sequence = 0;
    int crashingSent = 0;
    std::string otherParts = "aa:20,cc:20"; // of all prompts, before the crashing part
    size_t ownParts = 0;                    // of a crashing prompt alone, before its crashing part
    size_t openCalls = 0;
    size_t senders = 0;

    explicit CrashingPartFixture(net::Loop& testLoop, const std::set<std::string>& crashingParts = { "dead" })
        : loop(testLoop)
        , fleet(testLoop)
        , parts(crashingParts)
    {
        fleet.configure(labConfiguration(1));
        for (size_t i = 0; i < replicaCount; ++i) {
            ReplicaStandInOptions options;
            options.id = fmt::format("i-engine-{}", i);
            options.service = "engine";
            options.isEngine = true;
            options.processingTime = base::Millis(40);
            options.keepsIdAtRestart = i % 2 == 1;
            options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
            options.loadedModels = { "m1" };
            replicas.push_back(&fleet.addReplica(options));
            replicas.back()->faults().crashingParts = crashingParts;
        }
        for (size_t i = 0; i < gatewayCount; ++i)
            addGateway();
        cr_assert(fleet.waitReady());
        net::sleepFor(base::Millis(700)); // until the hub may give orders
    }
    ~CrashingPartFixture()
    {
        stopSending();
        fleet.stop();
    }

    LabGateway& addGateway()
    {
        gateways.push_back(&fleet.addGateway(fmt::format("g{}", gateways.size())));
        return *gateways.back();
    }

    // Kills these gateways at the same time and starts others in their places, without their memory.
    void replaceGateways(const std::vector<size_t>& indexes)
    {
        size_t killing = indexes.size();
        for (size_t index : indexes) {
            loop.spawn([this, &killing, former = gateways[index]] {
                fleet.kill(*former);
                --killing;
            });
        }
        while (killing)
            net::sleepFor(base::Millis(5));
        for (size_t index : indexes)
            gateways[index] = &fleet.addGateway(fmt::format("g{}-new", index));
    }

    size_t hubIndex() const
    {
        for (size_t i = 0; i < gateways.size(); ++i) {
            if (gateways[i]->hubSync.isHub())
                return i;
        }
        return 0;
    }

    std::vector<base::TimePoint> timesOf(std::vector<PartEvent> ReplicaHistory::*member, const std::string& part) const
    {
        std::vector<base::TimePoint> times;
        for (const ReplicaStandIn* replica : replicas) {
            for (const PartEvent& event : replica->history().*member) {
                if (event.part == part)
                    times.push_back(event.at);
            }
        }
        std::sort(times.begin(), times.end());
        return times;
    }
    std::vector<base::TimePoint> crashesOf(const std::string& part) const
    {
        return timesOf(&ReplicaHistory::crashes, part);
    }

    // Waits until each of `parts` has crashed replicas `count` times.
    bool waitForCrashes(size_t count, base::Seconds timeout)
    {
        base::TimePoint deadline = base::Clock::now() + timeout;
        auto hasAll = [&] {
            return std::all_of(
                parts.begin(), parts.end(), [&](const std::string& part) { return crashesOf(part).size() >= count; });
        };
        while (!hasAll() && base::Clock::now() < deadline)
            net::sleepFor(base::Millis(5));
        return hasAll();
    }

    // The fifth crash under each part, or the last one under a part with fewer; the latest of these times.
    base::TimePoint decisiveCrash() const
    {
        base::TimePoint latest {};
        for (const std::string& part : parts) {
            std::vector<base::TimePoint> times = crashesOf(part);
            cr_assert(!times.empty());
            latest = std::max(latest, times[std::min(times.size(), crashesOfRule) - 1]);
        }
        return latest;
    }

    // Sends a request in a fiber of its own to the gateway `index`; `onDone` gets what its caller received.
    void send(size_t index, const std::string& promptPrefix, std::function<void(const CallerResponse&)> onDone)
    {
        ++openCalls;
        loop.spawn([this, index, promptPrefix, onDone] {
            std::string id = fmt::format("{:016x}", ++sequence);
            net::HttpRequest request = labRequest("/stream/", id, "m1", "secret-1", promptPrefix);
            onDone(fleet.call(*gateways[index], request, base::Millis(2500)));
            --openCalls;
        });
    }

    // The last part of each prompt is its own; sound and crashing requests share the key and all other parts.
    void sendSound(size_t index, const std::string& sharedParts)
    {
        sound.push_back({ base::Clock::now(), false });
        send(index, fmt::format("{},f{:x}:20", sharedParts, sound.size()),
            [this, request = sound.size() - 1](const CallerResponse& response) {
                sound[request].hasBegun = response.status == 200 && response.body.find("data:") != std::string::npos;
            });
    }
    void sendCrashing(size_t index, const std::string& part)
    {
        std::string own;
        for (size_t i = 0; i < ownParts; ++i)
            own += fmt::format("d{:x}-{:x}:1,", crashingSent, i);
        send(index, fmt::format("{},{}{}:10,e{:x}:10", otherParts, own, part, ++crashingSent),
            [](const CallerResponse&) {});
    }

    void startSound(base::Millis interval = base::Millis(40)) { startSound(interval, otherParts); }
    void startSound(base::Millis interval, const std::string& sharedParts)
    {
        ++senders;
        loop.spawn([this, interval, sharedParts] {
            for (size_t turn = 0; isSendingSound; ++turn) {
                sendSound(turn % gateways.size(), sharedParts);
                net::sleepFor(interval);
            }
            --senders;
        });
    }
    void startCrashing(const std::string& part, base::Millis interval = base::Millis(200))
    {
        ++senders;
        loop.spawn([this, interval, part] {
            for (size_t turn = 0; isSendingCrashing; ++turn) {
                sendCrashing((turn * 5 + 1) % gateways.size(), part);
                net::sleepFor(interval);
            }
            --senders;
        });
    }

    void checkLateArrivals() const
    {
        for (const std::string& part : parts) {
            std::vector<base::TimePoint> crashes = crashesOf(part);
            if (crashes.size() < crashesOfRule)
                continue;
            base::TimePoint allowedUntil = crashes[crashesOfRule - 1] + contactTime;
            std::vector<base::TimePoint> arrivals = timesOf(&ReplicaHistory::crashingArrivals, part);
            size_t late = static_cast<size_t>(
                arrivals.end() - std::upper_bound(arrivals.begin(), arrivals.end(), allowedUntil));
            cr_expect_leq(late, maxLateArrivals,
                "%zu requests with %s came to replicas too late, which crashed %zu times", late, part.c_str(),
                crashes.size());
        }
    }

    // The share of the sound requests sent in [from, until) that began. Precondition: enough were sent to be judged.
    double begunShare(base::TimePoint from, base::TimePoint until) const
    {
        size_t sent = 0;
        size_t begun = 0;
        for (const SoundRequest& request : sound) {
            bool isCounted = request.sentAt >= from && request.sentAt < until;
            sent += isCounted ? 1 : 0;
            begun += isCounted && request.hasBegun ? 1 : 0;
        }
        cr_assert_geq(sent, minJudgedRequests, "only %zu sound requests to judge", sent);
        return static_cast<double>(begun) / static_cast<double>(sent);
    }

    // Crashes at which the replica also ran a request that had begun less than `period` before.
    size_t crashesWithOthers(base::Millis period) const
    {
        size_t count = 0;
        for (const ReplicaStandIn* replica : replicas) {
            const std::vector<RequestExecution>& executions = replica->history().executions;
            for (const PartEvent& crash : replica->history().crashes) {
                auto running = std::count_if(executions.begin(), executions.end(), [&](const RequestExecution& each) {
                    return each.startedAt < crash.at && each.startedAt > crash.at - period;
                });
                count += running > 1 ? 1 : 0; // one of them is the request that crashed it
            }
        }
        return count;
    }

    // Sends `count` requests with these shared parts, one after the other; returns how many began.
    size_t countBegun(size_t count, const std::string& sharedParts)
    {
        size_t first = sound.size();
        for (size_t i = 0; i < count; ++i) {
            sendSound(i % gateways.size(), sharedParts);
            net::sleepFor(base::Millis(50));
        }
        stopSending();
        return static_cast<size_t>(std::count_if(sound.begin() + static_cast<ptrdiff_t>(first), sound.end(),
            [](const SoundRequest& each) { return each.hasBegun; }));
    }

    void stopSending()
    {
        isSendingSound = false;
        isSendingCrashing = false;
        while (openCalls || senders)
            net::sleepFor(base::Millis(20));
    }

    // Sound traffic alone, then crashing traffic with each part beside it. Calls `atCrash` once each part has crashed
    // replicas `crashCount` times. Checks the bounds of the rule at the end.
    void checkRule(size_t crashCount, const std::function<void()>& atCrash)
    {
        startSound();
        base::TimePoint soundAlone = base::Clock::now();
        net::sleepFor(base::Millis(1500));
        base::TimePoint disturbed = base::Clock::now();
        for (const std::string& part : parts)
            startCrashing(part);
        if (waitForCrashes(crashCount, base::Seconds(4)))
            atCrash();
        waitForCrashes(crashesOfRule, base::Seconds(4));
        net::sleepUntil(decisiveCrash() + 2 * contactTime);
        base::TimePoint judgedFrom = decisiveCrash() + 2 * contactTime; // later if there was another crash meanwhile
        net::sleepUntil(judgedFrom + base::Millis(1500));
        base::TimePoint end = base::Clock::now();
        stopSending();
        checkLateArrivals();
        double before = begunShare(soundAlone, disturbed - base::Millis(300));
        double after = begunShare(judgedFrom, end);
        cr_expect_geq(after, before / 2, "sound requests: %.2f began before, %.2f afterwards", before, after);
    }
};

} // namespace rattanshunt::tests

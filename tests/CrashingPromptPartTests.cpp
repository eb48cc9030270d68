// Requests with one prompt part crash every replica that begins to answer them. The rule: after the fifth crash plus
// the contact time, at most three more reach replicas; from twice that time on, sound requests with the same key or
// first part begin at the first attempt at least half as often as before.
#include "GatewayFleet.h"
#include "Support.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;

namespace {

constexpr base::Millis contactTime { 3000 }; // in which news is due at every gateway that is in touch
constexpr size_t crashesOfRule = 5;
constexpr size_t maxLateArrivals = 3;
constexpr size_t minJudgedRequests = 20;
constexpr const char* crashingPart = "dead";

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
    std::vector<LabGateway*> gateways;
    std::vector<ReplicaStandIn*> replicas;
    std::vector<SoundRequest> sound;
    bool isSendingSound = true;
    bool isSendingCrashing = true;
    int sequence = 0;
    int crashingSent = 0;
    size_t openCalls = 0;
    size_t senders = 0;

    explicit CrashingPartFixture(net::Loop& testLoop, const std::set<std::string>& crashingParts = { crashingPart })
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.configure(labConfiguration(1));
        for (size_t i = 0; i < replicaCount; ++i) {
            ReplicaStandInOptions options;
            options.id = fmt::format("i-engine-{}", i);
            options.service = "engine";
            options.isEngine = true;
            options.processingTime = base::Millis(40);
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
        isSendingSound = false;
        isSendingCrashing = false;
        while (openCalls || senders)
            net::sleepFor(base::Millis(20));
        fleet.stop();
    }

    LabGateway& addGateway()
    {
        gateways.push_back(&fleet.addGateway(fmt::format("g{}", gateways.size())));
        return *gateways.back();
    }

    // A gateway that ends before its time is replaced by one without its memory.
    void replaceGateway(size_t index)
    {
        LabGateway* former = std::exchange(gateways[index], &fleet.addGateway(fmt::format("g{}-new", index)));
        fleet.kill(*former);
    }

    size_t hubIndex() const
    {
        for (size_t i = 0; i < gateways.size(); ++i) {
            if (gateways[i]->hubSync.isHub())
                return i;
        }
        return 0;
    }

    std::vector<base::TimePoint> timesOf(std::vector<base::TimePoint> ReplicaHistory::*member) const
    {
        std::vector<base::TimePoint> times;
        for (const ReplicaStandIn* replica : replicas) {
            const auto& own = replica->history().*member;
            times.insert(times.end(), own.begin(), own.end());
        }
        std::sort(times.begin(), times.end());
        return times;
    }
    std::vector<base::TimePoint> crashes() const { return timesOf(&ReplicaHistory::crashes); }
    std::vector<base::TimePoint> crashingArrivals() const { return timesOf(&ReplicaHistory::crashingArrivals); }

    bool waitForCrashes(size_t count, base::Seconds timeout)
    {
        base::TimePoint deadline = base::Clock::now() + timeout;
        while (crashes().size() < count && base::Clock::now() < deadline)
            net::sleepFor(base::Millis(5));
        return crashes().size() >= count;
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
    void sendSound(size_t index, const std::string& sharedParts = "aa:20,cc:20")
    {
        sound.push_back({ base::Clock::now(), false });
        send(index, fmt::format("{},f{:x}:20", sharedParts, sound.size()),
            [this, request = sound.size() - 1](const CallerResponse& response) {
                sound[request].hasBegun = response.status == 200 && response.body.find("data:") != std::string::npos;
            });
    }
    void sendCrashing(size_t index, const std::string& part = crashingPart)
    {
        send(index, fmt::format("aa:20,cc:20,{}:10,e{:x}:10", part, ++crashingSent), [](const CallerResponse&) {});
    }

    void startSound(base::Millis interval = base::Millis(40))
    {
        ++senders;
        loop.spawn([this, interval] {
            for (size_t turn = 0; isSendingSound; ++turn) {
                sendSound(turn % gateways.size());
                net::sleepFor(interval);
            }
            --senders;
        });
    }
    void startCrashing(base::Millis interval = base::Millis(200), const std::string& part = crashingPart)
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

    size_t arrivalsAfter(base::TimePoint time) const
    {
        std::vector<base::TimePoint> arrivals = crashingArrivals();
        return static_cast<size_t>(arrivals.end() - std::upper_bound(arrivals.begin(), arrivals.end(), time));
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

    // Sound traffic alone, then both kinds. Calls `atCrash` once the replicas have crashed `crashCount` times in all.
    // Checks the bounds of the rule at the end.
    void checkRule(size_t crashCount, const std::function<void()>& atCrash)
    {
        startSound();
        base::TimePoint soundAlone = base::Clock::now();
        net::sleepFor(base::Millis(1500));
        base::TimePoint disturbed = base::Clock::now();
        startCrashing();
        if (waitForCrashes(crashCount, base::Seconds(4)))
            atCrash();
        waitForCrashes(crashesOfRule, base::Seconds(4));
        std::vector<base::TimePoint> seen = crashes();
        cr_assert(!seen.empty());
        base::TimePoint anchor = seen.size() >= crashesOfRule ? seen[crashesOfRule - 1] : seen.back();
        net::sleepUntil(anchor + 2 * contactTime);
        seen = crashes();
        if (seen.size() < crashesOfRule)
            anchor = seen.back();
        net::sleepUntil(anchor + 2 * contactTime + base::Millis(1500));
        base::TimePoint end = base::Clock::now();
        isSendingSound = false;
        isSendingCrashing = false;
        while (openCalls || senders)
            net::sleepFor(base::Millis(20));

        size_t late = crashes().size() >= crashesOfRule ? arrivalsAfter(crashes()[crashesOfRule - 1] + contactTime) : 0;
        cr_expect_leq(late, maxLateArrivals, "%zu requests reached replicas later than allowed, %zu crashes in all",
            late, crashes().size());
        double before = begunShare(soundAlone, disturbed - base::Millis(300));
        double after = begunShare(anchor + 2 * contactTime, end);
        cr_expect_geq(after, before / 2, "sound requests: %.2f began before, %.2f afterwards", before, after);
    }
};

} // namespace

Test(crashing_prompt_part, replicas_stop_ending_under_requests_with_one_prompt_part, .timeout = 40)
{
    tests::runOnLoop([](net::Loop& loop) {
        CrashingPartFixture fixture(loop);
        fixture.checkRule(1, [] {});
    });
}

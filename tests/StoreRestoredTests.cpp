// The store comes back from an older copy: what was written since is gone, and revisions are given out again.
#include <fmt/format.h>

#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

namespace {

constexpr base::Millis applyTime { 2000 }; // in which a confirmed configuration is due
constexpr base::Millis drainTime { 3000 }; // in which a replica that leaves is due to be known

// Three gateways with versions 1 to 4 in force, the copy being of version 1. The key "secret-1" was taken away by
// version 3, and "secret-2" added. Padding makes a configuration large enough to be compared instead of read.
struct RestoredFixture {
    GatewayFixture fixture;
    std::string padding;

    explicit RestoredFixture(
        net::Loop& loop, size_t paddingBytes = 0, const std::function<void(RestoredFixture&)>& sinceCopy = {})
        : fixture(loop, 3)
        , padding(paddingBytes, ' ')
    {
        fixture.fleet.configure(lab::labConfiguration(1) + padding);
        net::sleepFor(applyTime);
        fixture.fleet.store().saveCopy();
        if (sinceCopy)
            sinceCopy(*this);
        for (int i = 0; i < 10; ++i) {
            for (lab::ReplicaStandIn* replica : fixture.plain)
                fixture.fleet.publishEntry(*replica);
        }
        fixture.fleet.configure(lab::labConfiguration(2) + padding);
        net::sleepFor(base::Millis(100));
        fixture.fleet.configure(configurationOf(3));
        net::sleepFor(base::Millis(100));
        fixture.fleet.configure(configurationOf(4));
        net::sleepFor(applyTime);
        expectKeys(200, 401);
    }

    std::string configurationOf(int version) const
    {
        return lab::labConfiguration(version, 0, 0, R"("secret-2")") + padding;
    }

    // The store is away for `time` and comes back from its copy.
    void restore(base::Millis time = base::Millis(600))
    {
        fixture.fleet.store().faults().mode = lab::StoreMode::Reset;
        net::sleepFor(time);
        fixture.fleet.store().restoreCopy();
        fixture.fleet.store().faults().mode = lab::StoreMode::Normal;
    }

    // Sends requests with the new key and with the old one to all gateways.
    void expectKeys(int newKeyStatus, int oldKeyStatus)
    {
        for (size_t i = 0; i < fixture.gateways.size(); ++i) {
            int status = send(i, "/safe/", "secret-2").status;
            cr_expect_eq(status, newKeyStatus, "gateway %zu: the new key got %d", i, status);
            status = send(i, "/safe/", "secret-1").status;
            cr_expect_eq(status, oldKeyStatus, "gateway %zu: the key that was taken away got %d", i, status);
        }
    }

    lab::CallerResponse send(size_t gateway, const std::string& path, const std::string& key)
    {
        return fixture.fleet.call(*fixture.gateways[gateway],
            lab::labRequest(path, fmt::format("{:016x}", ++sequence), "", key), base::Millis(400));
    }

    size_t hubCount() const
    {
        return static_cast<size_t>(std::count_if(fixture.gateways.begin(), fixture.gateways.end(),
            [](const lab::LabGateway* each) { return each->hubSync.isHub(); }));
    }

    uint64_t sequence = 0;
};

void playConfiguration(size_t paddingBytes)
{
    runOnLoop([&](net::Loop& loop) {
        RestoredFixture play(loop, paddingBytes);
        play.restore();
        // Until the operator's tool writes again, the copy's version 1 is read.
        for (int i = 0; i < 8; ++i) {
            net::sleepFor(base::Millis(200));
            play.expectKeys(200, 401);
        }
        play.fixture.fleet.configure(play.configurationOf(4));
        net::sleepFor(applyTime);
        play.expectKeys(200, 401);
        play.fixture.fleet.configure(lab::labConfiguration(5) + play.padding);
        net::sleepFor(applyTime);
        play.expectKeys(401, 200);
    });
}

} // namespace

Test(store_restored, the_newest_configuration_stays_in_force_and_later_ones_are_applied, .timeout = 60)
{
    playConfiguration(0);
}

Test(store_restored, a_large_configuration_stays_in_force_and_later_ones_are_applied, .timeout = 60)
{
    playConfiguration(60000);
}

Test(store_restored, a_gateway_that_starts_before_the_operator_writes_again_does_not_use_the_copy, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        RestoredFixture play(loop);
        play.restore();
        net::sleepFor(base::Millis(700));
        play.fixture.gateways.push_back(&play.fixture.fleet.addGateway("g-late"));
        net::sleepFor(drainTime);
        play.expectKeys(200, 401);
    });
}

// Drained before the copy was brought back, which says that the replica is ready.
Test(store_restored, a_replica_that_has_drained_is_not_used_again, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        RestoredFixture play(loop);
        lab::ReplicaStandIn& replica = *play.fixture.plain[0];
        play.fixture.fleet.publishEntry(replica, true);
        net::sleepFor(drainTime);
        size_t before = replica.history().executions.size();
        play.restore();
        for (int i = 0; i < 40; ++i) {
            play.send(static_cast<size_t>(i) % 3, "/open/", "");
            net::sleepFor(base::Millis(50));
        }
        cr_expect_eq(replica.history().executions.size(), before);
    });
}

Test(store_restored, a_replica_that_drains_after_the_return_is_left_out, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        RestoredFixture play(loop);
        play.restore();
        for (lab::ReplicaStandIn* replica : { play.fixture.plain[0], play.fixture.plain[1] })
            play.fixture.fleet.publishEntry(*replica);
        play.fixture.fleet.configure(play.configurationOf(4));
        net::sleepFor(base::Millis(1000));
        lab::ReplicaStandIn& replica = *play.fixture.plain[0];
        play.fixture.fleet.publishEntry(replica, true);
        net::sleepFor(drainTime);
        size_t before = replica.history().executions.size();
        for (int i = 0; i < 40; ++i)
            play.send(static_cast<size_t>(i) % 3, "/open/", "");
        cr_expect_eq(replica.history().executions.size(), before);
    });
}

Test(store_restored, a_replica_that_is_gone_does_not_come_back, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        RestoredFixture play(loop);
        lab::ReplicaStandIn& replica = *play.fixture.plain[0];
        play.fixture.fleet.removeEntry(replica);
        net::sleepFor(drainTime);
        size_t before = replica.history().executions.size();
        play.restore();
        for (int i = 0; i < 40; ++i) {
            play.send(static_cast<size_t>(i) % 3, "/open/", "");
            net::sleepFor(base::Millis(50));
        }
        cr_expect_eq(replica.history().executions.size(), before);
    });
}

// Replicas that have registered since the copy was made write their entries again about two seconds after the return.
Test(store_restored, replicas_that_the_copy_lacks_stay_in_use, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        RestoredFixture play(loop, 0, [](RestoredFixture& starting) {
            for (lab::ReplicaStandIn* replica : starting.fixture.plain)
                starting.fixture.fleet.removeEntry(*replica);
            starting.fixture.fleet.store().saveCopy();
        });
        play.restore(base::Millis(100));
        size_t served = 0;
        for (int i = 0; i < 38; ++i) {
            served += play.send(static_cast<size_t>(i) % 3, "/open/", "").status == 200 ? 1 : 0;
            net::sleepFor(base::Millis(50));
        }
        play.fixture.fleet.publishEntry(*play.fixture.plain[0]);
        play.fixture.fleet.publishEntry(*play.fixture.plain[1]);
        net::sleepFor(base::Seconds(2));
        served += play.send(0, "/open/", "").status == 200 ? 1 : 0;
        cr_expect_eq(served, 39);
    });
}

Test(store_restored, blocked_prompt_parts_stay_blocked, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        RestoredFixture play(loop, 0, [](RestoredFixture& starting) {
            base::Millis until = std::chrono::duration_cast<base::Millis>(
                std::chrono::system_clock::now().time_since_epoch() + base::Seconds(600));
            starting.fixture.fleet.store().put("rs/parts",
                fmt::format(
                    R"({{"parts":[{{"service":"engine","part":"aa","until_ms":{},"blocks":1}}]}})", until.count()));
        });
        auto status = [&] { return play.fixture.call("/stream/", "1", "m1", "secret-2").status; };
        cr_expect_eq(status(), 503);
        play.restore();
        net::sleepFor(base::Seconds(3));
        cr_expect_eq(status(), 503);
        cr_expect(play.fixture.fleet.store().state().entries.contains("rs/parts"), "the block was not written again");
    });
}

// Fencing tokens rise over eras, and the first order after the return waits for those of the hub before.
Test(store_restored, orders_have_one_holder_and_rising_tokens, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        // The hub is elected again after the copy was made, with a token that the copy does not know.
        RestoredFixture play(loop, 0, [](RestoredFixture& starting) {
            for (lab::LabGateway* gateway : starting.fixture.gateways) {
                if (gateway->hubSync.isHub())
                    gateway->hubSync.resign("test");
            }
            net::sleepFor(base::Seconds(2));
        });
        loop.spawn([&] {
            play.fixture.fleet.call(*play.fixture.gateways[1], lab::labRequest("/stream/", "a1", "m2", "secret-2"));
        });
        net::sleepFor(base::Millis(1500));
        size_t formerHubs = play.hubCount();
        cr_expect_eq(formerHubs, 1);
        std::vector<lab::AcceptedOrder> before;
        for (lab::ReplicaStandIn* replica : play.fixture.engine) {
            for (const lab::AcceptedOrder& order : replica->history().acceptedOrders)
                before.push_back(order);
        }
        cr_assert(!before.empty());
        play.restore(base::Millis(100));
        // By then the former hub has learned of the return. A request is refused while no hub is known.
        bool hasAnswer = false;
        loop.spawn([&] {
            net::sleepFor(base::Millis(700));
            for (int i = 0; i < 20 && !hasAnswer; ++i) {
                std::string id = fmt::format("a2-{}", i);
                net::HttpRequest request = lab::labRequest("/stream/", id, "m1/a1", "secret-2");
                hasAnswer = play.fixture.fleet.call(*play.fixture.gateways[2], request).status == 200;
                net::sleepFor(base::Millis(200));
            }
            cr_expect(hasAnswer, "no request for an adapter that has to be ordered was served");
            hasAnswer = true;
        });
        for (int i = 0; i < 100 || !hasAnswer; ++i) {
            cr_expect_leq(play.hubCount(), 1, "%zu daemons hold the hub's role", play.hubCount());
            net::sleepFor(base::Millis(20));
        }
        // The former hub may give orders until it has learned of the return.
        int64_t highest = 0;
        for (const lab::AcceptedOrder& order : before)
            highest = std::max(highest, order.fencingToken);
        base::TimePoint lastFormerAt {};
        base::TimePoint firstNewAt = base::timeNever;
        for (lab::ReplicaStandIn* replica : play.fixture.engine) {
            for (const lab::AcceptedOrder& order : replica->history().acceptedOrders) {
                if (order.fencingToken <= highest)
                    lastFormerAt = std::max(lastFormerAt, order.at);
                else
                    firstNewAt = std::min(firstNewAt, order.at);
            }
        }
        cr_assert(firstNewAt != base::timeNever, "no order was given under a higher token");
        cr_expect_geq(firstNewAt - lastFormerAt, play.fixture.fleet.hubSyncOptions.orderHandoverDelay);
        cr_expect_eq(play.hubCount(), 1);
    });
}

// The copy is older than the secret by which daemons know each other.
Test(store_restored, a_gateway_that_starts_later_is_known_to_the_others, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 2);
        fixture.fleet.store().remove("rs/secret");
        fixture.fleet.store().saveCopy();
        net::sleepFor(base::Millis(500));
        fixture.fleet.store().restoreCopy();
        net::sleepFor(base::Seconds(4));
        fixture.fleet.addGateway("g-late");
        cr_expect(fixture.fleet.waitReady(), "the gateway reaches no hub");
    });
}

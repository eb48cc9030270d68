// Gateways that lose their links to all replicas, while callers, the store and other gateways reach them.
#include "ReplicaLinkFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::ReplicaLinkFixture;

namespace {

struct CutCase {
    LinkCut how;
    size_t gatewayCount;
    size_t cutCount;
    bool isHubCut;
    bool keepsConnections = false; // the callers' ones
};

// The users' rule: from contactTime after the cut, first tries at the gateways that were cut off are served at least
// two thirds as often as those at the others.
void expectCallersServed(const CutCase& cut)
{
    tests::runOnLoop([&](net::Loop& loop) {
        ReplicaLinkFixture fixture(loop, cut.gatewayCount);
        fixture.keepsConnections = cut.keepsConnections;
        fixture.callAll(base::Millis(1000));
        cr_assert_geq(fixture.otherTries.servedShare(), 0.99);
        fixture.cut(cut.how, cut.cutCount, cut.isHubCut);
        fixture.callAll(ReplicaLinkFixture::contactTime);
        fixture.callAll(base::Millis(3000));
        cr_expect_geq(fixture.otherTries.servedShare(), 0.95, "others: %d of %d", fixture.otherTries.served,
            fixture.otherTries.tries);
        cr_expect_geq(fixture.cutTries.servedShare(), fixture.otherTries.servedShare() * 2 / 3,
            "cut off: %d of %d, others: %d of %d", fixture.cutTries.served, fixture.cutTries.tries,
            fixture.otherTries.served, fixture.otherTries.tries);
        fixture.heal();
        fixture.callAll(base::Millis(1500));
        fixture.callAll(base::Millis(1000));
        cr_expect_geq(fixture.otherTries.servedShare(), 0.99, "after the cut: %d of %d", fixture.otherTries.served,
            fixture.otherTries.tries);
        for (LabGateway* gateway : fixture.gateways)
            cr_expect(!gateway->dialer.hasLostReplicas());
        std::map<std::string, int> runs;
        for (ReplicaStandIn* replica : fixture.replicas) {
            for (const auto& [id, count] : replica->history().executionsByRequest())
                runs[id] += count;
        }
        for (const auto& [id, count] : runs)
            cr_expect(count == 1 || !ReplicaLinkFixture::isAtMostOnce(id), "%s ran %d times", id.c_str(), count);
    });
}

} // namespace

Test(replica_links, callers_are_served_where_new_connections_are_refused, .timeout = 60)
{
    expectCallersServed({ LinkCut::RefuseNew, 5, 2, false });
}

Test(replica_links, callers_are_served_where_connections_are_reset, .timeout = 60)
{
    expectCallersServed({ LinkCut::Reset, 5, 2, false });
}

Test(replica_links, callers_are_served_where_connections_hang, .timeout = 60)
{
    expectCallersServed({ LinkCut::Hang, 5, 2, false });
}

Test(replica_links, callers_are_served_where_most_gateways_and_the_hub_are_reset, .timeout = 60)
{
    expectCallersServed({ LinkCut::Reset, 6, 4, true });
}

Test(replica_links, callers_are_served_where_most_gateways_and_the_hub_hang, .timeout = 60)
{
    expectCallersServed({ LinkCut::Hang, 6, 4, true });
}

Test(replica_links, callers_are_served_on_open_connections_where_all_gateways_but_one_are_reset, .timeout = 60)
{
    expectCallersServed({ LinkCut::Reset, 6, 5, true, true });
}

Test(replica_links, callers_are_served_on_open_connections_where_all_gateways_but_one_hang, .timeout = 60)
{
    expectCallersServed({ LinkCut::Hang, 6, 5, true, true });
}

Test(replica_links, a_hub_that_reaches_no_replica_hands_over, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        ReplicaLinkFixture fixture(loop, 4);
        for (LinkCut how : { LinkCut::Reset, LinkCut::Hang }) {
            LabGateway* hub = fixture.hub();
            cr_assert(hub);
            fixture.cut(how, 1, true);
            net::sleepFor(ReplicaLinkFixture::contactTime);
            cr_assert(fixture.hub());
            cr_expect_neq(fixture.hub(), hub);
            for (const auto& [id, replica] : fixture.hub()->hubSync.directory().replicas)
                cr_expect(!replica.isUnreachableFromHub, "%s counts as unreachable", id.c_str());
            fixture.heal();
            fixture.callAll(base::Millis(1000));
        }
    });
}

Test(replica_links, a_fleet_that_reaches_no_replica_keeps_a_hub, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        ReplicaLinkFixture fixture(loop, 3);
        fixture.cut(LinkCut::Reset, 3, true);
        fixture.callAll(ReplicaLinkFixture::contactTime * 2);
        int hubChecks = 0;
        for (int i = 0; i < 20; ++i) {
            hubChecks += fixture.hub() != nullptr;
            net::sleepFor(base::Millis(100));
        }
        cr_expect_geq(hubChecks, 18);
        fixture.heal();
        fixture.callAll(base::Millis(1500));
        fixture.callAll(base::Millis(1000));
        cr_expect_geq(fixture.otherTries.servedShare(), 0.99);
    });
}

Test(replica_links, a_hub_that_hands_over_still_knows_daemons_that_carry_its_connections, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        ReplicaLinkFixture fixture(loop, 2);
        LabGateway* hub = fixture.hub();
        fixture.cut(LinkCut::Reset, 1, true);
        while (!hub->dialer.hasLostReplicas())
            hub->dialer.confirmReach({});
        int served = 0;
        constexpr int callCount = 60;
        for (int i = 0; i < callCount; ++i) {
            served
                += fixture.fleet.call(*hub, labRequest("/once/", fmt::format("{:016x}", 100001 + 4 * i))).status == 200;
            net::sleepFor(base::Millis(30));
        }
        cr_expect_neq(fixture.hub(), hub);
        cr_expect_eq(served, callCount, "%d of %d served", served, callCount);
    });
}

Test(replica_links, a_hub_keeps_its_term_while_all_replicas_are_down, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        ReplicaLinkFixture fixture(loop, 4);
        for (int round = 0; round < 2; ++round) {
            LabGateway* hub = fixture.hub();
            int64_t token = hub->hubSync.fencingToken();
            fixture.callAll(base::Millis(500));
            for (ReplicaStandIn* replica : fixture.replicas)
                replica->crash();
            fixture.callAll(base::Millis(1500)); // until they are back
            fixture.callAll(base::Millis(1500)); // until the models are loaded again
            fixture.callAll(base::Millis(500));
            cr_expect_geq(fixture.otherTries.servedShare(), 0.95, "%d of %d", fixture.otherTries.served,
                fixture.otherTries.tries);
            cr_expect(fixture.hub() == hub && hub->hubSync.fencingToken() == token, "round %d: another term", round);
        }
    });
}

// A daemon that asks any other one for newer data, as it reaches neither the store nor the hub, states no address.
Test(replica_links, a_hub_that_hands_over_calls_no_member_without_an_address, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        ReplicaLinkFixture fixture(loop, 2);
        hub::HubSync& hub = fixture.hub()->hubSync;
        net::PeerOptions options;
        options.name = "x";
        options.secret = "secret-of-the-test-fleet";
        net::PeerNetwork asking(loop, options);
        base::Address address
            = fixture.gateways[fixture.hub() == fixture.gateways[0] ? 1 : 0]->hubSync.peerAddresses().at(
                hub.options().name);
        net::PeerResult result
            = asking.call(address, "sync", { { "configuration", 0 } }, base::Clock::now() + base::Seconds(2));
        cr_assert_eq(result.error, net::PeerError::None);
        hub.resign("test");
        cr_expect_eq(hub.peerAddresses().count("x"), 0);
        cr_expect_eq(
            hub.peers()->call({}, "sync", {}, base::Clock::now() + base::Seconds(1)).error, net::PeerError::NotSent);
        asking.close();
    });
}

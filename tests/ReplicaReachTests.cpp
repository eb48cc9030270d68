// What shows that a daemon has lost its links to all replicas, and what does not.
#include "Support.h"
#include "reach/RelayChoice.h"
#include "reach/ReplicaReach.h"

using namespace rattanshunt;
using namespace rattanshunt::reach;

namespace {

constexpr ReachOptions options;

base::BootTime bootAt(int64_t millis)
{
    return base::BootTime {} + base::Seconds(1000) + base::Millis(millis);
}

} // namespace

Test(replica_reach, a_connection_that_opens_during_a_check_counts_more_than_its_failure)
{
    ReplicaReach reach;
    reachConnected(reach, bootAt(100));
    reachLost(reach, bootAt(50), bootAt(350));
    cr_expect(!reach.isLost);
    reachLost(reach, bootAt(400), bootAt(700));
    cr_expect(reach.isLost);
    reachLost(reach, bootAt(1200), bootAt(1500));
    cr_expect_eq(reach.lostAt, bootAt(700));
    reachConnected(reach, bootAt(2000));
    cr_expect(!reach.isLost);
}

Test(replica_reach, bytes_on_open_connections_do_not_prove_that_new_ones_open)
{
    ReplicaReach reach;
    reachConnected(reach, bootAt(0));
    reach.heardAt = bootAt(5000);
    cr_expect(reachIsInDoubt(reach, options, bootAt(5000)));
    reachConnected(reach, bootAt(4900));
    cr_expect(!reachIsInDoubt(reach, options, bootAt(5000)));
}

Test(replica_reach, a_silent_second_is_checked_only_while_requests_wait_for_that_long)
{
    ReplicaReach reach;
    reachConnected(reach, bootAt(0));
    cr_expect(!reachIsSilent(reach, options, bootAt(4500), bootAt(5000)));
    cr_expect(reachIsSilent(reach, options, bootAt(4000), bootAt(5000)));
    reach.heardAt = bootAt(4500);
    cr_expect(!reachIsSilent(reach, options, bootAt(4000), bootAt(5000)));
}

Test(relay_choice, a_daemon_that_refused_is_not_asked_again_until_its_pause_ends)
{
    std::map<std::string, base::Address> daemons { { "a", {} }, { "b", {} } };
    RelayPauses pauses { { "a", bootAt(1000) } };
    for (uint64_t random = 0; random < 10; ++random)
        cr_expect_eq(relayChoose(daemons, pauses, bootAt(500), random).value_or(""), "b");
    pauses["b"] = bootAt(900);
    cr_expect(!relayChoose(daemons, pauses, bootAt(500), 0));
    cr_expect_eq(relayChoose(daemons, pauses, bootAt(950), 7).value_or(""), "b");
    cr_expect(!relayChoose({}, {}, bootAt(0), 0));
}

Test(relay_choice, only_what_another_daemon_may_do_better_leads_to_another_one)
{
    for (const char* why : { "", "lost", "stopping", "full", "unknown_replica" })
        cr_expect_eq(relayAnswerOf(why), RelayAnswer::Unable, "%s", why);
    cr_expect_eq(relayAnswerOf("connect_failed"), RelayAnswer::ReplicaFailed);
    cr_expect_eq(relayAnswerOf("replica_quiet"), RelayAnswer::ReplicaBarred);
    cr_expect_eq(relayAnswerOf("replica_left"), RelayAnswer::ReplicaBarred);
}

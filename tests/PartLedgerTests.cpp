// The ledger of prompt parts under which replicas end.
#include "PartLedgerSupport.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

// ---- Blocking -----------------------------------------------------------------------------------

Test(part_ledger, blocks_a_part_under_which_three_replicas_ended_once_no_report_can_come)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "bad" });
    cr_expect(ledgerAdvance(ledger, noReport, bootAt(1150)).empty(), "the third end may still be void");
    cr_expect_not(isBlocked(ledger, "bad", bootAt(1150)));
    std::vector<PartChange> changes = ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_assert_eq(changes.size(), 1);
    cr_expect(changes[0].kind == PartChangeKind::Blocked);
    cr_expect(changes[0].key == keyOf("bad"));
    cr_expect_eq(changes[0].ends.size(), 3);
    cr_expect(isBlocked(ledger, "bad", bootAt(1200)));
}

Test(part_ledger, a_part_of_another_service_is_another_part)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "bad" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_expect_not(viewFindBlocked(ledgerView(ledger), "other", { "bad" }, bootAt(1200)).has_value());
}

Test(part_ledger, two_ends_block_nothing)
{
    PartLedger ledger;
    ledgerRecordEnd(ledger, endOf("r0", 1, { "bad" }, 0), bootAt(0));
    ledgerRecordEnd(ledger, endOf("r1", 1, { "bad" }, 0), bootAt(0));
    ledgerAdvance(ledger, noReport, bootAt(5000));
    cr_expect_not(isBlocked(ledger, "bad", bootAt(5000)));
}

// Several requests with the part run on one replica, at several daemons, each of which reports the end.
Test(part_ledger, one_end_seen_by_many_daemons_counts_once)
{
    PartLedger ledger;
    for (int i = 0; i < 20; ++i)
        ledgerRecordEnd(ledger, endOf("r0", 1, { "rare" }, i), bootAt(i));
    ledgerAdvance(ledger, noReport, bootAt(5000));
    cr_expect_not(isBlocked(ledger, "rare", bootAt(5000)));
    cr_expect_eq(ledger.suspected.at(keyOf("rare")).size(), 1);
}

Test(part_ledger, lives_of_one_replica_count_each)
{
    PartLedger ledger;
    for (int i = 0; i < 3; ++i)
        ledgerRecordEnd(ledger, endOf("r0", i, { "bad" }, i * 2000), bootAt(i * 2000));
    ledgerAdvance(ledger, noReport, bootAt(5000));
    cr_expect(isBlocked(ledger, "bad", bootAt(5000)));
}

Test(part_ledger, the_part_with_the_longest_block_is_found)
{
    PartView view;
    view.blocked[keyOf("short")].until = bootAt(1000);
    view.blocked[keyOf("long")].until = bootAt(2000);
    std::optional<BlockedPart> found = viewFindBlocked(view, "engine", { "free", "short", "long" }, bootAt(0));
    cr_assert(found.has_value());
    cr_expect_str_eq(found->part.c_str(), "long");
    cr_expect(found->timeLeft == base::Millis(2000));
    cr_expect_not(viewFindBlocked(view, "engine", { "short" }, bootAt(1000)).has_value());
}

// ---- Innocence ----------------------------------------------------------------------------------

Test(part_ledger, a_settled_part_is_never_suspected)
{
    PartLedger ledger;
    ledgerRecordSettled(ledger, keyOf("shared"), bootAt(-100));
    recordThreeEnds(ledger, { "shared", "bad" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_expect_not(isBlocked(ledger, "shared", bootAt(1200)));
    cr_expect(isBlocked(ledger, "bad", bootAt(1200)));
}

Test(part_ledger, settling_clears_ends_and_a_block)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "shared" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_assert(isBlocked(ledger, "shared", bootAt(1200)));
    uint64_t version = ledger.version;
    std::vector<PartChange> changes = ledgerRecordSettled(ledger, keyOf("shared"), bootAt(1300));
    cr_assert_eq(changes.size(), 1);
    cr_expect(changes[0].kind == PartChangeKind::Cleared);
    cr_expect_str_eq(changes[0].reason, "settled");
    cr_expect_not(isBlocked(ledger, "shared", bootAt(1300)));
    cr_expect_gt(ledger.version, version);
}

Test(part_ledger, innocence_ends_after_its_lifetime)
{
    PartLedger ledger;
    ledgerRecordSettled(ledger, keyOf("part"), bootAt(0));
    base::BootTime later = bootAt(0) + settledLifetime;
    cr_expect(settledContains(ledger.settled, keyOf("part"), later - base::Millis(1)));
    cr_expect_not(settledContains(ledger.settled, keyOf("part"), later));
}

Test(part_ledger, connections_of_replicas_that_go_on_reporting_accuse_nobody)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "rare" });
    LastReport reported = [](const ReplicaLife&) { return std::optional(bootAt(900)); };
    ledgerAdvance(ledger, reported, bootAt(1000));
    ledgerAdvance(ledger, noReport, bootAt(5000));
    cr_expect_not(isBlocked(ledger, "rare", bootAt(5000)));
    cr_expect(ledger.suspected.empty());
}

// A report that was requested before the connection ended says nothing about what happened afterwards.
Test(part_ledger, a_report_from_before_the_end_does_not_void_it)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "bad" });
    LastReport reported = [](const ReplicaLife&) { return std::optional(bootAt(-1)); };
    ledgerAdvance(ledger, reported, bootAt(1200));
    cr_expect(isBlocked(ledger, "bad", bootAt(1200)));
}

Test(part_ledger, a_block_falls_when_a_replica_turns_out_to_be_alive)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "rare" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    LastReport reported
        = [](const ReplicaLife& life) { return life.replica == "r1" ? std::optional(bootAt(1500)) : std::nullopt; };
    std::vector<PartChange> changes = ledgerAdvance(ledger, reported, bootAt(1600));
    cr_assert_eq(changes.size(), 1);
    cr_expect_str_eq(changes[0].reason, "replica_alive");
    cr_expect_not(isBlocked(ledger, "rare", bootAt(1600)));
}

// ---- Time ---------------------------------------------------------------------------------------

Test(part_ledger, ends_are_forgotten_after_their_lifetime)
{
    PartLedger ledger;
    for (int i = 0; i < 3; ++i) {
        base::BootTime now = bootAt(0) + i * endLifetime;
        ReplicaEnd end = endOf(fmt::format("r{}", i), 1, { "rare" }, 0);
        end.observedAt = now;
        ledgerRecordEnd(ledger, end, now);
        ledgerAdvance(ledger, noReport, now + reportWait);
    }
    cr_expect(ledger.blocked.empty());
    ledgerAdvance(ledger, noReport, bootAt(0) + 3 * endLifetime);
    cr_expect(ledger.suspected.empty());
}

Test(part_ledger, a_part_on_probation_is_blocked_for_longer_after_a_single_end)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "bad" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    base::BootTime until = ledger.blocked.at(keyOf("bad")).until;
    cr_expect(until == bootAt(1200) + firstBlockTime);
    cr_expect(isBlocked(ledger, "bad", until - base::Millis(1)));
    cr_expect_not(isBlocked(ledger, "bad", until));
    ledgerRecordEnd(ledger, { { "r9", 1 }, until, "engine", { "bad" } }, until);
    ledgerAdvance(ledger, noReport, until + reportWait);
    cr_expect(isBlocked(ledger, "bad", until + reportWait));
    cr_expect(ledger.blocked.at(keyOf("bad")).until == until + reportWait + 2 * firstBlockTime);
}

Test(part_ledger, a_part_is_forgotten_after_its_probation)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "bad" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    ledgerAdvance(ledger, noReport, ledger.blocked.at(keyOf("bad")).until + probationTime);
    cr_expect(ledger.blocked.empty());
}

// ---- Handover and operators ---------------------------------------------------------------------

Test(part_ledger, a_block_is_taken_over_from_an_earlier_hub)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "bad" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    PartLedger successor;
    for (const auto& [key, block] : ledgerView(ledger).blocked)
        ledgerBlock(successor, key, block);
    cr_expect(isBlocked(successor, "bad", bootAt(1300)));
    ledgerAdvance(
        successor, [](const ReplicaLife&) { return std::optional(bootAt(1300)); }, bootAt(1400));
    cr_expect(isBlocked(successor, "bad", bootAt(1400)), "its ends are not known to the successor");
}

Test(part_ledger, an_operator_unblocks_a_part)
{
    PartLedger ledger;
    cr_expect(ledgerUnblock(ledger, keyOf("bad")).empty());
    recordThreeEnds(ledger, { "bad" });
    ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_expect_eq(ledgerUnblock(ledger, keyOf("bad")).size(), 1);
    cr_expect_not(isBlocked(ledger, "bad", bootAt(1300)));
}

// ---- Retries ------------------------------------------------------------------------------------

Test(part_ledger, a_request_is_not_retried_if_another_replica_ended_under_one_of_its_parts)
{
    PartLedger ledger;
    SettledParts settled;
    ReplicaEnd first = endOf("r0", 1, { "shared", "bad" }, 0);
    ledgerRecordEnd(ledger, first, bootAt(0));
    cr_expect(retryIsAllowed(ledgerView(ledger), settled, first, bootAt(0)), "only its own replica has ended");
    ReplicaEnd second = endOf("r1", 1, { "shared", "bad" }, 100);
    cr_expect_not(retryIsAllowed(ledgerView(ledger), settled, second, bootAt(100)));
    settledRecord(settled, keyOf("shared"), bootAt(100));
    cr_expect_not(retryIsAllowed(ledgerView(ledger), settled, second, bootAt(100)));
    settledRecord(settled, keyOf("bad"), bootAt(100));
    cr_expect(retryIsAllowed(ledgerView(ledger), settled, second, bootAt(100)));
}

// ---- Bounds -------------------------------------------------------------------------------------

namespace {

// Shared parts p0, p1, ... with `guilty` at the place `index`.
std::vector<std::string> partsWith(const std::string& guilty, size_t index, size_t count, const std::string& prefix)
{
    std::vector<std::string> parts;
    for (size_t i = 0; i < count; ++i)
        parts.push_back(i == index ? guilty : fmt::format("{}{}", prefix, i));
    return parts;
}

} // namespace

// Guards against a limit on parts of one request that left the guilty one out (review/2).
Test(part_ledger, a_part_is_found_wherever_it_stands)
{
    for (size_t index : { 0, 30, 31, 32, 35, 100, 1000, 2999 }) {
        PartLedger ledger;
        for (int i = 0; i < 3; ++i) {
            std::vector<std::string> parts = partsWith("bad", index, 3000, fmt::format("own-{}-", i));
            ledgerRecordEnd(ledger, endOf(fmt::format("r{}", i), 1, parts, i * 100), bootAt(i * 100));
        }
        ledgerAdvance(ledger, noReport, bootAt(1200));
        cr_expect(isBlocked(ledger, "bad", bootAt(1200)), "not found at place %zu", index);
        cr_expect_eq(ledger.blocked.size(), 1);
    }
}

// The parts that all requests share are innocent once an answer with them has settled at any daemon.
Test(part_ledger, of_a_long_prompt_only_the_part_that_never_settles_stays_blocked)
{
    PartLedger ledger;
    std::vector<std::string> parts = partsWith("bad", 700, 1000, "shared-");
    recordThreeEnds(ledger, parts);
    ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_expect(isBlocked(ledger, "bad", bootAt(1200)));
    for (const auto& [key, block] : ledgerView(ledger).blocked) {
        if (key.part != "bad")
            ledgerRecordSettled(ledger, key, bootAt(1300));
    }
    cr_expect_eq(ledger.blocked.size(), 1);
    cr_expect(isBlocked(ledger, "bad", bootAt(1300)));
}

Test(part_ledger, memory_is_bounded_and_the_strongest_suspicion_stays)
{
    PartLedger ledger;
    recordThreeEnds(ledger, { "bad" });
    for (int i = 0; i < 2000; ++i) {
        ledgerRecordEnd(ledger, endOf("other", i, partsWith("", 40, 40, fmt::format("p{}-", i)), 300), bootAt(300));
        ledgerRecordSettled(ledger, keyOf(fmt::format("s{}", i)), bootAt(300 + i));
        cr_assert_leq(ledger.suspected.size(), maxSuspectedParts);
    }
    for (size_t i = 0; i < maxSettledParts; ++i)
        settledRecord(ledger.settled, keyOf(fmt::format("t{}", i)), bootAt(5000 + static_cast<double>(i)));
    cr_expect_gt(ledger.droppedSuspects, 0);
    cr_expect_eq(ledger.settled.settledAt.size(), maxSettledParts);
    cr_expect_eq(ledger.settled.byTime.size(), maxSettledParts);
    cr_expect(ledger.suspected.contains(keyOf("bad")));
    cr_expect(ledger.suspected.contains(keyOf("p1999-39")), "the newest of the weakest");
    cr_expect_leq(ledgerView(ledger).suspected.size(), maxToldParts);
    cr_expect(ledgerView(ledger).suspected.contains(keyOf("bad")));
    ledgerAdvance(ledger, noReport, bootAt(2000));
    cr_expect(isBlocked(ledger, "bad", bootAt(2000)));
}

// Sixteen replicas that lose power together count once; the ends under a guilty part that follow must still count.
Test(part_ledger, many_ends_at_one_moment_leave_room_for_later_ones)
{
    PartLedger ledger;
    for (int i = 0; i < 40; ++i)
        ledgerRecordEnd(ledger, endOf(fmt::format("r{}", i), 1, { "bad" }, i * 0.5), bootAt(20));
    ledgerAdvance(ledger, noReport, bootAt(2000));
    cr_expect_not(isBlocked(ledger, "bad", bootAt(2000)));
    for (int i = 1; i < 3; ++i) {
        ledgerRecordEnd(ledger, endOf(fmt::format("s{}", i), 1, { "bad" }, i * 3000), bootAt(i * 3000));
        cr_expect_leq(ledger.suspected.at(keyOf("bad")).size(), maxEndsPerPart);
    }
    ledgerAdvance(ledger, noReport, bootAt(8000));
    cr_expect(isBlocked(ledger, "bad", bootAt(8000)));
}

Test(part_ledger, daemons_are_told_of_the_parts_with_the_most_ends)
{
    PartLedger ledger;
    ledgerRecordEnd(ledger, endOf("r0", 1, partsWith("bad", 2500, 3000, "a"), 0), bootAt(0));
    cr_expect_eq(ledgerView(ledger).suspected.size(), maxToldSingleParts);
    ledgerRecordEnd(ledger, endOf("r1", 1, partsWith("bad", 10, 3000, "b"), 100), bootAt(100));
    cr_expect_eq(ledgerView(ledger).suspected.size(), maxToldSingleParts);
    cr_expect(ledgerView(ledger).suspected.contains(keyOf("bad")));
    ledgerRecordEnd(ledger, endOf("r2", 1, partsWith("bad", 5, 3000, "a"), 200), bootAt(200));
    cr_expect_eq(ledgerView(ledger).suspected.size(), maxToldParts);
    cr_expect(ledgerView(ledger).suspected.contains(keyOf("bad")));
}

// ---- Requests -----------------------------------------------------------------------------------

Test(part_ledger, other_requests_that_end_beside_it_do_not_crowd_out_the_guilty_one)
{
    PartLedger ledger;
    ledgerRecordEnd(ledger, endOf("r0", 1, { "request:guilty" }, 0), bootAt(0));
    ledgerRecordEnd(ledger, endOf("r1", 1, { "request:guilty" }, 60), bootAt(60));
    for (int i = 0; i < 5000; ++i)
        ledgerRecordEnd(ledger, endOf("r1", 1, { "request:" + std::to_string(i) }, 60), bootAt(60));
    cr_expect_eq(ledger.suspected.size(), maxSuspectedRequests);
    ledgerRecordEnd(ledger, endOf("r2", 1, { "request:guilty" }, 120), bootAt(120));
    ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_expect(isBlocked(ledger, "request:guilty", bootAt(1200)));
    cr_expect_eq(ledgerView(ledger).suspected.size(), 0, "requests that ended once are not told to all daemons");
}

Test(part_ledger, a_request_that_ran_at_replicas_that_lose_power_together_is_not_blocked)
{
    PartLedger ledger;
    for (int i = 0; i < 5; ++i)
        ledgerRecordEnd(ledger, endOf("r" + std::to_string(i), 1, { "request:poll" }, 5 * i), bootAt(5 * i));
    ledgerAdvance(ledger, noReport, bootAt(1200));
    cr_expect_not(isBlocked(ledger, "request:poll", bootAt(1200)));
}

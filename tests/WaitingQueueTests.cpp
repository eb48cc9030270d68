// Requests that wait for a slot while replicas are full: the order of offers, and refusals in good time.
#include "ReplicaReplay.h"
#include "Support.h"

using namespace rattanshunt;
using admission::WaitingTerms;
using base::BootTime;
using base::Millis;

namespace {

constexpr BootTime start { base::Seconds(100) };

WaitingTerms termsOf(int priority, int targetMillis, uint64_t kind = 1)
{
    return { priority, start + Millis(targetMillis), start + Millis(4000), kind };
}

} // namespace

// Guards against slots that go to requests that can only be late, or could wait, while others miss their target.
Test(waiting_queue, offers_go_by_priority_then_to_those_that_can_meet_their_target_then_to_the_least_late)
{
    admission::WaitingQueue<int> queue;
    int requests[] = { 0, 1, 2, 3, 4 };
    WaitingTerms terms[] = { termsOf(1, 300), termsOf(1, 900), termsOf(0, 1200), termsOf(1, 400), termsOf(1, 600) };
    for (size_t i = 0; i < 5; ++i)
        queue.add(requests[i], terms[i], true, start);
    for (int expected : { 2, 4, 1, 3, 0 }) {
        int* first = queue.first(start + Millis(500));
        cr_assert(first && *first == expected, "expected %d", expected);
        queue.remove(*first, start + Millis(500));
    }
}

// Guards against offers that end at a request that finds no slot, and against one that holds up its kind for ever.
Test(waiting_queue, a_request_that_finds_no_slot_passes_the_offer_on_to_another_kind)
{
    admission::WaitingQueue<int> queue;
    int requests[] = { 0, 1, 2 };
    queue.add(requests[0], termsOf(1, 800, 1), true, start);
    queue.add(requests[1], termsOf(1, 900, 1), true, start);
    queue.add(requests[2], termsOf(1, 1000, 2), true, start);
    cr_assert_eq(queue.first(start), &requests[0]);
    queue.pass(requests[0], start + Millis(300));
    cr_assert_eq(queue.first(start), &requests[2]);
    cr_assert_eq(queue.firstBefore(termsOf(1, 1100, 1), start), &requests[0]);
    queue.leaveSlotTo(requests[0]);
    queue.pass(requests[0], start + Millis(300));
    cr_assert_eq(queue.firstBefore(termsOf(1, 1100, 1), start), &requests[1]);
    cr_assert_eq(queue.firstBefore(termsOf(1, 1100, 1), start + Millis(300)), &requests[0]);
    queue.pass(requests[2], start + Millis(300));
    cr_assert_null(queue.first(start));
    queue.beginOffers();
    cr_assert_eq(queue.first(start), &requests[0]);
}

// Guards against a less urgent priority that gets nothing: two priorities, each of which could use all slots.
Test(waiting_queue, a_less_urgent_priority_gets_a_part_of_the_slots_but_not_more_than_a_more_urgent_one)
{
    admission::WaitingQueue<WaitingTerms> queue;
    std::vector<std::unique_ptr<WaitingTerms>> waiting;
    int served[2] = {};
    for (int millis = 0; millis < 60000; millis += 10) {
        BootTime now = start + Millis(millis);
        waiting.push_back(std::make_unique<WaitingTerms>(termsOf(millis / 10 % 2, millis + 1000)));
        queue.add(*waiting.back(), *waiting.back(), true, now);
        if (millis % 20 == 0) {
            WaitingTerms* first = queue.first(now);
            served[first->priority] += 1;
            queue.recordTaken(*first, now);
            queue.remove(*first, now);
        }
        for (auto& terms : waiting) {
            if (terms->targetAt < now)
                queue.remove(*terms, now);
        }
        std::erase_if(waiting, [&](const auto& terms) { return terms->targetAt < now; });
    }
    cr_expect_gt(served[1], served[0] / 4, "%d of the less urgent, %d of the more urgent", served[1], served[0]);
    cr_expect_gt(served[0], served[1]);
}

// Guards against the first to wake taking the slot, and against holding requests until they can't be served any more:
// replicas are full by a burst of 2.4 times the usual, of two kinds with targets of 0.8 and 2.5 s.
Test(waiting_queue, in_a_burst_more_requests_meet_the_short_target_and_refused_ones_are_held_for_less_time,
    .timeout = 60)
{
    lab::ReplayedKind before[2];
    lab::ReplayedKind now[2];
    for (unsigned seed = 1; seed <= 3; ++seed) {
        lab::ReplicaReplayOptions options;
        options.seed = seed;
        options.daemons = 4;
        options.requestsPerSecond = 70;
        options.seconds = 24;
        options.burstFrom = 4;
        options.burstUntil = 10;
        for (bool hasQueue : { false, true }) {
            options.hasQueue = hasQueue;
            auto kinds = lab::ReplicaReplay(options).run().kinds;
            for (size_t i = 0; i < 2; ++i) {
                lab::ReplayedKind& sum = hasQueue ? now[i] : before[i];
                sum.arrived += kinds[i].arrived;
                sum.inTime += kinds[i].inTime;
                sum.late += kinds[i].late;
                sum.refused += kinds[i].refused;
                sum.heldInVain += kinds[i].heldInVain;
            }
        }
    }
    auto log = [](const char* name, const lab::ReplayedKind& kind) {
        cr_log_warn("%s: of %d in time %d, late %d, refused %d, held in vain %.1f s", name, kind.arrived, kind.inTime,
            kind.late, kind.refused, kind.heldInVain);
    };
    for (size_t i = 0; i < 2; ++i) {
        log(i == 0 ? "0.8 s before" : "2.5 s before", before[i]);
        log(i == 0 ? "0.8 s" : "2.5 s", now[i]);
        cr_expect_lt(now[i].heldInVain / std::max(1, now[i].refused), 2.5);
    }
    cr_expect_gt(now[0].inTime, before[0].inTime);
    cr_expect_gt(now[0].inTime + now[1].inTime, (before[0].inTime + before[1].inTime) * 0.98);
    cr_expect_lt(now[0].heldInVain + now[1].heldInVain, (before[0].heldInVain + before[1].heldInVain) * 0.5);
}

// Ledger, permits and shares of replicas that limit their request rate.
#include <random>

#include "Support.h"
#include "gateway/ReplicaSelection.h"
#include "gateway/WaitPolicy.h"
#include "limits/ReplicaLimits.h"

using namespace rattanshunt;
using namespace rattanshunt::limits;

namespace {

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000) + base::durationOf(millis / 1000);
}

LimitObservation seen(std::optional<double> rate, double requestedMs, double answeredMs, int64_t start = 1)
{
    return { "i-1", start, rate, bootAt(requestedMs), bootAt(answeredMs), 1 };
}

size_t mostInWindow(const std::vector<base::BootTime>& times, base::Seconds window)
{
    size_t most = 0;
    for (size_t last = 0, first = 0; last < times.size(); ++last) {
        while (times[first] <= times[last] - window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

Test(replica_limits, a_lower_rate_binds_at_once_and_a_higher_one_only_if_it_is_newer)
{
    LimitLedger ledger;
    cr_expect(ledgerRecord(ledger, seen(3, 0, 10), bootAt(10)) == LimitChange::Limited);
    cr_expect(ledgerRecord(ledger, seen(1, 5, 20), bootAt(20)) == LimitChange::RateChanged);
    cr_expect(ledgerRecord(ledger, seen(3, 6, 30), bootAt(30)) == LimitChange::None, "an overtaken response");
    cr_expect_eq(ledgerFind(ledger, "i-1", 1)->rate, 1);
    cr_expect(ledgerRecord(ledger, seen(3, 40, 50), bootAt(50)) == LimitChange::RateChanged);
    cr_expect_eq(ledgerFind(ledger, "i-1", 1)->rate, 3);
}

Test(replica_limits, a_limit_ends_with_enough_newer_responses_without_one)
{
    LimitLedger ledger;
    ledgerRecord(ledger, seen(2, 0, 10), bootAt(10));
    for (double at : { 5.0, 6.0, 7.0, 8.0, 9.0 })
        ledgerRecord(ledger, seen({}, at, at + 3000), bootAt(3000));
    cr_expect(ledgerFind(ledger, "i-1", 1), "responses to requests from before the limit was named do not count");
    for (int i = 0; i + 1 < answersToLift; ++i)
        cr_expect(ledgerRecord(ledger, seen({}, 2500, 2600), bootAt(2600)) == LimitChange::None);
    cr_expect(ledgerRecord(ledger, seen({}, 2500, 2700), bootAt(2700)) == LimitChange::Lifted);
    cr_expect_not(ledgerFind(ledger, "i-1", 1));
}

Test(replica_limits, a_limit_belongs_to_one_start_of_the_replica)
{
    LimitLedger ledger;
    ledgerRecord(ledger, seen(2, 0, 10, 5), bootAt(10));
    cr_expect_not(ledgerFind(ledger, "i-1", 6));
    cr_expect(ledgerRecord(ledger, seen(1, 0, 20, 4), bootAt(20)) == LimitChange::None, "of an earlier start");
    ledgerPrune(
        ledger, [](const std::string&) { return std::optional<int64_t>(6); }, bootAt(30));
    cr_expect(ledger.limits.empty());
}

// Any mix of requests for permits, with returned ones, keeps to the rate; one after the other, they use it up.
Test(replica_limits, permits_are_spaced_at_the_rate)
{
    std::mt19937 random(7);
    for (double rate : { 0.0, 0.25, 0.5, 1.0, 1.6, 2.2, 7.0, 40.0 }) {
        PermitSchedule schedule;
        std::vector<base::BootTime> starts;
        size_t returned = 0;
        base::BootTime now = bootAt(0);
        base::BootTime end = now + base::Seconds(60);
        while (now < end) {
            now += base::Millis(random() % 40);
            PermitAnswer answer = permitTake(schedule, rate, now, base::Millis(random() % 1000));
            if (answer.isGranted && random() % 5 == 0) {
                permitReturn(schedule, rate);
                ++returned;
            } else if (answer.isGranted)
                // The latest arrival that the permit allows for some, the earliest for others.
                starts.push_back(now + answer.startsIn + (random() % 2 ? permitLifetime : base::Millis(0)));
        }
        std::sort(starts.begin(), starts.end());
        // Reports need no permit: one each `reportInterval`.
        double reports = 4.0 / base::secondsOf(reportInterval) + 1;
        double allowed = 1.5 * rate * 4 + 5;
        double most = static_cast<double>(mostInWindow(starts, base::Seconds(4)));
        cr_expect_leq(most + reports, allowed, "rate %g: %g permits and %g reports in 4 s, allowed %g", rate, most,
            reports, allowed);
        double use = static_cast<double>(starts.size()) / (std::max(rate, minPermitRate) * 60);
        cr_expect_geq(use, 0.8, "rate %g: %.2f used", rate, use);
    }
}

// Without a hub, each of many daemons sends whenever its share lets it.
Test(replica_limits, shares_of_all_daemons_together_keep_to_the_rate)
{
    std::mt19937 random(11);
    for (size_t members : { 1, 19, 295 }) {
        for (double rate : { 0.0, 0.5, 1.6, 7.0 }) {
            std::vector<PermitShare> shares(members);
            std::vector<base::BootTime> sent;
            for (double at = 0; at < 20000; at += 10) {
                for (PermitShare& share : shares) {
                    double fraction = static_cast<double>(random() % 10000) / 10000;
                    if (shareTake(share, rate, members, fraction, bootAt(at)).isGranted)
                        sent.push_back(bootAt(at));
                }
            }
            double most = static_cast<double>(mostInWindow(sent, base::Seconds(4)));
            cr_expect_leq(most, 1.5 * rate * 4 + 5, "%zu daemons, rate %g: %g in 4 s", members, rate, most);
        }
    }
}

Test(wait_policy, refuses_at_once_if_no_limited_replica_can_get_the_request_in_time)
{
    gateway::WaitInputs inputs;
    inputs.hasUsableReplica = true;
    inputs.hasHub = true;
    inputs.timeLeft = base::Seconds(3);
    inputs.firstByteTimeLeft = base::Seconds(2);
    inputs.permitIn = base::Seconds(4);
    gateway::WaitDecision decision = gateway::waitDecide(inputs, {});
    cr_assert(!decision.mayWait);
    cr_assert_str_eq(decision.reason, "replica_limited");
    cr_assert_eq(decision.retryAfter->count(), 4000);
    inputs.permitIn = base::Millis(500);
    cr_assert(gateway::waitDecide(inputs, {}).mayWait);
}

// A limited replica is spared until the others are that much busier.
Test(replica_selection, a_limited_replica_gets_what_the_others_are_too_busy_for)
{
    gateway::ReplicaSelectionOptions options;
    gateway::ReplicaCandidate limited;
    limited.id = "limited";
    limited.slots = 10;
    limited.isLimited = true;
    gateway::ReplicaCandidate other = limited;
    other.id = "other";
    other.isLimited = false;
    other.ownInFlight = 2;
    cr_assert_eq(*gateway::replicaSelect({ limited, other }, {}, options), 1);
    other.ownInFlight = 4;
    cr_assert_eq(*gateway::replicaSelect({ limited, other }, {}, options), 0);
}

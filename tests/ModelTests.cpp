// Decision logic of the hub: how account usage is limited with and without a hub, and who becomes hub. Tests replay the
// load pattern that a decision was made for.
#include <random>

#include "Support.h"
#include "hub/HubTerm.h"
#include "quota/AccountQuota.h"

using namespace rattanshunt;

namespace {

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000)
        + std::chrono::duration_cast<base::BootClock::duration>(base::durationOf(millis / 1000));
}

} // namespace

// ---- Usage --------------------------------------------------------------------------------------

Test(quota, the_hub_admits_burst_and_rate_in_every_window_and_not_more)
{
    quota::HubQuota hubQuota;
    quota::AccountLimit limit { 100, 300, 0 };
    std::mt19937 random(3);
    std::deque<std::pair<base::BootTime, double>> grants;
    double sum = 0;
    for (int tick = 0; tick < 60000; ++tick) {
        base::BootTime now = bootAt(tick);
        double tokens = 1 + static_cast<double>(random() % 60);
        if (quota::hubQuotaTake(hubQuota, "a", limit, tokens, now)) {
            grants.push_back({ now, tokens });
            sum += tokens;
        }
        while (!grants.empty() && grants.front().first <= now - base::Seconds(8)) {
            sum -= grants.front().second;
            grants.pop_front();
        }
        cr_assert_leq(sum, 300 + 8 * 100 + 1e-6);
    }
    // An account that is steadily above its rate gets a fraction of its burst in every window.
    cr_assert_gt(sum, 8 * 100 + 300 * quota::burstRefillFraction - 60);
}

Test(quota, without_a_hub_overload_stays_within_the_slack_and_low_usage_accounts_are_admitted)
{
    constexpr size_t members = 19;
    quota::AccountLimit limit { 30000, 69000, 110000 };
    std::mt19937 random(5);
    std::vector<quota::LocalQuota> daemons(members);
    double sum = 0;
    // An account sends seven times its rate for two seconds; no daemon knows its usage.
    for (int tick = 0; tick < 2000; tick += 43) {
        double randomFraction = static_cast<double>(random() % 1000) / 1000;
        if (quota::localQuotaSpendFallback(
                daemons[random() % members], "a", limit, 9200, members, randomFraction, bootAt(tick)))
            sum += 9200;
    }
    // The limit allows a tenth of rate x window and burst in addition, and the slack.
    cr_assert_leq(sum, 2 * limit.rate + 0.1 * (8 * limit.rate + limit.burst) + limit.slack);
    cr_assert_gt(sum, limit.rate);

    quota::LocalQuota lowUsage;
    lowUsage.isLowUsageByAccount["a"] = true;
    lowUsage.lastHubContactAt = bootAt(0);
    cr_assert(quota::localQuotaSpendLowUsage(lowUsage, "a", limit, 9200, members, 0.5, bootAt(1000)));
    cr_assert(!quota::localQuotaSpendLowUsage(lowUsage, "a", limit, 9200, members, 0.5, bootAt(6000)));
    for (int i = 0; i < 10; ++i)
        quota::localQuotaSpendLowUsage(lowUsage, "a", limit, 9200, members, 0.5, bootAt(1500));
    cr_assert_leq(lowUsage.shares["a"].unreportedTokens,
        quota::lowUsageShareFactor * (limit.rate * 5 + limit.burst / 2) / members);
}

// A low-usage account jumps to seven times its rate when the hub is lost. Members admit it by the hub's last low-usage
// flag. Their first call to the next hub fails, and only the second one reports the tokens spent.
Test(quota, tokens_spent_without_a_hub_are_charged_at_the_next_one_although_a_call_to_it_fails)
{
    constexpr size_t members = 19;
    constexpr double tokens = 9200;
    constexpr int electedAt = 2000;  // ms, as all times here
    constexpr int firstCall = 2100;  // fails, so the reported tokens are restored
    constexpr int secondCall = 2400; // succeeds; from here on requests go to the new hub
    quota::AccountLimit limit { 30000, 69000, 110000 };
    std::mt19937 random(7);
    std::vector<quota::LocalQuota> daemons(members);
    for (quota::LocalQuota& daemon : daemons) {
        daemon.isLowUsageByAccount["a"] = true;
        daemon.lastHubContactAt = bootAt(0);
    }
    quota::HubQuota hubQuota;
    hubQuota.electedAt = bootAt(electedAt);
    hubQuota.initialFraction = quota::successorInitialFraction;
    hubQuota.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
    hubQuota.wasLowUsageByAccount["a"] = true;
    double sum = 0;
    for (int tick = 0; tick < 8000; tick += 43) {
        quota::LocalQuota& daemon = daemons[random() % members];
        base::BootTime now = bootAt(tick);
        double randomFraction = static_cast<double>(random() % 1000) / 1000;
        bool isAdmitted = tick >= secondCall
            ? quota::hubQuotaTake(hubQuota, "a", limit, tokens, now)
            : quota::localQuotaSpendLowUsage(daemon, "a", limit, tokens, members, randomFraction, now)
                || quota::localQuotaSpendFallback(daemon, "a", limit, tokens, members, randomFraction, now);
        sum += isAdmitted ? tokens : 0;
        if (tick / 43 == firstCall / 43) {
            for (quota::LocalQuota& member : daemons)
                quota::localQuotaRestoreUnreported(member, quota::localQuotaTakeUnreported(member));
        }
        if (tick / 43 == secondCall / 43) {
            quota::hubQuotaBucket(hubQuota, "a", limit, bootAt(electedAt));
            for (quota::LocalQuota& member : daemons) {
                for (const auto& [account, spent] : quota::localQuotaTakeUnreported(member))
                    quota::hubQuotaCharge(hubQuota, account, limit, spent, now);
            }
        }
    }
    cr_assert_leq(sum, 1.1 * (8 * limit.rate + limit.burst) + limit.slack);
    cr_assert_gt(sum, 8 * limit.rate);
}

// A large fleet is partitioned, the hub is lost, and an account jumps to seven times its rate just before the next hub
// is elected. Members that do not reach the new hub keep spending tokens on their own.
Test(quota, a_hub_grants_only_the_fraction_of_the_members_that_reach_it)
{
    constexpr size_t members = 135;
    constexpr int hubLostAt = 1000; // ms, as all times here
    constexpr int overloadFrom = 2700;
    constexpr int electedAt = 3000;
    constexpr int reachableFrom = 3300;
    quota::AccountLimit limit { 180000, 180000, 110000 };
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        size_t unreachableMembers = members * (seed % 5) / 4; // 0 to all of them
        std::vector<quota::LocalQuota> daemons(members);
        for (quota::LocalQuota& daemon : daemons) {
            daemon.isLowUsageByAccount["a"] = true;
            daemon.lastHubContactAt = bootAt(hubLostAt);
        }
        quota::HubQuota firstHub;
        quota::HubQuota secondHub;
        secondHub.electedAt = bootAt(electedAt);
        secondHub.initialFraction = quota::successorInitialFraction;
        secondHub.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
        secondHub.wasLowUsageByAccount["a"] = true;
        double sum = 0;
        double tick = 0;
        while (tick < 8000) {
            double tokens = 5000 + static_cast<double>(random() % 9000);
            tick += std::exponential_distribution<double>(limit.rate * (tick < overloadFrom ? 0.6 : 7.5) / 9500 / 1000)(
                random);
            base::BootTime now = bootAt(tick);
            size_t chosen = random() % members;
            quota::LocalQuota& daemon = daemons[chosen];
            double randomFraction = static_cast<double>(random() % 1000) / 1000;
            secondHub.reachableMemberFraction = tick < reachableFrom
                ? 1.0 / members
                : std::max(1.0, static_cast<double>(members - unreachableMembers)) / members;
            if (tick < hubLostAt) {
                sum += quota::hubQuotaTake(firstHub, "a", limit, tokens, now) ? tokens : 0;
            } else if (tick >= reachableFrom && chosen >= unreachableMembers) {
                for (const auto& [account, spent] : quota::localQuotaTakeUnreported(daemon))
                    quota::hubQuotaCharge(secondHub, account, limit, spent, now);
                sum += quota::hubQuotaTake(secondHub, "a", limit, tokens, now) ? tokens : 0;
            } else if (quota::localQuotaSpendLowUsage(daemon, "a", limit, tokens, members, randomFraction, now)
                || quota::localQuotaSpendFallback(daemon, "a", limit, tokens, members, randomFraction, now))
                sum += tokens;
        }
        cr_assert_leq(sum, 1.1 * (8 * limit.rate + limit.burst) + limit.slack,
            "%zu members unreachable: %f tokens admitted", unreachableMembers, sum);
        cr_assert_gt(sum, 0.5 * 8 * limit.rate);
    }
}

// ---- Election -----------------------------------------------------------------------------------

// The hub of a large fleet is lost; its members detect this up to 0.9 s apart, and one in ten has a high election
// priority.
Test(hub, a_high_priority_member_is_elected_although_low_priority_ones_detect_the_loss_first)
{
    constexpr size_t members = 135;
    constexpr double detectionSpread = 0.9; // seconds between the first and the last detection
    std::mt19937 random(9);
    auto randomFraction = [&] { return static_cast<double>(random() % 10000) / 10000; };
    constexpr int elections = 500;
    int lowPriorityWins = 0;
    for (int election = 0; election < elections; ++election) {
        double earliest = 10;
        bool isWinnerHighPriority = false;
        for (size_t i = 0; i < members; ++i) {
            bool isHighPriority = i % 10 == 0;
            double campaignAt = randomFraction() * detectionSpread
                + base::secondsOf(hub::campaignDelay(isHighPriority ? 0.9 : 0.1, randomFraction()));
            if (campaignAt < earliest) {
                earliest = campaignAt;
                isWinnerHighPriority = isHighPriority;
            }
        }
        lowPriorityWins += !isWinnerHighPriority;
    }
    cr_assert_lt(lowPriorityWins, elections / 50);
    // If all have a low priority, the first candidate still campaigns within a second.
    cr_assert_leq(hub::campaignDelay(0, 1), base::Duration(base::Seconds(1)));
}

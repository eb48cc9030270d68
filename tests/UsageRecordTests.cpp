// What a new hub may grant after all daemons were killed at once, by the record of usage in the store.
#include <random>

#include "Support.h"
#include "quota/TokenReservations.h"
#include "quota/UsageRecord.h"

using namespace rattanshunt;

namespace {

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000)
        + std::chrono::duration_cast<base::BootClock::duration>(base::durationOf(millis / 1000));
}

const quota::AccountLimit accountLimit { 30000, 69000, 110000 };

struct Record {
    bool exists = false;
    std::set<std::string> listed;
};

struct Fleet {
    quota::HubQuota hub;
    Record stored;
    std::optional<std::set<std::string>> underWay; // a write that reaches the store later
    double writtenAt = 0;

    // As storeUsageRecord(), with a store that takes 200 ms, and may lose the answer or the call.
    void advance(double millis, std::mt19937& random)
    {
        if (underWay && millis - writtenAt >= 200) {
            if (random() % 10 > 0)
                stored = { true, *underWay };
            if (random() % 5 > 0 && stored.listed == *underWay)
                quota::usageRecordStored(hub, *underWay);
            underWay.reset();
        }
        if (underWay || millis - writtenAt < 1000 || !quota::mayBeginRecord(hub, accountLimit.window, bootAt(millis)))
            return;
        std::map<std::string, quota::AccountLimit> limits { { "a", accountLimit } };
        std::set<std::string> listed = quota::accountsToList(hub, limits, bootAt(millis));
        if (stored.exists && listed == hub.listed)
            return;
        quota::usageRecordSent(hub, listed);
        underWay = listed;
        writtenAt = millis;
    }

    void killAll(double electedAt)
    {
        hub = {};
        underWay.reset();
        writtenAt = 0;
        hub.electedAt = bootAt(electedAt);
        hub.initialFraction = quota::successorInitialFraction;
        hub.lowUsageInitialFraction = quota::successorLowUsageInitialFraction;
        if (stored.exists)
            quota::usageRecordTakeOver(hub, stored.listed);
        else
            quota::usageRecordMissing(hub);
    }
};

} // namespace

Test(usage_record, an_account_that_is_not_listed_exceeds_no_window_over_a_total_loss)
{
    // Guards against a new hub granting again what the fleet has spent just before it was killed.
    double limit = (accountLimit.rate * 8 + accountLimit.burst) * (1 + quota::usageTolerance) + accountLimit.slack;
    double fallback = accountLimit.slack * quota::fallbackSlackFraction
        + quota::fallbackExcessFraction * (accountLimit.rate * 8 + accountLimit.burst);
    int unlisted = 0;
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        Fleet fleet;
        std::deque<std::pair<double, double>> granted;
        double sum = 0;
        double killedAt = 12000 + random() % 15000;
        double load = 150000 + random() % 50000; // after a calm time
        double surgeAt = killedAt - 500 - random() % 900;
        bool wasListed = false;
        quota::hubQuotaBucket(fleet.hub, "a", accountLimit, bootAt(0)); // refilled beyond its burst until the surge
        for (double millis = 0; millis < killedAt + 20000; millis += 5) {
            if (millis >= killedAt && millis < killedAt + 5) {
                wasListed = fleet.stored.exists && fleet.stored.listed.contains("a");
                fleet.killAll(millis);
            }
            fleet.advance(millis, random);
            double wanted = (millis < surgeAt ? 0 : load) * 0.005;
            if (static_cast<double>(random() % 1000) / 1000 < wanted / 830
                && quota::hubQuotaTake(fleet.hub, "a", accountLimit, 830, bootAt(millis))) {
                granted.push_back({ millis, 830 });
                sum += 830;
            }
            while (!granted.empty() && granted.front().first < millis - 8000) {
                sum -= granted.front().second;
                granted.pop_front();
            }
            if (!wasListed)
                cr_assert_leq(sum, limit - fallback, "seed %u at %f: %f", seed, millis, sum);
        }
        unlisted += !wasListed;
    }
    cr_assert_gt(unlisted, 50);
}

Test(usage_record, a_restarted_fleet_serves_accounts_that_are_not_listed_at_once)
{
    // Guards against refusals of accounts within their limit in the first seconds after a total loss: callers that were
    // cut off come back in the first half second, and a new hub that assumes the worst has a tenth of the burst.
    for (bool hasRecord : { false, true }) {
        Fleet fleet;
        fleet.stored = { hasRecord, {} };
        fleet.killAll(0);
        int refused = 0;
        std::mt19937 random(1);
        for (int i = 0; i < 300; ++i) {
            double millis = i < 60 ? i * 8 : 480 + (i - 60) * 55;
            fleet.advance(millis + 1000, random);
            refused += !quota::hubQuotaTake(fleet.hub, "a", accountLimit, 830, bootAt(millis));
        }
        cr_assert_eq(refused > 20, !hasRecord, "%d refused with record %d", refused, hasRecord);
        cr_assert(!hasRecord || refused == 0);
    }
}

Test(usage_record, an_account_is_limited_until_the_store_lists_it)
{
    // Guards against usage that a successor would not know of.
    quota::HubQuota hub;
    std::map<std::string, quota::AccountLimit> limits { { "a", accountLimit } };
    quota::usageRecordSent(hub, {});
    quota::usageRecordStored(hub, {});
    double used = 0;
    for (int millis = 0; millis < 4000; millis += 5)
        used += quota::hubQuotaTake(hub, "a", accountLimit, 1000, bootAt(millis)) ? 1000 : 0;
    cr_assert_leq(used, quota::unlistedTokens(accountLimit));
    std::set<std::string> listed = quota::accountsToList(hub, limits, bootAt(4000));
    cr_assert(listed.contains("a"));
    quota::usageRecordSent(hub, listed);
    cr_assert(!quota::hubQuotaTake(hub, "a", accountLimit, 9200, bootAt(4000)));
    quota::usageRecordStored(hub, listed);
    cr_assert(quota::hubQuotaTake(hub, "a", accountLimit, 9200, bootAt(4000)));
    // No longer listed: limited at once, whether or not the store gets the record.
    quota::usageRecordSent(hub, {});
    cr_assert(!quota::hubQuotaTake(hub, "a", accountLimit, 9200, bootAt(4000)));
}

// Rate limits of client accounts: the hub grants tokens for the whole fleet, each daemon spends what it was granted.
//
// Contents
//   [1] Hub             HubQuota: a token bucket and a usage window for each account; grants are deducted when given
//   [2] Daemon          LocalQuota: granted tokens, and a fallback allowance for when the hub cannot be reached
//
// Load pattern: one account sends many times its rate through all daemons at once. The hub admits exactly the account's
// rate and burst in any window, whichever daemon the requests arrive at; tokens that a daemon does not need are
// returned. Without a hub each daemon may spend one member's share of the rate, so that a hub outage does not refuse
// accounts that stay within their rate.
//
// Q: Why does a bucket refill faster than the account's rate?  A: The limit is defined for a window: rate x window +
// burst. A bucket that refills at the rate admits that much in the first window only, and refuses an account that is
// steadily above its rate although every later window has room. So the bucket also refills a fraction of the burst in
// each window, and usage in the last window is tracked beside it: a burst is admitted at once, a steady surplus evenly,
// and no window exceeds the limit.
//
// Pure functions; the calling thread owns the data. Times are boot times, which advance while the machine is suspended.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/Time.h"

namespace rattanshunt::quota {

struct AccountLimit {
    double rate = 0;            // tokens per second
    double burst = 0;           // tokens
    double slack = 0;           // tokens by which the fleet may exceed or fall short of the limit
    base::Seconds window { 8 }; // over which usage is limited
};

// Fraction of the slack that the hub may grant, and fraction that all daemons together may use while they cannot reach
// it.
constexpr double hubSlackFraction = 0.6;
constexpr double fallbackSlackFraction = 0.15;

// An account counts as low-usage, far below its limit, while its bucket holds at least this fraction of its capacity.
constexpr double lowUsageLevelFraction = 0.4;

// For this long after the last contact with the hub, a daemon admits requests of low-usage accounts on its own. The
// limit is lowUsageShareFactor times one member's share of the account's rate over that period and of half its burst;
// the factor is above 1 because requests are not spread evenly over the daemons. With twice the share, an account whose
// load rose at that moment exceeded its limit in a partitioned fleet.
constexpr base::Seconds lowUsageGracePeriod { 5 };
constexpr double lowUsageShareFactor = 1.2;

// Fraction of a window's limit (rate x window + burst) that all daemons together may use in addition before they know a
// hub.
constexpr double fallbackExcessFraction = 0.04;

// ---- [1] Hub -----------------------------------------------------------------------------------

// Initial bucket level, as a fraction of the burst, at a hub that succeeds another one. Grants of the former hub and
// requests admitted without a hub count in the same window.
constexpr double successorInitialFraction = 0.1;
constexpr double successorLowUsageInitialFraction = 0.8;

struct UsageSlot {
    base::BootTime startedAt {};
    double tokens = 0;
};

struct HubQuota {
    // Initial bucket level as a fraction of the burst. Lower after a takeover: grants of the former hub are
    // outstanding, and daemons have admitted requests without a hub.
    double initialFraction = 1;
    double lowUsageInitialFraction = 1; // for accounts that were low-usage at the last contact with the former hub
    std::map<std::string, bool> wasLowUsageByAccount; // at that contact; unknown accounts are missing
    struct AccountBucket {
        double tokens = 0; // negative after a charge that exceeds the level
        base::BootTime refilledAt {};
        std::deque<UsageSlot> usageSlots; // in the window, oldest first
        double usedTokens = 0;            // sum of `usageSlots`
    };
    // Record of usage in the store, see UsageRecord.h.
    bool limitsUnlisted = false;  // accounts that are not in `listed` may use unlistedTokens() in a window at most
    std::set<std::string> listed; // by the record that the store surely has
    std::optional<std::set<std::string>> listedBefore; // at the election; nothing: there was no record
    base::BootTime electedAt {};                       // of a hub that succeeds another one; unset at the first hub
    double reachableMemberFraction = 1; // fraction of members that reach the hub; the others use their fallback share
    std::map<std::string, AccountBucket> buckets; // by account
};

// Fraction of the bucket's capacity that is refilled over a window, in addition to the rate.
constexpr double burstRefillFraction = 0.5;

// Usage is tracked for the window plus this time, because grants are spent up to this long after they are given.
constexpr base::Millis grantLifetime { 700 };

// Usage is summed in slots of this length.
constexpr base::Millis usageSlotLength { 100 };

// Fraction of a window's maximum that accounts may use without being listed in the record of usage.
constexpr double unlistedUsageFraction = 0.5;

// Fraction of a window's limit by which the fleet may exceed it.
constexpr double usageTolerance = 0.1;

inline double accountBucketCapacity(const AccountLimit& limit)
{
    return limit.burst + limit.slack * hubSlackFraction;
}

// Maximum usage in any window, in tokens.
inline double maxWindowTokens(const AccountLimit& limit)
{
    return limit.rate * base::secondsOf(limit.window) + accountBucketCapacity(limit);
}

// Maximum usage in any window of an account that the record of usage does not list. An account can always use its burst
// and a second's refill at once, as it is listed only then.
inline double unlistedTokens(const AccountLimit& limit)
{
    double atOnce
        = accountBucketCapacity(limit) * (1 + burstRefillFraction / base::secondsOf(limit.window)) + limit.rate;
    return std::min(maxWindowTokens(limit), std::max(maxWindowTokens(limit) * unlistedUsageFraction, atOnce));
}

// Part of the limit that neither hubs nor daemons without one grant. A new hub may grant it in its first window.
inline double takeoverReserve(const AccountLimit& limit)
{
    return (usageTolerance - fallbackExcessFraction) * (limit.rate * base::secondsOf(limit.window) + limit.burst)
        + limit.slack * (1 - hubSlackFraction - fallbackSlackFraction);
}

// Maximum usage of the account in any window, in tokens.
inline double hubQuotaWindowTokens(const HubQuota& quota, const std::string& account, const AccountLimit& limit)
{
    return quota.limitsUnlisted && !quota.listed.contains(account) ? unlistedTokens(limit) : maxWindowTokens(limit);
}

// Tokens per second.
inline double hubQuotaRefillRate(const HubQuota& quota, const AccountLimit& limit, base::BootTime now)
{
    // Usage before the takeover is not in this hub's windows yet, so the burst is not refilled.
    if (quota.electedAt != base::BootTime {} && now - quota.electedAt < limit.window)
        return limit.rate * quota.reachableMemberFraction;
    return (limit.rate + accountBucketCapacity(limit) * burstRefillFraction / base::secondsOf(limit.window))
        * quota.reachableMemberFraction;
}

// The account's bucket, refilled and with expired usage slots removed as of `now`. Creates it if needed.
inline HubQuota::AccountBucket& hubQuotaBucket(
    HubQuota& quota, const std::string& account, const AccountLimit& limit, base::BootTime now)
{
    auto known = quota.wasLowUsageByAccount.find(account);
    double fraction = known != quota.wasLowUsageByAccount.end() && known->second ? quota.lowUsageInitialFraction
                                                                                 : quota.initialFraction;
    // An account that was not listed has used a known part of its window at most, possibly just before the takeover.
    bool wasUnlisted = quota.listedBefore && known == quota.wasLowUsageByAccount.end()
        && !quota.listedBefore->contains(account) && quota.electedAt != base::BootTime {};
    if (wasUnlisted)
        fraction = quota.lowUsageInitialFraction;
    auto [found, isNew]
        = quota.buckets.try_emplace(account, HubQuota::AccountBucket { limit.burst * fraction, now, {}, 0 });
    HubQuota::AccountBucket& bucket = found->second;
    if (isNew && wasUnlisted) {
        bucket.usedTokens = std::max(0.0, unlistedTokens(limit) - takeoverReserve(limit));
        bucket.usageSlots.push_back({ quota.electedAt, bucket.usedTokens });
    }
    double elapsed = base::secondsOf(std::max(base::BootClock::duration(0), now - bucket.refilledAt));
    bucket.tokens
        = std::min(accountBucketCapacity(limit), bucket.tokens + elapsed * hubQuotaRefillRate(quota, limit, now));
    while (!bucket.usageSlots.empty() && bucket.usageSlots.front().startedAt < now - limit.window - grantLifetime) {
        bucket.usedTokens -= bucket.usageSlots.front().tokens;
        bucket.usageSlots.pop_front();
    }
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    return bucket;
}

inline void accountBucketConsume(HubQuota::AccountBucket& bucket, double tokens, base::BootTime now)
{
    bucket.tokens -= tokens;
    bucket.usedTokens += tokens;
    if (bucket.usageSlots.empty() || now - bucket.usageSlots.back().startedAt >= usageSlotLength)
        bucket.usageSlots.push_back({ now, 0 });
    bucket.usageSlots.back().tokens += tokens;
}

// Grants `tokens` if the account's bucket holds them and the usage window has room for them.
inline bool hubQuotaTake(
    HubQuota& quota, const std::string& account, const AccountLimit& limit, double tokens, base::BootTime now)
{
    HubQuota::AccountBucket& bucket = hubQuotaBucket(quota, account, limit, now);
    if (bucket.tokens < tokens || bucket.usedTokens + tokens > hubQuotaWindowTokens(quota, account, limit))
        return false;
    accountBucketConsume(bucket, tokens, now);
    return true;
}

// Charges tokens that a daemon has spent without the hub; the bucket's level may become negative.
inline void hubQuotaCharge(
    HubQuota& quota, const std::string& account, const AccountLimit& limit, double tokens, base::BootTime now)
{
    accountBucketConsume(hubQuotaBucket(quota, account, limit, now), tokens, now);
}

inline bool hubQuotaIsLowUsage(
    HubQuota& quota, const std::string& account, const AccountLimit& limit, base::BootTime now)
{
    return hubQuotaBucket(quota, account, limit, now).tokens >= lowUsageLevelFraction * accountBucketCapacity(limit);
}

// Returns granted tokens that were not spent, and removes them from the most recent usage slots.
inline void hubQuotaReturn(HubQuota& quota, const std::string& account, double tokens)
{
    auto found = quota.buckets.find(account);
    if (found == quota.buckets.end())
        return;
    found->second.tokens += tokens; // limited to the capacity at the next refill
    auto& used = found->second.usageSlots;
    for (auto slot = used.rbegin(); slot != used.rend() && tokens > 0; ++slot) {
        double returned = std::min(tokens, slot->tokens);
        slot->tokens -= returned;
        found->second.usedTokens -= returned;
        tokens -= returned;
    }
}

// ---- [2] Daemon --------------------------------------------------------------------------------

struct LocalQuota {
    struct AccountShare {
        double grantedTokens = 0;    // granted by the hub, not spent yet
        double fallbackTokens = 0;   // level of the fallback allowance for when the hub cannot be reached
        double unreportedTokens = 0; // spent without the hub, to be reported to the next hub
        base::BootTime fallbackRefilledAt {};
        double lowUsageTokens = 0; // spent without the hub as a low-usage account, in the current window
        base::BootTime lowUsageWindowStartedAt {};
    };
    std::map<std::string, AccountShare> shares;      // by account
    std::map<std::string, bool> isLowUsageByAccount; // at the last contact with the hub
    base::BootTime lastHubContactAt {};
};

// Removes and returns the tokens spent without a hub, by account, to report them to a hub.
inline std::map<std::string, double> localQuotaTakeUnreported(LocalQuota& quota)
{
    std::map<std::string, double> unreported;
    for (auto& [account, share] : quota.shares) {
        if (share.unreportedTokens > 0)
            unreported[account] = std::exchange(share.unreportedTokens, 0);
    }
    return unreported;
}

// Puts tokens back after a report that may not have reached the hub, so that they are reported again. Reporting them
// twice only makes the account wait longer.
inline void localQuotaRestoreUnreported(LocalQuota& quota, const std::map<std::string, double>& unreported)
{
    for (const auto& [account, tokens] : unreported)
        quota.shares[account].unreportedTokens += tokens;
}

// One member's fallback allowance, refilled as of `now`. It refills with the member's share of the rate; its capacity
// is the member's share of the slack and excess that are reserved for daemons without a hub.
inline double& localQuotaFallbackLevel(
    LocalQuota::AccountShare& share, const AccountLimit& limit, size_t members, base::BootTime now)
{
    double count = static_cast<double>(std::max<size_t>(1, members));
    double excess = fallbackExcessFraction * (limit.rate * base::secondsOf(limit.window) + limit.burst);
    double capacity = (limit.slack * fallbackSlackFraction + excess) / count;
    if (share.fallbackRefilledAt == base::BootTime {}) {
        share.fallbackTokens = capacity;
        share.fallbackRefilledAt = now;
    }
    double elapsed = base::secondsOf(std::max(base::BootClock::duration(0), now - share.fallbackRefilledAt));
    share.fallbackTokens = std::min(capacity, share.fallbackTokens + elapsed * limit.rate / count);
    share.fallbackRefilledAt = std::max(share.fallbackRefilledAt, now);
    return share.fallbackTokens;
}

// Admits a request of a low-usage account shortly after the hub was lost. False if the account is not known to be
// low-usage or its share is spent. The tokens are deducted from the fallback allowance as well. `randomDraw` is uniform
// in 0 to 1, see localQuotaSpendFallback().
inline bool localQuotaSpendLowUsage(LocalQuota& quota, const std::string& account, const AccountLimit& limit,
    double tokens, size_t members, double randomDraw, base::BootTime now)
{
    auto found = quota.isLowUsageByAccount.find(account);
    if (found == quota.isLowUsageByAccount.end() || !found->second
        || now - quota.lastHubContactAt > lowUsageGracePeriod)
        return false;
    double count = static_cast<double>(std::max<size_t>(1, members));
    double maxTokens
        = lowUsageShareFactor * (limit.rate * base::secondsOf(lowUsageGracePeriod) + limit.burst / 2) / count;
    LocalQuota::AccountShare& share = quota.shares[account];
    if (share.lowUsageWindowStartedAt == base::BootTime {} || now - share.lowUsageWindowStartedAt > limit.window) {
        share.lowUsageTokens = 0;
        share.lowUsageWindowStartedAt = now;
    }
    double left = maxTokens - share.lowUsageTokens;
    if (left <= randomDraw * tokens)
        return false;
    localQuotaFallbackLevel(share, limit, members, now) -= std::min(left, tokens);
    share.lowUsageTokens += std::min(left, tokens);
    share.unreportedTokens += tokens;
    return true;
}

// Spends granted tokens; false if they do not cover the request.
inline bool localQuotaSpend(LocalQuota& quota, const std::string& account, double tokens)
{
    auto found = quota.shares.find(account);
    if (found == quota.shares.end() || found->second.grantedTokens < tokens)
        return false;
    found->second.grantedTokens -= tokens;
    return true;
}

// Spends from the fallback allowance, a member's share of the rate. A request that costs more than the level is
// admitted with probability level / cost, so that large requests are not refused forever and the fleet's total still
// holds on average. `randomDraw` is uniform in 0 to 1.
inline bool localQuotaSpendFallback(LocalQuota& quota, const std::string& account, const AccountLimit& limit,
    double tokens, size_t members, double randomDraw, base::BootTime now)
{
    LocalQuota::AccountShare& share = quota.shares[account];
    double& level = localQuotaFallbackLevel(share, limit, members, now);
    if (level <= randomDraw * tokens)
        return false;
    level = std::max(0.0, level - tokens);
    share.unreportedTokens += tokens;
    return true;
}

} // namespace rattanshunt::quota

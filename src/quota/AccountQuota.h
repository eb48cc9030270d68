// Usage of client accounts: a book of the whole fleet at the hub, and grants that each daemon spends.
//
// Contents
//   [1] Hub             GrantBook: a bucket and a window for each account; grants are taken out before they are spent
//   [2] Daemon          LocalGrants: what has been granted here, and an allowance for when the hub can't be reached
//
// Load pattern: one account sends many times its rate through all daemons at once. The book admits exactly its rate and
// burst in any window, wherever the requests arrive; what one daemon does not need goes back. Without a hub each daemon
// may spend a member's share of the rate, so that an outage of the hub refuses nobody who keeps to the rate.
//
// Q: Why does a level refill faster than the account's rate?  A: The limit is stated for a window: rate x window +
// burst. A bucket that refills at the rate admits that in the first window only, and refuses an account that is
// steadily above its rate although every later window has room. So the bucket refills with a part of the burst in each
// window, and the use of the last window is kept beside it: a burst is admitted at once, a steady surplus evenly, and
// no window holds more than the limit.
//
// Pure; the caller's thread owns the data. Times count suspensions too.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/Time.h"

namespace rattanshunt::quota {

struct AccountLimit {
    double rate = 0;            // a second
    double burst = 0;           //
    double slack = 0;           // beyond the burst that the fleet may be short or over by
    base::Seconds window { 8 }; // in which use is measured
};

// Part of the slack that the hub grants, and part that daemons may use while they can't reach it.
constexpr double hubSlackFraction = 0.6;
constexpr double fallbackSlackFraction = 0.15;

// Part of its capacity that an account's level must have for the account to count as calm: it keeps far below its
// limit.
constexpr double lowUsageLevelFraction = 0.4;

// Time after the hub's last word for which a calm account is let through without it, up to `calmShares` times a
// member's share of its rate over that time and of half of its burst: requests do not arrive at all daemons alike.
// Twice the share let an account that became hot just then exceed its limit in a fleet that had fallen apart.
constexpr base::Seconds lowUsageGracePeriod { 5 };
constexpr double lowUsageShareFactor = 1.2;

// Part of what a window may hold beyond rate and burst that daemons may use between them before they know a hub.
constexpr double fallbackExcessFraction = 0.04;

// ---- [1] Hub -----------------------------------------------------------------------------------

// Part of the burst that accounts start with at a hub that follows another one: the former hub's grants and what
// daemons let through without a hub count in the same window.
constexpr double successorInitialFraction = 0.1;
constexpr double successorLowUsageInitialFraction = 0.8;

struct UsageSlot {
    base::BootTime startedAt {};
    double tokens = 0;
};

struct HubQuota {
    // Part of the burst that an account starts with: less after a takeover, as grants are out and daemons have let
    // requests through without a hub.
    double initialFraction = 1;
    double lowUsageInitialFraction = 1;               // for accounts that were calm when the former hub was last heard
    std::map<std::string, bool> wasLowUsageByAccount; // by account, as far as known
    struct AccountBucket {
        double tokens = 0;
        base::BootTime refilledAt {};
        std::deque<UsageSlot> usageSlots; // in the window, oldest first
        double usedTokens = 0;            //
    };
    base::BootTime electedAt {};        // of a hub that follows another one: its election
    double reachableMemberFraction = 1; // part of the members that the hub hears; the others spend their own shares
    std::map<std::string, AccountBucket> buckets;
};

// Part of the burst that comes in again over a window.
constexpr double burstRefillFraction = 0.5;

// Beyond the window, for which use is remembered: grants are spent up to this much later than they are given.
constexpr base::Millis grantLifetime { 700 };

// Use is added up in slots of this length.
constexpr base::Millis usageSlotLength { 100 };

inline double accountBucketCapacity(const AccountLimit& limit)
{
    return limit.burst + limit.slack * hubSlackFraction;
}

// What any window may hold.
inline double maxWindowTokens(const AccountLimit& limit)
{
    return limit.rate * base::secondsOf(limit.window) + accountBucketCapacity(limit);
}

// Tokens a second.
inline double hubQuotaRefillRate(const HubQuota& book, const AccountLimit& limit, base::BootTime now)
{
    // What was used before a takeover is not in this book's windows.
    if (book.electedAt != base::BootTime {} && now - book.electedAt < limit.window)
        return limit.rate * book.reachableMemberFraction;
    return (limit.rate + accountBucketCapacity(limit) * burstRefillFraction / base::secondsOf(limit.window))
        * book.reachableMemberFraction;
}

// The account's level, brought up to `now`.
inline HubQuota::AccountBucket& hubQuotaBucket(
    HubQuota& book, const std::string& account, const AccountLimit& limit, base::BootTime now)
{
    auto known = book.wasLowUsageByAccount.find(account);
    double part = known != book.wasLowUsageByAccount.end() && known->second ? book.lowUsageInitialFraction
                                                                            : book.initialFraction;
    auto [found, isNew] = book.buckets.try_emplace(account, HubQuota::AccountBucket { limit.burst * part, now, {}, 0 });
    HubQuota::AccountBucket& level = found->second;
    double gone = base::secondsOf(std::max(base::BootClock::duration(0), now - level.refilledAt));
    level.tokens = std::min(accountBucketCapacity(limit), level.tokens + gone * hubQuotaRefillRate(book, limit, now));
    while (!level.usageSlots.empty() && level.usageSlots.front().startedAt < now - limit.window - grantLifetime) {
        level.usedTokens -= level.usageSlots.front().tokens;
        level.usageSlots.pop_front();
    }
    level.refilledAt = std::max(level.refilledAt, now);
    return level;
}

inline void accountBucketConsume(HubQuota::AccountBucket& level, double tokens, base::BootTime now)
{
    level.tokens -= tokens;
    level.usedTokens += tokens;
    if (level.usageSlots.empty() || now - level.usageSlots.back().startedAt >= usageSlotLength)
        level.usageSlots.push_back({ now, 0 });
    level.usageSlots.back().tokens += tokens;
}

// Grants `tokens` if the account's level and its window have room for them.
inline bool hubQuotaTake(
    HubQuota& book, const std::string& account, const AccountLimit& limit, double tokens, base::BootTime now)
{
    HubQuota::AccountBucket& level = hubQuotaBucket(book, account, limit, now);
    if (level.tokens < tokens || level.usedTokens + tokens > maxWindowTokens(limit))
        return false;
    accountBucketConsume(level, tokens, now);
    return true;
}

// Counts tokens that a daemon has let through without the hub; the level may fall below zero.
inline void hubQuotaCharge(
    HubQuota& book, const std::string& account, const AccountLimit& limit, double tokens, base::BootTime now)
{
    accountBucketConsume(hubQuotaBucket(book, account, limit, now), tokens, now);
}

inline bool hubQuotaIsLowUsage(
    HubQuota& book, const std::string& account, const AccountLimit& limit, base::BootTime now)
{
    return hubQuotaBucket(book, account, limit, now).tokens >= lowUsageLevelFraction * accountBucketCapacity(limit);
}

inline void hubQuotaReturn(HubQuota& book, const std::string& account, double tokens)
{
    auto found = book.buckets.find(account);
    if (found == book.buckets.end())
        return;
    found->second.tokens += tokens; // cut to the capacity at the next take
    auto& used = found->second.usageSlots;
    for (auto slot = used.rbegin(); slot != used.rend() && tokens > 0; ++slot) {
        double part = std::min(tokens, slot->tokens);
        slot->tokens -= part;
        found->second.usedTokens -= part;
        tokens -= part;
    }
}

// ---- [2] Daemon --------------------------------------------------------------------------------

struct LocalQuota {
    struct AccountShare {
        double grantedTokens = 0;    // tokens from the hub, not spent yet
        double fallbackTokens = 0;   // level of the allowance for when the hub can't be reached
        double unreportedTokens = 0; // let through without the hub, to be told to the next one
        base::BootTime fallbackRefilledAt {};
        double lowUsageTokens = 0; // of what a calm account may use without the hub, in a window
        base::BootTime lowUsageWindowStartedAt {};
    };
    std::map<std::string, AccountShare> shares;
    std::map<std::string, bool> isLowUsageByAccount; // by account, at the hub's last word
    base::BootTime lastHubContactAt {};
};

// Takes what was spent without a hub, by account, to tell a hub of it.
inline std::map<std::string, double> localQuotaTakeUnreported(LocalQuota& grants)
{
    std::map<std::string, double> told;
    for (auto& [account, share] : grants.shares) {
        if (share.unreportedTokens > 0)
            told[account] = std::exchange(share.unreportedTokens, 0);
    }
    return told;
}

// The hub may not have heard of it: it is told again. What a hub hears twice only makes the account wait longer.
inline void localQuotaRestoreUnreported(LocalQuota& grants, const std::map<std::string, double>& untold)
{
    for (const auto& [account, tokens] : untold)
        grants.shares[account].unreportedTokens += tokens;
}

// A member's allowance for when the hub can't be reached, brought up to `now`: its share of what a window may hold
// beyond rate and burst, and of the rate.
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
    double gone = base::secondsOf(std::max(base::BootClock::duration(0), now - share.fallbackRefilledAt));
    share.fallbackTokens = std::min(capacity, share.fallbackTokens + gone * limit.rate / count);
    share.fallbackRefilledAt = std::max(share.fallbackRefilledAt, now);
    return share.fallbackTokens;
}

// Lets a calm account through shortly after the hub was lost. False if it is not known to be calm. What it uses this
// way is taken from its allowance without a hub as well. `luck` is drawn from 0 to 1, see grantSpendAlone().
inline bool localQuotaSpendLowUsage(LocalQuota& grants, const std::string& account, const AccountLimit& limit,
    double tokens, size_t members, double luck, base::BootTime now)
{
    auto found = grants.isLowUsageByAccount.find(account);
    if (found == grants.isLowUsageByAccount.end() || !found->second
        || now - grants.lastHubContactAt > lowUsageGracePeriod)
        return false;
    double count = static_cast<double>(std::max<size_t>(1, members));
    double most = lowUsageShareFactor * (limit.rate * base::secondsOf(lowUsageGracePeriod) + limit.burst / 2) / count;
    LocalQuota::AccountShare& share = grants.shares[account];
    if (share.lowUsageWindowStartedAt == base::BootTime {} || now - share.lowUsageWindowStartedAt > limit.window) {
        share.lowUsageTokens = 0;
        share.lowUsageWindowStartedAt = now;
    }
    double left = most - share.lowUsageTokens;
    if (left <= luck * tokens)
        return false;
    localQuotaFallbackLevel(share, limit, members, now) -= std::min(left, tokens);
    share.lowUsageTokens += std::min(left, tokens);
    share.unreportedTokens += tokens;
    return true;
}

// Spends granted tokens; false if they do not cover the request.
inline bool localQuotaSpend(LocalQuota& grants, const std::string& account, double tokens)
{
    auto found = grants.shares.find(account);
    if (found == grants.shares.end() || found->second.grantedTokens < tokens)
        return false;
    found->second.grantedTokens -= tokens;
    return true;
}

// Spends of the allowance without a hub: a member's share of the rate. A request that is larger than the level is let
// through as often as the level covers it on average, so that large ones are not refused for ever and the fleet's sum
// still holds. `luck` is drawn from 0 to 1.
inline bool localQuotaSpendFallback(LocalQuota& grants, const std::string& account, const AccountLimit& limit,
    double tokens, size_t members, double luck, base::BootTime now)
{
    LocalQuota::AccountShare& share = grants.shares[account];
    double& level = localQuotaFallbackLevel(share, limit, members, now);
    if (level <= luck * tokens)
        return false;
    level = std::max(0.0, level - tokens);
    share.unreportedTokens += tokens;
    return true;
}

} // namespace rattanshunt::quota

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
constexpr double hubSlackPart = 0.6;
constexpr double aloneSlackPart = 0.15;

// Part of its capacity that an account's level must have for the account to count as calm: it keeps far below its
// limit.
constexpr double calmLevelPart = 0.4;

// Time after the hub's last word for which a calm account is let through without it, up to `calmShares` times a
// member's share of its rate over that time and of half of its burst: requests do not arrive at all daemons alike.
// Twice the share let an account that became hot just then exceed its limit in a fleet that had fallen apart.
constexpr base::Seconds calmTime { 5 };
constexpr double calmShares = 1.2;

// Part of what a window may hold beyond rate and burst that daemons may use between them before they know a hub.
constexpr double aloneExcessPart = 0.04;

// ---- [1] Hub -----------------------------------------------------------------------------------

// Part of the burst that accounts start with at a hub that follows another one: the former hub's grants and what
// daemons let through without a hub count in the same window.
constexpr double successorStartPart = 0.1;
constexpr double successorCalmPart = 0.8;

struct UseSlot {
    base::BootTime at {};
    double tokens = 0;
};

struct GrantBook {
    // Part of the burst that an account starts with: less after a takeover, as grants are out and daemons have let
    // requests through without a hub.
    double startPart = 1;
    double calmStartPart = 1;            // for accounts that were calm when the former hub was last heard
    std::map<std::string, bool> wasCalm; // by account, as far as known
    struct Level {
        double tokens = 0;
        base::BootTime asOf {};
        std::deque<UseSlot> used; // in the window, oldest first
        double usedSum = 0;       //
    };
    base::BootTime since {}; // of a hub that follows another one: its election
    double heardPart = 1;    // part of the members that the hub hears; the others spend their own shares
    std::map<std::string, Level> levels;
};

// Part of the burst that comes in again over a window.
constexpr double burstOverWindow = 0.5;

// Beyond the window, for which use is remembered: grants are spent up to this much later than they are given.
constexpr base::Millis grantLife { 700 };

// Use is added up in slots of this length.
constexpr base::Millis useSlot { 100 };

inline double bookCapacity(const AccountLimit& limit)
{
    return limit.burst + limit.slack * hubSlackPart;
}

// What any window may hold.
inline double bookWindowMost(const AccountLimit& limit)
{
    return limit.rate * base::secondsOf(limit.window) + bookCapacity(limit);
}

// Tokens a second.
inline double bookRefill(const GrantBook& book, const AccountLimit& limit, base::BootTime now)
{
    // What was used before a takeover is not in this book's windows.
    if (book.since != base::BootTime {} && now - book.since < limit.window)
        return limit.rate * book.heardPart;
    return (limit.rate + bookCapacity(limit) * burstOverWindow / base::secondsOf(limit.window)) * book.heardPart;
}

// The account's level, brought up to `now`.
inline GrantBook::Level& bookLevel(
    GrantBook& book, const std::string& account, const AccountLimit& limit, base::BootTime now)
{
    auto known = book.wasCalm.find(account);
    double part = known != book.wasCalm.end() && known->second ? book.calmStartPart : book.startPart;
    auto [found, isNew] = book.levels.try_emplace(account, GrantBook::Level { limit.burst * part, now, {}, 0 });
    GrantBook::Level& level = found->second;
    double gone = base::secondsOf(std::max(base::BootClock::duration(0), now - level.asOf));
    level.tokens = std::min(bookCapacity(limit), level.tokens + gone * bookRefill(book, limit, now));
    while (!level.used.empty() && level.used.front().at < now - limit.window - grantLife) {
        level.usedSum -= level.used.front().tokens;
        level.used.pop_front();
    }
    level.asOf = std::max(level.asOf, now);
    return level;
}

inline void bookUse(GrantBook::Level& level, double tokens, base::BootTime now)
{
    level.tokens -= tokens;
    level.usedSum += tokens;
    if (level.used.empty() || now - level.used.back().at >= useSlot)
        level.used.push_back({ now, 0 });
    level.used.back().tokens += tokens;
}

// Grants `tokens` if the account's level and its window have room for them.
inline bool bookTake(
    GrantBook& book, const std::string& account, const AccountLimit& limit, double tokens, base::BootTime now)
{
    GrantBook::Level& level = bookLevel(book, account, limit, now);
    if (level.tokens < tokens || level.usedSum + tokens > bookWindowMost(limit))
        return false;
    bookUse(level, tokens, now);
    return true;
}

// Counts tokens that a daemon has let through without the hub; the level may fall below zero.
inline void bookCharge(
    GrantBook& book, const std::string& account, const AccountLimit& limit, double tokens, base::BootTime now)
{
    bookUse(bookLevel(book, account, limit, now), tokens, now);
}

inline bool bookIsCalm(GrantBook& book, const std::string& account, const AccountLimit& limit, base::BootTime now)
{
    return bookLevel(book, account, limit, now).tokens >= calmLevelPart * bookCapacity(limit);
}

inline void bookGiveBack(GrantBook& book, const std::string& account, double tokens)
{
    auto found = book.levels.find(account);
    if (found == book.levels.end())
        return;
    found->second.tokens += tokens; // cut to the capacity at the next take
    auto& used = found->second.used;
    for (auto slot = used.rbegin(); slot != used.rend() && tokens > 0; ++slot) {
        double part = std::min(tokens, slot->tokens);
        slot->tokens -= part;
        found->second.usedSum -= part;
        tokens -= part;
    }
}

// ---- [2] Daemon --------------------------------------------------------------------------------

struct LocalGrants {
    struct Share {
        double granted = 0; // tokens from the hub, not spent yet
        double alone = 0;   // level of the allowance for when the hub can't be reached
        double spent = 0;   // let through without the hub, to be told to the next one
        base::BootTime aloneAt {};
        double calmUsed = 0; // of what a calm account may use without the hub, in a window
        base::BootTime calmSince {};
    };
    std::map<std::string, Share> shares;
    std::map<std::string, bool> calm; // by account, at the hub's last word
    base::BootTime hubWordAt {};
};

// Takes what was spent without a hub, by account, to tell a hub of it.
inline std::map<std::string, double> spentTake(LocalGrants& grants)
{
    std::map<std::string, double> told;
    for (auto& [account, share] : grants.shares) {
        if (share.spent > 0)
            told[account] = std::exchange(share.spent, 0);
    }
    return told;
}

// The hub may not have heard of it: it is told again. What a hub hears twice only makes the account wait longer.
inline void spentKeep(LocalGrants& grants, const std::map<std::string, double>& untold)
{
    for (const auto& [account, tokens] : untold)
        grants.shares[account].spent += tokens;
}

// A member's allowance for when the hub can't be reached, brought up to `now`: its share of what a window may hold
// beyond rate and burst, and of the rate.
inline double& grantAloneLevel(LocalGrants::Share& share, const AccountLimit& limit, size_t members, base::BootTime now)
{
    double count = static_cast<double>(std::max<size_t>(1, members));
    double excess = aloneExcessPart * (limit.rate * base::secondsOf(limit.window) + limit.burst);
    double capacity = (limit.slack * aloneSlackPart + excess) / count;
    if (share.aloneAt == base::BootTime {}) {
        share.alone = capacity;
        share.aloneAt = now;
    }
    double gone = base::secondsOf(std::max(base::BootClock::duration(0), now - share.aloneAt));
    share.alone = std::min(capacity, share.alone + gone * limit.rate / count);
    share.aloneAt = std::max(share.aloneAt, now);
    return share.alone;
}

// Lets a calm account through shortly after the hub was lost. False if it is not known to be calm. What it uses this
// way is taken from its allowance without a hub as well. `luck` is drawn from 0 to 1, see grantSpendAlone().
inline bool grantSpendCalm(LocalGrants& grants, const std::string& account, const AccountLimit& limit, double tokens,
    size_t members, double luck, base::BootTime now)
{
    auto found = grants.calm.find(account);
    if (found == grants.calm.end() || !found->second || now - grants.hubWordAt > calmTime)
        return false;
    double count = static_cast<double>(std::max<size_t>(1, members));
    double most = calmShares * (limit.rate * base::secondsOf(calmTime) + limit.burst / 2) / count;
    LocalGrants::Share& share = grants.shares[account];
    if (share.calmSince == base::BootTime {} || now - share.calmSince > limit.window) {
        share.calmUsed = 0;
        share.calmSince = now;
    }
    double left = most - share.calmUsed;
    if (left <= luck * tokens)
        return false;
    grantAloneLevel(share, limit, members, now) -= std::min(left, tokens);
    share.calmUsed += std::min(left, tokens);
    share.spent += tokens;
    return true;
}

// Spends granted tokens; false if they do not cover the request.
inline bool grantSpend(LocalGrants& grants, const std::string& account, double tokens)
{
    auto found = grants.shares.find(account);
    if (found == grants.shares.end() || found->second.granted < tokens)
        return false;
    found->second.granted -= tokens;
    return true;
}

// Spends of the allowance without a hub: a member's share of the rate. A request that is larger than the level is let
// through as often as the level covers it on average, so that large ones are not refused for ever and the fleet's sum
// still holds. `luck` is drawn from 0 to 1.
inline bool grantSpendAlone(LocalGrants& grants, const std::string& account, const AccountLimit& limit, double tokens,
    size_t members, double luck, base::BootTime now)
{
    LocalGrants::Share& share = grants.shares[account];
    double& level = grantAloneLevel(share, limit, members, now);
    if (level <= luck * tokens)
        return false;
    level = std::max(0.0, level - tokens);
    share.spent += tokens;
    return true;
}

} // namespace rattanshunt::quota

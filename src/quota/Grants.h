// Usage of client accounts: a book of the whole fleet at the hub, and grants that each daemon spends.
//
// Contents
//   [1] Hub             GrantBook: one bucket an account; grants are taken out before they are spent
//   [2] Daemon          LocalGrants: what has been granted here, and an allowance for when the hub can't be reached
//
// Load pattern: one account sends many times its rate through all daemons at once. The book admits exactly its rate and
// burst, wherever the requests arrive; what one daemon does not need goes back. Without a hub each daemon may spend a
// member's share of the rate, so that an outage of the hub refuses nobody who keeps to the rate.
//
// Pure; the caller's thread owns the data. Times count suspensions too.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "base/Time.h"

namespace rattanshunt::quota {

struct AccountLimit {
    double rate = 0;  // a second
    double burst = 0; //
    double slack = 0; // beyond the burst that the fleet may be short or over by
};

// Part of the slack that the hub grants, and part that daemons may use while they can't reach it.
constexpr double hubSlackPart = 0.3;
constexpr double aloneSlackPart = 0.3;

// ---- [1] Hub -----------------------------------------------------------------------------------

struct GrantBook {
    double startPart = 1; // of the burst, that an account starts with; less after a takeover, as grants are out
    struct Level {
        double tokens = 0;
        base::BootTime asOf {};
    };
    std::map<std::string, Level> levels;
};

// Part of the burst that accounts start with at a hub that follows another one: the former hub's grants and what daemons
// let through without a hub count in the same window.
constexpr double successorStartPart = 0.25;

// Grants `tokens` if the account's level covers them.
inline bool bookTake(
    GrantBook& book, const std::string& account, const AccountLimit& limit, double tokens, base::BootTime now)
{
    double capacity = limit.burst + limit.slack * hubSlackPart;
    auto [found, isNew] = book.levels.try_emplace(account, GrantBook::Level { limit.burst * book.startPart, now });
    GrantBook::Level& level = found->second;
    double gone = base::secondsOf(std::max(base::BootClock::duration(0), now - level.asOf));
    level.tokens = std::min(capacity, level.tokens + gone * limit.rate);
    level.asOf = std::max(level.asOf, now);
    if (level.tokens < tokens)
        return false;
    level.tokens -= tokens;
    return true;
}

inline void bookGiveBack(GrantBook& book, const std::string& account, double tokens)
{
    auto found = book.levels.find(account);
    if (found != book.levels.end())
        found->second.tokens += tokens; // cut to the capacity at the next take
}

// ---- [2] Daemon --------------------------------------------------------------------------------

struct LocalGrants {
    struct Share {
        double granted = 0;       // tokens from the hub, not spent yet
        double alone = 0;         // level of the allowance for when the hub can't be reached
        base::BootTime aloneAt {};
    };
    std::map<std::string, Share> shares;
};

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
    double count = static_cast<double>(std::max<size_t>(1, members));
    double capacity = std::max(limit.slack, limit.burst) * aloneSlackPart / count;
    auto [found, isNew] = grants.shares.try_emplace(account);
    LocalGrants::Share& share = found->second;
    if (share.aloneAt == base::BootTime {})
        share = { share.granted, capacity, now };
    double gone = base::secondsOf(std::max(base::BootClock::duration(0), now - share.aloneAt));
    share.alone = std::min(capacity, share.alone + gone * limit.rate / count);
    share.aloneAt = std::max(share.aloneAt, now);
    if (share.alone <= luck * tokens)
        return false;
    share.alone = std::max(0.0, share.alone - tokens);
    return true;
}

} // namespace rattanshunt::quota

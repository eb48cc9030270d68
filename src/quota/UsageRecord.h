// Which accounts the store lists as having used much of their limit, so that a new hub knows which have not.
//
// Load pattern: all daemons are killed at once while most accounts are far below their limits. A new hub that knows
// nothing must assume that every account has just used its whole window, and refuses requests of all of them for
// seconds.
//
// The hub lets an account that the record does not list use unlistedTokens() in a window at most. An account is listed
// before it may use more, and no longer listed only after its usage is far below. So the record needs no age, and no
// clocks that agree: whenever a hub ends, an account that is not listed has used at most that.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <map>
#include <set>
#include <string>

#include "quota/AccountQuota.h"

namespace rattanshunt::quota {

// Fractions of unlistedTokens() at which an account is listed and no longer listed.
constexpr double listUsageFraction = 0.7;
constexpr double unlistUsageFraction = 0.4;

// The accounts that the record is to list next. `limits`: of all accounts with a limit.
inline std::set<std::string> accountsToList(
    HubQuota& quota, const std::map<std::string, AccountLimit>& limits, base::BootTime now)
{
    std::set<std::string> listed;
    // Usage before a takeover is not in this hub's windows.
    bool hasWholeWindow = quota.electedAt == base::BootTime {};
    for (const auto& [account, limit] : limits) {
        bool isInWindow = hasWholeWindow || now - quota.electedAt > limit.window + grantLifetime;
        bool wasListed = quota.listed.contains(account);
        if (wasListed && !isInWindow) {
            listed.insert(account);
            continue;
        }
        if (!wasListed && !quota.buckets.contains(account))
            continue;
        double used = hubQuotaBucket(quota, account, limit, now).usedTokens;
        if (used > unlistedTokens(limit) * (wasListed ? unlistUsageFraction : listUsageFraction))
            listed.insert(account);
    }
    return listed;
}

// Whether a hub may begin a record. Without one of its predecessor, it does not know the usage before its election.
inline bool mayBeginRecord(const HubQuota& quota, base::Seconds window, base::BootTime now)
{
    return quota.limitsUnlisted || quota.electedAt == base::BootTime {}
    || now - quota.electedAt > window + grantLifetime;
}

// Call before a record is written. Accounts that it no longer lists are limited from now on, whether or not the store
// gets it.
inline void usageRecordSent(HubQuota& quota, const std::set<std::string>& listed)
{
    // Before the first record a successor assumes the worst, so what it lists need not be stored yet.
    if (!quota.limitsUnlisted)
        quota.listed = listed;
    quota.limitsUnlisted = true;
    std::erase_if(quota.listed, [&](const std::string& account) { return !listed.contains(account); });
}

// Call when the store has the record.
inline void usageRecordStored(HubQuota& quota, const std::set<std::string>& listed)
{
    quota.listed = listed;
    quota.limitsUnlisted = true;
}

// A new hub takes over what the record of its predecessors lists. Call before its first grant.
inline void usageRecordTakeOver(HubQuota& quota, const std::set<std::string>& listed)
{
    usageRecordStored(quota, listed);
    quota.listedBefore = listed;
}

// A new hub could not read the record. Until it has, no account may use more than one that is not listed.
inline void usageRecordUnread(HubQuota& quota)
{
    quota.listed.clear();
    quota.limitsUnlisted = true;
}

// There is no record, or none that a new hub can rely on.
inline void usageRecordMissing(HubQuota& quota)
{
    quota.listed.clear();
    quota.limitsUnlisted = false;
}

} // namespace rattanshunt::quota

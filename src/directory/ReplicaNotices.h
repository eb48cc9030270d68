// What replicas have told this daemon of themselves in their responses: that they leave, and that they want quiet.
//
// Contents
//   [1] Data            ReplicaStatement, ReplicaNotice, ReplicaNotices
//   [2] Recording       noticeRecord(), noticesPrune()
//   [3] Use             noticeIsLeaving(), noticeQuietUntil()
//
// Load pattern: a replica leaves, or asks for quiet, while the hub and the store are cut off, so that nothing else
// tells of it, and callers come back at once. Both bind the daemon that heard it, for the process of the replica that
// said it.
//
// A replica that leaves does not come back in the same process: responses overtake each other, so one that does not say
// so proves nothing. A later end of the quiet replaces an earlier one, never the other way round.
//
// Pure functions over data that the calling thread owns. Times are boot times, which advance while the machine is
// suspended.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Time.h"

namespace rattanshunt::directory {

// ---- [1] Data ----------------------------------------------------------------------------------

// What one response of a replica says of it.
struct ReplicaStatement {
    bool isLeaving = false;
    std::optional<base::Millis> quietFor; // nothing is wanted for so long
    bool isQuietUnreadable = false;       // a time is named that is no finite number of at least 0
    std::optional<base::Millis> coldFor;  // the replica is cold for so long; 0: it is warm
};

struct ReplicaNotice {
    int64_t startedAtMillis = 0; // of the process that said it
    bool isLeaving = false;
    base::BootTime quietUntil {};
    base::BootTime heardAt {};
};

struct ReplicaNotices {
    std::map<std::string, ReplicaNotice> byReplica;
};

constexpr base::Seconds noticeLifetime { 3600 }; // of those of replicas that the directory does not list any more
constexpr base::Seconds maxQuiet { 3600 };       // longer times are cut to it

// ---- [2] Recording -----------------------------------------------------------------------------

// Returns whether the notice has changed. Precondition: the replica that listens at the address was the one meant.
inline bool noticeRecord(ReplicaNotices& notices, const std::string& replica, int64_t startedAtMillis,
    const ReplicaStatement& statement, base::BootTime now)
{
    if (!statement.isLeaving && !statement.quietFor)
        return false;
    ReplicaNotice& notice = notices.byReplica[replica];
    if (startedAtMillis < notice.startedAtMillis)
        return false; // a late response of an earlier process
    if (notice.startedAtMillis != startedAtMillis)
        notice = { startedAtMillis, false, {}, now };
    notice.heardAt = now;
    bool isChanged = statement.isLeaving && !notice.isLeaving;
    notice.isLeaving = notice.isLeaving || statement.isLeaving;
    if (statement.quietFor) {
        base::BootTime until = now + std::min<base::Duration>(*statement.quietFor, maxQuiet);
        isChanged = isChanged || until > notice.quietUntil;
        notice.quietUntil = std::max(notice.quietUntil, until);
    }
    return isChanged;
}

// `isListed`: whether the directory lists a replica.
template <typename IsListed> void noticesPrune(ReplicaNotices& notices, IsListed&& isListed, base::BootTime now)
{
    std::erase_if(notices.byReplica,
        [&](const auto& item) { return now - item.second.heardAt >= noticeLifetime && !isListed(item.first); });
}

// ---- [3] Use -----------------------------------------------------------------------------------

// Whether nothing new may be sent to this process of the replica, as it leaves.
inline bool noticeIsLeaving(const ReplicaNotices& notices, const std::string& replica, int64_t startedAtMillis)
{
    auto found = notices.byReplica.find(replica);
    return found != notices.byReplica.end() && found->second.startedAtMillis == startedAtMillis
        && found->second.isLeaving;
}

// Until when this process of the replica wants nothing; empty: it does not say so.
inline std::optional<base::BootTime> noticeQuietUntil(
    const ReplicaNotices& notices, const std::string& replica, int64_t startedAtMillis, base::BootTime now)
{
    auto found = notices.byReplica.find(replica);
    if (found == notices.byReplica.end() || found->second.startedAtMillis != startedAtMillis
        || now >= found->second.quietUntil)
        return std::nullopt;
    return found->second.quietUntil;
}

} // namespace rattanshunt::directory

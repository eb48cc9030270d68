// One daemon's term as hub: what its lease allows, and how old the data may be that daemons pass on.
//
// Contents
//   [1] Term            HubTerm, termBegin(), termRenewed(), termIsOver(), termMayOrder()
//   [2] Succession      PreviousOrderer, OrdererRecord, previousOrderer(), termOrdersAllowedAt(), campaignDelay()
//   [3] Freshness       freshAsOfRead(), freshAsOfPeer(), isFresh()
//
// Load pattern: replicas crash and models move while the hub is suspended, partitioned from the store or restarted. Two
// hubs that issue orders at once would load a model twice or overcommit memory. A hub that waits too long keeps
// requests waiting. The store is restored from an older copy, with records of earlier hubs or none.
//
// All times are of a clock that also runs while the machine is suspended. Lease validity and data age count from the
// time the request was sent, never from the response. A daemon that was suspended between the two therefore errs on the
// safe side.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "base/Time.h"

namespace rattanshunt::hub {

// ---- [1] Term ----------------------------------------------------------------------------------

inline constexpr base::Millis leaseMargin { 250 }; // no orders are issued this close to the lease's expiry

struct HubTerm {
    bool isHeld = false;
    int64_t lease = 0;
    int64_t fencingToken = 0; // creation revision of the hub's record
    base::BootTime electedAt {};
    base::BootTime leaseExpiresAt {};                       // the store surely keeps the lease until then
    base::BootTime ordersAllowedAt = base::BootTime::max(); // when no order of a previous hub can be under way
    bool isOrdererRecorded = false;                         // `rs/orderer` in the store names this daemon
};

// `requestedAt`: when the request for the lease was sent.
inline HubTerm termBegin(
    int64_t lease, int64_t fencingToken, base::BootTime requestedAt, base::BootTime now, base::Millis leaseTtl)
{
    HubTerm term;
    term.isHeld = true;
    term.lease = lease;
    term.fencingToken = fencingToken;
    term.electedAt = now;
    term.leaseExpiresAt = requestedAt + leaseTtl;
    return term;
}

// `requestedAt`: when the successful renewal was sent.
inline void termRenewed(HubTerm& term, base::BootTime requestedAt, base::Millis leaseTtl)
{
    term.leaseExpiresAt = std::max<base::BootTime>(term.leaseExpiresAt, requestedAt + leaseTtl);
}

inline bool termIsOver(const HubTerm& term, base::BootTime now)
{
    return !term.isHeld || now >= term.leaseExpiresAt;
}

inline bool termMayOrder(const HubTerm& term, base::BootTime now)
{
    return term.isHeld && term.isOrdererRecorded && now >= term.ordersAllowedAt
        && now < term.leaseExpiresAt - leaseMargin;
}

// ---- [2] Succession ----------------------------------------------------------------------------

// The daemon that issued the last orders before this term, according to `rs/orderer`.
enum class PreviousOrderer {
    Nobody, // no orders were ever issued
    Self,   // this daemon, possibly an earlier process of it
    Another,
    Unknown, // the record could not be read, or may not be the last one
};

// `rs/orderer` as read from the store.
struct OrdererRecord {
    std::string name;
    int64_t era = 0; // of the store when the record was written
};

// `record` is empty if the store has none. A record of an earlier era of the store may have had a successor that the
// store has lost. `hasSeenRestore`: the store was restored from a copy while this process ran.
inline PreviousOrderer previousOrderer(
    const std::optional<OrdererRecord>& record, const std::string& ownName, int64_t storeEra, bool hasSeenRestore)
{
    if (!record)
        return hasSeenRestore ? PreviousOrderer::Unknown : PreviousOrderer::Nobody;
    if (record->era != storeEra)
        return PreviousOrderer::Unknown;
    return record->name == ownName ? PreviousOrderer::Self : PreviousOrderer::Another;
}

// Orders of another daemon may be in flight until its lease has surely expired, so a new hub waits `handoverDelay`. The
// record that names this daemon is written after that wait and before its first order. If it were written earlier, a
// restart of this daemon would find its own name and issue orders without waiting.
inline base::BootTime termOrdersAllowedAt(PreviousOrderer previous, base::BootTime now, base::Millis handoverDelay)
{
    bool mustWait = previous == PreviousOrderer::Another || previous == PreviousOrderer::Unknown;
    return mustWait ? now + handoverDelay : now;
}

// Members detect a lost hub up to one read interval apart, so a candidate of low priority delays its campaign by about
// that much. A hub with a tenth of a core on a slow link takes seconds to distribute its data to a large fleet.
inline constexpr base::Millis campaignMaxDelay { 800 };
inline constexpr base::Millis campaignJitter { 200 }; // separates candidates of equal priority

// How long a candidate waits before it requests the lease. `priority` and `randomFraction` are 0 to 1.
inline base::Duration campaignDelay(double priority, double randomFraction)
{
    double delayFraction = 1 - std::clamp(priority, 0.0, 1.0);
    return base::durationOf(base::secondsOf(campaignMaxDelay) * delayFraction
        + base::secondsOf(campaignJitter) * std::clamp(randomFraction, 0.0, 1.0));
}

// ---- [3] Freshness -----------------------------------------------------------------------------

// The time at which the result of a linearizable read was surely current. `known`: the same for the data held so far.
inline base::BootTime freshAsOfRead(base::BootTime known, base::BootTime requestedAt)
{
    return std::max(known, requestedAt);
}

// The same for data from a peer; `age` is the data's age when the peer answered. The answer was written after the
// request was sent, so the age is subtracted from the time of the request.
inline base::BootTime freshAsOfPeer(base::BootTime known, base::BootTime requestedAt, base::Micros age)
{
    return std::max<base::BootTime>(known, requestedAt - age);
}

// A default `freshAsOf` means that nothing has been received yet.
inline bool isFresh(base::BootTime freshAsOf, base::BootTime now, base::Millis limit)
{
    return freshAsOf != base::BootTime {} && now - freshAsOf < limit;
}

} // namespace rattanshunt::hub

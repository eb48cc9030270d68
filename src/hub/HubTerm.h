// One daemon's time as hub: what its lease allows, and how old the knowledge may be that daemons pass on.
//
// Contents
//   [1] Term            HubTerm, termBegin(), termRenewed(), termIsOver(), termMayOrder()
//   [2] Succession      OrdererRecord, termOrdersFrom(), campaignWait()
//   [3] Freshness       provenByRead(), provenByPeer(), isProven()
//
// Load pattern: replicas crash and models shift while the hub is frozen, cut off from the store or started anew. Two
// hubs that order at once would load a model twice or overcommit memory; a hub that waits too long leaves requests
// waiting.
//
// All times are of the clock that counts suspensions. A lease and a proof count from the sending of the question, never
// from its answer, so that a daemon that was suspended between the two believes too little rather than too much.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/Time.h"

namespace rattanshunt::hub {

// ---- [1] Term ----------------------------------------------------------------------------------

inline constexpr base::Millis leaseMargin { 250 }; // before the lease's end, from which on nothing is ordered

struct HubTerm {
    bool isHeld = false;
    int64_t lease = 0;
    int64_t fencingToken = 0;                               // creation revision of the hub's record
    base::BootTime electedAt {};                            //
    base::BootTime leaseExpiresAt {};                       // surely held until then
    base::BootTime ordersAllowedAt = base::BootTime::max(); // not before a former holder's orders are over
    bool isOrdererRecorded = false;                         // the store names this daemon as the last one that ordered
};

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

// Whose orders were the last before this term, by the store.
enum class PreviousOrderer {
    Nobody,  // none were ever given
    Self,    // this daemon's, perhaps an earlier start of it
    Another, //
    Unknown, // the record could not be read
};

// Orders of another daemon may be on their way until its lease has ended for sure. The record that names this daemon is
// written after that wait and before its first order: written earlier, it would let a new start of this daemon order at
// once.
inline base::BootTime termOrdersAllowedAt(PreviousOrderer previous, base::BootTime now, base::Millis handoverDelay)
{
    bool mustWait = previous == PreviousOrderer::Another || previous == PreviousOrderer::Unknown;
    return mustWait ? now + handoverDelay : now;
}

// Members notice a lost hub up to their interval between two reads apart, so a weak candidate gives stronger ones about
// that much time: a hub of a tenth of a core on a thin link takes seconds to tell a large fleet what it knows.
inline constexpr base::Millis campaignMaxDelay { 800 };
inline constexpr base::Millis campaignJitter { 200 }; // keeps equals apart

// How long a candidate waits before it asks for the lease. `strength` and `luck` from 0 to 1.
inline base::Duration campaignDelay(double priority, double randomFraction)
{
    double delayFraction = 1 - std::clamp(priority, 0.0, 1.0);
    return base::durationOf(base::secondsOf(campaignMaxDelay) * delayFraction
        + base::secondsOf(campaignJitter) * std::clamp(randomFraction, 0.0, 1.0));
}

// ---- [3] Freshness -----------------------------------------------------------------------------

// The time at which what a linearizable read returned was surely true.
inline base::BootTime freshAsOfRead(base::BootTime known, base::BootTime requestedAt)
{
    return std::max(known, requestedAt);
}

// The same for what a peer passes on: `age` is the peer's, when it answered. The answer left after the question, so its
// proof is dated from the question.
inline base::BootTime freshAsOfPeer(base::BootTime known, base::BootTime requestedAt, base::Micros age)
{
    return std::max<base::BootTime>(known, requestedAt - age);
}

inline bool isFresh(base::BootTime freshAsOf, base::BootTime now, base::Millis limit)
{
    return freshAsOf != base::BootTime {} && now - freshAsOf < limit;
}

} // namespace rattanshunt::hub

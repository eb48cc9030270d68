// Request rates that replicas accept from all daemons together, and the permits that keep the fleet within them.
//
// Contents
//   [1] Ledger          LimitObservation, LimitLedger, ledgerRecord(), ledgerFind(), ledgerPrune()
//   [2] Permits         PermitSchedule, permitTake(), permitReturn(): at the hub
//   [3] Shares          PermitShare, shareTake(): at a daemon that does not reach the hub
//
// Load pattern: a replica in need names a rate that is lower than the number of daemons, so a limit that each daemon
// keeps for itself is exceeded by one request of each. The hub hands out permits, one for each attempt at the replica,
// evenly spaced at the named rate. A permit may be reserved a little ahead, so that the replica gets its rate while
// requests wait for it, and the daemons need not ask again and again.
//
// Without a hub, each daemon may send its share of half the rate. Shares start at random levels, so that the daemons do
// not send all at once.
//
// Q: Why is a limit not lifted by the first response without one?  A: Responses overtake each other, and a replica may
//    name its limit in some of them only.
// Q: What happens at a rate of 0?  A: The replica gets trials at `minPermitRate`. Their responses are the only way to
//    learn that the limit has ended.
//
// Pure functions; the calling thread owns the data. Times are boot times, which advance while the machine is suspended.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/Time.h"

namespace rattanshunt::limits {

// ---- [1] Ledger --------------------------------------------------------------------------------

constexpr int answersToLift = 3;                // without a limit, to requests sent after the last naming
constexpr base::Millis liftDelay { 2000 };      // minimum time since the last naming
constexpr base::Seconds forgetDelay { 10 };     // after which the limit of a replica that is not listed is dropped
constexpr double minPermitRate = 0.25;          // permits per second for a replica that accepts less
constexpr base::Millis reportInterval { 2000 }; // between two reports of a limited replica, which need no permit

// What one response, or several without a limit, said of a replica's rate.
struct LimitObservation {
    std::string replica;
    int64_t startedAtMillis = 0; // of the replica; a limit ends when its process does
    std::optional<double> rate;  // requests per second; empty: none was named
    base::BootTime requestedAt {};
    base::BootTime answeredAt {};
    int answers = 1;
};

struct ReplicaLimit {
    int64_t startedAtMillis = 0;
    double rate = 0;               // requests per second
    base::BootTime rateNamedAt {}; // when this rate was last named
    base::BootTime namedAt {};     // when any rate was last named
    int answersSince = 0;          // without a limit
};

struct LimitLedger {
    std::map<std::string, ReplicaLimit> limits; // by replica
    uint64_t version = 0;                       // incremented when a rate changes, begins or ends
};

enum class LimitChange { None, Limited, RateChanged, Lifted };

// A lower rate takes effect at once; a higher one if it answers a request sent after the lower one was named.
LimitChange ledgerRecord(LimitLedger&, const LimitObservation&, base::BootTime now);

// Null if this process of the replica has no limit.
const ReplicaLimit* ledgerFind(const LimitLedger&, const std::string& replica, int64_t startedAtMillis);

// Drops limits of replicas that have restarted or are gone. `startOf` returns the start of a listed replica.
void ledgerPrune(
    LimitLedger&, const std::function<std::optional<int64_t>(const std::string& replica)>& startOf, base::BootTime now);

// ---- [2] Permits -------------------------------------------------------------------------------

constexpr base::Millis maxPermitWait { 1000 };  // for which a permit is reserved ahead
constexpr base::Millis permitLifetime { 300 };  // from its start until the request must have been sent
constexpr base::Millis permitBurstTime { 500 }; // for which unused permits are kept, one at most
constexpr base::Millis takeoverDelay { 700 };   // until permits of a previous hub are used; a new one waits for it
constexpr base::Millis maxHubWait { 2000 };     // until there is a hub again, as told to callers

struct PermitSchedule {
    base::BootTime nextAt {}; // start of the next permit
};

struct PermitAnswer {
    bool isGranted = false;
    base::Duration startsIn { 0 }; // until the permit may be used; of a refusal, until one can be had
    bool isFromHub = false;        // to be returned there if it is not used
};

// Reserves the next permit if it starts within `maxWait`.
PermitAnswer permitTake(PermitSchedule&, double rate, base::BootTime now, base::Duration maxWait);

// Returns a permit that was not used.
void permitReturn(PermitSchedule&, double rate);

// ---- [3] Shares --------------------------------------------------------------------------------

constexpr double shareFraction = 0.5; // of the rate, that all daemons without a hub may use together

struct PermitShare {
    double permits = 0;
    base::BootTime refilledAt {};
};

// `randomFraction` is uniform in 0 to 1 and the level at the first call. `members`: daemons that share the rate.
PermitAnswer shareTake(PermitShare&, double rate, size_t members, double randomFraction, base::BootTime now);

} // namespace rattanshunt::limits

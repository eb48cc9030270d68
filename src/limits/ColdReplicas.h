// Replicas that have just started, or have lost their warm state, and accept few requests until they are warm.
//
// Contents
//   [1] Data            ColdState, ColdLedger, ColdStatement, ColdRow
//   [2] Changes         coldApplyEntry(), coldRecord(), coldPresume(), coldApplyRows(), coldPrune()
//   [3] Use             coldUntil(), coldRows()
//   [4] Rates           ColdBound, coldPermitRate(), coldShareTake()
//
// Load pattern: replicas come back together, after an evacuation or with their data centre, while hundreds of daemons
// hold requests for them. Each request that a cold replica gets counts, whichever daemon sent it, and there are more
// daemons than requests allowed in a second. A cold replica gets permits from the hub like one that limits its rate,
// and without a hub the daemons' shares, see ReplicaLimits.h.
//
// What is known of a replica ends with a newer statement only: its entry in the store, which the hub reads and passes
// on, or one of its responses. A replica that returns is presumed cold until then.
//
// Pure functions; the calling thread owns the data. Times are boot times, which advance while the machine is suspended.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "limits/ReplicaLimits.h"

namespace rattanshunt::limits {

// ---- [1] Data ----------------------------------------------------------------------------------

struct ColdState {
    int64_t startedAtMillis = 0;   // of the process that is cold
    base::BootTime until {};       // the maximum time until the replica says otherwise
    base::BootTime asOf {};        // when what is known was current
    base::BootTime respondedAt {}; // last statement in a response
    base::BootTime keptUntil {};   // until then entries and other daemons' lists may be older, and end nothing
    base::BootTime permitsFrom {}; // from then on all daemons that reach the hub know it
};

struct ColdLedger {
    std::map<std::string, ColdState> replicas; // by identifier; those that are not cold may be missing
    uint64_t version = 1;                      // incremented when members have to be told; never 0
};

// What an entry that was not known before says.
struct ColdStatement {
    std::string replica;
    int64_t startedAtMillis = 0;
    bool isNew = false;                   // this process was not listed before
    bool wasListed = false;               // this process or an earlier one was, so daemons send to the replica
    std::optional<base::Millis> timeLeft; // empty: the entry does not say
    base::Millis usualTime { 3000 };      // that a replica of the service is cold after its start
};

// A cold replica as one daemon tells it to another.
struct ColdRow {
    std::string replica;
    int64_t startedAtMillis = 0;
    base::BootTime until {};
    base::BootTime permitsFrom {};
};

// ---- [2] Changes -------------------------------------------------------------------------------

constexpr base::Millis coldInformDelay { 700 }; // until all members have synced with a hub that learned of a change
constexpr base::Millis coldKeep { 2400 };       // until the hub's list rests on a later entry: write, read and sync
constexpr base::Millis coldChange { 250 };      // change of an end that members are told of

// Returns whether the replica is cold now and was not known to be. `readAt`: when the read of the store was sent;
// `entryInterval`: between two writes of an entry. An entry may be older than a response that arrived before the read.
bool coldApplyEntry(
    ColdLedger&, const ColdStatement&, base::BootTime readAt, base::BootTime now, base::Duration entryInterval);

// Applies what a response says; it takes precedence over entries. Returns as coldApplyEntry().
bool coldRecord(ColdLedger&, const std::string& replica, int64_t startedAtMillis, base::Duration timeLeft,
    base::BootTime answeredAt, base::BootTime now);

// The replica has returned or may have restarted. `until`: the maximum time if its entries say when it is warm.
// `mayBeUnheard`: no entry may tell of it yet, so for some time older entries and other daemons' lists do not end it.
void coldPresume(ColdLedger&, const std::string& replica, int64_t startedAtMillis, base::BootTime until,
    base::BootTime now, bool mayBeUnheard = false);

// Applies the list of the hub, or of another member (`isHub` false), which ends nothing. `asOf`: when it was current.
// False if something is known that may be newer, so that the list has to be applied again.
bool coldApplyRows(ColdLedger&, const std::vector<ColdRow>&, base::BootTime asOf, bool isHub, base::BootTime now);

// Drops replicas that are gone or have restarted, and those that are not cold any more. `startOf` as in ledgerPrune().
void coldPrune(
    ColdLedger&, const std::function<std::optional<int64_t>(const std::string& replica)>& startOf, base::BootTime now);

// ---- [3] Use -----------------------------------------------------------------------------------

// Until when this process of the replica is cold; empty: it is not, as far as is known.
std::optional<base::BootTime> coldUntil(
    const ColdLedger&, const std::string& replica, int64_t startedAtMillis, base::BootTime now);

std::vector<ColdRow> coldRows(const ColdLedger&, base::BootTime now);

// ---- [4] Rates ---------------------------------------------------------------------------------

constexpr base::Millis coldPermitWait { 500 };    // for which a permit to a cold replica is reserved ahead
constexpr base::Millis coldTakeoverDelay { 800 }; // until permits of a previous hub are used: wait and lifetime
constexpr base::Seconds coldShareIdleTime { 1 };  // without a call, after which a share's level is drawn again

// What a cold replica may get in any one second, of all daemons together: `excess` times its rate and `slack`.
struct ColdBound {
    double excess = 1.5;
    double slack = 5;
};

// The rate at which permits and shares stay within the bound, at most `perSecond`.
double coldPermitRate(double perSecond, const ColdBound&);

// As shareTake(). Daemons that have not asked for some time would all have a whole permit and use it at one moment, so
// an idle share does not exceed `randomFraction`.
PermitAnswer coldShareTake(PermitShare&, double rate, size_t members, double randomFraction, base::BootTime now);

} // namespace rattanshunt::limits

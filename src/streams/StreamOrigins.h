// Which version of the replicas' software began a stream that another replica may be asked to continue.
//
// Contents
//   [1] Origins         StreamOrigin, OriginTable, originRecord(), originFind(), originsExpire()
//   [2] Versions        VersionHistory, versionsSee(), versionsAreMixed()
//   [3] Take-ups        TakeUpKnowledge, TakeUp, takeUpDecide()
//
// Load pattern: two versions of a service serve side by side, all daemons are killed at once, and callers come back
// with hundreds of broken streams. What two versions write does not fit together, so a stream goes on only at the
// version that began it. The origins of streams have to outlive the daemons that served them, but only while a service
// has more than one version, or has had one within a stream's longest life.
//
// Q: Why is the version remembered and not computed from the request's id?  A: The shares of the versions change all
//    through a rollout, and a take-up does not say when its stream began. Half of the ids would be undecided in the
//    minute in which it matters. A rare model is held at one version only, whatever the id prefers, so that most
//    streams would be exceptions, and these must be remembered in time in any case.
// Q: Why are replicas not asked?  A: They name the requests that they run, and drop one whose connection has ended.
//
// Pure functions; the calling thread owns the data. Times are boot times, which advance while the machine is suspended.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/Time.h"

namespace rattanshunt::streams {

// ---- [1] Origins -------------------------------------------------------------------------------

constexpr base::Seconds originLifetime { 60 }; // since the stream's first event; callers give up earlier
constexpr size_t maxOrigins = 60000;

// Of the id of the request that brought the stream's first event.
using StreamKey = uint64_t;
StreamKey streamKey(const std::string& requestId);

struct StreamOrigin {
    std::string service;
    std::string version; // of the replica's software
    base::BootTime recordedAt {};
};

struct OriginTable {
    std::map<StreamKey, StreamOrigin> origins;
    std::deque<std::pair<base::BootTime, StreamKey>> order; // by time of recording
    uint64_t dropped = 0;                                   // beyond `maxOrigins`, before their lifetime was over
};

// The first record of a stream stays. Drops the oldest ones beyond `maxOrigins`.
void originRecord(OriginTable&, StreamKey, StreamOrigin);
std::optional<std::string> originFind(const OriginTable&, StreamKey, const std::string& service);
void originsExpire(OriginTable&, base::BootTime now);

// ---- [2] Versions ------------------------------------------------------------------------------

// When each version of a service was last listed.
using VersionHistory = std::map<std::string, std::map<std::string, base::BootTime>>;

void versionsSee(VersionHistory&, const std::string& service, const std::string& version, base::BootTime seenAt);

// Whether streams of more than one version may still be taken up.
bool versionsAreMixed(const VersionHistory&, const std::string& service, base::BootTime now);

// The only version whose streams may still be taken up; nothing if there are several or none.
std::optional<std::string> versionsOnly(const VersionHistory&, const std::string& service, base::BootTime now);

// ---- [3] Take-ups ------------------------------------------------------------------------------

struct TakeUpKnowledge {
    std::optional<std::string> version; // that began the stream, or the only one that may have begun it
    bool isRemembered = false;          // the stream's origin is known
};

struct TakeUp {
    bool mayContinue = false;
    std::string version; // at which alone the stream goes on, also if another one appears before it is sent
};

// A stream of unknown origin goes on only if all replicas that may have begun it had the same version. Whoever says so
// must know of the replicas that were listed when the take-up arrived: others may have begun streams at a version that
// this daemon has not heard of.
inline TakeUp takeUpDecide(const TakeUpKnowledge& knowledge)
{
    return { knowledge.version.has_value(), knowledge.version.value_or("") };
}

// Whether a daemon, a hub too, may say that a service has only one version. `freshAsOf`: when the read of the store was
// begun from which it knows. Any daemon may read the store between two reads of the hub, and begin streams at a version
// that the hub has not seen.
inline bool versionsAreKnown(base::BootTime freshAsOf, base::BootTime takenUpAt)
{
    return freshAsOf >= takenUpAt;
}

} // namespace rattanshunt::streams

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

// ---- [3] Take-ups ------------------------------------------------------------------------------

struct TakeUpKnowledge {
    std::optional<std::string> version; // that began the stream, if it is known
    bool isMixed = false;               // the service has several versions, or had them recently
};

struct TakeUp {
    bool mayContinue = false;
    std::optional<std::string> version; // at which alone the stream goes on; empty: at any, as there is only one
};

// A stream of unknown origin goes on only if all replicas that may have begun it had the same version.
inline TakeUp takeUpDecide(const TakeUpKnowledge& knowledge)
{
    return { knowledge.version || !knowledge.isMixed, knowledge.version };
}

} // namespace rattanshunt::streams

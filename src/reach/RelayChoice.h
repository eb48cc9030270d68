// Which other daemon carries a connection to a replica while this one has lost its links to all replicas.
//
// Load pattern: some or most daemons of a data centre lose all replicas at the same moment. Each asks daemons that it
// knows in random order; one that has lost them too, stops or carries enough refuses, and is not asked again for a
// while. A connection is carried over one daemon at most.
//
// Pure functions over plain structs; safe to call from any thread. Times are boot times.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Text.h"
#include "base/Time.h"

namespace rattanshunt::reach {

// The daemon that carries a connection.
struct Relay {
    std::string name;
    base::Address address;
    std::string tunnelId;
};

struct RelayOptions {
    base::Millis maxAskTime { 1500 };   // for all of them
    int maxAsked = 6;                   // daemons asked for one connection
    base::Millis askTimeout { 800 };    // for one of them, which may have to check its own links
    base::Millis refusedPause { 1000 }; // until one that refused is asked again
    base::Millis silentPause { 2000 };  // the same of one that did not answer
    size_t maxCarried = 100;            // connections that this daemon carries for others
    base::Millis endMargin { 1000 };    // after a request's deadline, for closing its connection
};

enum class RelayAnswer {
    Carries,
    Unable,        // another daemon may be able to
    ReplicaFailed, // the replica does not accept connections
    ReplicaBarred, // the daemon knows that the replica leaves or wants quiet
};

constexpr const char* relayLostReason = "lost";
constexpr const char* relayStoppingReason = "stopping";
constexpr const char* relayFullReason = "full";
constexpr const char* relayUnknownReason = "unknown_replica";
constexpr const char* relayConnectFailedReason = "connect_failed";

// By the reason that a daemon gave for its refusal; any other is the name of a replica's obstacle.
inline RelayAnswer relayAnswerOf(std::string_view why)
{
    if (why == relayConnectFailedReason)
        return RelayAnswer::ReplicaFailed;
    bool isUnable = why.empty() || why == relayLostReason || why == relayStoppingReason || why == relayFullReason
        || why == relayUnknownReason;
    return isUnable ? RelayAnswer::Unable : RelayAnswer::ReplicaBarred;
}

using RelayPauses = std::map<std::string, base::BootTime>; // by name: when it may be asked again

// A daemon that may be asked now, by a random number; empty: there is none.
inline std::optional<std::string> relayChoose(
    const std::map<std::string, base::Address>& daemons, const RelayPauses& pauses, base::BootTime now, uint64_t random)
{
    std::vector<std::string> free;
    for (const auto& [name, address] : daemons) {
        auto pause = pauses.find(name);
        if (pause == pauses.end() || now >= pause->second)
            free.push_back(name);
    }
    if (free.empty())
        return std::nullopt;
    return free[random % free.size()];
}

} // namespace rattanshunt::reach

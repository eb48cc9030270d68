// Daemon sessions, and the ownership that is derived from them.
//
// Contents
//   [1] Session         one KV record per daemon, bound to its only lease
//   [2] Ownership       rendezvous hashing over live sessions selects who should act
//
// Ownership here only selects who acts next. The right to act comes from a record that the owner has written with
// compare-and-swap.
//
// Pure functions; safe from any thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/Text.h"
#include "fleet/Mirror.h"

namespace rattanshunt::fleet {

// ---- [1] Session -------------------------------------------------------------------------------

enum class SessionState { Ready, Leaving };

struct Session {
    std::string name;        // of the daemon, unique in the fleet
    std::string incarnation; // random, new at each start
    base::Address peerAddress;
    base::Address adminAddress;
    std::string dataCenter;
    SessionState state = SessionState::Ready;
};

constexpr std::string_view sessionPrefix = "/rs/session/";
std::string sessionKvKey(std::string_view name);
std::string sessionToText(const Session&);
std::optional<Session> sessionFromText(const std::string& text);

// All sessions in the mirror, sorted by name. Skips malformed records.
std::vector<Session> sessionsRead(const Mirror&);

enum class SessionConflict {
    None,      // the record may be written
    Replace,   // another incarnation had the same address, so it has ended and may be replaced
    NameInUse, // another daemon holds the name
};

// Whether `mine` may overwrite the record that contains `present`.
SessionConflict sessionConflict(const Session& mine, const std::optional<Session>& present);

// ---- [2] Ownership -----------------------------------------------------------------------------

// Ready sessions in order of preference as owner of `resource`: first those of `dataCenter`, if given, then by hash.
std::vector<Session> ownersRank(
    const std::vector<Session>&, std::string_view resource, std::string_view dataCenter = {});

// The up to `count` daemons of `dataCenter` that watch the KV and poll the instance list for the others there.
std::vector<Session> relaysOf(const std::vector<Session>&, std::string_view dataCenter, size_t count);

} // namespace rattanshunt::fleet

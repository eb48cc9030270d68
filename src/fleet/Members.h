// Sessions of daemons and the ownership that follows from them.
//
// Contents
//   [1] Session         one record for each daemon, bound to its one lease in the KV
//   [2] Ownership       rendezvous hashing over live sessions: who should act
//
// Pure functions; safe from any thread. Ownership here only chooses who acts next. What an owner may do rests on a
// record that it has written by compare-and-swap.
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
    std::string name;        // of the daemon; unique in the fleet
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

// All sessions in the mirror, in order of name.
std::vector<Session> sessionsRead(const Mirror&);

enum class SessionConflict {
    None,      // the record may be written
    Replace,   // an earlier start at the same address: it is dead, replace it
    NameInUse, // another daemon holds the name
};

// Whether `mine` may take the record that holds `present`.
SessionConflict sessionConflict(const Session& mine, const std::optional<Session>& present);

// ---- [2] Ownership -----------------------------------------------------------------------------

// Sessions in order of preference for `thing`: ready ones of `dataCenter` first if it is given, then by hash.
std::vector<Session> ownersRank(
    const std::vector<Session>&, std::string_view resource, std::string_view dataCenter = {});

// The daemons of `dataCenter` that watch the KV and read the instance list for the others there.
std::vector<Session> relaysOf(const std::vector<Session>&, std::string_view dataCenter, size_t count);

} // namespace rattanshunt::fleet

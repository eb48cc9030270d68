// Golden session: all exchanges between caller, daemon, endpoint, peer and key-value service in a fixed session, in a
// stable text form that a test compares with a recorded file.
// Identifiers, varying numbers and addresses are replaced by placeholders. The callers' exchanges are listed in order,
// all others as a sorted set, because background exchanges repeat as often as time allows.
#pragma once

#include <string>

#include "net/Loop.h"

namespace rattanshunt::lab {

// Runs the session and returns its text. Suspends the calling fiber. Call once per process, before other sockets are
// used: the tap that records the exchanges is global.
std::string goldenSession(net::Loop&);

} // namespace rattanshunt::lab

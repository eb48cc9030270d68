// Golden sessions: everything that caller, daemon, endpoint, peer and key-value service say to each other in a fixed
// session, in a stable text form.
//
// Identifiers, numbers that vary and addresses are replaced by what they are; the callers' exchanges stand in their
// order, all others as a sorted set, because background exchanges repeat as often as time allows.
#pragma once

#include <string>

#include "net/Loop.h"

namespace rattanshunt::lab {

// Runs the session and gives its text. Suspends. Call once in a process, before other sockets are used.
std::string goldenSession(net::Loop&);

} // namespace rattanshunt::lab

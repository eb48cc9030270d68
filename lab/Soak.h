// A randomized soak: real gateway processes before stand-ins, faults from outside, promises checked while it runs.
//
// Everything random comes from one seed. The soak starts the processes, sends them signals and ends them, each by its
// identifier, and no others. Stand-ins, proxies and callers run in this process.
//
// What is checked, from what callers and replicas see:
//   whole      a success is exactly what the replica made, a stream has all its events once and in order
//   once       what may run once ran at most once
//   refusals   what was refused as not run has not run, now or later
//   keys       nothing runs with a key sent later than the limit after it was taken away
//   drain      nothing reaches a replica that was leaving for longer than the age that knowledge may have
//   usage      an account's tokens in any window stay within its limit and the tolerance
//   orders     no replica is overcommitted, no two holders use one fencing token
//   recovery   once faults have ended, callers are served again
//   processes  none ends without having been told to
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"
#include "net/Loop.h"

namespace rattanshunt::lab {

struct SoakOptions {
    uint64_t seed = 1;
    base::Seconds faultDuration { 20 }; // of the faults; recovery comes after it
    base::Seconds recoveryTime { 7 };   // until callers must be served again, and 3 s more in which they are
    int daemons = 3;
    int plainReplicas = 2;
    int engineReplicas = 3;
    int callers = 8;
    std::string program;   // path of the rattanshunt binary
    std::string directory; // for settings and logs; kept if the soak fails
};

struct SoakResult {
    std::vector<std::string> violations;
    std::vector<std::string> injectedFaults; // what was done, with times
    uint64_t requests = 0;
    uint64_t served = 0;
    uint64_t servedAfterRecovery = 0; // in the last 3 s
    uint64_t requestsAfterRecovery = 0;
};

// Precondition: called in a fiber of the loop.
SoakResult soakRun(net::Loop&, const SoakOptions&);

std::string soakText(const SoakOptions&, const SoakResult&);

} // namespace rattanshunt::lab

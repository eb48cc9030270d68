// Randomized soak test: gateway processes with simulated replicas and a simulated store, random faults, and invariants
// checked on what callers and replicas observe.
//
// All random choices come from one seed. The soak starts the gateway processes, signals and ends them by process
// identifier, and touches no other process. Stand-ins, proxies and callers run in this process.
//
// Invariants, by the prefix of their violations:
//   whole      a successful response is byte for byte the replica's; a stream has all its events once and in order
//   once       a request that may be executed at most once was not executed more often, also over its caller's tries
//   refusals   a request that was refused as not executed has not been executed, at that time or later
//   keys       no request is executed if it was sent longer after its key's revocation than the limit allows
//   drain      no request reaches a replica that has been draining for longer than a gateway's knowledge may be old
//   usage      an account's tokens in any time window stay within its quota plus the tolerance
//   orders     no replica is overcommitted, and no two hubs use the same fencing token
//   recovery   after the faults have ended, callers are served again
//   processes  no process exits without having been told to (reported under the process's name)
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"
#include "net/Loop.h"

namespace rattanshunt::lab {

struct SoakOptions {
    uint64_t seed = 1;
    base::Seconds faultDuration { 20 }; // time in which faults are injected
    base::Seconds recoveryTime { 7 };   // after the faults; the 3 s that follow are measured
    int daemons = 3;
    int plainReplicas = 2;
    int engineReplicas = 3;     // without any, callers send plain requests only
    int unreliableReplicas = 1; // plain ones that also restart; see UnreliableReplica.h
    int callers = 8;
    bool injectsFaults = true; // besides those of unreliable replicas
    std::string program;       // path of the rattanshunt binary
    std::string directory;     // for settings and logs; the caller keeps it if there are violations
};

struct SoakResult {
    std::vector<std::string> violations;
    std::vector<std::string> injectedFaults; // with seconds since the start
    std::chrono::system_clock::time_point startedAt {};
    uint64_t requests = 0;
    uint64_t served = 0;
    uint64_t servedAfterRecovery = 0; // in the last 3 s
    uint64_t requestsAfterRecovery = 0;
};

// Runs one soak. Suspends. Precondition: called in a fiber of the loop.
SoakResult soakRun(net::Loop&, const SoakOptions&);

// A summary, the violations and, if there are any, the injected faults.
std::string soakText(const SoakOptions&, const SoakResult&);

} // namespace rattanshunt::lab

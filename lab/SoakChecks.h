// Checks of a soak's invariants (see Soak.h) on what its callers sent and heard, and on what its replicas ran.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ReplicaStandIn.h"
#include "UnreliableReplica.h"

namespace rattanshunt::lab {

constexpr double soakAccountRate = 600;   // tokens per second
constexpr double soakAccountBurst = 2000; // tokens
constexpr double soakQuotaSlack = 4000;   // tokens; the --quota_slack of the daemons
constexpr base::Millis soakMaxRevocationDelay { 5000 };

// One sending of a request. A caller sends a request again, with the same id, after a refusal.
struct SoakTry {
    std::string gateway;
    base::TimePoint sentAt {};
    base::TimePoint heardAt {};
    int status = 0; // 0: none
};

struct SentRequest {
    std::string route;
    std::string apiKey;
    std::vector<SoakTry> tries;
};

struct SoakRecord {
    base::TimePoint startedAt {};
    std::vector<std::unique_ptr<ReplicaStandIn>> replicas;
    std::vector<std::unique_ptr<UnreliableReplica>> unreliableReplicas;
    std::map<std::string, SentRequest> sentRequests;  // by requestKey()
    std::map<std::string, base::TimePoint> revokedAt; // by key
};

bool isRefusal(int status); // a promise that the request has not been executed and never will be

// The violations of "once", "refusals", "keys", "drain", "usage" and "orders". Those of the first two are followed by a
// timeline of the request.
std::vector<std::string> soakViolations(const SoakRecord&);

} // namespace rattanshunt::lab

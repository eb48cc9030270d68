// Simulated plain replica that breaks the order of its responses and connections as real servers, kernels and networks
// do, at random: it writes a refusal once more before a later response, leaves ids out, answers and resets, or closes
// before, in or after an answer. It counts what it ran.
//
// Thread safety: use from the loop's thread only.
#pragma once

#include <map>
#include <random>
#include <string>

#include "ByteStandIn.h"

namespace rattanshunt::lab {

struct UnreliableReplicaOptions {
    std::string id = "u-1";
    uint64_t seed = 1;
    double refusedFraction = 0.3;      // of requests, which it does not run
    double copiedFraction = 0.7;       // of refusals, that it writes once more before the connection's next response
    double unidentifiedFraction = 0.5; // of refusals, without a Request-Id
    double brokenFraction = 0.15;      // of the others, at which the connection ends early
    base::Millis processingTime { 5 };
};

class UnreliableReplica {
public:
    UnreliableReplica(net::Loop&, UnreliableReplicaOptions);

    bool listen(std::string& error);
    void stop() { m_server.stop(); }
    void makeReliable(); // answers all requests in order from now on

    std::string entry() const;                                        // its directory entry
    const std::map<std::string, int>& runs() const { return m_runs; } // by request id
    const std::string& id() const { return m_options.id; }

private:
    void respond(ByteConnection&, const net::HttpRequest&);
    bool draw(double fraction);
    std::string refusal(const std::string& requestId);

    UnreliableReplicaOptions m_options;
    std::mt19937_64 m_random;
    std::map<ByteConnection*, std::string> m_copies; // bytes to be written before the connection's next response
    std::map<std::string, int> m_runs;
    ByteStandIn m_server;
};

} // namespace rattanshunt::lab

// Simulated plain replica that breaks the order of its responses and connections as real servers, kernels and networks
// do, at random: it writes a refusal once more, late, also while the connection's next request runs; leaves ids out;
// answers and resets, or closes before, in or after an answer; is full for a while; and restarts under another id at
// its address. It records what it ran, refused and wrote.
//
// Thread safety: use from the loop's thread only.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "ByteStandIn.h"

namespace rattanshunt::lab {

struct UnreliableReplicaOptions {
    std::string id = "u-1";
    uint64_t seed = 1;
    double refusedFraction = 0.3;      // of requests, which it does not run
    double fullFraction = 0.02;        // of requests, at which it refuses all for up to maxFullTime
    double copiedFraction = 0.7;       // of refusals, that it writes again, up to maxCopies times
    double lateFraction = 0.6;         // of copies with an id, that it writes at a time of their own
    double unidentifiedFraction = 0.3; // of refusals, without a Request-Id
    double brokenFraction = 0.15;      // of the others, at which the connection ends early
    int maxCopies = 2;
    base::Millis maxCopyDelay { 24 }; // of late copies; the others come before the connection's next response
    base::Millis maxFullTime { 200 };
    base::Millis maxProcessingTime { 12 };
};

struct UnreliableReplicaEvent {
    base::TimePoint at {};
    std::string request; // requestKey()
    int connection = 0;  // counted from 1
    std::string text;
    bool isCopy = false;
};

class UnreliableReplica {
public:
    UnreliableReplica(net::Loop&, UnreliableReplicaOptions);

    bool listen(std::string& error);
    void stop() { m_server.stop(); }
    void makeReliable();                 // answers all requests in order from now on
    void restart(const std::string& id); // ends its connections, and goes on at the same address

    std::string entry() const;                                        // its directory entry
    const std::map<std::string, int>& runs() const { return m_runs; } // by requestKey()
    const std::vector<UnreliableReplicaEvent>& events() const { return m_events; }
    const std::string& id() const { return m_options.id; }

private:
    struct ConnectionRecord {
        std::weak_ptr<ByteConnection> connection;
        int number = 0;
        std::string copies;   // to be written before the next response
        std::string copiesOf; // of whose refusals
    };

    void respond(ByteConnection&, const net::HttpRequest&);
    void answer(ByteConnection&, const net::HttpRequest&, const ConnectionRecord&);
    void copyRefusal(ConnectionRecord&, const std::string& key, const std::string& text, bool isIdentified);
    void record(const std::string& key, int connectionNumber, const std::string& text, bool isCopy = false);
    bool draw(double fraction);
    base::Millis drawTime(base::Millis maxTime); // at least 1 ms

    net::Loop& m_loop;
    UnreliableReplicaOptions m_options;
    std::mt19937_64 m_random;
    std::map<ByteConnection*, ConnectionRecord> m_connections;
    std::map<std::string, int> m_runs;
    std::vector<UnreliableReplicaEvent> m_events;
    base::TimePoint m_fullUntil {};
    int m_lastConnection = 0;
    bool m_isReliable = false;
    ByteStandIn m_server;
};

} // namespace rattanshunt::lab

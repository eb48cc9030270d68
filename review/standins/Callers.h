// Clients of the review's scripts: each keeps one connection to one daemon and sends its next request when the last
// one has been answered.
#pragma once

#include <map>
#include <random>
#include <string>

#include "Fleet.h"

namespace rattanshunt::review {

struct SentRequest {
    std::string id;
    std::string daemon;
    std::string route;
    std::string model;
    bool isOnKeptConnection = false; // the connection had carried an answer before
    double sentAt = 0;               // seconds since the start
    double endedAt = 0;
    int status = 0;    // 0: the connection ended without an answer
    std::string error; // of the connection
};

struct CallerOptions {
    int callersPerDaemon = 4;
    std::vector<std::pair<std::string, std::string>> kinds; // route and model, in turn
    base::Millis pause { 20 };                              // between an answer and the next request
    size_t bodyBytes = 0;                                   // 0: a short body
    std::string idPrefix = "0000";                          // of the requests' ids
};

class Callers {
public:
    Callers(net::Loop&, Fleet&, Record&, CallerOptions);

    void start();
    void stop(); // waits for the requests under way. Suspends.

    const std::map<std::string, SentRequest>& sent() const { return m_sent; }
    size_t servedCount() const;

private:
    void callerLoop(Daemon&, int number);

    net::Loop& m_loop;
    Fleet& m_fleet;
    Record& m_record;
    CallerOptions m_options;
    std::map<std::string, SentRequest> m_sent; // by id
    uint64_t m_lastId = 0;
    int m_running = 0;
    bool m_isDone = false;
};

} // namespace rattanshunt::review

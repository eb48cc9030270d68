// A small deployment with the stand-ins of Lab.h: the store, its configuration, replicas of a plain service, gateways.
#pragma once

#include "Lab.h"

namespace review {

constexpr const char* siteHost = "ficu95.example";
constexpr const char* siteKey = "i9n73hh2b9wu3fexd9dn";
constexpr const char* otherKey = "n2ctnfzs989anu6wsjnb";

// The operator's configuration: /send/ (at most once), /status/ (may be repeated) at the service "dispatch", and
// /draft/ (a stream) at the engine service "drafter" with `models`. The limits are those of the users' example.
Json configuration(const Json& models = Json::array(), double weightsMb = 200000);

// A request that a caller of the deployment sends.
Request siteRequest(const std::string& method, const std::string& path, const std::string& id,
    const std::string& body = "", int deadlineMs = 4000);

// What a replica of the service "dispatch" has run.
struct Run {
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    double at = 0;
};

// A replica of the service "dispatch" that writes its entry to the store as the pages say.
class PlainReplica {
public:
    PlainReplica(std::string id, Store&, Record&, Millis work = Millis(40));
    ~PlainReplica();
    std::vector<Run> runs();

private:
    std::optional<Response> handle(const Request&);

    std::string m_id;
    Store& m_store;
    Record& m_record;
    Millis m_work;
    int64_t m_bornMillis = unixMillis();
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<bool> m_isStopped = false;
    Server m_server;
    std::thread m_beats;
};

// Plays the platform for one machine: ends a process that exceeds the machine's memory, and starts ended ones again.
class Machine {
public:
    Machine(Gateway&, Record&, int memoryMb);
    ~Machine();
    int ends() const { return m_ends; } // of the process, none of which the script asked for
    size_t peakBytes() const { return m_peakBytes; }

private:
    void watch();

    Gateway& m_gateway;
    Record& m_record;
    int m_memoryMb;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_ends = 0;
    std::atomic<size_t> m_peakBytes = 0;
    std::thread m_thread;
};

// Sends one ordinary request after another, each on a connection of its own, until `isStopped`.
void callInTurn(
    Gateway&, Record&, const std::atomic<bool>& isStopped, std::atomic<int>& answered, std::atomic<int>& unanswered);

} // namespace review

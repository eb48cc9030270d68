// A model replica of the users' platform, as their pages describe it: reports, orders with a fence and an expected
// count, streams of events. It can leave a share of its orders unanswered and carry them out late, and crash and start
// again under its identifier.
//
// Call from the loop's thread only.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "Fleet.h"
#include "net/Http.h"

namespace rattanshunt::review {

struct EngineReplicaOptions {
    std::string id;
    std::string service = "engine";
    std::string version = "v1"; // of its software
    double weightsMb = 140000;
    std::map<std::string, double> modelMb;
    std::set<std::string> loaded;  // at the first start
    base::Millis loadTime { 840 }; // from the replica's disk
    base::Millis timePerEvent { 20 };
    int events = 10;
};

class EngineReplica {
public:
    EngineReplica(net::Loop&, lab::StoreStandIn&, Record&, EngineReplicaOptions);

    bool start();   // listens, writes its entry, and writes it again in each interval
    void crash();   // closes all connections; its entry lapses after three intervals
    void restart(); // a new lifetime under the same identifier, with nothing loaded; its disk is kept
    // The same under another identifier, with another version of the software.
    void restartAs(const std::string& id, const std::string& version);
    void setLate(int everyNth, base::Millis delay); // orders that get no answer; 0: none

    bool wasOvercommitted() const { return m_wasOvercommitted; }
    int servedCount() const { return m_servedCount; }
    bool holds(const std::string& model) const { return m_loaded.contains(model); }
    int unansweredCount() const { return m_unansweredCount; }
    int orderCount() const { return m_orderCount; }

private:
    bool listen();
    void publish();
    void handle(net::HttpExchange&);
    void handleOrder(net::HttpExchange&);
    int execute(const nlohmann::json& order, const std::string& when);
    nlohmann::json models() const;

    net::Loop& m_loop;
    lab::StoreStandIn& m_store;
    Record& m_record;
    EngineReplicaOptions m_options;
    base::Address m_address { "127.0.0.1", 0 };
    std::optional<net::HttpServerHandle> m_server;
    int64_t m_bornMillis = 1700000000000;
    int64_t m_sequence = 0;      // accepted orders
    int64_t m_entrySequence = 0; // entries written
    int64_t m_highestFence = 0;
    std::set<std::string> m_loaded;
    std::string m_loading;
    bool m_isUp = false;
    bool m_wasOvercommitted = false;
    int m_lateEveryNth = 0;
    base::Millis m_lateDelay { 0 };
    int m_orderCount = 0;
    int m_unansweredCount = 0;
    int m_running = 0;
    int m_servedCount = 0;
};

} // namespace rattanshunt::review

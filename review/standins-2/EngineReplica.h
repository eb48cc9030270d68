// A replica of the engine service "drafter": loads and unloads models by orders, streams answers, reports its state as
// of a moment ago, and may leave one order unanswered and carry it out late. It can crash and start again under its id.
#pragma once

#include "Deployment.h"

namespace review {

struct EngineModel {
    double weightsMb = 0;
    Millis storeTime { 6000 };
    Millis diskTime { 840 };
};

struct EngineOptions {
    std::string id;
    double weightsMb = 140000;
    std::map<std::string, EngineModel> models;
    std::set<std::string> loaded; // at the first start
    std::set<std::string> onDisk;
    int events = 13; // of an answer
    Millis eventGap { 100 };
    std::string lateModel; // the first order to load it is not answered and carried out late; empty: none
    Millis lateBy { 0 };
};

class EngineReplica {
public:
    EngineReplica(EngineOptions, Store&, Record&);
    ~EngineReplica();

    void start();             // also after a crash: empty, with its disk, under the same id
    void crash(bool isAsked); // its entry stays until the store drops it after three intervals of silence
    bool isUp();
    bool hasLateOrder(); // one was left unanswered
    bool hasOverflown(); // an order to load more than it holds was carried out
    int cutStreams();    // answers that were under way at a crash of its own

private:
    struct State {
        std::set<std::string> loaded;
        int64_t sequence = 0;
        int64_t fence = 0;
        std::string loading;
        bool isBusy = false;
        int running = 0;
    };

    std::optional<Response> handle(const Request&, Connection&);
    std::optional<Response> stream(const Request&, Connection&);
    std::optional<Response> order(const Request&);
    Response execute(const Json& order);
    Json report(const State&) const;
    double heldMb(const State&) const;
    void beat();
    void tick();

    EngineOptions m_options;
    Store& m_store;
    Record& m_record;
    std::mutex m_mutex;
    State m_state;
    State m_reported; // as of a moment ago
    int64_t m_bornMillis = 0;
    int64_t m_beats = 0;
    int m_life = 0;
    bool m_hasLateOrder = false;
    bool m_hasOverflown = false;
    int m_cutStreams = 0;
    Clock::time_point m_lastBeat {};
    bool m_isListed = false;
    std::shared_ptr<Server> m_server; // null while it is down
    std::vector<std::shared_ptr<Server>> m_stoppedServers;
    std::atomic<bool> m_isStopped = false;
    std::thread m_ticker;
};

} // namespace review

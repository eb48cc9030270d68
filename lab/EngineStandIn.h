// Stand-in for a model engine: orders, memory, batching with priorities, streams, lagging load reports, faults.
//
//   POST /v1/completions     GET /state     POST /orders
//   POST /faults             {"silent_after": n, "cut_after": n, "delay_orders_ms", "foreign_answers": bool, "crash":
//   bool}
//
// The text of an answer follows from prompt and position, so that a caller can check each token: answerToken().
#pragma once

#include <memory>
#include <string>

#include "net/Http.h"

namespace rattanshunt::lab {

struct EngineStandInOptions {
    base::Address listen { "127.0.0.1", 0 };
    std::string id = "engine";
    std::string bootId = "boot";
    int64_t memoryBytes = 100;
    int batchSlots = 8;                 // requests in one batch
    base::Micros timePerToken { 1000 }; // for one token of each running request
    base::Millis loadTime { 500 };      // at full speed of the weight store
    base::Millis adapterLoadTime { 8 };
    bool checksFencing = true;
    std::string platformAddress; // IP:PORT of the weight store; empty: loads take loadTime
    bool startsLoaded = false;   // serves any model without an order, for overhead measurements
};

std::string generatedToken(const std::string& prompt, size_t position);

class EngineStandIn {
public:
    EngineStandIn(net::Loop&, const EngineStandInOptions&);
    ~EngineStandIn();

    bool listen(base::Address& address, std::string& error);
    void stop();

    // Ends at once: answers under way are cut, nothing is accepted any more.
    void crash();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

// Simulated model engine: load and unload orders with fencing, memory accounting, batching by priority, streamed
// completions, load reports in response headers (as of the start of the response, so they lag), injected faults.
//
//   POST /v1/completions     completion; streamed if "stream" is true
//   GET  /state              models, memory, queue, fencing and counters
//   POST /orders             loads or unloads a model or an adapter
//   POST /faults             {"silent_after": n, "cut_after": n, "delay_orders_ms": n, "foreign_answers": bool,
//                            "dribble_after": n, "endless_after": n, "trailing": bool, "token_us": n}
//
// "silent_after": a stream stops producing after n tokens without closing; -1 ends the fault. "cut_after": the next
// stream that gets past n tokens is closed without an end mark. "delay_orders_ms": wait before an order is processed.
// "foreign_answers": responses carry the identifier of another request. "dribble_after": a stream sends after n tokens
// only a byte now and then. "endless_after": after n tokens it sends one event without end. "trailing": after its end
// mark a stream goes on to send a byte now and then. -1 and false end a fault.
//
// Every generated token is a function of the prompt and the token's position, so a caller can verify each one with
// generatedToken(). Thread safety: use from the loop's thread only.
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
    int batchSlots = 8;                 // maximum number of requests in a batch
    base::Micros timePerToken { 1000 }; // to generate one token for every request in the batch
    base::Millis loadTime { 500 };      // of a model, at full speed of the weight store
    base::Millis adapterLoadTime { 8 }; // loaded without the weight store
    bool checksFencing = true;          // rejects orders with an outdated fencing token
    std::string platformAddress;        // IP:PORT of the weight store; if empty, every load takes loadTime
    bool startsLoaded = false;          // serves any model without a load order, for overhead measurements
};

// The text of the token that the engine generates at `position` (from 0) of the completion of `prompt`.
std::string generatedToken(const std::string& prompt, size_t position);

class EngineStandIn {
public:
    EngineStandIn(net::Loop&, const EngineStandInOptions&);
    ~EngineStandIn();

    // Listens on `address` and sets it to the bound address. Returns false and sets `error` on failure.
    bool listen(base::Address& address, std::string& error);
    void stop();

    // Simulates a crash: aborts responses in progress and accepts no more connections.
    void crash();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab

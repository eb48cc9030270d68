// The callers' side of one traffic thread: takes requests from their first byte to their settled end.
//
// Contents
//   [1] Entry           serves the callers' address
//
// A request's life: limits, key, account, route, tokens, replica, a last check of the key, sending, passing the answer
// on, settling. Whatever happens, the caller gets one of three things: the whole answer, a refusal that says that
// nothing was run, or "outcome unknown".
//
// Q: Which requests are repeated?  A: Completions, from the token after the last one delivered, and calls of routes
// that
//    operators marked repeatable; within the daemon's retry budget. A call that may not be repeated is sent once.
//
// Own thread only.
#pragma once

#include <memory>
#include <mutex>

#include "entry/DaemonContext.h"
#include "net/Http.h"

namespace rattanshunt::entry {

// ---- [1] Entry ---------------------------------------------------------------------------------

class RequestServer {
public:
    RequestServer(net::Loop&, DaemonContext&);
    ~RequestServer();

    // Listens on the callers' address. False if it cannot be bound; `error` says why.
    bool listen(base::Address& address, std::string& error);

    void stopAccepting();

    // Cuts all connections to callers and endpoints.
    void abort();
    size_t requestsInFlight() const;
    size_t connectionCount() const;

    // Returns borrowed tokens. Call when no request is under way.
    void returnTokens();

    // Adds what this thread recorded to `book`. Safe from any thread.
    void addRequestStatsTo(reports::RequestStats& stats) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanshunt::entry

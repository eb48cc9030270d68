// HTTP server for callers on one traffic thread.
//
// Each request passes these steps: limits, API key, client account, route, token reservation, choice of a replica, a
// second check of the key, sending, forwarding of the response, settlement of the tokens. The caller always gets one of
// three outcomes: the complete response, a refusal which states that nothing was executed, or "outcome unknown".
//
// Q: Which requests are retried?
// A: Completions, which resume after the last token delivered, and calls of routes that operators marked repeatable.
//    Retries are limited by the daemon's retry budget. Any other call is executed at most once.
//
// All methods must be called on the server's own traffic thread, except where noted.
#pragma once

#include <memory>
#include <mutex>

#include "entry/DaemonContext.h"
#include "net/Http.h"

namespace rattanshunt::entry {

class RequestServer {
public:
    RequestServer(net::Loop&, DaemonContext&);
    ~RequestServer();

    // Listens on `address` and sets it to the address that was bound. False if it cannot be bound; `error` says why.
    bool listen(base::Address& address, std::string& error);

    void stopAccepting();

    // Stops accepting and closes all connections to callers and endpoints.
    void abort();
    size_t requestsInFlight() const;
    size_t connectionCount() const;

    // Returns borrowed tokens to the budget. Precondition: no request is in flight.
    void returnTokens();

    // Adds this thread's request statistics to `stats`. Safe from any thread.
    void addRequestStatsTo(reports::RequestStats& stats) const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanshunt::entry

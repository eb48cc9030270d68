// Opens connections to replicas, and knows whether this daemon reaches any. While it has lost them all, other daemons
// carry its connections.
//
// Contents
//   [1] Options         DialerOptions, RelayedConnection
//   [2] ReplicaDialer
//
// A connection that fails, or silence while requests wait, begins a check: connections to other replicas, of which one
// that opens ends the doubt. If none does, other daemons are asked whether they reach one of these replicas; if one
// does, this daemon has lost its links, and checks again at a fixed interval. Decisions are in ReplicaReach.h and
// RelayChoice.h.
//
// All methods: own thread only. Those marked "suspends" need a fiber.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "hub/HubSync.h"
#include "net/Http.h"
#include "reach/RelayChoice.h"
#include "reach/ReplicaReach.h"

namespace rattanshunt::reach {

// ---- [1] Options -------------------------------------------------------------------------------

struct DialerOptions {
    net::ConnectOptions connect; // of all connections to replicas
    ReachOptions reach;
    RelayOptions relay;
};

// A connection that another daemon carries, or why there is none.
struct RelayedConnection {
    RelayAnswer answer = RelayAnswer::Unable;
    std::unique_ptr<net::HttpConnection> connection; // open; set if `answer` is Carries
    Relay relay;
};

// ---- [2] ReplicaDialer -------------------------------------------------------------------------

uint64_t randomNumber();

class ReplicaDialer {
public:
    ReplicaDialer(net::Loop&, DialerOptions, hub::HubSync&);

    // -- commands --
    // Called with connections that a check has opened, which have carried no request. Must not suspend.
    void setSpareSink(std::function<void(std::unique_ptr<net::HttpConnection>)>);

    // Called after each check while this daemon has lost all replicas, and when it reaches one again. Must not suspend.
    void subscribe(std::function<void()> onChange);

    // Opens a connection that is not open yet, until `deadline`, or until this daemon has lost all replicas. Suspends.
    net::HttpCallError connect(net::HttpConnection&, base::TimePoint deadline);

    // Has another daemon open a connection to a replica, for one request that ends by `deadline`. Suspends.
    RelayedConnection openRelayed(const gateway::ReplicaEntry&, base::BootTime deadline);

    // How the connection that a daemon carried has ended. Suspends.
    net::TunnelEnd relayedEnd(const Relay&);

    // Tells the daemon what the replica has said over the connection. Does not suspend.
    void passStatement(const Relay&, const gateway::ReplicaEntry&, const directory::ReplicaStatement&);

    // Call when a connection to `replica` was refused or has ended without an answer. Returns whether this daemon
    // reaches other replicas. Suspends for a check if nothing recent shows that.
    bool confirmReach(const base::Address& replica);

    // Call when bytes have arrived from a replica.
    void recordHeard();

    // Call while requests wait for bytes from replicas, since `waitingSince`. Begins a check if it is due.
    void checkSilence(base::BootTime waitingSince);

    void stopCarrying() { m_mayCarry = false; } // new connections for other daemons
    void stop() { m_isStopping = true; }

    // -- queries --
    std::unique_ptr<net::HttpConnection> create(const base::Address&) const;
    bool hasLostReplicas() const { return m_reach.isLost; }
    size_t carriedCount() const; // connections that this daemon carries for others now

private:
    std::vector<gateway::ReplicaEntry> checkTargets(const base::Address& except) const;
    bool anySucceeds(std::vector<std::function<bool()>> tries);
    bool dialForCheck(const base::Address&);
    bool othersReach(const std::vector<gateway::ReplicaEntry>&);
    void runCheck(const base::Address& except);
    void recordLost(base::BootTime checkBegunAt, const base::Address& except);
    void recheckLoop();
    net::TunnelResult askToCarry(
        const Relay&, const gateway::ReplicaEntry&, base::Duration timeLeft, bool isProbe, base::Duration timeout);
    net::TunnelPlan planTunnel(const std::string& from, const nlohmann::json& request);
    void recordConnected();
    void notify();

    net::Loop& m_loop;
    DialerOptions m_options;
    hub::HubSync& m_hubSync;
    std::function<void(std::unique_ptr<net::HttpConnection>)> m_spareSink;
    std::vector<std::function<void()>> m_subscribers;
    ReplicaReach m_reach;
    RelayPauses m_relayPauses;
    std::set<net::HttpConnection*> m_connecting;
    std::vector<net::Event*> m_checkWaiters;
    bool m_isChecking = false;
    bool m_isRechecking = false;
    bool m_isStopping = false;
    bool m_mayCarry = true;
};

} // namespace rattanshunt::reach

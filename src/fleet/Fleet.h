// A daemon's membership in the fleet: its session, its copy of the coordination records and its calls to peers.
//
// Contents
//   [1] FleetOptions
//   [2] Fleet           runs on the control thread
//
// In each data centre two daemons (relays) watch the KV and poll the instance list. The others long-poll a relay for
// changes. A daemon that cannot reach a relay asks any other daemon, and finally the platform itself.
//
// All methods: control thread only. Those marked "suspends" need a fiber.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/Kv.h"
#include "fleet/Members.h"
#include "fleet/Mirror.h"
#include "net/PeerNetwork.h"

namespace rattanshunt::fleet {

// ---- [1] FleetOptions --------------------------------------------------------------------------

struct FleetOptions {
    Session self; // with peerAddress and adminAddress as reachable by others
    std::string instanceId;
    std::vector<base::Address> instanceListAddresses; // servers of the instance list
    std::vector<base::Address> seeds;                 // peers to ask at startup
    base::Seconds sessionTtl { 10 };
    base::Millis freshnessLimit { 2500 };   // a key withdrawal takes effect within this time
    base::Millis headCheckInterval { 500 }; // between two reads of the KV's head revision by a relay
    base::Millis syncLongPollTime { 500 };  // how long a peer may wait for a change before it answers
    size_t relaysPerDataCenter = 2;
    size_t maxMembersAsked = 64; // per round of calls while the mirror is not confirmed to be current
};

// Answers a call of the peer `from`. May suspend.
using PeerMethod = std::function<nlohmann::json(const std::string& from, const nlohmann::json& body)>;

// ---- [2] Fleet ---------------------------------------------------------------------------------

class Fleet {
public:
    Fleet(net::Loop&, FleetOptions, coordination::Kv&, net::PeerNetwork&);
    ~Fleet();

    // -- commands --

    // Loads the records, starts the loops and writes the session. Suspends until the daemon is a member, serves its
    // peers' data because the KV is down, or is told to stop. False if it was told to stop.
    bool join();

    // Marks the session as leaving, so that this daemon is assigned no new work. Suspends.
    void announceLeaving();

    // Revokes the session's lease and ends the loops. Suspends.
    void leave();

    // Ends the loops and notifies nobody; the session stays until its lease expires.
    void stop();

    // Registers the handler of a method that peers can call.
    void addMethod(const std::string& name, PeerMethod);

    // Answers a peer's call; returns a discarded value if the method is unknown.
    nlohmann::json handleCall(const std::string& from, const std::string& method, const nlohmann::json& body);

    // Makes a running join() return. May be called from handlers.
    void requestStop();

    // Calls `onChange` right after each change of the mirror, in the fiber that made it. It must not suspend.
    void subscribe(std::function<void()> onChange);

    // Enforces a key withdrawal here at once and sends it to all members. Returns the number of daemons that have it,
    // including this one. Suspends.
    size_t withdrawKey(const std::string& keyName);

    // Applies a record that this daemon has just written to the mirror, without waiting for the watch.
    void applyOwnWrite(const std::string& key, const std::string& value, Revision modRevision);

    // -- queries --
    const Mirror& mirror() const;
    const std::vector<Session>& sessions() const; // as in the mirror
    const Session& self() const;
    std::optional<Session> sessionNamed(const std::string& name) const;
    bool isMember() const; // the mirror holds the session of this incarnation
    bool isRelay() const;
    bool isStopped() const;
    Freshness freshness(base::TimePoint now) const;

    // Until when requests with a key may be served on the current data; default if there is none yet.
    base::TimePoint serveUntil(base::TimePoint now) const;

    // True if the daemon's incarnation is known to have ended: another incarnation has a session at its address, or
    // the instance list says that its instance is gone. False means unknown.
    bool hasProofOfEnd(const base::Address&, const std::string& incarnation, const std::string& instanceId) const;

    coordination::Kv& kv();
    net::PeerNetwork& peers();
    net::Loop& loop();
    const FleetOptions& options() const;

    struct Impl;

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::fleet

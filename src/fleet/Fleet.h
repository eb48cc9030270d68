// A daemon's part in the fleet: its session, its copy of the platform's records, its links to the other daemons.
//
// Contents
//   [1] FleetOptions
//   [2] Fleet           runs on the control thread
//
// Two daemons of each data centre (relays) watch the KV and read the instance list; the others ask a relay with a call
// that waits for a change. Who cannot reach a relay asks any other daemon, and at last the platform itself.
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
    Session self; // peerAddress and adminAddress as others reach them
    std::string instanceId;
    std::vector<base::Address> instanceListAddresses; // for the instance list
    std::vector<base::Address> seeds;                 // peers to ask at start
    base::Seconds sessionTtl { 10 };
    base::Millis freshnessLimit { 2500 };
    base::Millis headCheckInterval { 500 };
    base::Millis syncLongPollTime { 500 }; // how long a peer waits for a change before it answers
    size_t relaysPerDataCenter = 2;
    size_t maxMembersAsked = 64; // at most, in one round while the KV's head is not known
};

using PeerMethod = std::function<nlohmann::json(const std::string& from, const nlohmann::json& body)>;

// ---- [2] Fleet ---------------------------------------------------------------------------------

class Fleet {
public:
    Fleet(net::Loop&, FleetOptions, coordination::Kv&, net::PeerNetwork&);
    ~Fleet();

    // -- commands --

    // Learns the records, writes the session and starts the loops. Suspends until the daemon is a member or `stop`
    // was called. False if it was stopped before.
    bool join();

    // Marks the session as leaving, so that nothing new is given to this daemon. Suspends.
    void announceLeaving();

    // Removes the session and ends the loops. Suspends.
    void leave();

    // Ends the loops without a word to anybody.
    void stop();

    // Registers the answer to a peer's call.
    void addMethod(const std::string& name, PeerMethod);

    // Answers a peer's call; a discarded value if the method is not known.
    nlohmann::json handleCall(const std::string& from, const std::string& method, const nlohmann::json& body);

    // Makes a join() under way return. Safe in handlers.
    void requestStop();

    // Calls `onChange` after each change of the mirror, outside any suspension.
    void subscribe(std::function<void()> onChange);

    // Enforces a withdrawal here at once and tells all members. Gives how many have it, this one among them. Suspends.
    size_t withdrawKey(const std::string& keyName);

    // Takes in a record that this daemon has just written, without waiting for the watch.
    void applyOwnWrite(const std::string& key, const std::string& value, Revision modRevision);

    // -- queries --
    const Mirror& mirror() const;
    const std::vector<Session>& sessions() const; // as in the mirror
    const Session& self() const;
    std::optional<Session> sessionNamed(const std::string& name) const;
    bool isMember() const; // the mirror holds this start's session
    bool isRelay() const;
    bool isStopped() const;
    Freshness freshness(base::TimePoint now) const;
    base::TimePoint serveUntil(base::TimePoint now) const; // until when keyed requests may be served on what is known

    // True if the daemon that started as `incarnation` has ended: its address serves a newer start, or the platform's
    // list says that its instance is gone.
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

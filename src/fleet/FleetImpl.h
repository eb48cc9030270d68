// Internal to fleet/: the state of Fleet and the fibers that keep it up to date. Control thread only.
#pragma once

#include "fleet/Fleet.h"

#include "base/Counters.h"
#include "base/Log.h"
#include "coordination/KvCodec.h"

namespace rattanshunt::fleet {

using base::LogLevel;
using coordination::KvError;
using coordination::KvEvent;
using nlohmann::json;

inline constexpr base::Millis retryDelay { 300 };            // after a failed call or an ended watch
inline constexpr base::Millis instanceListInterval { 1000 }; // between two list reads, and the time-out of one
inline constexpr base::Millis roleCheckInterval { 200 };     // between two checks whether this daemon is a relay
inline constexpr base::Millis peerCallMargin { 1000 };       // of a call's time-out beyond the wait asked of the peer
inline constexpr base::Millis staleRefreshInterval { 500 };  // between two rounds of calls while the mirror is stale
inline constexpr base::Millis nameConflictDelay { 1000 };    // before the next attempt when another daemon has the name
inline constexpr int renewalsPerSession = 3;                 // per lease TTL

struct Fleet::Impl : std::enable_shared_from_this<Fleet::Impl> {
    Impl(net::Loop& ownLoop, FleetOptions fleetOptions, coordination::Kv& ownKv, net::PeerNetwork& network)
        : loop(ownLoop)
        , options(std::move(fleetOptions))
        , kv(ownKv)
        , peers(network)
    {
    }

    net::Loop& loop;
    FleetOptions options;
    coordination::Kv& kv;
    net::PeerNetwork& peers;
    Mirror mirror;
    std::vector<Session> sessions;
    std::map<std::string, PeerMethod> methods;
    std::vector<std::function<void()>> subscribers;
    std::vector<net::Event*> changeWaiters;
    std::map<std::string, base::TimePoint> lastExchangeAt; // by member: when the last merged answer was requested

    // Head revisions of the KV that the mirror had not reached when they were read, with the time of the request.
    std::vector<std::pair<Revision, base::TimePoint>> pendingHeads;
    int64_t lease = 0;
    bool isStopped = false;
    bool isStopRequested = false; // join() returns false
    bool isWatching = false;      // as a relay
    bool isLeaving = false;
    size_t relayIndex = 0; // advances to another relay after a failed sync

    // ---- Changes of the mirror -------------------------------------------------------------------

    // Runs `update` and notifies subscribers and waiting peers if it changed the mirror.
    template <typename Update> void applyChange(Update&& update)
    {
        uint64_t before = mirror.changeCount;
        update();
        processPendingHeads();
        if (mirror.changeCount == before)
            return;
        pruneWithdrawnKeys();
        sessions = sessionsRead(mirror);
        for (auto& subscriber : subscribers)
            subscriber();
        auto waiters = std::move(changeWaiters);
        changeWaiters.clear();
        for (net::Event* waiter : waiters)
            waiter->set();
    }

    // Confirms the mirror's freshness with each pending head that the mirror has reached by now.
    void processPendingHeads();

    // Drops early withdrawals that the KV's record shows as well: they need no separate enforcement any more.
    void pruneWithdrawnKeys();
    void waitForChange(base::TimePoint deadline);

    // ---- Updates from the platform ---------------------------------------------------------------

    bool readSnapshot();
    void watchLoop();
    void headLoop();

    // Reads and applies changes of the instance list. False if the platform did not answer.
    bool readInstanceListChanges(net::HttpConnection& connection);
    void instanceListLoop();

    // ---- Updates from peers ----------------------------------------------------------------------

    // Asks a peer for changes and merges its answer. `name`: the member, empty if unknown. `wait`: how long the peer
    // may wait for a change.
    bool syncWith(const base::Address& address, const std::string& name, base::Millis wait);
    json handleSync(const json& body);
    void syncLoop();

    // True while the mirror was confirmed to be current within half of the freshness limit.
    bool isFresh(base::TimePoint now) const;

    // While the mirror is not fresh, asks the other members for their data, and the KV itself.
    void staleRefreshLoop();

    // ---- Roles -----------------------------------------------------------------------------------

    bool shouldWatch() const;
    void roleLoop();

    // ---- Session ---------------------------------------------------------------------------------

    // Writes this daemon's session under its lease, and requests a lease if there is none. True if the session is
    // stored.
    bool writeSession();
    void applyOwnWrite(const std::string& key, const std::string& value, Revision modRevision);
    void renewLoop();
    void writeSessionIfMissing();

    // ---- Start -----------------------------------------------------------------------------------

    // Reads the instance list once, so that a daemon knows the endpoints before it reports "ready".
    void readInitialInstanceList();

    // Retries until the records have been loaded from the KV or from a seed.
    void loadInitialState();
    void startLoops();

    // ---- Queries ---------------------------------------------------------------------------------

    // When the latest merged answer of each member was requested, newest first. For this daemon itself, that is `now`.
    std::vector<base::TimePoint> lastExchangeTimes(base::TimePoint now) const;

    size_t memberCount() const;

    FreshnessView freshnessView(base::TimePoint now) const;
};

} // namespace rattanshunt::fleet

// Internal to fleet/: what a daemon knows of the fleet and the fibers that keep it up to date. Own thread only.
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

inline constexpr base::Millis retryDelay { 300 };
inline constexpr base::Millis instanceListInterval { 1000 };
inline constexpr base::Millis roleCheckInterval { 200 };
inline constexpr base::Millis peerCallMargin { 1000 }; // beyond the wait that a peer was asked for
inline constexpr base::Millis staleRefreshInterval { 500 };
inline constexpr base::Millis nameConflictDelay { 1000 };
inline constexpr int renewalsPerSession = 3;

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
    std::map<std::string, base::TimePoint>
        lastExchangeAt; // by member: sending time of the last exchange that was merged
    std::vector<std::pair<Revision, base::TimePoint>> pendingHeads;
    int64_t lease = 0;
    bool isStopped = false;
    bool isStopRequested = false; // join() gives up
    bool isWatching = false;
    bool isLeaving = false;
    size_t relayIndex = 0;

    // ---- Changes of the mirror -------------------------------------------------------------------

    // Runs `grow` and tells everyone if it changed the mirror.
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

    void processPendingHeads();

    // A withdrawal that the KV's record shows needs no early enforcement any more.
    void pruneWithdrawnKeys();
    void waitForChange(base::TimePoint deadline);

    // ---- Learning from the platform --------------------------------------------------------------

    bool readSnapshot();
    void watchLoop();
    void headLoop();

    // Takes in what has changed in the platform's list. False if the platform did not answer.
    bool readInstanceListChanges(net::HttpConnection& connection);
    void instanceListLoop();

    // ---- Learning from peers ---------------------------------------------------------------------

    bool syncWith(const base::Address& address, const std::string& name, base::Millis wait);
    json handleSync(const json& body);
    void syncLoop();

    bool isFresh(base::TimePoint now) const;

    // While the KV's head is not known here, asks the other members what they know, and the KV itself.
    void staleRefreshLoop();

    // ---- Roles -----------------------------------------------------------------------------------

    bool shouldWatch() const;
    void roleLoop();

    // ---- Session ---------------------------------------------------------------------------------

    bool writeSession();
    void applyOwnWrite(const std::string& key, const std::string& value, Revision modRevision);
    void renewLoop();
    void writeSessionIfMissing();

    // ---- Start -----------------------------------------------------------------------------------

    // The platform's list as it is now, so that a daemon that says "ready" knows the endpoints.
    void readInitialInstanceList();
    void loadInitialState();
    void startLoops();

    // ---- Queries ---------------------------------------------------------------------------------

    // Sending times of the latest exchange with each member, newest first; this daemon hears itself at any time.
    std::vector<base::TimePoint> lastExchangeTimes(base::TimePoint now) const;

    size_t memberCount() const;

    FreshnessView freshnessView(base::TimePoint now) const;
};

} // namespace rattanshunt::fleet

// What a daemon knows of the fleet, and how it comes to know it.
//
// Contents
//   [1] Data            FabricOptions, Demand, HubView
//   [2] Fabric          configuration, replicas, freshness, the hub and its members
//
// One daemon, the hub, holds a lease in the platform's store. It reads the whole store at a steady pace, and the others
// ask it for what has changed: calls to the store do not grow with the number of daemons. The hub also adds up demand
// and grants usage, and it alone orders models. Whoever can't reach the hub reads the store itself; whoever reaches
// neither asks any other daemon. All knowledge carries the time at which a linearizable read of the store that proves
// it was sent, so that configuration never serves beyond its age, whatever way it came.
//
// What lasts in the store:
//   rs/hub       {name, address, start}, under the hub's lease; its creation revision is the fencing token
//   rs/orderer   {name}, without a lease: who gave orders last; another one waits before it gives any
//   rs/fleet     {members}, without a lease: how many daemons share the fleet's budgets, for those that have no hub
//   rs/secret    the secret by which daemons know each other, written once
//
// Q: Why a full read and no watch?  A: A read proves freshness and survives lost history; a silent watch proves
// nothing. Q: What does a daemon do while the store is away?  A: It serves on what it knows up to the age limit;
// replicas whose
//    entries lapse meanwhile stay, see directory/Directory.h.
//
// Own thread only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "coordination/Kv.h"
#include "directory/Directory.h"
#include "gateway/WireCodec.h"
#include "hub/HubTerm.h"
#include "net/PeerNetwork.h"
#include "quota/AccountQuota.h"

namespace rattanshunt::hub {

// ---- [1] Data ----------------------------------------------------------------------------------

struct HubSyncOptions {
    std::string name;
    std::string dataCenter;
    base::Address peerAddress;
    double electionPriority = 1;             // 0 to 1, of processor and link: strong daemons become hub first
    base::Millis hubReadInterval { 600 };    // between two reads of the store by the hub
    base::Millis directReadInterval { 900 }; // by a daemon without a hub
    base::Millis minSyncInterval { 300 };    // between two calls to the hub, without urgent news, in a small fleet
    base::Millis maxSyncInterval { 600 };    // in a large one; what changes must be known within the platform's bounds
    size_t maxMembersAtMinInterval = 40;     // members that the hub answers at `syncInterval`; more ask less often
    base::Millis urgentSyncInterval { 60 };  // between two calls with urgent news
    base::Millis modelWaitSyncInterval { 120 }; // while a request waits for a model
    base::Millis syncTimeout { 500 };           // for one call to the hub
    base::Millis leaseTtl { 1600 };             // of the hub; a dead hub is replaced after it
    base::Millis orderHandoverDelay { 3000 };   // between the last order of one hub and the first of another
    base::Millis maxHubDataAge { 1600 }; // age of the hub's knowledge beyond which a daemon reads the store itself
    size_t assumedMemberCount = 100;     // until a hub has told: parts of the fleet's budgets must not be too large
    double quotaSlack = 0;               // tokens that the fleet may grant beyond an account's burst
    base::Seconds quotaWindow { 8 };     // in which the limit of an account is measured
};

// Requests of one kind, as one daemon sees them.
struct Demand {
    double waiting = 0;           // requests that wait for a replica now
    double waitingWeightSum = 0;  // the sum of their weights
    double awaitingFirstByte = 0; // requests that a replica has and has not begun to answer, now
    double running = 0;           // requests that a replica has, now
    double arrivalRate = 0;       // arrivals a second, smoothed
};

struct DemandKey {
    std::string service;
    std::string model;
    std::string adapter;

    bool operator<(const DemandKey& other) const
    {
        return std::tie(service, model, adapter) < std::tie(other.service, other.model, other.adapter);
    }
    bool operator==(const DemandKey&) const = default;
};

using ModelKey = std::pair<std::string, std::string>; // service and model
using DemandTable = std::map<DemandKey, Demand>;

struct HubMember {
    base::Address address;
    base::BootTime lastSeenAt {};
    DemandTable demand;
};

// ---- [2] Fabric --------------------------------------------------------------------------------

class HubSync {
public:
    HubSync(net::Loop&, HubSyncOptions, const gateway::WireCodec&, coordination::Kv&);
    ~HubSync();

    // -- commands --
    void start();
    void leaveElection(); // gives the lease up and does not ask for it again; knowledge stays current. Suspends.
    void stop();          // ends everything; suspends

    // Called after each change of configuration, replicas or placement. Must not suspend.
    void subscribe(std::function<void()> onChange);

    // Gives the demand of this daemon when asked; called at each sync. Must not suspend.
    void setDemandSource(std::function<DemandTable()>);

    // Tells whether a request waits for a model; asked at each sync. Must not suspend.
    void setAwaitingModelCheck(std::function<bool()>);

    // Called at the hub when a member reports requests that wait. Must not suspend.
    void setOnDemandReported(std::function<void()>);

    // Asks for a sync soon. Does not suspend.
    void requestSync();

    // Takes `tokens` of an account's usage. Suspends for a call to the hub if this daemon's grant does not cover it.
    bool quotaTake(const gateway::Account&, double tokens);
    void quotaReturn(const std::string& account, double tokens);

    // The fleet's demand, this daemon's included. Hub only.
    DemandTable collectDemand(base::BootTime now);

    // Gives the lease up for good cause: another holder's orders were seen.
    void resign(const char* why);

    // Tells members when models that nobody holds will be ready. Hub only.
    void setReadyEstimates(std::map<ModelKey, base::BootTime> estimates) { m_readyEstimates = std::move(estimates); }

    // Tells members of a change in placement. Call after writing to replicas in directory().
    void notifyPlacementChanged(const std::string& replica);

    // -- queries --
    gateway::ConfigurationPointer configuration() const { return m_configuration; }
    directory::Directory& directory() { return m_directory; }
    const std::map<ModelKey, base::BootTime>& readyEstimates() const { return m_readyEstimates; }
    bool hasHub() const { return m_term.isHeld || m_isHubReachable; }
    base::BootTime freshAsOf() const { return m_freshAsOf; } // the knowledge was true at this time or later
    size_t memberCount() const;
    bool isHub() const { return m_term.isHeld; }
    bool mayOrder(base::BootTime now) const; // holds the lease for sure, and nobody else's orders are recent
    base::BootTime ordersAllowedAt() const
    {
        return m_term.ordersAllowedAt;
    } // hub only: not before the former holder's are over
    int64_t fencingToken() const { return m_term.fencingToken; }
    bool storeIsReachable() const { return m_storeIsReachable; }

    const HubSyncOptions& options() const { return m_options; }

private:
    struct HubRecord {
        std::string name;
        base::Address address;
        std::string incarnation;
        int64_t createRevision = 0;
        int64_t modRevision = 0;
        int64_t lease = 0;
    };

    void run();
    void sleepUntilWoken(base::Duration);

    // -- the store --
    bool readStore();
    coordination::KvRangeResult readStoreEntries();
    base::Duration currentSyncInterval() const;
    void applyStoreEntries(const coordination::KvRangeResult&, base::BootTime requestedAt);
    void applyConfiguration(const std::string& value, int64_t revision);
    void updateStoreReachable(bool isReachable);
    void logEntryFaults(const std::vector<directory::EntryFault>&);

    // -- the hub --
    void campaign();
    void storeMemberCount();
    void updateReachableMemberFraction();
    void becomeHub(int64_t lease, base::BootTime requestedAt, int64_t createRevision);
    void renewLoop();
    void recordOrderer();
    nlohmann::json handleCall(const std::string& from, const std::string& method, const nlohmann::json& body);
    nlohmann::json handleSync(const std::string& from, const nlohmann::json& body);
    nlohmann::json buildSyncReply(const nlohmann::json& asked, base::BootTime now);
    void applyMemberDemand(HubMember&, const nlohmann::json& body, base::BootTime now);

    quota::AccountLimit limitOf(const gateway::Account&) const;
    void chargeUngranted(const std::string& account, double tokens);

    // -- a member --
    bool syncWith(const base::Address&, bool isHub);
    nlohmann::json buildSyncRequest();
    void applySyncReply(const nlohmann::json& body, base::BootTime requestedAt, bool isHub);
    bool syncWithRandomMember();
    void ensurePeerNetwork(const std::string& secret);
    void notifySubscribers();

    net::Loop& m_loop;
    HubSyncOptions m_options;
    const gateway::WireCodec& m_codec;
    coordination::Kv& m_kv;
    std::string m_incarnation; // of this process
    std::unique_ptr<net::PeerNetwork> m_peers;
    std::vector<std::function<void()>> m_subscribers;
    std::function<DemandTable()> m_demandSource;
    std::function<bool()> m_isAwaitingModel;
    std::function<void()> m_onDemandReported;
    net::Event m_wake;
    bool m_isStopping = false;
    bool m_hasLeftElection = false;
    bool m_isRunning = false;
    base::BootTime m_lastSyncAt {};

    gateway::ConfigurationPointer m_configuration;
    std::string m_configurationValue;
    std::string m_configurationCompressed; // compressed, for other daemons
    int64_t m_configurationRevision = 0;
    directory::Directory m_directory;
    base::BootTime m_freshAsOf {};

    bool m_storeIsReachable = false;
    bool m_hasReadStore = false;
    base::BootTime m_storeFailedSince {};
    base::BootTime m_storeRecoveredAt {};
    base::BootTime m_lastReadAt {};

    std::optional<HubRecord> m_hubRecord;
    bool m_isHubReachable = false;
    std::string m_hubIncarnation; // whose stamps the directory follows
    uint64_t m_hubChangeSequence = 0;
    base::BootTime m_hubMissingSince {};
    std::map<std::string, base::Address> m_memberAddresses; // last told by the hub
    size_t m_memberCount = 0;                               // 0: not known yet
    size_t m_storedMemberCount = 0;                         // as in the store
    size_t m_maxMemberCount = 0;                            // most members in the last window of the limits
    base::BootTime m_maxMemberCountAt {};

    HubTerm m_term;                                      // of this daemon as hub
    std::map<std::string, HubMember> m_members;          // hub only
    std::map<ModelKey, base::BootTime> m_readyEstimates; // as told by the hub: estimates
    base::BootTime m_ratesSentAt {};
    quota::HubQuota m_hubQuota; // hub only
    quota::LocalQuota m_localQuota;
};

} // namespace rattanshunt::hub

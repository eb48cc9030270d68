// A daemon's synchronised view of the fleet: configuration, replicas, demand and account quotas, shared through one
// elected hub. Options and data structs are in HubSyncData.h.
//
// One daemon, the hub, holds a lease in the coordination store. It reads the whole store at a fixed interval, and the
// other daemons (members) ask it for changes, so the number of store calls does not grow with the number of daemons.
// The hub also aggregates demand, grants account quota, and is the only one to order models. A daemon that can't reach
// the hub reads the store itself; one that reaches neither asks any other daemon. All data carries the time at which
// the linearizable store read that confirms it was sent. Configuration is therefore never served beyond its maximum
// age, whichever way it arrived.
//
// A member's first call to a new hub carries a digest of its directory, and the reply only the replicas that differ:
// the hub's link could not carry a whole copy to each of hundreds of members within its lease.
//
// Keys that persist in the store:
//   rs/hub       {name, address, start}, under the hub's lease; its creation revision is the fencing token
//   rs/orderer   {name, era}, without a lease: the last daemon that issued orders, and the store's era then; another
//                daemon waits before its first one
//   rs/fleet     {members}, without a lease: the number of daemons that share the fleet's budgets, for daemons that
//                have no hub
//   rs/parts     {parts: [{service, part, until_ms, blocks}]}, without a lease: the prompt parts that are blocked or on
//                probation, with the Unix time of the block's end; a part that is deleted there is forgotten by all
//   rs/streams   {versions: [[service, version, last seen]]}, without a lease: the services with several versions
//   live-streams/*  {streams: [[service, version, streams]]}, under leases, see hub/OriginWriter.h
//   rs/usage     {above: [account], era}, without a lease: the accounts that have used more than a known part of their
//                limit, see quota/UsageRecord.h
//   rs/secret    the shared secret with which daemons authenticate each other, written once
//
// Q: Why a full read and no watch?  A: A read proves freshness and works after the store's history was compacted. A
//    watch that delivers nothing proves nothing.
// Q: What does a daemon do during a store outage?  A: It serves on its current data up to the age limit. Replicas whose
//    entries lapse in the meantime stay, see directory/Directory.h.
//
// Q: What if the store is restored from an older copy?  A: Its era rises, which ends the hub's term. Nothing older
//    replaces what is known: configurations of different eras are in the order of their versions, entries in the order
//    in which their replicas wrote them. What the copy lacks of this system's own records is written again.
//
// All methods: own thread only. Those marked "suspends" need a fiber.
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
#include "directory/ReplicaAvailability.h"
#include "evacuation/Evacuations.h"
#include "gateway/WireCodec.h"
#include "hub/ColdSync.h"
#include "hub/HubSyncData.h"
#include "hub/HubTerm.h"
#include "hub/LimitSync.h"
#include "hub/OriginWriter.h"
#include "hub/PartSync.h"
#include "hub/QuotaSync.h"
#include "hub/SpillSync.h"
#include "hub/StreamSync.h"
#include "net/PeerNetwork.h"

namespace rattanshunt::hub {

// ---- HubSync -----------------------------------------------------------------------------------

class HubSync {
public:
    HubSync(net::Loop&, HubSyncOptions, const gateway::WireCodec&, coordination::Kv&);
    ~HubSync();

    // -- commands --
    void start();

    // Revokes the lease if this daemon is the hub, and never campaigns again. Data stays current. Suspends.
    void leaveElection();

    // Leaves the election, ends the main loop and closes the peer network. Suspends.
    void stop();

    // Called after each change of configuration, replicas or placement. Must not suspend.
    void subscribe(std::function<void()> onChange);

    // Returns the demand that this daemon sees; called at each sync and by collectDemand(). Must not suspend.
    void setDemandSource(std::function<DemandTable()>);

    // Returns whether a request waits for a model; called before each pause between syncs. Must not suspend.
    void setAwaitingModelCheck(std::function<bool()>);

    // Called at the hub when a member reports demand. Must not suspend.
    void setOnDemandReported(std::function<void()>);

    // Wakes the main loop so that it syncs within `urgentSyncInterval`. Does not suspend.
    void requestSync();

    // Whether a request must wait for newer knowledge of the replicas, which may be `maxAge` old. Begins to read the
    // store if the knowledge needs it; subscribers are called at the end of that, also if it failed. Does not suspend.
    bool directoryIsTooOld(base::Millis maxAge);

    // Asks for tokens of an account. Suspends for a call to the hub if this daemon's grant does not cover them.
    QuotaAnswer quotaTake(const gateway::Account&, const quota::TokenAsk&);

    // Call when the time of tokens that were granted later has come. False if they cannot be used any more and this
    // daemon's own share does not cover them. Does not suspend.
    bool quotaUseReserved(const gateway::Account&, double tokens, const QuotaAnswer&);

    // Gives up tokens that were granted later, before their time. Does not suspend.
    void quotaRelease(const std::string& account, double tokens, const QuotaAnswer&);

    // Returns tokens that were granted and not used. Does not suspend.
    void quotaReturn(const std::string& account, double tokens);

    // Tells the hub of an attempt that ended with its replica, and of parts on which an answer has settled. Neither
    // suspends.
    void recordReplicaEnd(const prompts::ReplicaEnd&);
    void recordSettledParts(const std::string& service, const std::vector<std::string>& parts);

    // Records that a replica has run a request to its end. Does not suspend.
    void recordSettledRequest(const std::string& service, const std::string& requestKey);

    // Whether another life than that of the given end has ended under the request at this daemon, and it has not
    // settled.
    bool hasOwnEnd(const prompts::ReplicaEnd&, const std::string& requestKey) const;

    // Records what a response says of the rate that its replica accepts. Does not suspend.
    void recordLimit(const limits::LimitObservation&);

    // Records what a response says of its replica. Does not suspend.
    void recordStatement(const std::string& replica, int64_t startedAtMillis, const directory::ReplicaStatement&);

    // The replica ended under a request or refused a connection, and may be a new, cold process. Does not suspend.
    void presumeRestarted(const std::string& replica, int64_t startedAtMillis);

    // Asks for a permit to send one request to a replica with a limit, or to a cold one; it starts within `maxWait`.
    // Granted at once if the replica has none. Suspends for a call to the hub.
    limits::PermitAnswer takePermit(const std::string& replica, int64_t startedAtMillis, base::Duration maxWait);

    // Returns a permit that came from the hub and was not used. Does not suspend.
    void returnPermit(const std::string& replica);

    // Records that a stream began with this request, at a replica with this version of the software. Does not suspend.
    void recordStreamOrigin(const std::string& service, const std::string& requestId, const std::string& version);

    // Tells the hub soon of the streams that this daemon served, as the caller of one may come back elsewhere. Does not
    // suspend.
    void announceBrokenStream();

    // What is known of a stream that a caller takes up; `requestId`: of the request that brought its first event.
    // Suspends for calls to the hub.
    streams::TakeUpKnowledge takeUpKnowledge(const std::string& service, const std::string& requestId);

    // Decides about connections to replicas that other daemons ask this one to carry.
    void setTunnelHandler(net::TunnelHandler);

    // The fleet's demand, this daemon's included. Hub only.
    DemandTable collectDemand(base::BootTime now);

    // Whether other daemons reach replicas and this one does not; a hub then hands over. Does not suspend.
    void setReplicasLost(bool isLost);

    // Gives up the hub role without revoking the lease, as when another hub's orders were seen. May campaign again.
    void resign(const char* why);

    // Sets the estimated ready times of models that no replica holds, which are sent to members. Hub only.
    void setReadyEstimates(std::map<ModelKey, base::BootTime> estimates) { m_readyEstimates = std::move(estimates); }

    // Publishes a change in placement. Call after writing to replicas in directory().
    void notifyPlacementChanged(const std::string& replica);

    // -- queries --
    gateway::ConfigurationPointer configuration() const { return m_configuration; }
    directory::Directory& directory() { return m_directory; }
    const std::map<ModelKey, base::BootTime>& readyEstimates() const { return m_readyEstimates; }
    bool hasHub() const { return m_term.isHeld || m_isHubReachable; }
    base::BootTime freshAsOf() const { return m_freshAsOf; }              // the data was current at this time or later
    DirectorySource directorySource() const { return m_directorySource; } // by which `freshAsOf` became known
    size_t memberCount() const;
    bool isHub() const { return m_term.isHeld; }

    // True if this daemon surely holds the lease and no order of another hub can still be under way.
    bool mayOrder(base::BootTime now) const;

    // When this hub's first order may go out; the maximum time until that is known. Hub only.
    base::BootTime ordersAllowedAt() const { return m_term.ordersAllowedAt; }
    int64_t fencingToken() const { return m_term.fencingToken; }
    bool storeIsReachable() const { return m_storeIsReachable; }
    std::map<std::string, base::Address> peerAddresses() const; // of some other daemons, by name
    net::PeerNetwork* peers() const { return m_peers.get(); }   // null until the fleet's secret is known

    // Requests per second that this process of a replica accepts from all daemons; empty: it named no limit.
    std::optional<double> replicaLimit(const std::string& replica, int64_t startedAtMillis) const;
    // The same, also of a replica that is cold.
    std::optional<double> replicaPermitRate(const std::string& replica, int64_t startedAtMillis) const;
    // What is known of one process of a replica. `homes`: of the request; empty: it has none.
    directory::ReplicaLife replicaLife(
        const directory::Replica&, const std::optional<std::set<std::string>>& homes) const;
    size_t coldReplicaCount() const;
    const evacuation::Evacuations& evacuations() const { return m_evacuations; }
    const directory::ReplicaNotices& notices() const { return m_notices; } // what replicas told this daemon
    size_t limitedReplicaCount() const { return m_limits.ledger.limits.size(); }

    // The fractions of a group's requests that this daemon sends to other data centres, by data centre.
    std::map<std::string, double> spillShares(const ModelKey&, base::BootTime now) const;
    const SpillSync& spillSync() const { return m_spill; }

    const prompts::PartView& partView() const { return m_parts.view; }
    const prompts::SettledParts& settledParts() const { return m_parts.ledger.settled; } // by this daemon
    size_t blockedPartCount() const;                                                     // without those on probation

    const HubSyncOptions& options() const { return m_options; }

private:
    void run();
    void sleepUntilWoken(base::Duration);

    // -- the store --
    bool readStore();
    void confirmDirectory(base::BootTime asOf, DirectorySource);
    void beginRefresh();
    coordination::KvRangeResult readStoreEntries();
    base::Duration currentSyncInterval() const;
    static std::optional<HubRecord> readHubRecord(const coordination::KvEntry&);
    void applyStoreEntries(const coordination::KvRangeResult&, base::BootTime requestedAt);
    void applyConfiguration(const std::string& value, int64_t revision);
    gateway::ConfigurationStamp configurationStamp() const; // of the one in force
    void updateStoreEra(int64_t era, base::BootTime now);
    void updateStoreReachable(bool isReachable, base::BootTime requestedAt);
    void logEntryFaults(const std::vector<directory::EntryFault>&);

    // -- the hub --
    void campaign();
    void storeMemberCount();
    void updateReachableMemberFraction();
    void becomeHub(int64_t lease, base::BootTime requestedAt, int64_t createRevision, quota::HubQuota);
    void renewLoop();
    void recordOrderer();
    nlohmann::json handleCall(const std::string& from, const std::string& method, const nlohmann::json& body);
    nlohmann::json handleGrantCall(const nlohmann::json& body);
    nlohmann::json handleSync(const std::string& from, const nlohmann::json& body);
    nlohmann::json buildSyncReply(const nlohmann::json& asked, base::BootTime now);
    std::vector<bool> differingBuckets(const directory::DirectoryDigest& memberDigest);
    nlohmann::json memberAddressSample(const std::string& seed) const;
    void applyMemberDemand(HubMember&, const nlohmann::json& body, base::BootTime now);

    // -- prompt parts --
    void applyPartChanges(const std::vector<prompts::PartChange>&, base::BootTime now);
    void refreshPartView();
    void advanceParts(base::BootTime now);
    void recordEntryWrites(base::BootTime listRequestedAt);
    void takeOverParts(base::BootTime now);
    void applyMemberParts(const nlohmann::json& body, base::BootTime now);
    void addPartsToReply(const nlohmann::json& asked, nlohmann::json& reply, base::BootTime now) const;
    uint64_t addPartsToRequest(nlohmann::json& body, base::BootTime now);
    void applyPartsReply(const nlohmann::json& body, base::BootTime requestedAt, uint64_t sentSequence, bool isHub);
    void applyStoredParts(const coordination::KvEntry* entry, int64_t era, base::BootTime requestedAt);
    void storeParts();

    // -- rates that replicas accept --
    void applyLimitObservation(const limits::LimitObservation&, const std::string& source);
    void pruneLimits(base::BootTime now);
    uint64_t addLimitsToRequest(nlohmann::json& body, base::BootTime now);
    void applyMemberLimits(const std::string& from, const nlohmann::json& body, base::BootTime now);
    void addLimitsToReply(const nlohmann::json& asked, nlohmann::json& reply) const;
    void applyLimitsReply(const nlohmann::json& body, base::BootTime requestedAt, uint64_t sentSequence, bool isHub);
    void recordLimitsTold(const nlohmann::json& body, uint64_t sentSequence);
    limits::PermitAnswer grantPermit(
        const std::string& replica, int64_t startedAtMillis, base::Duration maxWait, base::BootTime now);
    nlohmann::json handlePermitCall(const std::string& from, const nlohmann::json& body);

    // -- cold replicas --
    struct ListedProcess {
        int64_t startedAtMillis = 0;
        int64_t revision = 0;
    };
    std::map<std::string, ListedProcess> listedProcesses() const;
    const gateway::Service* coldServiceOf(const std::string& replica) const;
    std::optional<base::BootTime> coldUntil(const std::string& replica, int64_t startedAtMillis) const;
    void applyColdEntries(const std::map<std::string, ListedProcess>& before, base::BootTime readAt);
    void presumeCold(const std::string& dataCenter);
    void logCold(const std::string& replica, const char* source) const;
    void pruneCold(base::BootTime now);
    void addColdToReply(const nlohmann::json& asked, nlohmann::json& reply, base::BootTime now) const;
    void applyColdReply(const nlohmann::json& body, base::BootTime requestedAt, base::BootTime asOf, bool isHub);
    void applyMemberCold(const nlohmann::json& body, base::BootTime now);

    void applyEvacuations(const std::set<std::string>& listed, base::BootTime asOf);
    void applyEvacuationsReply(const nlohmann::json& body, base::BootTime asOf);

    // -- work that is sent to other data centres --
    std::map<ModelKey, spill::WorkGroup> collectWorkGroups(base::BootTime now);
    std::map<ModelKey, std::map<std::string, double>> slotsByModel(base::BootTime now) const;
    void updateSpillPlan(base::BootTime now);
    void addSpillToRequest(nlohmann::json& body) const;
    void addSpillToReply(const nlohmann::json& asked, nlohmann::json& reply, base::BootTime now);
    void applySpillReply(const nlohmann::json& body, base::BootTime requestedAt);

    // -- versions that began streams --
    bool versionsAreMixed(const std::string& service) const;
    bool anyVersionsAreMixed() const;
    bool awaitVersions(base::BootTime takenUpAt);
    void seeVersions(base::BootTime now);
    uint64_t addStreamsToRequest(nlohmann::json& body);
    void applyMemberStreams(const nlohmann::json& body, base::BootTime now);
    void recordStreamsTold(const nlohmann::json& body, uint64_t sentSequence);
    nlohmann::json handleStreamCall(const nlohmann::json& body);
    void applyStoredStreams(const coordination::KvEntry&, base::BootTime now);
    void applyStoredOrigins(const std::vector<coordination::KvEntry>&, base::BootTime now);
    void refreshOrigins();
    void storeStreams();

    // -- account quotas --
    quota::AccountLimit limitOf(const gateway::Account&) const;
    void chargeUngranted(const std::string& account, double tokens);
    void recordReservations(const std::string& account, base::BootTime now);
    void settleReservations();
    void readUsageRecord(quota::HubQuota&, int64_t era);
    void storeUsageRecord();
    quota::TokenAnswer grantTokens(const gateway::Account&, const quota::TokenAsk&, base::BootTime now);
    void applyMemberQuota(const nlohmann::json& body, base::BootTime now);
    std::map<std::string, double> addQuotaToRequest(nlohmann::json& body);
    bool spendAlone(const gateway::Account&, double tokens);

    // -- a member --
    bool syncWith(const base::Address&, bool isHub);
    nlohmann::json buildSyncRequest();
    void applySyncReply(const nlohmann::json& body, base::BootTime requestedAt, bool isHub);
    bool syncWithRandomMember();
    bool hasUntriedHub() const;
    void ensurePeerNetwork(const std::string& secret);
    void notifySubscribers();

    net::Loop& m_loop;
    HubSyncOptions m_options;
    const gateway::WireCodec& m_codec;
    coordination::Kv& m_kv;
    std::string m_incarnation; // random, new at each start of this process
    std::unique_ptr<net::PeerNetwork> m_peers;
    net::TunnelHandler m_tunnelHandler;
    std::vector<std::function<void()>> m_subscribers;
    std::function<DemandTable()> m_demandSource;
    std::function<bool()> m_isAwaitingModel;
    std::function<void()> m_onDemandReported;
    net::Event m_wake;
    bool m_isStopping = false;
    bool m_hasLeftElection = false;
    bool m_hasLostReplicas = false;
    bool m_isRunning = false;
    base::BootTime m_lastSyncAt {};

    gateway::ConfigurationPointer m_configuration;
    std::string m_configurationValue;
    std::string m_configurationCompressed; // as sent to other daemons
    int64_t m_configurationRevision = 0;
    int64_t m_ignoredConfigurationRevision = 0; // of the last one that was older although of a later era of the store
    directory::Directory m_directory;
    directory::DirectoryDigest m_digest; // of m_directory at m_digestSequence; hub only
    uint64_t m_digestSequence = 0;
    base::BootTime m_freshAsOf {};
    DirectorySource m_directorySource = DirectorySource::Store;
    directory::DirectoryRefresh m_refresh;
    directory::ReplicaNotices m_notices;
    evacuation::Evacuations m_evacuations;

    bool m_storeIsReachable = false;
    bool m_hasReadStore = false;
    std::optional<int64_t> m_storeEra; // at the last read
    bool m_hasSeenRestore = false;     // the store was restored from a copy while this process ran
    std::string m_secret;
    base::BootTime m_storeRecoveredAt {};
    base::BootTime m_lastReadAt {};

    std::optional<HubRecord> m_hubRecord;
    bool m_isHubReachable = false;
    std::string m_hubIncarnation;      // of the hub that issued `m_hubChangeSequence`
    uint64_t m_hubChangeSequence = 0;  // of the hub's directory, at the last sync
    std::string m_triedHubIncarnation; // of the hub that was last called
    base::BootTime m_hubMissingSince {};
    std::map<std::string, base::Address> m_memberAddresses; // of some members, as last sent by the hub
    size_t m_memberCount = 0;                               // 0: not known yet
    size_t m_storedMemberCount = 0;                         // as last read from the store
    size_t m_maxMemberCount = 0;                            // maximum within the last `quotaWindow`
    base::BootTime m_maxMemberCountAt {};

    HubTerm m_term;                                      // this daemon's own term as hub
    std::map<std::string, HubMember> m_members;          // hub only
    std::map<ModelKey, base::BootTime> m_readyEstimates; // at a member: as sent by the hub
    base::BootTime m_ratesSentAt {};
    QuotaSync m_quota;
    PartSync m_parts;
    LimitSync m_limits;
    ColdSync m_cold;
    StreamSync m_streams;
    SpillSync m_spill;
    OriginWriter m_originWriter;
};

} // namespace rattanshunt::hub

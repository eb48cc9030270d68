// Internal to placement/: the state of the service, as member and as owner of the placement. Own thread only.
#pragma once

#include "placement/PlacementService.h"

#include "base/Counters.h"
#include "base/Log.h"
#include "endpoints/EngineOrders.h"

namespace rattanshunt::placement {

using base::LogLevel;
using coordination::KvError;
using coordination::Revision;
using nlohmann::json;

inline constexpr base::Millis ownerCheckInterval { 200 };
inline constexpr base::Seconds takeoverDelayPerRank { 2 };
inline constexpr base::Millis demandReportInterval { 250 }; // between two reports of unchanged demand
inline constexpr base::Millis demandReportDelay { 5 };      // gathers needs that arise together
inline constexpr base::Seconds demandReportLifetime { 2 };  // a daemon's report counts for so long
inline constexpr base::Millis planInterval { 100 };
inline constexpr base::Millis busyPollInterval { 50 }; // state of an endpoint with an order under way
inline constexpr base::Seconds idlePollInterval { 5 };
inline constexpr base::Millis callTimeout { 2000 };
inline constexpr base::Seconds orderResendInterval { 1 };
inline constexpr size_t maxChangeHistory = 50;
inline constexpr int64_t fencingTokensPerEpoch = int64_t { 1 } << 32;

struct PlacementService::Impl : std::enable_shared_from_this<PlacementService::Impl> {
    Impl(fleet::Fleet& ownFleet, const PlacementOptions& plannerOptions)
        : fleet(ownFleet)
        , catalog(std::make_shared<resources::Catalog>())
    {
        planner.options = plannerOptions;
    }

    struct WaitingDemand {
        size_t count = 0;
        resources::PriorityClass priority = resources::PriorityClass::Low;
        base::TimePoint since {};
        std::string account;
    };

    struct DaemonDemand {
        base::TimePoint heardAt {};
        std::map<std::string, WaitingDemand> waitingDemand;
        std::map<std::string, double> loads; // requests in flight by model
    };

    struct EndpointClient {
        base::Address address;
        bool checksFencing = false;
        std::unique_ptr<net::HttpConnection> connection;
        base::TimePoint nextPollAt {};
        bool isPolling = false;
        base::TimePoint lastChangeAt {};                    // a report asked for before this is out of date
        std::map<std::string, base::TimePoint> orderSentAt; // when orders were last sent
        int slots = 8;
        double idleSeconds = 0;
        std::string reportedBootId; // as the endpoint last said; empty: not known yet
    };

    fleet::Fleet& fleet;
    std::shared_ptr<const resources::Catalog> catalog;
    std::map<std::string, WaitingDemand> waitingDemand; // of this daemon
    std::map<std::string, uint64_t> useCounts;          // of this daemon since the last report
    bool isReportScheduled = false;
    bool isStopped = false;

    // As owner
    bool isOwner = false;
    uint64_t generation = 0; // of what was read from the KV; work begun before a new reading is void
    int64_t epoch = 0;
    Revision ownerRevision = 0;
    int64_t lastFencingToken = 0;
    base::TimePoint ownerGoneSince {};
    bool isOwnershipChanging = false;
    PlacementPlanner planner;
    std::map<std::string, Revision> modelRevisions;
    std::map<std::string, Revision> ledgerRevisions;
    std::map<std::string, EndpointClient> endpointClients;
    std::map<std::string, DaemonDemand> demandByDaemon; // by daemon
    bool isPlanScheduled = false;
    std::deque<std::string> changeHistory;

    // ---- Demand of this daemon -------------------------------------------------------------------

    void updateDemand(const WaitingRequest& item, bool isWaiting);
    void scheduleReport();
    json reportBody(base::TimePoint now);
    void sendReport();
    void reportLoop();
    void applyReport(const std::string& daemon, const json& body);
    void mergeDemand(base::TimePoint now);
    void mergeWaitingDemand(const std::string& name, const WaitingDemand& local, base::TimePoint now);
    double readySlots(const PlacementModelState& model);

    // ---- Ownership -------------------------------------------------------------------------------

    std::optional<OwnerRecord> ownerRecord(Revision* revision) const;
    void ownerLoop();
    void checkOwner();
    void claimOwnership(const std::optional<OwnerRecord>& former, Revision expected);

    // Reads all records from the KV and goes on where the former owner stopped.
    void becomeOwner(const OwnerRecord& record, Revision revision);
    bool readRecords();

    // ---- Inputs of the owner ---------------------------------------------------------------------

    void updatePlannerInputs();

    // A model that operators deleted wants no replicas; what is loaded is unloaded when idle.
    static void clearSpec(PlacementModelState& model);
    void updateEndpoint(const coordination::Instance& instance);

    // ---- Planning --------------------------------------------------------------------------------

    void schedulePlan();
    void planLoop();
    void plan();
    bool startChange(const PlacementChange& change);
    void recordChange(const PlacementChange& change);

    void executeChange(const PlacementChange& change, const ModelRecord& record, const MemoryLedger& ledger,
        const std::string& orderId, int64_t fencing, const std::vector<PlacedReplica>& formerPlaces);

    // Writes a model's record, and an endpoint's ledger if given, while this daemon is the owner. Suspends.
    bool writeRecords(
        const std::string& model, const ModelRecord& record, const std::string* endpoint, const MemoryLedger* ledger);

    // What the KV holds is not known any more: stop deciding, read everything again. Always false.
    bool resynchronise();

    // ---- Endpoints -------------------------------------------------------------------------------

    void sendOrder(const std::string& endpointId, const std::string& boot, const endpoints::EngineOrder& order);

    // The start of the endpoint that a place was decided for.
    static std::string replicaBootId(
        const ModelRecord& record, const PlacementChange& change, const std::string& order);

    bool hasPendingOrders(const std::string& endpointId) const;
    void pollDueEndpoints(base::TimePoint now);
    void pollEndpoint(const std::string& id);
    void applyState(const std::string& id, const endpoints::EngineState& state);
    void resolveReplica(const std::string& name, const PlacedReplica& place, const endpoints::EngineState& state);

    // Repeats an order that may have been lost. An endpoint that ignores fencing numbers gets a load order only once:
    // a second copy could arrive after the model was unloaded.
    void resendOrder(const std::string& name, const PlacedReplica& place, const endpoints::EngineState& state);
    void markReady(const std::string& name, const PlacedReplica& loaded);
};

} // namespace rattanshunt::placement

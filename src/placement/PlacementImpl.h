// Internal to placement/: state of PlacementService, for reporting demand and for acting as the owner.
//
// Control thread only.
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
inline constexpr base::Seconds takeoverDelayPerRank { 2 };  // extra wait per rank before claiming ownership
inline constexpr base::Millis demandReportInterval { 250 }; // between reports while the demand does not change
inline constexpr base::Millis demandReportDelay { 5 };      // batches demand that arises at the same time
inline constexpr base::Seconds demandReportLifetime { 2 };  // older reports are ignored
inline constexpr base::Millis planInterval { 100 };
inline constexpr base::Millis busyPollInterval { 50 }; // for an endpoint with an order in progress
inline constexpr base::Seconds idlePollInterval { 5 };
inline constexpr base::Millis callTimeout { 2000 }; // of calls to endpoints and peers
inline constexpr base::Seconds orderResendInterval { 1 };
inline constexpr size_t maxChangeHistory = 50;
inline constexpr int64_t fencingTokensPerEpoch = int64_t { 1 } << 32; // tokens of a later owner are always higher

struct PlacementService::Impl : std::enable_shared_from_this<PlacementService::Impl> {
    Impl(fleet::Fleet& ownFleet, const PlacementOptions& options)
        : fleet(ownFleet)
        , catalog(std::make_shared<resources::Catalog>())
    {
        planner.options = options;
    }

    // Requests of one daemon that wait for the same model.
    struct WaitingDemand {
        size_t count = 0;
        resources::PriorityClass priority = resources::PriorityClass::Low; // highest of them
        base::TimePoint since {};                                          // arrival of the first
        std::string account;                                               // of the first
    };

    // The last demand report of one daemon.
    struct DaemonDemand {
        base::TimePoint heardAt {};
        std::map<std::string, WaitingDemand> waitingDemand; // by model
        std::map<std::string, double> loads;                // requests in flight, by model
    };

    struct EndpointClient {
        base::Address address;
        bool checksFencing = false;
        std::unique_ptr<net::HttpConnection> connection;
        base::TimePoint nextPollAt {};
        bool isPolling = false;
        base::TimePoint lastChangeAt {};                    // reports requested before this are out of date
        std::map<std::string, base::TimePoint> orderSentAt; // by order ID, with the suffix "/unload" for unload orders
        int batchSlots = 8;                                 // concurrent requests; default until the first report
        double idleSeconds = 0;                             // with a model loaded but no request running, as reported
        std::string reportedBootId;                         // from the last report; empty: no report yet
    };

    fleet::Fleet& fleet;
    std::shared_ptr<const resources::Catalog> catalog;
    std::map<std::string, WaitingDemand> waitingDemand; // of this daemon, by model
    std::map<std::string, uint64_t> useCounts;          // of this daemon since the last report, by model
    bool isReportScheduled = false;
    bool isStopped = false;

    // State of the owner.
    bool isOwner = false;
    uint64_t generation = 0; // increased by each readRecords(); results of work begun earlier are discarded
    int64_t epoch = 0;
    Revision ownerRevision = 0;
    int64_t lastFencingToken = 0;
    base::TimePoint ownerGoneSince {};
    bool isOwnershipChanging = false;
    PlacementPlanner planner;
    std::map<std::string, Revision> modelRevisions;
    std::map<std::string, Revision> ledgerRevisions;
    std::map<std::string, EndpointClient> endpointClients;
    std::map<std::string, DaemonDemand> demandByDaemon;
    bool isPlanScheduled = false;
    std::deque<std::string> changeHistory;

    // ---- Demand of this daemon -------------------------------------------------------------------

    void updateDemand(const WaitingRequest& request, bool isWaiting);
    void scheduleReport();
    json reportBody(base::TimePoint now);
    void sendReport();
    void reportLoop();
    void applyReport(const std::string& daemon, const json& body);
    void mergeDemand(base::TimePoint now);
    void mergeWaitingDemand(const std::string& modelName, const WaitingDemand& waiting, base::TimePoint now);
    double readySlots(const PlacementModelState& model);

    // ---- Ownership -------------------------------------------------------------------------------

    std::optional<OwnerRecord> ownerRecord(Revision* revision) const;
    void ownerLoop();
    void checkOwner();
    void claimOwnership(const std::optional<OwnerRecord>& former, Revision expected);

    // Reads all records from the KV and continues from the former owner's decisions.
    void becomeOwner(const OwnerRecord& record, Revision revision);
    bool readRecords();

    // ---- Inputs of the owner ---------------------------------------------------------------------

    void updatePlannerInputs();

    // Marks a model as deleted from the catalog: it gets no replicas, and loaded ones are unloaded when idle.
    static void clearSpec(PlacementModelState& model);
    void updateEndpoint(const coordination::Instance& instance);

    // ---- Planning --------------------------------------------------------------------------------

    void schedulePlan();
    void planLoop();
    void plan();
    bool startChange(const PlacementChange& change);
    void recordChange(const PlacementChange& change);

    void executeChange(const PlacementChange& change, const ModelRecord& record, const MemoryLedger& ledger,
        const std::string& orderId, int64_t fencingToken, const std::vector<PlacedReplica>& formerReplicas);

    // Writes a model record, and an endpoint's ledger if given, on condition that this daemon is still the owner.
    // Returns false if they were not certainly written. Suspends.
    bool writeRecords(
        const std::string& model, const ModelRecord& record, const std::string* endpoint, const MemoryLedger* ledger);

    // To be called when the content of the KV is no longer known: stops making decisions until all records have been
    // read again. Always returns false.
    bool resynchronise();

    // ---- Endpoints -------------------------------------------------------------------------------

    void sendOrder(const std::string& endpointId, const std::string& bootId, const endpoints::EngineOrder& order);

    // Returns the boot ID of the endpoint for which the replica of load order `orderId` was decided.
    static std::string replicaBootId(
        const ModelRecord& record, const PlacementChange& change, const std::string& orderId);

    bool hasPendingOrders(const std::string& endpointId) const;
    void pollDueEndpoints(base::TimePoint now);
    void pollEndpoint(const std::string& endpointId);
    void applyState(const std::string& endpointId, const endpoints::EngineState& state);
    void resolveReplica(
        const std::string& modelName, const PlacedReplica& replica, const endpoints::EngineState& state);

    // Sends an order again that may have been lost. An endpoint that does not check fencing tokens gets a load order
    // only once, because a second copy could arrive after the model was unloaded.
    void resendOrder(const std::string& modelName, const PlacedReplica& replica, const endpoints::EngineState& state);
    void markReady(const std::string& modelName, const PlacedReplica& loaded);
};

} // namespace rattanshunt::placement

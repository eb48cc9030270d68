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
inline constexpr base::Seconds ownerRankDelay { 2 };
inline constexpr base::Millis demandInterval { 250 }; // between two reports of unchanged demand
inline constexpr base::Millis demandDelay { 5 };      // gathers needs that arise together
inline constexpr base::Seconds demandLife { 2 };      // a daemon's report counts for so long
inline constexpr base::Millis planInterval { 100 };
inline constexpr base::Millis pollWhileBusy { 50 }; // state of an endpoint with an order under way
inline constexpr base::Seconds pollWhileIdle { 5 };
inline constexpr base::Millis engineTimeout { 2000 };
inline constexpr base::Seconds resendInterval { 1 };
inline constexpr size_t recentChanges = 50;
inline constexpr int64_t fencingPerEpoch = int64_t { 1 } << 32;

struct PlacementService::Impl : std::enable_shared_from_this<PlacementService::Impl> {
    Impl(fleet::Fleet& ownFleet, const PlannerOptions& plannerOptions)
        : fleet(ownFleet)
        , catalog(std::make_shared<resources::Catalog>())
    {
        planner.options = plannerOptions;
    }

    struct LocalNeed {
        size_t count = 0;
        resources::ValueClass value = resources::ValueClass::Low;
        base::TimePoint since {};
        std::string account;
    };

    struct DaemonDemand {
        base::TimePoint heardAt {};
        std::map<std::string, LocalNeed> needs;
        std::map<std::string, double> loads; // requests in flight by model
    };

    struct EndpointWork {
        base::Address address;
        bool checksFencing = false;
        std::unique_ptr<net::HttpConnection> connection;
        base::TimePoint nextPoll {};
        bool isPolling = false;
        base::TimePoint decidedAt {};                  // a report asked for before this is out of date
        std::map<std::string, base::TimePoint> sentAt; // when orders were last sent
        int slots = 8;
        double idleSeconds = 0;
        std::string reportedBoot; // as the endpoint last said; empty: not known yet
    };

    fleet::Fleet& fleet;
    std::shared_ptr<const resources::Catalog> catalog;
    std::map<std::string, LocalNeed> needs;    // of this daemon
    std::map<std::string, uint64_t> useCounts; // of this daemon since the last report
    bool isReportPlanned = false;
    bool isStopped = false;

    // As owner
    bool isOwner = false;
    uint64_t generation = 0; // of what was read from the KV; work begun before a new reading is void
    int64_t epoch = 0;
    Revision ownerRevision = 0;
    int64_t lastFencing = 0;
    base::TimePoint goneSince {};
    bool isClaiming = false;
    Planner planner;
    std::map<std::string, Revision> modelRevisions;
    std::map<std::string, Revision> ledgerRevisions;
    std::map<std::string, EndpointWork> work;
    std::map<std::string, DaemonDemand> demand; // by daemon
    bool isPlanPosted = false;
    std::deque<std::string> recent;

    // ---- Demand of this daemon -------------------------------------------------------------------

    void need(const ModelNeed& item, bool isWaiting);
    void planReport();
    json reportBody(base::TimePoint now);
    void report();
    void reportLoop();
    void takeReport(const std::string& daemon, const json& body);
    void mergeDemand(base::TimePoint now);
    void mergeNeed(const std::string& name, const LocalNeed& local, base::TimePoint now);
    double readySlots(const PlannerModel& model);

    // ---- Ownership -------------------------------------------------------------------------------

    std::optional<OwnerRecord> ownerRecord(Revision* revision) const;
    void ownerLoop();
    void checkOwner();
    void claimOwnership(const std::optional<OwnerRecord>& former, Revision expected);

    // Reads all records from the KV and goes on where the former owner stopped.
    void becomeOwner(const OwnerRecord& record, Revision revision);
    bool readRecords();

    // ---- Inputs of the owner ---------------------------------------------------------------------

    void updateInputs();

    // A model that operators deleted wants no replicas; what is loaded is unloaded when idle.
    static void clearSpec(PlannerModel& model);
    void updateEndpoint(const coordination::Instance& instance);

    // ---- Planning --------------------------------------------------------------------------------

    void postPlan();
    void planLoop();
    void plan();
    bool startChange(const Change& change);
    void noteChange(const Change& change);

    void carryOut(const Change& change, const ModelRecord& record, const Ledger& ledger, const std::string& orderId,
        int64_t fencing, const std::vector<Place>& formerPlaces);

    // Writes a model's record, and an endpoint's ledger if given, while this daemon is the owner. Suspends.
    bool writeRecords(
        const std::string& model, const ModelRecord& record, const std::string* endpoint, const Ledger* ledger);

    // What the KV holds is not known any more: stop deciding, read everything again. Always false.
    bool resynchronise();

    // ---- Endpoints -------------------------------------------------------------------------------

    void sendOrder(const std::string& endpointId, const std::string& boot, const endpoints::EngineOrder& order);

    // The start of the endpoint that a place was decided for.
    static std::string bootOf(const ModelRecord& record, const Change& change, const std::string& order);

    bool hasOpenWork(const std::string& endpointId) const;
    void pollDue(base::TimePoint now);
    void poll(const std::string& id);
    void takeState(const std::string& id, const endpoints::EngineState& state);
    void resolvePlace(const std::string& name, const Place& place, const endpoints::EngineState& state);

    // Repeats an order that may have been lost. An endpoint that ignores fencing numbers gets a load order only once:
    // a second copy could arrive after the model was unloaded.
    void resend(const std::string& name, const Place& place, const endpoints::EngineState& state);
    void markReady(const std::string& name, const Place& loaded);
};

} // namespace rattanshunt::placement

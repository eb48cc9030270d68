#include "placement/PlacementService.h"

#include "base/Counters.h"
#include "base/Log.h"
#include "endpoints/EngineOrders.h"

namespace rattanshunt::placement {

using base::LogLevel;
using nlohmann::json;
using platform::KvError;
using platform::Revision;

namespace {
    constexpr base::Millis ownerCheckInterval { 200 };
    constexpr base::Seconds ownerRankDelay { 2 };
    constexpr base::Millis demandInterval { 250 }; // between two reports of unchanged demand
    constexpr base::Millis demandDelay { 5 };      // gathers needs that arise together
    constexpr base::Seconds demandLife { 2 };      // a daemon's report counts for so long
    constexpr base::Millis planInterval { 100 };
    constexpr base::Millis pollWhileBusy { 50 }; // state of an endpoint with an order under way
    constexpr base::Seconds pollWhileIdle { 5 };
    constexpr base::Millis engineTimeout { 2000 };
    constexpr base::Seconds resendInterval { 1 };
    constexpr size_t recentChanges = 50;
    constexpr int64_t fencingPerEpoch = int64_t { 1 } << 32;
}

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

    void need(const ModelNeed& item, bool isWaiting)
    {
        LocalNeed& entry = needs[item.model];
        if (!isWaiting) {
            if (entry.count <= 1)
                needs.erase(item.model);
            else
                --entry.count;
            return;
        }
        if (!entry.count++) {
            entry.since = item.since;
            entry.account = item.account;
            entry.value = item.value;
            planReport();
        } else if (item.value > entry.value) {
            entry.value = item.value;
            planReport();
        }
    }

    void planReport()
    {
        if (isReportPlanned || isStopped)
            return;
        isReportPlanned = true;
        fleet.loop().timers().subscribe(base::Clock::now() + demandDelay, [self = shared_from_this()] {
            self->isReportPlanned = false;
            self->fleet.loop().spawn([self] { self->report(); });
        });
    }

    json reportBody(base::TimePoint now)
    {
        json waiting = json::array();
        for (auto& [model, entry] : needs) {
            auto waited = std::chrono::duration_cast<base::Micros>(now - entry.since).count();
            waiting.push_back({ model, entry.count, static_cast<int>(entry.value), waited, entry.account });
        }
        json loads = json::array();
        for (auto& [model, endpoints] : catalog->ready) {
            int inFlight = 0;
            for (const resources::EndpointInfo& endpoint : endpoints)
                inFlight += endpoint.load->ownInFlight.load(std::memory_order_relaxed);
            auto used = useCounts.find(model);
            if (used != useCounts.end())
                loads.push_back({ model, inFlight });
        }
        useCounts.clear();
        return { { "waiting", std::move(waiting) }, { "loads", std::move(loads) } };
    }

    void report()
    {
        json body = reportBody(base::Clock::now());
        if (isOwner) {
            takeReport(fleet.self().name, body);
            return;
        }
        auto record = ownerRecord(nullptr);
        auto owner = record ? fleet.sessionNamed(record->holder) : std::nullopt;
        if (owner)
            fleet.peers().call(owner->peerAddress, "demand", body, base::Clock::now() + engineTimeout);
    }

    void reportLoop()
    {
        while (!isStopped) {
            net::sleepFor(demandInterval);
            if (!needs.empty() || !useCounts.empty())
                report();
        }
    }

    void takeReport(const std::string& daemon, const json& body)
    {
        base::TimePoint now = base::Clock::now();
        DaemonDemand entry;
        entry.heardAt = now;
        for (const json& item : body.at("waiting")) {
            LocalNeed local;
            local.count = item.at(1).get<size_t>();
            local.value = static_cast<resources::ValueClass>(std::clamp(item.at(2).get<int>(), 0, 2));
            local.since = now - base::Micros(item.at(3).get<int64_t>());
            local.account = item.at(4).get<std::string>();
            entry.needs[item.at(0).get<std::string>()] = local;
        }
        for (const json& item : body.at("loads")) {
            auto model = planner.models.find(item.at(0).get<std::string>());
            if (model != planner.models.end())
                model->second.lastUsed = now;
            entry.loads[item.at(0).get<std::string>()] = item.at(1).get<double>();
        }
        demand[daemon] = std::move(entry);
        mergeDemand(now);
        postPlan();
    }

    void mergeDemand(base::TimePoint now)
    {
        std::erase_if(demand, [&](auto& item) { return now - item.second.heardAt > demandLife; });
        for (auto& [name, model] : planner.models) {
            model.waitingCount = 0;
            model.waitingValue = resources::ValueClass::Low;
            model.load = 0;
        }
        for (auto& [daemon, entry] : demand) {
            for (auto& [name, local] : entry.needs)
                mergeNeed(name, local, now);
            for (auto& [name, load] : entry.loads) {
                auto model = planner.models.find(name);
                if (model != planner.models.end())
                    model->second.load += load / std::max<double>(readySlots(model->second), 1);
            }
        }
    }

    void mergeNeed(const std::string& name, const LocalNeed& local, base::TimePoint now)
    {
        auto found = planner.models.find(name);
        if (found == planner.models.end())
            return;
        PlannerModel& model = found->second;
        if (!model.waitingCount || local.since < model.waitingSince) {
            model.waitingSince = local.since;
            model.waitingAccount = local.account;
        }
        model.waitingCount += local.count;
        model.waitingValue = std::max(model.waitingValue, local.value);
        model.lastUsed = now;
        if (model.base.empty())
            return;
        // An adapter needs the model under it first.
        auto base = planner.models.find(model.base);
        bool hasBase = base != planner.models.end()
            && std::any_of(base->second.places.begin(), base->second.places.end(),
                [](const Place& place) { return place.state == PlaceState::Ready; });
        if (base != planner.models.end() && !hasBase)
            mergeNeed(model.base, local, now);
        else if (base != planner.models.end())
            base->second.lastUsed = now;
    }

    double readySlots(const PlannerModel& model)
    {
        double slots = 0;
        for (const Place& place : model.places) {
            if (place.state == PlaceState::Ready)
                slots += work[place.endpoint].slots;
        }
        return slots;
    }

    // ---- Ownership -------------------------------------------------------------------------------

    std::optional<OwnerRecord> ownerRecord(Revision* revision) const
    {
        auto found = fleet.mirror().records.find(std::string(ownerKey));
        if (found == fleet.mirror().records.end())
            return std::nullopt;
        if (revision)
            *revision = found->second.modRevision;
        return ownerFromText(found->second.value);
    }

    void ownerLoop()
    {
        while (!isStopped) {
            net::sleepFor(ownerCheckInterval);
            checkOwner();
        }
    }

    void checkOwner()
    {
        Revision revision = 0;
        auto record = ownerRecord(&revision);
        bool isOwn = record && record->holder == fleet.self().name && record->incarnation == fleet.self().incarnation;
        if (isOwn && !isOwner && !isClaiming)
            becomeOwner(*record, revision);
        if (!isOwn && isOwner) {
            base::logEvent(LogLevel::Warning, "placement.ownership_lost", { { "epoch", epoch } });
            isOwner = false;
        }
        if (isOwn || isClaiming || !fleet.isMember())
            return;
        auto holder = record ? fleet.sessionNamed(record->holder) : std::nullopt;
        bool isHeld = holder && holder->incarnation == record->incarnation;
        if (isHeld) {
            goneSince = {};
            return;
        }
        base::TimePoint now = base::Clock::now();
        if (goneSince == base::TimePoint {})
            goneSince = now;
        auto ranked = fleet::ownersRank(fleet.sessions(), "placement");
        for (size_t rank = 0; rank < ranked.size(); ++rank) {
            bool isTurn
                = ranked[rank].name == fleet.self().name && now >= goneSince + ownerRankDelay * static_cast<int>(rank);
            if (isTurn)
                claimOwnership(record, revision);
        }
    }

    void claimOwnership(const std::optional<OwnerRecord>& former, Revision expected)
    {
        isClaiming = true;
        OwnerRecord record { fleet.self().name, fleet.self().incarnation, former ? former->epoch + 1 : 1,
            base::randomId() };
        fleet.loop().spawn([self = shared_from_this(), record, expected] {
            std::string text = ownerToText(record);
            platform::KvSwapResult swap = platform::kvSwap(self->fleet.kv(), std::string(ownerKey), expected, text);
            if (swap.outcome == platform::KvSwapOutcome::Done)
                self->fleet.noteWritten(std::string(ownerKey), text, swap.modRevision);
            self->isClaiming = false;
        });
    }

    // Reads all records from the KV and goes on where the former owner stopped.
    void becomeOwner(const OwnerRecord& record, Revision revision)
    {
        isClaiming = true;
        fleet.loop().spawn([self = shared_from_this(), record, revision] {
            if (self->readRecords()) {
                self->epoch = record.epoch;
                self->ownerRevision = revision;
                self->lastFencing = std::max(self->lastFencing, record.epoch * fencingPerEpoch);
                self->goneSince = {};
                self->isOwner = true;
                base::logEvent(LogLevel::Info, "placement.owner", { { "epoch", record.epoch } });
                self->updateInputs();
                self->postPlan();
            }
            self->isClaiming = false;
        });
    }

    bool readRecords()
    {
        platform::KvRangeResult models = fleet.kv().range(std::string(modelPrefix));
        platform::KvRangeResult ledgers = fleet.kv().range(std::string(ledgerPrefix));
        if (models.error != KvError::None || ledgers.error != KvError::None)
            return false;
        ++generation;
        PlannerOptions options = planner.options;
        planner = {};
        planner.options = options;
        modelRevisions.clear();
        ledgerRevisions.clear();
        demand.clear();
        base::TimePoint now = base::Clock::now();
        for (const platform::KvEntry& entry : models.entries) {
            std::string name = entry.key.substr(modelPrefix.size());
            modelRevisions[name] = entry.modRevision;
            if (auto record = modelRecordFromText(entry.value))
                planner.models[name].places = std::move(record->places);
            planner.models[name].name = name;
            planner.models[name].lastUsed = now;
        }
        for (const platform::KvEntry& entry : ledgers.entries) {
            std::string id = entry.key.substr(ledgerPrefix.size());
            ledgerRevisions[id] = entry.modRevision;
            if (auto ledger = ledgerFromText(entry.value))
                planner.endpoints[id].ledger = std::move(*ledger);
            planner.endpoints[id].id = id;
            planner.endpoints[id].isLive = false;
        }
        return true;
    }

    // ---- Inputs of the owner ---------------------------------------------------------------------

    void updateInputs()
    {
        if (!isOwner)
            return;
        for (auto& [name, model] : planner.models)
            clearSpec(model);
        for (auto& [name, spec] : catalog->models) {
            PlannerModel& model = planner.models[name];
            model.name = name;
            model.pool = spec.pool;
            model.bytes = spec.bytes;
            model.replicas = spec.replicas;
            model.minReplicas = spec.minReplicas;
            model.idleTime = spec.idleTime;
        }
        for (auto& [name, spec] : catalog->adapters) {
            auto base = catalog->models.find(spec.model);
            if (base == catalog->models.end())
                continue;
            PlannerModel& model = planner.models[name];
            model.name = name;
            model.base = spec.model;
            model.pool = base->second.pool;
            model.bytes = spec.bytes;
            model.replicas = base->second.replicas;
            model.idleTime = base->second.idleTime;
        }
        for (auto& [id, entry] : fleet.mirror().list)
            updateEndpoint(entry.instance);
    }

    // A model that operators deleted wants no replicas; what is loaded is unloaded when idle.
    static void clearSpec(PlannerModel& model)
    {
        model.replicas = 0;
        model.minReplicas = 0;
        model.idleTime = base::Duration::zero();
    }

    void updateEndpoint(const platform::Instance& instance)
    {
        if (!instance.memoryBytes)
            return;
        PlannerEndpoint& endpoint = planner.endpoints[instance.id];
        endpoint.id = instance.id;
        endpoint.pool = instance.pool;
        endpoint.memoryBytes = instance.memoryBytes;
        endpoint.isLive = instance.state == platform::InstanceState::Live;
        endpoint.isGone = instance.state == platform::InstanceState::Gone;
        EndpointWork& entry = work[instance.id];
        // Only the endpoint itself says which start it is: the list lags and may name an older or a newer one.
        endpoint.boot = entry.reportedBoot;
        entry.address = instance.address;
        entry.checksFencing = instance.checksFencing;
    }

    // ---- Planning --------------------------------------------------------------------------------

    void postPlan()
    {
        if (isPlanPosted || !isOwner)
            return;
        isPlanPosted = true;
        fleet.loop().post([self = shared_from_this()] {
            self->isPlanPosted = false;
            self->plan();
        });
    }

    void planLoop()
    {
        while (!isStopped) {
            net::sleepFor(planInterval);
            if (!isOwner)
                continue;
            mergeDemand(base::Clock::now());
            plan();
        }
    }

    void plan()
    {
        if (!isOwner || isStopped)
            return;
        base::TimePoint now = base::Clock::now();
        while (auto change = plannerNext(planner, now)) {
            if (!startChange(*change))
                break;
        }
        pollDue(now);
    }

    bool startChange(const Change& change)
    {
        ModelRecord record;
        Ledger ledger;
        std::string orderId = base::randomId();
        int64_t fencing = ++lastFencing;
        if (!plannerPrepare(planner, change, orderId, fencing, record, ledger))
            return false;
        planner.models[change.model].isBusy = true;
        planner.endpoints[change.endpoint].isBusy = true;
        // Counted at once, so that the next decision sees the store's load and the endpoint's memory.
        std::vector<Place> formerPlaces = planner.models[change.model].places;
        planner.models[change.model].places = record.places;
        noteChange(change);
        fleet.loop().spawn([self = shared_from_this(), change, record, ledger, orderId, fencing, formerPlaces] {
            self->carryOut(change, record, ledger, orderId, fencing, formerPlaces);
        });
        return true;
    }

    void noteChange(const Change& change)
    {
        static constexpr const char* names[] = { "placement.load", "placement.unload", "placement.forget" };
        const char* name = names[static_cast<int>(change.kind)];
        base::counterAddLabelled("placement_changes_total", "kind", name);
        base::logEvent(LogLevel::Info, name,
            { { "model", change.model }, { "endpoint", change.endpoint }, { "reason", change.reason } });
        recent.push_back(
            fmt::format("{} model={} endpoint={} reason={}", name, change.model, change.endpoint, change.reason));
        if (recent.size() > recentChanges)
            recent.pop_front();
    }

    void carryOut(const Change& change, const ModelRecord& record, const Ledger& ledger, const std::string& orderId,
        int64_t fencing, const std::vector<Place>& formerPlaces)
    {
        uint64_t begunIn = generation;
        bool isWritten = writeRecords(change.model, record, &change.endpoint, &ledger);
        if (!isOwner || generation != begunIn)
            return;
        PlannerModel& model = planner.models[change.model];
        PlannerEndpoint& endpoint = planner.endpoints[change.endpoint];
        EndpointWork& entry = work[change.endpoint];
        if (!isWritten) {
            model.places = formerPlaces;
        } else {
            endpoint.ledger = ledger;
            entry.decidedAt = base::Clock::now();
            entry.nextPoll = {};
            if (change.kind == ChangeKind::Load) {
                planner.servedBytes[model.waitingAccount] += static_cast<double>(model.bytes);
                sendOrder(change.endpoint, bootOf(record, change, orderId),
                    { endpoints::OrderAction::Load, change.model, model.base, model.bytes, orderId, fencing });
            } else if (change.kind == ChangeKind::Unload) {
                sendOrder(change.endpoint, bootOf(record, change, change.order),
                    { endpoints::OrderAction::Unload, change.model, model.base, model.bytes, change.order, fencing });
            }
        }
        planner.models[change.model].isBusy = false;
        planner.endpoints[change.endpoint].isBusy = false;
        postPlan();
    }

    // Writes a model's record, and an endpoint's ledger if given, while this daemon is the owner. Suspends.
    bool writeRecords(
        const std::string& model, const ModelRecord& record, const std::string* endpoint, const Ledger* ledger)
    {
        std::vector<platform::KvCompare> compares
            = { { std::string(ownerKey), ownerRevision }, { modelKvKey(model), modelRevisions[model] } };
        std::vector<platform::KvWrite> writes;
        if (record.places.empty())
            writes.push_back({ modelKvKey(model), std::nullopt });
        else
            writes.push_back({ modelKvKey(model), modelRecordToText(record) });
        if (ledger) {
            compares.push_back({ ledgerKvKey(*endpoint), ledgerRevisions[*endpoint] });
            writes.push_back({ ledgerKvKey(*endpoint), ledgerToText(*ledger) });
        }
        uint64_t begunIn = generation;
        platform::KvTxnResult result = fleet.kv().txn(compares, writes);
        // The records were read again meanwhile: their revisions must not be mixed with those of this write. If it took
        // effect after that reading, the next write's comparison fails and everything is read once more.
        if (generation != begunIn || result.error == KvError::NotDone)
            return false;
        if (result.error == KvError::Unknown || !result.isApplied)
            return resynchronise();
        modelRevisions[model] = record.places.empty() ? 0 : result.revision;
        if (ledger)
            ledgerRevisions[*endpoint] = result.revision;
        if (!record.places.empty())
            fleet.noteWritten(modelKvKey(model), modelRecordToText(record), result.revision);
        return true;
    }

    // What the KV holds is not known any more: stop deciding, read everything again. Always false.
    bool resynchronise()
    {
        base::counterAdd("placement_resyncs_total");
        // checkOwner() starts anew from the KV while the record still names this daemon.
        isOwner = false;
        return false;
    }

    // ---- Endpoints -------------------------------------------------------------------------------

    void sendOrder(const std::string& endpointId, const std::string& boot, const endpoints::EngineOrder& order)
    {
        EndpointWork& entry = work[endpointId];
        entry.sentAt[order.order + (order.action == endpoints::OrderAction::Load ? "" : "/unload")]
            = base::Clock::now();
        auto connection = net::HttpConnection::create(fleet.loop(), entry.address);
        endpoints::OrderOutcome outcome
            = endpoints::engineOrderSend(*connection, order, boot, base::Clock::now() + engineTimeout);
        if (outcome != endpoints::OrderOutcome::Accepted)
            base::logEvent(LogLevel::Warning, "placement.order_failed",
                { { "endpoint", endpointId }, { "model", order.model }, { "outcome", static_cast<int>(outcome) } });
        if (outcome == endpoints::OrderOutcome::NotSent)
            work[endpointId].sentAt.erase(order.order);
    }

    // The start of the endpoint that a place was decided for.
    static std::string bootOf(const ModelRecord& record, const Change& change, const std::string& order)
    {
        for (const Place& place : record.places) {
            if (place.endpoint == change.endpoint && place.order == order)
                return place.boot;
        }
        return {};
    }

    bool hasOpenWork(const std::string& endpointId) const
    {
        for (auto& [name, model] : planner.models) {
            for (const Place& place : model.places) {
                if (place.endpoint == endpointId && place.state != PlaceState::Ready)
                    return true;
            }
        }
        return false;
    }

    void pollDue(base::TimePoint now)
    {
        for (auto& [id, entry] : work) {
            auto endpoint = planner.endpoints.find(id);
            bool isGone = endpoint == planner.endpoints.end() || endpoint->second.isGone;
            if (isGone || entry.isPolling)
                continue;
            bool isDue
                = now >= entry.nextPoll || (hasOpenWork(id) && now + pollWhileIdle >= entry.nextPoll + pollWhileBusy);
            if (!isDue)
                continue;
            entry.isPolling = true;
            entry.nextPoll = now + (hasOpenWork(id) ? base::Duration(pollWhileBusy) : base::Duration(pollWhileIdle));
            fleet.loop().spawn([self = shared_from_this(), id = id] { self->poll(id); });
        }
    }

    void poll(const std::string& id)
    {
        EndpointWork& entry = work[id];
        if (!entry.connection || !entry.connection->isReusable())
            entry.connection = net::HttpConnection::create(fleet.loop(), entry.address);
        base::TimePoint sentAt = base::Clock::now();
        auto state = endpoints::engineStateRead(*entry.connection, sentAt + engineTimeout);
        entry.isPolling = false;
        if (!state) {
            entry.connection.reset();
            return;
        }
        bool isOutOfDate = entry.decidedAt >= sentAt;
        if (!isOwner || isOutOfDate)
            return;
        takeState(id, *state);
        // An order under way is looked at soon again, without waiting for the next plan.
        if (hasOpenWork(id)) {
            net::sleepFor(pollWhileBusy);
            postPlan();
        }
    }

    void takeState(const std::string& id, const endpoints::EngineState& state)
    {
        PlannerEndpoint& endpoint = planner.endpoints[id];
        endpoint.boot = work[id].reportedBoot = state.report.boot;
        endpoint.cached = state.cached;
        work[id].slots = std::max(state.slots, 1);
        work[id].idleSeconds = state.accelerationIdleSeconds;
        for (auto& [name, model] : planner.models) {
            if (model.isBusy || endpoint.isBusy)
                continue;
            for (const Place& place : model.places) {
                if (place.endpoint == id && place.state != PlaceState::Ready) {
                    resolvePlace(name, place, state);
                    break;
                }
            }
        }
        postPlan();
    }

    void resolvePlace(const std::string& name, const Place& place, const endpoints::EngineState& state)
    {
        Resolution resolution = plannerResolve(place, state.report, planner.options);
        bool isEnded = resolution == Resolution::Ended;
        if (isEnded) {
            startChange({ ChangeKind::Forget, name, place.endpoint, place.order,
                place.state == PlaceState::Unloading ? "unloaded" : "load_failed" });
            return;
        }
        if (place.state == PlaceState::Loading && resolution == Resolution::Loaded) {
            markReady(name, place);
            return;
        }
        resend(name, place, state);
    }

    // Repeats an order that may have been lost. An endpoint that ignores fencing numbers gets a load order only once:
    // a second copy could arrive after the model was unloaded.
    void resend(const std::string& name, const Place& place, const endpoints::EngineState& state)
    {
        bool isUnload = place.state == PlaceState::Unloading;
        EndpointWork& entry = work[place.endpoint];
        // An order of this start that is not noted as sent was never sent: its records were written, then lost from
        // view.
        bool wasNeverSent = place.fencing / fencingPerEpoch == epoch && !entry.sentAt.contains(place.order);
        bool mayRepeat = state.report.checksFencing || wasNeverSent;
        if (!isUnload && (!mayRepeat || state.report.loadingOrders.contains(place.order)))
            return;
        base::TimePoint& sentAt = entry.sentAt[place.order + (isUnload ? "/unload" : "")];
        base::TimePoint now = base::Clock::now();
        if (now - sentAt < resendInterval)
            return;
        sentAt = now;
        const PlannerModel& model = planner.models[name];
        endpoints::EngineOrder order { isUnload ? endpoints::OrderAction::Unload : endpoints::OrderAction::Load, name,
            model.base, model.bytes, place.order, isUnload ? ++lastFencing : place.fencing };
        fleet.loop().spawn([self = shared_from_this(), id = place.endpoint, boot = place.boot, order] {
            self->sendOrder(id, boot, order);
        });
    }

    void markReady(const std::string& name, const Place& loaded)
    {
        PlannerModel& model = planner.models[name];
        ModelRecord record { model.places, base::randomId() };
        for (Place& place : record.places) {
            if (place.order == loaded.order)
                place.state = PlaceState::Ready;
        }
        model.isBusy = true;
        fleet.loop().spawn([self = shared_from_this(), name, record, order = loaded.order] {
            uint64_t begunIn = self->generation;
            bool isWritten = self->writeRecords(name, record, nullptr, nullptr);
            if (self->generation != begunIn)
                return;
            PlannerModel& written = self->planner.models[name];
            written.isBusy = false;
            if (!isWritten)
                return;
            written.places = record.places;
            written.lastUsed = base::Clock::now();
            base::logEvent(LogLevel::Info, "placement.ready", { { "model", name }, { "order", order } });
            self->postPlan();
        });
    }
};

PlacementService::PlacementService(fleet::Fleet& fleet, const PlannerOptions& options)
    : m_impl(std::make_shared<Impl>(fleet, options))
{
    fleet.addMethod("demand", [impl = m_impl](const std::string& from, const json& body) {
        if (impl->isOwner)
            impl->takeReport(from, body);
        return json({ { "owner", impl->isOwner } });
    });
}

PlacementService::~PlacementService() = default;

void PlacementService::start()
{
    net::Loop& loop = m_impl->fleet.loop();
    loop.spawn([impl = m_impl] { impl->ownerLoop(); });
    loop.spawn([impl = m_impl] { impl->planLoop(); });
    loop.spawn([impl = m_impl] { impl->reportLoop(); });
}

void PlacementService::release()
{
    if (!m_impl->isOwner)
        return;
    m_impl->isOwner = false;
    m_impl->isStopped = true;
    OwnerRecord record { "", "", m_impl->epoch, base::randomId() };
    platform::kvSwap(m_impl->fleet.kv(), std::string(ownerKey), m_impl->ownerRevision, ownerToText(record));
}

void PlacementService::stop()
{
    m_impl->isStopped = true;
}

void PlacementService::setCatalog(std::shared_ptr<const resources::Catalog> catalog)
{
    m_impl->catalog = std::move(catalog);
    m_impl->updateInputs();
}

void PlacementService::need(const ModelNeed& item, bool isWaiting)
{
    m_impl->fleet.loop().post([impl = m_impl, item, isWaiting] { impl->need(item, isWaiting); });
}

void PlacementService::used(const std::string& model)
{
    m_impl->fleet.loop().post([impl = m_impl, model] { ++impl->useCounts[model]; });
}

PlacementStatus PlacementService::status() const
{
    PlacementStatus status;
    auto record = m_impl->ownerRecord(nullptr);
    if (record) {
        status.owner = record->holder;
        status.epoch = record->epoch;
    }
    status.isOwn = m_impl->isOwner;
    for (auto& [id, entry] : m_impl->work)
        status.idleAcceleratorSeconds += entry.idleSeconds;
    status.loadsUnderWay = plannerLoading(m_impl->planner, false) + plannerLoading(m_impl->planner, true);
    status.recent.assign(m_impl->recent.begin(), m_impl->recent.end());
    return status;
}

} // namespace rattanshunt::placement

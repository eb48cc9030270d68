// Ownership of placement, and the planner's inputs.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Ownership -----------------------------------------------------------------------------------

std::optional<OwnerRecord> PlacementService::Impl::ownerRecord(Revision* revision) const
{
    auto found = fleet.mirror().records.find(std::string(ownerKvKey));
    if (found == fleet.mirror().records.end())
        return std::nullopt;
    if (revision)
        *revision = found->second.modRevision;
    return ownerFromText(found->second.value);
}

void PlacementService::Impl::ownerLoop()
{
    while (!isStopped) {
        net::sleepFor(ownerCheckInterval);
        checkOwner();
    }
}

void PlacementService::Impl::checkOwner()
{
    Revision revision = 0;
    auto record = ownerRecord(&revision);
    bool isOwn = record && record->holder == fleet.self().name && record->incarnation == fleet.self().incarnation;
    if (isOwn && !isOwner && !isOwnershipChanging)
        becomeOwner(*record, revision);
    if (!isOwn && isOwner) {
        base::logEvent(LogLevel::Warning, "placement.ownership_lost", { { "epoch", epoch } });
        isOwner = false;
    }
    if (isOwn || isOwnershipChanging || !fleet.isMember())
        return;
    auto holder = record ? fleet.sessionNamed(record->holder) : std::nullopt;
    bool isHeld = holder && holder->incarnation == record->incarnation;
    if (isHeld) {
        ownerGoneSince = {};
        return;
    }
    base::TimePoint now = base::Clock::now();
    if (ownerGoneSince == base::TimePoint {})
        ownerGoneSince = now;
    auto ranked = fleet::ownersRank(fleet.sessions(), "placement");
    for (size_t rank = 0; rank < ranked.size(); ++rank) {
        bool isTurn = ranked[rank].name == fleet.self().name
            && now >= ownerGoneSince + takeoverDelayPerRank * static_cast<int>(rank);
        if (isTurn)
            claimOwnership(record, revision);
    }
}

void PlacementService::Impl::claimOwnership(const std::optional<OwnerRecord>& former, Revision expected)
{
    isOwnershipChanging = true;
    OwnerRecord record { fleet.self().name, fleet.self().incarnation, former ? former->epoch + 1 : 1,
        base::randomId() };
    fleet.loop().spawn([self = shared_from_this(), record, expected] {
        std::string text = ownerToText(record);
        coordination::KvSwapResult result
            = coordination::kvSwap(self->fleet.kv(), std::string(ownerKvKey), expected, text);
        if (result.outcome == coordination::KvSwapOutcome::Done)
            self->fleet.applyOwnWrite(std::string(ownerKvKey), text, result.modRevision);
        self->isOwnershipChanging = false;
    });
}

void PlacementService::Impl::becomeOwner(const OwnerRecord& record, Revision revision)
{
    isOwnershipChanging = true;
    fleet.loop().spawn([self = shared_from_this(), record, revision] {
        if (self->readRecords()) {
            self->epoch = record.epoch;
            self->ownerRevision = revision;
            self->lastFencingToken = std::max(self->lastFencingToken, record.epoch * fencingTokensPerEpoch);
            self->ownerGoneSince = {};
            self->isOwner = true;
            base::logEvent(LogLevel::Info, "placement.owner", { { "epoch", record.epoch } });
            self->updatePlannerInputs();
            self->schedulePlan();
        }
        self->isOwnershipChanging = false;
    });
}

bool PlacementService::Impl::readRecords()
{
    coordination::KvRangeResult models = fleet.kv().range(std::string(modelKeyPrefix));
    coordination::KvRangeResult ledgers = fleet.kv().range(std::string(memoryLedgerKeyPrefix));
    if (models.error != KvError::None || ledgers.error != KvError::None)
        return false;
    ++generation;
    PlacementOptions options = planner.options;
    planner = {};
    planner.options = options;
    modelRevisions.clear();
    ledgerRevisions.clear();
    demandByDaemon.clear();
    base::TimePoint now = base::Clock::now();
    for (const coordination::KvEntry& entry : models.entries) {
        std::string name = entry.key.substr(modelKeyPrefix.size());
        modelRevisions[name] = entry.modRevision;
        if (auto record = modelRecordFromText(entry.value))
            planner.models[name].placedReplicas = std::move(record->placedReplicas);
        planner.models[name].name = name;
        planner.models[name].lastUsedAt = now;
    }
    for (const coordination::KvEntry& entry : ledgers.entries) {
        std::string id = entry.key.substr(memoryLedgerKeyPrefix.size());
        ledgerRevisions[id] = entry.modRevision;
        if (auto ledger = memoryLedgerFromText(entry.value))
            planner.endpoints[id].ledger = std::move(*ledger);
        planner.endpoints[id].id = id;
        planner.endpoints[id].isLive = false;
    }
    return true;
}

// ---- Inputs of the owner -------------------------------------------------------------------------

void PlacementService::Impl::updatePlannerInputs()
{
    if (!isOwner)
        return;
    for (auto& [name, model] : planner.models)
        clearSpec(model);
    for (auto& [name, spec] : catalog->models) {
        PlacementModelState& model = planner.models[name];
        model.name = name;
        model.pool = spec.pool;
        model.bytes = spec.bytes;
        model.maxReplicas = spec.maxReplicas;
        model.minReplicas = spec.minReplicas;
        model.idleTime = spec.idleTimeout;
    }
    for (auto& [name, spec] : catalog->adapters) {
        auto base = catalog->models.find(spec.model);
        if (base == catalog->models.end())
            continue;
        PlacementModelState& model = planner.models[name];
        model.name = name;
        model.base = spec.model;
        model.pool = base->second.pool;
        model.bytes = spec.bytes;
        model.maxReplicas = base->second.maxReplicas;
        model.idleTime = base->second.idleTimeout;
    }
    for (auto& [id, entry] : fleet.mirror().instances)
        updateEndpoint(entry.instance);
}

void PlacementService::Impl::clearSpec(PlacementModelState& model)
{
    model.maxReplicas = 0;
    model.minReplicas = 0;
    model.idleTime = base::Duration::zero();
}

void PlacementService::Impl::updateEndpoint(const coordination::Instance& instance)
{
    if (!instance.memoryBytes)
        return;
    PlacementEndpointState& endpoint = planner.endpoints[instance.id];
    endpoint.id = instance.id;
    endpoint.pool = instance.pool;
    endpoint.memoryBytes = instance.memoryBytes;
    endpoint.isLive = instance.state == coordination::InstanceState::Live;
    endpoint.isGone = instance.state == coordination::InstanceState::Gone;
    EndpointClient& entry = endpointClients[instance.id];
    // The boot ID is taken only from the endpoint's own report. The instance list lags and may name an older or a newer
    // start.
    endpoint.bootId = entry.reportedBootId;
    entry.address = instance.address;
    entry.checksFencing = instance.checksFencing;
}

} // namespace rattanshunt::placement

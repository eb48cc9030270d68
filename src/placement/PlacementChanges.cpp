// Writes the planner's changes to the KV and sends the orders that follow from them.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Planning ------------------------------------------------------------------------------------

void PlacementService::Impl::schedulePlan()
{
    if (isPlanScheduled || !isOwner)
        return;
    isPlanScheduled = true;
    fleet.loop().post([self = shared_from_this()] {
        self->isPlanScheduled = false;
        self->plan();
    });
}

void PlacementService::Impl::planLoop()
{
    while (!isStopped) {
        net::sleepFor(planInterval);
        if (!isOwner)
            continue;
        mergeDemand(base::Clock::now());
        plan();
    }
}

void PlacementService::Impl::plan()
{
    if (!isOwner || isStopped)
        return;
    base::TimePoint now = base::Clock::now();
    while (auto change = placementNextChange(planner, now)) {
        if (!startChange(*change))
            break;
    }
    pollDueEndpoints(now);
}

bool PlacementService::Impl::startChange(const PlacementChange& change)
{
    ModelRecord record;
    MemoryLedger ledger;
    std::string orderId = base::randomId();
    int64_t fencingToken = ++lastFencingToken;
    if (!placementApplyChange(planner, change, orderId, fencingToken, record, ledger))
        return false;
    planner.models[change.model].hasPendingWrite = true;
    planner.endpoints[change.endpoint].hasPendingWrite = true;
    // Apply the change to the planner now, so that the next decision accounts for the load on the weight store and for
    // the endpoint's memory.
    std::vector<PlacedReplica> formerReplicas = planner.models[change.model].placedReplicas;
    planner.models[change.model].placedReplicas = record.placedReplicas;
    recordChange(change);
    fleet.loop().spawn([self = shared_from_this(), change, record, ledger, orderId, fencingToken, formerReplicas] {
        self->executeChange(change, record, ledger, orderId, fencingToken, formerReplicas);
    });
    return true;
}

void PlacementService::Impl::recordChange(const PlacementChange& change)
{
    static constexpr const char* names[] = { "placement.load", "placement.unload", "placement.forget" };
    const char* name = names[static_cast<int>(change.kind)];
    base::counterAddLabelled("placement_changes_total", "kind", name);
    base::logEvent(LogLevel::Info, name,
        { { "model", change.model }, { "endpoint", change.endpoint }, { "reason", change.reason } });
    changeHistory.push_back(
        fmt::format("{} model={} endpoint={} reason={}", name, change.model, change.endpoint, change.reason));
    if (changeHistory.size() > maxChangeHistory)
        changeHistory.pop_front();
}

void PlacementService::Impl::executeChange(const PlacementChange& change, const ModelRecord& record,
    const MemoryLedger& ledger, const std::string& orderId, int64_t fencingToken,
    const std::vector<PlacedReplica>& formerReplicas)
{
    uint64_t startGeneration = generation;
    bool isWritten = writeRecords(change.model, record, &change.endpoint, &ledger);
    if (!isOwner || generation != startGeneration)
        return;
    PlacementModelState& model = planner.models[change.model];
    PlacementEndpointState& endpoint = planner.endpoints[change.endpoint];
    EndpointClient& client = endpointClients[change.endpoint];
    if (!isWritten) {
        model.placedReplicas = formerReplicas;
    } else {
        endpoint.ledger = ledger;
        client.lastChangeAt = base::Clock::now();
        client.nextPollAt = {};
        if (change.kind == PlacementChangeKind::Load) {
            planner.loadedBytesByAccount[model.waitingAccount] += static_cast<double>(model.bytes);
            sendOrder(change.endpoint, replicaBootId(record, change, orderId),
                { endpoints::OrderAction::Load, change.model, model.base, model.bytes, orderId, fencingToken });
        } else if (change.kind == PlacementChangeKind::Unload) {
            sendOrder(change.endpoint, replicaBootId(record, change, change.orderId),
                { endpoints::OrderAction::Unload, change.model, model.base, model.bytes, change.orderId,
                    fencingToken });
        }
    }
    planner.models[change.model].hasPendingWrite = false;
    planner.endpoints[change.endpoint].hasPendingWrite = false;
    schedulePlan();
}

bool PlacementService::Impl::writeRecords(
    const std::string& model, const ModelRecord& record, const std::string* endpoint, const MemoryLedger* ledger)
{
    std::vector<coordination::KvCompare> compares
        = { { std::string(ownerKvKey), ownerRevision }, { modelKvKey(model), modelRevisions[model] } };
    std::vector<coordination::KvWrite> writes;
    if (record.placedReplicas.empty())
        writes.push_back({ modelKvKey(model), std::nullopt });
    else
        writes.push_back({ modelKvKey(model), modelRecordToText(record) });
    if (ledger) {
        compares.push_back({ memoryLedgerKvKey(*endpoint), ledgerRevisions[*endpoint] });
        writes.push_back({ memoryLedgerKvKey(*endpoint), memoryLedgerToText(*ledger) });
    }
    uint64_t startGeneration = generation;
    coordination::KvTxnResult result = fleet.kv().txn(compares, writes);
    // If all records were read again in the meantime, their revisions must not be mixed with the one of this write. If
    // the write took effect after that reading, the next write's comparison fails and all records are read once more.
    if (generation != startGeneration || result.error == KvError::NotApplied)
        return false;
    if (result.error == KvError::OutcomeUnknown || !result.isApplied)
        return resynchronise();
    modelRevisions[model] = record.placedReplicas.empty() ? 0 : result.revision;
    if (ledger)
        ledgerRevisions[*endpoint] = result.revision;
    if (!record.placedReplicas.empty())
        fleet.applyOwnWrite(modelKvKey(model), modelRecordToText(record), result.revision);
    return true;
}

bool PlacementService::Impl::resynchronise()
{
    base::counterAdd("placement_resyncs_total");
    // checkOwner() reads all records again if the owner record still names this daemon.
    isOwner = false;
    return false;
}

} // namespace rattanshunt::placement

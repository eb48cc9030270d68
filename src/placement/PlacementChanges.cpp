// Carries the planner's changes to the platform's store.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

// ---- Planning ------------------------------------------------------------------------------------

void PlacementService::Impl::postPlan()
{
    if (isPlanPosted || !isOwner)
        return;
    isPlanPosted = true;
    fleet.loop().post([self = shared_from_this()] {
        self->isPlanPosted = false;
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
    while (auto change = plannerNext(planner, now)) {
        if (!startChange(*change))
            break;
    }
    pollDue(now);
}

bool PlacementService::Impl::startChange(const Change& change)
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

void PlacementService::Impl::noteChange(const Change& change)
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

void PlacementService::Impl::carryOut(const Change& change, const ModelRecord& record, const Ledger& ledger,
    const std::string& orderId, int64_t fencing, const std::vector<Place>& formerPlaces)
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

bool PlacementService::Impl::writeRecords(
    const std::string& model, const ModelRecord& record, const std::string* endpoint, const Ledger* ledger)
{
    std::vector<coordination::KvCompare> compares
        = { { std::string(ownerKey), ownerRevision }, { modelKvKey(model), modelRevisions[model] } };
    std::vector<coordination::KvWrite> writes;
    if (record.places.empty())
        writes.push_back({ modelKvKey(model), std::nullopt });
    else
        writes.push_back({ modelKvKey(model), modelRecordToText(record) });
    if (ledger) {
        compares.push_back({ ledgerKvKey(*endpoint), ledgerRevisions[*endpoint] });
        writes.push_back({ ledgerKvKey(*endpoint), ledgerToText(*ledger) });
    }
    uint64_t begunIn = generation;
    coordination::KvTxnResult result = fleet.kv().txn(compares, writes);
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

bool PlacementService::Impl::resynchronise()
{
    base::counterAdd("placement_resyncs_total");
    // checkOwner() starts anew from the KV while the record still names this daemon.
    isOwner = false;
    return false;
}

} // namespace rattanshunt::placement

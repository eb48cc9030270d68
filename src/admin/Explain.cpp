#include "admin/Explain.h"

#include "entry/Outcome.h"

namespace rattanshunt::admin {

using nlohmann::json;

namespace {

    json explainModel(const entry::DaemonContext& context, const std::string& name)
    {
        auto catalog = context.catalog();
        bool isModel = catalog->models.contains(name);
        bool isAdapter = catalog->adapters.contains(name);
        json notes = json::array();
        if (!isModel && !isAdapter)
            notes.push_back("no model or adapter has this name");
        json replicas = json::array();
        auto record = catalog->placements.find(name);
        if (record != catalog->placements.end()) {
            for (const placement::PlacedReplica& replica : record->second.placedReplicas)
                replicas.push_back(
                    { { "endpoint", replica.endpoint }, { "state", placement::placedReplicaStateName(replica.state) },
                        { "order", replica.orderId }, { "fencing", replica.fencingToken } });
        }
        if (replicas.empty() && (isModel || isAdapter))
            notes.push_back("no replica is placed: the first request loads one");
        json changes = json::array();
        for (const std::string& change : context.placement.status().changeHistory) {
            if (change.find("model=" + name + " ") != std::string::npos)
                changes.push_back(change);
        }
        placement::PlacementStatus status = context.placement.status();
        if (!status.isOwn)
            notes.push_back(
                "the latest changes and their reasons are available from the placement owner: " + status.owner);
        return { { "kind", "model" }, { "name", name }, { "notes", notes }, { "places", replicas },
            { "recent_changes", changes }, { "placement_owner", status.owner } };
    }

    json explainAccount(const entry::DaemonContext& context, const std::string& name)
    {
        auto catalog = context.catalog();
        auto account = catalog->accounts.find(name);
        if (account == catalog->accounts.end())
            return { { "kind", "account" }, { "name", name },
                { "notes", json::array({ "no client account has this name" }) } };
        json lenders = json::array();
        for (const budget::SlotStatus& slot : context.budget.slots()) {
            json lender = { { "slot", slot.slot }, { "holder", slot.holder }, { "epoch", slot.epoch } };
            if (slot.isOwn)
                lender["tokens_left"] = slot.levels.contains(name)
                    ? slot.levels.at(name)
                    : account->second.burst / static_cast<double>(context.settings.budgetSlots);
            lenders.push_back(std::move(lender));
        }
        return { { "kind", "account" }, { "name", name }, { "rate", account->second.rate },
            { "burst", account->second.burst }, { "weight", account->second.weight }, { "homes", lenders },
            { "notes",
                json::array({ "each home holds an equal share of the budget; tokens_left is shown only for homes on "
                              "this instance" }) } };
    }

    json explainInstance(const fleet::Fleet& fleet, const std::string& name)
    {
        auto session = fleet.sessionNamed(name);
        if (!session)
            return { { "kind", "instance" }, { "name", name },
                { "notes", json::array({ "no session: it has not joined, has left or its lease has ended" }) } };
        return { { "kind", "instance" }, { "name", name }, { "incarnation", session->incarnation },
            { "peer", base::formatAddress(session->peerAddress) }, { "data_center", session->dataCenter },
            { "state", session->state == fleet::SessionState::Ready ? "ready" : "leaving" } };
    }

    json explainReason(const std::string& name)
    {
        for (const entry::ReasonInfo& info : entry::reasonTable()) {
            if (name == info.name)
                return { { "kind", "reason" }, { "name", name }, { "status", info.status },
                    { "outcome", entry::outcomeName(info.outcome) }, { "message", info.message },
                    { "callers_fault", info.isCallersFault } };
        }
        return { { "kind", "reason" }, { "name", name }, { "notes", json::array({ "no reason has this name" }) } };
    }

} // namespace

json explainSubject(
    const fleet::Fleet& fleet, const entry::DaemonContext& context, const std::string& kind, const std::string& name)
{
    if (kind == "model")
        return explainModel(context, name);
    if (kind == "account")
        return explainAccount(context, name);
    if (kind == "instance")
        return explainInstance(fleet, name);
    if (kind == "reason")
        return explainReason(name);
    return { { "error", "kind must be model, account, instance or reason" } };
}

json explainDaemonState(fleet::Fleet& fleet, const entry::DaemonContext& context)
{
    base::TimePoint now = base::Clock::now();
    json slots = json::array();
    for (const budget::SlotStatus& slot : context.budget.slots())
        slots.push_back({ { "slot", slot.slot }, { "holder", slot.holder }, { "epoch", slot.epoch },
            { "own", slot.isOwn }, { "levels", slot.levels } });
    placement::PlacementStatus placement = context.placement.status();
    auto catalog = context.catalog();
    return { { "name", fleet.self().name }, { "incarnation", fleet.self().incarnation },
        { "revision", fleet.mirror().revision }, { "records", fleet.mirror().records.size() },
        { "instances_listed", fleet.mirror().instances.size() },
        { "fresh_ms_ago",
            fleet.mirror().freshAsOf == base::TimePoint {} ? -1 : base::millisOf(now - fleet.mirror().freshAsOf) },
        { "freshness", fleet::freshnessName(fleet.freshness(now)) }, { "relay", fleet.isRelay() }, { "slots", slots },
        { "peer_links", fleet.peers().connectionCount() }, { "peer_bytes_sent", fleet.peers().bytesSent() },
        { "peer_bytes_received", fleet.peers().bytesReceived() }, { "placement_owner", placement.owner },
        { "placement_is_own", placement.isOwn }, { "recent_placements", placement.changeHistory },
        { "faulty_records", catalog->recordErrors } };
}

} // namespace rattanshunt::admin

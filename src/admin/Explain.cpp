#include "admin/Explain.h"

#include "entry/Outcome.h"

namespace rattanshunt::admin {

using nlohmann::json;

namespace {

    json explainModel(const entry::DaemonContext& backbone, const std::string& name)
    {
        auto catalog = backbone.catalog();
        bool isModel = catalog->models.contains(name);
        bool isAdapter = catalog->adapters.contains(name);
        json lines = json::array();
        if (!isModel && !isAdapter)
            lines.push_back("no model or adapter has this name");
        json places = json::array();
        auto record = catalog->placements.find(name);
        if (record != catalog->placements.end()) {
            for (const placement::PlacedReplica& place : record->second.placedReplicas)
                places.push_back(
                    { { "endpoint", place.endpoint }, { "state", placement::placedReplicaStateName(place.state) },
                        { "order", place.orderId }, { "fencing", place.fencingToken } });
        }
        if (places.empty() && (isModel || isAdapter))
            lines.push_back("no replica is decided: the first request loads one");
        json recent = json::array();
        for (const std::string& change : backbone.placement.status().changeHistory) {
            if (change.find("model=" + name + " ") != std::string::npos)
                recent.push_back(change);
        }
        placement::PlacementStatus status = backbone.placement.status();
        if (!status.isOwn)
            lines.push_back("latest changes with their reasons are known to the placement owner: ask " + status.owner);
        return { { "kind", "model" }, { "name", name }, { "notes", lines }, { "places", places },
            { "recent_changes", recent }, { "placement_owner", status.owner } };
    }

    json explainAccount(const entry::DaemonContext& backbone, const std::string& name)
    {
        auto catalog = backbone.catalog();
        auto account = catalog->accounts.find(name);
        if (account == catalog->accounts.end())
            return { { "kind", "account" }, { "name", name },
                { "notes", json::array({ "no client account has this name" }) } };
        json homes = json::array();
        for (const budget::SlotStatus& slot : backbone.budget.slots()) {
            json home = { { "slot", slot.slot }, { "holder", slot.holder }, { "epoch", slot.epoch } };
            if (slot.isOwn)
                home["tokens_left"] = slot.levels.contains(name)
                    ? slot.levels.at(name)
                    : account->second.burst / static_cast<double>(backbone.settings.budgetSlots);
            homes.push_back(std::move(home));
        }
        return { { "kind", "account" }, { "name", name }, { "rate", account->second.rate },
            { "burst", account->second.burst }, { "weight", account->second.weight }, { "homes", homes },
            { "notes",
                json::array(
                    { "each home holds an equal part; tokens left are shown for the homes on this instance" }) } };
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
        return { { "kind", "reason" }, { "name", name }, { "notes", json::array({ "there is no such reason" }) } };
    }

} // namespace

json explainSubject(
    const fleet::Fleet& fleet, const entry::DaemonContext& backbone, const std::string& kind, const std::string& name)
{
    if (kind == "model")
        return explainModel(backbone, name);
    if (kind == "account")
        return explainAccount(backbone, name);
    if (kind == "instance")
        return explainInstance(fleet, name);
    if (kind == "reason")
        return explainReason(name);
    return { { "error", "kind must be model, account, instance or reason" } };
}

json explainDaemonState(fleet::Fleet& fleet, const entry::DaemonContext& backbone)
{
    base::TimePoint now = base::Clock::now();
    json slots = json::array();
    for (const budget::SlotStatus& slot : backbone.budget.slots())
        slots.push_back({ { "slot", slot.slot }, { "holder", slot.holder }, { "epoch", slot.epoch },
            { "own", slot.isOwn }, { "levels", slot.levels } });
    placement::PlacementStatus placement = backbone.placement.status();
    auto catalog = backbone.catalog();
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

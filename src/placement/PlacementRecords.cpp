#include "placement/PlacementRecords.h"
#include "base/Json.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace rattanshunt::placement {

using nlohmann::json;

const char* placedReplicaStateName(PlacedReplicaState state)
{
    switch (state) {
    case PlacedReplicaState::Loading:
        return "loading";
    case PlacedReplicaState::Ready:
        return "ready";
    case PlacedReplicaState::Unloading:
        return "unloading";
    }
    return "loading";
}

std::string modelKvKey(std::string_view name)
{
    return fmt::format("{}{}", modelKeyPrefix, name);
}
std::string memoryLedgerKvKey(std::string_view endpoint)
{
    return fmt::format("{}{}", memoryLedgerKeyPrefix, endpoint);
}

namespace {

    PlacedReplicaState replicaStateFromName(const std::string& name)
    {
        for (PlacedReplicaState state : { PlacedReplicaState::Ready, PlacedReplicaState::Unloading }) {
            if (name == placedReplicaStateName(state))
                return state;
        }
        return PlacedReplicaState::Loading;
    }

    // Parses a JSON object. Returns nullopt if it is malformed or a field is missing or has the wrong type.
    template <typename Read>
    auto parseRecord(const std::string& text, Read read) -> std::optional<decltype(read(json()))>
    {
        json object = base::jsonTryParse(text);
        if (!object.is_object())
            return std::nullopt;
        try {
            return read(object);
        } catch (const json::exception&) {
            return std::nullopt;
        }
    }

} // namespace

std::string modelRecordToText(const ModelRecord& record)
{
    json replicas = json::array();
    for (const PlacedReplica& replica : record.placedReplicas) {
        replicas.push_back({ { "endpoint", replica.endpoint }, { "boot", replica.bootId }, { "order", replica.orderId },
            { "fencing", replica.fencingToken }, { "state", placedReplicaStateName(replica.state) } });
    }
    return json({ { "places", std::move(replicas) }, { "operation", record.operation } }).dump();
}

std::optional<ModelRecord> modelRecordFromText(const std::string& text)
{
    return parseRecord(text, [](const json& object) {
        ModelRecord record;
        record.operation = object.at("operation").get<std::string>();
        for (const json& item : object.at("places")) {
            record.placedReplicas.push_back({ item.at("endpoint").get<std::string>(),
                item.at("boot").get<std::string>(), item.at("order").get<std::string>(),
                item.at("fencing").get<int64_t>(), replicaStateFromName(item.at("state").get<std::string>()) });
        }
        return record;
    });
}

std::string memoryLedgerToText(const MemoryLedger& ledger)
{
    json reservations = json::array();
    for (const Reservation& reservation : ledger.reservations) {
        reservations.push_back(
            { { "model", reservation.model }, { "bytes", reservation.bytes }, { "order", reservation.orderId } });
    }
    json object
        = { { "boot", ledger.bootId }, { "reservations", std::move(reservations) }, { "operation", ledger.operation } };
    return object.dump();
}

std::optional<MemoryLedger> memoryLedgerFromText(const std::string& text)
{
    return parseRecord(text, [](const json& object) {
        MemoryLedger ledger;
        ledger.bootId = object.at("boot").get<std::string>();
        ledger.operation = object.at("operation").get<std::string>();
        for (const json& item : object.at("reservations")) {
            ledger.reservations.push_back({ item.at("model").get<std::string>(), item.at("bytes").get<int64_t>(),
                item.at("order").get<std::string>() });
        }
        return ledger;
    });
}

std::string ownerToText(const OwnerRecord& owner)
{
    json object = { { "holder", owner.holder }, { "incarnation", owner.incarnation }, { "epoch", owner.epoch },
        { "operation", owner.operation } };
    return object.dump();
}

std::optional<OwnerRecord> ownerFromText(const std::string& text)
{
    return parseRecord(text, [](const json& object) {
        return OwnerRecord { object.at("holder").get<std::string>(), object.at("incarnation").get<std::string>(),
            object.at("epoch").get<int64_t>(), object.at("operation").get<std::string>() };
    });
}

int64_t memoryLedgerReservedBytes(const MemoryLedger& ledger)
{
    int64_t sum = 0;
    for (const Reservation& reservation : ledger.reservations)
        sum += reservation.bytes;
    return sum;
}

} // namespace rattanshunt::placement

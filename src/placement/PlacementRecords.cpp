#include "placement/PlacementRecords.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace rattanshunt::placement {

using nlohmann::json;

const char* placeStateName(PlaceState state)
{
    switch (state) {
    case PlaceState::Loading:
        return "loading";
    case PlaceState::Ready:
        return "ready";
    case PlaceState::Unloading:
        return "unloading";
    }
    return "loading";
}

std::string modelKvKey(std::string_view name)
{
    return fmt::format("{}{}", modelPrefix, name);
}
std::string ledgerKvKey(std::string_view endpoint)
{
    return fmt::format("{}{}", ledgerPrefix, endpoint);
}

namespace {

    PlaceState placeStateFromName(const std::string& name)
    {
        for (PlaceState state : { PlaceState::Ready, PlaceState::Unloading }) {
            if (name == placeStateName(state))
                return state;
        }
        return PlaceState::Loading;
    }

    // Reads an object, or gives nothing where a field is missing or of the wrong type.
    template <typename Read>
    auto parseRecord(const std::string& text, Read read) -> std::optional<decltype(read(json()))>
    {
        json object = json::parse(text, nullptr, false);
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
    json places = json::array();
    for (const Place& place : record.places) {
        places.push_back({ { "endpoint", place.endpoint }, { "boot", place.boot }, { "order", place.order },
            { "fencing", place.fencing }, { "state", placeStateName(place.state) } });
    }
    return json({ { "places", std::move(places) }, { "operation", record.operation } }).dump();
}

std::optional<ModelRecord> modelRecordFromText(const std::string& text)
{
    return parseRecord(text, [](const json& object) {
        ModelRecord record;
        record.operation = object.at("operation").get<std::string>();
        for (const json& item : object.at("places")) {
            record.places.push_back({ item.at("endpoint").get<std::string>(), item.at("boot").get<std::string>(),
                item.at("order").get<std::string>(), item.at("fencing").get<int64_t>(),
                placeStateFromName(item.at("state").get<std::string>()) });
        }
        return record;
    });
}

std::string ledgerToText(const Ledger& ledger)
{
    json reservations = json::array();
    for (const Reservation& reservation : ledger.reservations) {
        reservations.push_back(
            { { "model", reservation.model }, { "bytes", reservation.bytes }, { "order", reservation.order } });
    }
    json object
        = { { "boot", ledger.boot }, { "reservations", std::move(reservations) }, { "operation", ledger.operation } };
    return object.dump();
}

std::optional<Ledger> ledgerFromText(const std::string& text)
{
    return parseRecord(text, [](const json& object) {
        Ledger ledger;
        ledger.boot = object.at("boot").get<std::string>();
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

int64_t ledgerBytes(const Ledger& ledger)
{
    int64_t sum = 0;
    for (const Reservation& reservation : ledger.reservations)
        sum += reservation.bytes;
    return sum;
}

} // namespace rattanshunt::placement

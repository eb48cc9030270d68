#include "coordination/InstanceList.h"

#include <fmt/format.h>

#include "base/Json.h"
#include "coordination/KvCodec.h"

namespace rattanshunt::coordination {

using nlohmann::json;

namespace {
    const char* stateName(InstanceState state)
    {
        switch (state) {
        case InstanceState::Live:
            return "live";
        case InstanceState::Leaving:
            return "leaving";
        case InstanceState::Gone:
            return "gone";
        }
        return "gone";
    }
}

json instanceToJson(const Instance& instance)
{
    return { { "id", instance.id }, { "pool", instance.pool }, { "address", base::formatAddress(instance.address) },
        { "data_center", instance.dataCenter }, { "boot", instance.bootId }, { "state", stateName(instance.state) },
        { "memory_bytes", instance.memoryBytes }, { "checks_fencing", instance.checksFencing } };
}

std::optional<Instance> instanceFromJson(const json& object)
{
    if (!object.is_object())
        return std::nullopt;
    try {
        Instance instance;
        instance.id = object.at("id").get<std::string>();
        instance.pool = object.value("pool", "");
        auto address = base::parseAddress(object.at("address").get<std::string>());
        if (!address || instance.id.empty())
            return std::nullopt;
        instance.address = *address;
        instance.dataCenter = object.value("data_center", "");
        instance.bootId = object.value("boot", "");
        std::string state = object.value("state", "live");
        instance.state = state == "live" ? InstanceState::Live
            : state == "leaving"         ? InstanceState::Leaving
                                         : InstanceState::Gone;
        instance.memoryBytes = object.value("memory_bytes", int64_t { 0 });
        instance.checksFencing = object.value("checks_fencing", false);
        return instance;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

InstanceChanges instanceListRead(net::HttpConnection& connection, int64_t version, base::TimePoint deadline)
{
    InstanceChanges changes;
    net::HttpRequest request { "GET", fmt::format("/instances?since={}", version), {}, "" };
    net::HttpResult result = net::httpCall(connection, request, deadline);
    if (result.error != net::HttpCallError::None || result.response.status != 200)
        return changes;
    json body = base::jsonTryParse(result.response.body);
    if (!body.is_object() || !body.contains("instances") || !body["instances"].is_array())
        return changes;
    changes.version = kvNumber(body, "version");
    for (const json& item : body["instances"]) {
        if (auto instance = instanceFromJson(item))
            changes.changed.push_back(std::move(*instance));
    }
    changes.hasAnswer = true;
    return changes;
}

} // namespace rattanshunt::coordination

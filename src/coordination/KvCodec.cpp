#include "coordination/KvCodec.h"

#include <charconv>

#include "base/Text.h"

namespace rattanshunt::coordination {

using nlohmann::json;

int64_t kvNumber(const json& object, const char* field)
{
    auto found = object.find(field);
    if (found == object.end())
        return 0;
    if (found->is_number_integer())
        return found->get<int64_t>();
    if (!found->is_string())
        return 0;
    const auto& text = found->get_ref<const std::string&>();
    int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string kvBytes(const json& object, const char* field)
{
    auto found = object.find(field);
    if (found == object.end() || !found->is_string())
        return {};
    return base::base64Decode(found->get_ref<const std::string&>()).value_or(std::string());
}

json kvEntryToJson(const KvEntry& entry)
{
    json object = { { "key", base::base64Encode(entry.key) }, { "mod_revision", std::to_string(entry.modRevision) },
        { "create_revision", std::to_string(entry.createRevision) }, { "value", base::base64Encode(entry.value) } };
    if (entry.lease)
        object["lease"] = std::to_string(entry.lease);
    return object;
}

std::optional<KvEntry> kvEntryFromJson(const json& object)
{
    if (!object.is_object())
        return std::nullopt;
    KvEntry entry;
    entry.key = kvBytes(object, "key");
    entry.value = kvBytes(object, "value");
    entry.modRevision = kvNumber(object, "mod_revision");
    entry.createRevision = kvNumber(object, "create_revision");
    entry.lease = kvNumber(object, "lease");
    if (entry.key.empty())
        return std::nullopt;
    return entry;
}

json kvEventToJson(const KvEvent& event)
{
    json object = { { "kv", kvEntryToJson(event.entry) } };
    if (event.isDelete)
        object["type"] = "DELETE";
    return object;
}

std::optional<KvEvent> kvEventFromJson(const json& object)
{
    if (!object.is_object() || !object.contains("kv"))
        return std::nullopt;
    auto entry = kvEntryFromJson(object["kv"]);
    if (!entry)
        return std::nullopt;
    return KvEvent { object.value("type", "PUT") == "DELETE", std::move(*entry) };
}

namespace {
    json writeToJson(const KvWrite& write)
    {
        if (!write.value)
            return { { "request_delete_range", { { "key", base::base64Encode(write.key) } } } };
        json put = { { "key", base::base64Encode(write.key) }, { "value", base::base64Encode(*write.value) } };
        if (write.lease)
            put["lease"] = std::to_string(write.lease);
        return { { "request_put", std::move(put) } };
    }
}

json kvTxnToJson(const std::vector<KvCompare>& compares, const std::vector<KvWrite>& writes)
{
    json compareList = json::array();
    json failure = json::array();
    for (const KvCompare& compare : compares) {
        std::string key = base::base64Encode(compare.key);
        compareList.push_back({ { "key", key }, { "target", "MOD" }, { "result", "EQUAL" },
            { "mod_revision", std::to_string(compare.modRevision) } });
        failure.push_back({ { "request_range", { { "key", key } } } });
    }
    json success = json::array();
    for (const KvWrite& write : writes)
        success.push_back(writeToJson(write));
    return { { "compare", std::move(compareList) }, { "success", std::move(success) },
        { "failure", std::move(failure) } };
}

} // namespace rattanshunt::coordination

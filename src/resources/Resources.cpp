#include "resources/Resources.h"

#include <cmath>
#include <set>

#include <fmt/format.h>

#include "base/Text.h"

namespace rattanshunt::resources {

namespace leaf = boost::leaf;
using nlohmann::json;

const std::vector<std::string> resourceKinds = { "model", "adapter", "account", "key", "route", "service" };

const char* priorityClassName(PriorityClass value)
{
    switch (value) {
    case PriorityClass::Low:
        return "low";
    case PriorityClass::Normal:
        return "normal";
    case PriorityClass::High:
        return "high";
    }
    return "normal";
}

std::optional<PriorityClass> priorityClassFromName(std::string_view name)
{
    for (PriorityClass value : { PriorityClass::Low, PriorityClass::Normal, PriorityClass::High }) {
        if (name == priorityClassName(value))
            return value;
    }
    return std::nullopt;
}

namespace {

    constexpr double maxTokensPerSecond = 1e9;
    constexpr double maxBytes = 1e15;
    constexpr double maxSeconds = 30 * 24 * 3600;
    constexpr size_t digestDigits = 64;
    constexpr size_t maxPrefixLength = 256;

    // Reads the fields of a JSON object. Records the first error, and which fields were read, to detect unknown ones.
    class FieldReader {
    public:
        FieldReader(const json& object)
            : m_object(object)
        {
        }

        std::string text(const char* field, std::optional<std::string> defaultValue = std::nullopt)
        {
            const json* found = find(field, defaultValue.has_value());
            if (!found)
                return defaultValue.value_or("");
            if (!found->is_string()) {
                fail(field, "must be a string");
                return {};
            }
            if (!base::isValidUtf8(found->get_ref<const std::string&>()))
                fail(field, "must be valid UTF-8");
            return found->get<std::string>();
        }

        std::string resourceName(const char* field)
        {
            std::string value = text(field);
            if (!m_error && !base::isResourceName(value))
                fail(
                    field, "must be 1 to 63 characters of a-z, 0-9, '-', '_' and '.', starting with a letter or digit");
            return value;
        }

        double number(const char* field, double min, double max, std::optional<double> defaultValue = std::nullopt)
        {
            const json* found = find(field, defaultValue.has_value());
            if (!found)
                return defaultValue.value_or(0);
            if (!found->is_number()) {
                fail(field, "must be a number");
                return 0;
            }
            auto value = found->get<double>();
            if (!std::isfinite(value) || value < min || value > max)
                fail(field, fmt::format("must be from {} to {}", min, max));
            return m_error ? 0 : value;
        }

        int64_t integer(const char* field, double min, double max, std::optional<double> defaultValue = std::nullopt)
        {
            double value = number(field, min, max, defaultValue);
            if (!m_error && value != std::floor(value))
                fail(field, "must be a whole number");
            return m_error ? 0 : static_cast<int64_t>(value);
        }

        bool flag(const char* field, bool defaultValue)
        {
            const json* found = find(field, true);
            if (!found)
                return defaultValue;
            if (!found->is_boolean()) {
                fail(field, "must be true or false");
                return defaultValue;
            }
            return found->get<bool>();
        }

        PriorityClass valueClass(const char* field, PriorityClass defaultValue)
        {
            std::string name = text(field, priorityClassName(defaultValue));
            auto value = priorityClassFromName(name);
            if (!m_error && !value)
                fail(field, "must be low, normal or high");
            return value.value_or(defaultValue);
        }

        void fail(std::string field, std::string message)
        {
            if (!m_error)
                m_error = FieldError { std::move(field), std::move(message) };
        }

        void rejectUnknownFields()
        {
            for (auto& [field, value] : m_object.items()) {
                if (!m_readFields.contains(field))
                    fail(field, "is not a field of this kind of resource");
            }
        }

        std::optional<FieldError> error() const { return m_error; }

    private:
        const json* find(const char* field, bool isOptional)
        {
            m_readFields.insert(field);
            auto found = m_object.find(field);
            if (found != m_object.end() && !found->is_null())
                return &*found;
            if (!isOptional)
                fail(field, "is missing");
            return nullptr;
        }

        const json& m_object;
        std::set<std::string> m_readFields;
        std::optional<FieldError> m_error;
    };

    Resource parseModel(FieldReader& fields, const std::string& name)
    {
        Model model;
        model.name = name;
        model.pool = fields.resourceName("pool");
        model.bytes = fields.integer("bytes", 1, maxBytes);
        model.maxReplicas = static_cast<int>(fields.integer("replicas", 1, 10000, 1));
        model.minReplicas = static_cast<int>(fields.integer("min_replicas", 0, 10000, 0));
        model.idleTimeout = base::Seconds(fields.integer("idle_seconds", 1, maxSeconds, 300));
        model.bytesPerToken = fields.number("bytes_per_token", 0.25, 64, 4);
        model.defaultPriority = fields.valueClass("value", PriorityClass::Normal);
        if (model.minReplicas > model.maxReplicas)
            fields.fail("min_replicas", "must not exceed replicas");
        return model;
    }

    Resource parseAdapter(FieldReader& fields, const std::string& name)
    {
        Adapter adapter;
        adapter.name = name;
        adapter.model = fields.resourceName("model");
        adapter.bytes = fields.integer("bytes", 1, maxBytes);
        return adapter;
    }

    Resource parseAccount(FieldReader& fields, const std::string& name, const ResourceLimits& limits)
    {
        Account account;
        account.name = name;
        account.rate = fields.number("rate", 0.001, maxTokensPerSecond);
        account.burst = fields.number("burst", 1, maxTokensPerSecond);
        account.weight = fields.number("weight", 0.001, 1000, 1);
        double minBurst = account.rate * base::secondsOf(limits.tokenValidity) * limits.minBurstMultiple;
        if (account.burst < minBurst)
            fields.fail("burst",
                fmt::format("must be at least {:.6g} for this rate: {} times what the rate gives in {} ms", minBurst,
                    limits.minBurstMultiple, limits.tokenValidity.count()));
        return account;
    }

    Resource parseApiKey(FieldReader& fields, const std::string& name)
    {
        ApiKey key;
        key.name = name;
        key.account = fields.resourceName("account");
        key.digest = fields.text("digest");
        key.isWithdrawn = fields.flag("withdrawn", false);
        bool isHex = key.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (key.digest.size() != digestDigits || !isHex)
            fields.fail("digest", "must be 64 hexadecimal digits in lower case");
        return key;
    }

    Resource parseRoute(FieldReader& fields, const std::string& name)
    {
        Route route;
        route.name = name;
        route.prefix = fields.text("prefix");
        route.service = fields.resourceName("service");
        route.isPublic = fields.flag("open", false);
        route.isRepeatable = fields.flag("repeatable", false);
        route.tokensPerCall = fields.number("tokens", 0, 1e6, 0);
        route.timeout = base::Millis(fields.integer("timeout_ms", 1, 600000, 10000));
        bool isReserved = route.prefix.starts_with("/v1/");
        if (!route.prefix.starts_with('/') || route.prefix.size() > maxPrefixLength || isReserved)
            fields.fail("prefix", "must start with '/', be at most 256 bytes long and not lie below /v1/");
        return route;
    }

    Resource parseService(FieldReader& fields, const std::string& name)
    {
        Service service;
        service.name = name;
        service.pool = fields.resourceName("pool");
        return service;
    }

    Resource parseKind(
        std::string_view kind, FieldReader& fields, const std::string& name, const ResourceLimits& limits)
    {
        if (kind == "model")
            return parseModel(fields, name);
        if (kind == "adapter")
            return parseAdapter(fields, name);
        if (kind == "account")
            return parseAccount(fields, name, limits);
        if (kind == "key")
            return parseApiKey(fields, name);
        if (kind == "route")
            return parseRoute(fields, name);
        return parseService(fields, name);
    }

} // namespace

leaf::result<Resource> resourceParse(
    std::string_view kind, std::string_view name, const json& object, const ResourceLimits& limits)
{
    if (std::find(resourceKinds.begin(), resourceKinds.end(), kind) == resourceKinds.end())
        return leaf::new_error(FieldError { "kind", "must be one of model, adapter, account, key, route, service" });
    if (!base::isResourceName(name))
        return leaf::new_error(FieldError {
            "name", "must be 1 to 63 characters of a-z, 0-9, '-', '_' and '.', starting with a letter or digit" });
    if (!object.is_object())
        return leaf::new_error(FieldError { "spec", "must be a JSON object" });
    FieldReader fields(object);
    Resource resource = parseKind(kind, fields, std::string(name), limits);
    fields.rejectUnknownFields();
    if (fields.error())
        return leaf::new_error(*fields.error());
    return resource;
}

ResourceParseResult resourceTryParse(
    std::string_view kind, std::string_view name, const json& object, const ResourceLimits& limits)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<ResourceParseResult> {
            BOOST_LEAF_AUTO(resource, resourceParse(kind, name, object, limits));
            return ResourceParseResult { std::move(resource), {} };
        },
        [](const FieldError& error) {
            return ResourceParseResult { std::nullopt, error };
        },
        [] {
            return ResourceParseResult { std::nullopt, { "spec", "could not be validated" } };
        });
}

std::string resourceKvKey(std::string_view kind, std::string_view name)
{
    return fmt::format("{}{}/{}", resourceKvPrefix, kind, name);
}

std::optional<ResourceId> resourceIdFromKvKey(std::string_view key)
{
    if (!key.starts_with(resourceKvPrefix))
        return std::nullopt;
    key.remove_prefix(resourceKvPrefix.size());
    size_t slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    return ResourceId { std::string(key.substr(0, slash)), std::string(key.substr(slash + 1)) };
}

} // namespace rattanshunt::resources

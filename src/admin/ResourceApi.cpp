#include "admin/ResourceApi.h"

#include "base/Json.h"
#include "base/Log.h"
#include "base/Text.h"

namespace rattanshunt::admin {

using base::LogLevel;
using coordination::KvSwapOutcome;
using coordination::Revision;
using nlohmann::json;
using resources::FieldError;

namespace {

    constexpr size_t secretBytes = 24;
    constexpr int maxWithdrawAttempts = 3;
    constexpr base::Millis withdrawRetryInterval { 500 };
    constexpr std::string_view secretPrefix = "rsk_";

    std::string generateSecret()
    {
        return std::string(secretPrefix) + base::hexEncode(base::randomBytes(secretBytes));
    }

    json specOf(const fleet::MirrorRecord& record)
    {
        json spec = base::jsonTryParse(record.value);
        if (spec.is_object())
            spec.erase("operation");
        return spec;
    }

    json resourceJson(const std::string& kind, const std::string& name, const fleet::MirrorRecord& record)
    {
        json spec = specOf(record);
        if (kind == "key" && spec.is_object())
            spec.erase("digest");
        return { { "kind", kind }, { "name", name }, { "resource_version", record.modRevision },
            { "spec", std::move(spec) } };
    }

    // The stored text of a resource: the operator's JSON without white space, keys sorted.
    std::string serializeSpec(const json& spec)
    {
        return spec.dump(-1, ' ', false, json::error_handler_t::replace);
    }

} // namespace

int apiStatus(ApiCode code)
{
    switch (code) {
    case ApiCode::Done:
        return 200;
    case ApiCode::Invalid:
        return 400;
    case ApiCode::NotFound:
        return 404;
    case ApiCode::Conflict:
        return 409;
    case ApiCode::Unavailable:
    case ApiCode::Unknown:
        return 503;
    case ApiCode::Pending:
        return 202;
    }
    return 500;
}

const char* apiCodeName(ApiCode code)
{
    switch (code) {
    case ApiCode::Done:
        return "done";
    case ApiCode::Invalid:
        return "invalid";
    case ApiCode::NotFound:
        return "not_found";
    case ApiCode::Conflict:
        return "conflict";
    case ApiCode::Unavailable:
        return "unavailable";
    case ApiCode::Unknown:
        return "unknown";
    case ApiCode::Pending:
        return "pending";
    }
    return "unknown";
}

ResourceApi::ResourceApi(fleet::Fleet& fleet, const resources::ResourceLimits& limits)
    : m_fleet(fleet)
    , m_limits(limits)
{
}

std::optional<FieldError> ResourceApi::checkReferences(const resources::Resource& resource) const
{
    auto exists = [&](const char* kind, const std::string& name) {
        return m_fleet.mirror().records.contains(resources::resourceKvKey(kind, name));
    };
    if (auto* adapter = std::get_if<resources::Adapter>(&resource); adapter && !exists("model", adapter->model))
        return FieldError { "model", fmt::format("names the model \"{}\", which does not exist", adapter->model) };
    if (auto* key = std::get_if<resources::ApiKey>(&resource); key && !exists("account", key->account))
        return FieldError { "account",
            fmt::format("names the client account \"{}\", which does not exist", key->account) };
    if (auto* route = std::get_if<resources::Route>(&resource); route && !exists("service", route->service))
        return FieldError { "service", fmt::format("names the service \"{}\", which does not exist", route->service) };
    return std::nullopt;
}

std::string ResourceApi::findReferrer(const std::string& kind, const std::string& name) const
{
    static const std::map<std::string, std::pair<std::string, std::string>> referrers
        = { { "model", { "adapter", "model" } }, { "account", { "key", "account" } },
              { "service", { "route", "service" } } };
    auto referrer = referrers.find(kind);
    if (referrer == referrers.end())
        return {};
    auto& [referrerKind, field] = referrer->second;
    std::string prefix = resources::resourceKvKey(referrerKind, "");
    auto& records = m_fleet.mirror().records;
    for (auto it = records.lower_bound(prefix); it != records.end() && it->first.starts_with(prefix); ++it) {
        json spec = specOf(it->second);
        bool isWithdrawn = spec.is_object() && spec.value("withdrawn", false);
        if (spec.is_object() && !isWithdrawn && spec.value(field, "") == name)
            return referrerKind + " " + it->first.substr(prefix.size());
    }
    return {};
}

ApiResult ResourceApi::writeResource(
    const std::string& kind, const std::string& name, const std::string& text, Revision expected)
{
    std::string key = resources::resourceKvKey(kind, name);
    coordination::KvSwapResult swap = coordination::kvSwap(m_fleet.kv(), key, expected, text);
    switch (swap.outcome) {
    case KvSwapOutcome::Done:
        m_fleet.applyOwnWrite(key, text, swap.modRevision);
        base::logEvent(LogLevel::Info, "resource.applied",
            { { "kind", kind }, { "name", name }, { "revision", swap.modRevision } });
        return { ApiCode::Done, "", "",
            { { "kind", kind }, { "name", name }, { "resource_version", swap.modRevision } } };
    case KvSwapOutcome::Conflict:
        return { ApiCode::Conflict, "resource_version",
            swap.current ? fmt::format("the stored version is {}", swap.current->modRevision)
                         : "the resource does not exist",
            {} };
    case KvSwapOutcome::NotApplied:
        return { ApiCode::Unavailable, "", "the key-value service did not apply the change; nothing was changed", {} };
    case KvSwapOutcome::Unknown:
        return { ApiCode::Unknown, "",
            "the key-value service's response was lost; read the resource before trying again", {} };
    }
    return { ApiCode::Unknown, "", "", {} };
}

ApiResult ResourceApi::apply(
    const std::string& kind, const std::string& name, const json& spec, const ApplyOptions& options)
{
    json stored = spec;
    std::string key = resources::resourceKvKey(kind, name);
    auto existing = m_fleet.mirror().records.find(key);
    // Digests are hidden from operators, so an edited key keeps its stored digest.
    if (kind == "key" && stored.is_object() && !stored.contains("digest") && existing != m_fleet.mirror().records.end())
        stored["digest"] = specOf(existing->second).value("digest", "");
    resources::ResourceParseResult outcome = resources::resourceTryParse(kind, name, stored, m_limits);
    if (!outcome.resource)
        return { ApiCode::Invalid, outcome.error.field, outcome.error.message, {} };
    if (auto referenceError = checkReferences(*outcome.resource))
        return { ApiCode::Invalid, referenceError->field, referenceError->message, {} };
    bool wasWithdrawn = existing != m_fleet.mirror().records.end() && kind == "key"
        && specOf(existing->second).value("withdrawn", false);
    if (wasWithdrawn && !std::get<resources::ApiKey>(*outcome.resource).isWithdrawn)
        return { ApiCode::Invalid, "withdrawn", "a withdrawal is permanent; create another key", {} };
    Revision currentRevision = existing == m_fleet.mirror().records.end() ? 0 : existing->second.modRevision;
    if (options.expectedRevision && *options.expectedRevision != currentRevision)
        return { ApiCode::Conflict, "resource_version", fmt::format("the stored version is {}", currentRevision), {} };
    if (options.isDryRun)
        return { ApiCode::Done, "", "",
            { { "kind", kind }, { "name", name }, { "resource_version", currentRevision }, { "dry_run", true } } };
    if (currentRevision && existing->second.value == serializeSpec(stored))
        return { ApiCode::Done, "", "",
            { { "kind", kind }, { "name", name }, { "resource_version", currentRevision }, { "unchanged", true } } };
    return writeResource(kind, name, serializeSpec(stored), options.expectedRevision.value_or(currentRevision));
}

ApiResult ResourceApi::remove(const std::string& kind, const std::string& name, const ApplyOptions& options)
{
    std::string key = resources::resourceKvKey(kind, name);
    auto existing = m_fleet.mirror().records.find(key);
    if (existing == m_fleet.mirror().records.end())
        return { ApiCode::NotFound, "name", fmt::format("there is no {} \"{}\"", kind, name), {} };
    std::string referrer = findReferrer(kind, name);
    if (!referrer.empty())
        return { ApiCode::Conflict, "name", fmt::format("is used by {}", referrer), {} };
    Revision currentRevision = options.expectedRevision.value_or(existing->second.modRevision);
    if (currentRevision != existing->second.modRevision)
        return { ApiCode::Conflict, "resource_version",
            fmt::format("the stored version is {}", existing->second.modRevision), {} };
    if (options.isDryRun)
        return { ApiCode::Done, "", "", { { "dry_run", true } } };
    coordination::KvTxnResult result = m_fleet.kv().txn({ { key, currentRevision } }, { { key, std::nullopt } });
    if (result.error == coordination::KvError::NotApplied)
        return { ApiCode::Unavailable, "", "the key-value service did not apply the change; nothing was changed", {} };
    if (result.error == coordination::KvError::OutcomeUnknown)
        return { ApiCode::Unknown, "",
            "the key-value service's response was lost; read the resource before trying again", {} };
    if (!result.isApplied)
        return { ApiCode::Conflict, "resource_version", "the stored version is not the expected one", {} };
    base::logEvent(
        LogLevel::Info, "resource.deleted", { { "kind", kind }, { "name", name }, { "revision", result.revision } });
    return { ApiCode::Done, "", "", { { "kind", kind }, { "name", name }, { "deleted", true } } };
}

ApiResult ResourceApi::createKey(const std::string& name, const std::string& account)
{
    std::string secret = generateSecret();
    json spec = { { "account", account }, { "digest", base::hexEncode(base::sha256(secret)) } };
    ApplyOptions options;
    options.expectedRevision = 0;
    ApiResult result = apply("key", name, spec, options);
    if (result.code == ApiCode::Done)
        result.body["secret"] = secret;
    return result;
}

ApiResult ResourceApi::withdrawKey(const std::string& name)
{
    std::string key = resources::resourceKvKey("key", name);
    if (!m_fleet.mirror().records.contains(key))
        return { ApiCode::NotFound, "name", fmt::format("there is no key \"{}\"", name), {} };
    base::logEvent(LogLevel::Info, "key.withdraw", { { "key", name } });
    ApiResult result;
    for (int attempt = 0; attempt < maxWithdrawAttempts; ++attempt) {
        auto record = m_fleet.mirror().records.find(key);
        if (record == m_fleet.mirror().records.end())
            return { ApiCode::NotFound, "name", fmt::format("there is no key \"{}\"", name), {} };
        json spec = specOf(record->second);
        if (spec.value("withdrawn", false))
            return { ApiCode::Done, "", "", { { "name", name }, { "withdrawn", true } } };
        spec["withdrawn"] = true;
        result = writeResource("key", name, serializeSpec(spec), record->second.modRevision);
        if (result.code == ApiCode::Done) {
            result.body["withdrawn"] = true;
            return result;
        }
        if (result.code != ApiCode::Conflict)
            break;
        net::sleepFor(withdrawRetryInterval);
    }
    // Without the KV store, the withdrawal is in force once a majority of daemons has it: a daemon that cannot reach a
    // majority accepts no keys.
    size_t enforcingMembers = m_fleet.withdrawKey(name);
    m_fleet.loop().spawn([this, name] { retryWithdrawal(name); });
    size_t members = std::max<size_t>(m_fleet.sessions().size(), 1);
    json body = { { "name", name }, { "enforced_on", enforcingMembers }, { "instances", members } };
    if (enforcingMembers * 2 > members)
        return { ApiCode::Pending, "",
            "enforced on a majority; will be stored when the key-value service is available again", body };
    return { ApiCode::Unavailable, "", "enforced on a minority only; try again", body };
}

void ResourceApi::retryWithdrawal(const std::string& name)
{
    std::string key = resources::resourceKvKey("key", name);
    constexpr int maxRetries = 7200; // for one hour
    for (int attempt = 0; attempt < maxRetries && !m_fleet.isStopped(); ++attempt) {
        net::sleepFor(withdrawRetryInterval);
        auto record = m_fleet.mirror().records.find(key);
        if (record == m_fleet.mirror().records.end())
            return;
        json spec = specOf(record->second);
        if (spec.value("withdrawn", false))
            return;
        spec["withdrawn"] = true;
        if (writeResource("key", name, serializeSpec(spec), record->second.modRevision).code == ApiCode::Done)
            return;
    }
}

ApiResult ResourceApi::get(const std::string& kind, const std::string& name) const
{
    auto record = m_fleet.mirror().records.find(resources::resourceKvKey(kind, name));
    if (record == m_fleet.mirror().records.end())
        return { ApiCode::NotFound, "name", fmt::format("there is no {} \"{}\"", kind, name), {} };
    return { ApiCode::Done, "", "", resourceJson(kind, name, record->second) };
}

ApiResult ResourceApi::list(const std::string& kind) const
{
    if (std::find(resources::resourceKinds.begin(), resources::resourceKinds.end(), kind)
        == resources::resourceKinds.end())
        return { ApiCode::NotFound, "kind", fmt::format("there is no kind \"{}\"", kind), {} };
    json items = json::array();
    std::string prefix = resources::resourceKvKey(kind, "");
    auto& records = m_fleet.mirror().records;
    for (auto it = records.lower_bound(prefix); it != records.end() && it->first.starts_with(prefix); ++it)
        items.push_back(resourceJson(kind, it->first.substr(prefix.size()), it->second));
    return { ApiCode::Done, "", "", { { "items", std::move(items) }, { "revision", m_fleet.mirror().revision } } };
}

} // namespace rattanshunt::admin

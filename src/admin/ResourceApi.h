// Commands and queries on resources for operators, independent of HTTP.
//
// Commands write to the KV store by compare-and-swap and report the result. Queries read this daemon's mirror.
//
// All methods must be called on the control thread; commands suspend.
#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "fleet/Fleet.h"
#include "resources/Resources.h"

namespace rattanshunt::admin {

enum class ApiCode {
    Done,
    Invalid, // `field` names the invalid field
    NotFound,
    Conflict,    // the stored version is not the expected one, or the resource is in use
    Unavailable, // the KV store did not apply the change; for withdrawals: enforced on a minority only
    Unknown,     // the KV store's response was lost; read the resource again
    Pending,     // withdrawals: enforced on a majority, not yet in the KV store
};

struct ApiResult {
    ApiCode code = ApiCode::Done;
    std::string field;
    std::string message;
    nlohmann::json body;
};

int apiStatus(ApiCode); // as an HTTP status
const char* apiCodeName(ApiCode);

struct ApplyOptions {
    std::optional<coordination::Revision> expectedRevision; // that must be stored; 0: the resource must not exist
    bool isDryRun = false;
};

class ResourceApi {
public:
    ResourceApi(fleet::Fleet&, const resources::ResourceLimits&);

    // -- commands --
    ApiResult apply(const std::string& kind, const std::string& name, const nlohmann::json& spec, const ApplyOptions&);
    ApiResult remove(const std::string& kind, const std::string& name, const ApplyOptions&);
    // Creates an API key with a new secret. Only this result contains the secret; the KV store holds its digest.
    ApiResult createKey(const std::string& name, const std::string& account);
    // Withdraws an API key. If the KV store does not apply the change, the withdrawal is sent to the members directly,
    // and storing it is retried for one hour.
    ApiResult withdrawKey(const std::string& name);

    // -- queries --
    ApiResult get(const std::string& kind, const std::string& name) const;
    ApiResult list(const std::string& kind) const;

private:
    std::optional<resources::FieldError> checkReferences(const resources::Resource&) const;
    std::string findReferrer(const std::string& kind, const std::string& name) const;
    ApiResult writeResource(
        const std::string& kind, const std::string& name, const std::string& text, coordination::Revision expected);
    void retryWithdrawal(const std::string& name);

    fleet::Fleet& m_fleet;
    resources::ResourceLimits m_limits;
};

} // namespace rattanshunt::admin

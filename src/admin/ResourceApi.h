// Operators' commands and queries on resources, apart from HTTP.
//
// Commands write to the KV by compare-and-swap and say what happened; queries read this daemon's copy.
// Control thread only; commands suspend.
#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "fleet/Fleet.h"
#include "resources/Resources.h"

namespace rattanshunt::admin {

enum class ApiCode {
    Done,
    Invalid, // `field` names what is wrong
    NotFound,
    Conflict,    // another version is there
    Unavailable, // the KV did not take it: nothing was changed
    Unknown,     // the KV's answer was lost; read again
    Pending,     // enforced on a majority, not yet in the KV (withdrawals)
};

struct ApiResult {
    ApiCode code = ApiCode::Done;
    std::string field;
    std::string message;
    nlohmann::json body;
};

int apiStatus(ApiCode); // HTTP status
const char* apiCodeName(ApiCode);

struct ApplyOptions {
    std::optional<coordination::Revision> expectedRevision; // resource version that must be there; 0: must not exist
    bool isDryRun = false;
};

class ResourceApi {
public:
    ResourceApi(fleet::Fleet&, const resources::ResourceLimits&);

    // -- commands --
    ApiResult apply(const std::string& kind, const std::string& name, const nlohmann::json& spec, const ApplyOptions&);
    ApiResult remove(const std::string& kind, const std::string& name, const ApplyOptions&);
    ApiResult createKey(const std::string& name, const std::string& account); // the body holds the secret, once
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

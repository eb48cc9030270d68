// Operators' resources: what they look like and how they are checked.
//
// Contents
//   [1] Kinds           Model, Adapter, Account, Key, Route, Service
//   [2] Checks          resourceCheck(): JSON to a typed resource, or an error that names the field
//   [3] Keys in the KV  resourceKvKey()
//
// Pure functions; safe from any thread. Errors are given as boost::leaf errors that carry a FieldError;
// resourceCheckOrExplain() gives the same as plain data.
//
// Q: Which tokens does a rate count?  A: Tokens of the prompt, estimated from its bytes, plus tokens generated.
// Q: What happens to unknown fields?  A: They are refused, so that a misspelt field is not silently lost.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "base/Time.h"

namespace rattanshunt::resources {

// ---- [1] Kinds ---------------------------------------------------------------------------------

// How much a request is worth; a higher class is served first while there is not enough for all.
enum class PriorityClass : uint8_t {
    Low,    // batch work
    Normal, // short replies
    High
}; // bulletins and audit summaries
constexpr size_t priorityClassCount = 3;

const char* priorityClassName(PriorityClass);
std::optional<PriorityClass> priorityClassFromName(std::string_view);

struct Model {
    std::string name;
    std::string pool;                                      // of endpoints that may load it
    int64_t bytes = 0;                                     // of endpoint memory for one replica
    int maxReplicas = 1;                                   // at most so many are loaded at once
    int minReplicas = 0;                                   // kept loaded while idle
    base::Seconds idleTimeout { 300 };                     // unloaded after so long without a request
    double bytesPerToken = 4;                              // of a prompt; lower reserves more
    PriorityClass defaultPriority = PriorityClass::Normal; // of requests that do not name one
};

struct Adapter {
    std::string name;
    std::string model; // that it adapts
    int64_t bytes = 0;
};

struct Account {
    std::string name;
    double rate = 0;   // tokens a second, over the whole fleet
    double burst = 0;  // tokens
    double weight = 1; // share of a crowded replica
};

struct ApiKey {
    std::string name;
    std::string account;
    std::string digest;       // SHA-256 of the secret, hexadecimal
    bool isWithdrawn = false; // final
};

struct Route {
    std::string name;
    std::string prefix; // of the path, starting with '/'
    std::string service;
    bool isPublic = false;     // served without a key
    bool isRepeatable = false; // a call may be sent again after a failure
    double tokensPerCall = 0;  // charged to the account for a call
    base::Millis timeout { 10000 };
};

struct Service {
    std::string name;
    std::string pool; // of instances that serve it
};

using Resource = std::variant<Model, Adapter, Account, ApiKey, Route, Service>;

// ---- [2] Checks --------------------------------------------------------------------------------

struct FieldError {
    std::string field;
    std::string message;
};

struct ResourceLimits {
    base::Millis tokenValidity { 100 }; // a burst must cover rate x validity
    double minBurstMultiple = 4;        // smallest burst as a multiple of rate x validity
};

extern const std::vector<std::string> resourceKinds;

// Checks `object` as a resource of `kind` called `name`. The error is a FieldError.
boost::leaf::result<Resource> resourceParse(
    std::string_view kind, std::string_view name, const nlohmann::json& object, const ResourceLimits& = {});

struct ResourceParseResult {
    std::optional<Resource> resource; // set if all is well
    FieldError error;                 // set otherwise
};
ResourceParseResult resourceTryParse(
    std::string_view kind, std::string_view name, const nlohmann::json& object, const ResourceLimits& = {});

// ---- [3] Keys in the KV ------------------------------------------------------------------------

constexpr std::string_view resourceKvPrefix = "/rs/cfg/";
std::string resourceKvKey(std::string_view kind, std::string_view name);

struct ResourceId {
    std::string kind;
    std::string name;
};
std::optional<ResourceId> resourceIdFromKvKey(std::string_view key);

} // namespace rattanshunt::resources

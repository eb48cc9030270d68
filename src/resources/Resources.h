// Resources that operators configure: their types, parsing and validation.
//
// Contents
//   [1] Kinds       Model, Adapter, Account, ApiKey, Route, Service
//   [2] Parsing     resourceParse(): JSON to a typed resource, or an error that names the field
//   [3] KV keys     resourceKvKey()
//
// Pure functions; safe from any thread. resourceParse() reports errors as boost::leaf errors that carry a FieldError;
// resourceTryParse() returns them as plain data.
//
// Q: Which tokens does an account's rate count?
// A: Prompt tokens, estimated from the prompt's bytes, plus generated tokens.
//
// Q: How are unknown fields handled?
// A: They are rejected, so that a misspelt field is not silently ignored.
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

// Priority of a request. While capacity is scarce, a higher class is served first.
enum class PriorityClass : uint8_t {
    Low,    // batch work
    Normal, // short replies
    High    // bulletins and audit summaries
};
constexpr size_t priorityClassCount = 3;

const char* priorityClassName(PriorityClass);
std::optional<PriorityClass> priorityClassFromName(std::string_view);

struct Model {
    std::string name;
    std::string pool;                  // pool of endpoints that may load the model
    int64_t bytes = 0;                 // endpoint memory for one replica
    int maxReplicas = 1;               // loaded at the same time
    int minReplicas = 0;               // kept loaded even without requests
    base::Seconds idleTimeout { 300 }; // time without a request after which a replica is unloaded
    double bytesPerToken = 4;          // prompt bytes per token, for estimates; a lower value reserves more tokens
    PriorityClass defaultPriority = PriorityClass::Normal; // of requests that do not set one; "value" in JSON
};

struct Adapter {
    std::string name;
    std::string model; // the base model
    int64_t bytes = 0; // endpoint memory
};

struct Account {
    std::string name;
    double rate = 0;   // tokens per second, over the whole fleet
    double burst = 0;  // tokens that can be used at once
    double weight = 1; // relative share of a replica that several accounts wait for
};

struct ApiKey {
    std::string name;
    std::string account;
    std::string digest;       // SHA-256 of the secret, in lower-case hexadecimal
    bool isWithdrawn = false; // cannot be undone
};

struct Route {
    std::string name;
    std::string prefix; // of the request path, starting with '/'
    std::string service;
    bool isPublic = false;     // served without an API key
    bool isRepeatable = false; // a call may be retried even if it may have been executed
    double tokensPerCall = 0;  // charged to the account for each call
    base::Millis timeout { 10000 };
};

struct Service {
    std::string name;
    std::string pool; // pool of instances that provide the service
};

using Resource = std::variant<Model, Adapter, Account, ApiKey, Route, Service>;

// ---- [2] Parsing -------------------------------------------------------------------------------

struct FieldError {
    std::string field;
    std::string message;
};

struct ResourceLimits {
    base::Millis tokenValidity { 100 }; // lifetime of borrowed tokens; a burst must cover rate x validity
    double minBurstMultiple = 4;        // smallest burst as a multiple of rate x validity
};

extern const std::vector<std::string> resourceKinds;

// Parses and validates `object` as the resource `name` of `kind`. The error is a FieldError.
boost::leaf::result<Resource> resourceParse(
    std::string_view kind, std::string_view name, const nlohmann::json& object, const ResourceLimits& = {});

struct ResourceParseResult {
    std::optional<Resource> resource; // set on success
    FieldError error;                 // set otherwise
};
ResourceParseResult resourceTryParse(
    std::string_view kind, std::string_view name, const nlohmann::json& object, const ResourceLimits& = {});

// ---- [3] KV keys -------------------------------------------------------------------------------

constexpr std::string_view resourceKvPrefix = "/rs/cfg/";
std::string resourceKvKey(std::string_view kind, std::string_view name);

struct ResourceId {
    std::string kind;
    std::string name;
};
std::optional<ResourceId> resourceIdFromKvKey(std::string_view key);

} // namespace rattanshunt::resources

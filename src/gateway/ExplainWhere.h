// The question where a request would go, and the answer as text. Gateway::explainWhere() answers it.
//
// Pure functions; safe to call from any thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gateway/WireCodec.h"

namespace rattanshunt::gateway {

struct WhereQuestion {
    RequestHead head;
    std::string path = "/";
    std::string account; // name, not key; empty: none
    size_t bodyBytes = 0;
};

// The body of a request to /explain/where, from "FIELD=VALUE" arguments: host, path, account, model, adapter, id, parts
// (ID:TOKENS,...), output_tokens, body_bytes. Nothing, with a text in `fault`, if one is malformed.
std::optional<nlohmann::json> whereQuestionFromArguments(const std::vector<std::string>&, std::string& fault);

// Throws an exception that names the field if one has another type.
WhereQuestion whereQuestionRead(const nlohmann::json&);

// The answer for reading: nested values indented, one a line.
std::string whereText(const nlohmann::json& answer);

} // namespace rattanshunt::gateway

// Parses JSON and MessagePack that another process wrote, with a limit on nesting. All other parsing goes through here.
//
// Contents
//   [1] Limits          maxJsonDepth
//   [2] Parsing         JsonFault, jsonParse(), jsonTryParse(), jsonTryParseMessagePack()
//   [3] Numbers         maxExactInteger, jsonInteger()
//
// Copies, comparisons and dumps of nlohmann::json recurse once for each level of nesting, and fibers have small stacks
// (see net/Loop.h). A value from here is shallow enough for all of them. The callers bound the number of bytes.
//
// Pure functions; safe to call from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string_view>

#include <nlohmann/json.hpp>

namespace rattanshunt::base {

// ---- [1] Limits --------------------------------------------------------------------------------

constexpr size_t maxJsonDepth = 64; // of arrays and objects in each other

// ---- [2] Parsing -------------------------------------------------------------------------------

struct JsonFault : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws JsonFault, which says what is wrong, if `text` is not JSON or is nested too deeply.
nlohmann::json jsonParse(std::string_view text);

// A discarded value, of no type, if jsonParse() would throw.
nlohmann::json jsonTryParse(std::string_view text);
nlohmann::json jsonTryParseMessagePack(std::string_view bytes);

// ---- [3] Numbers -------------------------------------------------------------------------------

constexpr int64_t maxExactInteger = int64_t(1) << 53; // all integers up to it are exact in a double

// Nothing if the value is no integer, or not in 0 to maxExactInteger.
std::optional<int64_t> jsonInteger(const nlohmann::json&);

} // namespace rattanshunt::base

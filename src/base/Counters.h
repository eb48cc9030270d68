// The process's metric counters.
//
// A counter is a named number; labels are part of the name, as in `requests_total{account="a"}`. Each thread adds to
// its own set, so that traffic threads do not share cache lines; `countersRead` adds the sets up. Counters are never
// removed, also not when their thread ends.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace rattanshunt::base {

// Adds `amount` to a counter, creating it if needed. Safe from any thread.
void counterAdd(std::string_view name, int64_t amount = 1);

// Adds to the counter `name{label="value"}`. `value` is not escaped. Safe from any thread.
void counterAddLabelled(std::string_view name, std::string_view label, std::string_view value, int64_t amount = 1);

// All counters by name, each summed over all threads. Safe from any thread.
std::map<std::string, int64_t> countersRead();

// One line "name value" for each counter, sorted by name. Safe from any thread.
std::string countersText();

} // namespace rattanshunt::base

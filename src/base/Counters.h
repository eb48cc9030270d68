// Counters: the process's own metrics.
//
// A counter is a named number with optional labels in its name, as in `requests_total{account="a"}`.
// Each thread adds to its own set, so that traffic threads do not share cache lines; `countersRead`
// adds the sets up. Counters live as long as the process.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace rattanshunt::base {

// Adds `amount` to a counter. Safe from any thread.
void counterAdd(std::string_view name, int64_t amount = 1);

// Adds to a counter with one label; the name in the output is `name{label="value"}`. Safe from any thread.
void counterAddLabelled(std::string_view name, std::string_view label, std::string_view value, int64_t amount = 1);

// The sum of all threads' counters. Safe from any thread.
std::map<std::string, int64_t> countersRead();

// One line "name value" for each counter, in order of name. Safe from any thread.
std::string countersText();

} // namespace rattanshunt::base

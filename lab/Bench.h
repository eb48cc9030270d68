// Experiments: each decision beside simpler ways, with the same input in one run. Virtual time, fixed seeds.
//
// The pure decisions of src/ run here with fakes of their surroundings: delays between data centres, a store of
// weights, replicas that serve. Each bench prints one table, or JSON.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

struct BenchRow {
    std::vector<std::string> cells;
};

struct BenchTable {
    std::string title;
    std::vector<std::string> columns;
    std::vector<BenchRow> rows;
    std::vector<std::string> notes;
};

std::string benchText(const BenchTable&);
nlohmann::json benchJson(const BenchTable&);

// Rate and burst: tokens over the bound, wrongful refusals, worst-served account.
BenchTable benchBudget(uint64_t seed);

// Cold-start storm: 30 models on Mauritius' sizes and 45 on Ho Chi Minh City's.
BenchTable benchPlacement(uint64_t seed);

// Choice of a replica with lagging reports.
BenchTable benchRouting(uint64_t seed);

// Claims: writes to the KV with and without group commit.
BenchTable benchClaims(uint64_t seed);

// Spread of configuration: time until it is in force everywhere, calls of the KV.
BenchTable benchConfig(uint64_t seed);

// Usage of an account: what is admitted of what its limit holds.
BenchTable benchUsage(uint64_t seed);

// Requests that wait for a model: how long those wait that are refused in the end.
BenchTable benchWaiting(uint64_t seed);

// Costs of single steps at letter 1's size, for docs/CAPACITY.md. Real time.
BenchTable benchCapacity(uint64_t seed);

} // namespace rattanshunt::lab

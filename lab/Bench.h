// Benchmarks: compare each decision of the product with simpler strategies on the same input.
//
// The pure decision functions of src/ run in simulated surroundings: delays between data centres, a weight store,
// replicas that serve. Virtual time and fixed seeds, so that a run can be repeated; only benchCapacity() measures real
// time. Each function gives one table, printed as text or JSON.
//
// Contents
//   [1] Tables          BenchTable, benchText(), benchJson()
//   [2] Benchmarks      benchBudget() to benchCapacity()
//
// Any thread. `seed` seeds the simulated load.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

// ---- [1] Tables --------------------------------------------------------------------------------

struct BenchRow {
    std::vector<std::string> cells; // one for each column of the table
};

struct BenchTable {
    std::string title;
    std::vector<std::string> columns;
    std::vector<BenchRow> rows;
    std::vector<std::string> notes; // printed below the table, without a full stop
};

std::string benchText(const BenchTable&);    // Markdown
nlohmann::json benchJson(const BenchTable&); // each row is an object with the columns as keys

// ---- [2] Benchmarks ----------------------------------------------------------------------------

// Token budget: tokens above the limit, refusals of accounts within their rate, the account served worst.
BenchTable benchBudget(uint64_t seed);

// Cold-start storm: 30 models at the size of the Mauritius site and 45 at that of Ho Chi Minh City.
BenchTable benchPlacement(uint64_t seed);

// Replica selection with delayed load reports: latency and prefix cache hits.
BenchTable benchRouting(uint64_t seed);

// Claims: writes to the key-value store and waits, with and without group commit.
BenchTable benchClaims(uint64_t seed);

// Configuration distribution: time until a change is in force everywhere, reads of the key-value store.
BenchTable benchConfig(uint64_t seed);

// Usage limit of an account: the fraction that is admitted of what the limit allows.
BenchTable benchUsage(uint64_t seed);

// Requests that wait for a model: how long requests wait that are refused in the end.
BenchTable benchWaiting(uint64_t seed);

// Work sent to other data centres: what is lost, crosses, and displaces others' callers.
BenchTable benchSpill(uint64_t seed);

// Cost of single operations at the size of the reference fleet, for docs/CAPACITY.md. Real time; the seed is ignored.
BenchTable benchCapacity(uint64_t seed);

} // namespace rattanshunt::lab

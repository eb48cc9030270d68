// Fuzzer for the decoders of the messages and records of the platform and of engines.
//
// Contents
//   [1] Fuzzing         FuzzResult, fuzzTargets(), fuzzRun()
// A target mutates a valid sample at random and checks the decoder's result: the decoder must not throw, must name the
// fault of input that it rejects, and must return only values that the gateway can compute with (finite numbers, times
// in range). Runs with the same seed are equal. Each call runs on the caller's thread and shares no mutable state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rattanshunt::lab {

struct FuzzResult {
    uint64_t inputCount = 0;
    std::string finding; // the fault found; empty: none
    std::string input;   // the mutated sample of the last call, which led to the finding
};

std::vector<std::string> fuzzTargets(); // names, sorted

// Runs up to `inputs` mutated samples through the target; stops at the first finding.
// Precondition: `target` is one of fuzzTargets().
FuzzResult fuzzRun(const std::string& target, uint64_t seed, uint64_t inputs);

} // namespace rattanshunt::lab

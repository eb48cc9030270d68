// Mutated input for the decoders of the platform's messages and records.
//
// Contents
//   [1] Fuzzing         fuzzTargets(), fuzzRun()
//
// A target takes a valid sample, changes it at random and checks what the decoder makes of it: it throws nothing, names
// the fault of what it refuses, and gives only values that the gateway can compute with. Runs with the same seed are
// equal. Own thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace rattanshunt::lab {

struct FuzzResult {
    uint64_t inputCount = 0;
    std::string finding; // empty: none
    std::string input;   // that led to it
};

std::vector<std::string> fuzzTargets();

// Runs `inputs` changed samples through the target. Precondition: `target` is one of fuzzTargets().
FuzzResult fuzzRun(const std::string& target, uint64_t seed, uint64_t inputs);

} // namespace rattanshunt::lab

// Fuzzer for the bytes that a replica sends as its response.
//
// Contents
//   [1] Fuzzing         ResponseFuzzOptions, fuzzResponses()
// A simulated replica sends a valid response (with a length, in chunks or without either; plain or a stream of events)
// that is cut at any point, mutated, or followed by bytes without end, in any number of pieces. Its connection then
// ends in order, is reset, or stays open. The gateway's attempt at the request must end by its deadline, hold bounded
// memory, deliver a whole response unchanged, take nothing incomplete as complete, and say that the request was not
// executed only if the replica said so. Thread safety: use from the loop's thread only.
#pragma once

#include "Fuzz.h"
#include "net/Loop.h"

namespace rattanshunt::lab {

struct ResponseFuzzOptions {
    base::Millis openDeadline { 60 };  // of attempts at responses that do not end
    base::Millis endDeadline { 5000 }; // of the others
    base::Millis maxOverrun { 2000 };  // how much later than its deadline an attempt may end
};

// Runs up to `inputs` responses; stops at the first finding. Runs with the same seed send the same bytes. Suspends.
FuzzResult fuzzResponses(net::Loop&, uint64_t seed, uint64_t inputs, const ResponseFuzzOptions& = {});

} // namespace rattanshunt::lab

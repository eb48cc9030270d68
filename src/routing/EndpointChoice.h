// Selects the endpoint that serves a request.
//
// Load reports lag. The load estimate of an endpoint consists of this daemon's own requests there, which it knows
// exactly, and the requests of other daemons as last reported. The latter lose weight as the report ages: without new
// responses there is no new report, and an endpoint that was full once must not look full forever.
//
// Consistent hashing with bounded loads: a request prefers the endpoint that the beginning of its prompt hashes to, so
// that cached prefixes are reused, as long as that endpoint is not much busier than the average. Otherwise it goes to
// the less loaded of two endpoints drawn by the request's hash.
//
// Pure; safe from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace rattanshunt::routing {

struct Candidate {
    std::string_view endpoint;        // identifier
    double slots = 1;                 // requests that it batches concurrently
    double reportedInFlight = 0;      // running and waiting requests there, as last reported
    double ownInFlight = 0;           // requests of this daemon there now
    double ownInFlightAtReport = 0;   // requests of this daemon there when the report arrived
    base::Duration reportAge { 0 };   // time since that report
    bool isInOtherDataCenter = false; // than this daemon
};

struct EndpointChoiceOptions {
    size_t prefixBytes = 256;             // leading bytes of the prompt that identify its cached prefix
    double affinityLoadFactor = 1.25;     // the preferred endpoint may have this multiple of the average load
    double affinityLoadMargin = 0.15;     // and this much more, as a fraction of its slots
    double otherDataCenterPenalty = 0.10; // added to the load, as a fraction of the slots
    base::Millis reportHalfLife { 150 };  // of other daemons' requests in a report
    double maxLoad = 1.5;                 // requests per slot from which an endpoint gets no more
};

// Estimated load as a fraction of the slots: 1 means that all slots are taken. Includes the data centre penalty.
double candidateLoad(const Candidate&, const EndpointChoiceOptions&);

// Hash of the prompt's first `prefixBytes` bytes.
uint64_t prefixHash(std::string_view prompt, const EndpointChoiceOptions&);

// Index of the endpoint to use, or nothing if there is none or all are full. `draw` is a hash that differs between
// requests.
std::optional<size_t> candidateChoose(
    const std::vector<Candidate>&, uint64_t prefix, uint64_t draw, const EndpointChoiceOptions&);

} // namespace rattanshunt::routing

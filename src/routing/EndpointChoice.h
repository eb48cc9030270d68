// Which replica serves a request.
//
// Load reports lag. The estimate for a replica is this daemon's own requests there, which it knows, and those of others
// as last reported, which count for less as the report ages: without new answers there is no new report, and a replica
// that was full once must not look full for ever. A request prefers the replica that its prompt's beginning hashes to,
// so that cached prefixes are found again, as long as that replica is not much busier than the average; otherwise the
// less loaded of two replicas drawn by the request's hash serves it.
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
    double slots = 1;                 // requests that it batches at once
    double reportedInFlight = 0;      // requests running and waiting there, as last reported
    double ownInFlight = 0;           // of this daemon, in flight now
    double ownInFlightAtReport = 0;   // of this daemon, in flight when the report was taken in
    base::Duration reportAge { 0 };   // since that report
    bool isInOtherDataCenter = false; // in another data centre
};

struct EndpointChoiceOptions {
    size_t prefixBytes = 256;             // of the prompt that name its cached prefix
    double affinityLoadFactor = 1.25;     // times the average load that the preferred replica may have
    double affinityLoadMargin = 0.15;     // of a replica's slots, beyond the bound
    double otherDataCenterPenalty = 0.10; // of a replica's slots, for one in another data centre
    base::Millis reportHalfLife { 150 };  // of the requests of others in a report
    double maxLoad = 1.5;                 // requests for each slot beyond which a replica gets no more
};

// Load of a replica as a part of its slots: 1 means that all slots are taken.
double candidateLoad(const Candidate&, const EndpointChoiceOptions&);

uint64_t prefixHash(std::string_view prompt, const EndpointChoiceOptions&);

// Index of the replica to use, or nothing if all are full. `draw` is a hash that differs between requests.
std::optional<size_t> candidateChoose(
    const std::vector<Candidate>&, uint64_t prefix, uint64_t draw, const EndpointChoiceOptions&);

} // namespace rattanshunt::routing

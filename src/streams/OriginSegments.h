// The origins of the streams that one daemon served, as the records that it writes to the store while they are young.
//
// Contents
//   [1] Data            OriginSegment, OriginSegments
//   [2] Writing         segmentsAdd(), segmentsExpire(), segmentsSeeEra(), segmentsForget(), segmentsRecordWritten(),
//                       segmentIsUnwritten(), segmentText()
//   [3] Reading         StoredOrigin, segmentRead()
//   [4] Pace            originWriteInterval()
//
// Load pattern: two versions of a service serve side by side, streams last half a second, and all daemons are killed at
// once. What only the daemons' memory holds is gone, so each daemon writes by itself, right after a stream's first
// event, and in batches if many streams begin. A record that grew for minutes would be written again with each stream;
// segments of bounded length bound the bytes of a write.
//
// Pure functions; the calling thread owns the data. Times are boot times.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "streams/StreamOrigins.h"

namespace rattanshunt::streams {

// ---- [1] Data ----------------------------------------------------------------------------------

constexpr size_t maxSegmentOrigins = 1000;

struct OriginSegment {
    uint64_t number = 0;
    std::map<std::pair<std::string, std::string>, std::vector<StreamKey>> keys; // by service and version
    size_t count = 0;
    size_t writtenCount = 0; // of `count`, that the store surely has
    base::BootTime newestAt {};
};

struct OriginSegments {
    std::deque<OriginSegment> segments; // oldest first
    uint64_t lastNumber = 0;
    std::optional<int64_t> storeEra; // the latest that is known
    uint64_t losses = 0;             // how often what was written was forgotten
};

using WrittenCounts = std::vector<std::pair<uint64_t, size_t>>; // by number of the segment

// ---- [2] Writing -------------------------------------------------------------------------------

void segmentsAdd(OriginSegments&, StreamKey, const StreamOrigin&);

// Drops the segments whose streams are no longer taken up; returns the numbers of those that the store may have.
std::vector<uint64_t> segmentsExpire(OriginSegments&, base::BootTime now);

// The store may have lost what it had. All segments count as unwritten.
void segmentsForget(OriginSegments&);

// Call with each era of the store that becomes known; earlier ones than the latest have no effect. Forgets and returns
// true if the store was restored from a copy since the era that was known.
bool segmentsSeeEra(OriginSegments&, int64_t era);

// Records that the store has applied a write. `losses`: as they were when it was begun; what was forgotten since counts
// as unwritten.
void segmentsRecordWritten(OriginSegments&, const WrittenCounts&, uint64_t losses);

inline bool segmentIsUnwritten(const OriginSegment& segment)
{
    return segment.count > segment.writtenCount;
}

std::string segmentText(const OriginSegment&);

// ---- [3] Reading -------------------------------------------------------------------------------

struct StoredOrigin {
    StreamKey key = 0;
    std::string service;
    std::string version;
};

// What can be read of a segment's text; another daemon may have written more, or other things.
std::vector<StoredOrigin> segmentRead(const std::string& text);

// ---- [4] Pace ----------------------------------------------------------------------------------

constexpr base::Millis minOriginWriteInterval { 100 };        // between two writes of one daemon
constexpr base::Micros originWriteIntervalPerMember { 1250 }; // bounds the fleet to 800 writes a second
constexpr base::Millis maxOriginWriteInterval { 3200 };       // after refusals, each of which doubles the interval

// `refusals`: writes in a row that the store did not accept.
base::Duration originWriteInterval(size_t members, int refusals);

} // namespace rattanshunt::streams

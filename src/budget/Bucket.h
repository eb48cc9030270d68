// Token bucket for one account in one slot, with returns that never exceed the rate limit.
//
// Contents
//   [1] Bucket          rate, capacity, level, and the peak levels since each take
//   [2] Operations      bucketTake(), bucketReturn(), bucketCharge()
//
// Invariant: over any time window, tokens taken minus tokens returned for takes in that window are at most
// capacity + rate x window. Adding all unused tokens back would violate it, because the bucket may have filled up
// while the tokens were out. bucketReturn() therefore restores only what the bucket would hold in addition now if
// the tokens had never been taken: at most the smallest headroom (capacity - level) since the take.
//
// No I/O and no locking. Not thread-safe: the caller serializes access to a Bucket.
#pragma once

#include <cstdint>
#include <deque>

#include "base/Time.h"

namespace rattanshunt::budget {

// ---- [1] Bucket --------------------------------------------------------------------------------

using TakeNumber = uint64_t; // sequence number of a take from one bucket; the first is 1, 0 means none

// The level immediately before a take.
struct BucketPeak {
    TakeNumber take = 0;
    double level = 0;
};

struct Bucket {
    double rate = 0;     // tokens per second
    double capacity = 0; // tokens
    double level = 0;    // tokens at `asOf`; may be negative after a charge
    base::TimePoint asOf {};
    TakeNumber lastTake = 0;
    std::deque<BucketPeak> peaks; // oldest first; each level is the maximum from that take onwards
};

// Peaks whose levels differ by less than this fraction of the capacity are merged. The higher level is kept, so that
// a return never restores too much.
constexpr double bucketPeakMergeFraction = 0.004;

// ---- [2] Operations ----------------------------------------------------------------------------

Bucket bucketCreate(double rate, double capacity, double level, base::TimePoint now);

// Sets rate and capacity as of `now`. A level above the new capacity is reduced to it.
void bucketConfigure(Bucket&, double rate, double capacity, base::TimePoint now);

// Returns the level at `now`. No refill if `now` is before the last update.
double bucketLevel(const Bucket&, base::TimePoint now);

// Takes `tokens` and returns the number of the take, or returns 0 and changes nothing but the refill if the level is
// too low.
TakeNumber bucketTake(Bucket&, double tokens, base::TimePoint now);

// Deducts `tokens` that have already been used. The level may become negative.
void bucketCharge(Bucket&, double tokens, base::TimePoint now);

// Adds unused tokens of `take` back, as far as the invariant allows, and returns the number of tokens added.
double bucketReturn(Bucket&, double tokens, TakeNumber take, base::TimePoint now);

} // namespace rattanshunt::budget

// One account's part of a budget at one home: a token bucket whose give-backs keep the bound exact.
//
// Contents
//   [1] Bucket          level, rate, capacity, and the highest levels since each moment
//   [2] Operations      bucketTake(), bucketGiveBack(), bucketCharge()
//
// The bound: for every window, tokens taken less tokens given back for takes in that window are at most
// capacity + rate x window. A plain "add what was not used" breaks it: the bucket may have filled up while the
// reservation was out. bucketGiveBack() therefore restores only as many tokens as the bucket would hold more now if
// they had never been taken: the smallest headroom since the take.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <cstdint>
#include <deque>

#include "base/Time.h"

namespace rattanshunt::budget {

// ---- [1] Bucket --------------------------------------------------------------------------------

using TakeNumber = uint64_t; // of a take from one bucket, counted from 1

// The level just before a take.
struct BucketPeak {
    TakeNumber take = 0;
    double level = 0;
};

struct Bucket {
    double rate = 0;     // tokens a second
    double capacity = 0; // tokens
    double level = 0;    // tokens at `asOf`; below zero after a charge
    base::TimePoint asOf {};
    TakeNumber lastTake = 0;
    std::deque<BucketPeak> peaks; // oldest first; each level is the highest from there on
};

constexpr double bucketPeakMergeFraction = 0.004; // of the capacity; peaks closer together are merged upwards

// ---- [2] Operations ----------------------------------------------------------------------------

Bucket bucketCreate(double rate, double capacity, double level, base::TimePoint now);

// Changes rate and capacity from `now` on; a level above the new capacity is cut.
void bucketConfigure(Bucket&, double rate, double capacity, base::TimePoint now);

// The level at `now`. Time that went backwards counts as none.
double bucketLevel(const Bucket&, base::TimePoint now);

// Takes `tokens` if the level covers them and gives the number of the take, or 0 if it does not.
TakeNumber bucketTake(Bucket&, double tokens, base::TimePoint now);

// Takes `tokens` that have been used already; the level may fall below zero.
void bucketCharge(Bucket&, double tokens, base::TimePoint now);

// Returns tokens of `take` that were not used. Gives how many the level rose by.
double bucketReturn(Bucket&, double tokens, TakeNumber take, base::TimePoint now);

} // namespace rattanshunt::budget

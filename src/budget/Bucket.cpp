#include "budget/Bucket.h"

#include <algorithm>

namespace rattanshunt::budget {

namespace {

    void refill(Bucket& bucket, base::TimePoint now)
    {
        if (now <= bucket.asOf)
            return;
        bucket.level = bucketLevel(bucket, now);
        bucket.asOf = now;
    }

    // Records the level before take number `take`. Levels decrease strictly along the deque.
    void recordPeak(Bucket& bucket, TakeNumber take, double level)
    {
        auto& peaks = bucket.peaks;
        while (!peaks.empty() && peaks.back().level <= level)
            peaks.pop_back();
        bool isNearLastPeak = !peaks.empty() && peaks.back().level - level < bucket.capacity * bucketPeakMergeFraction;
        if (isNearLastPeak)
            peaks.back().take = take;
        else
            peaks.push_back({ take, level });
    }

    double maxLevelAfter(const Bucket& bucket, TakeNumber take)
    {
        for (const BucketPeak& peak : bucket.peaks) {
            if (peak.take > take)
                return std::max(peak.level, bucket.level);
        }
        return bucket.level;
    }

    void raisePeaksAfter(Bucket& bucket, TakeNumber take, double tokens)
    {
        std::deque<BucketPeak> raised;
        for (BucketPeak peak : bucket.peaks) {
            if (peak.take > take)
                peak.level += tokens;
            while (!raised.empty() && raised.back().level <= peak.level)
                raised.pop_back();
            raised.push_back(peak);
        }
        bucket.peaks = std::move(raised);
    }

} // namespace

Bucket bucketCreate(double rate, double capacity, double level, base::TimePoint now)
{
    return { rate, capacity, std::min(level, capacity), now, 0, {} };
}

void bucketConfigure(Bucket& bucket, double rate, double capacity, base::TimePoint now)
{
    if (rate == bucket.rate && capacity == bucket.capacity)
        return;
    refill(bucket, now);
    bucket.rate = rate;
    bucket.capacity = capacity;
    bucket.level = std::min(bucket.level, capacity);
    // The headroom before the change is unknown for the new capacity. A peak at full capacity ensures that no tokens of
    // earlier takes are restored.
    bucket.peaks.clear();
    bucket.peaks.push_back({ ++bucket.lastTake, capacity });
}

double bucketLevel(const Bucket& bucket, base::TimePoint now)
{
    if (now <= bucket.asOf)
        return bucket.level;
    return std::min(bucket.capacity, bucket.level + bucket.rate * base::secondsOf(now - bucket.asOf));
}

TakeNumber bucketTake(Bucket& bucket, double tokens, base::TimePoint now)
{
    refill(bucket, now);
    if (bucket.level < tokens)
        return 0;
    recordPeak(bucket, ++bucket.lastTake, bucket.level);
    bucket.level -= tokens;
    return bucket.lastTake;
}

void bucketCharge(Bucket& bucket, double tokens, base::TimePoint now)
{
    refill(bucket, now);
    recordPeak(bucket, ++bucket.lastTake, bucket.level);
    bucket.level -= tokens;
}

double bucketReturn(Bucket& bucket, double tokens, TakeNumber take, base::TimePoint now)
{
    refill(bucket, now);
    double headroom = bucket.capacity - maxLevelAfter(bucket, take);
    double accepted = std::min(tokens, headroom);
    if (accepted <= 0)
        return 0;
    bucket.level += accepted;
    raisePeaksAfter(bucket, take, accepted);
    return accepted;
}

} // namespace rattanshunt::budget

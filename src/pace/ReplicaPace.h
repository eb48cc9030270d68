// Expected times of a request on a replica whose speed changes, and the cost of that replica in a selection.
//
// Contents
//   [1] Data            StatedPace, UsualTimes, ReplicaPace, PaceInputs, ExpectedTimes, PaceOptions
//   [2] Observations    paceRecordStated(), usualTimesRecord(), paceRecordTimes()
//   [3] Estimates       paceNow(), expectedTimes(), paceCost()
//
// Load pattern: replicas share their machines with other work. Their speeds differ and change many times a second, so
// that equal numbers of requests load them unequally. Each response states the replica's pace at that moment: 1 is as
// usual, 2 takes twice as long. A figure says little 100 ms later; from then on the replica's mean pace is the better
// estimate. Many daemons see the same figures, see ReplicaSelectionOptions::nearBestMargin.
//
// Pure functions over data that the calling thread owns.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>

#include "base/Time.h"

namespace rattanshunt::pace {

// ---- [1] Data ----------------------------------------------------------------------------------

struct StatedPace {
    double pace = 1;
    base::BootTime at {};
};

// Times of requests for one model or service, on all replicas together and smoothed, in seconds. 0: not known.
struct UsualTimes {
    double firstEvent = 0;
    double betweenEvents = 0;
};

// What a daemon has observed of one process of a replica.
struct ReplicaPace {
    std::optional<StatedPace> last;
    double meanStated = 1;
    double statedCount = 0;
    double meanFirstEvent = 1; // observed times as multiples of the usual ones
    double firstEventCount = 0;
    double meanBetweenEvents = 1;
    double betweenEventsCount = 0;
};

struct PaceInputs {
    ReplicaPace pace;
    UsualTimes usual;
    double load = 0;     // running requests per slot
    double prefills = 0; // requests whose prefill is under way or ahead
};

// In seconds; as multiples of the usual time where that is not known.
struct ExpectedTimes {
    double firstEvent = 0;
    double betweenEvents = 0;
};

struct PaceOptions {
    base::Millis statedHalfLife { 60 }; // of the weight of a stated pace against the mean
    double smoothing = 0.05;            // weight of a new figure in a mean
    double priorCount = 6;              // figures that a mean needs to have the same weight as the usual pace
    double minPace = 0.25;              // stated and mean paces are limited to this range
    double maxPace = 8;
    double idleLoad = 0.5;   // load at which the time between events is twice that of an idle replica
    double idlePrefills = 5; // prefills ahead at which the time to the first event is twice that of an idle replica
    // Parts of a replica's load by which a doubled expected time makes it costlier.
    double firstEventCost = 0.2;
    double betweenEventsCost = 0.5;
};

// ---- [2] Observations --------------------------------------------------------------------------

// Adds a figure to a mean; the first ones have equal weights.
inline void meanRecord(double& mean, double& count, double figure, const PaceOptions& options)
{
    count = std::min(count + 1, 1 / options.smoothing);
    mean += (std::clamp(figure, options.minPace, options.maxPace) - mean) / count;
}

// Ignores a figure that is older than the last one.
inline void paceRecordStated(ReplicaPace& pace, double stated, base::BootTime at, const PaceOptions& options)
{
    if (pace.last && at < pace.last->at)
        return;
    pace.last = StatedPace { std::clamp(stated, options.minPace, options.maxPace), at };
    meanRecord(pace.meanStated, pace.statedCount, stated, options);
}

inline void usualTimesRecord(UsualTimes& usual, const ExpectedTimes& observed, const PaceOptions& options)
{
    auto record = [&](double& mean, double seconds) {
        if (seconds > 0)
            mean = mean > 0 ? mean + (seconds - mean) * options.smoothing : seconds;
    };
    record(usual.firstEvent, observed.firstEvent);
    record(usual.betweenEvents, observed.betweenEvents);
}

// Records the times of one attempt; 0: not observed.
inline void paceRecordTimes(
    ReplicaPace& pace, const UsualTimes& usual, const ExpectedTimes& observed, const PaceOptions& options)
{
    if (usual.firstEvent > 0 && observed.firstEvent > 0)
        meanRecord(pace.meanFirstEvent, pace.firstEventCount, observed.firstEvent / usual.firstEvent, options);
    if (usual.betweenEvents > 0 && observed.betweenEvents > 0)
        meanRecord(
            pace.meanBetweenEvents, pace.betweenEventsCount, observed.betweenEvents / usual.betweenEvents, options);
}

// ---- [3] Estimates -----------------------------------------------------------------------------

// The replica's mean pace by its own statements and by the observed times, drawn towards 1 while there are few figures.
inline double meanPace(const ReplicaPace& pace, double observedMean, double observedCount, const PaceOptions& options)
{
    double sum = pace.meanStated * pace.statedCount + observedMean * observedCount + options.priorCount;
    return sum / (pace.statedCount + observedCount + options.priorCount);
}

// The pace now: the last stated one while it is new, else the given mean.
inline double paceNow(const ReplicaPace& pace, double mean, base::BootTime now, const PaceOptions& options)
{
    if (!pace.last)
        return mean;
    double age = base::secondsOf(std::max(base::BootClock::duration(0), now - pace.last->at));
    return mean + (pace.last->pace - mean) * std::exp2(-age / base::secondsOf(options.statedHalfLife));
}

inline ExpectedTimes expectedTimes(const PaceInputs& inputs, base::BootTime now, const PaceOptions& options)
{
    const ReplicaPace& pace = inputs.pace;
    auto usualOr1 = [](double seconds) { return seconds > 0 ? seconds : 1; };
    double first = paceNow(pace, meanPace(pace, pace.meanFirstEvent, pace.firstEventCount, options), now, options);
    double between
        = paceNow(pace, meanPace(pace, pace.meanBetweenEvents, pace.betweenEventsCount, options), now, options);
    return { usualOr1(inputs.usual.firstEvent) * first * (1 + inputs.prefills / options.idlePrefills),
        usualOr1(inputs.usual.betweenEvents) * between * (1 + inputs.load / options.idleLoad) };
}

// What the replica's pace adds to its cost in a selection, in parts of its load: 0 at the usual pace.
inline double paceCost(const PaceInputs& inputs, base::BootTime now, const PaceOptions& options)
{
    PaceInputs atUsualPace = inputs;
    atUsualPace.pace = {};
    atUsualPace.usual = {};
    PaceInputs relative = inputs;
    relative.usual = {};
    ExpectedTimes usual = expectedTimes(atUsualPace, now, options);
    ExpectedTimes expected = expectedTimes(relative, now, options);
    return (expected.firstEvent - usual.firstEvent) * options.firstEventCost
        + (expected.betweenEvents - usual.betweenEvents) * options.betweenEventsCost;
}

} // namespace rattanshunt::pace

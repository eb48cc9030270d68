#include "base/Histograms.h"

#include <map>
#include <mutex>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace rattanshunt::base {

namespace {

    // In seconds; from the response of a service without models to the longest time that a client waits.
    const prometheus::Histogram::BucketBoundaries bucketBounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1,
        1.5, 2.5, 5, 10, 20 };

    struct Histograms {
        std::mutex mutex;
        prometheus::Registry registry;
        std::map<std::pair<std::string, std::string>, prometheus::Histogram*> byNameAndKind;
    };

    Histograms& histograms()
    {
        static Histograms state;
        return state;
    }

} // namespace

void histogramObserve(const std::string& name, const std::string& kind, Duration time)
{
    Histograms& state = histograms();
    std::lock_guard lock(state.mutex);
    auto [found, isNew] = state.byNameAndKind.try_emplace({ name, kind }, nullptr);
    if (isNew)
        found->second
            = &prometheus::BuildHistogram().Name(name).Register(state.registry).Add({ { "kind", kind } }, bucketBounds);
    found->second->Observe(secondsOf(time));
}

std::string histogramsText()
{
    return prometheus::TextSerializer().Serialize(histograms().registry.Collect());
}

} // namespace rattanshunt::base

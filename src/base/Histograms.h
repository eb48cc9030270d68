// The process's latency histograms, in the Prometheus text format.
//
// Safe from any thread.
#pragma once

#include <string>

#include "base/Time.h"

namespace rattanshunt::base {

// Adds one duration to the histogram `name` under the label kind="`kind`". The buckets are in seconds.
void histogramObserve(const std::string& name, const std::string& kind, Duration time);

// All histograms in the Prometheus text format.
std::string histogramsText();

} // namespace rattanshunt::base

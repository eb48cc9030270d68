// Latency histograms: the process's own, in the usual text form for metrics.
//
// Safe from any thread.
#pragma once

#include <string>

#include "base/Time.h"

namespace rattanshunt::base {

// Adds one time to the histogram `name`, in seconds, under the label kind="`kind`".
void histogramObserve(const std::string& name, const std::string& kind, Duration time);

// All histograms as metrics text.
std::string histogramsText();

} // namespace rattanshunt::base

// What the tests of cold replicas share.
#pragma once

#include <algorithm>
#include <vector>

#include "Support.h"
#include "base/Time.h"

namespace rattanshunt::tests {

inline constexpr double coldPerSecond = 6.5;

// The most of the times that are within any one second.
inline size_t mostInSecond(std::vector<base::BootTime> sent)
{
    std::sort(sent.begin(), sent.end());
    size_t most = 0;
    for (size_t last = 0, first = 0; last < sent.size(); ++last) {
        while (sent[first] <= sent[last] - base::Seconds(1))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace rattanshunt::tests

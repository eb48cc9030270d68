#include "gateway/StopPolicy.h"

#include <cmath>

namespace rattanshunt::gateway {

namespace {
    constexpr double meanWeight = 1.0 / 8;
    constexpr double deviationWeight = 1.0 / 4;
    constexpr double deviations = 4;
    constexpr size_t minCount = 5;
} // namespace

void usualTimeRecord(UsualTime& usual, base::Duration time)
{
    double millis = base::secondsOf(time) * 1000;
    if (usual.count++ == 0) {
        usual.meanMillis = millis;
        usual.deviationMillis = millis / 2;
        return;
    }
    usual.deviationMillis += deviationWeight * (std::abs(millis - usual.meanMillis) - usual.deviationMillis);
    usual.meanMillis += meanWeight * (millis - usual.meanMillis);
}

std::optional<base::Duration> usualTimeLimit(const UsualTime& usual)
{
    if (usual.count < minCount)
        return std::nullopt;
    return base::durationOf((usual.meanMillis + deviations * usual.deviationMillis) / 1000);
}

bool stopAllowsAttempt(const StopInputs& inputs)
{
    return inputs.deadline <= inputs.endsAt || (inputs.usualTime && inputs.now + *inputs.usualTime <= inputs.endsAt);
}

} // namespace rattanshunt::gateway

#include "gateway/WaitPolicy.h"

#include <algorithm>

namespace rattanshunt::gateway {

static WaitDecision refusal(const char* reason, base::Duration retryAfter, const WaitOptions& options)
{
    WaitDecision decision;
    decision.reason = reason;
    decision.retryAfter = std::max(options.minRetryAfter, std::chrono::duration_cast<base::Millis>(retryAfter));
    return decision;
}

WaitDecision waitDecide(const WaitInputs& inputs, const WaitOptions& options)
{
    base::Duration timeToWait = std::min(inputs.timeLeft, inputs.firstByteTimeLeft) - options.minServiceTime;
    if (inputs.waitingRequests >= options.maxWaitingRequests)
        return refusal("queue_full", options.minRetryAfter, options);
    if (!inputs.isEngineService && inputs.hasUsableReplica && inputs.hasTriedReplica)
        return refusal("no_other_replica", options.minRetryAfter, options);
    if (timeToWait <= base::Duration(0))
        return refusal(inputs.hasUsableReplica ? "replicas_full" : "model_not_loaded",
            inputs.readyIn.value_or(base::Duration(0)), options);
    if (inputs.permitIn && *inputs.permitIn > timeToWait)
        return refusal("replica_limited", *inputs.permitIn, options);
    if (inputs.keysExpireIn && inputs.hasUsableReplica && inputs.slotIn && *inputs.slotIn > *inputs.keysExpireIn)
        return refusal("configuration_stale", *inputs.slotIn, options);
    if (inputs.keysExpireIn && !inputs.hasUsableReplica && (!inputs.readyIn || *inputs.readyIn > *inputs.keysExpireIn))
        return refusal("configuration_stale", inputs.readyIn.value_or(options.modelLoadTimeWithoutHub), options);
    if (inputs.hasUsableReplica && inputs.slotIn && *inputs.slotIn > timeToWait)
        return refusal("replicas_full", *inputs.slotIn, options);
    if (!inputs.hasUsableReplica && inputs.readyIn && *inputs.readyIn > timeToWait + options.estimateSlack)
        return refusal("model_comes_too_late", *inputs.readyIn, options);
    if (!inputs.hasUsableReplica && !inputs.readyIn && !inputs.hasHub
        && options.modelLoadTimeWithoutHub - inputs.waited > timeToWait)
        return refusal("nobody_orders_models", options.modelLoadTimeWithoutHub - inputs.waited, options);
    WaitDecision decision;
    decision.mayWait = true;
    decision.recheckAfter = std::min(
        options.recheckInterval, std::max(base::Millis(1), std::chrono::duration_cast<base::Millis>(timeToWait)));
    return decision;
}

} // namespace rattanshunt::gateway

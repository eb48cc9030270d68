#include "gateway/WaitPolicy.h"

#include <algorithm>

namespace rattanshunt::gateway {

static WaitDecision refuseWith(const char* why, base::Duration retryAfter, const WaitOptions& options)
{
    WaitDecision decision;
    decision.reason = why;
    decision.retryAfter = std::max(options.minRetryAfter, std::chrono::duration_cast<base::Millis>(retryAfter));
    return decision;
}

WaitDecision waitDecide(const WaitInputs& view, const WaitOptions& options)
{
    base::Duration usable = std::min(view.timeLeft, view.firstByteTimeLeft) - options.minServiceTime;
    if (view.waitingRequests >= options.maxWaitingRequests)
        return refuseWith("queue_full", options.minRetryAfter, options);
    if (!view.isEngineService && view.hasUsableReplica && view.hasTriedReplica)
        return refuseWith("no_other_replica", options.minRetryAfter, options);
    if (usable <= base::Duration(0))
        return refuseWith(view.hasUsableReplica ? "replicas_full" : "model_not_loaded",
            view.readyIn.value_or(base::Duration(0)), options);
    if (!view.hasUsableReplica && view.readyIn && *view.readyIn > usable + options.estimateSlack)
        return refuseWith("model_comes_too_late", *view.readyIn, options);
    if (!view.hasUsableReplica && !view.readyIn && !view.hasHub
        && options.modelLoadTimeWithoutHub - view.waited > usable)
        return refuseWith("nobody_orders_models", options.modelLoadTimeWithoutHub - view.waited, options);
    WaitDecision decision;
    decision.mayWait = true;
    decision.recheckAfter = std::min(
        options.recheckInterval, std::max(base::Millis(1), std::chrono::duration_cast<base::Millis>(usable)));
    return decision;
}

} // namespace rattanshunt::gateway

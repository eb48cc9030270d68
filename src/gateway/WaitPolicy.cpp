#include "gateway/WaitPolicy.h"

#include <algorithm>

namespace rattanshunt::gateway {

static WaitDecision refuseWith(const char* why, base::Duration retryAfter, const WaitOptions& options)
{
    WaitDecision decision;
    decision.why = why;
    decision.retryAfter = std::max(options.retryLeast, std::chrono::duration_cast<base::Millis>(retryAfter));
    return decision;
}

WaitDecision waitDecide(const WaitView& view, const WaitOptions& options)
{
    base::Duration usable = std::min(view.timeLeft, view.patienceLeft) - options.serveLeast;
    if (view.waitingHere >= options.waitingMost)
        return refuseWith("queue_full", options.retryLeast, options);
    if (!view.isEngine && view.isHeld && view.hasTriedOthers)
        return refuseWith("no_other_replica", options.retryLeast, options);
    if (usable <= base::Duration(0))
        return refuseWith(
            view.isHeld ? "replicas_full" : "model_not_loaded", view.readyIn.value_or(base::Duration(0)), options);
    if (!view.isHeld && view.readyIn && *view.readyIn > usable + options.estimateSlack)
        return refuseWith("model_comes_too_late", *view.readyIn, options);
    if (!view.isHeld && !view.readyIn && !view.hasHub && options.withoutHub - view.waited > usable)
        return refuseWith("nobody_orders_models", options.withoutHub - view.waited, options);
    WaitDecision decision;
    decision.mayWait = true;
    decision.lookAgain
        = std::min(options.lookAgain, std::max(base::Millis(1), std::chrono::duration_cast<base::Millis>(usable)));
    return decision;
}

} // namespace rattanshunt::gateway

// Evidence about prompt parts under which replicas end, in class Gateway.
#include <fmt/format.h>

#include "base/Counters.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

namespace {

    bool hasEndedUnsettled(const RequestContext& request, const AttemptResult& result)
    {
        return result.hasConnectionEnded && request.onSettled && !request.hasCallerLeft;
    }

} // namespace

std::vector<std::string> sharedPartsOf(const RequestHead& head)
{
    std::vector<std::string> parts;
    for (size_t i = 0; i + 1 < head.promptSegments.size(); ++i) {
        const std::string& id = head.promptSegments[i].id;
        if (base::isValidUtf8(id) && std::find(parts.begin(), parts.end(), id) == parts.end())
            parts.push_back(id);
    }
    return parts;
}

std::string attemptPartsText(const RequestContext& request, const AttemptResult& result)
{
    return hasEndedUnsettled(request, result) ? fmt::format("{}", fmt::join(request.sharedParts, ",")) : "";
}

// Call before each attempt.
void Gateway::beginPartEvidence(RequestContext& request)
{
    request.attemptFirstEventAt = {};
    request.onSettled = [] {};
}

// Call after each attempt.
void Gateway::recordPartEvidence(RequestContext& request, const ReplicaEntry&, AttemptResult& result)
{
    if (hasEndedUnsettled(request, result) && !request.sharedParts.empty())
        base::counterAdd("prompt_part_ends_total");
    request.onSettled = nullptr;
}

} // namespace rattanshunt::gateway

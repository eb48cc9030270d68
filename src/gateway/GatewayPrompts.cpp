// Evidence about prompt parts and requests under which replicas end, in class Gateway.
#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;
using base::LogLevel;

namespace {

    constexpr base::Seconds partRefusalLogInterval { 1 };

    bool hasEndedWithReplica(const RequestContext& request, const AttemptResult& result)
    {
        return result.hasConnectionEnded && result.outcome != AttemptOutcome::Complete && !request.hasCallerLeft;
    }

    bool hasEndedUnsettled(const RequestContext& request, const AttemptResult& result)
    {
        return result.hasConnectionEnded && request.onSettled && !request.hasCallerLeft;
    }

    std::string attemptParts(const RequestContext& request)
    {
        return fmt::format("{}", fmt::join(request.sharedParts, ","));
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

std::string requestKeyOf(const RequestContext& request)
{
    const net::HttpRequest& sent = request.exchange.request();
    std::string about = fmt::format("{}\n{}\n{}\n{}\n{}\n{}", sent.method, request.head.host, sent.target,
        request.accountName, request.head.model, request.head.adapter);
    uint64_t aboutHash = base::stableHash(about);
    return fmt::format(
        "{}{:016x}{:016x}", prompts::requestKeyPrefix, aboutHash, base::stableHash(sent.body, aboutHash));
}

std::string attemptKeyText(const RequestContext& request, const AttemptResult& result)
{
    return hasEndedWithReplica(request, result) ? request.requestKey : "";
}

std::string attemptPartsText(const RequestContext& request, const AttemptResult& result)
{
    return hasEndedUnsettled(request, result) ? attemptParts(request) : "";
}

std::string refusalText(const RequestContext& request, std::string_view reason)
{
    bool isBlock = reason == partBlockedReason || reason == requestBlockedReason;
    return isBlock ? fmt::format("{}: {}", reason, request.blockedPart) : std::string(reason);
}

// The refusal of a request that is blocked or has a blocked part; nothing if neither is.
std::optional<Gateway::Refusal> Gateway::partRefusal(RequestContext& request)
{
    const prompts::PartView& view = m_hubSync.partView();
    if (view.blocked.empty())
        return std::nullopt;
    BootTime now = BootClock::now();
    std::vector<std::string> suspects = request.sharedParts;
    suspects.push_back(request.requestKey);
    auto blocked = prompts::viewFindBlocked(view, request.service->name, suspects, now);
    if (!blocked)
        return std::nullopt;
    request.blockedPart = blocked->part;
    std::erase_if(m_partRefusalLoggedAt, [&](auto& item) { return now - item.second >= partRefusalLogInterval; });
    if (m_partRefusalLoggedAt.try_emplace(blocked->part, now).second)
        base::logEvent(LogLevel::Info, "part.refused",
            { { "part", blocked->part }, { "service", request.service->name }, { "id", request.head.id },
                { "left_ms", base::millisOf(blocked->timeLeft) } });
    return Refusal { prompts::isRequestKey(blocked->part) ? requestBlockedReason : partBlockedReason,
        std::chrono::duration_cast<base::Millis>(blocked->timeLeft) };
}

// Call before each attempt.
void Gateway::beginPartEvidence(RequestContext& request)
{
    request.attemptFirstEventAt = {};
    request.onSettled = [this, &request] { m_hubSync.recordSettledParts(request.service->name, request.sharedParts); };
}

// Call after each attempt.
void Gateway::recordPartEvidence(RequestContext& request, const ReplicaEntry& entry, AttemptResult& result)
{
    bool hasUnsettledParts = hasEndedUnsettled(request, result) && !request.sharedParts.empty();
    request.onSettled = nullptr;
    if (result.outcome == AttemptOutcome::Complete || result.outcome == AttemptOutcome::ExecutedFailed)
        m_hubSync.recordSettledRequest(request.service->name, request.requestKey);
    if (hasUnsettledParts)
        base::counterAdd("prompt_part_ends_total");
    if (!hasEndedWithReplica(request, result) && !hasUnsettledParts)
        return;
    base::counterAdd("attempts_ended_with_replica_total");
    // A replica that is being removed ends its connections by itself.
    auto found = m_hubSync.directory().replicas.find(entry.id);
    if (entry.isDraining || (found != m_hubSync.directory().replicas.end() && found->second.entry.isDraining))
        return;
    prompts::ReplicaEnd end;
    end.life = { entry.id, entry.startedAtMillis };
    end.observedAt = BootClock::now();
    end.service = request.service->name;
    if (hasEndedWithReplica(request, result))
        end.parts.push_back(request.requestKey);
    if (hasUnsettledParts)
        end.parts.insert(end.parts.end(), request.sharedParts.begin(), request.sharedParts.end());
    result.mayEndReplicas
        = !prompts::retryIsAllowed(m_hubSync.partView(), m_hubSync.settledParts(), end, end.observedAt)
        || m_hubSync.hasOwnEnd(end, request.requestKey);
    if (result.mayEndReplicas)
        base::logEvent(LogLevel::Info, "part.not_retried",
            { { "id", request.head.id }, { "replica", entry.id }, { "parts", attemptParts(request) },
                { "request", request.requestKey } });
    m_hubSync.recordReplicaEnd(end);
}

} // namespace rattanshunt::gateway

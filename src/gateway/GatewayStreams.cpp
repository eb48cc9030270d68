// Streams that go on only at the version of the replicas' software that began them, in class Gateway.
#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::LogLevel;

// Finds the version that began a stream which the caller takes up. False if the request was refused. Suspends.
bool Gateway::findStreamVersion(RequestContext& request)
{
    if (request.progress.retryClass != RetryClass::Resumable || request.head.lastEventId.empty())
        return true;
    streams::TakeUpKnowledge knowledge = m_hubSync.takeUpKnowledge(request.service->name, request.head.resumedId);
    streams::TakeUp takeUp = streams::takeUpDecide(knowledge);
    base::counterAddLabelled("stream_take_ups_total", "origin",
        knowledge.isRemembered   ? "known"
            : takeUp.mayContinue ? "one_version"
                                 : "unknown");
    base::logEvent(LogLevel::Info, "stream.taken_up",
        { { "id", request.head.id }, { "resumes", request.head.resumedId }, { "after", request.head.lastEventId },
            { "version", takeUp.version }, { "is_known", knowledge.isRemembered },
            { "took_ms", base::millisOf(BootClock::now() - request.arrivedAt) } });
    if (!takeUp.mayContinue) {
        refuse(request, 503, "stream_version_unknown", std::nullopt);
        return false;
    }
    request.pinnedVersion = takeUp.version;
    if (request.hasCallerLeft)
        recordRequestEnd(request, 0, "caller_gone", "");
    return !request.hasCallerLeft;
}

void Gateway::recordStreamVersion(RequestContext& request, const ReplicaEntry& entry)
{
    request.pinnedVersion = entry.version;
    bool isTakeUp = !request.head.lastEventId.empty() && !request.head.resumedId.empty();
    m_hubSync.recordStreamOrigin(entry.service, isTakeUp ? request.head.resumedId : request.head.id, entry.version);
}

} // namespace rattanshunt::gateway

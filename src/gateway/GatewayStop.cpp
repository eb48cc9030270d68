// The planned stop, in class Gateway.
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootTime;

void Gateway::beginDrain(BootTime endsAt)
{
    m_isDraining = true;
    m_endsAt = endsAt;
    wakeAllWaiting();
}

void Gateway::endRequests()
{
    m_isEnding = true;
    for (RequestContext* request : m_requests) {
        if (request->connection)
            request->connection->cancel();
        request->wakeEvent.set();
    }
}

void Gateway::stopAccepting()
{
    m_server->stopAccepting();
}

void Gateway::closeAll()
{
    m_server->closeAll();
}

// Whether a response to the request would end before this process does.
bool Gateway::mayEndInTime(const RequestContext& request, BootTime now) const
{
    if (m_endsAt == BootTime::max())
        return true;
    auto usual = m_usualTimes.find(request.route->name);
    StopInputs inputs { now, m_endsAt, request.deadline, std::nullopt };
    if (usual != m_usualTimes.end())
        inputs.usualTime = usualTimeLimit(usual->second);
    return stopAllowsAttempt(inputs);
}

} // namespace rattanshunt::gateway

// Attempts while this daemon may have lost its links to all replicas, in class Gateway.
#include "base/Counters.h"
#include "base/Log.h"
#include "gateway/Gateway.h"

namespace rattanshunt::gateway {

using base::BootClock;
using base::BootTime;

// Connects directly, or over another daemon while this one reaches no replica. Null, or why there is no connection.
const char* Gateway::openConnection(RequestContext& request, const ReplicaEntry& entry,
    std::unique_ptr<net::HttpConnection>& connection, base::TimePoint deadline)
{
    if (!m_dialer.hasLostReplicas()) {
        if (m_dialer.connect(*connection, deadline) == net::HttpCallError::None)
            return nullptr;
        if (request.hasCallerLeft || m_dialer.confirmReach(entry.address))
            return connectFailedReason;
    }
    request.connection = nullptr; // the caller's end is noticed when the relayed one is open
    reach::RelayedConnection relayed = m_dialer.openRelayed(entry, request.deadline);
    switch (relayed.answer) {
    case reach::RelayAnswer::Carries:
        break;
    case reach::RelayAnswer::ReplicaFailed:
        return connectFailedReason;
    case reach::RelayAnswer::ReplicaBarred:
        return relayBarredReason;
    case reach::RelayAnswer::Unable:
        return noLinkReason;
    }
    connection = std::move(relayed.connection);
    request.relay = std::move(relayed.relay);
    request.confirmEnd = [this, &request] { return m_dialer.relayedEnd(*request.relay) == net::TunnelEnd::InOrder; };
    return nullptr;
}

// A connection that was refused or has ended says nothing about its replica if this daemon reaches no other one, or if
// the daemon that carried it has ended it.
void Gateway::confirmConnectionEnd(RequestContext& request, const ReplicaEntry& entry, AttemptResult& result)
{
    bool hasEnded = result.hasConnectionEnded && result.outcome != AttemptOutcome::Complete;
    bool hasFailed = hasEnded || (result.isReplicaFault && std::string_view(result.reason) == connectFailedReason);
    if (!hasFailed || request.hasCallerLeft)
        return;
    bool isByReplica = true;
    if (request.relay) {
        net::TunnelEnd end = m_dialer.relayedEnd(*request.relay);
        isByReplica = end == net::TunnelEnd::InOrder || end == net::TunnelEnd::ByServer;
    } else if (result.wasSent) {
        isByReplica = m_dialer.confirmReach(entry.address);
    }
    if (isByReplica)
        return;
    base::counterAdd("attempts_ended_with_link_total");
    request.hasLostLink = true;
    result.hasConnectionEnded = false;
    result.isReplicaFault = false;
}

// Attempts that hang may be sent again over another daemon, unless they run at most once.
void Gateway::giveUpSilentAttempts()
{
    BootTime now = BootClock::now();
    for (RequestContext* request : m_requests) {
        bool isDirect = request->connection && request->attemptSentAt != BootTime {} && !request->relay;
        if (!isDirect || request->progress.retryClass == RetryClass::AtMostOnce
            || now - std::max(request->attemptSentAt, request->attemptHeardAt) < m_options.lostLinkSilence)
            continue;
        request->hasLostLink = true;
        request->connection->cancel();
    }
}

// Looks at the requests that wait for bytes, as long as there are any.
void Gateway::armSilenceCheck()
{
    if (!m_silenceTimer)
        m_silenceTimer = m_loop.timers().subscribe(base::Clock::now() + m_options.silenceInterval, [this] {
            m_silenceTimer = 0;
            checkSilence();
        });
}

void Gateway::checkSilence()
{
    std::optional<BootTime> waitingSince;
    for (const RequestContext* request : m_requests) {
        if (request->connection && request->attemptSentAt != BootTime {} && !request->relay)
            waitingSince = std::min(
                waitingSince.value_or(BootTime::max()), std::max(request->attemptSentAt, request->attemptHeardAt));
    }
    if (!waitingSince)
        return;
    m_dialer.checkSilence(*waitingSince);
    armSilenceCheck();
}

} // namespace rattanshunt::gateway

#include "gateway/RequestContext.h"

#include "base/Counters.h"

namespace rattanshunt::gateway {

using base::BootClock;
using net::HttpCallError;

namespace {

    constexpr base::Millis answerSlack { 60 }; // beyond the deadline, for a replica's own word on it
    constexpr size_t foreignAnswersMost = 2;   // late answers to other requests that are read past
    constexpr size_t plainBodyMost = 16 * 1024 * 1024;

    AttemptResult ended(AttemptOutcome end, const char* why, bool isTrouble)
    {
        AttemptResult result;
        result.outcome = end;
        result.reason = why;
        result.isReplicaFault = isTrouble;
        return result;
    }

    base::TimePoint steadyDeadline(const RequestContext& session)
    {
        return base::Clock::now() + requestTimeLeft(session, BootClock::now()) + answerSlack;
    }

    // Reads the head of the answer to this request; late answers to others on the same connection are read past.
    HttpCallError readOwnHead(
        RequestContext& session, const WireCodec& dialect, net::HttpResponse& response, ResponseHead& head)
    {
        for (size_t i = 0; i <= foreignAnswersMost; ++i) {
            HttpCallError error = session.connection->readHead(response, steadyDeadline(session));
            if (error != HttpCallError::None)
                return error;
            head = dialect.readResponseHead(response, session.head.id);
            if (!head.isForOtherRequest)
                return HttpCallError::None;
            base::counterAdd("replica_foreign_answers_total");
            bool isEnd = false;
            std::string dropped;
            while (!isEnd && error == HttpCallError::None) {
                error = session.connection->readSome(dropped, isEnd, steadyDeadline(session));
                dropped.clear();
            }
            if (error != HttpCallError::None)
                return error;
        }
        return HttpCallError::Malformed;
    }

    HttpCallError readBody(RequestContext& session, std::string& body)
    {
        bool isEnd = false;
        while (!isEnd) {
            HttpCallError error = session.connection->readSome(body, isEnd, steadyDeadline(session));
            if (error != HttpCallError::None)
                return error;
            if (body.size() > plainBodyMost)
                return HttpCallError::Malformed;
        }
        return HttpCallError::None;
    }

    // Passes the events of a stream on as they come. The head goes out with the first event, so that a replica that
    // fails before it leaves the caller's answer open.
    AttemptResult passStream(RequestContext& session, const WireCodec& dialect, const net::HttpResponse& head)
    {
        bool isEnd = false;
        std::string bytes;
        while (!isEnd) {
            bytes.clear();
            HttpCallError error = session.connection->readSome(bytes, isEnd, steadyDeadline(session));
            if (error != HttpCallError::None)
                return ended(AttemptOutcome::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
            if (session.onFirstByte)
                std::exchange(session.onFirstByte, nullptr)();
            std::string whole = eventsSplit(session.eventSplitter, bytes);
            if (whole.empty())
                continue;
            if (!session.progress.hasSentHead) {
                session.progress.hasSentHead = true;
                if (!session.exchange.startStream(head.status, dialect.forwardedHeaders(head)))
                    return ended(AttemptOutcome::Unknown, "caller_gone", false);
            }
            base::BootTime now = BootClock::now();
            if (session.firstEventAt == base::BootTime {})
                session.firstEventAt = now;
            else
                session.longestEventGap = std::max<base::Duration>(session.longestEventGap, now - session.lastEventAt);
            session.lastEventAt = now;
            if (!session.exchange.sendChunk(whole))
                return ended(AttemptOutcome::Unknown, "caller_gone", false);
        }
        if (!session.eventSplitter.partial.empty())
            return ended(AttemptOutcome::Unknown, "half_event", true);
        // A stream without events, as for a caller that continues after the last one, still has a head.
        if (!session.progress.hasSentHead) {
            session.progress.hasSentHead = true;
            if (!session.exchange.startStream(head.status, dialect.forwardedHeaders(head)))
                return ended(AttemptOutcome::Unknown, "caller_gone", false);
        }
        return ended(AttemptOutcome::Complete, "whole", false);
    }

    AttemptResult readAnswer(RequestContext& session, const WireCodec& dialect, std::optional<base::Seconds>& idleLimit,
        bool& mayKeep, base::TimePoint sentAt)
    {
        net::HttpResponse response;
        ResponseHead head;
        HttpCallError error = readOwnHead(session, dialect, response, head);
        if (error != HttpCallError::None)
            return ended(AttemptOutcome::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
        base::Duration firstByte = base::Clock::now() - sentAt;
        idleLimit = head.idleTimeout;
        AttemptResult result;
        if (head.isForwardableSuccess && session.route->isStream) {
            result = passStream(session, dialect, response);
            result.response.status = response.status;
        } else {
            error = readBody(session, response.body);
            if (error != HttpCallError::None)
                result
                    = ended(AttemptOutcome::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
            else if (head.isNotExecuted)
                result
                    = ended(AttemptOutcome::NotExecuted, head.isMisdirected ? "misdirected" : "replica_refused", false);
            else if (head.isForwardableSuccess)
                result = ended(AttemptOutcome::Complete, "whole", false);
            else if (response.status >= 400 && response.status != 429 && response.status != 503
                && response.status != 408)
                result = ended(AttemptOutcome::ExecutedFailed, "replica_failed", response.status >= 500);
            else
                // A status that would promise "not run" without the replica's word for it, or an unsigned success.
                result = ended(AttemptOutcome::Unknown, "not_to_be_passed_on", true);
            result.response = std::move(response);
        }
        result.wasMisdirected = head.isMisdirected;
        result.load = head.load;
        result.timeToFirstByte = firstByte;
        mayKeep = (result.outcome != AttemptOutcome::Unknown) && !head.closesConnection;
        return result;
    }

} // namespace

base::Millis requestTimeLeft(const RequestContext& session, base::BootTime now)
{
    return std::chrono::duration_cast<base::Millis>(session.deadline - now);
}

AttemptResult attemptRun(
    RequestContext& session, const ReplicaEntry& replica, const WireCodec& dialect, ReplicaConnectionPool& channels)
{
    auto connection = channels.acquire(replica.address, session.progress.retryClass);
    bool wasReused = connection->isConnected();
    session.connection = connection.get();
    AttemptResult result;
    std::optional<base::Seconds> idleLimit;
    bool mayKeep = false;
    base::Millis left = requestTimeLeft(session, BootClock::now());
    if (!wasReused && connection->connect(base::Clock::now() + std::min(connectTimeout, left)) != HttpCallError::None) {
        session.connection = nullptr;
        return ended(AttemptOutcome::NotExecuted, "connect_failed", !session.hasCallerLeft);
    }
    // Connecting may have taken long, or the machine may have been suspended.
    left = requestTimeLeft(session, BootClock::now());
    if (session.hasCallerLeft || left <= base::Millis(0)) {
        session.connection = nullptr;
        return ended(AttemptOutcome::NotExecuted, session.hasCallerLeft ? "caller_gone" : "time_over", false);
    }
    AttemptTarget target { replica.id, session.accountName, left, session.priority, session.eventSplitter.lastId };
    base::TimePoint sentAt = base::Clock::now();
    HttpCallError error
        = connection->send(dialect.writeAttempt(session.exchange.request(), target), steadyDeadline(session));
    if (error != HttpCallError::None)
        result = ended(AttemptOutcome::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
    else
        result = readAnswer(session, dialect, idleLimit, mayKeep, sentAt);
    session.connection = nullptr;
    result.wasConnectionReused = wasReused;
    eventsDropPartial(session.eventSplitter);
    if (mayKeep)
        channels.release(std::move(connection), idleLimit);
    return result;
}

} // namespace rattanshunt::gateway

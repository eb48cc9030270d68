#include "gateway/RequestContext.h"

#include "base/Counters.h"

namespace rattanshunt::gateway {

using base::BootClock;
using net::HttpCallError;

namespace {

    constexpr base::Millis answerSlack { 60 }; // beyond the deadline, for a replica's own word on it
    constexpr size_t foreignAnswersMost = 2;   // late answers to other requests that are read past
    constexpr size_t plainBodyMost = 16 * 1024 * 1024;

    AttemptResult ended(AttemptEnd end, const char* why, bool isTrouble)
    {
        AttemptResult result;
        result.end = end;
        result.why = why;
        result.isTrouble = isTrouble;
        return result;
    }

    base::TimePoint steadyDeadline(const Session& session)
    {
        return base::Clock::now() + sessionTimeLeft(session, BootClock::now()) + answerSlack;
    }

    // Reads the head of the answer to this request; late answers to others on the same connection are read past.
    HttpCallError readOwnHead(Session& session, const Dialect& dialect, net::HttpResponse& response, AnswerHead& head)
    {
        for (size_t i = 0; i <= foreignAnswersMost; ++i) {
            HttpCallError error = session.connection->readHead(response, steadyDeadline(session));
            if (error != HttpCallError::None)
                return error;
            head = dialect.readAnswer(response, session.head.id);
            if (!head.isForeign)
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

    HttpCallError readBody(Session& session, std::string& body)
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
    AttemptResult passStream(Session& session, const Dialect& dialect, const net::HttpResponse& head)
    {
        bool isEnd = false;
        std::string bytes;
        while (!isEnd) {
            bytes.clear();
            HttpCallError error = session.connection->readSome(bytes, isEnd, steadyDeadline(session));
            if (error != HttpCallError::None)
                return ended(AttemptEnd::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
            if (session.onFirstByte)
                std::exchange(session.onFirstByte, nullptr)();
            std::string whole = eventsTake(session.events, bytes);
            if (whole.empty())
                continue;
            if (!session.progress.hasPassedHead) {
                session.progress.hasPassedHead = true;
                if (!session.exchange.startStream(head.status, dialect.answerHeaders(head)))
                    return ended(AttemptEnd::Unknown, "caller_gone", false);
            }
            base::BootTime now = BootClock::now();
            if (session.firstEventAt == base::BootTime {})
                session.firstEventAt = now;
            else
                session.longestGap = std::max<base::Duration>(session.longestGap, now - session.lastEventAt);
            session.lastEventAt = now;
            if (!session.exchange.sendChunk(whole))
                return ended(AttemptEnd::Unknown, "caller_gone", false);
        }
        if (!session.events.partial.empty())
            return ended(AttemptEnd::Unknown, "half_event", true);
        // A stream without events, as for a caller that continues after the last one, still has a head.
        if (!session.progress.hasPassedHead) {
            session.progress.hasPassedHead = true;
            if (!session.exchange.startStream(head.status, dialect.answerHeaders(head)))
                return ended(AttemptEnd::Unknown, "caller_gone", false);
        }
        return ended(AttemptEnd::Whole, "whole", false);
    }

    AttemptResult readAnswer(Session& session, const Dialect& dialect, std::optional<base::Seconds>& idleLimit,
        bool& mayKeep, base::TimePoint sentAt)
    {
        net::HttpResponse response;
        AnswerHead head;
        HttpCallError error = readOwnHead(session, dialect, response, head);
        if (error != HttpCallError::None)
            return ended(AttemptEnd::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
        base::Duration firstByte = base::Clock::now() - sentAt;
        idleLimit = head.idleLimit;
        AttemptResult result;
        if (head.isWholeKind && session.route->isStream) {
            result = passStream(session, dialect, response);
            result.response.status = response.status;
        } else {
            error = readBody(session, response.body);
            if (error != HttpCallError::None)
                result = ended(AttemptEnd::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
            else if (head.isSurelyNotRun)
                result = ended(AttemptEnd::NotRun, head.isMisdirected ? "misdirected" : "replica_refused", false);
            else if (head.isWholeKind)
                result = ended(AttemptEnd::Whole, "whole", false);
            else if (response.status >= 400 && response.status != 429 && response.status != 503
                && response.status != 408)
                result = ended(AttemptEnd::RanFailed, "replica_failed", response.status >= 500);
            else
                // A status that would promise "not run" without the replica's word for it, or an unsigned success.
                result = ended(AttemptEnd::Unknown, "not_to_be_passed_on", true);
            result.response = std::move(response);
        }
        result.wasMisdirected = head.isMisdirected;
        result.load = head.load;
        result.firstByte = firstByte;
        mayKeep = (result.end != AttemptEnd::Unknown) && !head.closesChannel;
        return result;
    }

} // namespace

base::Millis sessionTimeLeft(const Session& session, base::BootTime now)
{
    return std::chrono::duration_cast<base::Millis>(session.deadline - now);
}

AttemptResult attemptRun(Session& session, const ReplicaEntry& replica, const Dialect& dialect, Channels& channels)
{
    auto connection = channels.take(replica.address, session.progress.repeat);
    bool wasReused = connection->isConnected();
    session.connection = connection.get();
    AttemptResult result;
    std::optional<base::Seconds> idleLimit;
    bool mayKeep = false;
    base::Millis left = sessionTimeLeft(session, BootClock::now());
    if (!wasReused && connection->connect(base::Clock::now() + std::min(connectTime, left)) != HttpCallError::None) {
        session.connection = nullptr;
        return ended(AttemptEnd::NotRun, "connect_failed", !session.isGone);
    }
    // Connecting may have taken long, or the machine may have been suspended.
    left = sessionTimeLeft(session, BootClock::now());
    if (session.isGone || left <= base::Millis(0)) {
        session.connection = nullptr;
        return ended(AttemptEnd::NotRun, session.isGone ? "caller_gone" : "time_over", false);
    }
    AttemptTarget target { replica.id, session.account, left, session.urgency, session.events.lastId };
    base::TimePoint sentAt = base::Clock::now();
    HttpCallError error
        = connection->send(dialect.writeAttempt(session.exchange.request(), target), steadyDeadline(session));
    if (error != HttpCallError::None)
        result = ended(AttemptEnd::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
    else
        result = readAnswer(session, dialect, idleLimit, mayKeep, sentAt);
    session.connection = nullptr;
    result.wasReused = wasReused;
    eventsDropPartial(session.events);
    if (mayKeep)
        channels.giveBack(std::move(connection), idleLimit);
    return result;
}

} // namespace rattanshunt::gateway

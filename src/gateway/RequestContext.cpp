#include "gateway/RequestContext.h"

#include "base/Counters.h"

namespace rattanshunt::gateway {

using base::BootClock;
using net::HttpCallError;

namespace {

    constexpr base::Millis responseMargin { 60 };   // after the deadline, for a replica's own timeout response
    constexpr size_t maxForeignResponses = 2;       // late responses to other requests that are skipped
    constexpr size_t maxForeignBytes = 1024 * 1024; // of the bodies of such responses
    constexpr size_t maxEventBytes = 128 * 1024;    // of one server-sent event

    // For the memory of a response that is read, while callers hold others that they do not take.
    constexpr base::Millis maxResponseMemoryWait { 2000 };

    AttemptResult makeResult(AttemptOutcome outcome, const char* reason, bool isReplicaFault)
    {
        AttemptResult result;
        result.outcome = outcome;
        result.reason = reason;
        result.isReplicaFault = isReplicaFault;
        return result;
    }

    AttemptResult makeCallResult(HttpCallError error)
    {
        AttemptResult result
            = makeResult(AttemptOutcome::Unknown, net::httpCallErrorName(error), error != HttpCallError::Cancelled);
        result.hasConnectionEnded = error == HttpCallError::Closed || error == HttpCallError::SendFailed;
        return result;
    }

    // Whether the response states its length or is chunked. The end of any other one is that of its connection.
    bool isDelimited(const net::HttpResponse& response)
    {
        return net::httpHeaderCount(response.headers, "Content-Length")
            || net::httpHeaderCount(response.headers, "Transfer-Encoding");
    }

    // Calls onSettled if events have arrived for long enough.
    void countEvents(RequestContext& request, base::BootTime now)
    {
        if (request.attemptFirstEventAt == base::BootTime {})
            request.attemptFirstEventAt = now;
        if (now - request.attemptFirstEventAt >= prompts::settleTime && request.onSettled)
            std::exchange(request.onSettled, nullptr)();
    }

    void recordHeard(RequestContext& request)
    {
        request.attemptHeardAt = BootClock::now();
        if (request.onHeard)
            request.onHeard();
    }

    base::TimePoint steadyDeadline(const RequestContext& request)
    {
        return base::Clock::now() + requestTimeLeft(request, BootClock::now()) + responseMargin;
    }

    // Reads the head of the response to this request. Skips late responses to other requests on the same connection,
    // and sets `hasSkipped` then.
    HttpCallError readOwnHead(RequestContext& request, const WireCodec& codec, net::HttpResponse& response,
        ResponseHead& head, bool& hasSkipped)
    {
        size_t discardedBytes = 0;
        for (size_t i = 0; i <= maxForeignResponses; ++i) {
            HttpCallError error = request.connection->readHead(response, steadyDeadline(request));
            if (error != HttpCallError::None)
                return error;
            recordHeard(request);
            head = codec.readResponseHead(response, request.head.id);
            if (!head.isForOtherRequest) {
                // A misdirected request was answered by another replica at the address.
                if (request.onStatement && !head.isMisdirected)
                    request.onStatement(head.statement);
                return HttpCallError::None;
            }
            base::counterAdd("replica_foreign_answers_total");
            hasSkipped = true;
            bool isEnd = false;
            std::string discarded;
            while (!isEnd && error == HttpCallError::None) {
                discarded.clear();
                error = request.connection->readSome(discarded, isEnd, steadyDeadline(request));
                discardedBytes += discarded.size();
                if (discardedBytes > maxForeignBytes)
                    return HttpCallError::Malformed;
            }
            if (error != HttpCallError::None)
                return error;
        }
        return HttpCallError::Malformed;
    }

    HttpCallError readBody(RequestContext& request, std::string& body, ResponseMemoryShare& memory)
    {
        bool isEnd = false;
        std::string piece;
        while (!isEnd) {
            piece.clear();
            HttpCallError error = request.connection->readSome(piece, isEnd, steadyDeadline(request));
            if (error != HttpCallError::None)
                return error;
            recordHeard(request);
            request.attemptBodyBytes += piece.size();
            base::TimePoint waitsUntil = std::min(base::Clock::now() + maxResponseMemoryWait, steadyDeadline(request));
            bool isAppended = memory.append(body, piece);
            while (!isAppended && base::Clock::now() < waitsUntil
                && memory.mayWait(body.size() + piece.size(), base::Clock::now())) {
                net::sleepFor(net::memoryPollInterval);
                isAppended = memory.append(body, piece);
            }
            if (!isAppended) {
                base::counterAdd("replica_answers_too_large_total");
                return HttpCallError::Malformed;
            }
        }
        return HttpCallError::None;
    }

    // Forwards the events of a stream as they arrive. The head is sent with the first event, so that the request can
    // still be retried or refused if the replica fails before that.
    AttemptResult forwardStream(RequestContext& request, const WireCodec& codec, const net::HttpResponse& head)
    {
        bool isEnd = false;
        std::string bytes;
        while (!isEnd) {
            bytes.clear();
            HttpCallError error = request.connection->readSome(bytes, isEnd, steadyDeadline(request));
            if (error != HttpCallError::None)
                return makeCallResult(error);
            recordHeard(request);
            if (request.onFirstByte)
                std::exchange(request.onFirstByte, nullptr)();
            request.attemptBodyBytes += bytes.size();
            std::string complete = eventsSplit(request.eventSplitter, bytes);
            if (request.eventSplitter.partial.size() > maxEventBytes) {
                base::counterAdd("replica_answers_too_large_total");
                return makeResult(AttemptOutcome::Unknown, "event_too_large", true);
            }
            if (complete.empty())
                continue;
            if (request.onFirstEvent)
                std::exchange(request.onFirstEvent, nullptr)();
            if (!request.progress.hasSentHead) {
                request.progress.hasSentHead = true;
                if (!request.exchange.startStream(head.status, codec.forwardedHeaders(head)))
                    return makeResult(AttemptOutcome::Unknown, "caller_gone", false);
            }
            base::BootTime now = BootClock::now();
            countEvents(request, now);
            if (request.firstEventAt == base::BootTime {})
                request.firstEventAt = now;
            else
                request.longestEventGap = std::max<base::Duration>(request.longestEventGap, now - request.lastEventAt);
            request.lastEventAt = now;
            if (!request.exchange.sendChunk(complete))
                return makeResult(AttemptOutcome::Unknown, "caller_gone", false);
        }
        if (!request.eventSplitter.partial.empty())
            return makeResult(AttemptOutcome::Unknown, "half_event", true);
        // The head is also sent for a stream without events, e.g. if the caller resumes after the last one.
        if (!request.progress.hasSentHead) {
            request.progress.hasSentHead = true;
            if (!request.exchange.startStream(head.status, codec.forwardedHeaders(head)))
                return makeResult(AttemptOutcome::Unknown, "caller_gone", false);
        }
        return makeResult(AttemptOutcome::Complete, "whole", false);
    }

    // What the attempt needs to know of its connection, and what it learns for the next one.
    struct ConnectionUse {
        bool wasReused = false;
        base::TimePoint sentAt {};
        std::optional<base::Seconds> idleTimeout; // after which the replica closes the connection
        bool wasIdentified = false;               // the response carried the request's id
        bool mayReuse = false;
    };

    AttemptResult readResponse(
        RequestContext& request, const WireCodec& codec, ResponseMemory& memory, ConnectionUse& use)
    {
        net::HttpResponse response;
        ResponseHead head;
        bool hasSkipped = false;
        HttpCallError error = readOwnHead(request, codec, response, head, hasSkipped);
        if (error != HttpCallError::None)
            return makeCallResult(error);
        base::Duration timeToFirstByte = base::Clock::now() - use.sentAt;
        use.idleTimeout = head.idleTimeout;
        if (head.load && request.onLoad)
            request.onLoad(*head.load);
        // A response without a limit counts only if it surely is this replica's.
        if (request.onLimit && !head.isMisdirected && (head.limit.isNamed || head.isIdentified))
            request.onLimit(head.limit);
        use.wasIdentified = head.isIdentified;
        if (head.isNotExecuted)
            base::counterAddLabelled("replica_refusals_total", "id", head.isIdentified ? "own" : "none");
        bool isEndedByClose = !isDelimited(response);
        AttemptResult result;
        if ((use.wasReused || hasSkipped) && !head.isIdentified) {
            // It may be a late copy, or bytes that belong to no request. Even a refusal is no evidence about this one.
            base::counterAdd("replica_answers_without_id_total");
            return makeResult(AttemptOutcome::Unknown, "answer_without_id", true);
        }
        if (head.isForwardableSuccess && request.route->isStream) {
            result = forwardStream(request, codec, response);
            result.response.status = response.status;
        } else {
            ResponseMemoryShare share(memory);
            error = readBody(request, response.body, share);
            if (error != HttpCallError::None)
                result = makeCallResult(error);
            else if (head.isNotExecuted)
                result = makeResult(
                    AttemptOutcome::NotExecuted, head.isMisdirected ? "misdirected" : "replica_refused", false);
            else if (head.isForwardableSuccess)
                result = makeResult(AttemptOutcome::Complete, "whole", false);
            else if (response.status >= 400 && response.status != 429 && response.status != 503
                && response.status != 408)
                result = makeResult(AttemptOutcome::ExecutedFailed, "replica_failed", response.status >= 500);
            else
                // A status that means "not executed" without the replica's confirmation, or an unsigned success.
                result = makeResult(AttemptOutcome::Unknown, "not_to_be_passed_on", true);
            result.response = std::move(response);
            result.memory = std::move(share); // until the response has been written to the caller
        }
        bool isRead = result.outcome == AttemptOutcome::Complete || std::string_view(result.reason) == "half_event";
        result.hasConnectionEnded = result.hasConnectionEnded || (isRead && isEndedByClose);
        if (result.outcome == AttemptOutcome::Complete && !result.hasConnectionEnded && request.onSettled)
            std::exchange(request.onSettled, nullptr)();
        if (result.outcome == AttemptOutcome::Complete && isEndedByClose && request.confirmEnd && !request.confirmEnd())
            result = makeResult(AttemptOutcome::Unknown, "end_not_confirmed", false);
        result.wasMisdirected = head.isMisdirected;
        result.timeToFirstByte = timeToFirstByte;
        // A copy of a response without an id could not be told from the next response on this connection.
        use.mayReuse = (result.outcome != AttemptOutcome::Unknown) && !head.closesConnection && head.isIdentified;
        return result;
    }

} // namespace

std::optional<std::set<std::string>> homesOf(const RequestContext& request)
{
    std::optional<std::set<std::string>> homes;
    auto restrictTo = [&](const std::vector<std::string>& allowed) {
        if (allowed.empty())
            return;
        std::set<std::string> names(allowed.begin(), allowed.end());
        if (homes)
            std::erase_if(*homes, [&](const std::string& geo) { return !names.contains(geo); });
        else
            homes = std::move(names);
    };
    restrictTo(request.route->homes);
    auto account = request.configuration->accounts.find(request.accountName);
    if (account != request.configuration->accounts.end())
        restrictTo(account->second.homes);
    return homes;
}

bool attemptIsObsolete(const AttemptResult& result)
{
    std::string_view reason = result.reason;
    return !result.wasSent
        && (reason == replicaLeftReason || reason == directoryTooOldReason || reason == replicaQuietReason
            || reason == replicaEvacuatedReason || reason == replicaColdReason);
}

base::Millis requestTimeLeft(const RequestContext& request, base::BootTime now)
{
    return std::chrono::duration_cast<base::Millis>(request.deadline - now);
}

AttemptResult attemptRun(RequestContext& request, const ReplicaEntry& replica, const WireCodec& codec,
    net::ConnectionPool& pool, ResponseMemory& memory)
{
    net::PooledConnection pooled = pool.acquire(replica.address,
        { request.mayReuseConnections ? request.head.id : "", request.progress.retryClass == RetryClass::AtMostOnce });
    net::HttpConnection* connection = pooled.connection.get();
    ConnectionUse use;
    use.wasReused = connection->isConnected();
    request.connection = connection;
    request.attemptBodyBytes = 0;
    request.attemptSentAt = {};
    request.attemptHeardAt = {};
    AttemptResult result;
    base::Millis timeLeft = requestTimeLeft(request, BootClock::now());
    if (!use.wasReused) {
        base::TimePoint deadline = base::Clock::now() + std::min(connectTimeout, timeLeft);
        const char* failure = nullptr;
        if (request.openConnection)
            failure = request.openConnection(pooled.connection, deadline);
        else if (connection->connect(deadline) != HttpCallError::None)
            failure = connectFailedReason;
        if (failure) {
            request.connection = nullptr;
            bool isReplicaFault = !request.hasCallerLeft && std::string_view(failure) == connectFailedReason;
            return makeResult(AttemptOutcome::NotExecuted, failure, isReplicaFault);
        }
        connection = pooled.connection.get();
        request.connection = connection;
    }
    // Connecting may have taken long, or the machine may have been suspended meanwhile.
    timeLeft = requestTimeLeft(request, BootClock::now());
    if (request.hasCallerLeft || timeLeft <= base::Millis(0)) {
        request.connection = nullptr;
        return makeResult(AttemptOutcome::NotExecuted, request.hasCallerLeft ? "caller_gone" : "time_over", false);
    }
    if (const char* obstacle = request.findSendObstacle ? request.findSendObstacle() : nullptr) {
        request.connection = nullptr;
        return makeResult(AttemptOutcome::NotExecuted, obstacle, false);
    }
    AttemptTarget target { replica.id, request.accountName, timeLeft, request.priority, request.eventSplitter.lastId };
    use.sentAt = base::Clock::now();
    request.attemptSentAt = BootClock::now();
    HttpCallError error = connection->send(codec.writeAttempt(request.exchange.request(), target),
        request.exchange.request().body, steadyDeadline(request));
    if (error != HttpCallError::None)
        result = makeCallResult(error);
    else
        result = readResponse(request, codec, memory, use);
    request.connection = nullptr;
    result.wasSent = true;
    result.wasConnectionReused = use.wasReused;
    result.wasIdentified = use.wasIdentified;
    eventsDropPartial(request.eventSplitter);
    if (use.mayReuse && !request.relay)
        pool.release(std::move(pooled), request.head.id, use.idleTimeout);
    return result;
}

} // namespace rattanshunt::gateway

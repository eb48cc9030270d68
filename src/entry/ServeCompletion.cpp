// Serves completions on model engines. A failed attempt is resumed on another replica after the tokens already
// delivered.
#include "base/Counters.h"
#include "base/Json.h"
#include "base/Log.h"
#include "endpoints/EngineStream.h"
#include "entry/AttemptLoop.h"
#include "entry/OwnResponse.h"

namespace rattanshunt::entry {

using nlohmann::json;

using attempts::AttemptOutcome;

namespace {

    constexpr size_t maxUnstreamedTokens = 16; // up to this length, responses are requested without a stream
    constexpr int maxCompletionAttempts = 4;
    constexpr base::Millis notExecutedDelay { 20 };  // before a retry after an attempt that was not executed
    constexpr size_t maxEventBytes = 128 * 1024;     // of one event of a stream
    constexpr base::Millis streamEndTimeout { 200 }; // from the end mark of a stream to the end of its body
    constexpr size_t maxBytesAfterStream = 4096;     // after the end mark of a stream

    // The state of one completion across its attempts.
    struct EngineCall {
        CompletionRequest completion;
        resources::PriorityClass priority = resources::PriorityClass::Normal;
        double promptTokens = 0;
        size_t deliveredTokens = 0; // tokens forwarded to the caller or buffered
        std::string bufferedText;   // response text so far, for a caller that did not ask for a stream
        std::set<std::string> excludedEndpoints;
        bool usesStream = false; // of the request to the engine; the caller may want a single response
        int brokenAttempts = 0;  // attempts whose response was lost or truncated
    };

    net::HttpRequest engineRequest(const RequestState& request, const EngineCall& call)
    {
        net::HttpRequest message { "POST", "/v1/completions", {}, "" };
        message.headers = { { "Content-Type", "application/json" }, { headerRequestId, request.id } };
        message.body
            = endpoints::engineRequestBody(call.completion.body, call.usesStream, call.priority, call.deliveredTokens);
        return message;
    }

    void recordLoad(const resources::EndpointInfo& endpoint, const std::vector<net::HttpHeader>& headers)
    {
        auto load = endpoints::engineLoadParse(headers);
        if (!load)
            return;
        endpoint.load->reportedInFlight.store(load->running + load->waiting, std::memory_order_relaxed);
        endpoint.load->ownInFlightAtReport.store(
            endpoint.load->ownInFlight.load(std::memory_order_relaxed), std::memory_order_relaxed);
        endpoint.load->reportedAt.store(
            std::chrono::duration_cast<base::Micros>(base::Clock::now().time_since_epoch()).count(),
            std::memory_order_relaxed);
        if (load->batchSlots > 0)
            endpoint.load->batchSlots.store(load->batchSlots, std::memory_order_relaxed);
    }

    // The outcome of an attempt that the engine answered with a status other than 200.
    AttemptOutcome outcomeOfStatus(int status)
    {
        // With these statuses the engine did not start the request; 404: the model is no longer loaded there.
        if (status == 404 || status == 429 || status == 503)
            return AttemptOutcome::NotExecuted;
        return status / 100 == 4 ? AttemptOutcome::ExecutedFailed : AttemptOutcome::Unknown;
    }

    AttemptOutcome markCallerGone(RequestState& request)
    {
        request.isCallerGone = true;
        return AttemptOutcome::Unknown;
    }

    AttemptOutcome endTooLarge(net::HttpConnection& connection)
    {
        base::counterAdd("engine_answers_too_large_total");
        connection.cancel();
        return AttemptOutcome::Unknown;
    }

    AttemptOutcome forwardResponse(ThreadState& thread, RequestState& request, net::HttpConnection& connection)
    {
        std::string body;
        bool isEnd = false;
        base::TimePoint deadline
            = std::min(request.deadline, base::Clock::now() + thread.context.settings.firstTokenTimeout);
        gateway::ResponseMemoryShare memory(thread.responseMemory);
        while (!isEnd) {
            std::string piece;
            if (connection.readSome(piece, isEnd, deadline) != net::HttpCallError::None)
                return AttemptOutcome::Unknown;
            if (!memory.append(body, piece))
                return endTooLarge(connection);
        }
        json engineResponse = base::jsonTryParse(body);
        if (!endpoints::engineResponseMatches(engineResponse, request.id)) {
            base::counterAdd("engine_answers_foreign_total");
            connection.cancel();
            return AttemptOutcome::Unknown;
        }
        double used = endpoints::engineUsageTokens(engineResponse);
        request.usedTokens = used > 0 ? used : request.reservedTokens;
        request.firstByteAt = base::Clock::now();
        bool isDelivered = request.exchange.respond({ 200,
            { { "Content-Type", "application/json" }, { headerRequestId, request.id }, { headerOutcome, "complete" } },
            std::move(body) });
        return isDelivered ? AttemptOutcome::Complete : markCallerGone(request);
    }

    bool startCallerStream(RequestState& request)
    {
        if (request.hasStreamStarted)
            return true;
        request.hasStreamStarted = true;
        request.firstByteAt = base::Clock::now();
        return request.exchange.startStream(200,
            { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" },
                { headerRequestId, request.id } });
    }

    // Forwards events to the caller, or buffers their text for a single response. False if the caller has disconnected.
    bool forwardEvents(RequestState& request, EngineCall& call, const std::string& events)
    {
        if (events.empty())
            return true;
        if (call.completion.isStream)
            return startCallerStream(request) && request.exchange.sendChunk(events);
        if (request.firstByteAt == base::TimePoint {})
            request.firstByteAt = base::Clock::now();
        call.bufferedText += endpoints::engineEventsText(events);
        return true;
    }

    bool finishResponse(RequestState& request, const EngineCall& call)
    {
        if (call.completion.isStream)
            return startCallerStream(request) && request.exchange.finishStream();
        json body = { { "id", request.id }, { "object", "text_completion" }, { "model", call.completion.model },
            { "choices",
                json::array({ { { "index", 0 }, { "text", call.bufferedText }, { "finish_reason", "stop" } } }) },
            { "usage", { { "prompt_tokens", call.promptTokens }, { "completion_tokens", call.deliveredTokens } } } };
        return request.exchange.respond({ 200,
            { { "Content-Type", "application/json" }, { headerRequestId, request.id }, { headerOutcome, "complete" } },
            body.dump(-1, ' ', false, json::error_handler_t::replace) });
    }

    // Reads what follows the end mark of a stream, so that the connection can be reused; closes it if that is long.
    void readStreamEnd(net::HttpConnection& connection)
    {
        base::TimePoint deadline = base::Clock::now() + streamEndTimeout;
        std::string rest;
        bool isEnd = false;
        while (!isEnd && rest.size() <= maxBytesAfterStream) {
            if (connection.readSome(rest, isEnd, deadline) != net::HttpCallError::None)
                return;
        }
        if (!isEnd)
            connection.cancel();
    }

    AttemptOutcome forwardStream(
        ThreadState& thread, RequestState& request, EngineCall& call, net::HttpConnection& connection)
    {
        endpoints::EngineStream stream;
        stream.requestId = request.id;
        bool isEnd = false;
        size_t deliveredBefore = call.deliveredTokens;
        // Bytes that complete no event do not extend the time: a stalled engine may send some now and then.
        base::TimePoint eventDeadline = base::Clock::now() + thread.context.settings.firstTokenTimeout;
        while (!isEnd && !stream.isDone) {
            std::string bytes;
            if (connection.readSome(bytes, isEnd, std::min(request.deadline, eventDeadline))
                != net::HttpCallError::None)
                return AttemptOutcome::Unknown;
            std::string events = endpoints::engineStreamFeed(stream, bytes);
            if (stream.partialEvent.size() > maxEventBytes)
                return endTooLarge(connection);
            if (!events.empty())
                eventDeadline = base::Clock::now() + thread.context.settings.streamTimeout;
            if (stream.hasForeignEvent) {
                base::counterAdd("engine_answers_foreign_total");
                connection.cancel();
                return AttemptOutcome::Unknown;
            }
            call.deliveredTokens = deliveredBefore + stream.outputTokens;
            request.usedTokens = call.promptTokens + static_cast<double>(call.deliveredTokens);
            if (!forwardEvents(request, call, events))
                return markCallerGone(request);
        }
        if (!stream.isDone)
            return AttemptOutcome::Unknown;
        if (stream.usageTokens > 0)
            request.usedTokens = stream.usageTokens + static_cast<double>(deliveredBefore);
        bool isDelivered = finishResponse(request, call);
        if (!isEnd)
            readStreamEnd(connection);
        return isDelivered ? AttemptOutcome::Complete : markCallerGone(request);
    }

    AttemptOutcome sendAttempt(ThreadState& thread, RequestState& request, EngineCall& call,
        net::HttpConnection& connection, const resources::EndpointInfo& endpoint)
    {
        const settings::Settings& settings = thread.context.settings;
        base::TimePoint now = base::Clock::now();
        bool wasReused = connection.isConnected();
        if (!wasReused
            && connection.connect(std::min(request.deadline, now + settings.connectTimeout))
                != net::HttpCallError::None) {
            thread.replicaScheduler.recordFailure(endpoint);
            return AttemptOutcome::NotExecuted;
        }
        base::TimePoint deadline = std::min(request.deadline, now + settings.firstTokenTimeout);
        if (connection.send(engineRequest(request, call), deadline) != net::HttpCallError::None)
            return AttemptOutcome::Unknown;
        net::HttpResponse head;
        if (readOwnHead(connection, wasReused, request.id, head, deadline, "engine_answers_foreign_total")
            != net::HttpCallError::None)
            return AttemptOutcome::Unknown;
        // A reused connection may hold the late copy of an earlier response. The events and the body of a completion
        // carry the id too, an error may have no body.
        if (wasReused && head.status != 200 && net::httpHeader(head.headers, headerRequestId).empty()) {
            base::counterAdd("engine_answers_foreign_total");
            connection.cancel();
            return AttemptOutcome::Unknown;
        }
        recordLoad(endpoint, head.headers);
        if (head.status != 200) {
            bool isEnd = false;
            size_t bodyBytes = 0;
            std::string piece;
            while (!isEnd && connection.readSome(piece, isEnd, deadline) == net::HttpCallError::None) {
                bodyBytes += piece.size();
                piece.clear();
                if (bodyBytes > maxResponseBytes)
                    return endTooLarge(connection);
            }
            return outcomeOfStatus(head.status);
        }
        return call.usesStream ? forwardStream(thread, request, call, connection)
                               : forwardResponse(thread, request, connection);
    }

    ReplicaRequest replicaRequestFor(const RequestState& request, const EngineCall& call, double weight)
    {
        ReplicaRequest replicaRequest;
        replicaRequest.model = call.completion.model;
        replicaRequest.account = request.account;
        replicaRequest.weight = weight;
        replicaRequest.priority = call.priority;
        replicaRequest.tokens = std::max(request.reservedTokens - request.usedTokens, 1.0);
        replicaRequest.promptPrefixHash = routing::prefixHash(call.completion.prompt, {});
        replicaRequest.arrivedAt = request.arrivedAt;
        replicaRequest.deadline = request.startDeadline;
        replicaRequest.excludedEndpoints = call.excludedEndpoints;
        replicaRequest.isCancelled = &request.isCallerGone;
        return replicaRequest;
    }

    // Chooses a replica and makes one attempt.
    Attempt makeAttempt(ThreadState& thread, RequestState& request, EngineCall& call, double weight)
    {
        ReplicaGrant grant = thread.replicaScheduler.acquire(replicaRequestFor(request, call, weight));
        request.wasColdStart |= grant.wasColdStart;
        request.coldStartWait += grant.coldStartWait;
        if (grant.reason != Reason::None)
            return { .reason = grant.reason };
        Reason reason = checkBeforeSend(thread, request);
        if (reason != Reason::None) {
            thread.replicaScheduler.release(call.completion.model, grant.endpoint, 0);
            return { .reason = reason };
        }
        net::PooledConnection pooled = thread.connectionPool.acquire(grant.endpoint.address, { request.id });
        net::HttpConnection& connection = *pooled.connection;
        request.connectionToCancel = &connection;
        double usedBefore = request.usedTokens;
        base::TimePoint sentAt = base::Clock::now();
        AttemptOutcome result;
        {
            ActiveConnectionGuard guard(thread, &connection);
            result = sendAttempt(thread, request, call, connection, grant.endpoint);
        }
        request.connectionToCancel = nullptr;
        if (result == AttemptOutcome::Complete)
            serviceTimeRecord(thread.serviceTimes, request.subject, request.usedTokens - call.promptTokens,
                base::Clock::now() - sentAt);
        thread.connectionPool.release(std::move(pooled), request.id);
        thread.replicaScheduler.release(call.completion.model, grant.endpoint, request.usedTokens - usedBefore);
        if (result != AttemptOutcome::Complete && !request.isCallerGone)
            call.excludedEndpoints.insert(grant.endpoint.id);
        if (result == AttemptOutcome::NotExecuted) {
            // This may be the only replica, so it is tried again after a delay.
            call.excludedEndpoints.clear();
            net::sleepFor(notExecutedDelay);
        }
        if (result == AttemptOutcome::Unknown) {
            base::counterAdd("engine_streams_broken_total");
            call.usesStream = true;
            // If there is only one replica, the last attempt must use the same endpoint again.
            if (++call.brokenAttempts + 1 >= maxCompletionAttempts)
                call.excludedEndpoints.clear();
        }
        return { result, true };
    }

} // namespace

RequestResult serveCompletion(ThreadState& thread, RequestState& request)
{
    CompletionParseResult parsed = completionRequestTryParse(request.exchange.request().body, thread.requestLimits);
    if (!parsed.completion)
        return { Reason::MalformedRequest, parsed.error.field + ": " + parsed.error.message };
    EngineCall call;
    call.completion = std::move(*parsed.completion);
    request.subject = call.completion.model;
    auto catalog = thread.context.catalog();
    auto adapter = catalog->adapters.find(call.completion.model);
    auto model
        = catalog->models.find(adapter == catalog->adapters.end() ? call.completion.model : adapter->second.model);
    if (model == catalog->models.end())
        return { Reason::UnknownModel, call.completion.model };
    call.priority = call.completion.priority.value_or(model->second.defaultPriority);
    call.promptTokens = promptTokensEstimate(call.completion.prompt, model->second.bytesPerToken);
    call.completion.body["max_tokens"] = call.completion.maxTokens;
    call.usesStream = call.completion.isStream || call.completion.maxTokens > maxUnstreamedTokens;
    auto account = catalog->accounts.find(request.account);
    double weight = account == catalog->accounts.end() ? 1 : account->second.weight;
    double tokens = call.promptTokens + static_cast<double>(call.completion.maxTokens);
    request.startDeadline = latestStartTime(thread.serviceTimes, request.subject,
        static_cast<double>(call.completion.maxTokens), request.arrivedAt, request.deadline);
    RequestResult reserved = reserveTokens(thread, request, tokens, call.priority);
    if (reserved.reason != Reason::None)
        return reserved;
    attempts::RequestProgress progress;
    progress.retryClass = attempts::RetryClass::Resumable;
    progress.maxAttempts = maxCompletionAttempts;
    AttemptsResult attemptsResult
        = attemptsRun(thread, request, progress, [&] { return makeAttempt(thread, request, call, weight); });
    switch (attemptsResult.step) {
    case attempts::NextStep::Deliver:
        return { Reason::None, "", base::Millis(0), true };
    case attempts::NextStep::ForwardFailure:
        if (progress.attemptsPossiblyExecuted == 1)
            return { Reason::MalformedRequest, "the engine rejected the request" };
        return { Reason::EndpointLost, "the engine rejected the request to resume the response" };
    default:
        return attemptsResult.requestResult;
    }
}

} // namespace rattanshunt::entry

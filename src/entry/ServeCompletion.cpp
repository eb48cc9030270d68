// Serves completions: one or several attempts on engines, with resumption after the tokens already delivered.
#include "base/Counters.h"
#include "base/Log.h"
#include "endpoints/EngineStream.h"
#include "entry/RequestState.h"

namespace rattanshunt::entry {

using nlohmann::json;

namespace {

    constexpr size_t shortAnswerTokens = 16; // shorter answers are fetched whole, without a stream
    constexpr int attemptLimit = 4;
    constexpr base::Millis notRunPause { 20 }; // before another try after an engine said "not run"

    // The state of one completion across its attempts.
    struct Attempts {
        Completion completion;
        resources::ValueClass value = resources::ValueClass::Normal;
        double promptTokens = 0;
        size_t delivered = 0; // tokens passed on, or kept for the one answer
        std::string text;     // of a caller that wants one answer
        std::set<std::string> avoided;
        bool usesStream = false; // towards the engine
    };

    enum class AttemptResult {
        Whole,
        NotRun, // nothing of it was run by this endpoint
        Broken, // the endpoint may have run it
        CallerGone,
        Rejected, // the engine refused it as malformed
    };

    net::HttpRequest engineRequest(const RequestState& request, const Attempts& attempts)
    {
        net::HttpRequest message { "POST", "/v1/completions", {}, "" };
        message.headers = { { "Content-Type", "application/json" }, { headerRequestId, request.id } };
        message.body
            = endpoints::engineBody(attempts.completion.body, attempts.usesStream, attempts.value, attempts.delivered);
        return message;
    }

    void noteLoad(const resources::EndpointInfo& endpoint, const std::vector<net::HttpHeader>& headers)
    {
        auto load = endpoints::engineLoadRead(headers);
        if (!load)
            return;
        endpoint.load->reported.store(load->running + load->waiting, std::memory_order_relaxed);
        endpoint.load->ownAtReport.store(
            endpoint.load->ownInFlight.load(std::memory_order_relaxed), std::memory_order_relaxed);
        endpoint.load->reportedAt.store(
            std::chrono::duration_cast<base::Micros>(base::Clock::now().time_since_epoch()).count(),
            std::memory_order_relaxed);
        if (load->slots > 0)
            endpoint.load->slots.store(load->slots, std::memory_order_relaxed);
    }

    // An engine's status other than 200, as a result.
    AttemptResult engineRefusal(int status)
    {
        // These say that the request was not started; 404: the model is not loaded there any more.
        if (status == 404 || status == 429 || status == 503)
            return AttemptResult::NotRun;
        return status / 100 == 4 ? AttemptResult::Rejected : AttemptResult::Broken;
    }

    AttemptResult failure(const RequestState& request)
    {
        return request.isCallerGone ? AttemptResult::CallerGone : AttemptResult::Broken;
    }

    AttemptResult passWhole(ThreadState& thread, RequestState& request, net::HttpConnection& connection)
    {
        std::string body;
        bool isEnd = false;
        base::TimePoint deadline
            = std::min(request.deadline, base::Clock::now() + thread.backbone.settings.firstTokenTimeout);
        while (!isEnd) {
            if (connection.readSome(body, isEnd, deadline) != net::HttpCallError::None)
                return failure(request);
        }
        json answer = json::parse(body, nullptr, false);
        if (!endpoints::engineAnswerMatches(answer, request.id)) {
            base::counterAdd("engine_answers_foreign_total");
            connection.cancel();
            return AttemptResult::Broken;
        }
        double used = endpoints::engineUsage(answer);
        request.used = used > 0 ? used : request.reserved;
        request.firstByteAt = base::Clock::now();
        bool isDelivered = request.exchange.respond({ 200,
            { { "Content-Type", "application/json" }, { headerRequestId, request.id }, { headerOutcome, "complete" } },
            std::move(body) });
        return isDelivered ? AttemptResult::Whole : AttemptResult::CallerGone;
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

    // Passes events on, or keeps their text for one answer. False if the caller has gone.
    bool passEvents(RequestState& request, Attempts& attempts, const std::string& events)
    {
        if (events.empty())
            return true;
        if (attempts.completion.isStream)
            return startCallerStream(request) && request.exchange.sendChunk(events);
        if (request.firstByteAt == base::TimePoint {})
            request.firstByteAt = base::Clock::now();
        attempts.text += endpoints::engineStreamText(events);
        return true;
    }

    bool finishAnswer(RequestState& request, const Attempts& attempts)
    {
        if (attempts.completion.isStream)
            return startCallerStream(request) && request.exchange.finishStream();
        json body = { { "id", request.id }, { "object", "text_completion" }, { "model", attempts.completion.model },
            { "choices", json::array({ { { "index", 0 }, { "text", attempts.text }, { "finish_reason", "stop" } } }) },
            { "usage", { { "prompt_tokens", attempts.promptTokens }, { "completion_tokens", attempts.delivered } } } };
        return request.exchange.respond({ 200,
            { { "Content-Type", "application/json" }, { headerRequestId, request.id }, { headerOutcome, "complete" } },
            body.dump(-1, ' ', false, json::error_handler_t::replace) });
    }

    AttemptResult passStream(
        ThreadState& thread, RequestState& request, Attempts& attempts, net::HttpConnection& connection)
    {
        endpoints::EngineStream stream;
        stream.requestId = request.id;
        bool isEnd = false;
        size_t before = attempts.delivered;
        base::Millis silence = thread.backbone.settings.firstTokenTimeout;
        while (!isEnd && !stream.isDone) {
            std::string bytes;
            base::TimePoint deadline = std::min(request.deadline, base::Clock::now() + silence);
            if (connection.readSome(bytes, isEnd, deadline) != net::HttpCallError::None)
                return failure(request);
            silence = thread.backbone.settings.streamTimeout;
            std::string events = endpoints::engineStreamTake(stream, bytes);
            if (stream.isForeign) {
                base::counterAdd("engine_answers_foreign_total");
                connection.cancel();
                return AttemptResult::Broken;
            }
            attempts.delivered = before + stream.tokens;
            request.used = attempts.promptTokens + static_cast<double>(attempts.delivered);
            if (!passEvents(request, attempts, events))
                return AttemptResult::CallerGone;
        }
        if (!stream.isDone)
            return AttemptResult::Broken;
        // The end of the body makes the connection reusable.
        while (!isEnd) {
            std::string rest;
            if (connection.readSome(rest, isEnd, base::Clock::now() + silence) != net::HttpCallError::None)
                break;
        }
        if (stream.usedTokens > 0)
            request.used = stream.usedTokens + static_cast<double>(before);
        return finishAnswer(request, attempts) ? AttemptResult::Whole : AttemptResult::CallerGone;
    }

    AttemptResult attemptOn(ThreadState& thread, RequestState& request, Attempts& attempts,
        net::HttpConnection& connection, const resources::EndpointInfo& endpoint)
    {
        const settings::Settings& settings = thread.backbone.settings;
        base::TimePoint now = base::Clock::now();
        if (!connection.isConnected()
            && connection.connect(std::min(request.deadline, now + settings.connectTimeout))
                != net::HttpCallError::None) {
            thread.replicas.noteFailure(endpoint);
            return request.isCallerGone ? AttemptResult::CallerGone : AttemptResult::NotRun;
        }
        base::TimePoint deadline = std::min(request.deadline, now + settings.firstTokenTimeout);
        if (connection.send(engineRequest(request, attempts), deadline) != net::HttpCallError::None)
            return failure(request);
        net::HttpResponse head;
        if (connection.readHead(head, deadline) != net::HttpCallError::None)
            return failure(request);
        noteLoad(endpoint, head.headers);
        if (head.status != 200) {
            bool isEnd = false;
            std::string body;
            while (!isEnd && connection.readSome(body, isEnd, deadline) == net::HttpCallError::None) { }
            return engineRefusal(head.status);
        }
        return attempts.usesStream ? passStream(thread, request, attempts, connection)
                                   : passWhole(thread, request, connection);
    }

    ReplicaAsk replicaAsk(const RequestState& request, const Attempts& attempts, double weight)
    {
        ReplicaAsk ask;
        ask.model = attempts.completion.model;
        ask.account = request.account;
        ask.weight = weight;
        ask.value = attempts.value;
        ask.tokens = std::max(request.reserved - request.used, 1.0);
        ask.prefix = routing::prefixHash(attempts.completion.prompt, {});
        ask.arrivedAt = request.arrivedAt;
        ask.deadline = request.startBy;
        ask.avoided = attempts.avoided;
        ask.isCancelled = &request.isCallerGone;
        return ask;
    }

    // Chooses a replica and makes one attempt. `end` is set if the request has ended.
    AttemptResult attemptOnce(
        ThreadState& thread, RequestState& request, Attempts& attempts, double weight, std::optional<RequestEnd>& end)
    {
        ReplicaGrant grant = thread.replicas.acquire(replicaAsk(request, attempts, weight));
        request.wasCold |= grant.wasCold;
        request.coldWait += grant.coldWait;
        if (grant.reason != Reason::None) {
            end = RequestEnd { grant.reason, "" };
            return AttemptResult::NotRun;
        }
        Reason reason = lastCheck(thread, request);
        if (reason != Reason::None) {
            thread.replicas.release(attempts.completion.model, grant.endpoint, 0);
            end = RequestEnd { reason, "" };
            return AttemptResult::NotRun;
        }
        auto connection = thread.pool.take(grant.endpoint.address);
        request.sending = connection.get();
        double usedBefore = request.used;
        base::TimePoint sentAt = base::Clock::now();
        AttemptResult result;
        {
            CallingGuard guard(thread, connection.get());
            result = attemptOn(thread, request, attempts, *connection, grant.endpoint);
        }
        request.sending = nullptr;
        if (result == AttemptResult::Whole)
            serviceTimeNote(thread.serviceTimes, request.subject, request.used - attempts.promptTokens,
                base::Clock::now() - sentAt);
        thread.pool.keep(std::move(connection));
        thread.replicas.release(attempts.completion.model, grant.endpoint, request.used - usedBefore);
        if (result != AttemptResult::Whole && result != AttemptResult::CallerGone)
            attempts.avoided.insert(grant.endpoint.id);
        return result;
    }

    RequestEnd runAttempts(ThreadState& thread, RequestState& request, Attempts& attempts, double weight)
    {
        bool mayHaveRun = false;
        for (int attempt = 0; attempt < attemptLimit; ++attempt) {
            std::optional<RequestEnd> end;
            AttemptResult result = attemptOnce(thread, request, attempts, weight, end);
            if (end && !mayHaveRun)
                return *end;
            if (end)
                return { Reason::EndpointLost, "no other endpoint could take it over" };
            switch (result) {
            case AttemptResult::Whole:
                return { Reason::None, "", base::Millis(0), true };
            case AttemptResult::CallerGone:
                return { Reason::CallerGone, "", base::Millis(0), true };
            case AttemptResult::Rejected:
                return { Reason::MalformedRequest, "the engine refused it" };
            case AttemptResult::NotRun:
                // The replica may be the only one: after a pause it is tried again.
                attempts.avoided.clear();
                net::sleepFor(notRunPause);
                break;
            case AttemptResult::Broken:
                mayHaveRun = true;
                base::counterAdd("engine_streams_broken_total");
                if (!takeRetry(thread))
                    return { Reason::RetryBudgetSpent, "" };
                attempts.usesStream = true;
                // With a single replica the same endpoint is the only one to go on with.
                if (attempt + 2 >= attemptLimit)
                    attempts.avoided.clear();
                break;
            }
            if (base::Clock::now() >= request.deadline)
                break;
        }
        return { mayHaveRun ? Reason::EndpointLost : Reason::EndpointUnavailable, "" };
    }

} // namespace

RequestEnd serveCompletion(ThreadState& thread, RequestState& request)
{
    CompletionOutcome read = completionReadOrExplain(request.exchange.request().body, thread.limits);
    if (!read.completion)
        return { Reason::MalformedRequest, read.error.field + ": " + read.error.message };
    Attempts attempts;
    attempts.completion = std::move(*read.completion);
    request.subject = attempts.completion.model;
    auto catalog = thread.backbone.catalog();
    auto adapter = catalog->adapters.find(attempts.completion.model);
    auto model
        = catalog->models.find(adapter == catalog->adapters.end() ? attempts.completion.model : adapter->second.model);
    if (model == catalog->models.end())
        return { Reason::UnknownModel, attempts.completion.model };
    attempts.value = attempts.completion.value.value_or(model->second.value);
    attempts.promptTokens = promptTokens(attempts.completion.prompt, model->second.bytesPerToken);
    attempts.completion.body["max_tokens"] = attempts.completion.maxTokens;
    attempts.usesStream = attempts.completion.isStream || attempts.completion.maxTokens > shortAnswerTokens;
    auto account = catalog->accounts.find(request.account);
    double weight = account == catalog->accounts.end() ? 1 : account->second.weight;
    double tokens = attempts.promptTokens + static_cast<double>(attempts.completion.maxTokens);
    request.startBy = latestStart(thread.serviceTimes, request.subject,
        static_cast<double>(attempts.completion.maxTokens), request.arrivedAt, request.deadline);
    RequestEnd reserved = reserveTokens(thread, request, tokens, attempts.value);
    if (reserved.reason != Reason::None)
        return reserved;
    return runAttempts(thread, request, attempts, weight);
}

} // namespace rattanshunt::entry

#include "Load.h"

#include <random>

#include <fmt/format.h>

#include "EngineStandIn.h"
#include "base/Text.h"
#include "endpoints/EngineStream.h"

namespace rattanshunt::lab {

using nlohmann::json;

namespace {

    constexpr size_t maxIdleConnections = 256; // per target

    struct LoadState {
        net::Loop& loop;
        const LoadPlan& plan;
        LoadResult result;
        std::mt19937_64 random;
        std::map<std::string, std::vector<std::unique_ptr<net::HttpConnection>>> idleConnectionsByTarget;
        size_t requestsInFlight = 0;
        size_t nextTargetIndex = 0;
        uint64_t requestsStarted = 0;
        net::Event wakeEvent;
        base::TimePoint lastEndedAt {};

        LoadState(net::Loop& eventLoop, const LoadPlan& loadPlan)
            : loop(eventLoop)
            , plan(loadPlan)
            , random(loadPlan.seed)
        {
        }
    };

    const LoadKind& selectKind(LoadState& state)
    {
        double sum = 0;
        for (const LoadKind& kind : state.plan.kinds)
            sum += kind.share;
        double remaining = std::uniform_real_distribution<double>(0, sum)(state.random);
        for (const LoadKind& kind : state.plan.kinds) {
            remaining -= kind.share;
            if (remaining <= 0)
                return kind;
        }
        return state.plan.kinds.back();
    }

    std::unique_ptr<net::HttpConnection> acquireConnection(LoadState& state, const base::Address& target)
    {
        auto& list = state.idleConnectionsByTarget[base::formatAddress(target)];
        while (!list.empty()) {
            auto connection = std::move(list.back());
            list.pop_back();
            if (connection->isReusable())
                return connection;
        }
        return net::HttpConnection::create(state.loop, target);
    }

    std::string makePrompt(const LoadKind& kind, uint64_t number)
    {
        std::string prompt = fmt::format("{}-{} ", kind.name, number);
        while (prompt.size() < kind.promptBytes)
            prompt += "abcdefgh"[prompt.size() % 8];
        return prompt.substr(0, std::max<size_t>(kind.promptBytes, 16));
    }

    net::HttpRequest makeRequest(const LoadKind& kind, const std::string& id, const std::string& prompt)
    {
        net::HttpRequest request { "POST", kind.path,
            { { "Content-Type", "application/json" }, { "X-Request-Id", id } }, "" };
        request.headers.push_back({ "X-Deadline-Ms", std::to_string(kind.deadline.count()) });
        if (!kind.apiKey.empty())
            request.headers.push_back({ "Authorization", "Bearer " + kind.apiKey });
        if (kind.model.empty()) {
            if (kind.hasIdempotencyKey)
                request.headers.push_back({ "Idempotency-Key", id });
            request.body = json({ { "call", id } }).dump();
            return request;
        }
        request.target = "/v1/completions";
        json body = { { "model", kind.model }, { "prompt", prompt }, { "max_tokens", kind.maxTokens },
            { "stream", kind.isStream } };
        if (!kind.priorityClass.empty())
            body["value"] = kind.priorityClass;
        request.body = body.dump();
        return request;
    }

    bool isExpectedText(const std::string& text, const std::string& prompt, size_t count)
    {
        std::string expected;
        for (size_t i = 0; i < count; ++i)
            expected += generatedToken(prompt, i);
        return text == expected;
    }

    struct CallResult {
        net::HttpCallError error = net::HttpCallError::None;
        net::HttpResponse response;
        double firstByteSeconds = 0;
    };

    CallResult sendAndReceive(net::HttpConnection& connection, const net::HttpRequest& request, base::TimePoint start,
        base::TimePoint deadline)
    {
        CallResult call;
        if (!connection.isConnected())
            call.error = connection.connect(deadline);
        if (call.error == net::HttpCallError::None)
            call.error = connection.send(request, deadline);
        if (call.error == net::HttpCallError::None)
            call.error = connection.readHead(call.response, deadline);
        bool hasEnded = false;
        while (call.error == net::HttpCallError::None && !hasEnded) {
            call.error = connection.readSome(call.response.body, hasEnded, deadline);
            if (!call.firstByteSeconds)
                call.firstByteSeconds = base::secondsOf(base::Clock::now() - start);
        }
        return call;
    }

    // Classifies the body of a response with status 200.
    enum class ResponseCheck { Complete, Truncated, Wrong };

    ResponseCheck checkResponse(
        const LoadKind& kind, const CallResult& call, const std::string& id, const std::string& prompt)
    {
        if (net::httpHeader(call.response.headers, "X-Request-Id") != id)
            return ResponseCheck::Wrong;
        const std::string& body = call.response.body;
        if (kind.model.empty()) {
            json object = json::parse(body, nullptr, false);
            return object.is_object() && object.value("call", "") == id ? ResponseCheck::Complete
                                                                        : ResponseCheck::Wrong;
        }
        if (kind.isStream) {
            if (body.find("data: [DONE]\n\n") == std::string::npos)
                return ResponseCheck::Truncated;
            return isExpectedText(endpoints::engineEventsText(body), prompt, kind.maxTokens) ? ResponseCheck::Complete
                                                                                             : ResponseCheck::Wrong;
        }
        json object = json::parse(body, nullptr, false);
        if (!object.is_object() || !object.contains("choices") || object["choices"].empty())
            return ResponseCheck::Wrong;
        return isExpectedText(object["choices"][0].value("text", ""), prompt, kind.maxTokens) ? ResponseCheck::Complete
                                                                                              : ResponseCheck::Wrong;
    }

    void countRefusal(LoadTally& tally, const LoadKind& kind, const CallResult& call, const std::string& id)
    {
        std::string outcome(net::httpHeader(call.response.headers, "X-Outcome"));
        std::string reason(net::httpHeader(call.response.headers, "X-Reason"));
        if (outcome == "refused-not-run") {
            ++tally.refused[reason];
            if (kind.model.empty())
                tally.notExecutedCalls.push_back(id);
        } else
            ++tally.unknown;
    }

    void countResult(LoadTally& tally, const LoadKind& kind, const CallResult& call, const std::string& id,
        const std::string& prompt, base::TimePoint start)
    {
        if (call.error == net::HttpCallError::ConnectFailed) {
            ++tally.unreachable;
            return;
        }
        if (call.error != net::HttpCallError::None) {
            ++(call.error == net::HttpCallError::TimedOut ? tally.silent : tally.unknown);
            return;
        }
        if (call.response.status != 200) {
            countRefusal(tally, kind, call, id);
            return;
        }
        switch (checkResponse(kind, call, id, prompt)) {
        case ResponseCheck::Complete:
            ++tally.whole;
            tally.responseSeconds.push_back(base::secondsOf(base::Clock::now() - start));
            tally.firstByteSeconds.push_back(call.firstByteSeconds);
            if (kind.model.empty())
                tally.answeredCalls.push_back(id);
            break;
        case ResponseCheck::Truncated:
            ++tally.unknown;
            break;
        case ResponseCheck::Wrong:
            ++tally.wrong;
            break;
        }
    }

    void sendRequest(
        const std::shared_ptr<LoadState>& state, const LoadKind& kind, const base::Address& target, uint64_t number)
    {
        std::string id = fmt::format("{}-{:x}-{}", kind.name, state->plan.seed, number);
        std::string prompt = makePrompt(kind, number);
        base::TimePoint start = base::Clock::now();
        auto connection = acquireConnection(*state, target);
        LoadTally& tally = state->result[kind.name];
        ++tally.sent;
        if (kind.model.empty())
            tally.sentCalls.push_back(id);
        constexpr base::Seconds responseGracePeriod { 2 };
        net::HttpRequest request = makeRequest(kind, id, prompt);
        CallResult call = sendAndReceive(*connection, request, start, start + kind.deadline + responseGracePeriod);
        // Like a load balancer, try the other targets in turn if the connection is refused.
        for (size_t i = 1; i < state->plan.targets.size() && call.error == net::HttpCallError::ConnectFailed; ++i) {
            connection = net::HttpConnection::create(
                state->loop, state->plan.targets[(number + i) % state->plan.targets.size()]);
            call = sendAndReceive(*connection, request, start, start + kind.deadline + responseGracePeriod);
        }
        countResult(tally, kind, call, id, prompt, start);
        auto& list = state->idleConnectionsByTarget[base::formatAddress(connection->address())];
        if (state->plan.reusesConnections && list.size() < maxIdleConnections && connection->isReusable())
            list.push_back(std::move(connection));
        state->lastEndedAt = base::Clock::now();
        --state->requestsInFlight;
        state->wakeEvent.set();
    }

    void startRequest(const std::shared_ptr<LoadState>& state)
    {
        const LoadKind& kind = selectKind(*state);
        base::Address target = state->plan.targets[state->nextTargetIndex++ % state->plan.targets.size()];
        ++state->requestsInFlight;
        uint64_t number = ++state->requestsStarted;
        state->loop.spawn([state, &kind, target, number] { sendRequest(state, kind, target, number); });
    }

} // namespace

LoadResult loadRun(net::Loop& loop, const LoadPlan& plan)
{
    auto state = std::make_shared<LoadState>(loop, plan);
    base::TimePoint start = base::Clock::now();
    base::TimePoint end = start + plan.duration;
    base::TimePoint next = start;
    std::exponential_distribution<double> interarrivalTime(plan.rate);
    while (base::Clock::now() < end && (!plan.maxRequests || state->requestsStarted < plan.maxRequests)) {
        if (plan.concurrency) {
            while (state->requestsInFlight < plan.concurrency
                && (!plan.maxRequests || state->requestsStarted < plan.maxRequests))
                startRequest(state);
            state->wakeEvent.reset();
            state->wakeEvent.waitUntil(end);
            continue;
        }
        while (next <= base::Clock::now() && (!plan.maxRequests || state->requestsStarted < plan.maxRequests)) {
            startRequest(state);
            next += base::durationOf(interarrivalTime(state->random));
        }
        net::sleepPrecisely(std::min(next, end));
    }
    while (state->requestsInFlight) {
        state->wakeEvent.reset();
        state->wakeEvent.waitUntil();
    }
    return std::move(state->result);
}

LoadTally loadSum(const LoadResult& result)
{
    LoadTally sum;
    for (auto& [name, tally] : result) {
        sum.sent += tally.sent;
        sum.whole += tally.whole;
        sum.wrong += tally.wrong;
        sum.unknown += tally.unknown;
        sum.unreachable += tally.unreachable;
        sum.silent += tally.silent;
        for (auto& [reason, count] : tally.refused)
            sum.refused[reason] += count;
        sum.responseSeconds.insert(
            sum.responseSeconds.end(), tally.responseSeconds.begin(), tally.responseSeconds.end());
        sum.firstByteSeconds.insert(
            sum.firstByteSeconds.end(), tally.firstByteSeconds.begin(), tally.firstByteSeconds.end());
        sum.sentCalls.insert(sum.sentCalls.end(), tally.sentCalls.begin(), tally.sentCalls.end());
        sum.answeredCalls.insert(sum.answeredCalls.end(), tally.answeredCalls.begin(), tally.answeredCalls.end());
        sum.notExecutedCalls.insert(
            sum.notExecutedCalls.end(), tally.notExecutedCalls.begin(), tally.notExecutedCalls.end());
    }
    return sum;
}

double quantileOf(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    auto at = std::min(static_cast<size_t>(fraction * static_cast<double>(values.size())), values.size() - 1);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

json loadJson(const LoadResult& result, base::Duration elapsed)
{
    json object = { { "seconds", base::secondsOf(elapsed) } };
    for (auto& [name, tally] : result) {
        object["kinds"][name] = { { "sent", tally.sent }, { "whole", tally.whole }, { "wrong", tally.wrong },
            { "unknown", tally.unknown }, { "unreachable", tally.unreachable }, { "silent", tally.silent },
            { "refused", tally.refused }, { "p50_s", quantileOf(tally.responseSeconds, 0.5) },
            { "p95_s", quantileOf(tally.responseSeconds, 0.95) }, { "p99_s", quantileOf(tally.responseSeconds, 0.99) },
            { "first_byte_p50_s", quantileOf(tally.firstByteSeconds, 0.5) },
            { "first_byte_p99_s", quantileOf(tally.firstByteSeconds, 0.99) } };
    }
    return object;
}

std::string loadText(const LoadResult& result, base::Duration elapsed)
{
    std::string text = fmt::format("{:<20} {:>8} {:>8} {:>6} {:>8} {:>8} {:>7} {:>8} {:>9} {:>9}  refused\n", "kind",
        "sent", "whole", "wrong", "unknown", "unreach", "silent", "per s", "p50 ms", "p99 ms");
    for (auto& [name, tally] : result) {
        text += fmt::format("{:<20} {:>8} {:>8} {:>6} {:>8} {:>8} {:>7} {:>8.0f} {:>9.3f} {:>9.3f}  ", name, tally.sent,
            tally.whole, tally.wrong, tally.unknown, tally.unreachable, tally.silent,
            static_cast<double>(tally.whole) / base::secondsOf(elapsed), quantileOf(tally.responseSeconds, 0.5) * 1000,
            quantileOf(tally.responseSeconds, 0.99) * 1000);
        for (auto& [reason, count] : tally.refused)
            text += fmt::format("{}={} ", reason, count);
        text += '\n';
    }
    return text;
}

std::vector<LoadKind> loadKindsParse(const json& list)
{
    std::vector<LoadKind> kinds;
    for (const json& item : list) {
        LoadKind kind;
        try {
            kind.name = item.at("name").get<std::string>();
            kind.share = item.value("share", kind.share);
            kind.apiKey = item.value("secret", "");
            kind.model = item.value("model", "");
            kind.path = item.value("path", "");
            kind.hasIdempotencyKey = item.value("idempotency_key", false);
            kind.isStream = item.value("stream", false);
            kind.maxTokens = item.value("max_tokens", kind.maxTokens);
            kind.promptBytes = item.value("prompt_bytes", kind.promptBytes);
            kind.priorityClass = item.value("value", "");
            kind.deadline = base::Millis(item.value("deadline_ms", kind.deadline.count()));
        } catch (const json::exception& error) {
            throw std::runtime_error(fmt::format("kind {}: {}", kinds.size(), error.what()));
        }
        if (kind.model.empty() == kind.path.empty())
            throw std::runtime_error(fmt::format("kind {}: needs either model or path", kinds.size()));
        kinds.push_back(std::move(kind));
    }
    return kinds;
}

} // namespace rattanshunt::lab

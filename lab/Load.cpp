#include "Load.h"

#include <random>

#include <fmt/format.h>

#include "EngineStandIn.h"
#include "base/Text.h"
#include "endpoints/EngineStream.h"

namespace rattanshunt::lab {

using nlohmann::json;

namespace {

    constexpr size_t idleConnections = 256;

    struct Shared {
        net::Loop& loop;
        const LoadPlan& plan;
        LoadResult result;
        std::mt19937_64 random;
        std::map<std::string, std::vector<std::unique_ptr<net::HttpConnection>>> idle;
        size_t underWay = 0;
        size_t turn = 0;
        uint64_t number = 0;
        net::Event wake;
        base::TimePoint lastEnd {};

        Shared(net::Loop& ownLoop, const LoadPlan& ownPlan)
            : loop(ownLoop)
            , plan(ownPlan)
            , random(ownPlan.seed)
        {
        }
    };

    const LoadKind& pickKind(Shared& shared)
    {
        double sum = 0;
        for (const LoadKind& kind : shared.plan.kinds)
            sum += kind.share;
        double drawn = std::uniform_real_distribution<double>(0, sum)(shared.random);
        for (const LoadKind& kind : shared.plan.kinds) {
            drawn -= kind.share;
            if (drawn <= 0)
                return kind;
        }
        return shared.plan.kinds.back();
    }

    std::unique_ptr<net::HttpConnection> takeConnection(Shared& shared, const base::Address& target)
    {
        auto& list = shared.idle[base::formatAddress(target)];
        while (!list.empty()) {
            auto connection = std::move(list.back());
            list.pop_back();
            if (connection->isReusable())
                return connection;
        }
        return net::HttpConnection::create(shared.loop, target);
    }

    std::string promptOf(const LoadKind& kind, uint64_t number)
    {
        std::string prompt = fmt::format("{}-{} ", kind.name, number);
        while (prompt.size() < kind.promptBytes)
            prompt += "abcdefgh"[prompt.size() % 8];
        return prompt.substr(0, std::max<size_t>(kind.promptBytes, 16));
    }

    net::HttpRequest requestOf(const LoadKind& kind, const std::string& id, const std::string& prompt)
    {
        net::HttpRequest request { "POST", kind.path,
            { { "Content-Type", "application/json" }, { "X-Request-Id", id } }, "" };
        request.headers.push_back({ "X-Deadline-Ms", std::to_string(kind.deadline.count()) });
        if (!kind.secret.empty())
            request.headers.push_back({ "Authorization", "Bearer " + kind.secret });
        if (kind.model.empty()) {
            if (kind.hasIdempotencyKey)
                request.headers.push_back({ "Idempotency-Key", id });
            request.body = json({ { "call", id } }).dump();
            return request;
        }
        request.target = "/v1/completions";
        json body = { { "model", kind.model }, { "prompt", prompt }, { "max_tokens", kind.maxTokens },
            { "stream", kind.isStream } };
        if (!kind.value.empty())
            body["value"] = kind.value;
        request.body = body.dump();
        return request;
    }

    bool isRightText(const std::string& text, const std::string& prompt, size_t count)
    {
        std::string expected;
        for (size_t i = 0; i < count; ++i)
            expected += answerToken(prompt, i);
        return text == expected;
    }

    struct Answer {
        net::HttpCallError error = net::HttpCallError::None;
        net::HttpResponse response;
        double firstByte = 0;
    };

    Answer exchange(net::HttpConnection& connection, const net::HttpRequest& request, base::TimePoint start,
        base::TimePoint deadline)
    {
        Answer answer;
        if (!connection.isConnected())
            answer.error = connection.connect(deadline);
        if (answer.error == net::HttpCallError::None)
            answer.error = connection.send(request, deadline);
        if (answer.error == net::HttpCallError::None)
            answer.error = connection.readHead(answer.response, deadline);
        bool isEnd = false;
        while (answer.error == net::HttpCallError::None && !isEnd) {
            answer.error = connection.readSome(answer.response.body, isEnd, deadline);
            if (!answer.firstByte)
                answer.firstByte = base::secondsOf(base::Clock::now() - start);
        }
        return answer;
    }

    // What a body with status 200 amounts to.
    enum class Content { Whole, Cut, Wrong };

    Content judgeContent(const LoadKind& kind, const Answer& answer, const std::string& id, const std::string& prompt)
    {
        if (net::httpHeader(answer.response.headers, "X-Request-Id") != id)
            return Content::Wrong;
        const std::string& body = answer.response.body;
        if (kind.model.empty()) {
            json object = json::parse(body, nullptr, false);
            return object.is_object() && object.value("call", "") == id ? Content::Whole : Content::Wrong;
        }
        if (kind.isStream) {
            if (body.find("data: [DONE]\n\n") == std::string::npos)
                return Content::Cut;
            return isRightText(endpoints::engineEventsText(body), prompt, kind.maxTokens) ? Content::Whole
                                                                                          : Content::Wrong;
        }
        json object = json::parse(body, nullptr, false);
        if (!object.is_object() || !object.contains("choices") || object["choices"].empty())
            return Content::Wrong;
        return isRightText(object["choices"][0].value("text", ""), prompt, kind.maxTokens) ? Content::Whole
                                                                                           : Content::Wrong;
    }

    void noteRefusal(LoadTally& tally, const LoadKind& kind, const Answer& answer, const std::string& id)
    {
        std::string outcome(net::httpHeader(answer.response.headers, "X-Outcome"));
        std::string reason(net::httpHeader(answer.response.headers, "X-Reason"));
        if (outcome == "refused-not-run") {
            ++tally.refused[reason];
            if (kind.model.empty())
                tally.notRunCalls.push_back(id);
        } else
            ++tally.unknown;
    }

    void noteAnswer(LoadTally& tally, const LoadKind& kind, const Answer& answer, const std::string& id,
        const std::string& prompt, base::TimePoint start)
    {
        if (answer.error == net::HttpCallError::ConnectFailed) {
            ++tally.unreachable;
            return;
        }
        if (answer.error != net::HttpCallError::None) {
            ++(answer.error == net::HttpCallError::TimedOut ? tally.silent : tally.unknown);
            return;
        }
        if (answer.response.status != 200) {
            noteRefusal(tally, kind, answer, id);
            return;
        }
        switch (judgeContent(kind, answer, id, prompt)) {
        case Content::Whole:
            ++tally.whole;
            tally.seconds.push_back(base::secondsOf(base::Clock::now() - start));
            tally.firstByteSeconds.push_back(answer.firstByte);
            if (kind.model.empty())
                tally.wholeCalls.push_back(id);
            break;
        case Content::Cut:
            ++tally.unknown;
            break;
        case Content::Wrong:
            ++tally.wrong;
            break;
        }
    }

    void sendOne(
        const std::shared_ptr<Shared>& shared, const LoadKind& kind, const base::Address& target, uint64_t number)
    {
        std::string id = fmt::format("{}-{:x}-{}", kind.name, shared->plan.seed, number);
        std::string prompt = promptOf(kind, number);
        base::TimePoint start = base::Clock::now();
        auto connection = takeConnection(*shared, target);
        LoadTally& tally = shared->result[kind.name];
        ++tally.sent;
        if (kind.model.empty())
            tally.calls.push_back(id);
        constexpr base::Seconds grace { 2 };
        net::HttpRequest request = requestOf(kind, id, prompt);
        Answer answer = exchange(*connection, request, start, start + kind.deadline + grace);
        // As a balancer does: what could not be connected goes to the next instance.
        for (size_t i = 1; i < shared->plan.targets.size() && answer.error == net::HttpCallError::ConnectFailed; ++i) {
            connection = net::HttpConnection::create(
                shared->loop, shared->plan.targets[(number + i) % shared->plan.targets.size()]);
            answer = exchange(*connection, request, start, start + kind.deadline + grace);
        }
        noteAnswer(tally, kind, answer, id, prompt, start);
        auto& list = shared->idle[base::formatAddress(connection->address())];
        if (shared->plan.keepsConnections && list.size() < idleConnections && connection->isReusable())
            list.push_back(std::move(connection));
        shared->lastEnd = base::Clock::now();
        --shared->underWay;
        shared->wake.set();
    }

    void startOne(const std::shared_ptr<Shared>& shared)
    {
        const LoadKind& kind = pickKind(*shared);
        base::Address target = shared->plan.targets[shared->turn++ % shared->plan.targets.size()];
        ++shared->underWay;
        uint64_t number = ++shared->number;
        shared->loop.spawn([shared, &kind, target, number] { sendOne(shared, kind, target, number); });
    }

} // namespace

LoadResult loadRun(net::Loop& loop, const LoadPlan& plan)
{
    auto shared = std::make_shared<Shared>(loop, plan);
    base::TimePoint start = base::Clock::now();
    base::TimePoint end = start + plan.duration;
    base::TimePoint next = start;
    std::exponential_distribution<double> gap(plan.rate);
    while (base::Clock::now() < end && (!plan.limit || shared->number < plan.limit)) {
        if (plan.concurrency) {
            while (shared->underWay < plan.concurrency && (!plan.limit || shared->number < plan.limit))
                startOne(shared);
            shared->wake.reset();
            shared->wake.waitUntil(end);
            continue;
        }
        while (next <= base::Clock::now() && (!plan.limit || shared->number < plan.limit)) {
            startOne(shared);
            next += base::durationOf(gap(shared->random));
        }
        net::sleepPrecisely(std::min(next, end));
    }
    while (shared->underWay) {
        shared->wake.reset();
        shared->wake.waitUntil();
    }
    return std::move(shared->result);
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
        sum.seconds.insert(sum.seconds.end(), tally.seconds.begin(), tally.seconds.end());
        sum.firstByteSeconds.insert(
            sum.firstByteSeconds.end(), tally.firstByteSeconds.begin(), tally.firstByteSeconds.end());
        sum.calls.insert(sum.calls.end(), tally.calls.begin(), tally.calls.end());
        sum.wholeCalls.insert(sum.wholeCalls.end(), tally.wholeCalls.begin(), tally.wholeCalls.end());
        sum.notRunCalls.insert(sum.notRunCalls.end(), tally.notRunCalls.begin(), tally.notRunCalls.end());
    }
    return sum;
}

double quantileOf(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    auto at = std::min(static_cast<size_t>(part * static_cast<double>(values.size())), values.size() - 1);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

json loadJson(const LoadResult& result, base::Duration elapsed)
{
    json object = { { "seconds", base::secondsOf(elapsed) } };
    for (auto& [name, tally] : result) {
        object["kinds"][name] = { { "sent", tally.sent }, { "whole", tally.whole }, { "wrong", tally.wrong },
            { "unknown", tally.unknown }, { "unreachable", tally.unreachable }, { "silent", tally.silent },
            { "refused", tally.refused }, { "p50_s", quantileOf(tally.seconds, 0.5) },
            { "p95_s", quantileOf(tally.seconds, 0.95) }, { "p99_s", quantileOf(tally.seconds, 0.99) },
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
            static_cast<double>(tally.whole) / base::secondsOf(elapsed), quantileOf(tally.seconds, 0.5) * 1000,
            quantileOf(tally.seconds, 0.99) * 1000);
        for (auto& [reason, count] : tally.refused)
            text += fmt::format("{}={} ", reason, count);
        text += '\n';
    }
    return text;
}

std::vector<LoadKind> loadKindsRead(const json& list)
{
    std::vector<LoadKind> kinds;
    for (const json& item : list) {
        LoadKind kind;
        try {
            kind.name = item.at("name").get<std::string>();
            kind.share = item.value("share", kind.share);
            kind.secret = item.value("secret", "");
            kind.model = item.value("model", "");
            kind.path = item.value("path", "");
            kind.hasIdempotencyKey = item.value("idempotency_key", false);
            kind.isStream = item.value("stream", false);
            kind.maxTokens = item.value("max_tokens", kind.maxTokens);
            kind.promptBytes = item.value("prompt_bytes", kind.promptBytes);
            kind.value = item.value("value", "");
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

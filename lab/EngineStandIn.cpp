// Long because one class holds the state of an engine: orders, batch, generation and injected faults.
#include "EngineStandIn.h"

#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/Text.h"

namespace rattanshunt::lab {

using nlohmann::json;

namespace {

    constexpr double bytesPerToken = 4; // of the prompt, for the reported usage
    constexpr base::Millis dribbleInterval { 50 };
    constexpr size_t endlessPieceBytes = 16 * 1024;

    net::HttpResponse jsonResponse(const json& body, int status = 200)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }

    struct ModelState {
        std::string orderId;
        int64_t bytes = 0;
        bool isReady = false;
        bool isUnloading = false;
        int runningRequests = 0;
    };

    struct QueuedRequest {
        int priority = 0;
        uint64_t sequence = 0;
        net::Event* wakeEvent = nullptr;
    };

} // namespace

std::string generatedToken(const std::string& prompt, size_t position)
{
    return fmt::format("w{} ", base::stableHash(prompt, position) % 1000);
}

struct EngineStandIn::Impl : std::enable_shared_from_this<EngineStandIn::Impl> {
    Impl(net::Loop& eventLoop, const EngineStandInOptions& engineOptions)
        : loop(eventLoop)
        , options(engineOptions)
    {
    }

    net::Loop& loop;
    EngineStandInOptions options;
    std::optional<net::HttpServerHandle> server;
    std::map<std::string, ModelState> models;
    std::set<std::string> endedOrders;
    int64_t highestFencingToken = 0;
    int64_t usedBytes = 0;
    int64_t overcommits = 0;
    int runningRequests = 0;
    std::vector<QueuedRequest> queue;
    uint64_t lastSequence = 0;
    uint64_t requestCount = 0;
    double idleSeconds = 0;
    base::TimePoint idleSince {};
    std::set<std::string> modelsOnDisk;
    bool sawKey = false;
    bool isStopped = false;
    bool isCrashed = false;
    // Injected faults; see the header for their meaning. -1: off.
    int hangAfterTokens = -1;
    int cutAfterTokens = -1;
    base::Millis orderDelay { 0 };
    bool sendsForeignResponses = false;
    int dribbleAfterTokens = -1;
    int endlessAfterTokens = -1;
    bool sendsTrailingBytes = false;

    void handleRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        if (!net::httpHeader(request.headers, "Authorization").empty()
            || request.body.find("rsk_") != std::string::npos)
            sawKey = true;
        json body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
        if (isCrashed) {
            exchange.startStream(500, {});
            return;
        }
        if (request.target == "/v1/completions")
            handleCompletion(exchange, body);
        else if (request.target == "/orders")
            exchange.respond(handleOrder(body));
        else if (request.target == "/state")
            exchange.respond(jsonResponse(state()));
        else if (request.target == "/faults")
            exchange.respond(handleFaults(body));
        else
            exchange.respond({ 404, {}, "" });
    }

    // ---- Orders ------------------------------------------------------------------------------------

    net::HttpResponse handleOrder(const json& body)
    {
        if (orderDelay.count())
            net::sleepFor(orderDelay);
        auto fencing = body.value("fencing", int64_t { 0 });
        auto order = body.value("order", std::string());
        if (options.checksFencing && fencing < highestFencingToken) {
            if (body.value("action", "") == "load" && !isKnownOrder(order))
                endedOrders.insert(order);
            return jsonResponse({ { "error", "fenced" } }, 409);
        }
        highestFencingToken = std::max(highestFencingToken, fencing);
        if (body.value("action", "") == "load")
            return load(
                body.value("model", std::string()), order, body.value("bytes", int64_t { 0 }), body.contains("base"));
        return unload(body.value("model", std::string()), order);
    }

    bool isKnownOrder(const std::string& order) const
    {
        return std::any_of(models.begin(), models.end(), [&](auto& item) { return item.second.orderId == order; });
    }

    net::HttpResponse load(const std::string& model, const std::string& order, int64_t bytes, bool isAdapter)
    {
        if (endedOrders.contains(order))
            return jsonResponse({ { "error", "ended" } }, 409);
        auto found = models.find(model);
        if (found != models.end())
            return jsonResponse(json::object(), found->second.orderId == order ? 202 : 409);
        models[model] = { order, bytes, false, false, 0 };
        usedBytes += bytes;
        // Callers must never order this. The stand-in does not refuse it but counts it, so that checks can detect it.
        if (usedBytes > options.memoryBytes)
            ++overcommits;
        loop.spawn([self = shared_from_this(), model, order, isAdapter] { self->finishLoad(model, order, isAdapter); });
        return jsonResponse(json::object(), 202);
    }

    void finishLoad(const std::string& model, const std::string& order, bool isAdapter)
    {
        bool isOnDisk = modelsOnDisk.contains(model);
        auto address = base::parseAddress(options.platformAddress);
        if (isAdapter)
            net::sleepFor(options.adapterLoadTime);
        else if (address && !isOnDisk) {
            auto connection = net::HttpConnection::create(loop, *address);
            net::HttpRequest request { "POST", "/weights/fetch", {},
                json({ { "model", model }, { "millis", options.loadTime.count() } }).dump() };
            net::httpCall(*connection, request, base::Clock::now() + base::Seconds(600));
        } else
            net::sleepFor(isOnDisk ? options.loadTime / 4 : options.loadTime);
        auto found = models.find(model);
        if (found == models.end() || found->second.orderId != order)
            return;
        found->second.isReady = true;
        modelsOnDisk.insert(model);
        updateIdleTime();
    }

    net::HttpResponse unload(const std::string& model, const std::string& order)
    {
        auto found = models.find(model);
        if (found == models.end() || found->second.orderId != order) {
            endedOrders.insert(order);
            return jsonResponse(json::object(), 202);
        }
        found->second.isUnloading = true;
        removeIfUnused(model);
        return jsonResponse(json::object(), 202);
    }

    void removeIfUnused(const std::string& model)
    {
        auto found = models.find(model);
        if (found == models.end() || !found->second.isUnloading || found->second.runningRequests)
            return;
        usedBytes -= found->second.bytes;
        endedOrders.insert(found->second.orderId);
        models.erase(found);
    }

    json state()
    {
        updateIdleTime();
        json loaded = json::array();
        json loading = json::array();
        for (auto& [name, model] : models)
            (model.isReady ? loaded : loading).push_back(model.orderId);
        json checkpointTiers = json::object();
        for (const std::string& name : modelsOnDisk)
            checkpointTiers[name] = "disk";
        return { { "boot", options.bootId }, { "loaded_orders", loaded }, { "loading_orders", loading },
            { "ended_orders", endedOrders }, { "highest_fencing", highestFencingToken },
            { "checks_fencing", options.checksFencing }, { "running", runningRequests }, { "waiting", queue.size() },
            { "slots", options.batchSlots }, { "cached", checkpointTiers }, { "idle_seconds", idleSeconds },
            { "used_bytes", usedBytes }, { "overcommits", overcommits }, { "requests", requestCount },
            { "saw_key", sawKey }, { "models", modelNames() } };
    }

    json modelNames() const
    {
        json names = json::array();
        for (auto& [name, model] : models)
            names.push_back(name);
        return names;
    }

    // Accumulates the time in which at least one model is loaded and no request runs.
    void updateIdleTime()
    {
        base::TimePoint now = base::Clock::now();
        if (idleSince != base::TimePoint {})
            idleSeconds += base::secondsOf(now - idleSince);
        idleSince = !models.empty() && !runningRequests ? now : base::TimePoint {};
    }

    // ---- Completions -------------------------------------------------------------------------------

    // Waits for a free place in the batch, by priority, then by age. Returns false if the client disconnected or the
    // engine crashed.
    bool enterBatch(int priority, const bool& isDisconnected)
    {
        if (runningRequests < options.batchSlots && queue.empty()) {
            startRunning();
            return true;
        }
        net::Event wakeEvent;
        uint64_t sequence = ++lastSequence;
        queue.push_back({ priority, sequence, &wakeEvent });
        while (!isDisconnected && !isCrashed) {
            wakeEvent.reset();
            auto best
                = std::max_element(queue.begin(), queue.end(), [](const QueuedRequest& a, const QueuedRequest& b) {
                      return a.priority != b.priority ? a.priority < b.priority : a.sequence > b.sequence;
                  });
            if (runningRequests < options.batchSlots && best->sequence == sequence)
                break;
            wakeEvent.waitUntil(base::Clock::now() + base::Millis(50));
        }
        std::erase_if(queue, [&](const QueuedRequest& request) { return request.sequence == sequence; });
        if (isDisconnected || isCrashed)
            return false;
        startRunning();
        return true;
    }

    void startRunning()
    {
        updateIdleTime();
        ++runningRequests;
        idleSince = {};
    }

    void leaveBatch()
    {
        --runningRequests;
        updateIdleTime();
        for (QueuedRequest& request : queue)
            request.wakeEvent->set();
    }

    void handleCompletion(net::HttpExchange& exchange, const json& body)
    {
        ++requestCount;
        std::string model = body.value("model", std::string());
        auto found = models.find(model);
        if (!options.startsLoaded && (found == models.end() || !found->second.isReady || found->second.isUnloading)) {
            net::HttpResponse response = jsonResponse({ { "error", "not loaded" } }, 404);
            response.headers.push_back(
                { "X-Request-Id", std::string(net::httpHeader(exchange.request().headers, "X-Request-Id")) });
            exchange.respond(std::move(response));
            return;
        }
        if (!options.startsLoaded)
            ++found->second.runningRequests;
        bool isDisconnected = false;
        exchange.setDisconnectHandler([&isDisconnected] { isDisconnected = true; });
        if (enterBatch(body.value("priority", 0), isDisconnected)) {
            generate(exchange, body, isDisconnected);
            leaveBatch();
        }
        if (options.startsLoaded)
            return;
        --models[model].runningRequests;
        removeIfUnused(model);
    }

    std::vector<net::HttpHeader> responseHeaders(const std::string& type, const std::string& id) const
    {
        return { { "Content-Type", type }, { "X-Request-Id", id },
            { "X-Load", fmt::format("{},{},{}", runningRequests, queue.size(), options.batchSlots) } };
    }

    void generate(net::HttpExchange& exchange, const json& body, const bool& isDisconnected)
    {
        std::string id(net::httpHeader(exchange.request().headers, "X-Request-Id"));
        if (sendsForeignResponses)
            id = "another-request";
        std::string prompt = body.value("prompt", std::string());
        size_t count = body.value("max_tokens", size_t { 16 });
        size_t from = body.value("resume_from", size_t { 0 });
        double promptTokens = std::ceil(static_cast<double>(prompt.size()) / bytesPerToken);
        if (!body.value("stream", false)) {
            generateNonStreaming(exchange, id, prompt, count, promptTokens);
            return;
        }
        if (!exchange.startStream(200, responseHeaders("text/event-stream", id)))
            return;
        base::TimePoint next = base::Clock::now();
        for (size_t i = from; i < count && !isDisconnected && !isCrashed; ++i) {
            next += options.timePerToken;
            if (options.timePerToken.count())
                net::sleepUntil(next);
            if (hangAfterTokens >= 0 && static_cast<int>(i) >= hangAfterTokens) {
                while (!isDisconnected && hangAfterTokens >= 0 && !isCrashed)
                    net::sleepFor(base::Millis(20));
                return;
            }
            if (cutAfterTokens >= 0 && static_cast<int>(i) >= cutAfterTokens) {
                cutAfterTokens = -1;
                return;
            }
            if (dribbleAfterTokens >= 0 && static_cast<int>(i) >= dribbleAfterTokens) {
                sendNowAndThen(exchange, isDisconnected);
                return;
            }
            if (endlessAfterTokens >= 0 && static_cast<int>(i) >= endlessAfterTokens) {
                while (!isDisconnected && !isCrashed && exchange.sendChunk(std::string(endlessPieceBytes, 'x'))) { }
                return;
            }
            json event = { { "id", id },
                { "choices", json::array({ { { "index", 0 }, { "text", generatedToken(prompt, i) } } }) } };
            if (!exchange.sendChunk("data: " + event.dump() + "\n\n"))
                return;
        }
        if (isDisconnected || isCrashed)
            return;
        json last = { { "id", id }, { "choices", json::array() },
            { "usage",
                { { "prompt_tokens", promptTokens }, { "completion_tokens", count - std::min(from, count) } } } };
        exchange.sendChunk("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
        if (sendsTrailingBytes)
            sendNowAndThen(exchange, isDisconnected);
        exchange.finishStream();
    }

    void sendNowAndThen(net::HttpExchange& exchange, const bool& isDisconnected)
    {
        while (!isDisconnected && !isCrashed && !isStopped && exchange.sendChunk(":"))
            net::sleepFor(dribbleInterval);
    }

    void generateNonStreaming(net::HttpExchange& exchange, const std::string& id, const std::string& prompt,
        size_t count, double promptTokens)
    {
        if (options.timePerToken.count())
            net::sleepFor(options.timePerToken * count);
        if (isCrashed) {
            exchange.startStream(500, {});
            return;
        }
        std::string text;
        for (size_t i = 0; i < count; ++i)
            text += generatedToken(prompt, i);
        json responseBody = { { "id", id },
            { "choices", json::array({ { { "index", 0 }, { "text", text }, { "finish_reason", "length" } } }) },
            { "usage", { { "prompt_tokens", promptTokens }, { "completion_tokens", count } } } };
        net::HttpResponse response = jsonResponse(responseBody);
        response.headers = responseHeaders("application/json", id);
        exchange.respond(std::move(response));
    }

    net::HttpResponse handleFaults(const json& body)
    {
        hangAfterTokens = body.value("silent_after", hangAfterTokens);
        cutAfterTokens = body.value("cut_after", cutAfterTokens);
        orderDelay = base::Millis(body.value("delay_orders_ms", orderDelay.count()));
        sendsForeignResponses = body.value("foreign_answers", sendsForeignResponses);
        options.timePerToken = base::Micros(body.value("token_us", options.timePerToken.count()));
        dribbleAfterTokens = body.value("dribble_after", dribbleAfterTokens);
        endlessAfterTokens = body.value("endless_after", endlessAfterTokens);
        sendsTrailingBytes = body.value("trailing", sendsTrailingBytes);
        return jsonResponse(json::object());
    }
};

EngineStandIn::EngineStandIn(net::Loop& loop, const EngineStandInOptions& options)
    : m_impl(std::make_shared<Impl>(loop, options))
{
}

EngineStandIn::~EngineStandIn() = default;

bool EngineStandIn::listen(base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl](net::HttpExchange& exchange) { impl->handleRequest(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    m_impl->server = net::httpServe(m_impl->loop, address, {}, std::move(events), error);
    if (m_impl->server)
        address = m_impl->server->address;
    return m_impl->server.has_value();
}

void EngineStandIn::crash()
{
    m_impl->isCrashed = true;
    stop();
}

void EngineStandIn::stop()
{
    m_impl->isStopped = true;
    m_impl->hangAfterTokens = -1;
    if (m_impl->server)
        m_impl->server->stopAccepting();
}

} // namespace rattanshunt::lab

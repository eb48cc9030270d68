#include "ReplicaStandIn.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

using Json = nlohmann::json;

namespace {
    constexpr base::Millis hangPollInterval { 10 };
    constexpr const char* seal = "seal-of-the-stand-in";
}

std::map<std::string, int> ReplicaHistory::executionsByRequest() const
{
    std::map<std::string, int> counts;
    for (const RequestExecution& execution : executions)
        ++counts[execution.requestId];
    return counts;
}

struct ReplicaStandIn::Impl : std::enable_shared_from_this<ReplicaStandIn::Impl> {
    net::Loop& loop;
    ReplicaStandInOptions options;
    ReplicaStandInFaults faults;
    ReplicaHistory history;
    std::optional<net::HttpServerHandle> server;
    std::set<std::string> loadedModels;
    std::set<std::string> loadedAdapters; // as MODEL/ADAPTER
    std::string loadingModel;
    int64_t ordersAccepted = 0;
    int64_t highestFencingToken = 0;
    int runningRequests = 0;
    std::map<std::string, int> runningByModel; // by MODEL or MODEL/ADAPTER
    int64_t startedAtMillis = 1700000000000;
    std::vector<std::pair<base::TimePoint, base::TimePoint>> drainPeriods;
    bool isStopped = false;
    bool isCrashed = false;
    std::string firstId;
    std::function<void()> onStarted;

    Impl(net::Loop& eventLoop, ReplicaStandInOptions replicaOptions)
        : loop(eventLoop)
        , options(std::move(replicaOptions))
        , loadedModels(options.loadedModels)
        , firstId(options.id)
    {
    }

    Json modelsJson() const
    {
        Json list = Json::array();
        for (const std::string& model : loadedModels) {
            Json adapters = Json::array();
            for (const std::string& adapter : loadedAdapters) {
                if (adapter.starts_with(model + "/"))
                    adapters.push_back(adapter.substr(model.size() + 1));
            }
            list.push_back({ { "name", model }, { "version", 1 }, { "adapters", adapters } });
        }
        return list;
    }

    void handleRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        if (request.target == "/rattanshunt/report") {
            Json disk = Json::array();
            for (auto& [model, size] : options.modelSizesMb)
                disk.push_back(model);
            exchange.respond({ 200, {},
                Json { { "stage", "combined" }, { "models", modelsJson() }, { "busy", !loadingModel.empty() },
                    { "sequence", ordersAccepted }, { "waiting", 0 }, { "running", runningRequests }, { "kvUsed", 0 },
                    { "kvTotal", 1000 }, { "born", startedAtMillis },
                    { "atHand", { { "inMemory", Json::array() }, { "onDisk", disk } } } }
                    .dump() });
            return;
        }
        if (request.target == "/rattanshunt/order") {
            handleOrder(exchange);
            return;
        }
        executeRequest(exchange);
    }

    // ---- Orders ------------------------------------------------------------------------------

    void handleOrder(net::HttpExchange& exchange)
    {
        Json order = Json::parse(exchange.request().body);
        if (faults.orderDelay.count()) {
            loop.spawn([this, order] {
                net::sleepFor(faults.orderDelay);
                executeOrder(order);
            });
            exchange.startStream(500, {}); // closes the connection without a response
            return;
        }
        int status = executeOrder(order);
        history.refusedOrderCount += status >= 400 ? 1 : 0;
        exchange.respond({ status, {}, "" });
    }

    int executeOrder(const Json& order)
    {
        int64_t token = order.at("fencingToken").get<int64_t>();
        if (token < highestFencingToken)
            return 412;
        highestFencingToken = token;
        if (!loadingModel.empty()
            || (order.contains("expected") && order.at("expected").get<int64_t>() != ordersAccepted))
            return 409;
        std::string model = order.at("model").get<std::string>();
        std::string adapter = order.value("adapter", "");
        bool isLoad = order.at("operation") == "load";
        history.acceptedOrders.push_back({ order.at("leaseHolder").get<std::string>(), token, base::Clock::now() });
        ++ordersAccepted;
        if (!adapter.empty()) {
            std::string name = model + "/" + adapter;
            if (!isLoad) {
                if (!runningByModel[name]) {
                    loadedAdapters.erase(name);
                    return 200;
                }
                loop.spawn([this, name] {
                    while (runningByModel[name] && !isStopped)
                        net::sleepFor(hangPollInterval);
                    loadedAdapters.erase(name);
                });
                return 202;
            }
            history.wasOvercommitted = history.wasOvercommitted || loadedAdapters.size() >= options.adapterSlots;
            loadedAdapters.insert(name);
            return 202;
        }
        if (!isLoad) {
            loadedModels.erase(model);
            std::erase_if(loadedAdapters, [&](const std::string& name) { return name.starts_with(model + "/"); });
            return 202;
        }
        double totalMb = options.modelSizesMb[model];
        for (const std::string& other : loadedModels)
            totalMb += options.modelSizesMb[other];
        history.wasOvercommitted = history.wasOvercommitted || totalMb > options.weightsMb;
        loadingModel = model;
        loop.spawn([this, start = startedAtMillis] {
            net::sleepFor(options.loadTime);
            if (start == startedAtMillis)
                loadedModels.insert(std::exchange(loadingModel, ""));
        });
        return 202;
    }

    // ---- Starting and crashing ---------------------------------------------------------------

    bool listen(const base::Address& address, std::string& error)
    {
        net::HttpServerEvents events;
        events.onRequest = [impl = shared_from_this()](net::HttpExchange& exchange) { impl->handleRequest(exchange); };
        events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
        auto started = net::httpServe(loop, address, {}, std::move(events), error);
        if (started)
            server = std::move(started);
        return started.has_value();
    }

    void forgetState()
    {
        loadedModels.clear();
        loadedAdapters.clear();
        loadingModel.clear();
        ordersAccepted = 0;
        highestFencingToken = 0;
        ++startedAtMillis;
    }

    void crash()
    {
        if (isCrashed || isStopped)
            return;
        isCrashed = true;
        history.crashes.push_back(base::Clock::now());
        server->stopAccepting();
        server->closeAll();
        forgetState();
        loop.spawn([this, self = shared_from_this()] {
            net::sleepFor(options.restartDelay);
            std::string error;
            if (isStopped || !listen(server->address, error))
                return;
            isCrashed = false;
            if (!options.keepsIdAtRestart)
                options.id = fmt::format("{}-{}", firstId, history.crashes.size());
            if (onStarted)
                onStarted();
        });
    }

    bool holdsCrashingPart(std::string_view promptPrefix) const
    {
        std::vector<std::string> parts = base::splitText(promptPrefix, ',');
        if (!parts.empty())
            parts.pop_back();
        return std::any_of(parts.begin(), parts.end(),
            [&](const std::string& part) { return faults.crashingParts.contains(part.substr(0, part.find(':'))); });
    }

    // ---- Requests ----------------------------------------------------------------------------

    ReplicaFault nextFault()
    {
        if (faults.remainingRequests == 0)
            return ReplicaFault::None;
        if (faults.remainingRequests > 0)
            --faults.remainingRequests;
        return faults.fault;
    }

    std::vector<net::HttpHeader> responseHeaders(const std::string& id) const
    {
        return { { "Request-Id", id }, { "Server-Seal", seal },
            { "Server-Load", fmt::format("{},0,{}", runningRequests, options.batchSlots) } };
    }

    void executeRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        std::string id(net::httpHeader(request.headers, "Request-Id"));
        std::string expected(net::httpHeader(request.headers, "Expect-Instance"));
        std::string model(net::httpHeader(request.headers, "Model"));
        std::string baseModel = model.substr(0, model.find('/'));
        bool isCrashing = holdsCrashingPart(net::httpHeader(request.headers, "Prompt-Prefix"));
        if (isCrashing)
            history.crashingArrivals.push_back(base::Clock::now());
        bool isLoaded = !options.isEngine
            || (loadedModels.contains(baseModel) && (baseModel == model || loadedAdapters.contains(model)));
        if ((!expected.empty() && expected != options.id) || !isLoaded) {
            exchange.respond({ 421, { { "Instance-Id", options.id } }, "" });
            return;
        }
        ReplicaFault fault = nextFault();
        if (fault == ReplicaFault::Refuse) {
            exchange.respond({ 503, { { "Not-Executed", "1" }, { "Request-Id", id } }, "" });
            return;
        }
        size_t executionIndex = history.executions.size();
        history.executions.push_back({ id, std::string(net::httpHeader(request.headers, "Tenant")), model,
            std::string(net::httpHeader(request.headers, "Last-Event-Id")),
            !net::httpHeader(request.headers, "Authorization").empty(), false, base::Clock::now(), {} });
        ++runningRequests;
        ++runningByModel[model];
        exchange.setDisconnectHandler(
            [this, executionIndex] { history.executions[executionIndex].wasDisconnected = true; });
        if (options.isEngine)
            respondStream(exchange, id, executionIndex, fault, isCrashing);
        else
            respondPlain(exchange, id, fault);
        --runningRequests;
        --runningByModel[model];
        history.executions[executionIndex].endedAt = base::Clock::now();
    }

    void waitForDisconnect(net::HttpExchange& exchange)
    {
        while (!isStopped && !exchange.isClientDisconnected())
            net::sleepFor(hangPollInterval);
    }

    void respondPlain(net::HttpExchange& exchange, const std::string& id, ReplicaFault fault)
    {
        net::sleepFor(options.processingTime);
        std::string body = "answer to " + id;
        switch (fault) {
        case ReplicaFault::Fail:
            exchange.respond({ 500, responseHeaders(id), "failed" });
            return;
        case ReplicaFault::LoseResponse:
            exchange.setDisconnectHandler(nullptr);
            exchange.startStream(500, {});
            return;
        case ReplicaFault::Truncate:
            exchange.startStream(200, responseHeaders(id));
            exchange.sendChunk(body.substr(0, 4));
            return;
        case ReplicaFault::ForeignResponse:
            exchange.respond({ 200, responseHeaders("ffffffffffffffff"), "answer to somebody else" });
            exchange.respond({ 200, responseHeaders(id), body });
            return;
        case ReplicaFault::NoSeal:
            exchange.respond({ 200, { { "Request-Id", id } }, body });
            return;
        case ReplicaFault::Hang:
            waitForDisconnect(exchange);
            return;
        case ReplicaFault::None:
        case ReplicaFault::Refuse:
        case ReplicaFault::CloseAfterHead:
            exchange.respond({ 200, responseHeaders(id), body });
            return;
        }
    }

    void respondStream(
        net::HttpExchange& exchange, const std::string& id, size_t executionIndex, ReplicaFault fault, bool isCrashing)
    {
        if (fault == ReplicaFault::Fail) {
            exchange.respond({ 500, responseHeaders(id), "failed" });
            return;
        }
        if (fault == ReplicaFault::Hang) {
            waitForDisconnect(exchange);
            return;
        }
        const std::string& last = history.executions[executionIndex].lastEventId;
        int first = last.empty() ? 1 : std::stoi(last) + 1;
        auto streamHeaders = responseHeaders(id);
        streamHeaders.push_back({ "Content-Type", "text/event-stream" });
        if (fault == ReplicaFault::LoseResponse || !exchange.startStream(200, streamHeaders)
            || fault == ReplicaFault::CloseAfterHead)
            return;
        if (isCrashing) {
            net::sleepFor(options.crashDelay);
            crash();
            return;
        }
        for (int event = first; event <= options.eventsPerStream; ++event) {
            net::sleepFor(options.processingTime);
            std::string text = fmt::format("id: {}\ndata: piece {}\n\n", event, event);
            if (fault == ReplicaFault::Truncate && event > faults.truncateAfterEvents) {
                exchange.sendChunk(text.substr(0, text.size() / 2));
                return;
            }
            if (!exchange.sendChunk(text))
                return;
        }
        exchange.finishStream();
    }
};

ReplicaStandIn::ReplicaStandIn(net::Loop& loop, ReplicaStandInOptions options)
    : m_impl(std::make_shared<Impl>(loop, std::move(options)))
{
}

ReplicaStandIn::~ReplicaStandIn() = default;

bool ReplicaStandIn::listen(std::string& error)
{
    return m_impl->listen({ "127.0.0.1", 0 }, error);
}

void ReplicaStandIn::stop()
{
    m_impl->isStopped = true;
    m_impl->server->stopAccepting();
    m_impl->server->closeAll();
}

std::string ReplicaStandIn::entry(bool isDraining, std::optional<base::Address> advertisedAddress)
{
    auto& drainPeriods = m_impl->drainPeriods;
    bool isLeaving = !drainPeriods.empty() && drainPeriods.back().second == base::timeNever;
    if (isDraining && !isLeaving)
        drainPeriods.emplace_back(base::Clock::now(), base::timeNever);
    if (!isDraining && isLeaving)
        drainPeriods.back().second = base::Clock::now();
    return Json {
        { "service", m_impl->options.service },
        { "address", base::formatAddress(advertisedAddress.value_or(address())) },
        { "zone", m_impl->options.dataCenter }, { "version", "v1" }, { "slots", m_impl->options.batchSlots },
        { "state", isDraining ? "draining" : "ready" }, { "coldLeftMs", 0 }, { "models", m_impl->modelsJson() },
        { "sequence", 1 }, { "born", m_impl->startedAtMillis }
    }.dump();
}

void ReplicaStandIn::restart()
{
    m_impl->forgetState();
}

void ReplicaStandIn::crash()
{
    m_impl->crash();
}
void ReplicaStandIn::setOnStarted(std::function<void()> onStarted)
{
    m_impl->onStarted = std::move(onStarted);
}
const std::string& ReplicaStandIn::id() const
{
    return m_impl->options.id;
}

base::Address ReplicaStandIn::address() const
{
    return m_impl->server->address;
}
void ReplicaStandIn::setProcessingTime(base::Millis time)
{
    m_impl->options.processingTime = time;
}
ReplicaStandInFaults& ReplicaStandIn::faults()
{
    return m_impl->faults;
}
const ReplicaHistory& ReplicaStandIn::history() const
{
    return m_impl->history;
}
const std::vector<std::pair<base::TimePoint, base::TimePoint>>& ReplicaStandIn::drainPeriods() const
{
    return m_impl->drainPeriods;
}
const std::set<std::string>& ReplicaStandIn::loadedModels() const
{
    return m_impl->loadedModels;
}

} // namespace rattanshunt::lab

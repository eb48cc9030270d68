// Internal to ReplicaStandIn: the state of a replica and the requests that it serves. Orders, starts and crashes are
// in ReplicaStandInOrders.cpp.
#pragma once

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ReplicaStandIn.h"

namespace rattanshunt::lab {

constexpr base::Millis replicaPollInterval { 10 };
constexpr const char* replicaSeal = "seal-of-the-stand-in";

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
    std::vector<base::TimePoint> refusedAt; // of a brittle replica: for want of room, within a second
    int responseCount = 0;
    int statementCount = 0;
    int64_t entrySequence = 0;                 // of the entries that this process has written
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

    nlohmann::json modelsJson() const
    {
        nlohmann::json list = nlohmann::json::array();
        for (const std::string& model : loadedModels) {
            nlohmann::json adapters = nlohmann::json::array();
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
        std::string requestId(net::httpHeader(request.headers, "Request-Id"));
        history.arrivals.push_back({ base::Clock::now(), requestId, {}, {}, {} });
        if (request.target == "/rattanshunt/report") {
            nlohmann::json disk = nlohmann::json::array();
            for (auto& [model, size] : options.modelSizesMb)
                disk.push_back(model);
            exchange.respond({ 200, faults.namesLimitInReports ? limitHeaders("") : std::vector<net::HttpHeader> {},
                nlohmann::json { { "stage", "combined" }, { "models", modelsJson() }, { "busy", !loadingModel.empty() },
                    { "sequence", ordersAccepted }, { "waiting", 0 }, { "running", runningRequests }, { "kvUsed", 0 },
                    { "kvTotal", 1000 }, { "born", startedAtMillis },
                    { "atHand", { { "inMemory", nlohmann::json::array() }, { "onDisk", disk } } } }
                    .dump() });
            return;
        }
        if (request.target == "/rattanshunt/order") {
            handleOrder(exchange);
            return;
        }
        executeRequest(exchange);
    }

    // -- orders --
    void handleOrder(net::HttpExchange&);
    int executeOrder(const nlohmann::json& order);

    // -- starting and crashing --
    bool listen(const base::Address&, std::string& error);
    void forgetState();
    void crash(const std::string& part);

    // ---- Requests ----------------------------------------------------------------------------

    // The first crashing part of a prompt, its last part excepted; empty if there is none.
    std::string findCrashingPart(std::string_view promptPrefix) const
    {
        std::vector<std::string> parts = base::splitText(promptPrefix, ',');
        for (size_t i = 0; i + 1 < parts.size(); ++i) {
            std::string part = parts[i].substr(0, parts[i].find(':'));
            if (faults.crashingParts.contains(part))
                return part;
        }
        return {};
    }

    // Of a brittle replica: whether one refusal more, for want of room, is too many in a second.
    bool endsByRefusal()
    {
        if (!faults.brittleRefusals)
            return false;
        base::TimePoint now = base::Clock::now();
        refusedAt.push_back(now);
        std::erase_if(refusedAt, [now](base::TimePoint at) { return now - at >= base::Seconds(1); });
        return refusedAt.size() > static_cast<size_t>(faults.brittleRefusals);
    }

    ReplicaFault nextFault()
    {
        if (faults.maxRunning && runningRequests >= faults.maxRunning)
            return ReplicaFault::Refuse;
        if (faults.remainingRequests == 0)
            return ReplicaFault::None;
        if (faults.remainingRequests > 0)
            --faults.remainingRequests;
        return faults.fault;
    }

    // The limits that the next response names. Records that it names them.
    std::vector<net::HttpHeader> limitHeaders(const std::string& requestId)
    {
        std::vector<net::HttpHeader> headers;
        if (faults.namedLimits.empty() || ++responseCount % faults.namesLimitEveryNth != 0)
            return headers;
        for (const std::string& limit : faults.namedLimits)
            headers.push_back({ "Server-Limit", limit });
        for (ReplicaArrival& arrival : history.arrivals) {
            if (!requestId.empty() && arrival.requestId == requestId)
                arrival.namedAt = base::Clock::now();
        }
        return headers;
    }

    ReplicaArrival* arrivalOf(const std::string& requestId)
    {
        for (auto arrival = history.arrivals.rbegin(); arrival != history.arrivals.rend(); ++arrival) {
            if (arrival->requestId == requestId)
                return &*arrival;
        }
        return nullptr;
    }

    int64_t coldLeftMillis() const
    {
        auto left = faults.coldUntil.value_or(base::TimePoint {}) - base::Clock::now();
        return faults.coldUntil ? std::max<int64_t>(0, base::millisOf(left)) : 0;
    }

    // What the next response says of the replica itself. Records it.
    std::vector<net::HttpHeader> statementHeaders(const std::string& requestId, bool isRefusal)
    {
        std::vector<net::HttpHeader> headers;
        if (faults.brittleRefusals)
            headers.push_back({ "Server-Brittle", std::to_string(faults.brittleRefusals) });
        ReplicaArrival* arrival = arrivalOf(requestId);
        if (faults.saysLeavingEveryNth && ++statementCount % faults.saysLeavingEveryNth == 0) {
            headers.push_back({ "Server-Leaving", "1" });
            if (arrival)
                arrival->leavingSaidAt = base::Clock::now();
        }
        if (faults.saysColdInResponses)
            headers.push_back({ "Cold-Ms", std::to_string(coldLeftMillis()) });
        for (const std::string& time : faults.quietTimes) {
            if (!isRefusal)
                continue;
            headers.push_back({ "Retry-After", time });
            if (arrival)
                arrival->quietSaidAt = base::Clock::now();
        }
        return headers;
    }

    std::vector<net::HttpHeader> responseHeaders(const std::string& id)
    {
        std::vector<net::HttpHeader> headers { { "Request-Id", id }, { "Server-Seal", replicaSeal },
            { "Server-Load", fmt::format("{},0,{}", runningRequests, options.batchSlots) } };
        for (net::HttpHeader& limit : limitHeaders(id))
            headers.push_back(std::move(limit));
        for (net::HttpHeader& statement : statementHeaders(id, false))
            headers.push_back(std::move(statement));
        return headers;
    }

    void executeRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        std::string id(net::httpHeader(request.headers, "Request-Id"));
        std::string expected(net::httpHeader(request.headers, "Expect-Instance"));
        std::string model(net::httpHeader(request.headers, "Model"));
        std::string baseModel = model.substr(0, model.find('/'));
        std::string crashingPart = findCrashingPart(net::httpHeader(request.headers, "Prompt-Prefix"));
        if (!crashingPart.empty())
            history.crashingArrivals.push_back({ base::Clock::now(), crashingPart });
        if (faults.crashingBodies.contains(request.body))
            history.crashingArrivals.push_back({ base::Clock::now(), request.body });
        bool isLoaded = !options.isEngine
            || (loadedModels.contains(baseModel) && (baseModel == model || loadedAdapters.contains(model)));
        if ((!expected.empty() && expected != options.id) || !isLoaded) {
            exchange.respond({ 421, { { "Instance-Id", options.id } }, "" });
            return;
        }
        ReplicaFault fault = nextFault();
        if (fault == ReplicaFault::Refuse) {
            std::vector<net::HttpHeader> headers = limitHeaders(id);
            for (net::HttpHeader& statement : statementHeaders(id, true))
                headers.push_back(std::move(statement));
            headers.push_back({ "Not-Executed", "1" });
            headers.push_back({ "Request-Id", id });
            exchange.respond({ 503, headers, "" });
            if (endsByRefusal())
                crash("");
            return;
        }
        size_t executionIndex = history.executions.size();
        history.executions.push_back({ requestKey(request), std::string(net::httpHeader(request.headers, "Tenant")),
            model, std::string(net::httpHeader(request.headers, "Last-Event-Id")),
            !net::httpHeader(request.headers, "Authorization").empty(), false, base::Clock::now(), {} });
        ++runningRequests;
        ++runningByModel[model];
        exchange.setDisconnectHandler(
            [this, executionIndex] { history.executions[executionIndex].wasDisconnected = true; });
        if (options.isEngine)
            respondStream(exchange, id, executionIndex, fault, crashingPart);
        else
            respondPlain(exchange, id, fault);
        --runningRequests;
        --runningByModel[model];
        history.executions[executionIndex].endedAt = base::Clock::now();
    }

    void waitForDisconnect(net::HttpExchange& exchange)
    {
        while (!isStopped && !exchange.isClientDisconnected())
            net::sleepFor(replicaPollInterval);
    }

    void respondPlain(net::HttpExchange& exchange, const std::string& id, ReplicaFault fault)
    {
        net::sleepFor(options.processingTime);
        if (faults.crashingBodies.contains(exchange.request().body))
            return crash(exchange.request().body);
        std::string body = "answer to " + requestKey(exchange.request());
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

    void respondStream(net::HttpExchange& exchange, const std::string& id, size_t executionIndex, ReplicaFault fault,
        const std::string& crashingPart)
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
        for (int event = first; event <= options.eventsPerStream; ++event) {
            if (!crashingPart.empty() && event - first >= faults.eventsBeforeCrash) {
                net::sleepFor(options.crashDelay);
                crash(crashingPart);
                return;
            }
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

} // namespace rattanshunt::lab

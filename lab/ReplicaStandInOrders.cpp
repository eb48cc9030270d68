// What a simulated replica does on orders, and how it starts and crashes.
#include "ReplicaStandInImpl.h"

namespace rattanshunt::lab {

using Json = nlohmann::json;

void ReplicaStandIn::Impl::handleOrder(net::HttpExchange& exchange)
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

int ReplicaStandIn::Impl::executeOrder(const Json& order)
{
    int64_t token = order.at("fencingToken").get<int64_t>();
    if (token < highestFencingToken)
        return 412;
    highestFencingToken = token;
    if (!loadingModel.empty() || (order.contains("expected") && order.at("expected").get<int64_t>() != ordersAccepted))
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
                    net::sleepFor(replicaPollInterval);
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

bool ReplicaStandIn::Impl::listen(const base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = shared_from_this()](net::HttpExchange& exchange) { impl->handleRequest(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    auto started = net::httpServe(loop, address, {}, std::move(events), error);
    if (!started)
        return false;
    server = std::move(started);
    return true;
}

void ReplicaStandIn::Impl::forgetState()
{
    loadedModels.clear();
    loadedAdapters.clear();
    loadingModel.clear();
    ordersAccepted = 0;
    highestFencingToken = 0;
    entrySequence = 0;
    ++startedAtMillis;
}

void ReplicaStandIn::Impl::crash(const std::string& part)
{
    if (isCrashed || isStopped)
        return;
    isCrashed = true;
    history.crashes.push_back({ base::Clock::now(), part });
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

} // namespace rattanshunt::lab

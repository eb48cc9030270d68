#include "GatewayFleet.h"

#include <fmt/format.h>

#include "platform/PlatformCodec.h"

namespace rattanshunt::lab {

namespace {
    constexpr base::Millis readyPollInterval { 10 };
    constexpr base::Seconds readyTimeout { 10 };
    constexpr int64_t requestDeadlineMs = 6000; // sent in the Deadline-Ms header

    net::ConnectOptions connectOptions(ReplicaLinks* links)
    {
        net::ConnectOptions options;
        if (links)
            options.dialAddress = [links](const base::Address& replica) { return links->dialAddress(replica); };
        return options;
    }
}

LabGateway::LabGateway(net::Loop& loop, const base::Address& address, const std::string& name,
    const gateway::GatewayOptions& gatewayOptions, const hub::HubSyncOptions& hubSyncOptions,
    std::unique_ptr<ReplicaLinks> links)
    : codec(platform::wireCodecCreate())
    , store(loop, { address, base::Millis(400) })
    , replicaLinks(std::move(links))
    , hubSync(
          loop,
          [&] {
              hub::HubSyncOptions options = hubSyncOptions;
              options.name = name;
              options.peerAddress = { "127.0.0.1", 0 };
              return options;
          }(),
          codec, store)
    , dialer(loop, { connectOptions(replicaLinks.get()), {} }, hubSync)
    , gateway(
          loop,
          [&] {
              gateway::GatewayOptions options = gatewayOptions;
              options.connections.connect = connectOptions(replicaLinks.get());
              return options;
          }(),
          codec, hubSync, dialer)
    , placer(loop, {}, hubSync, codec, dialer)
{
}

GatewayFleet::GatewayFleet(net::Loop& loop)
    : m_loop(loop)
    , m_store(loop)
{
    std::string error;
    m_store.listen(error);
    m_store.put("rs/secret", "secret-of-the-test-fleet");
    m_store.put("rs/fleet", R"({"members":2})");
    hubSyncOptions.dataCenter = "dc-1";
    hubSyncOptions.orderHandoverDelay = base::Millis(300);
    hubSyncOptions.leaseTtl = base::Millis(1000);
    hubSyncOptions.quotaSlack = 0;
    hubSyncOptions.entryInterval = base::Millis(500);
}

GatewayFleet::~GatewayFleet() = default;

ReplicaStandIn& GatewayFleet::addReplica(ReplicaStandInOptions options)
{
    std::string id = options.id;
    auto replica = std::make_unique<ReplicaStandIn>(m_loop, std::move(options));
    std::string error;
    replica->listen(error);
    ReplicaStandIn& added = *replica;
    added.setOnStarted([this, &added] { publishEntry(added); });
    m_replicas.emplace_back(id, std::move(replica));
    publishEntry(added);
    return added;
}

LabGateway& GatewayFleet::addGateway(const std::string& name, std::optional<base::Address> store)
{
    m_gateways.push_back(std::make_unique<LabGateway>(m_loop, store.value_or(m_store.address()), name, gatewayOptions,
        hubSyncOptions, hasReplicaLinks ? std::make_unique<ReplicaLinks>(m_loop) : nullptr));
    LabGateway& gateway = *m_gateways.back();
    std::string error;
    gateway.gateway.listen({ "127.0.0.1", 0 }, error);
    gateway.hubSync.start();
    gateway.placer.start();
    return gateway;
}

void GatewayFleet::publishEntry(ReplicaStandIn& replica, bool isDraining)
{
    for (auto& [id, candidate] : m_replicas) {
        if (candidate.get() != &replica)
            continue;
        if (id != replica.id())
            m_store.remove("servers/" + id);
        id = replica.id();
        m_store.put("servers/" + id, replica.entry(isDraining));
    }
}

void GatewayFleet::removeEntry(ReplicaStandIn& replica)
{
    for (auto& [id, candidate] : m_replicas) {
        if (candidate.get() == &replica)
            m_store.remove("servers/" + id);
    }
}

void GatewayFleet::configure(const std::string& json)
{
    m_store.put("op/config", json);
}

void GatewayFleet::kill(LabGateway& gateway)
{
    auto killed
        = std::find_if(m_gateways.begin(), m_gateways.end(), [&](const auto& each) { return each.get() == &gateway; });
    m_killedGateways.push_back(std::move(*killed));
    m_gateways.erase(killed);
    gateway.placer.stop();
    gateway.dialer.stop();
    gateway.gateway.beginDrain(); // ends its fibers; its callers are cut off below
    gateway.gateway.stopAccepting();
    gateway.gateway.closeAll();
    if (gateway.hubSync.isHub())
        gateway.hubSync.resign("killed"); // leaves the lease to expire
    gateway.hubSync.stop();
    if (gateway.replicaLinks)
        gateway.replicaLinks->stop();
}

bool GatewayFleet::waitReady()
{
    base::TimePoint deadline = base::Clock::now() + readyTimeout;
    auto isReady = [&] {
        for (auto& gateway : m_gateways) {
            if (!gateway->gateway.hasFreshConfiguration(base::BootClock::now()) || !gateway->hubSync.hasHub()
                || gateway->hubSync.directory().replicas.size() < m_replicas.size())
                return false;
        }
        return true;
    };
    while (!isReady()) {
        if (base::Clock::now() > deadline)
            return false;
        net::sleepFor(readyPollInterval);
    }
    return true;
}

void GatewayFleet::stop()
{
    for (auto& gateway : m_gateways) {
        gateway->placer.stop();
        gateway->gateway.beginDrain();
        gateway->gateway.stopAccepting();
        gateway->gateway.closeAll();
        gateway->dialer.stop();
        gateway->hubSync.stop();
        if (gateway->replicaLinks)
            gateway->replicaLinks->stop();
    }
    for (auto& [id, replica] : m_replicas)
        replica->stop();
    m_store.stop();
    // Fibers that refer to the gateways notice the stop at their next poll; wait for the longest poll interval.
    net::sleepFor(base::Millis(1500));
}

CallerResponse GatewayFleet::call(LabGateway& gateway, net::HttpRequest request, base::Millis disconnectAfter)
{
    auto connection = net::HttpConnection::create(m_loop, gateway.gateway.address());
    base::TimePoint startedAt = base::Clock::now();
    net::HttpResult result = net::httpCall(*connection, request, startedAt + disconnectAfter);
    return { result.error, result.response.status, result.response.body, result.response.headers,
        base::Clock::now() - startedAt };
}

std::string labConfiguration(int version, double rate, double burst, const std::string& keys)
{
    auto route = [](const char* name, const char* routeType, const char* service, const char* extraFields) {
        return fmt::format(R"({{"name":"{0}","host":"a.example","prefix":"/{0}/","routeType":"{1}","timeoutMs":5000,)"
                           R"("targetLatencyMs":500,"priority":1,"service":"{2}","maxAttempts":2{3}}})",
            name, routeType, service, extraFields);
    };
    std::string models;
    for (const char* model : { "m1", "m2", "m3" })
        models += fmt::format(R"({}{{"name":"{}","weightsMb":40,"loadS":0.2,"diskS":0.05,"warmS":0.05,"adapters":4,)"
                              R"("adapterMb":1}})",
            models.empty() ? "" : ",", model);
    return fmt::format(
        R"({{"version":{},"routes":[{},{},{},{},{}],"services":[{{"name":"plain","healthPath":"/health",)"
        R"("maxConnections":50}},{{"name":"engine","healthPath":"/health","maxConnections":50,"engine":)"
        R"({{"slots":8,"kvCapacity":1000,"weightsMb":100,"adapterSlots":2,"loadsPerS":5,"models":[{}]}}}}],)"
        R"("tenants":[{{"name":"acme","apiKeys":[{}],"unit":"tokens","plainTokens":10,"ratePerS":{},)"
        R"("burst":{}}}]}})",
        version, route("safe", "safe", "plain", ""), route("once", "unsafe", "plain", ""),
        route("stream", "stream", "engine", R"(,"resumable":true,"targetGapMs":200)"),
        route("single", "stream", "engine", R"(,"targetGapMs":200)"),
        route("open", "safe", "plain", R"(,"public":true)"), models, keys, rate, burst);
}

net::HttpRequest labRequest(const std::string& path, const std::string& id, const std::string& model,
    const std::string& key, const std::string& promptPrefix)
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.headers
        = { { "Host", "a.example" }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(requestDeadlineMs) } };
    if (!key.empty())
        request.headers.push_back({ "Authorization", "Token " + key });
    if (!model.empty()) {
        request.headers.push_back({ "Model", model });
        request.headers.push_back({ "Token-Count", "60,40" });
        request.headers.push_back({ "Prompt-Prefix", promptPrefix });
    }
    request.body = "body of " + id;
    return request;
}

} // namespace rattanshunt::lab

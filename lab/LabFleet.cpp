#include "LabFleet.h"

namespace rattanshunt::lab {

using nlohmann::json;

namespace {
    constexpr base::Millis conditionPollInterval { 10 };
    constexpr const char* labFleetSecret = "a-secret-for-loopback-only";
}

// The thread that runs all stand-ins.
struct LabFleet::StandInThread {
    net::Loop loop;
    std::thread thread;
    net::Event stopRequested;
    std::unique_ptr<PlatformStandIn> platform;
    std::map<std::string, std::unique_ptr<EngineStandIn>> engines;
    std::map<std::string, std::unique_ptr<ServiceStandIn>> services;
    std::map<std::string, base::Address> addresses;
    std::atomic<bool> isRunning { false };

    void start()
    {
        thread = std::thread([this] {
            loop.run([this] {
                isRunning = true;
                stopRequested.waitUntil();
                if (platform)
                    platform->stop();
                for (auto& [id, engine] : engines) {
                    if (engine)
                        engine->stop();
                }
                for (auto& [name, service] : services)
                    service->stop();
            });
            // Connections that hang in an injected fault keep their fibers alive; these end when the process does.
        });
        while (!isRunning)
            std::this_thread::yield();
    }
};

struct LabFleet::DaemonState {
    size_t number = 0;
    std::unique_ptr<cli::Daemon> daemon;
    cli::DaemonAddresses addresses;
    bool isRunning = false;
};

settings::Settings labSettings()
{
    settings::Settings settings;
    settings.fleetSecret = labFleetSecret;
    settings.sessionTimeToLive = base::Seconds(2);
    settings.headCheckInterval = base::Millis(200);
    settings.freshnessLimit = base::Millis(2500);
    settings.drainDelay = base::Millis(200);
    settings.stopTimeout = base::Seconds(20);
    settings.streamTimeout = base::Millis(500);
    settings.firstTokenTimeout = base::Millis(2000);
    settings.defaultDeadline = base::Millis(20000);
    return settings;
}

LabFleet::LabFleet(net::Loop& loop, FleetPlan plan)
    : m_loop(loop)
    , m_plan(std::move(plan))
    , m_standInThread(std::make_unique<StandInThread>())
{
}

LabFleet::~LabFleet()
{
    for (auto& [name, state] : m_daemons) {
        if (state.daemon) {
            state.daemon->thaw();
            state.daemon->requestStop(false);
        }
    }
    for (auto& [name, state] : m_daemons) {
        if (state.daemon)
            state.daemon->join();
    }
    m_standInThread->loop.post([this] { m_standInThread->stopRequested.set(); });
    if (m_standInThread->thread.joinable())
        m_standInThread->thread.join();
}

bool LabFleet::start(base::Duration limit)
{
    m_standInThread->start();
    bool isStarted = true;
    net::runOn(m_standInThread->loop, [&] {
        std::string error;
        m_standInThread->platform = std::make_unique<PlatformStandIn>(m_standInThread->loop, m_plan.platform);
        m_platformAddress = m_plan.platform.listen;
        isStarted = m_standInThread->platform->listen(m_platformAddress, error);
        for (EnginePlan& plan : m_plan.engines) {
            plan.options.bootId = plan.options.id + "-boot-1";
            plan.options.platformAddress = base::formatAddress(m_platformAddress);
            auto engine = std::make_unique<EngineStandIn>(m_standInThread->loop, plan.options);
            isStarted
                = isStarted && engine->listen(m_standInThread->addresses[plan.options.id] = plan.options.listen, error);
            m_standInThread->engines[plan.options.id] = std::move(engine);
        }
        for (auto& [name, pool] : m_plan.servicePools) {
            auto service = std::make_unique<ServiceStandIn>(m_standInThread->loop);
            base::Address address { "127.0.0.1", 0 };
            isStarted = isStarted && service->listen(address, error);
            m_standInThread->addresses[name] = address;
            m_standInThread->services[name] = std::move(service);
        }
    });
    for (const EnginePlan& plan : m_plan.engines)
        registerInstance({ plan.options.id, plan.pool, m_standInThread->addresses[plan.options.id], plan.dataCenter,
            plan.options.bootId, coordination::InstanceState::Live, plan.options.memoryBytes,
            plan.options.checksFencing });
    for (auto& [name, pool] : m_plan.servicePools)
        registerInstance({ name, pool, m_standInThread->addresses[name], "dc-1", name + "-boot-1",
            coordination::InstanceState::Live, 0, false });
    for (size_t i = 1; i <= m_plan.daemonCount; ++i)
        startDaemon(fmt::format("d{}", i));
    base::TimePoint deadline = base::Clock::now() + limit;
    for (size_t i = 1; i <= m_plan.daemonCount; ++i) {
        std::string name = fmt::format("d{}", i);
        isStarted = isStarted && waitReady(name, deadline - base::Clock::now());
        isStarted = isStarted && waitUntil([&] { return hasListedEndpoints(name); }, deadline - base::Clock::now());
    }
    return isStarted;
}

bool LabFleet::hasListedEndpoints(const std::string& daemon)
{
    json state = json::parse(adminCall(daemon, "GET", "/api/v1/state").body, nullptr, false);
    return state.is_object()
        && state.value("instances_listed", size_t { 0 }) >= m_plan.engines.size() + m_plan.servicePools.size();
}

settings::Settings LabFleet::daemonSettings(const std::string& name, size_t number) const
{
    settings::Settings settings = m_plan.settings;
    settings.name = name;
    settings.instanceId = name;
    settings.dataCenter = fmt::format("dc-{}", (number - 1) % m_plan.dataCenterCount + 1);
    settings.platformAddresses = { m_platformAddress };
    settings.clientListen = settings.peerListen = settings.adminListen = { "127.0.0.1", 0 };
    for (auto& [other, state] : m_daemons) {
        if (other != name && state.isRunning)
            settings.seedPeers.push_back(state.addresses.peer);
    }
    return settings;
}

void LabFleet::startDaemon(const std::string& name)
{
    DaemonState& state = m_daemons[name];
    state.number = static_cast<size_t>(std::max(std::atoi(name.c_str() + 1), 1));
    settings::Settings settings = daemonSettings(name, state.number);
    // A restarted daemon keeps its addresses, like an instance with a fixed address.
    if (state.addresses.peer.port) {
        settings.peerListen = state.addresses.peer;
        settings.adminListen = state.addresses.admin;
        settings.clientListen = state.addresses.client;
    }
    state.daemon = std::make_unique<cli::Daemon>(settings);
    state.daemon->start();
    state.daemon->waitListening(base::Seconds(10));
    state.addresses = state.daemon->addresses();
    state.isRunning = true;
}

bool LabFleet::waitReady(const std::string& name, base::Duration limit)
{
    return waitUntil([&] { return m_daemons[name].daemon->waitReady(base::Duration::zero()); }, limit);
}

void LabFleet::kill(const std::string& name)
{
    DaemonState& state = m_daemons[name];
    state.daemon->thaw();
    state.daemon->requestStop(false);
    state.daemon->join();
    state.isRunning = false;
}

void LabFleet::freeze(const std::string& name)
{
    m_daemons[name].daemon->freeze();
}
void LabFleet::thaw(const std::string& name)
{
    m_daemons[name].daemon->thaw();
}

int LabFleet::stopGracefully(const std::string& name)
{
    DaemonState& state = m_daemons[name];
    state.daemon->requestStop(true);
    int code = -1;
    std::atomic<bool> isDone { false };
    std::thread waiter([&] {
        code = state.daemon->join();
        isDone = true;
    });
    while (!isDone)
        net::sleepFor(conditionPollInterval);
    waiter.join();
    state.isRunning = false;
    return code;
}

void LabFleet::listAsGone(const std::string& name)
{
    registerInstance(
        { name, "entry", m_daemons[name].addresses.peer, "dc-1", name, coordination::InstanceState::Gone, 0, false });
}

std::vector<std::string> LabFleet::runningDaemons() const
{
    std::vector<std::string> names;
    for (auto& [name, state] : m_daemons) {
        if (state.isRunning)
            names.push_back(name);
    }
    return names;
}

cli::DaemonAddresses LabFleet::addresses(const std::string& name) const
{
    return m_daemons.at(name).addresses;
}

net::HttpResponse LabFleet::call(const base::Address& address, const net::HttpRequest& request, base::Duration limit)
{
    auto connection = net::HttpConnection::create(m_loop, address);
    net::HttpResult result = net::httpCall(*connection, request, base::Clock::now() + limit);
    if (result.error != net::HttpCallError::None)
        return { 0, {}, net::httpCallErrorName(result.error) };
    return std::move(result.response);
}

void LabFleet::registerInstance(const coordination::Instance& instance)
{
    m_instances[instance.id] = instance;
    call(m_platformAddress, { "PUT", "/instances", {}, coordination::instanceToJson(instance).dump() });
}

void LabFleet::setPlatformFaults(const json& fault)
{
    call(m_platformAddress, { "POST", "/faults", {}, fault.dump() });
}

void LabFleet::setEngineFaults(const std::string& id, const json& fault)
{
    call(m_standInThread->addresses.at(id), { "POST", "/faults", {}, fault.dump() });
}

void LabFleet::setServiceFaults(const std::string& name, const json& fault)
{
    setEngineFaults(name, fault);
}

void LabFleet::setEngineState(const std::string& id, coordination::InstanceState state)
{
    coordination::Instance instance = m_instances.at(id);
    instance.state = state;
    registerInstance(instance);
}

void LabFleet::evict(const std::string& id)
{
    net::runOn(m_standInThread->loop, [&] { m_standInThread->engines.at(id)->crash(); });
    setEngineState(id, coordination::InstanceState::Gone);
}

void LabFleet::restartEngine(const std::string& id)
{
    auto plan = std::find_if(
        m_plan.engines.begin(), m_plan.engines.end(), [&](EnginePlan& item) { return item.options.id == id; });
    plan->options.bootId += "x";
    net::runOn(m_standInThread->loop, [&] {
        m_standInThread->engines.at(id)->crash();
        auto engine = std::make_unique<EngineStandIn>(m_standInThread->loop, plan->options);
        std::string error;
        base::Address address = m_standInThread->addresses.at(id);
        engine->listen(address, error);
        m_standInThread->engines[id] = std::move(engine);
    });
    coordination::Instance instance = m_instances.at(id);
    instance.bootId = plan->options.bootId;
    instance.state = coordination::InstanceState::Live;
    registerInstance(instance);
}

json LabFleet::engineState(const std::string& id)
{
    json state = json::parse(call(m_standInThread->addresses.at(id), { "GET", "/state", {}, "" }).body, nullptr, false);
    return state.is_object() ? state : json::object();
}

std::vector<std::string> LabFleet::engineIds() const
{
    std::vector<std::string> ids;
    for (const EnginePlan& plan : m_plan.engines)
        ids.push_back(plan.options.id);
    return ids;
}

std::map<std::string, int> LabFleet::serviceRunCounts()
{
    std::map<std::string, int> runs;
    for (auto& [name, pool] : m_plan.servicePools) {
        json response
            = json::parse(call(m_standInThread->addresses.at(name), { "GET", "/runs", {}, "" }).body, nullptr, false);
        if (!response.is_object())
            continue;
        for (auto& [callId, count] : response["runs"].items())
            runs[callId] += count.get<int>();
    }
    return runs;
}

bool LabFleet::hasEndpointReceivedKey()
{
    bool sawKey = false;
    for (const std::string& id : engineIds())
        sawKey = sawKey || engineState(id).value("saw_key", false);
    for (auto& [name, pool] : m_plan.servicePools) {
        json response
            = json::parse(call(m_standInThread->addresses.at(name), { "GET", "/runs", {}, "" }).body, nullptr, false);
        sawKey = sawKey || (response.is_object() && response.value("saw_key", false));
    }
    return sawKey;
}

std::map<std::string, base::Address> LabFleet::standInAddresses() const
{
    auto addresses = m_standInThread->addresses;
    addresses["platform"] = m_platformAddress;
    return addresses;
}

json LabFleet::platformCallCounts()
{
    return json::parse(call(m_platformAddress, { "GET", "/calls", {}, "" }).body, nullptr, false);
}

net::HttpResponse LabFleet::adminCall(
    const std::string& daemon, const std::string& method, const std::string& target, const json& body)
{
    return call(addresses(daemon).admin, { method, target, {}, body.is_null() ? "" : body.dump() }, base::Seconds(15));
}

std::string LabFleet::createKey(const std::string& daemon, const std::string& name, const std::string& account)
{
    net::HttpResponse response
        = adminCall(daemon, "POST", "/api/v1/key/" + name + "/create", { { "account", account } });
    json body = json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("secret", "") : "";
}

bool LabFleet::waitUntil(const std::function<bool()>& condition, base::Duration limit)
{
    base::TimePoint deadline = base::Clock::now() + limit;
    while (!condition()) {
        if (base::Clock::now() >= deadline)
            return false;
        net::sleepFor(conditionPollInterval);
    }
    return true;
}

} // namespace rattanshunt::lab

#include "EngineReplica.h"

namespace review {

namespace {
    constexpr Millis beatInterval { 1200 };
    constexpr int silentBeats = 3; // after which the store drops an entry
    constexpr Millis reportLag { 100 };
    constexpr Millis unloadTime { 50 };
}

EngineReplica::EngineReplica(EngineOptions options, Store& store, Record& record)
    : m_options(std::move(options))
    , m_store(store)
    , m_record(record)
{
    m_state.loaded = m_options.loaded;
    m_ticker = std::thread([this] {
        while (!m_isStopped) {
            tick();
            sleepFor(reportLag);
        }
    });
}

EngineReplica::~EngineReplica()
{
    m_isStopped = true;
    m_ticker.join();
    if (m_server)
        m_server->stop();
}

void EngineReplica::start()
{
    auto server = std::make_shared<Server>(
        [this](const Request& request, Connection& connection) { return handle(request, connection); });
    std::lock_guard lock(m_mutex);
    m_bornMillis = unixMillis();
    ++m_life;
    m_beats = 0;
    m_server = server;
    m_reported = m_state;
    m_record.add(m_options.id + " starts, life " + std::to_string(m_life));
    beat();
}

void EngineReplica::crash(bool isAsked)
{
    std::shared_ptr<Server> server;
    {
        std::lock_guard lock(m_mutex);
        if (!m_server)
            return;
        m_record.add(m_options.id + " crashes" + (isAsked ? "" : " by an order that it cannot hold") + " with "
            + std::to_string(m_state.running) + " answers under way");
        m_cutStreams += isAsked ? 0 : m_state.running;
        server = std::move(m_server);
        m_server = nullptr;
        m_state = {};
    }
    server->stop();
    std::lock_guard lock(m_mutex);
    m_stoppedServers.push_back(std::move(server)); // threads of its connections may still use it
}

bool EngineReplica::isUp()
{
    std::lock_guard lock(m_mutex);
    return m_server != nullptr;
}

bool EngineReplica::hasLateOrder()
{
    std::lock_guard lock(m_mutex);
    return m_hasLateOrder;
}

bool EngineReplica::hasOverflown()
{
    std::lock_guard lock(m_mutex);
    return m_hasOverflown;
}

int EngineReplica::cutStreams()
{
    std::lock_guard lock(m_mutex);
    return m_cutStreams;
}

// Precondition: m_mutex is held.
void EngineReplica::beat()
{
    m_lastBeat = Clock::now();
    m_isListed = true;
    Json entry = entryOf("drafter", m_server->port(), 64, ++m_beats, m_bornMillis);
    entry["stage"] = "combined";
    entry["models"] = report(m_state).at("models");
    m_store.put("servers/" + m_options.id, entry.dump());
}

void EngineReplica::tick()
{
    std::lock_guard lock(m_mutex);
    m_reported = m_state;
    if (m_server && Clock::now() - m_lastBeat >= beatInterval)
        beat();
    if (!m_server && m_isListed && Clock::now() - m_lastBeat >= beatInterval * silentBeats) {
        m_isListed = false;
        m_store.remove("servers/" + m_options.id);
        m_record.add("the entry of " + m_options.id + " is removed");
    }
}

double EngineReplica::heldMb(const State& state) const
{
    double sum = 0;
    for (const std::string& name : state.loaded)
        sum += m_options.models.at(name).weightsMb;
    return sum;
}

Json EngineReplica::report(const State& state) const
{
    Json models = Json::array();
    for (const std::string& name : state.loaded)
        models.push_back({ { "name", name }, { "version", 1 }, { "adapters", Json::array() } });
    return Json { { "stage", "combined" }, { "models", models }, { "busy", state.isBusy },
        { "sequence", state.sequence }, { "waiting", 0 }, { "running", state.running }, { "kvUsed", 0 },
        { "kvTotal", 232000 }, { "handles", 0 }, { "born", m_bornMillis }, { "coming", Json::array() },
        { "atHand", { { "inMemory", Json::array() }, { "onDisk", m_options.onDisk } } } };
}

std::optional<Response> EngineReplica::handle(const Request& request, Connection& connection)
{
    std::string expected = headerOf(request.headers, "Expect-Instance");
    if (!expected.empty() && expected != m_options.id)
        return Response { 421, { { "Instance-Id", m_options.id } }, "" };
    if (request.target == "/rattanshunt/report") {
        std::lock_guard lock(m_mutex);
        return Response { 200, { { "Content-Type", "application/json" } }, report(m_reported).dump() };
    }
    if (request.target == "/rattanshunt/order")
        return order(request);
    if (request.target == "/health")
        return Response { 200, { { "Instance-Id", m_options.id }, { "Server-Load", "0,0,64" } }, "" };
    return stream(request, connection);
}

std::optional<Response> EngineReplica::stream(const Request& request, Connection& connection)
{
    std::string id = headerOf(request.headers, "Request-Id");
    int life = 0;
    {
        std::lock_guard lock(m_mutex);
        if (!m_state.loaded.contains(headerOf(request.headers, "Model")))
            return Response { 421, { { "Request-Id", id }, { "Not-Executed", "1" } }, "" };
        ++m_state.running;
        life = m_life;
    }
    m_record.add("run at " + m_options.id + ": " + request.target + " id=" + id
        + " model=" + headerOf(request.headers, "Model"));
    bool isSent = connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: 3e1b.07." + id
        + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; isSent && i <= m_options.events; ++i) {
        std::string event = "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) + " of " + id + "\n\n";
        char size[16];
        snprintf(size, sizeof(size), "%zx\r\n", event.size());
        isSent = connection.send(size + event + "\r\n");
        sleepFor(m_options.eventGap);
    }
    if (isSent)
        connection.send("0\r\n\r\n");
    std::lock_guard lock(m_mutex);
    if (life == m_life && m_server)
        --m_state.running;
    return std::nullopt; // closes the connection
}

std::optional<Response> EngineReplica::order(const Request& request)
{
    Json order = Json::parse(request.body);
    std::string text = request.body + " in life " + std::to_string(m_life);
    bool isLate = false;
    {
        std::lock_guard lock(m_mutex);
        isLate = !m_hasLateOrder && !m_options.lateModel.empty() && order.at("operation") == "load"
            && order.at("model") == m_options.lateModel;
        m_hasLateOrder = m_hasLateOrder || isLate;
    }
    if (isLate) {
        m_record.add(
            "order " + text + ": not answered, carried out " + std::to_string(m_options.lateBy.count()) + " ms later");
        std::thread([this, order] {
            sleepFor(m_options.lateBy);
            if (m_isStopped)
                return;
            if (!isUp()) {
                m_record.add("late order " + order.dump() + ": " + m_options.id + " is down");
                return;
            }
            Response response = execute(order);
            m_record.add("late order " + order.dump() + " reaches life " + std::to_string(m_life) + ": "
                + std::to_string(response.status));
        }).detach();
        sleepFor(Millis(3000)); // the caller gives up before
        return std::nullopt;
    }
    Response response = execute(order);
    m_record.add("order " + text + ": " + std::to_string(response.status));
    return response;
}

Response EngineReplica::execute(const Json& order)
{
    std::string model = order.at("model").get<std::string>();
    bool isLoad = order.at("operation") == "load";
    std::unique_lock lock(m_mutex);
    int64_t fence = order.at("fencingToken").get<int64_t>();
    if (!m_options.models.contains(model) || order.contains("adapter"))
        return { 400, {}, "" };
    if (fence < m_state.fence)
        return { 412, {}, "" };
    m_state.fence = fence;
    if (m_state.isBusy || (order.contains("expected") && order.at("expected") != m_state.sequence))
        return { 409, {}, "" };
    if (m_state.loaded.contains(model) == isLoad)
        return { 200, {}, "" };
    ++m_state.sequence;
    if (isLoad && heldMb(m_state) + m_options.models.at(model).weightsMb > m_options.weightsMb) {
        m_hasOverflown = true;
        m_record.add("BROKEN LIMIT: " + m_options.id + " holds " + std::to_string(int(heldMb(m_state)))
            + " MB and is ordered to load " + model + " of " + std::to_string(int(m_options.models.at(model).weightsMb))
            + " MB; it has " + std::to_string(int(m_options.weightsMb)));
        lock.unlock();
        crash(false);
        return { 202, {}, "" };
    }
    m_state.isBusy = true;
    int life = m_life;
    bool isOnDisk = m_options.onDisk.contains(model);
    Millis time = !isLoad ? unloadTime
        : isOnDisk        ? m_options.models.at(model).diskTime
                          : m_options.models.at(model).storeTime;
    std::thread([this, model, isLoad, life, time] {
        sleepFor(time);
        std::lock_guard lock(m_mutex);
        if (life != m_life || !m_server)
            return;
        m_state.isBusy = false;
        if (isLoad)
            m_state.loaded.insert(model);
        else
            m_state.loaded.erase(model);
        m_options.onDisk.insert(model);
    }).detach();
    return { 202, {}, "" };
}

} // namespace review

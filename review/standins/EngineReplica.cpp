#include "EngineReplica.h"

#include <fmt/format.h>

namespace rattanshunt::review {

using Json = nlohmann::json;

namespace {
    constexpr base::Millis entryInterval { 1200 };
    constexpr int intervalsToLapse = 3; // without an entry
}

EngineReplica::EngineReplica(net::Loop& loop, lab::StoreStandIn& store, Record& record, EngineReplicaOptions options)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_options(std::move(options))
    , m_loaded(m_options.loaded)
{
}

bool EngineReplica::listen()
{
    net::HttpServerEvents events;
    events.onRequest = [this](net::HttpExchange& exchange) { handle(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    std::string error;
    auto started = net::httpServe(m_loop, m_address, {}, std::move(events), error);
    if (!started)
        return false;
    m_server = std::move(started);
    m_address = m_server->address;
    m_isUp = true;
    return true;
}

bool EngineReplica::start()
{
    if (!listen())
        return false;
    m_loop.spawn([this] {
        while (true) {
            if (m_isUp)
                publish();
            net::sleepFor(entryInterval);
        }
    });
    return true;
}

void EngineReplica::publish()
{
    m_store.put("servers/" + m_options.id,
        Json { { "service", m_options.service }, { "address", base::formatAddress(m_address) }, { "zone", "zone-1" },
            { "version", m_options.version }, { "slots", 64 }, { "state", "ready" }, { "coldLeftMs", 0 },
            { "models", models() }, { "sequence", ++m_entrySequence }, { "born", m_bornMillis } }
            .dump());
}

Json EngineReplica::models() const
{
    Json list = Json::array();
    for (const std::string& model : m_loaded)
        list.push_back({ { "name", model }, { "version", 1 }, { "adapters", Json::array() } });
    return list;
}

void EngineReplica::crash()
{
    m_record.write(fmt::format("replica {} crashes", m_options.id));
    m_isUp = false;
    m_server->stopAccepting();
    m_server->closeAll();
    m_loop.spawn([this, id = m_options.id, born = m_bornMillis] {
        net::sleepFor(entryInterval * intervalsToLapse);
        if (id == m_options.id && (m_isUp || born != m_bornMillis))
            return;
        m_store.remove("servers/" + id);
        m_record.write(fmt::format("the entry of replica {} is removed", id));
    });
}

void EngineReplica::restart()
{
    m_bornMillis += static_cast<int64_t>(m_record.elapsed() * 1000);
    m_sequence = 0;
    m_entrySequence = 0;
    m_highestFence = 0;
    m_loaded.clear();
    m_loading.clear();
    m_running = 0;
    listen();
    publish();
    m_record.write(fmt::format("replica {} of version {} has started, empty", m_options.id, m_options.version));
}

void EngineReplica::restartAs(const std::string& id, const std::string& version)
{
    m_options.id = id;
    m_options.version = version;
    restart();
}

void EngineReplica::setLate(int everyNth, base::Millis delay)
{
    m_lateEveryNth = everyNth;
    m_lateDelay = delay;
}

void EngineReplica::handle(net::HttpExchange& exchange)
{
    const net::HttpRequest& request = exchange.request();
    if (request.target == "/rattanshunt/report") {
        Json onDisk = Json::array();
        for (const auto& [model, size] : m_options.modelMb)
            onDisk.push_back(model);
        exchange.respond({ 200, { { "Content-Type", "application/json" } },
            Json { { "stage", "combined" }, { "models", models() }, { "busy", !m_loading.empty() },
                { "sequence", m_sequence }, { "waiting", 0 }, { "running", m_running }, { "kvUsed", 0 },
                { "kvTotal", 232000 }, { "handles", 0 }, { "born", m_bornMillis }, { "coming", Json::array() },
                { "atHand", { { "inMemory", Json::array() }, { "onDisk", onDisk } } } }
                .dump() });
        return;
    }
    std::string expected(net::httpHeader(request.headers, "Expect-Instance"));
    if (!expected.empty() && expected != m_options.id) {
        exchange.respond({ 421, { { "Instance-Id", m_options.id } }, "" });
        return;
    }
    if (request.target == "/rattanshunt/order")
        return handleOrder(exchange);
    std::string id(net::httpHeader(request.headers, "Request-Id"));
    std::string model(net::httpHeader(request.headers, "Model"));
    if (!m_loaded.contains(model)) {
        exchange.respond({ 421, { { "Instance-Id", m_options.id } }, "" });
        return;
    }
    int64_t born = m_bornMillis;
    ++m_running;
    bool isWhole = exchange.startStream(200,
        { { "Request-Id", id }, { "Server-Seal", "seal" }, { "Content-Type", "text/event-stream" },
            { "Server-Load", fmt::format("{},0,64", m_running) } });
    std::string last(net::httpHeader(request.headers, "Last-Event-Id"));
    m_record.write(fmt::format("replica {} of version {} runs {} after event {}", m_options.id, m_options.version, id,
        last.empty() ? "0" : last));
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; isWhole && event <= m_options.events; ++event) {
        net::sleepFor(m_options.timePerEvent);
        isWhole = exchange.sendChunk(fmt::format("id: {}\ndata: {} piece {}\n\n", event, m_options.version, event));
    }
    if (isWhole)
        isWhole = exchange.finishStream();
    if (born == m_bornMillis)
        --m_running;
    m_servedCount += isWhole;
}

void EngineReplica::handleOrder(net::HttpExchange& exchange)
{
    Json order = Json::parse(exchange.request().body, nullptr, false);
    if (!order.is_object() || !order.contains("leaseHolder") || !order.contains("fencingToken")) {
        exchange.respond({ 400, {}, "" });
        return;
    }
    ++m_orderCount;
    if (m_lateEveryNth && m_orderCount % m_lateEveryNth == 0) {
        ++m_unansweredCount;
        m_record.write(fmt::format("replica {} leaves the order {} unanswered", m_options.id, order.dump()));
        m_loop.spawn([this, order, delay = m_lateDelay] {
            net::sleepFor(delay);
            if (m_isUp)
                execute(order, "late");
        });
        exchange.startStream(500, {}); // closes the connection without an answer
        return;
    }
    exchange.respond({ execute(order, "at once"), {}, "" });
}

int EngineReplica::execute(const Json& order, const std::string& when)
{
    std::string model = order.value("model", "");
    bool isLoad = order.value("operation", "") == "load";
    int status = 202;
    if (order.value("fencingToken", int64_t(0)) < m_highestFence)
        status = 412;
    else if (!m_loading.empty() || order.value("expected", m_sequence) != m_sequence)
        status = 409;
    else if (m_loaded.contains(model) == isLoad)
        status = 200;
    m_record.write(fmt::format(
        "replica {} carries out {} at count {}: {}", m_options.id, when + " " + order.dump(), m_sequence, status));
    if (status != 412)
        m_highestFence = std::max(m_highestFence, order.value("fencingToken", int64_t(0)));
    if (status != 202)
        return status;
    ++m_sequence;
    if (!isLoad) {
        m_loaded.erase(model);
        return status;
    }
    double totalMb = m_options.modelMb.at(model);
    for (const std::string& other : m_loaded)
        totalMb += m_options.modelMb.at(other);
    if (totalMb > m_options.weightsMb) {
        m_wasOvercommitted = true;
        m_record.write(fmt::format("replica {} was ordered to load {} MB, it has {}, and crashes", m_options.id,
            totalMb, m_options.weightsMb));
        crash();
        return status;
    }
    m_loading = model;
    m_loop.spawn([this, model, born = m_bornMillis] {
        net::sleepFor(m_options.loadTime);
        if (born != m_bornMillis || !m_isUp)
            return;
        m_loaded.insert(model);
        m_loading.clear();
    });
    return status;
}

} // namespace rattanshunt::review

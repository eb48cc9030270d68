#include "WireReplica.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

using Json = nlohmann::json;

namespace {
    constexpr base::Millis silentPoll { 10 };
    constexpr const char* seal = "seal-of-the-stand-in";
}

std::map<std::string, int> WireReplicaBook::runsOf() const
{
    std::map<std::string, int> counts;
    for (const WireRun& run : runs)
        ++counts[run.request];
    return counts;
}

struct WireReplica::Impl {
    net::Loop& loop;
    WireReplicaOptions options;
    WireReplicaFaults faults;
    WireReplicaBook book;
    std::optional<net::HttpServerHandle> server;
    std::set<std::string> held;
    std::set<std::string> heldAdapters; // MODEL/ADAPTER
    std::string loading;
    int64_t sequence = 0;
    int64_t highestToken = 0;
    int running = 0;
    std::map<std::string, int> runningOf; // by model or MODEL/ADAPTER
    int64_t bornMillis = 1700000000000;
    std::vector<std::pair<base::TimePoint, base::TimePoint>> leaves;
    bool isStopped = false;

    Impl(net::Loop& ownLoop, WireReplicaOptions own)
        : loop(ownLoop)
        , options(std::move(own))
        , held(options.held)
    {
    }

    Json models() const
    {
        Json list = Json::array();
        for (const std::string& model : held) {
            Json adapters = Json::array();
            for (const std::string& adapter : heldAdapters) {
                if (adapter.starts_with(model + "/"))
                    adapters.push_back(adapter.substr(model.size() + 1));
            }
            list.push_back({ { "name", model }, { "version", 1 }, { "adapters", adapters } });
        }
        return list;
    }

    void serve(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        if (request.target == "/rattanshunt/report") {
            Json disk = Json::array();
            for (auto& [model, size] : options.sizes)
                disk.push_back(model);
            exchange.respond({ 200, {},
                Json { { "stage", "combined" }, { "models", models() }, { "busy", !loading.empty() },
                    { "sequence", sequence }, { "waiting", 0 }, { "running", running }, { "kvUsed", 0 },
                    { "kvTotal", 1000 }, { "born", bornMillis },
                    { "atHand", { { "inMemory", Json::array() }, { "onDisk", disk } } } }
                    .dump() });
            return;
        }
        if (request.target == "/rattanshunt/order") {
            serveOrder(exchange);
            return;
        }
        run(exchange);
    }

    // ---- Orders ------------------------------------------------------------------------------

    void serveOrder(net::HttpExchange& exchange)
    {
        Json order = Json::parse(exchange.request().body);
        if (faults.orderDelay.count()) {
            loop.spawn([this, order] {
                net::sleepFor(faults.orderDelay);
                carryOut(order);
            });
            exchange.startStream(500, {}); // cut without an end
            return;
        }
        int status = carryOut(order);
        book.refusedOrders += status >= 400 ? 1 : 0;
        exchange.respond({ status, {}, "" });
    }

    int carryOut(const Json& order)
    {
        int64_t token = order.at("fencingToken").get<int64_t>();
        if (token < highestToken)
            return 412;
        highestToken = token;
        if (!loading.empty() || (order.contains("expected") && order.at("expected").get<int64_t>() != sequence))
            return 409;
        std::string model = order.at("model").get<std::string>();
        std::string adapter = order.value("adapter", "");
        bool isLoad = order.at("operation") == "load";
        book.orders.emplace_back(order.at("leaseHolder").get<std::string>(), token);
        ++sequence;
        if (!adapter.empty()) {
            std::string name = model + "/" + adapter;
            if (!isLoad) {
                if (!runningOf[name]) {
                    heldAdapters.erase(name);
                    return 200;
                }
                loop.spawn([this, name] {
                    while (runningOf[name] && !isStopped)
                        net::sleepFor(silentPoll);
                    heldAdapters.erase(name);
                });
                return 202;
            }
            book.isOvercommitted = book.isOvercommitted || heldAdapters.size() >= options.adapterPlaces;
            heldAdapters.insert(name);
            return 202;
        }
        if (!isLoad) {
            held.erase(model);
            std::erase_if(heldAdapters, [&](const std::string& name) { return name.starts_with(model + "/"); });
            return 202;
        }
        double sum = options.sizes[model];
        for (const std::string& other : held)
            sum += options.sizes[other];
        book.isOvercommitted = book.isOvercommitted || sum > options.weightsMb;
        loading = model;
        loop.spawn([this] {
            net::sleepFor(options.loadTime);
            held.insert(std::exchange(loading, ""));
        });
        return 202;
    }

    // ---- Requests ----------------------------------------------------------------------------

    ReplicaFault takeFault()
    {
        if (faults.next == 0)
            return ReplicaFault::None;
        if (faults.next > 0)
            --faults.next;
        return faults.fault;
    }

    std::vector<net::HttpHeader> headers(const std::string& id) const
    {
        return { { "Request-Id", id }, { "Server-Seal", seal },
            { "Server-Load", fmt::format("{},0,{}", running, options.slots) } };
    }

    void run(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        std::string id(net::httpHeader(request.headers, "Request-Id"));
        std::string expected(net::httpHeader(request.headers, "Expect-Instance"));
        std::string model(net::httpHeader(request.headers, "Model"));
        std::string bare = model.substr(0, model.find('/'));
        bool isHeld = !options.isEngine || (held.contains(bare) && (bare == model || heldAdapters.contains(model)));
        if ((!expected.empty() && expected != options.id) || !isHeld) {
            exchange.respond({ 421, { { "Instance-Id", options.id } }, "" });
            return;
        }
        ReplicaFault fault = takeFault();
        if (fault == ReplicaFault::Refuse) {
            exchange.respond({ 503, { { "Not-Executed", "1" }, { "Request-Id", id } }, "" });
            return;
        }
        size_t number = book.runs.size();
        book.runs.push_back({ id, std::string(net::httpHeader(request.headers, "Tenant")), model,
            std::string(net::httpHeader(request.headers, "Last-Event-Id")),
            !net::httpHeader(request.headers, "Authorization").empty(), false, base::Clock::now(), {} });
        ++running;
        ++runningOf[model];
        exchange.setDisconnectHandler([this, number] { book.runs[number].sawLeave = true; });
        if (options.isEngine)
            runStream(exchange, id, number, fault);
        else
            runPlain(exchange, id, fault);
        --running;
        --runningOf[model];
        book.runs[number].endedAt = base::Clock::now();
    }

    void waitSilent(net::HttpExchange& exchange)
    {
        while (!isStopped && !exchange.isClientDisconnected())
            net::sleepFor(silentPoll);
    }

    void runPlain(net::HttpExchange& exchange, const std::string& id, ReplicaFault fault)
    {
        net::sleepFor(options.workTime);
        std::string body = "answer to " + id;
        switch (fault) {
        case ReplicaFault::Fail:
            exchange.respond({ 500, headers(id), "failed" });
            return;
        case ReplicaFault::LoseAnswer:
            exchange.setDisconnectHandler(nullptr);
            exchange.startStream(500, {});
            return;
        case ReplicaFault::Truncate:
            exchange.startStream(200, headers(id));
            exchange.sendChunk(body.substr(0, 4));
            return;
        case ReplicaFault::Foreign:
            exchange.respond({ 200, headers("ffffffffffffffff"), "answer to somebody else" });
            exchange.respond({ 200, headers(id), body });
            return;
        case ReplicaFault::NoSeal:
            exchange.respond({ 200, { { "Request-Id", id } }, body });
            return;
        case ReplicaFault::Silent:
            waitSilent(exchange);
            return;
        case ReplicaFault::None:
        case ReplicaFault::Refuse:
            exchange.respond({ 200, headers(id), body });
            return;
        }
    }

    void runStream(net::HttpExchange& exchange, const std::string& id, size_t number, ReplicaFault fault)
    {
        if (fault == ReplicaFault::Fail) {
            exchange.respond({ 500, headers(id), "failed" });
            return;
        }
        if (fault == ReplicaFault::Silent) {
            waitSilent(exchange);
            return;
        }
        const std::string& last = book.runs[number].lastEventId;
        int first = last.empty() ? 1 : std::stoi(last) + 1;
        auto all = headers(id);
        all.push_back({ "Content-Type", "text/event-stream" });
        if (fault == ReplicaFault::LoseAnswer || !exchange.startStream(200, all))
            return;
        for (int event = first; event <= options.events; ++event) {
            net::sleepFor(options.workTime);
            std::string text = fmt::format("id: {}\ndata: piece {}\n\n", event, event);
            if (fault == ReplicaFault::Truncate && event > faults.afterEvents) {
                exchange.sendChunk(text.substr(0, text.size() / 2));
                return;
            }
            if (!exchange.sendChunk(text))
                return;
        }
        exchange.finishStream();
    }
};

WireReplica::WireReplica(net::Loop& loop, WireReplicaOptions options)
    : m_impl(std::make_shared<Impl>(loop, std::move(options)))
{
}

WireReplica::~WireReplica() = default;

bool WireReplica::listen(std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl](net::HttpExchange& exchange) { impl->serve(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    m_impl->server = net::httpServe(m_impl->loop, { "127.0.0.1", 0 }, {}, std::move(events), error);
    return m_impl->server.has_value();
}

void WireReplica::stop()
{
    m_impl->isStopped = true;
    m_impl->server->stopAccepting();
    m_impl->server->closeAll();
}

std::string WireReplica::entry(bool isDraining, std::optional<base::Address> at)
{
    auto& leaves = m_impl->leaves;
    bool isLeaving = !leaves.empty() && leaves.back().second == base::timeNever;
    if (isDraining && !isLeaving)
        leaves.emplace_back(base::Clock::now(), base::timeNever);
    if (!isDraining && isLeaving)
        leaves.back().second = base::Clock::now();
    return Json {
        { "service", m_impl->options.service }, { "address", base::formatAddress(at.value_or(address())) },
        { "zone", m_impl->options.center }, { "version", "v1" }, { "slots", m_impl->options.slots },
        { "state", isDraining ? "draining" : "ready" }, { "coldLeftMs", 0 }, { "models", m_impl->models() },
        { "sequence", 1 }, { "born", m_impl->bornMillis }
    }.dump();
}

base::Address WireReplica::address() const
{
    return m_impl->server->address;
}
void WireReplica::setWorkTime(base::Millis time)
{
    m_impl->options.workTime = time;
}
WireReplicaFaults& WireReplica::faults()
{
    return m_impl->faults;
}
const WireReplicaBook& WireReplica::book() const
{
    return m_impl->book;
}
const std::vector<std::pair<base::TimePoint, base::TimePoint>>& WireReplica::leaves() const
{
    return m_impl->leaves;
}
const std::set<std::string>& WireReplica::held() const
{
    return m_impl->held;
}

} // namespace rattanshunt::lab

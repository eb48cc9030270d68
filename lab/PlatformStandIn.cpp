#include "PlatformStandIn.h"

#include <nlohmann/json.hpp>

#include "KvStore.h"
#include "coordination/InstanceList.h"
#include "coordination/KvCodec.h"

namespace rattanshunt::lab {

using coordination::KvEntry;
using nlohmann::json;

namespace {
    constexpr base::Millis watchBeat { 250 };
    constexpr base::Millis downHold { 60000 }; // a call in an outage hangs for so long, or until its caller leaves

    net::HttpResponse jsonAnswer(const json& body, int status = 200)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }
}

struct PlatformStandIn::Impl : std::enable_shared_from_this<PlatformStandIn::Impl> {
    Impl(net::Loop& ownLoop, const PlatformOptions& platformOptions)
        : loop(ownLoop)
        , options(platformOptions)
        , listLag(platformOptions.listLag)
    {
    }

    net::Loop& loop;
    PlatformOptions options;
    KvStore store;
    std::optional<net::HttpServerHandle> server;
    std::vector<net::Event*> watchers;
    std::map<std::string, std::pair<coordination::Instance, int64_t>> instances;
    int64_t listVersion = 1;
    bool isStopped = false;
    // Faults
    std::string kvMode = "ok";
    base::Millis delay { 0 };
    int loseEvery = 0;
    int kvCalls = 0;
    base::Millis listLag;
    double storeFactor = 1;
    // Weight store
    double loadsInFlight = 0;
    base::TimePoint nextLoadAt {};
    std::map<std::string, uint64_t> calls;

    json header() const { return { { "revision", std::to_string(store.revision) } }; }

    void onRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        std::string target = request.target.substr(0, request.target.find('?'));
        ++calls[target];
        json body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
        if (target.starts_with("/v3/")) {
            onKv(exchange, target, body);
            return;
        }
        if (target == "/instances")
            exchange.respond(onInstances(request, body));
        else if (target == "/weights/fetch")
            onFetch(exchange, body);
        else if (target == "/faults")
            exchange.respond(onFaults(body));
        else if (target == "/calls")
            exchange.respond(jsonAnswer({ { "calls", calls }, { "reads", store.reads }, { "writes", store.writes } }));
        else
            exchange.respond({ 404, {}, "" });
    }

    // ---- Key-value service -------------------------------------------------------------------------

    // Waits out an outage. False if the caller has gone meanwhile.
    bool passFaults(net::HttpExchange& exchange)
    {
        if (kvMode == "down") {
            net::Event gone;
            exchange.setDisconnectHandler([&gone] { gone.set(); });
            gone.waitUntil(base::Clock::now() + downHold);
            return false;
        }
        if (kvMode == "slow")
            net::sleepFor(delay);
        return true;
    }

    void onKv(net::HttpExchange& exchange, const std::string& target, const json& body)
    {
        if (target == "/v3/watch") {
            if (passFaults(exchange))
                onWatch(exchange, body["create_request"]);
            return;
        }
        if (!passFaults(exchange))
            return;
        net::HttpResponse answer = answerKv(target, body);
        bool isLost = loseEvery && ++kvCalls % loseEvery == 0;
        if (isLost) {
            // The effect stays; the caller sees its connection cut without an answer.
            exchange.startStream(200, {});
            return;
        }
        exchange.respond(std::move(answer));
    }

    net::HttpResponse answerKv(const std::string& target, const json& body)
    {
        base::TimePoint now = base::Clock::now();
        if (target == "/v3/kv/range") {
            ++store.reads;
            json kvs = json::array();
            for (const KvEntry& entry :
                storeRange(store, coordination::kvBytes(body, "key"), coordination::kvBytes(body, "range_end")))
                kvs.push_back(coordination::kvEntryToJson(entry));
            return jsonAnswer({ { "header", header() }, { "kvs", kvs } });
        }
        ++store.writes;
        if (target == "/v3/kv/txn")
            return answerTxn(body);
        if (target == "/v3/lease/grant") {
            int64_t lease = storeGrant(store, base::Seconds(coordination::kvNumber(body, "TTL")), now);
            return jsonAnswer({ { "header", header() }, { "ID", std::to_string(lease) } });
        }
        int64_t lease = coordination::kvNumber(body, "ID");
        if (target == "/v3/lease/keepalive") {
            bool isAlive = storeRenew(store, lease, now);
            return jsonAnswer({ { "result", { { "ID", std::to_string(lease) }, { "TTL", isAlive ? "10" : "0" } } } });
        }
        if (target == "/v3/lease/revoke") {
            storeRevoke(store, lease);
            wakeWatchers();
            return jsonAnswer({ { "header", header() } });
        }
        return { 404, {}, "" };
    }

    net::HttpResponse answerTxn(const json& body)
    {
        std::vector<coordination::KvCompare> compares;
        std::vector<coordination::KvWrite> writes;
        for (const json& item : body.value("compare", json::array()))
            compares.push_back({ coordination::kvBytes(item, "key"), coordination::kvNumber(item, "mod_revision") });
        for (const json& item : body.value("success", json::array())) {
            if (item.contains("request_put")) {
                const json& put = item["request_put"];
                writes.push_back({ coordination::kvBytes(put, "key"), coordination::kvBytes(put, "value"),
                    coordination::kvNumber(put, "lease") });
            } else
                writes.push_back({ coordination::kvBytes(item["request_delete_range"], "key"), std::nullopt });
        }
        coordination::KvTxnResult result = storeTxn(store, compares, writes);
        wakeWatchers();
        json responses = json::array();
        for (const KvEntry& entry : result.current)
            responses.push_back(
                { { "response_range", { { "kvs", json::array({ coordination::kvEntryToJson(entry) }) } } } });
        return jsonAnswer({ { "header", header() }, { "succeeded", result.isApplied }, { "responses", responses } });
    }

    void wakeWatchers()
    {
        for (net::Event* watcher : watchers)
            watcher->set();
    }

    void onWatch(net::HttpExchange& exchange, const json& create)
    {
        std::string prefix = coordination::kvBytes(create, "key");
        coordination::Revision from = coordination::kvNumber(create, "start_revision");
        net::Event wake;
        watchers.push_back(&wake);
        bool isOpen = exchange.startStream(200, { { "Content-Type", "application/json" } });
        while (isOpen && !isStopped && kvMode != "down") {
            json events = json::array();
            coordination::Revision upTo = store.revision;
            for (const coordination::KvEvent& event : store.history) {
                if (event.entry.modRevision >= from && event.entry.key.starts_with(prefix))
                    events.push_back(coordination::kvEventToJson(event));
            }
            from = upTo + 1;
            if (!events.empty())
                isOpen = exchange.sendChunk(
                    json({ { "result", { { "header", header() }, { "events", events } } } }).dump() + "\n");
            // A message without events is a promise that all changes up to its revision were sent.
            isOpen = isOpen
                && exchange.sendChunk(
                    json({ { "result", { { "header", { { "revision", std::to_string(upTo) } } } } } }).dump() + "\n");
            wake.reset();
            if (store.revision < from)
                wake.waitUntil(base::Clock::now() + watchBeat);
        }
        std::erase(watchers, &wake);
    }

    void expireLoop()
    {
        while (!isStopped) {
            net::sleepFor(base::Millis(100));
            // Leases do not end during an outage: the service itself is not running.
            if (kvMode != "down" && storeExpire(store, base::Clock::now()))
                wakeWatchers();
        }
    }

    // ---- Instance list -----------------------------------------------------------------------------

    net::HttpResponse onInstances(const net::HttpRequest& request, const json& body)
    {
        if (request.method == "PUT") {
            auto instance = coordination::instanceFromJson(body);
            if (!instance)
                return jsonAnswer({ { "error", "malformed instance" } }, 400);
            auto list = [self = shared_from_this(), instance = *instance] {
                self->instances[instance.id] = { instance, ++self->listVersion };
            };
            loop.timers().subscribe(base::Clock::now() + listLag, list);
            return jsonAnswer(json::object());
        }
        size_t equals = request.target.find("since=");
        int64_t since = equals == std::string::npos ? 0 : std::atoll(request.target.c_str() + equals + 6);
        json changed = json::array();
        for (auto& [id, entry] : instances) {
            if (entry.second > since)
                changed.push_back(coordination::instanceToJson(entry.first));
        }
        return jsonAnswer({ { "version", listVersion }, { "instances", changed } });
    }

    // ---- Weight store ------------------------------------------------------------------------------

    void onFetch(net::HttpExchange& exchange, const json& body)
    {
        base::TimePoint now = base::Clock::now();
        base::TimePoint startAt = std::max(now, nextLoadAt);
        nextLoadAt = startAt + base::durationOf(1 / options.storeLoadsPerSecond);
        net::sleepUntil(startAt);
        ++loadsInFlight;
        double crowding = std::max(1.0, loadsInFlight / options.storeParallel);
        net::sleepFor(base::durationOf(body.value("millis", 500.0) / 1000 * crowding * storeFactor));
        --loadsInFlight;
        exchange.respond(jsonAnswer(json::object()));
    }

    net::HttpResponse onFaults(const json& body)
    {
        kvMode = body.value("kv", kvMode);
        delay = base::Millis(body.value("delay_ms", delay.count()));
        loseEvery = body.value("lose_every", loseEvery);
        storeFactor = body.value("store_factor", storeFactor);
        listLag = base::Millis(body.value("list_lag_ms", listLag.count()));
        wakeWatchers();
        return jsonAnswer(json::object());
    }
};

PlatformStandIn::PlatformStandIn(net::Loop& loop, const PlatformOptions& options)
    : m_impl(std::make_shared<Impl>(loop, options))
{
}

PlatformStandIn::~PlatformStandIn() = default;

bool PlatformStandIn::listen(base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl](net::HttpExchange& exchange) { impl->onRequest(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    net::HttpServerLimits limits;
    limits.maxBodyBytes = 8 * 1024 * 1024;
    m_impl->server = net::httpServe(m_impl->loop, address, limits, std::move(events), error);
    if (!m_impl->server)
        return false;
    address = m_impl->server->address;
    m_impl->loop.spawn([impl = m_impl] { impl->expireLoop(); });
    return true;
}

void PlatformStandIn::stop()
{
    m_impl->isStopped = true;
    m_impl->wakeWatchers();
    if (m_impl->server)
        m_impl->server->stopAccepting();
}

} // namespace rattanshunt::lab

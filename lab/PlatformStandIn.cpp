#include "PlatformStandIn.h"

#include <nlohmann/json.hpp>

#include "KvStore.h"
#include "coordination/InstanceList.h"
#include "coordination/KvCodec.h"

namespace rattanshunt::lab {

using coordination::KvEntry;
using nlohmann::json;

namespace {
    constexpr base::Millis watchProgressInterval { 250 }; // between progress messages on an idle watch
    // Calls during an outage hang for this long, or until the client disconnects.
    constexpr base::Millis outageHangTime { 60000 };

    net::HttpResponse jsonResponse(const json& body, int status = 200)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }
}

struct PlatformStandIn::Impl : std::enable_shared_from_this<PlatformStandIn::Impl> {
    Impl(net::Loop& eventLoop, const PlatformStandInOptions& platformOptions)
        : loop(eventLoop)
        , options(platformOptions)
        , listLag(platformOptions.listLag)
    {
    }

    net::Loop& loop;
    PlatformStandInOptions options;
    KvStore store;
    std::optional<net::HttpServerHandle> server;
    std::vector<net::Event*> watcherEvents;
    std::map<std::string, std::pair<coordination::Instance, int64_t>> instances;
    int64_t listVersion = 1;
    bool isStopped = false;
    // Injected faults
    std::string kvMode = "ok";
    base::Millis kvDelay { 0 };
    int loseEveryNthResponse = 0;
    int kvCallCount = 0;
    base::Millis listLag;
    double loadTimeFactor = 1;
    // Weight store
    double loadsInFlight = 0;
    base::TimePoint nextLoadStartAt {};
    std::map<std::string, uint64_t> callCounts;

    json revisionHeader() const { return { { "revision", std::to_string(store.revision) } }; }

    void handleRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        std::string target = request.target.substr(0, request.target.find('?'));
        ++callCounts[target];
        json body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
        if (target.starts_with("/v3/")) {
            handleKvCall(exchange, target, body);
            return;
        }
        if (target == "/instances")
            exchange.respond(handleInstances(request, body));
        else if (target == "/weights/fetch")
            handleWeightFetch(exchange, body);
        else if (target == "/faults")
            exchange.respond(handleFaults(body));
        else if (target == "/calls")
            exchange.respond(jsonResponse(
                { { "calls", callCounts }, { "reads", store.readCount }, { "writes", store.writeCount } }));
        else
            exchange.respond({ 404, {}, "" });
    }

    // ---- Key-value service -------------------------------------------------------------------------

    // Applies the current fault to a call. Returns false if it is not to be answered, as during an outage.
    bool applyKvFaults(net::HttpExchange& exchange)
    {
        if (kvMode == "down") {
            net::Event disconnected;
            exchange.setDisconnectHandler([&disconnected] { disconnected.set(); });
            disconnected.waitUntil(base::Clock::now() + outageHangTime);
            return false;
        }
        if (kvMode == "slow")
            net::sleepFor(kvDelay);
        return true;
    }

    void handleKvCall(net::HttpExchange& exchange, const std::string& target, const json& body)
    {
        if (target == "/v3/watch") {
            if (applyKvFaults(exchange))
                handleWatch(exchange, body["create_request"]);
            return;
        }
        if (!applyKvFaults(exchange))
            return;
        net::HttpResponse response = executeKvCall(target, body);
        bool isResponseLost = loseEveryNthResponse && ++kvCallCount % loseEveryNthResponse == 0;
        if (isResponseLost) {
            // The call took effect, but the client sees the connection close without a response.
            exchange.startStream(200, {});
            return;
        }
        exchange.respond(std::move(response));
    }

    net::HttpResponse executeKvCall(const std::string& target, const json& body)
    {
        base::TimePoint now = base::Clock::now();
        if (target == "/v3/kv/range") {
            ++store.readCount;
            json kvs = json::array();
            for (const KvEntry& entry :
                kvStoreRange(store, coordination::kvBytes(body, "key"), coordination::kvBytes(body, "range_end")))
                kvs.push_back(coordination::kvEntryToJson(entry));
            return jsonResponse({ { "header", revisionHeader() }, { "kvs", kvs } });
        }
        ++store.writeCount;
        if (target == "/v3/kv/txn")
            return executeTxn(body);
        if (target == "/v3/lease/grant") {
            int64_t lease = kvStoreGrantLease(store, base::Seconds(coordination::kvNumber(body, "TTL")), now);
            return jsonResponse({ { "header", revisionHeader() }, { "ID", std::to_string(lease) } });
        }
        int64_t lease = coordination::kvNumber(body, "ID");
        if (target == "/v3/lease/keepalive") {
            bool isAlive = kvStoreRenewLease(store, lease, now);
            return jsonResponse({ { "result", { { "ID", std::to_string(lease) }, { "TTL", isAlive ? "10" : "0" } } } });
        }
        if (target == "/v3/lease/revoke") {
            kvStoreRevokeLease(store, lease);
            wakeWatchers();
            return jsonResponse({ { "header", revisionHeader() } });
        }
        return { 404, {}, "" };
    }

    net::HttpResponse executeTxn(const json& body)
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
        coordination::KvTxnResult result = kvStoreTxn(store, compares, writes);
        wakeWatchers();
        json responses = json::array();
        for (const KvEntry& entry : result.current)
            responses.push_back(
                { { "response_range", { { "kvs", json::array({ coordination::kvEntryToJson(entry) }) } } } });
        return jsonResponse(
            { { "header", revisionHeader() }, { "succeeded", result.isApplied }, { "responses", responses } });
    }

    void wakeWatchers()
    {
        for (net::Event* watcher : watcherEvents)
            watcher->set();
    }

    void handleWatch(net::HttpExchange& exchange, const json& create)
    {
        std::string prefix = coordination::kvBytes(create, "key");
        coordination::Revision from = coordination::kvNumber(create, "start_revision");
        net::Event wakeEvent;
        watcherEvents.push_back(&wakeEvent);
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
                    json({ { "result", { { "header", revisionHeader() }, { "events", events } } } }).dump() + "\n");
            // A message without events guarantees that all changes up to its revision have been sent.
            isOpen = isOpen
                && exchange.sendChunk(
                    json({ { "result", { { "header", { { "revision", std::to_string(upTo) } } } } } }).dump() + "\n");
            wakeEvent.reset();
            if (store.revision < from)
                wakeEvent.waitUntil(base::Clock::now() + watchProgressInterval);
        }
        std::erase(watcherEvents, &wakeEvent);
    }

    void expireLeasesLoop()
    {
        while (!isStopped) {
            net::sleepFor(base::Millis(100));
            // Leases do not expire during an outage, because the simulated service itself is not running.
            if (kvMode != "down" && kvStoreExpireLeases(store, base::Clock::now()))
                wakeWatchers();
        }
    }

    // ---- Instance list -----------------------------------------------------------------------------

    net::HttpResponse handleInstances(const net::HttpRequest& request, const json& body)
    {
        if (request.method == "PUT") {
            auto instance = coordination::instanceFromJson(body);
            if (!instance)
                return jsonResponse({ { "error", "malformed instance" } }, 400);
            auto updateList = [self = shared_from_this(), instance = *instance] {
                self->instances[instance.id] = { instance, ++self->listVersion };
            };
            loop.timers().subscribe(base::Clock::now() + listLag, updateList);
            return jsonResponse(json::object());
        }
        size_t equals = request.target.find("since=");
        int64_t since = equals == std::string::npos ? 0 : std::atoll(request.target.c_str() + equals + 6);
        json changed = json::array();
        for (auto& [id, entry] : instances) {
            if (entry.second > since)
                changed.push_back(coordination::instanceToJson(entry.first));
        }
        return jsonResponse({ { "version", listVersion }, { "instances", changed } });
    }

    // ---- Weight store ------------------------------------------------------------------------------

    void handleWeightFetch(net::HttpExchange& exchange, const json& body)
    {
        base::TimePoint now = base::Clock::now();
        base::TimePoint startAt = std::max(now, nextLoadStartAt);
        nextLoadStartAt = startAt + base::durationOf(1 / options.maxLoadStartsPerSecond);
        net::sleepUntil(startAt);
        ++loadsInFlight;
        double bandwidthFactor = std::max(1.0, loadsInFlight / options.maxFullSpeedLoads);
        net::sleepFor(base::durationOf(body.value("millis", 500.0) / 1000 * bandwidthFactor * loadTimeFactor));
        --loadsInFlight;
        exchange.respond(jsonResponse(json::object()));
    }

    net::HttpResponse handleFaults(const json& body)
    {
        kvMode = body.value("kv", kvMode);
        kvDelay = base::Millis(body.value("delay_ms", kvDelay.count()));
        loseEveryNthResponse = body.value("lose_every", loseEveryNthResponse);
        loadTimeFactor = body.value("store_factor", loadTimeFactor);
        listLag = base::Millis(body.value("list_lag_ms", listLag.count()));
        wakeWatchers();
        return jsonResponse(json::object());
    }
};

PlatformStandIn::PlatformStandIn(net::Loop& loop, const PlatformStandInOptions& options)
    : m_impl(std::make_shared<Impl>(loop, options))
{
}

PlatformStandIn::~PlatformStandIn() = default;

bool PlatformStandIn::listen(base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl](net::HttpExchange& exchange) { impl->handleRequest(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    net::HttpServerLimits limits;
    limits.maxBodyBytes = 8 * 1024 * 1024;
    m_impl->server = net::httpServe(m_impl->loop, address, limits, std::move(events), error);
    if (!m_impl->server)
        return false;
    address = m_impl->server->address;
    m_impl->loop.spawn([impl = m_impl] { impl->expireLeasesLoop(); });
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

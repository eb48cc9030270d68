#include "StoreStandIn.h"

#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

using Json = nlohmann::json;
using coordination::KvCompare;
using coordination::KvEntry;
using coordination::KvWrite;

namespace {

    constexpr base::Millis expiryInterval { 20 };
    constexpr base::Millis watchPoll { 10 };
    constexpr size_t maxItemsPerPage = 500;

    Json entryToJson(const KvEntry& entry)
    {
        return Json { { "key", entry.key }, { "value", base::base64Encode(entry.value) },
            { "revision", entry.modRevision }, { "createRevision", entry.createRevision }, { "lease", entry.lease } };
    }

    std::string urlDecode(std::string_view text)
    {
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
                i += 2;
            } else
                result += text[i];
        }
        return result;
    }

    std::string queryValue(std::string_view target, const std::string& name)
    {
        size_t question = target.find('?');
        if (question == std::string_view::npos)
            return "";
        for (const std::string& pair : base::splitText(target.substr(question + 1), '&')) {
            size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name && equals != std::string::npos)
                return urlDecode(std::string_view(pair).substr(equals + 1));
        }
        return "";
    }

} // namespace

struct StoreStandIn::Impl {
    net::Loop& loop;
    KvStore store;
    KvStore copy;
    int64_t era = 1;
    StoreStandInFaults faults;
    std::optional<net::HttpServerHandle> server;
    uint64_t callCount = 0;
    int writeCount = 0;
    bool isStopped = false;

    explicit Impl(net::Loop& eventLoop)
        : loop(eventLoop)
    {
    }

    void handleRequest(net::HttpExchange& exchange)
    {
        ++callCount;
        if (faults.delay.count())
            net::sleepFor(faults.delay);
        switch (faults.mode) {
        case StoreMode::Normal:
            break;
        case StoreMode::Unavailable:
            exchange.respond({ 503, {}, "" });
            return;
        case StoreMode::Hang:
            while (faults.mode == StoreMode::Hang && !isStopped && !exchange.isClientDisconnected())
                net::sleepFor(watchPoll);
            exchange.startStream(500, {}); // closes the connection without a response
            return;
        case StoreMode::Reset:
            exchange.startStream(500, {});
            return;
        }
        net::HttpResponse response = executeCall(exchange.request());
        bool isWrite = exchange.request().method != "GET";
        if (isWrite && faults.loseEveryNthAck && ++writeCount % faults.loseEveryNthAck == 0) {
            exchange.startStream(500, {});
            return;
        }
        response.headers.push_back({ "Content-Type", "application/json" });
        if (faults.sendsEra)
            response.headers.push_back({ "Store-Era", std::to_string(era) });
        exchange.respond(std::move(response));
    }

    net::HttpResponse executeCall(const net::HttpRequest& request)
    {
        std::string path = request.target.substr(0, request.target.find('?'));
        auto after = [&](std::string_view prefix) { return path.substr(prefix.size()); };
        if (path == "/rattanshunt/kv-key")
            return readKey(queryValue(request.target, "key"));
        if (path == "/rattanshunt/kv-range")
            return readRange(queryValue(request.target, "prefix"), queryValue(request.target, "after"));
        if (path == "/rattanshunt/kv-txn")
            return executeTxn(Json::parse(request.body));
        if (path == "/rattanshunt/kv-watch")
            return waitForEvents(request.target);
        if (path == "/rattanshunt/kv-lease") {
            base::Millis time { Json::parse(request.body).at("ttlMs").get<int64_t>() };
            int64_t lease = kvStoreGrantLease(store, time, base::Clock::now());
            return { 200, {}, Json { { "lease", lease }, { "ttlMs", time.count() } }.dump() };
        }
        if (path.starts_with("/rattanshunt/kv-keep/")) {
            bool isKept = kvStoreRenewLease(store, std::stoll(after("/rattanshunt/kv-keep/")), base::Clock::now());
            return { isKept ? 200 : 404, {}, "{}" };
        }
        if (path.starts_with("/rattanshunt/kv-lease-end/")) {
            kvStoreRevokeLease(store, std::stoll(after("/rattanshunt/kv-lease-end/")));
            return { 200, {}, "{}" };
        }
        return { 404, {}, "{}" };
    }

    net::HttpResponse readKey(const std::string& name)
    {
        auto found = store.entries.find(name);
        Json json = found == store.entries.end() ? Json::object() : entryToJson(found->second);
        json["storeRevision"] = store.revision;
        return { found == store.entries.end() ? 404 : 200, {}, json.dump() };
    }

    net::HttpResponse readRange(const std::string& prefix, const std::string& after)
    {
        Json items = Json::array();
        bool hasMore = false;
        for (auto& [name, entry] : store.entries) {
            if (!name.starts_with(prefix) || (!after.empty() && name <= after))
                continue;
            hasMore = items.size() >= maxItemsPerPage;
            if (hasMore)
                break;
            items.push_back(entryToJson(entry));
        }
        return { 200, {},
            Json { { "items", items }, { "hasMore", hasMore }, { "storeRevision", store.revision } }.dump() };
    }

    net::HttpResponse executeTxn(const Json& body)
    {
        std::vector<KvCompare> compares;
        std::vector<KvWrite> writes;
        for (const Json& row : body.at("expected"))
            compares.push_back({ row.at("key").get<std::string>(), row.at("revision").get<int64_t>() });
        for (const Json& row : body.at("writes")) {
            int64_t lease = row.value("lease", int64_t(0));
            if (lease && !store.leases.contains(lease))
                return { 404, {}, "{}" };
            writes.push_back({ row.at("key").get<std::string>(),
                base::base64Decode(row.at("value").get<std::string>()).value_or(""), lease });
        }
        for (const Json& row : body.value("delete", Json::array()))
            writes.push_back({ row.get<std::string>(), std::nullopt, 0 });
        coordination::KvTxnResult result = kvStoreTxn(store, compares, writes);
        if (result.isApplied)
            return { 200, {}, Json { { "revision", result.revision } }.dump() };
        Json items = Json::array();
        for (const KvEntry& entry : result.current)
            items.push_back(entryToJson(entry));
        return { 412, {}, Json { { "items", items } }.dump() };
    }

    net::HttpResponse waitForEvents(const std::string& target)
    {
        std::string prefix = queryValue(target, "prefix");
        int64_t after = std::stoll(queryValue(target, "after"));
        base::TimePoint deadline = base::Clock::now() + base::Millis(std::stoll(queryValue(target, "waitMs")));
        while (true) {
            Json events = Json::array();
            for (const coordination::KvEvent& event : store.history) {
                if (event.entry.modRevision <= after || !event.entry.key.starts_with(prefix))
                    continue;
                if (event.isDelete)
                    events.push_back(
                        { { "key", event.entry.key }, { "revision", event.entry.modRevision }, { "tombstone", true } });
                else
                    events.push_back(entryToJson(event.entry));
            }
            if (!events.empty() || base::Clock::now() >= deadline || isStopped)
                return { 200, {}, Json { { "events", events }, { "storeRevision", store.revision } }.dump() };
            net::sleepFor(watchPoll);
        }
    }
};

StoreStandIn::StoreStandIn(net::Loop& loop)
    : m_impl(std::make_shared<Impl>(loop))
{
}

StoreStandIn::~StoreStandIn() = default;

bool StoreStandIn::listen(std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl](net::HttpExchange& exchange) { impl->handleRequest(exchange); };
    events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
    m_impl->server = net::httpServe(m_impl->loop, { "127.0.0.1", 0 }, {}, std::move(events), error);
    if (!m_impl->server)
        return false;
    m_impl->loop.spawn([impl = m_impl] {
        while (!impl->isStopped) {
            kvStoreExpireLeases(impl->store, base::Clock::now());
            net::sleepFor(expiryInterval);
        }
    });
    return true;
}

void StoreStandIn::stop()
{
    m_impl->isStopped = true;
    m_impl->server->stopAccepting();
    m_impl->server->closeAll();
}

void StoreStandIn::put(const std::string& key, const std::string& value)
{
    kvStoreTxn(m_impl->store, {}, { { key, value, 0 } });
}

void StoreStandIn::remove(const std::string& key)
{
    kvStoreTxn(m_impl->store, {}, { { key, std::nullopt, 0 } });
}

void StoreStandIn::saveCopy()
{
    m_impl->copy = m_impl->store;
}

void StoreStandIn::restoreCopy()
{
    m_impl->store = m_impl->copy;
    ++m_impl->era;
    // The leases of the copy run on from now.
    for (auto& [lease, state] : m_impl->store.leases)
        state.expiresAt = base::Clock::now() + state.timeToLive;
}

int64_t StoreStandIn::era() const
{
    return m_impl->era;
}

base::Address StoreStandIn::address() const
{
    return m_impl->server->address;
}
const KvStore& StoreStandIn::state() const
{
    return m_impl->store;
}
StoreStandInFaults& StoreStandIn::faults()
{
    return m_impl->faults;
}
uint64_t StoreStandIn::callCount() const
{
    return m_impl->callCount;
}

} // namespace rattanshunt::lab

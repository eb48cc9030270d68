#include "admin/AdminServer.h"

#include <charconv>

#include "admin/Explain.h"
#include "base/Counters.h"
#include "base/Json.h"
#include "base/Log.h"

namespace rattanshunt::admin {

using nlohmann::json;

namespace {

    constexpr base::Millis memberCallTimeout { 1500 };
    constexpr size_t maxWatchBatch = 1000;
    constexpr base::Millis watchPollInterval { 500 };

    std::string queryValue(std::string_view target, std::string_view name)
    {
        size_t question = target.find('?');
        if (question == std::string_view::npos)
            return {};
        for (const std::string& part : base::splitText(target.substr(question + 1), '&')) {
            size_t equals = part.find('=');
            if (part.substr(0, equals) == name)
                return equals == std::string::npos ? "1" : part.substr(equals + 1);
        }
        return {};
    }

    net::HttpResponse jsonResponse(int status, const json& body)
    {
        return { status, { { "Content-Type", "application/json" } },
            body.dump(2, ' ', false, json::error_handler_t::replace) + "\n" };
    }

    net::HttpResponse apiResponse(const ApiResult& result)
    {
        int status = apiStatus(result.code);
        if (result.code == ApiCode::Done)
            return jsonResponse(status, result.body);
        json error = { { "type", apiCodeName(result.code) }, { "message", result.message } };
        if (!result.field.empty())
            error["field"] = result.field;
        json body = { { "error", std::move(error) } };
        if (!result.body.is_null())
            body["result"] = result.body;
        return jsonResponse(status, body);
    }

    net::HttpResponse plainResponse(int status, std::string text)
    {
        return { status, { { "Content-Type", "text/plain" } }, std::move(text) };
    }

} // namespace

struct AdminServer::Impl : std::enable_shared_from_this<AdminServer::Impl> {
    Impl(fleet::Fleet& ownFleet, entry::DaemonContext& ownContext, AdminSources ownSources)
        : fleet(ownFleet)
        , context(ownContext)
        , sources(std::move(ownSources))
        , api(ownFleet, { ownContext.settings.tokenValidity })
    {
    }

    fleet::Fleet& fleet;
    entry::DaemonContext& context;
    AdminSources sources;
    ResourceApi api;
    std::optional<net::HttpServerHandle> server;
    bool isStopped = false;

    void onRequest(net::HttpExchange& exchange)
    {
        const net::HttpRequest& request = exchange.request();
        std::string_view target = request.target;
        std::string path(target.substr(0, target.find('?')));
        if (path == "/healthz") {
            exchange.respond(plainResponse(200, "ok\n"));
            return;
        }
        if (path == "/readyz") {
            exchange.respond(plainResponse(context.isReady() ? 200 : 503, context.isReady() ? "ok\n" : "not ready\n"));
            return;
        }
        if (!isAuthorized(request)) {
            exchange.respond(jsonResponse(401,
                { { "error",
                    { { "type", "unauthorized" }, { "field", "Authorization" },
                        { "message", "an operator token is required" } } } }));
            return;
        }
        if (path == "/api/v1/watch") {
            watch(exchange, target);
            return;
        }
        exchange.respond(route(request, path));
    }

    bool isAuthorized(const net::HttpRequest& request) const
    {
        if (context.settings.adminTokenDigest.empty())
            return true;
        static constexpr std::string_view scheme = "Bearer ";
        std::string_view given = net::httpHeader(request.headers, "Authorization");
        if (!given.starts_with(scheme))
            return false;
        return base::equalConstantTime(
            base::hexEncode(base::sha256(given.substr(scheme.size()))), context.settings.adminTokenDigest);
    }

    net::HttpResponse route(const net::HttpRequest& request, const std::string& path)
    {
        auto parts = base::splitText(path, '/');
        if (path == "/counters")
            return plainResponse(200, base::countersText());
        if (parts.size() < 4 || parts[1] != "api" || parts[2] != "v1")
            return notFound(path);
        const std::string& section = parts[3];
        if (request.method == "GET" && parts.size() == 4) {
            if (section == "status")
                return jsonResponse(200, fleetStatus());
            if (section == "report")
                return reportResponse(request.target);
            if (section == "state")
                return jsonResponse(200, explainDaemonState(fleet, context));
        }
        if (request.method == "GET" && section == "explain" && parts.size() == 6)
            return jsonResponse(200, explainSubject(fleet, context, parts[4], parts[5]));
        if (request.method == "POST" && section == "key" && parts.size() == 6)
            return keyCommand(request, parts[4], parts[5]);
        return resourceRoute(request, parts);
    }

    net::HttpResponse notFound(const std::string& path) const
    {
        return jsonResponse(404,
            { { "error", { { "type", "not_found" }, { "field", "path" }, { "message", "no such path: " + path } } } });
    }

    net::HttpResponse keyCommand(const net::HttpRequest& request, const std::string& name, const std::string& command)
    {
        if (command == "withdraw")
            return apiResponse(api.withdrawKey(name));
        if (command != "create")
            return notFound(request.target);
        json body = base::jsonTryParse(request.body);
        if (!body.is_object() || !body.contains("account") || !body["account"].is_string())
            return apiResponse({ ApiCode::Invalid, "account", "must be given as a string", {} });
        return apiResponse(api.createKey(name, body["account"]));
    }

    net::HttpResponse resourceRoute(const net::HttpRequest& request, const std::vector<std::string>& parts)
    {
        const std::string& kind = parts[3];
        if (request.method == "GET" && parts.size() == 4)
            return apiResponse(api.list(kind));
        if (parts.size() != 5)
            return notFound(request.target);
        const std::string& name = parts[4];
        ApplyOptions options;
        options.isDryRun = !queryValue(request.target, "dry_run").empty();
        std::string version = queryValue(request.target, "resource_version");
        if (!version.empty()) {
            coordination::Revision number = 0;
            auto [end, code] = std::from_chars(version.data(), version.data() + version.size(), number);
            if (code != std::errc() || end != version.data() + version.size())
                return apiResponse({ ApiCode::Invalid, "resource_version", "must be a whole number", {} });
            options.expectedRevision = number;
        }
        if (request.method == "GET")
            return apiResponse(api.get(kind, name));
        if (request.method == "DELETE")
            return apiResponse(api.remove(kind, name, options));
        if (request.method != "PUT")
            return jsonResponse(405,
                { { "error",
                    { { "type", "invalid" }, { "field", "method" }, { "message", "must be GET, PUT or DELETE" } } } });
        json spec = base::jsonTryParse(request.body);
        if (spec.is_discarded())
            return apiResponse({ ApiCode::Invalid, "body", "is not JSON in UTF-8", {} });
        return apiResponse(api.apply(kind, name, spec, options));
    }

    // Streams changes of resources after a revision as lines of JSON, until the caller disconnects.
    void watch(net::HttpExchange& exchange, std::string_view target)
    {
        std::string since = queryValue(target, "since");
        coordination::Revision revision = since.empty() ? fleet.mirror().revision : std::atoll(since.c_str());
        if (!exchange.startStream(200, { { "Content-Type", "application/jsonl" } }))
            return;
        bool isOpen = true;
        while (isOpen && !isStopped) {
            if (revision < fleet.mirror().historyStartRevision) {
                exchange.sendChunk(
                    json({ { "error", "history_too_short" }, { "revision", fleet.mirror().revision } }).dump() + "\n");
                break;
            }
            std::string lines = watchLines(revision);
            isOpen = exchange.sendChunk(lines.empty() ? json({ { "revision", revision } }).dump() + "\n" : lines);
            net::sleepFor(watchPollInterval);
        }
        exchange.finishStream();
    }

    std::string watchLines(coordination::Revision& revision) const
    {
        std::string lines;
        size_t count = 0;
        for (const coordination::KvEvent& event : fleet.mirror().history) {
            auto id = resources::resourceIdFromKvKey(event.entry.key);
            if (event.entry.modRevision <= revision || !id || ++count > maxWatchBatch)
                continue;
            json spec = event.isDelete ? json() : base::jsonTryParse(event.entry.value);
            if (spec.is_object())
                spec.erase("digest");
            lines += json({ { "kind", id->kind }, { "name", id->name }, { "deleted", event.isDelete },
                              { "resource_version", event.entry.modRevision }, { "spec", spec } })
                         .dump()
                + "\n";
        }
        revision = std::max(revision, fleet.mirror().revision);
        return lines;
    }

    // Calls `method` on every other member in parallel. Returns the responses by name; null for a member without one.
    std::map<std::string, json> callMembers(const std::string& method)
    {
        struct MemberCalls {
            std::map<std::string, json> responses;
            size_t pending = 0;
            net::Event done;
        };
        auto calls = std::make_shared<MemberCalls>();
        base::TimePoint deadline = base::Clock::now() + memberCallTimeout;
        for (const fleet::Session& member : fleet.sessions()) {
            calls->responses[member.name] = json();
            if (member.name == fleet.self().name)
                continue;
            ++calls->pending;
            fleet.loop().spawn([self = shared_from_this(), calls, member, method, deadline] {
                net::PeerResult response
                    = self->fleet.peers().call(member.peerAddress, method, json::object(), deadline);
                if (response.error == net::PeerError::None)
                    calls->responses[member.name] = std::move(response.body);
                if (--calls->pending == 0)
                    calls->done.set();
            });
        }
        if (calls->pending)
            calls->done.waitUntil(deadline);
        return calls->responses;
    }

    json ownStatus() const
    {
        base::TimePoint now = base::Clock::now();
        // A revision is in force once traffic threads see it, which is slightly later than in the mirror.
        return { { "revision", context.catalog()->revision },
            { "freshness", fleet::freshnessName(fleet.freshness(now)) }, { "ready", context.isReady() },
            { "relay", fleet.isRelay() }, { "data_center", fleet.self().dataCenter },
            { "requests_under_way", sources.requestsInFlight() } };
    }

    json fleetStatus()
    {
        auto responses = callMembers("status");
        responses[fleet.self().name] = ownStatus();
        coordination::Revision newest = 0;
        // Only changes of resources need to be in force; other records are ignored.
        for (auto& [key, record] : fleet.mirror().records) {
            if (key.starts_with(resources::resourceKvPrefix))
                newest = std::max(newest, record.modRevision);
        }
        size_t inForce = 0;
        json lagging = json::array();
        for (auto& [name, response] : responses) {
            bool isUpToDate
                = response.is_object() && response.value("revision", coordination::Revision { 0 }) >= newest;
            inForce += isUpToDate;
            if (!isUpToDate)
                lagging.push_back(name);
        }
        placement::PlacementStatus placement = context.placement.status();
        return { { "revision", newest }, { "in_force_on", inForce }, { "instances", responses.size() },
            { "lagging", lagging }, { "members", responses }, { "placement_owner", placement.owner },
            { "loads_under_way", placement.loadsUnderWay } };
    }

    net::HttpResponse reportResponse(const std::string& target)
    {
        reports::RequestStats stats = sources.requestStats();
        reports::BurnReport report;
        size_t answered = 1;
        double idleSeconds = context.placement.status().idleAcceleratorSeconds;
        auto responses = callMembers("book");
        for (auto& [name, response] : responses) {
            if (!response.is_object())
                continue;
            try {
                reports::requestStatsMerge(stats, reports::requestStatsFromJson(response.at("book")));
                idleSeconds = std::max(idleSeconds, response.at("idle_seconds").get<double>());
                ++answered;
            } catch (const json::exception&) {
                base::logEvent(base::LogLevel::Warning, "report.malformed", { { "peer", name } });
            }
        }
        report = reports::burnReport(stats, reports::minuteNow());
        report.daemonsAsked = std::max<size_t>(responses.size(), 1);
        report.daemonsAnswered = answered;
        constexpr double secondsPerHour = 3600;
        report.idleAcceleratorHours = idleSeconds / secondsPerHour;
        std::string format = queryValue(target, "format");
        if (format == "html")
            return { 200, { { "Content-Type", "text/html; charset=utf-8" } }, reports::burnReportHtml(report) };
        if (format == "json")
            return jsonResponse(200, reports::burnReportJson(report));
        return plainResponse(200, reports::burnReportText(report));
    }
};

AdminServer::AdminServer(fleet::Fleet& fleet, entry::DaemonContext& context, AdminSources sources)
    : m_impl(std::make_shared<Impl>(fleet, context, std::move(sources)))
{
    fleet.addMethod("status", [impl = m_impl](const std::string&, const json&) { return impl->ownStatus(); });
    fleet.addMethod("book", [impl = m_impl](const std::string&, const json&) {
        return json({ { "book", reports::requestStatsToJson(impl->sources.requestStats()) },
            { "idle_seconds", impl->context.placement.status().idleAcceleratorSeconds } });
    });
}

AdminServer::~AdminServer() = default;

bool AdminServer::listen(base::Address& address, std::string& error)
{
    net::HttpServerEvents events;
    events.onRequest = [impl = m_impl](net::HttpExchange& exchange) { impl->onRequest(exchange); };
    events.onMalformed = [](int status, std::string_view reason) {
        return jsonResponse(status, { { "error", { { "type", "invalid" }, { "message", reason } } } });
    };
    m_impl->server = net::httpServe(m_impl->fleet.loop(), address, {}, std::move(events), error);
    if (m_impl->server)
        address = m_impl->server->address;
    return m_impl->server.has_value();
}

void AdminServer::stop()
{
    m_impl->isStopped = true;
    if (m_impl->server)
        m_impl->server->stopAccepting();
}

} // namespace rattanshunt::admin

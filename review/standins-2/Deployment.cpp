#include "Deployment.h"

namespace review {

namespace {
    constexpr Millis beatInterval { 1200 };
    constexpr Millis restartDelay { 1000 };    // of a process that has ended
    constexpr Millis memoryInterval { 10 };    // between two looks at its memory
    constexpr Millis ordinaryInterval { 250 }; // between two ordinary requests
}

Json configuration(const Json& models, double weightsMb)
{
    auto route = [](const char* name, const char* prefix, const char* type, const char* service, int timeoutMs) {
        return Json { { "name", name }, { "host", siteHost }, { "prefix", prefix }, { "routeType", type },
            { "timeoutMs", timeoutMs }, { "targetLatencyMs", 300 }, { "priority", 2 }, { "service", service },
            { "maxAttempts", 1 }, { "public", false }, { "sticky", false }, { "resumable", false },
            { "targetGapMs", 600 } };
    };
    Json plain { { "name", "dispatch" }, { "healthPath", "/health" }, { "maxConnections", 232 } };
    Json engine { { "slots", 64 }, { "kvCapacity", 232000 }, { "models", models }, { "weightsMb", weightsMb },
        { "adapterSlots", 8 }, { "loadsPerS", 4.2 } };
    Json drafter { { "name", "drafter" }, { "healthPath", "/health" }, { "maxConnections", 781 },
        { "engine", engine } };
    return Json { { "version", 7 },
        { "routes",
            { route("r-send", "/send/", "unsafe", "dispatch", 2000),
                route("r-status", "/status/", "safe", "dispatch", 2000),
                route("r-draft", "/draft/", "stream", "drafter", 15000) } },
        { "services", { plain, drafter } },
        { "limits",
            { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15000 } } },
        { "tenants",
            { { { "name", "hule930" }, { "apiKeys", { siteKey, otherKey } }, { "priority", 1 }, { "unit", "tokens" },
                { "plainTokens", 200 }, { "ratePerS", 61041 }, { "burst", 68878 } } } } };
}

Request siteRequest(
    const std::string& method, const std::string& path, const std::string& id, const std::string& body, int deadlineMs)
{
    return { method, path,
        { { "Host", siteHost }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(deadlineMs) },
            { "Authorization", std::string("Token ") + siteKey } },
        body };
}

PlainReplica::PlainReplica(std::string id, Store& store, Record& record, Millis work)
    : m_id(std::move(id))
    , m_store(store)
    , m_record(record)
    , m_work(work)
    , m_server([this](const Request& request, Connection&) { return handle(request); })
{
    m_beats = std::thread([this] {
        for (int64_t sequence = 1; !m_isStopped; ++sequence) {
            m_store.put("servers/" + m_id, entryOf("dispatch", m_server.port(), 6, sequence, m_bornMillis).dump());
            sleepFor(beatInterval);
        }
    });
}

PlainReplica::~PlainReplica()
{
    m_isStopped = true;
    m_beats.join();
}

std::vector<Run> PlainReplica::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::optional<Response> PlainReplica::handle(const Request& request)
{
    std::string id = headerOf(request.headers, "Request-Id");
    if (request.target == "/health")
        return Response { 200, { { "Instance-Id", m_id }, { "Server-Load", "0,0,6" } }, "" };
    std::string expected = headerOf(request.headers, "Expect-Instance");
    if (!expected.empty() && expected != m_id)
        return Response { 421, { { "Instance-Id", m_id }, { "Not-Executed", "1" } }, "" };
    m_record.add("run at " + m_id + ": " + request.method + " " + request.target + " id=" + id
        + " body=" + std::to_string(request.body.size()) + " bytes");
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({ id, request.method, request.target, request.body, m_record.seconds() });
    }
    sleepFor(m_work);
    return Response { 200,
        { { "Request-Id", id }, { "Server-Seal", "3e1b.07.5a2.600.0." + id }, { "Server-Load", "1,0,6" },
            { "Keep-Alive", "timeout=15" } },
        "answer to " + id + "\n" };
}

Machine::Machine(Gateway& gateway, Record& record, int memoryMb)
    : m_gateway(gateway)
    , m_record(record)
    , m_memoryMb(memoryMb)
    , m_thread([this] { watch(); })
{
}

Machine::~Machine()
{
    m_isStopped = true;
    m_thread.join();
}

void Machine::watch()
{
    while (!m_isStopped) {
        size_t bytes = m_gateway.residentBytes();
        m_peakBytes = std::max<size_t>(m_peakBytes, bytes);
        bool isOver = bytes > static_cast<size_t>(m_memoryMb) * 1024 * 1024;
        if (isOver) {
            m_gateway.stop();
            m_record.add("the platform ended " + m_gateway.name() + ": " + std::to_string(bytes >> 20) + " MB of "
                + std::to_string(m_memoryMb));
        }
        if (isOver || m_gateway.hasEnded()) {
            if (!isOver)
                m_record.add(m_gateway.name() + " has ended by itself");
            ++m_ends;
            sleepFor(restartDelay);
            m_gateway.start();
        }
        sleepFor(memoryInterval);
    }
}

void callInTurn(Gateway& gateway, Record& record, const std::atomic<bool>& isStopped, std::atomic<int>& answered,
    std::atomic<int>& unanswered)
{
    for (int i = 0; !isStopped; ++i) {
        std::string id = gateway.name() + "-" + std::to_string(i);
        Response response = call(gateway.clientPort(), siteRequest("POST", "/send/notice", id, "notice"));
        record.add("ordinary request " + id + ": "
            + (response.status ? "answered " + std::to_string(response.status) : std::string("no answer")));
        ++(response.status ? answered : unanswered);
        sleepFor(ordinaryInterval);
    }
}

} // namespace review

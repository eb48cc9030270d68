// A request crashes each replica that begins to run it. Its caller repeats it at once and often, at any machine.
#include "Deployment.h"

#include <algorithm>

using namespace review;

namespace {

constexpr const char* poisonPath = "/status/region-17";
constexpr Millis downTime { 3000 };
constexpr Millis workTime { 30 };
constexpr Millis contactTime { 3000 }; // contactMs of sites/msc-notices.toml
constexpr Millis beatInterval { 1200 };
constexpr Millis burstInterval { 5000 };
constexpr int bursts = 4;
constexpr int requestsAtOnce = 4; // retry_abuse: a client repeats 3 more times, at once
constexpr size_t crashesBefore = 3;
constexpr size_t allowedRetries = 3;

// What the replicas of the service saw together.
struct Sightings {
    std::mutex mutex;
    std::vector<double> crashes;
    std::vector<double> poisonArrivals;
    int ordinaryCut = 0;
};

// A replica of the service "dispatch". A crash resets its connections; it is back under another id and address.
class FragileReplica {
public:
    FragileReplica(std::string name, Store& store, Record& record, Sightings& sightings, bool crashes)
        : m_name(std::move(name))
        , m_store(store)
        , m_record(record)
        , m_sightings(sightings)
        , m_crashes(crashes)
    {
        start();
        std::thread([this] { beatLoop(); }).detach();
    }

private:
    void start()
    {
        auto server = std::make_shared<Server>([this](const Request& request, Connection&) { return handle(request); });
        std::lock_guard lock(m_mutex);
        m_servers.push_back(server);
        m_id = m_name + "-" + std::to_string(m_servers.size());
        m_bornMillis = unixMillis();
        m_isUp = true;
        m_running = 0;
        beat();
    }

    // Precondition: m_mutex is held.
    void beat()
    {
        m_store.put(
            "servers/" + m_id, entryOf("dispatch", m_servers.back()->port(), 6, ++m_beats, m_bornMillis).dump());
    }

    void beatLoop()
    {
        while (true) {
            sleepFor(beatInterval);
            std::lock_guard lock(m_mutex);
            if (m_isUp)
                beat();
        }
    }

    void crash()
    {
        std::shared_ptr<Server> server;
        std::string id;
        {
            std::lock_guard lock(m_mutex);
            if (!m_isUp)
                return;
            m_isUp = false;
            server = m_servers.back();
            id = m_id;
            std::lock_guard sightingsLock(m_sightings.mutex);
            m_sightings.crashes.push_back(m_record.seconds());
            m_sightings.ordinaryCut += m_running;
            m_record.add(id + " crashes, with " + std::to_string(m_running) + " other requests under way");
        }
        server->stop();
        std::thread([this, id] {
            sleepFor(downTime);
            start();
            sleepFor(beatInterval * 3 - downTime); // three intervals of silence
            m_store.remove("servers/" + id);
        }).detach();
    }

    std::optional<Response> handle(const Request& request)
    {
        std::string id = headerOf(request.headers, "Request-Id");
        std::string ownId;
        {
            std::lock_guard lock(m_mutex);
            ownId = m_id;
        }
        std::string expected = headerOf(request.headers, "Expect-Instance");
        if (!expected.empty() && expected != ownId)
            return Response { 421, { { "Instance-Id", ownId }, { "Not-Executed", "1" } }, "" };
        bool isPoison = request.target == poisonPath;
        m_record.add("run at " + ownId + ": " + request.method + " " + request.target + " id=" + id);
        if (isPoison) {
            std::lock_guard lock(m_sightings.mutex);
            m_sightings.poisonArrivals.push_back(m_record.seconds());
        }
        if (isPoison && m_crashes) {
            crash();
            return std::nullopt;
        }
        {
            std::lock_guard lock(m_mutex);
            ++m_running;
        }
        sleepFor(workTime);
        std::lock_guard lock(m_mutex);
        if (!m_isUp || m_id != ownId)
            return std::nullopt;
        --m_running;
        return Response { 200,
            { { "Request-Id", id }, { "Server-Seal", "3e1b.07.5a2.600.0." + id },
                { "Server-Load", std::to_string(m_running) + ",0,6" }, { "Keep-Alive", "timeout=15" } },
            "answer to " + id + "\n" };
    }

    std::string m_name;
    Store& m_store;
    Record& m_record;
    Sightings& m_sightings;
    bool m_crashes;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Server>> m_servers; // of all starts; threads of connections may still use earlier ones
    std::string m_id;
    int64_t m_bornMillis = 0;
    int64_t m_beats = 0;
    bool m_isUp = false;
    int m_running = 0;
};

} // namespace

int main(int, char** arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    std::string directory = temporaryDirectory();
    Store store;
    Json config = configuration();
    config["routes"][1]["maxAttempts"] = 2; // as on the site
    store.put("op/config", config.dump());
    Sightings sightings;
    std::vector<std::unique_ptr<FragileReplica>> replicas;
    for (int i = 1; i <= 4; ++i)
        replicas.push_back(
            std::make_unique<FragileReplica>("i-7f3a91c" + std::to_string(i), store, record, sightings, hasTrouble()));
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int i = 1; i <= 3; ++i) {
        gateways.push_back(std::make_unique<Gateway>("front-port-louis-" + std::to_string(i), store.port(), directory));
        gateways.back()->start();
    }
    for (auto& gateway : gateways) {
        if (!gateway->waitReady(Millis(15000)))
            finish(2);
    }
    sleepFor(contactTime + Millis(2000));

    std::atomic<bool> isStopped = false;
    std::atomic<int> answered = 0;
    std::atomic<int> unanswered = 0;
    std::vector<std::thread> callers;
    for (auto& gateway : gateways)
        callers.emplace_back([&] { callInTurn(*gateway, record, isStopped, answered, unanswered); });
    int number = 0;
    for (int burst = 0; burst < bursts; ++burst) {
        std::vector<std::thread> requests;
        for (int i = 0; i < requestsAtOnce; ++i) {
            ++number;
            requests.emplace_back([&, number] {
                std::string id = "p" + std::to_string(number);
                Gateway& gateway = *gateways[static_cast<size_t>(number) % gateways.size()];
                record.add("sent " + id + " (" + poisonPath + ") to " + gateway.name());
                Response response = call(gateway.clientPort(), siteRequest("GET", poisonPath, id));
                record.add(id + ": "
                    + (response.status ? "answered " + std::to_string(response.status) : std::string("no answer")));
            });
        }
        sleepFor(burstInterval);
        for (std::thread& request : requests)
            request.join();
    }
    isStopped = true;
    for (std::thread& caller : callers)
        caller.join();
    size_t late = 0;
    {
        std::lock_guard lock(sightings.mutex);
        std::sort(sightings.crashes.begin(), sightings.crashes.end());
        for (double arrival : sightings.poisonArrivals) {
            if (sightings.crashes.size() >= crashesBefore
                && arrival > sightings.crashes[crashesBefore - 1] + std::chrono::duration<double>(contactTime).count())
                ++late;
        }
        record.add(std::to_string(sightings.crashes.size()) + " crashes, which cut off "
            + std::to_string(sightings.ordinaryCut) + " other requests; the request reached replicas "
            + std::to_string(sightings.poisonArrivals.size()) + " times, " + std::to_string(late)
            + " of them later than contactMs after the third crash");
    }
    record.add("ordinary requests: " + std::to_string(answered) + " answered, " + std::to_string(unanswered)
        + " without an answer");
    bool isBroken = late > allowedRetries;
    record.add(isBroken ? "BROKEN BUDGET" : "the rule held");
    for (auto& gateway : gateways)
        gateway->stop();
    finish(isBroken ? 1 : 0);
}

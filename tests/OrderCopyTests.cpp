// Replicas that send an earlier answer of a connection once more, where the answer to the hub's next order or report is
// due. The hub must not take it for that answer: what it believes of the replica decides what it orders next.
#include <map>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ByteStandIn.h"
#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using Json = nlohmann::json;

namespace {

constexpr size_t adapterSlots = 2; // as in labConfiguration()
constexpr const char* replicaId = "i-1";
constexpr base::Seconds adapterUseTime { 2 }; // of an adapter that is unloaded while a request uses it

// An engine replica that accepts orders as the platform's do. Scripts choose what it refuses and what it sends twice.
struct CopyingReplica {
    net::Loop& loop;
    base::Millis copyLeadTime; // from a copy to the answer that is due
    ByteStandIn server;
    std::set<std::string> models;
    std::set<std::string> adapters; // as MODEL/ADAPTER
    int64_t ordersAccepted = 0;
    int64_t startedAtMillis = 1700000000000;
    std::string limit;                      // that its answers name; empty: none
    std::multiset<std::string> misdirected; // models of requests that it does not have
    std::map<std::string, size_t> arrivals; // orders by name
    bool wasOvercommitted = false;
    size_t copiesSent = 0;

    // The status of an order, or nothing for an order that gets no answer.
    std::function<std::optional<int>(const Json&)> onOrder = [this](const Json& order) { return execute(order); };
    // Which earlier answer of the connection is sent before the one that is due: "report", "order" or none.
    std::function<std::string(const std::string& call)> chooseCopy = [](const std::string&) { return ""; };

    CopyingReplica(net::Loop& testLoop, base::Millis leadTime)
        : loop(testLoop)
        , copyLeadTime(leadTime)
        , server(testLoop,
              [this](ByteConnection& connection, const net::HttpRequest& request) { serve(connection, request); })
    {
        std::string error;
        cr_assert(server.listen(error), "%s", error.c_str());
    }

    std::string entry() const
    {
        Json entry = Json::parse(byteReplicaEntry("engine", server.address()));
        entry["models"] = modelsJson();
        entry["born"] = startedAtMillis;
        return entry.dump();
    }

    // A crash and a new start under the same identifier.
    void restart()
    {
        models.clear();
        adapters.clear();
        ordersAccepted = 0;
        ++startedAtMillis;
    }

    static std::string nameOf(const Json& order)
    {
        std::string adapter = order.value("adapter", "");
        return order.at("operation").get<std::string>() + " " + order.at("model").get<std::string>()
            + (adapter.empty() ? "" : "/" + adapter);
    }

    int execute(const Json& order)
    {
        if (order.at("expected").get<int64_t>() != ordersAccepted)
            return 409;
        ++ordersAccepted;
        std::string model = order.at("model").get<std::string>();
        std::string adapter = order.value("adapter", "");
        bool isLoad = order.at("operation") == "load";
        if (adapter.empty()) {
            isLoad ? (void)models.insert(model) : (void)models.erase(model);
            return 202;
        }
        if (isLoad)
            adapters.insert(model + "/" + adapter);
        else
            loop.spawn([this, name = model + "/" + adapter] {
                net::sleepFor(adapterUseTime);
                adapters.erase(name);
            });
        wasOvercommitted = wasOvercommitted || adapters.size() > adapterSlots;
        return 202;
    }

private:
    Json modelsJson() const
    {
        Json list = Json::array();
        for (const std::string& model : models) {
            Json names = Json::array();
            for (const std::string& adapter : adapters) {
                if (adapter.starts_with(model + "/"))
                    names.push_back(adapter.substr(model.size() + 1));
            }
            list.push_back({ { "name", model }, { "version", 1 }, { "adapters", names } });
        }
        return list;
    }

    // The platform's replicas name no id in their answers to orders and reports.
    std::string answer(int status, const std::string& body) const
    {
        return fmt::format(
            "HTTP/1.1 {} Status\r\n{}Content-Length: {}\r\n\r\n{}", status, limitLine(), body.size(), body);
    }

    std::string limitLine() const { return limit.empty() ? "" : "Server-Limit: " + limit + "\r\n"; }

    void serve(ByteConnection& connection, const net::HttpRequest& request)
    {
        bool isReport = request.target == "/rattanshunt/report";
        bool isOrder = request.target == "/rattanshunt/order";
        if (!isReport && !isOrder)
            return serveStream(connection, request);
        if (connection.requestNumber() == 0)
            m_answers[&connection].clear(); // of an earlier connection at this address in memory
        std::string call = "report";
        std::optional<int> status = 200;
        if (isOrder) {
            Json order = Json::parse(request.body);
            call = nameOf(order);
            ++arrivals[call];
            status = onOrder(order);
        }
        auto& answers = m_answers[&connection];
        std::string copied = chooseCopy(call);
        if (!copied.empty() && answers.contains(copied)) {
            ++copiesSent;
            connection.send(answers[copied]);
            net::sleepFor(copyLeadTime);
        }
        if (!status)
            return;
        std::string text = answer(*status,
            isOrder ? ""
                    : Json { { "models", modelsJson() }, { "busy", false }, { "sequence", ordersAccepted },
                        { "born", startedAtMillis } }
                          .dump());
        answers[isOrder ? "order" : "report"] = text;
        connection.send(text);
    }

    void serveStream(ByteConnection& connection, const net::HttpRequest& request)
    {
        std::string_view id = net::httpHeader(request.headers, "Request-Id");
        std::string model(net::httpHeader(request.headers, "Model"));
        if (!models.contains(model) && !adapters.contains(model)) {
            misdirected.insert(model);
            connection.send(fmt::format("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {}\r\nInstance-Id: {}\r\n"
                                        "Content-Length: 0\r\n\r\n",
                id, replicaId));
            return;
        }
        std::string events = "id: 1\ndata: piece\n\n";
        connection.send(fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Seal: seal\r\n{}Content-Type: "
                                    "text/event-stream\r\nContent-Length: {}\r\n\r\n{}",
            id, limitLine(), events.size(), events));
    }

    std::map<ByteConnection*, std::map<std::string, std::string>> m_answers; // the last of each kind
};

// One gateway, which is the hub, and one replica. Callers of models wait until they are loaded.
struct CopyFleet {
    net::Loop& loop;
    GatewayFleet fleet;
    CopyingReplica replica;
    LabGateway* gateway = nullptr;
    size_t openCalls = 0;

    CopyFleet(net::Loop& testLoop, base::Millis copyLeadTime)
        : loop(testLoop)
        , fleet(testLoop)
        , replica(testLoop, copyLeadTime)
    {
        replica.models = { "m1" };
        fleet.configure(labConfiguration(1));
    }
    ~CopyFleet()
    {
        while (openCalls)
            net::sleepFor(base::Millis(10));
        replica.server.stop();
        fleet.stop();
    }

    void start()
    {
        publishEntry();
        gateway = &fleet.addGateway("g0");
        cr_assert(fleet.waitReady());
        cr_assert(waitUntil([&] { return gateway->hubSync.directory().replicas.size() == 1; }));
    }

    void publishEntry() { fleet.store().put(fmt::format("servers/{}", replicaId), replica.entry()); }

    void callInBackground(const std::string& model, base::Millis leaveAfter)
    {
        ++openCalls;
        loop.spawn([this, model, leaveAfter] {
            fleet.call(*gateway, labRequest("/stream/x", fmt::format("{:016x}", ++m_callCount), model), leaveAfter);
            --openCalls;
        });
    }

    // False if `condition` has not become true in `time`.
    bool waitUntil(const std::function<bool()>& condition, base::Millis time = base::Millis(5000))
    {
        base::TimePoint deadline = base::Clock::now() + time;
        while (!condition()) {
            if (base::Clock::now() > deadline)
                return false;
            net::sleepFor(base::Millis(5));
        }
        return true;
    }

    // Requests per second that the hub lets all members send to the replica; negative: not limited.
    double limitInForce()
    {
        auto limit = gateway->hubSync.replicaLimit(replicaId, replica.startedAtMillis);
        return limit ? *limit : -1;
    }

    // Whether the hub tells all members that the replica has the adapter.
    bool isPlaced(const std::string& model, const std::string& adapter)
    {
        auto found = gateway->hubSync.directory().replicas.find(replicaId);
        if (found == gateway->hubSync.directory().replicas.end())
            return false;
        for (const gateway::LoadedModel& each : directory::replicaModels(found->second)) {
            if (each.name == model
                && std::find(each.adapters.begin(), each.adapters.end(), adapter) != each.adapters.end())
                return true;
        }
        return false;
    }

private:
    size_t m_callCount = 0;
};

// Runs `body` on two fleets at the same time: a copy arrives together with the answer that is due, or while the call is
// still under way.
void forEachLeadTime(const std::function<void(CopyFleet&)>& body)
{
    tests::runOnLoop([&](net::Loop& loop) {
        size_t running = 0;
        for (base::Millis leadTime : { base::Millis(0), base::Millis(100) }) {
            ++running;
            loop.spawn([&, leadTime] {
                {
                    CopyFleet fleet(loop, leadTime);
                    body(fleet);
                }
                --running;
            });
        }
        while (running)
            net::sleepFor(base::Millis(10));
    });
}

} // namespace

// Guards LIMIT: an adapter in use keeps its slot after "accepted", and has left it after "holds already".
Test(order_copy, a_copy_of_a_report_does_not_free_the_slot_of_an_adapter_in_use, .timeout = 30)
{
    forEachLeadTime([](CopyFleet& test) {
        test.replica.adapters = { "m1/a1", "m1/a2" };
        test.replica.chooseCopy = [](const std::string& call) { return call.starts_with("unload") ? "report" : ""; };
        test.start();
        test.callInBackground("m1/a3", base::Millis(4500));
        cr_expect(test.waitUntil([&] { return test.replica.adapters.contains("m1/a3"); }, base::Millis(6000)));
        cr_expect(!test.replica.wasOvercommitted, "copy %d ms before the answer",
            static_cast<int>(test.replica.copyLeadTime.count()));
    });
}

// Guards the placement that members are told: requests for the adapter would go to a replica that lacks it.
Test(order_copy, a_copy_of_an_acceptance_accepts_no_refused_load, .timeout = 30)
{
    forEachLeadTime([](CopyFleet& test) {
        test.replica.onOrder = [&](const Json& order) {
            return CopyingReplica::nameOf(order) == "load m1/a2" ? 409 : test.replica.execute(order);
        };
        test.replica.chooseCopy = [](const std::string& call) { return call == "load m1/a2" ? "order" : ""; };
        test.start();
        test.callInBackground("m1/a1", base::Millis(3000));
        cr_expect(test.waitUntil([&] { return test.replica.adapters.contains("m1/a1"); }));
        test.callInBackground("m1/a2", base::Millis(1500));
        bool wasPlaced = test.waitUntil([&] { return test.isPlaced("m1", "a2"); }, base::Millis(1500));
        cr_expect(test.replica.arrivals["load m1/a2"] > 0);
        cr_expect(!wasPlaced && test.replica.misdirected.empty(),
            "copy %d ms before the answer; %d requests reached a replica without the adapter",
            static_cast<int>(test.replica.copyLeadTime.count()), static_cast<int>(test.replica.misdirected.size()));
    });
}

// Guards LIMIT: an order without an answer may be carried out after a restart, when the number of orders agrees again.
Test(order_copy, a_copy_of_a_refusal_is_not_the_answer_to_an_order_that_is_carried_out_late, .timeout = 30)
{
    forEachLeadTime([](CopyFleet& test) {
        CopyingReplica& replica = test.replica;
        replica.adapters = { "m1/a1" };
        replica.ordersAccepted = 3;
        std::optional<Json> late;
        replica.onOrder = [&](const Json& order) -> std::optional<int> {
            if (replica.startedAtMillis != 1700000000000)
                return replica.execute(order);
            if (replica.arrivals["load m1/a2"] < 2 || late)
                return 409;
            late = order;
            return std::nullopt;
        };
        replica.chooseCopy = [&](const std::string& call) {
            return late && !replica.copiesSent && call == "load m1/a2" ? "order" : "";
        };
        test.start();
        test.callInBackground("m1/a2", base::Millis(2000));
        cr_assert(test.waitUntil([&] { return late.has_value(); }));
        cr_expect(test.waitUntil([&] { return !test.openCalls; })); // longer than an order waits for its answer
        replica.restart();
        test.publishEntry();
        test.callInBackground("m1/a3", base::Millis(4000));
        test.callInBackground("m1/a4", base::Millis(4000));
        test.waitUntil([&] { return replica.ordersAccepted == late->at("expected").get<int64_t>(); });
        cr_expect(replica.models.contains("m1") && !replica.adapters.empty());
        replica.execute(*late);
        cr_expect(
            !replica.wasOvercommitted, "copy %d ms before the answer", static_cast<int>(replica.copyLeadTime.count()));
    });
}

// Guards the rate that a replica asked for: a higher one counts only if it answers a later call.
Test(order_copy, a_copy_of_a_report_does_not_raise_the_limit_of_a_replica, .timeout = 30)
{
    forEachLeadTime([](CopyFleet& test) {
        CopyingReplica& replica = test.replica;
        replica.limit = "50";
        replica.chooseCopy = [&](const std::string& call) {
            return call == "report" && replica.limit == "2" && !replica.copiesSent ? "report" : "";
        };
        test.start();
        cr_assert(test.waitUntil([&] { return test.limitInForce() == 50; }));
        replica.limit = "2";
        test.callInBackground("m1", base::Millis(2000));
        cr_expect(test.waitUntil([&] { return test.limitInForce() == 2; }));
        cr_expect(!test.waitUntil([&] { return test.limitInForce() != 2; }, base::Millis(2500)),
            "copy %d ms before the answer: the limit became %g", static_cast<int>(replica.copyLeadTime.count()),
            test.limitInForce());
    });
}

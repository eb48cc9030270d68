// What operators of similar systems were hit by, tried on both request paths: late copies of answers on connections in
// use again, slow and stalled streams, lost answers, hand-overs between two hubs, answers that break off.
#include "ByteFleet.h"
#include "FaultProxy.h"
#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::ByteFleet;
using tests::requestIdOf;

namespace {

std::string plainResponse(const std::string& id, bool hasId = true)
{
    std::string body = "answer to " + id;
    return fmt::format("HTTP/1.1 200 OK\r\n{}Server-Seal: seal\r\nContent-Length: {}\r\n\r\n{}",
        hasId ? "Request-Id: " + id + "\r\n" : "", body.size(), body);
}

} // namespace

// ---- Late copies --------------------------------------------------------------------------------

// The copy of the answer before arrives just before the own answer, on a connection that is in use again.
Test(answer_integrity, a_late_copy_of_an_answer_reaches_no_other_caller, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (bool copyHasId : { true, false }) {
            std::map<ByteConnection*, std::string> previousIds;
            ByteFleet bytes(loop, "plain", 2, [&](ByteConnection& connection, const net::HttpRequest& request) {
                std::string id = requestIdOf(request);
                std::string& previous = previousIds[&connection];
                if (connection.requestNumber() == 0)
                    previous.clear();
                std::string copy = previous.empty() ? "" : plainResponse(previous, copyHasId);
                previous = id;
                connection.send(copy + plainResponse(id));
            });
            int served = 0;
            for (int i = 0; i < 60; ++i) {
                std::string id = fmt::format("copy-{}", i);
                CallerResponse response = bytes.call(i % 2 ? "/once/" : "/safe/", id);
                if (response.status == 200)
                    cr_expect_eq(response.body, "answer to " + id, "%s got \"%s\"", id.c_str(), response.body.c_str());
                else
                    cr_expect_eq(response.status, 502, "%s got status %d", id.c_str(), response.status);
                served += response.status == 200;
                if (i % 2)
                    cr_expect_leq(bytes.runsById[id], 1);
            }
            cr_expect_geq(served, 30);
        }
    });
}

// ---- Slow and stalled streams -------------------------------------------------------------------

Test(answer_integrity, a_slow_stream_is_delivered_whole_and_a_stalled_one_ends_by_its_deadline, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        tests::GatewayFixture fixture(loop);
        for (ReplicaStandIn* replica : fixture.engine)
            replica->setProcessingTime(base::Millis(700)); // several times the target gap of the route
        CallerResponse slow = fixture.call("/single/", "slow", "m1");
        cr_expect_eq(slow.error, net::HttpCallError::None);
        cr_expect_eq(slow.status, 200);
        cr_expect_neq(slow.body.find("id: 5\n"), std::string::npos);
        // Two events, then a byte of a comment now and then.
        ByteFleet bytes(loop, "engine", 1, [](ByteConnection& connection, const net::HttpRequest& request) {
            std::string piece = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            connection.send(fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Seal: seal\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                requestIdOf(request), piece.size(), piece));
            while (connection.send("1\r\n:\r\n"))
                net::sleepFor(base::Millis(50));
        });
        CallerResponse stalled = bytes.call("/single/", "stalled", base::Millis(1200));
        cr_expect_neq(stalled.error, net::HttpCallError::None);
        cr_expect_lt(stalled.duration, base::Millis(1700));
        cr_expect_geq(stalled.duration, base::Millis(1100));
        net::sleepFor(base::Millis(300));
        cr_expect_leq(bytes.replicas[0]->openConnectionCount(), 1);
    });
}

// ---- Answers that are lost or break off ---------------------------------------------------------

Test(answer_integrity, an_answer_that_breaks_off_is_never_delivered_as_complete, .timeout = 60)
{
    using Breaker = std::function<void(ByteConnection&, const std::string& head)>;
    std::vector<std::pair<const char*, Breaker>> breakers = {
        { "length cut short, closed",
            [](ByteConnection& c, const std::string& head) {
                c.send(head + "Content-Length: 40\r\n\r\nid: 1\ndata: a\n\n");
                c.close();
            } },
        { "chunks without an end, closed",
            [](ByteConnection& c, const std::string& head) {
                c.send(head + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
                c.close();
            } },
        { "chunk cut short, reset",
            [](ByteConnection& c, const std::string& head) {
                c.send(head + "Transfer-Encoding: chunked\r\n\r\nff\r\nid: 1\ndata: a\n\n");
                net::sleepFor(base::Millis(30));
                c.reset();
            } },
        { "no length, reset",
            [](ByteConnection& c, const std::string& head) {
                c.send(head + "\r\nid: 1\ndata: a\n\n");
                net::sleepFor(base::Millis(30));
                c.reset();
            } },
        { "half a head",
            [](ByteConnection& c, const std::string& head) {
                c.send(head);
                c.close();
            } },
    };
    tests::runOnLoop([&](net::Loop& loop) {
        for (auto& [name, breaker] : breakers) {
            for (const char* service : { "plain", "engine" }) {
                ByteFleet bytes(loop, service, 2, [&](ByteConnection& connection, const net::HttpRequest& request) {
                    breaker(connection,
                        fmt::format(
                            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Seal: seal\r\n", requestIdOf(request)));
                });
                bool isStream = std::string(service) == "engine";
                for (const char* path :
                    isStream ? std::vector { "/stream/", "/single/" } : std::vector { "/safe/", "/once/" }) {
                    std::string id = std::string("broken") + path;
                    CallerResponse response = bytes.call(path, id);
                    bool isComplete = response.error == net::HttpCallError::None && response.status == 200;
                    cr_expect(!isComplete, "%s, %s", name, path);
                    // It has run, so nothing may say that it has not.
                    cr_expect(
                        response.status == 502 || response.status == 504 || response.error != net::HttpCallError::None,
                        "%s, %s: status %d", name, path, response.status);
                    if (std::string(path) == "/once/" || std::string(path) == "/single/")
                        cr_expect_eq(bytes.runsById[id], 1, "%s, %s", name, path);
                }
            }
        }
    });
}

// ---- Hand-over ----------------------------------------------------------------------------------

// The hub is cut from the store, not from the replicas, while models and adapters are asked for. Its successor must not
// order within the hand-over delay of its last order, nor may it order after the successor's first. More adapters are
// asked for than there are slots, so that both give orders all the time.
Test(answer_integrity, a_hub_that_is_cut_from_the_store_orders_nothing_beside_its_successor, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        GatewayFleet fleet(loop);
        fleet.configure(labConfiguration(1));
        ReplicaStandIn* replicas[2];
        for (int i = 0; i < 2; ++i) {
            ReplicaStandInOptions options;
            options.id = fmt::format("i-engine-{}", i);
            options.service = "engine";
            options.isEngine = true;
            options.modelSizesMb = { { "m1", 40 }, { "m2", 40 }, { "m3", 40 } };
            options.loadedModels = { "m1" };
            replicas[i] = &fleet.addReplica(options);
        }
        FaultProxy proxy(loop, fleet.store().address());
        std::string error;
        cr_assert(proxy.listen(error), "%s", error.c_str());
        LabGateway& first = fleet.addGateway("g0", proxy.address());
        while (!first.hubSync.isHub())
            net::sleepFor(base::Millis(10));
        LabGateway& second = fleet.addGateway("g1");
        cr_assert(fleet.waitReady());
        net::sleepFor(base::Millis(500));
        bool isLoading = true;
        int loaders = 0;
        for (LabGateway* gateway : { &first, &second }) {
            for (const char* model : { "m2", "m3", "m1/a1", "m1/a2", "m1/a3", "m1/a4", "m2/a1", "m2/a2" }) {
                ++loaders;
                loop.spawn([&, gateway, model] {
                    for (int i = 0; isLoading; ++i) {
                        fleet.call(*gateway,
                            labRequest("/stream/", fmt::format("{}-{}-{}", gateway == &first, model, i), model),
                            base::Millis(700));
                        net::sleepFor(base::Millis(30));
                    }
                    --loaders;
                });
            }
        }
        net::sleepFor(base::Millis(800));
        proxy.setMode(ProxyMode::Stall, base::Millis(0));
        while (!second.hubSync.isHub())
            net::sleepFor(base::Millis(10));
        net::sleepFor(base::Millis(500));
        proxy.setMode(ProxyMode::Pass, base::Millis(0));
        // A new hub unloads nothing until it knows the members' arrival rates.
        net::sleepFor(models::PlacerOptions().takeoverSettlePeriod + base::Millis(1500));
        isLoading = false;
        while (loaders)
            net::sleepFor(base::Millis(10));
        base::TimePoint lastOfFirst {};
        base::TimePoint firstOfSecond = base::timeNever;
        for (ReplicaStandIn* replica : replicas) {
            cr_expect(!replica->history().wasOvercommitted);
            for (const AcceptedOrder& order : replica->history().acceptedOrders) {
                if (order.hub == "g0")
                    lastOfFirst = std::max(lastOfFirst, order.at);
                else
                    firstOfSecond = std::min(firstOfSecond, order.at);
            }
        }
        cr_assert(lastOfFirst != base::TimePoint {}, "the first hub gave no order");
        cr_assert(firstOfSecond != base::timeNever, "the second hub gave no order");
        cr_expect_geq(firstOfSecond - lastOfFirst, fleet.hubSyncOptions.orderHandoverDelay - base::Millis(20));
        proxy.stop();
        fleet.stop();
    });
}

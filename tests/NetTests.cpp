// Timers, connections between daemons, a thousand open HTTP streams on one thread, two daemons with the same name.
#include "Support.h"
#include "base/Counters.h"
#include "net/Http.h"
#include "net/PeerNetwork.h"
#include "net/Timers.h"

using namespace rattanshunt;
using nlohmann::json;
using tests::at;

Test(timers, run_once_when_due_and_not_after_cancellation)
{
    net::TimerService timers(at(0));
    std::vector<int> ran;
    timers.subscribe(at(100), [&] { ran.push_back(1); });
    net::TimerId cancelled = timers.subscribe(at(50), [&] { ran.push_back(2); });
    timers.subscribe(at(20000), [&] { ran.push_back(3); });
    timers.cancel(cancelled);
    timers.advance(at(99));
    cr_assert(ran.empty());
    timers.advance(at(110));
    cr_assert_eq(ran.size(), 1);
    // A pause longer than one turn of the timer wheel.
    timers.advance(at(60000));
    cr_assert_eq(ran.size(), 2);
    cr_assert_eq(timers.pendingCount(), 0);
    cr_assert(timers.nextDueAt() == base::timeNever);
}

Test(timers, a_callback_may_cancel_another_due_timer_and_subscribe_a_new_one)
{
    net::TimerService timers(at(0));
    int count = 0;
    net::TimerId second = 0;
    timers.subscribe(at(10), [&] {
        timers.cancel(second);
        timers.subscribe(at(30), [&] { ++count; });
    });
    second = timers.subscribe(at(10), [&] { count += 100; });
    timers.advance(at(20));
    cr_assert_eq(count, 0);
    timers.advance(at(40));
    cr_assert_eq(count, 1);
}

namespace {

// A peer network that listens as "d2": it answers "echo", throws in "throw" and refuses other methods.
struct EchoPeer {
    net::PeerNetwork network;
    base::Address address { "127.0.0.1", 0 };

    EchoPeer(net::Loop& loop, const std::string& secret)
        : network(loop, options("d2", secret))
    {
        std::string error;
        network.listen(
            address,
            [](const std::string& from, const std::string& method, const json& body) {
                if (method == "echo")
                    return json({ { "from", from }, { "body", body } });
                if (method == "throw")
                    return json(body.at("missing"));
                return json(json::value_t::discarded);
            },
            error);
    }

    static net::PeerOptions options(const std::string& name, const std::string& secret)
    {
        net::PeerOptions options;
        options.name = name;
        options.secret = secret;
        options.connectTimeout = base::Millis(300);
        options.heartbeatInterval = base::Millis(50);
        options.silenceTimeout = base::Millis(200);
        return options;
    }
};

} // namespace

Test(peer_network, calls_are_answered_or_refused_and_a_wrong_secret_is_rejected, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        auto deadline = [] { return base::Clock::now() + base::Seconds(2); };
        EchoPeer listener(loop, "secret-secret-16");
        net::PeerNetwork client(loop, EchoPeer::options("d1", "secret-secret-16"));
        net::PeerResult answer = client.call(listener.address, "echo", { { "n", 5 } }, deadline());
        cr_assert(answer.error == net::PeerError::None);
        cr_assert_str_eq(answer.body["from"].get<std::string>().c_str(), "d1");
        cr_assert(client.call(listener.address, "throw", json::object(), deadline()).error == net::PeerError::Refused);
        cr_assert(
            client.call(listener.address, "unknown", json::object(), deadline()).error == net::PeerError::Refused);
        net::PeerNetwork wrongSecretClient(loop, EchoPeer::options("d3", "another-secret-16"));
        cr_assert(wrongSecretClient.call(listener.address, "echo", json::object(), deadline()).error
            == net::PeerError::NotSent);
        cr_assert_gt(base::countersRead()["peer_handshakes_refused_total"], 0);
        cr_assert(client.call({ "127.0.0.1", 1 }, "echo", json::object(), deadline()).error == net::PeerError::NotSent);
        client.close();
        wrongSecretClient.close();
        listener.network.close();
    });
}

Test(peer_network, many_calls_share_one_connection, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        EchoPeer listener(loop, "secret-secret-16");
        net::PeerNetwork network(loop, EchoPeer::options("d1", "secret-secret-16"));
        size_t echoedCount = 0;
        for (int i = 0; i < 500; ++i)
            loop.spawn([&, i] {
                net::PeerResult answer
                    = network.call(listener.address, "echo", i, base::Clock::now() + base::Seconds(5));
                echoedCount += answer.error == net::PeerError::None && answer.body["body"] == i;
            });
        while (echoedCount < 500)
            net::sleepFor(base::Millis(5));
        cr_assert_eq(network.connectionCount(), 1);
        network.close();
        listener.network.close();
    });
}

Test(http, a_thousand_open_streams_on_one_thread, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        constexpr size_t streams = 1000;
        size_t openCount = 0;
        net::Event go;
        bool mayFinish = false;
        net::HttpServerEvents events;
        events.onRequest = [&](net::HttpExchange& exchange) {
            exchange.startStream(200, {});
            exchange.sendChunk("first ");
            ++openCount;
            while (!mayFinish)
                net::sleepFor(base::Millis(10));
            exchange.sendChunk("last " + exchange.request().target);
            exchange.finishStream();
        };
        events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
        std::string error;
        auto server = net::httpServe(loop, { "127.0.0.1", 0 }, {}, events, error);
        cr_assert(server.has_value());
        size_t completeCount = 0;
        size_t endedCount = 0;
        for (size_t i = 0; i < streams; ++i)
            loop.spawn([&, i] {
                auto connection = net::HttpConnection::create(loop, server->address);
                net::HttpRequest request { "GET", fmt::format("/{}", i), {}, "" };
                net::HttpResult result = net::httpCall(*connection, request, base::Clock::now() + base::Seconds(40));
                completeCount += result.response.body == fmt::format("first last /{}", i);
                ++endedCount;
            });
        while (openCount < streams)
            net::sleepFor(base::Millis(10));
        mayFinish = true;
        while (endedCount < streams)
            net::sleepFor(base::Millis(10));
        cr_assert_eq(completeCount, streams);
        server->stopAccepting();
    });
}

Test(fleet, a_second_daemon_with_the_same_name_joins_only_after_the_first_is_gone, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        lab::FleetPlan plan;
        plan.settings = lab::labSettings();
        lab::LabFleet fleet(loop, plan);
        cr_assert(fleet.start());
        settings::Settings secondSettings = lab::labSettings();
        secondSettings.name = secondSettings.instanceId = "d1";
        secondSettings.dataCenter = "dc-1";
        secondSettings.platformAddresses = { fleet.standInAddresses()["platform"] };
        secondSettings.clientListen = secondSettings.peerListen = secondSettings.adminListen = { "127.0.0.1", 0 };
        cli::Daemon second(secondSettings);
        second.start();
        cr_assert(second.waitListening(base::Seconds(5)));
        // The first daemon holds the name at another address: the second must not join while it is alive.
        net::sleepFor(base::Millis(2500));
        cr_assert(!second.waitReady(base::Duration::zero()));
        fleet.kill("d1");
        cr_assert(fleet.waitUntil([&] { return second.waitReady(base::Duration::zero()); }, base::Seconds(15)));
        second.requestStop(false);
        second.join();
    });
}

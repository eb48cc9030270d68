// Fixtures of the tests of the product's own interface: one daemon in front of a service or of two engines.
#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "ByteStandIn.h"
#include "Support.h"

namespace rattanshunt::tests {

inline constexpr base::Millis routeTimeLeft { 1500 };

// One daemon whose service "ledger" is a byte stand-in; /again may be repeated, /once not.
struct ServiceFixture {
    net::Loop& loop;
    lab::ByteStandIn service;
    lab::LabFleet fleet;

    ServiceFixture(net::Loop& testLoop, lab::ByteScript script)
        : loop(testLoop)
        , service(testLoop, std::move(script))
        , fleet(testLoop, plan())
    {
        std::string error;
        cr_assert(service.listen(error), "%s", error.c_str());
        cr_assert(fleet.start());
        list(service.address(), "boot-1");
        fleet.adminCall("d1", "PUT", "/api/v1/service/ledger", { { "pool", "ledger" } });
        fleet.adminCall("d1", "PUT", "/api/v1/route/again",
            { { "prefix", "/again" }, { "service", "ledger" }, { "open", true }, { "repeatable", true } });
        fleet.adminCall(
            "d1", "PUT", "/api/v1/route/once", { { "prefix", "/once" }, { "service", "ledger" }, { "open", true } });
        // Routes are in force when a call reaches the service.
        cr_assert(fleet.waitUntil(
            [&] {
                call("/once", "warm-once");
                call("/again", "warm-again");
                auto& seen = service.requestTargets();
                return std::count(seen.begin(), seen.end(), "/once") && std::count(seen.begin(), seen.end(), "/again");
            },
            base::Seconds(10)));
    }
    ~ServiceFixture() { service.stop(); }

    static lab::FleetPlan plan()
    {
        lab::FleetPlan plan;
        plan.settings = lab::labSettings();
        plan.platform.listLag = base::Millis(20);
        return plan;
    }
    // Lists the service at an address.
    void list(const base::Address& address, const std::string& boot)
    {
        coordination::Instance instance { "ledger-1", "ledger", address, "dc-1", boot,
            coordination::InstanceState::Live, 0, false };
        send(fleet.standInAddresses().at("platform"),
            { "PUT", "/instances", {}, coordination::instanceToJson(instance).dump() }, base::Seconds(5));
    }
    net::HttpResult send(const base::Address& address, net::HttpRequest request, base::Duration limit)
    {
        auto connection = net::HttpConnection::create(loop, address);
        return net::httpCall(*connection, request, base::Clock::now() + limit);
    }
    net::HttpResult call(const std::string& path, const std::string& id, const std::string& body = "{}")
    {
        net::HttpRequest request { "POST", path,
            { { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(routeTimeLeft.count()) } }, body };
        return send(fleet.addresses("d1").client, request, base::Seconds(8));
    }
};

inline std::string serviceResponse(const std::string& id, bool hasId)
{
    std::string body = "answer to " + id;
    return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", hasId ? "X-Request-Id: " + id + "\r\n" : "",
        body.size(), body);
}

inline size_t completionTokens(const std::string& body)
{
    size_t count = 0;
    for (size_t at = body.find("\"text\""); at != std::string::npos; at = body.find("\"text\"", at + 1))
        ++count;
    return count;
}

inline bool isComplete(const net::HttpResult& result)
{
    return result.response.body.find("[DONE]") != std::string::npos;
}

// Broken off, or ended with the event that says that the outcome is unknown.
inline bool endsWithUnknownOutcome(const net::HttpResult& result)
{
    return result.error != net::HttpCallError::None
        || result.response.body.find("\"type\":\"unknown\"") != std::string::npos;
}

// One daemon, engines drafter-1, drafter-2 and so on, and the model m on all of them.
struct EngineFixture {
    net::Loop& loop;
    lab::LabFleet fleet;
    std::string secret;

    // `prepare` is called before there are models.
    explicit EngineFixture(
        net::Loop& testLoop, const std::function<void(lab::LabFleet&)>& prepare = [](lab::LabFleet&) {},
        size_t engineCount = 2)
        : loop(testLoop)
        , fleet(testLoop, plan(engineCount))
    {
        cr_assert(fleet.start());
        prepare(fleet);
        fleet.adminCall("d1", "PUT", "/api/v1/model/m",
            { { "pool", "drafter" }, { "bytes", 60 }, { "replicas", engineCount }, { "min_replicas", engineCount } });
        fleet.adminCall("d1", "PUT", "/api/v1/account/acme", { { "rate", 100000 }, { "burst", 200000 } });
        secret = fleet.createKey("d1", "k", "acme");
        cr_assert(fleet.waitUntil([&] { return complete(4).response.status == 200; }, base::Seconds(10)));
        cr_assert(fleet.waitUntil(
            [&] {
                auto ids = fleet.engineIds();
                return std::all_of(ids.begin(), ids.end(),
                    [&](auto& id) { return fleet.engineState(id)["loaded_orders"].size() == 1; });
            },
            base::Seconds(10)));
    }
    static lab::FleetPlan plan(size_t engineCount)
    {
        lab::FleetPlan plan;
        plan.settings = lab::labSettings();
        plan.settings.retryBudgetPercent = 100;
        plan.platform.listLag = base::Millis(20);
        plan.platform.maxLoadStartsPerSecond = 50;
        for (size_t i = 1; i <= engineCount; ++i) {
            lab::EnginePlan engine;
            engine.options.id = fmt::format("drafter-{}", i);
            engine.options.loadTime = base::Millis(50);
            plan.engines.push_back(engine);
        }
        return plan;
    }
    void setFaults(const nlohmann::json& faults)
    {
        for (const std::string& id : fleet.engineIds())
            fleet.setEngineFaults(id, faults);
    }
    net::HttpResult complete(int tokens, base::Millis timeLeft = base::Millis(6000), const std::string& id = "")
    {
        nlohmann::json body
            = { { "model", "m" }, { "prompt", "the quick brown fox" }, { "max_tokens", tokens }, { "stream", true } };
        net::HttpRequest request { "POST", "/v1/completions",
            { { "Authorization", "Bearer " + secret }, { "X-Deadline-Ms", std::to_string(timeLeft.count()) } },
            body.dump() };
        if (!id.empty())
            request.headers.push_back({ "X-Request-Id", id });
        auto connection = net::HttpConnection::create(loop, fleet.addresses("d1").client);
        return net::httpCall(*connection, request, base::Clock::now() + base::Seconds(12));
    }
};

} // namespace rattanshunt::tests

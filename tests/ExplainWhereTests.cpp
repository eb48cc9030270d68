// Explaining where a request would go: `rattanshunt explain where`.
#include "GatewayFixture.h"
#include "gateway/ExplainWhere.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

// Guards against questions that are sent with a field left out because it was misspelt or malformed.
Test(explain_where, a_malformed_field_is_refused)
{
    std::string fault;
    auto question = gateway::whereQuestionFromArguments({ "host=a", "parts=x:40,y:2", "body_bytes=10" }, fault);
    cr_assert(question);
    gateway::WhereQuestion read = gateway::whereQuestionRead(*question);
    cr_expect_eq(read.head.promptSegments.size(), 2U);
    cr_expect_eq(read.head.promptTokens, 42);
    cr_expect_eq(read.bodyBytes, 10U);
    for (const char* field : { "hots=a", "parts=x", "parts=:1", "body_bytes=-1", "host" })
        cr_expect(!gateway::whereQuestionFromArguments({ field }, fault), "%s", field);
}

// Guards against an answer that differs from what a request meets, and against a question that sends something, takes
// quota or changes the next selection.
Test(explain_where, names_the_replica_without_sending)
{
    runOnLoop([](net::Loop& loop) {
        GatewayFixture fixture(loop, 1, 10, 100);
        gateway::Gateway& gateway = fixture.gateways[0]->gateway;
        std::string error;
        net::HttpServerEvents events;
        events.onRequest = [&](net::HttpExchange& exchange) {
            auto question = gateway::whereQuestionRead(nlohmann::json::parse(exchange.request().body));
            exchange.respond({ 200, {}, gateway.explainWhere(exchange, question).dump() });
        };
        events.onMalformed = [](int status, std::string_view) { return net::HttpResponse { status, {}, "" }; };
        auto server = net::httpServe(loop, { "127.0.0.1", 0 }, {}, events, error);
        cr_assert(server);
        auto ask = [&](const nlohmann::json& question) {
            auto connection = net::HttpConnection::create(loop, server->address);
            auto result = net::httpCall(
                *connection, { "POST", "/", {}, question.dump() }, base::Clock::now() + base::Seconds(5));
            return nlohmann::json::parse(result.response.body);
        };
        std::string fault;
        auto asked = gateway::whereQuestionFromArguments(
            { "host=a.example", "path=/stream/x", "account=acme", "model=m1", "id=r1", "parts=aa:40,bb:20" }, fault);
        cr_assert(asked);
        nlohmann::json question = *asked;
        nlohmann::json answer;
        // More questions than the account has tokens for.
        for (int i = 0; i < 20; ++i) {
            answer = ask(question);
            cr_assert_eq(answer["decision"]["outcome"], "is sent", "%s", answer.dump().c_str());
        }
        std::string best;
        double bestCost = 1e9;
        for (const auto& candidate : answer["candidates"]) {
            double sum = 0;
            for (const auto& [term, value] : candidate["terms"].items())
                sum += value.get<double>();
            cr_expect_float_eq(sum, candidate["cost"].get<double>(), 1e-9);
            if (sum < bestCost)
                best = candidate["replica"];
            bestCost = std::min(sum, bestCost);
        }
        cr_expect_eq(answer["decision"]["replica"], best);
        for (lab::ReplicaStandIn* replica : fixture.engine)
            cr_expect(replica->history().executions.empty());
        cr_expect(gateway.demand().empty());
        cr_assert_eq(fixture.call("/stream/x", "r1", "m1").status, 200);
        bool isThere = false;
        for (lab::ReplicaStandIn* replica : fixture.engine)
            isThere = isThere || (replica->id() == best && replica->history().executions.size() == 1);
        cr_expect(isThere);

        question["model"] = "m3";
        answer = ask(question);
        cr_expect_eq(answer["excluded"].size(), 2U);
        cr_expect_eq(answer["excluded"][0]["why"], "model_not_loaded");
        question["host"] = "other.example";
        cr_expect_eq(ask(question)["decision"]["why"], "no_route");
        server->stopAccepting();
        server->closeAll();
    });
}

// What callers may send: fields, targets, and raw bytes against a running daemon.
#include <boost/asio.hpp>

#include "LabFleet.h"
#include "Support.h"
#include "entry/RequestParser.h"

using namespace rattanshunt;

Test(intake, completions_name_the_field_that_is_wrong)
{
    entry::RequestLimits limits;
    std::vector<std::pair<std::string, std::string>> cases = {
        { "", "body" },
        { "[]", "body" },
        { "{\"model\":\"m\"", "body" },
        { "{\"prompt\":\"x\"}", "model" },
        { "{\"model\":5,\"prompt\":\"x\"}", "model" },
        { "{\"model\":\"M M\",\"prompt\":\"x\"}", "model" },
        { "{\"model\":\"m\"}", "prompt" },
        { "{\"model\":\"m\",\"prompt\":[1]}", "prompt" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}", "max_tokens" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":1e9}", "max_tokens" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-1}", "max_tokens" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":1}", "stream" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"value\":\"top\"}", "value" },
        { "{\"model\":\"m\",\"prompt\":\"x\",\"resume_from\":3}", "resume_from" },
        { "{\"model\":\"m\",\"prompt\":\"\xff\"}", "body" },
        { std::string(100, '[') + std::string(100, ']'), "body" },
    };
    for (auto& [body, field] : cases) {
        auto outcome = entry::completionRequestTryParse(body, limits);
        cr_assert(!outcome.completion, "%s", body.c_str());
        cr_assert_str_eq(
            outcome.error.field.c_str(), field.c_str(), "%s names %s", body.c_str(), outcome.error.field.c_str());
    }
    auto good = entry::completionRequestTryParse(
        "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":true,\"value\":\"high\"}", limits);
    cr_assert(good.completion && good.completion->isStream && good.completion->maxTokens == limits.defaultOutputTokens);
}

Test(intake, targets_that_could_be_read_differently_are_refused)
{
    for (const char* target : { "/swap", "/swap/a%20b?x=1", "/a/b.c" })
        cr_assert(entry::isUnambiguousTarget(target), "%s", target);
    for (const char* target : { "swap", "//swap", "/a/../b", "/a/./b", "/a%2e%2e/b", "/a%2Fb", "/a%5cb", "/a%00b",
             "/a%25b", "/a\\b", "/a#b", "/a%2", "/a%zz", "/a b", "http://x/" })
        cr_assert(!entry::isUnambiguousTarget(target), "%s", target);
}

Test(intake, random_bodies_never_crash)
{
    entry::RequestLimits limits;
    std::mt19937_64 random(20261204);
    const std::string seedBody = "{\"model\":\"m\",\"prompt\":\"hello \\u00e9\",\"max_tokens\":16,\"stream\":false}";
    for (int i = 0; i < 20000; ++i) {
        std::string body = seedBody;
        for (uint64_t changes = random() % 6; changes > 0; --changes) {
            size_t place = random() % body.size();
            switch (random() % 3) {
            case 0:
                body[place] = static_cast<char>(random());
                break;
            case 1:
                body.erase(place, random() % 5);
                break;
            default:
                body.insert(place, std::string(random() % 4, static_cast<char>(random())));
            }
            if (body.empty())
                body = "{";
        }
        auto outcome = entry::completionRequestTryParse(body, limits);
        cr_assert(outcome.completion || !outcome.error.field.empty());
    }
}

Test(intake, random_resources_never_crash)
{
    std::mt19937_64 random(5);
    std::vector<std::string> fields = { "pool", "bytes", "replicas", "rate", "burst", "model", "digest", "prefix",
        "service", "weight", "idle_seconds" };
    for (int i = 0; i < 20000; ++i) {
        nlohmann::json spec = nlohmann::json::object();
        for (uint64_t count = random() % 6; count > 0; --count) {
            nlohmann::json values[]
                = { -1, 0, 5, 1e300, "x", "", nullptr, true, nlohmann::json::array(), "/p", 3.5, "\xff" };
            spec[fields[random() % fields.size()]] = values[random() % std::size(values)];
        }
        auto outcome = resources::resourceTryParse(resources::resourceKinds[random() % 6], "name", spec);
        cr_assert(outcome.resource || !outcome.error.field.empty());
    }
}

namespace {

// Sends raw bytes in two pieces and reads until the connection ends or goes quiet.
std::string sendRaw(net::Loop& loop, const base::Address& address, const std::string& bytes, size_t split)
{
    namespace asio = boost::asio;
    asio::ip::tcp::socket socket(loop.io());
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    if (net::awaitIo([&](auto handler) { socket.async_connect(endpoint, std::move(handler)); }).error)
        return "unreachable";
    for (std::string_view part : { std::string_view(bytes).substr(0, split), std::string_view(bytes).substr(split) }) {
        if (!part.empty())
            net::awaitIo([&](auto handler) {
                asio::async_write(socket, asio::buffer(part.data(), part.size()), std::move(handler));
            });
    }
    std::string answer;
    char buffer[4096];
    net::TimerId timer = loop.timers().subscribe(base::Clock::now() + base::Millis(150), [&] { socket.close(); });
    while (true) {
        net::IoResult result
            = net::awaitIo([&](auto handler) { socket.async_read_some(asio::buffer(buffer), std::move(handler)); });
        if (result.error)
            break;
        answer.append(buffer, result.bytes);
    }
    loop.timers().cancel(timer);
    return answer;
}

} // namespace

Test(intake, malformed_bytes_never_reach_an_endpoint_nor_stop_a_daemon, .timeout = 120)
{
    tests::onLoop([](net::Loop& loop) {
        lab::FleetPlan plan;
        plan.settings = lab::labSettings();
        plan.platform.listLag = base::Millis(20);
        plan.servicePools["ledger-1"] = "ledger";
        lab::LabFleet fleet(loop, plan);
        cr_assert(fleet.start());
        fleet.adminCall("d1", "PUT", "/api/v1/service/ledger", { { "pool", "ledger" } });
        fleet.adminCall(
            "d1", "PUT", "/api/v1/route/open", { { "prefix", "/open" }, { "service", "ledger" }, { "open", true } });
        base::Address address = fleet.addresses("d1").client;
        auto runs = [&] {
            int sum = 0;
            for (auto& [call, count] : fleet.serviceRunCounts())
                sum += count;
            return sum;
        };
        std::string body = "{\"call\":\"x\"}";
        std::string good = "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n" + body;
        cr_assert(fleet.waitUntil(
            [&] { return sendRaw(loop, address, good, 5).find("HTTP/1.1 200") == 0; }, base::Seconds(5)));
        int before = runs();
        cr_assert_gt(before, 0);
        std::vector<std::string> malformed = {
            "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\nContent-Length: 13\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
            "identity\r\n\r\n0\r\n\r\n",
            "POST /open HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nX-A: \xff\xfe\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost : a\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\n folded: x\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open/../x HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open%2e%2e HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open HTTP/2.0\r\nHost: a\r\nContent-Length: 12\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(40000, 'x') + "\r\n\r\n",
            "POST /" + std::string(9000, 'x') + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
            "\r\n\r\n\r\n",
            "GET\r\n\r\n",
            std::string("\0\0\0\0", 4),
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
            "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + body + "\r\n0\r\n\r\n",
            "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\n\r\n" + body,
            "POST /open HTTP/1.1\r\nHost: a\r\nX-Deadline-Ms: soon\r\nContent-Length: 12\r\n\r\n" + body,
        };
        for (const std::string& bytes : malformed) {
            std::string answer = sendRaw(loop, address, bytes, bytes.size() / 2);
            bool isRefused = answer.empty() || answer.find("HTTP/1.1 4") == 0;
            cr_assert(isRefused, "%s -> %s", bytes.substr(0, 80).c_str(), answer.substr(0, 80).c_str());
        }
        std::mt19937_64 random(20261204);
        for (int i = 0; i < 60; ++i) {
            std::string bytes = good;
            for (int changes = 0; changes < 4; ++changes)
                bytes[random() % 54] = static_cast<char>(random());
            bytes.replace(bytes.find_last_of('/') == std::string::npos ? 0 : 5, 0, "");
            sendRaw(loop, address, "X" + bytes, random() % bytes.size());
        }
        cr_assert_eq(runs(), before, "a malformed request has reached the service");
        std::string twice = sendRaw(loop, address, good + good, 20);
        cr_assert_neq(twice.find("HTTP/1.1 200", 20), std::string::npos, "two pipelined requests get two answers");
    });
}

// Validation of client input: request fields, targets, resources, and raw bytes sent to a running daemon.
#include <boost/asio.hpp>

#include "LabFleet.h"
#include "Support.h"
#include "entry/RequestParser.h"

using namespace rattanshunt;

Test(input_validation, completion_errors_name_the_invalid_field)
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
        cr_assert(!outcome.completion, "%s was accepted", body.c_str());
        cr_assert_str_eq(outcome.error.field.c_str(), field.c_str(), "the error for %s names the field %s",
            body.c_str(), outcome.error.field.c_str());
    }
    auto valid = entry::completionRequestTryParse(
        "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":true,\"value\":\"high\"}", limits);
    cr_assert(
        valid.completion && valid.completion->isStream && valid.completion->maxTokens == limits.defaultOutputTokens);
}

Test(input_validation, ambiguous_targets_are_refused)
{
    for (const char* target : { "/swap", "/swap/a%20b?x=1", "/a/b.c" })
        cr_assert(entry::isUnambiguousTarget(target), "%s was refused", target);
    for (const char* target : { "swap", "//swap", "/a/../b", "/a/./b", "/a%2e%2e/b", "/a%2Fb", "/a%5cb", "/a%00b",
             "/a%25b", "/a\\b", "/a#b", "/a%2", "/a%zz", "/a b", "http://x/" })
        cr_assert(!entry::isUnambiguousTarget(target), "%s was accepted", target);
}

Test(input_validation, random_bodies_never_crash)
{
    entry::RequestLimits limits;
    std::mt19937_64 random(20261204);
    const std::string seedBody = "{\"model\":\"m\",\"prompt\":\"hello \\u00e9\",\"max_tokens\":16,\"stream\":false}";
    for (int i = 0; i < 20000; ++i) {
        std::string body = seedBody;
        for (uint64_t changes = random() % 6; changes > 0; --changes) {
            size_t position = random() % body.size();
            switch (random() % 3) {
            case 0:
                body[position] = static_cast<char>(random());
                break;
            case 1:
                body.erase(position, random() % 5);
                break;
            default:
                body.insert(position, std::string(random() % 4, static_cast<char>(random())));
            }
            if (body.empty())
                body = "{";
        }
        auto outcome = entry::completionRequestTryParse(body, limits);
        cr_assert(outcome.completion || !outcome.error.field.empty());
    }
}

Test(input_validation, random_resources_never_crash)
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

// Sends `bytes` in two pieces, split at `split`, and returns what is read until the connection ends or for 150 ms.
std::string sendRaw(net::Loop& loop, const base::Address& address, const std::string& bytes, size_t split)
{
    namespace asio = boost::asio;
    asio::ip::tcp::socket socket(loop.io());
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    if (net::awaitIo([&](auto handler) { socket.async_connect(endpoint, std::move(handler)); }).error)
        return "unreachable";
    for (std::string_view piece : { std::string_view(bytes).substr(0, split), std::string_view(bytes).substr(split) }) {
        if (!piece.empty())
            net::awaitIo([&](auto handler) {
                asio::async_write(socket, asio::buffer(piece.data(), piece.size()), std::move(handler));
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

Test(input_validation, malformed_bytes_never_reach_an_endpoint_nor_stop_a_daemon, .timeout = 120)
{
    tests::runOnLoop([](net::Loop& loop) {
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
        auto serviceRunCount = [&] {
            int sum = 0;
            for (auto& [call, count] : fleet.serviceRunCounts())
                sum += count;
            return sum;
        };
        std::string body = "{\"call\":\"x\"}";
        std::string valid = "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n" + body;
        cr_assert(fleet.waitUntil(
            [&] { return sendRaw(loop, address, valid, 5).find("HTTP/1.1 200") == 0; }, base::Seconds(5)));
        int runsBefore = serviceRunCount();
        cr_assert_gt(runsBefore, 0);
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
            cr_assert(isRefused, "%s was answered with %s", bytes.substr(0, 80).c_str(), answer.substr(0, 80).c_str());
        }
        std::mt19937_64 random(20261204);
        for (int i = 0; i < 60; ++i) {
            std::string bytes = valid;
            for (int changes = 0; changes < 4; ++changes)
                bytes[random() % 54] = static_cast<char>(random());
            bytes.replace(bytes.find_last_of('/') == std::string::npos ? 0 : 5, 0, "");
            sendRaw(loop, address, "X" + bytes, random() % bytes.size());
        }
        cr_assert_eq(serviceRunCount(), runsBefore, "a malformed request reached the service");
        std::string pipelined = sendRaw(loop, address, valid + valid, 20);
        cr_assert_neq(pipelined.find("HTTP/1.1 200", 20), std::string::npos,
            "the second of two pipelined requests got no response");
    });
}

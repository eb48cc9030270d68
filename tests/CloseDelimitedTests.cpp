// Responses without a length or chunks, which end with their connection: delivered whole after an orderly end, never
// taken as complete after a reset or inside an event.
#include <algorithm>
#include <set>

#include "ByteFleet.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::ByteFleet;
using tests::requestIdOf;

namespace {

std::string headWithoutLength(
    const net::HttpRequest& request, const std::string& version = "HTTP/1.1", const std::string& more = "")
{
    return fmt::format(
        "{} 200 OK\r\nRequest-Id: {}\r\nServer-Seal: seal\r\n{}\r\n", version, requestIdOf(request), more);
}

std::string eventsBetween(int first, int last)
{
    std::string events;
    for (int i = first; i <= last; ++i)
        events += fmt::format("id: {}\ndata: token {}\n\n", i, i);
    return events;
}

} // namespace

Test(close_delimited, an_answer_without_length_that_ends_in_order_is_delivered_whole, .timeout = 60)
{
    struct Form {
        const char* version;
        const char* headers;
        bool isPiecewise;
    };
    std::vector<Form> forms = { { "HTTP/1.1", "", false }, { "HTTP/1.1", "Connection: close\r\n", true },
        { "HTTP/1.1", "Connection: keep-alive\r\nKeep-Alive: timeout=15\r\n", false }, { "HTTP/1.0", "", true } };
    std::vector<std::string> streams = { eventsBetween(1, 1), eventsBetween(1, 5), eventsBetween(1, 20000) };
    std::vector<std::string> bodies = { "", "x", "no event\n\nid: 1\nda", std::string(500000, 'x') };
    tests::runOnLoop([&](net::Loop& loop) {
        for (const char* service : { "plain", "engine" }) {
            bool isStream = std::string(service) == "engine";
            Form form {};
            std::string body;
            bool wasReused = false;
            ByteFleet bytes(loop, service, 2, [&](ByteConnection& connection, const net::HttpRequest& request) {
                wasReused = wasReused || connection.requestNumber();
                std::string head = headWithoutLength(request, form.version, form.headers);
                if (form.isPiecewise) {
                    size_t length = body.size() / 5 + 1;
                    connection.send(head);
                    for (size_t at = 0; at < body.size(); at += length) {
                        net::sleepFor(base::Millis(10));
                        connection.send(std::string_view(body).substr(at, length));
                    }
                } else
                    connection.send(head + body);
                connection.close();
            });
            for (const Form& tried : forms) {
                form = tried;
                for (const std::string& expected : isStream ? streams : bodies) {
                    body = expected;
                    for (const char* path :
                        isStream ? std::vector { "/stream/", "/single/" } : std::vector { "/safe/", "/once/" }) {
                        std::string id = fmt::format(
                            "{} {} {} {} {}", path, form.version, form.headers, form.isPiecewise, body.size());
                        std::replace(id.begin(), id.end(), '\r', '.');
                        std::replace(id.begin(), id.end(), '\n', '.');
                        CallerResponse response = bytes.call(path, id);
                        cr_expect_eq(response.error, net::HttpCallError::None, "%s", id.c_str());
                        cr_expect_eq(response.status, 200, "%s: status %d", id.c_str(), response.status);
                        cr_expect(response.body == body, "%s: %zu bytes", id.c_str(), response.body.size());
                        cr_expect_eq(bytes.runsById[id], 1, "%s", id.c_str());
                    }
                }
            }
            cr_expect(!wasReused, "a connection was used again after a response that ends with it");
        }
    });
}

// A body that is cut at the size limit would look complete to the caller.
Test(close_delimited, an_answer_without_length_is_delivered_up_to_the_size_limit_and_not_cut_to_it, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        size_t limit = gateway::ResponseMemoryOptions().maxBytes;
        size_t size = limit;
        ByteFleet bytes(loop, "plain", 1, [&](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(headWithoutLength(request));
            connection.send(std::string(size, 'x'));
            connection.close();
        });
        CallerResponse full = bytes.call("/once/", "full");
        cr_expect_eq(full.status, 200, "status %d", full.status);
        cr_expect_eq(full.body.size(), limit);
        size = limit + 1;
        CallerResponse response = bytes.call("/once/", "large");
        cr_expect_eq(response.status, 502);
        cr_expect_eq(bytes.runsById["large"], 1);
    });
}

Test(close_delimited, an_answer_without_length_that_is_reset_is_not_taken_as_complete, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        bool isAtOnce = false;
        std::string body;
        std::set<std::string> seen;
        // The first attempt at a request is reset, the next one gets the whole answer.
        ByteFleet bytes(loop, "plain", 2, [&](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(headWithoutLength(request) + body);
            if (!isAtOnce)
                net::sleepFor(base::Millis(30));
            if (seen.insert(requestIdOf(request)).second)
                connection.reset();
            else
                connection.close();
        });
        for (bool atOnce : { true, false }) {
            for (const std::string& sent : { std::string(), std::string("answer"), std::string(300000, 'x') }) {
                isAtOnce = atOnce;
                body = sent;
                std::string id = fmt::format("{}-{}", isAtOnce, body.size());
                CallerResponse once = bytes.call("/once/", "once-" + id);
                cr_expect_eq(once.status, 502, "%s: status %d", id.c_str(), once.status);
                cr_expect_eq(bytes.runsById["once-" + id], 1, "%s", id.c_str());
                CallerResponse safe = bytes.call("/safe/", "safe-" + id);
                cr_expect_eq(safe.status, 200, "%s: status %d", id.c_str(), safe.status);
                cr_expect(safe.body == body, "%s", id.c_str());
                cr_expect_eq(bytes.runsById["safe-" + id], 2, "%s", id.c_str());
            }
        }
    });
}

Test(close_delimited, a_stream_that_is_reset_or_ends_inside_an_event_is_broken_off, .timeout = 60)
{
    struct Break {
        std::string rest; // after the whole events
        bool isReset;
    };
    std::vector<Break> breaks = { { "", true }, { "id: 4\nda", true }, { "i", false }, { "id: 4", false },
        { "id: 4\n", false }, { "id: 4\ndata: token 4", false }, { "id: 4\ndata: token 4\n", false },
        { "id: 4\r\ndata: token 4\r\n", false }, { "id: 4\ndata: token 4\n\r", false } };
    tests::runOnLoop([&](net::Loop& loop) {
        for (int wholeEvents : { 0, 3 }) {
            Break broken {};
            std::set<std::string> seen;
            ByteFleet bytes(loop, "engine", 2, [&](ByteConnection& connection, const net::HttpRequest& request) {
                std::string lastId(net::httpHeader(request.headers, "Last-Event-Id"));
                if (seen.insert(requestIdOf(request)).second) {
                    connection.send(headWithoutLength(request) + eventsBetween(1, wholeEvents) + broken.rest);
                    net::sleepFor(base::Millis(20));
                    return broken.isReset ? connection.reset() : connection.close();
                }
                int next = lastId.empty() ? 1 : std::stoi(lastId) + 1;
                connection.send(headWithoutLength(request) + eventsBetween(next, 6));
                connection.close();
            });
            for (size_t i = 0; i < breaks.size(); ++i) {
                broken = breaks[i];
                std::string id = fmt::format("{}-{}", i, wholeEvents);
                CallerResponse single = bytes.call("/single/", "single-" + id);
                if (wholeEvents)
                    cr_expect_neq(single.error, net::HttpCallError::None, "%s", id.c_str());
                else
                    cr_expect_eq(single.status, 502, "%s: status %d", id.c_str(), single.status);
                cr_expect(single.body.find("token 4") == std::string::npos, "%s", id.c_str());
                cr_expect_eq(bytes.runsById["single-" + id], 1, "%s", id.c_str());
                CallerResponse resumed = bytes.call("/stream/", "resumed-" + id);
                cr_expect_eq(resumed.error, net::HttpCallError::None, "%s", id.c_str());
                cr_expect_eq(resumed.status, 200, "%s: status %d", id.c_str(), resumed.status);
                cr_expect(resumed.body == eventsBetween(1, 6), "%s", id.c_str());
                cr_expect_eq(bytes.runsById["resumed-" + id], 2, "%s", id.c_str());
            }
        }
    });
}

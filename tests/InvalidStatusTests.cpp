// Status lines that are no status of HTTP: no answer, and no evidence that a request has not been executed.
#include "ByteFleet.h"
#include "ServeFixtures.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::ByteFleet;
using tests::requestIdOf;

namespace {

constexpr const char* invalidStatuses[]
    = { "000", "001", "042", "099", "99", "600", "999", "1000", "0200", "-20", "abc", "2x0", "" };
constexpr const char* headerForms[] = { "", "Server-Seal: seal\r\n", "Not-Executed: 1\r\n" };

} // namespace

Test(invalid_status, a_call_with_an_invalid_status_line_is_malformed, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        for (const char* status : invalidStatuses) {
            ByteStandIn server(loop, [status](ByteConnection& connection, const net::HttpRequest&) {
                connection.send(fmt::format("HTTP/1.1 {} Status\r\nContent-Length: 2\r\n\r\nok", status));
            });
            std::string error;
            cr_assert(server.listen(error), "%s", error.c_str());
            auto connection = net::HttpConnection::create(loop, server.address());
            net::HttpResult result
                = net::httpCall(*connection, { "GET", "/", {}, "" }, base::Clock::now() + base::Seconds(2));
            cr_expect_eq(result.error, net::HttpCallError::Malformed, "status \"%s\": %s, %d", status,
                net::httpCallErrorName(result.error), result.response.status);
            server.stop();
        }
    });
}

Test(invalid_status, a_caller_gets_502_and_the_request_counts_as_possibly_executed, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        std::string status;
        std::string headers;
        ByteFleet bytes(loop, "plain", 2, [&](ByteConnection& connection, const net::HttpRequest& request) {
            connection.send(fmt::format("HTTP/1.1 {} Status\r\nRequest-Id: {}\r\n{}Content-Length: 2\r\n\r\nok", status,
                requestIdOf(request), headers));
        });
        int number = 0;
        for (const char* nextStatus : invalidStatuses) {
            for (const char* nextHeaders : headerForms) {
                status = nextStatus;
                headers = nextHeaders;
                std::string id = fmt::format("{:016x}", ++number);
                CallerResponse response = bytes.call("/once/", id);
                cr_expect_eq(
                    response.status, 502, "status \"%s\", headers %s: %d", nextStatus, nextHeaders, response.status);
                cr_expect_eq(bytes.runsById[id], 1);
            }
        }
    });
}

Test(invalid_status, the_outcome_of_a_call_to_a_service_is_unknown, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        std::string status = "200";
        int runs = 0;
        tests::ServiceFixture fixture(loop, [&](ByteConnection& connection, const net::HttpRequest& request) {
            ++runs;
            connection.send(fmt::format("HTTP/1.1 {} Status\r\nX-Request-Id: {}\r\nX-Not-Executed: 1\r\n"
                                        "Content-Length: 2\r\n\r\nok",
                status, net::httpHeader(request.headers, "X-Request-Id")));
        });
        for (const char* nextStatus : invalidStatuses) {
            status = nextStatus;
            runs = 0;
            net::HttpResult result = fixture.call("/once", fmt::format("once-{}", nextStatus));
            cr_expect_geq(result.response.status, 500, "status \"%s\": %d", nextStatus, result.response.status);
            cr_expect_lt(result.response.status, 600, "status \"%s\": %d", nextStatus, result.response.status);
            cr_expect_str_eq(std::string(net::httpHeader(result.response.headers, "X-Outcome")).c_str(), "unknown",
                "status \"%s\"", nextStatus);
            cr_expect_eq(runs, 1, "status \"%s\": %d runs", nextStatus, runs);
        }
    });
}

// A replica writes a refusal once more, late: while another request is under way on the connection, or the same one
// again. What ran is compared with what the callers heard.
#include "ByteFleet.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using tests::ByteFleet;
using tests::requestIdOf;

namespace {

constexpr base::Millis runTime { 10 };

std::string refusalOf(int status, const std::string& id, const std::string& fields)
{
    return fmt::format("HTTP/1.1 {} Refused\r\n{}{}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status,
        id.empty() ? "" : "Request-Id: " + id + "\r\n", fields);
}

std::string answerTo(const std::string& id)
{
    std::string body = "answer to " + id;
    return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Seal: seal\r\nContent-Length: {}\r\n\r\n{}", id,
        body.size(), body);
}

// When the copy of a connection's last refusal is written, of the next request's time there.
enum class CopyAt { Arrival, Run, HalfHead };

// The replicas of one gateway. They refuse requests on demand, and count what they run.
struct CopyFixture {
    int refusalsLeft = 0;
    int status = 503;
    std::string fields; // further header lines of refusals
    CopyAt copyAt = CopyAt::Run;
    std::map<std::string, int> runs; // by request id
    int copies = 0;
    std::map<ByteConnection*, std::string> refusals; // not yet written once more, by connection
    ByteFleet bytes;

    CopyFixture(net::Loop& loop, size_t replicas)
        : bytes(loop, "plain", replicas,
            [this](ByteConnection& connection, const net::HttpRequest& request) { respond(connection, request); })
    {
    }

    void respond(ByteConnection& connection, const net::HttpRequest& request)
    {
        std::string id = requestIdOf(request);
        if (connection.requestNumber() == 0)
            refusals[&connection].clear();
        if (refusalsLeft > 0) {
            --refusalsLeft;
            refusals[&connection] = refusalOf(status, id, fields);
            connection.send(refusals[&connection]);
            return;
        }
        std::string copy = std::exchange(refusals[&connection], "");
        copies += !copy.empty();
        if (copyAt == CopyAt::Arrival)
            connection.send(copy);
        ++runs[id];
        net::sleepFor(runTime);
        if (copyAt == CopyAt::Run)
            connection.send(copy);
        net::sleepFor(runTime);
        if (copyAt == CopyAt::HalfHead)
            connection.send(copy.substr(0, copy.size() / 2));
        connection.send((copyAt == CopyAt::HalfHead ? copy.substr(copy.size() / 2) : "") + answerTo(id));
    }

    // Lists the replica once more under another id, as after a restart at its address.
    void listAgain(const std::string& replicaId)
    {
        size_t known = bytes.gateway->hubSync.directory().replicas.size();
        bytes.fleet.store().put(
            "servers/" + replicaId, byteReplicaEntry("plain", bytes.replicas.front()->address(), { "m1" }));
        while (bytes.gateway->hubSync.directory().replicas.size() <= known)
            net::sleepFor(base::Millis(10));
    }

    // One call, and whether what the caller heard agrees with what ran. `earlierRuns`: of the same id.
    int call(const std::string& path, const std::string& id)
    {
        int earlierRuns = runs[id];
        CallerResponse response = bytes.call(path, id);
        net::sleepFor(3 * runTime);
        int ran = runs[id] - earlierRuns;
        if (path == "/once/")
            cr_expect_leq(ran, 1, "%s, status %d: ran %d times", id.c_str(), status, ran);
        bool isRefused = response.status == 429 || response.status == 503 || response.status == 408;
        cr_expect(
            !ran || !isRefused, "%s, status %d: ran and was refused with %d", id.c_str(), status, response.status);
        cr_expect(response.status != 200 || response.body == "answer to " + id);
        return response.status;
    }
};

} // namespace

Test(refusal_copy, a_copy_is_not_taken_for_the_same_request_at_a_replica_listed_twice, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CopyFixture fixture(loop, 1);
        fixture.listAgain("i-again");
        fixture.listAgain("i-once-more");
        size_t served = 0;
        for (int i = 0; i < 9; ++i) { // all within the retry budget
            static constexpr int statuses[] = { 503, 429, 421 };
            static constexpr CopyAt times[] = { CopyAt::Arrival, CopyAt::Run, CopyAt::HalfHead };
            fixture.status = statuses[i % 3];
            fixture.copyAt = times[i / 3 % 3];
            fixture.refusalsLeft = 1;
            served += fixture.call(i % 4 ? "/once/" : "/safe/", fmt::format("{:016x}", i + 1)) == 200;
        }
        cr_expect_eq(served, 9, "%zu served", served);
        cr_expect_geq(fixture.copies, 5, "%d copies", fixture.copies);
    });
}

Test(refusal_copy, a_copy_is_not_taken_for_a_request_that_its_caller_sends_again, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CopyFixture fixture(loop, 1);
        size_t served = 0;
        for (int i = 0; i < 18; ++i) {
            static constexpr CopyAt times[] = { CopyAt::Arrival, CopyAt::Run, CopyAt::HalfHead };
            fixture.copyAt = times[i % 3];
            std::string id = fmt::format("{:016x}", i + 1);
            fixture.refusalsLeft = 1;
            fixture.call("/once/", id);
            served += fixture.call(i % 4 ? "/once/" : "/safe/", id) == 200;
        }
        cr_expect_geq(served, 15, "%zu served", served);
        cr_expect_geq(fixture.copies, 9, "%d copies", fixture.copies);
    });
}

// The replica refuses a request without an id, and cannot name one in the copy either.
Test(refusal_copy, a_copy_of_the_refusal_of_a_request_without_id_refuses_no_other_request, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CopyFixture fixture(loop, 2);
        fixture.status = 400;
        size_t served = 0;
        for (int i = 0; i < 12; ++i) {
            fixture.refusalsLeft = 1;
            fixture.bytes.call("/once/", "");
            fixture.refusalsLeft = 0;
            served += fixture.call(i % 4 ? "/once/" : "/safe/", fmt::format("{:016x}", i + 1)) == 200;
        }
        cr_expect_geq(served, 10, "%zu served", served);
    });
}

// Bytes after a complete response belong to no request, also if they look like a refusal.
Test(refusal_copy, a_refusal_without_id_on_a_reused_connection_is_not_believed, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CopyFixture fixture(loop, 2);
        for (int i = 0; i < 12; ++i) {
            fixture.call("/safe/", fmt::format("{:016x}", 0x100 + i));
            for (auto& [connection, refusal] : fixture.refusals)
                refusal = refusalOf(503, "", "");
            fixture.call(i % 4 ? "/once/" : "/safe/", fmt::format("{:016x}", i + 1));
        }
        cr_expect_geq(fixture.copies, 6);
    });
}

Test(refusal_copy, a_refusal_without_id_after_a_response_to_another_request_is_not_believed, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        std::map<std::string, int> runs;
        ByteFleet bytes(loop, "plain", 2, [&](ByteConnection& connection, const net::HttpRequest& request) {
            std::string id = requestIdOf(request);
            ++runs[id];
            connection.send(answerTo("00000000000000aa") + refusalOf(503, "", "") + answerTo(id));
            connection.close();
        });
        for (int i = 0; i < 6; ++i) {
            std::string id = fmt::format("{:016x}", i + 1);
            CallerResponse response = bytes.call("/once/", id);
            cr_expect(runs[id] == 1 && response.status == 502, "%s ran %d times, status %d", id.c_str(), runs[id],
                response.status);
        }
    });
}

Test(refusal_copy, a_copy_does_not_begin_the_quiet_time_of_its_refusal_anew, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        CopyFixture fixture(loop, 1);
        fixture.fields = "Retry-After: 1.0\r\n";
        for (int i = 0; i < 3; ++i) {
            fixture.refusalsLeft = 1;
            fixture.bytes.call("/once/", fmt::format("{:016x}", 3 * i + 1));
            net::sleepFor(base::Millis(1200));
            cr_expect_eq(fixture.call("/once/", fmt::format("{:016x}", 3 * i + 2)), 200);
            base::TimePoint sentAt = base::Clock::now();
            cr_expect_eq(fixture.call("/once/", fmt::format("{:016x}", 3 * i + 3)), 200);
            cr_expect_lt(base::Clock::now() - sentAt, base::Millis(600));
        }
        cr_expect_eq(fixture.copies, 3);
    });
}

// A copy that is cut, and the response after it, look like one head that bears the request's id.
Test(refusal_copy, a_cut_copy_and_the_next_response_are_not_read_as_one, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        const std::string copies[] = { refusalOf(503, "", "Not-Executed: 1\r\nDate: Sun, 06 Dec 2026\r\n"),
            refusalOf(421, "", ""), answerTo("00000000000000aa") };
        std::string cut;
        std::map<std::string, int> runs;
        ByteFleet bytes(loop, "plain", 1, [&](ByteConnection& connection, const net::HttpRequest& request) {
            std::string id = requestIdOf(request);
            ++runs[id];
            bool isFailure = connection.requestNumber() > 0 && runs[id] % 2 && id.back() % 2;
            std::string failure = fmt::format("HTTP/1.1 500 Failed\r\nRequest-Id: {}\r\nContent-Length: 0\r\n\r\n", id);
            connection.send((connection.requestNumber() ? cut : "") + (isFailure ? failure : answerTo(id)));
        });
        int number = 0;
        for (const std::string& copy : copies) {
            for (size_t size = 1; size < copy.size(); ++size) {
                cut = "";
                bytes.call("/once/", fmt::format("{:016x}", ++number));
                cut = copy.substr(0, size);
                std::string id = fmt::format("{:016x}", ++number);
                CallerResponse response = bytes.call("/once/", id);
                bool isRefused = response.status == 503 || response.status == 429 || response.status == 421;
                cr_expect(runs[id] == 1 && !isRefused, "after \"%s\": ran %d times, status %d", cut.c_str(), runs[id],
                    response.status);
                bool isOwnAnswer = id.back() % 2 == 0 && response.body == "answer to " + id;
                cr_expect(response.status != 200 || isOwnAnswer, "after \"%s\": got 200 for a failure", cut.c_str());
            }
        }
    });
}

// Replicas and engines that send bytes without end, in a head or a body, until the caller closes. An attempt ends at
// its deadline or at a size limit, keeps bounded memory, never counts as complete, and is never said not to have run.
#include <fstream>
#include <random>

#include "ByteStandIn.h"
#include "GatewayFixture.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;

namespace {

constexpr size_t replicaCount = 50;
constexpr size_t maxPeakBytes = 64 * 1024 * 1024; // of a daemon on a machine with 112 MB, with all of the replicas
constexpr base::Millis callerTimeLeft { 1500 };
constexpr base::Millis answerMargin { 500 }; // after the caller's deadline

// The largest resident size that this process ever had, in bytes.
size_t peakResidentBytes()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

// Replicas that answer every request with endless bytes, and one gateway that knows them.
struct EndlessFleet {
    net::Loop& loop;
    GatewayFleet fleet;
    std::vector<std::unique_ptr<ByteStandIn>> replicas;
    LabGateway* gateway = nullptr;
    std::multiset<std::string> received; // ids of the requests that reached a replica

    EndlessFleet(net::Loop& testLoop, const std::string& service, const std::vector<EndlessForm>& forms)
        : loop(testLoop)
        , fleet(testLoop)
    {
        fleet.configure(labConfiguration(1));
        bool isEngine = service == "engine";
        for (size_t i = 0; i < replicaCount; ++i) {
            EndlessForm form = forms[i % forms.size()];
            replicas.push_back(std::make_unique<ByteStandIn>(
                loop, [this, form](ByteConnection& connection, const net::HttpRequest& request) {
                    std::string id(net::httpHeader(request.headers, "Request-Id"));
                    received.insert(id);
                    sendEndlessResponse(connection, form, { { "Request-Id", id }, { "Server-Seal", "seal" } });
                }));
            std::string error;
            cr_assert(replicas.back()->listen(error), "%s", error.c_str());
            fleet.store().put(fmt::format("servers/i-{}", i),
                byteReplicaEntry(service, replicas.back()->address(),
                    isEngine ? std::vector<std::string> { "m1" } : std::vector<std::string> {}));
        }
        gateway = &fleet.addGateway("g0");
        cr_assert(fleet.waitReady());
        while (gateway->hubSync.directory().replicas.size() < replicaCount)
            net::sleepFor(base::Millis(10));
    }
    ~EndlessFleet()
    {
        for (auto& replica : replicas)
            replica->stop();
        fleet.stop();
    }

    // One call per replica, all at the same time.
    std::vector<CallerResponse> callAll(const std::string& path, const std::string& model)
    {
        std::vector<CallerResponse> responses;
        for (size_t i = 0; i < replicaCount; ++i) {
            loop.spawn([this, &responses, path, model, i] {
                std::string id = fmt::format("call{}{}", path, i);
                net::HttpRequest request = labRequest(path, id, model);
                for (net::HttpHeader& header : request.headers) {
                    if (header.name == "Deadline-Ms")
                        header.value = std::to_string(callerTimeLeft.count());
                }
                CallerResponse response = fleet.call(*gateway, request);
                if (response.status == 503)
                    fmt::print(stderr, "TRACE {} 503 {} received {} took {}\n", id, response.body, received.count(id),
                        base::millisOf(response.duration));
                responses.push_back(std::move(response));
            });
        }
        while (responses.size() < replicaCount)
            net::sleepFor(base::Millis(10));
        return responses;
    }

    void expectConnectionsClosed()
    {
        net::sleepFor(base::Millis(500));
        for (size_t i = 0; i < replicas.size(); ++i)
            cr_expect_leq(replicas[i]->openConnectionCount(), 1, "replica %zu keeps connections open", i);
    }
};

void expectTruthfulFailure(const CallerResponse& response)
{
    cr_expect(response.status == 502 || response.status == 504, "status %d, error %s", response.status,
        net::httpCallErrorName(response.error));
    cr_expect_lt(response.duration, callerTimeLeft + answerMargin, "took %lld ms", base::millisOf(response.duration));
}

} // namespace

Test(endless_response, a_call_to_replicas_that_never_end_fails_in_time_and_within_the_memory_limit, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        EndlessFleet endless(loop, "plain",
            { EndlessForm::Head, EndlessForm::ChunkSize, EndlessForm::ChunkExtension, EndlessForm::Trailers,
                EndlessForm::ChunkedBody, EndlessForm::BodyUntilClose, EndlessForm::HugeLength });
        for (const char* path : { "/safe/", "/once/" }) {
            for (const CallerResponse& response : endless.callAll(path, ""))
                expectTruthfulFailure(response);
        }
        endless.expectConnectionsClosed();
        cr_expect_lt(peakResidentBytes(), maxPeakBytes, "peak of %zu MB", peakResidentBytes() >> 20);
        // The replicas count as failing, so a sound one is preferred.
        ReplicaStandInOptions options;
        options.id = "i-sound";
        ReplicaStandIn& sound = endless.fleet.addReplica(options);
        while (!endless.gateway->hubSync.directory().replicas.contains("i-sound"))
            net::sleepFor(base::Millis(10));
        for (int i = 0; i < 20; ++i)
            cr_expect_eq(endless.fleet.call(*endless.gateway, labRequest("/safe/", fmt::format("s{}", i))).status, 200);
        cr_expect_geq(sound.history().executions.size(), 20);
    });
}

Test(endless_response, a_stream_from_replicas_that_never_end_fails_in_time_and_within_the_memory_limit, .timeout = 60)
{
    tests::runOnLoop([](net::Loop& loop) {
        base::logSetThreshold(base::LogLevel::Info);
        EndlessFleet endless(loop, "engine",
            { EndlessForm::Head, EndlessForm::ChunkSize, EndlessForm::ChunkExtension, EndlessForm::ChunkedBody,
                EndlessForm::BodyUntilClose, EndlessForm::HugeLength, EndlessForm::Event });
        for (const char* path : { "/stream/", "/single/" }) {
            for (const CallerResponse& response : endless.callAll(path, "m1"))
                expectTruthfulFailure(response);
        }
        endless.expectConnectionsClosed();
        cr_expect_lt(peakResidentBytes(), maxPeakBytes, "peak of %zu MB", peakResidentBytes() >> 20);
    });
}

// A complete response with bytes after its length: the response is delivered, the rest belongs to no request.
Test(endless_response, bytes_beyond_a_response_close_the_connection_and_reach_no_caller, .timeout = 30)
{
    tests::runOnLoop([](net::Loop& loop) {
        EndlessFleet endless(loop, "plain", { EndlessForm::BeyondLength });
        for (int round = 0; round < 3; ++round) {
            for (const CallerResponse& response : endless.callAll("/once/", "")) {
                cr_expect_eq(response.status, 200);
                cr_expect_eq(response.body, "body");
            }
        }
        endless.expectConnectionsClosed();
        cr_expect_lt(peakResidentBytes(), maxPeakBytes, "peak of %zu MB", peakResidentBytes() >> 20);
    });
}

// Two responses that grow in turn until one is given up: their buffers stay within the limits, and are accounted for.
Test(endless_response, a_response_that_is_given_up_never_took_more_memory_than_the_limit, .timeout = 30)
{
    gateway::ResponseMemory memory;
    const gateway::ResponseMemoryOptions& options = memory.options;
    std::mt19937 random(7);
    for (int round = 0; round < 20; ++round) {
        gateway::ResponseMemoryShare shares[2]
            = { gateway::ResponseMemoryShare(memory), gateway::ResponseMemoryShare(memory) };
        std::string buffers[2];
        size_t expected[2] = { 0, 0 };
        for (size_t i = 0;; i ^= 1) {
            std::string piece(1 + random() % options.grantedBytes, 'x');
            bool isWithin = shares[i].append(buffers[i], piece);
            expected[i] += isWithin ? piece.size() : 0;
            cr_assert_eq(buffers[i].size(), expected[i]);
            cr_assert_leq(buffers[i].capacity(), options.maxBytes);
            size_t held = 0;
            for (const std::string& buffer : buffers)
                held += std::max(buffer.capacity(), options.grantedBytes) - options.grantedBytes;
            cr_assert_eq(memory.sharedBytes, held);
            if (!isWithin) {
                cr_assert_gt(buffers[i].size() + piece.size(), options.maxBytes);
                break;
            }
        }
    }
    cr_assert_eq(memory.sharedBytes, 0);
}

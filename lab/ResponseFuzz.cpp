#include "ResponseFuzz.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <random>

#include <fmt/format.h>

#include "ByteStandIn.h"
#include "GatewayFleet.h"
#include "gateway/RequestContext.h"
#include "platform/PlatformCodec.h"

namespace rattanshunt::lab {

namespace {

    using Random = std::mt19937_64;
    using gateway::AttemptOutcome;

    constexpr size_t maxMutations = 4;
    // An incomplete event within the gateway's limit and one read, in a buffer that grows to twice its bytes.
    constexpr size_t maxEventBytes = size_t(2) * (128 + 64) * 1024;
    constexpr size_t maxReadBytes = size_t(64) * 1024;

    enum class Framing { Length, Chunks, UntilClose };
    enum class Ending { Close, Reset, Open, Endless };

    // ---- Samples ---------------------------------------------------------------------------------

    struct Sample {
        Framing framing = Framing::Length;
        bool isStream = false;
        std::string bytes; // head and framed body
        size_t headBytes = 0;
        std::string body;
        std::vector<size_t> eventEnds; // in `body`, from 0
    };

    // What the replica sends.
    struct Script {
        std::string bytes;
        std::vector<size_t> pieces; // positions at which the bytes are divided
        Ending ending = Ending::Close;
        std::string endless; // repeated if `ending` is Endless
    };

    size_t pick(Random& random, size_t count)
    {
        return random() % count;
    }

    std::string randomText(Random& random, size_t length)
    {
        std::string text;
        while (text.size() < length)
            text += static_cast<char>('a' + pick(random, 26));
        return text;
    }

    void addEvents(Sample& sample, Random& random)
    {
        sample.eventEnds = { 0 };
        const char* lineEnd = pick(random, 4) ? "\n" : "\r\n";
        size_t count = pick(random, 8);
        for (size_t id = 1; id <= count; ++id) {
            if (!pick(random, 6))
                sample.body += fmt::format(": {}{}{}", randomText(random, 5), lineEnd, lineEnd);
            else
                sample.body += fmt::format("id: {}{}data: {}{}{}", id, lineEnd,
                    randomText(random, pick(random, 8) ? 12 : 40000), lineEnd, lineEnd);
            sample.eventEnds.push_back(sample.body.size());
        }
    }

    std::string chunked(const std::string& body, Random& random)
    {
        std::string bytes;
        for (size_t at = 0; at < body.size();) {
            size_t length = std::min(body.size() - at, 1 + pick(random, pick(random, 3) ? 60 : 20000));
            bytes += pick(random, 2) ? fmt::format("{:x}", length) : fmt::format("{:05X}", length);
            if (!pick(random, 4))
                bytes += pick(random, 2) ? ";name=value" : ";name=\"a b\"";
            bytes += "\r\n" + body.substr(at, length) + "\r\n";
            at += length;
        }
        bytes += "0\r\n";
        if (!pick(random, 3))
            bytes += "X-Trailer: " + randomText(random, 20) + "\r\n";
        return bytes + "\r\n";
    }

    Sample makeSample(Random& random)
    {
        Sample sample;
        sample.framing = static_cast<Framing>(pick(random, 3));
        sample.isStream = pick(random, 2);
        if (sample.isStream)
            addEvents(sample, random);
        else
            sample.body = randomText(random, pick(random, 4) ? pick(random, 100) : pick(random, 200000));
        sample.bytes = fmt::format("HTTP/1.{} 200 OK\r\nRequest-Id: id-1\r\nServer-Seal: seal\r\n",
            sample.framing == Framing::UntilClose ? pick(random, 2) : 1);
        if (!pick(random, 3))
            sample.bytes += pick(random, 2) ? "Connection: close\r\n" : "Keep-Alive: timeout=15\r\n";
        if (sample.framing == Framing::Length)
            sample.bytes += fmt::format("Content-Length: {}\r\n", sample.body.size());
        if (sample.framing == Framing::Chunks)
            sample.bytes += "Transfer-Encoding: chunked\r\n";
        sample.bytes += "\r\n";
        sample.headBytes = sample.bytes.size();
        sample.bytes += sample.framing == Framing::Chunks ? chunked(sample.body, random) : sample.body;
        return sample;
    }

    std::string mutate(std::string bytes, size_t headBytes, Random& random)
    {
        static const std::vector<std::string> fragments = { "", "\r\n", "\r\n\r\n", "\n", "\n\n", "\r", ":", ";", "0",
            "0\r\n\r\n", "-1", "ffffffffffffffff", "99999999999999999999", "Content-Length: 7\r\n",
            "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip\r\n", "HTTP/1.1 200 OK\r\n", "data:", "id: 0\n",
            std::string(1, '\0'), "\xff" };
        size_t changes = 1 + pick(random, maxMutations);
        for (size_t i = 0; i < changes && !bytes.empty(); ++i) {
            // Most of the grammar is in the head and in the first chunk's size line.
            size_t range = pick(random, 2) ? std::min(bytes.size(), headBytes + 8) : bytes.size();
            size_t position = pick(random, range);
            switch (pick(random, 3)) {
            case 0:
                bytes[position] = static_cast<char>(random());
                break;
            case 1:
                bytes.erase(position, pick(random, 12));
                break;
            default:
                bytes.insert(position, fragments[pick(random, fragments.size())]);
            }
        }
        return bytes;
    }

    Script makeScript(const std::string& bytes, Random& random)
    {
        static const std::vector<std::string> endless = { "0", "x", "\r\n", "X-More: 0123456789\r\n",
            "10\r\n0123456789abcdef\r\n", "id: 9\ndata: x\n\n", "data: x\n" };
        Script script;
        script.bytes = bytes;
        for (size_t count = pick(random, 4); count && !bytes.empty(); --count)
            script.pieces.push_back(pick(random, bytes.size()));
        std::sort(script.pieces.begin(), script.pieces.end());
        size_t kind = pick(random, 40);
        script.ending = kind == 0 ? Ending::Open
            : kind == 1           ? Ending::Endless
            : kind < 15           ? Ending::Reset
                                  : Ending::Close;
        script.endless = endless[pick(random, endless.size())];
        return script;
    }

    void play(ByteConnection& connection, const Script& script)
    {
        size_t from = 0;
        for (size_t at : script.pieces) {
            connection.send(std::string_view(script.bytes).substr(from, at - from));
            net::sleepFor(base::Micros(200));
            from = at;
        }
        connection.send(std::string_view(script.bytes).substr(from));
        if (script.ending == Ending::Endless)
            connection.sendUntilClosed(script.endless);
        if (script.ending == Ending::Close)
            connection.close();
        if (script.ending == Ending::Reset)
            connection.reset();
    }

    // ---- Attempts --------------------------------------------------------------------------------

    // The caller's side of the request.
    class Exchange : public net::HttpExchange {
    public:
        Exchange()
            : m_request(labRequest("/single/", "id-1", "m1"))
        {
        }
        const net::HttpRequest& request() const override { return m_request; }
        bool respond(net::HttpResponse) override { return true; }
        bool startStream(int status, const std::vector<net::HttpHeader>&) override
        {
            streamStatus = status;
            return true;
        }
        bool sendChunk(std::string_view bytes) override
        {
            forwarded += bytes;
            return true;
        }
        bool finishStream() override { return true; }
        void setDisconnectHandler(std::function<void()>) override { }
        bool isClientDisconnected() const override { return false; }

        std::string forwarded;
        int streamStatus = 0;

    private:
        net::HttpRequest m_request;
    };

    struct Attempt {
        AttemptOutcome outcome = AttemptOutcome::Unknown;
        int status = 0;
        std::string body; // of the response, or of the stream as forwarded
        std::vector<net::HttpHeader> headers;
        size_t heldBytes = 0; // capacity of the response's buffer
        size_t partialEventBytes = 0;
        bool isConnectionKept = false;
        base::Duration duration { 0 };
    };

    Attempt runAttempt(net::Loop& loop, const base::Address& address, bool isStream, base::Millis deadline)
    {
        static const gateway::WireCodec codec = platform::wireCodecCreate();
        net::ConnectionPool pool(loop, {});
        gateway::ResponseMemory memory;
        gateway::Route route;
        route.isStream = isStream;
        Exchange exchange;
        gateway::RequestContext request { exchange, codec.readRequest(exchange.request()) };
        request.route = &route;
        request.arrivedAt = base::BootClock::now();
        request.deadline = request.arrivedAt + deadline;
        gateway::ReplicaEntry entry;
        entry.id = "i-1";
        entry.address = address;
        gateway::AttemptResult result = gateway::attemptRun(request, entry, codec, pool, memory);
        Attempt attempt;
        attempt.duration = base::BootClock::now() - request.arrivedAt;
        attempt.outcome = result.outcome;
        attempt.partialEventBytes = request.eventSplitter.partial.capacity();
        attempt.heldBytes = result.response.body.capacity();
        attempt.headers = std::move(result.response.headers);
        attempt.status = result.response.status;
        attempt.body = exchange.streamStatus ? std::move(exchange.forwarded) : std::move(result.response.body);
        attempt.isConnectionKept = pool.hasIdle(address, false);
        return attempt;
    }

    // ---- Checks ----------------------------------------------------------------------------------

    bool containsIgnoringCase(std::string_view text, std::string_view word)
    {
        return std::search(text.begin(), text.end(), word.begin(), word.end(), [](char a, char b) {
            return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
        }) != text.end();
    }

    bool endsAtEvent(const std::string& body)
    {
        return body.empty() || body.ends_with("\n\n") || body.ends_with("\n\r\n");
    }

    // Whether some line after the head is a last chunk: zeros, perhaps with an extension.
    bool hasLastChunk(const std::string& bytes)
    {
        for (size_t at = bytes.find("\r\n"); at != std::string::npos; at = bytes.find("\r\n", at + 1)) {
            size_t zeros = bytes.find_first_not_of('0', at + 2);
            if (zeros != at + 2 && zeros != std::string::npos
                && std::string_view("\r; \t").find(bytes[zeros]) != std::string_view::npos)
                return true;
        }
        return false;
    }

    // The fault of an attempt at any bytes.
    std::string anyFault(const Script& script, const Attempt& attempt)
    {
        if (attempt.heldBytes > gateway::ResponseMemoryOptions().maxBytes + maxReadBytes)
            return fmt::format("the response's buffer takes {} bytes", attempt.heldBytes);
        if (attempt.partialEventBytes > maxEventBytes)
            return fmt::format("an incomplete event takes {} bytes", attempt.partialEventBytes);
        if (attempt.outcome == AttemptOutcome::NotExecuted && script.bytes.find("421") == std::string::npos
            && !containsIgnoringCase(script.bytes, "not-executed"))
            return "said not to be executed, which the replica did not say";
        return "";
    }

    // The fault of an attempt at mutated bytes that counts as complete.
    std::string mutatedFault(const Script& script, const Attempt& attempt, bool isStream)
    {
        std::string head = script.bytes.substr(0, script.bytes.find("\r\n\r\n"));
        if (isStream && !endsAtEvent(attempt.body))
            return "a stream is complete that ends inside an event";
        if (attempt.status == 204 || attempt.status == 304)
            return "";
        bool isChunked = containsIgnoringCase(head, "chunked");
        bool hasLength = containsIgnoringCase(head, "content-length");
        // The headers themselves may be mutated, so that the body ends with the connection.
        if (isChunked && !hasLength && !hasLastChunk(script.bytes) && script.ending != Ending::Close
            && script.ending != Ending::Endless)
            return "complete without a last chunk";
        if (!isChunked && !hasLength && script.ending != Ending::Close)
            return "complete without an orderly end";
        std::string length(net::httpHeader(attempt.headers, "Content-Length"));
        if (!isStream && !isChunked && !length.empty() && length != std::to_string(attempt.body.size()))
            return fmt::format("complete with {} bytes of {}", attempt.body.size(), length);
        return "";
    }

    // The fault of an attempt at the first `sentBytes` bytes of a sample.
    std::string sampleFault(const Sample& sample, size_t sentBytes, const Script& script, const Attempt& attempt)
    {
        bool isFramed = sample.framing != Framing::UntilClose;
        bool isWhole = isFramed ? sentBytes == sample.bytes.size()
                                : script.ending == Ending::Close && sentBytes >= sample.headBytes;
        std::string body = sample.body;
        if (!isFramed)
            body.resize(sentBytes - std::min(sentBytes, sample.headBytes));
        bool isAtEvent = !sample.isStream
            || std::find(sample.eventEnds.begin(), sample.eventEnds.end(), body.size()) != sample.eventEnds.end();
        bool isComplete = attempt.outcome == AttemptOutcome::Complete;
        if (isComplete && !(isWhole && isAtEvent))
            return "complete, but was not";
        if (isComplete && attempt.body != body)
            return "complete, with another body";
        if (!isFramed && attempt.isConnectionKept)
            return "the connection of a response without length is kept";
        if (sample.isStream) {
            bool isPrefix = sample.body.starts_with(attempt.body)
                && std::find(sample.eventEnds.begin(), sample.eventEnds.end(), attempt.body.size())
                    != sample.eventEnds.end();
            if (!isPrefix && !(attempt.body.empty()))
                return "what was forwarded is no sequence of whole events";
        }
        // A reset may overtake the end of a response.
        bool mustComplete = isWhole && isAtEvent && script.ending != Ending::Reset;
        return mustComplete && !isComplete ? "whole, but not taken as complete" : "";
    }

} // namespace

FuzzResult fuzzResponses(net::Loop& loop, uint64_t seed, uint64_t inputs, const ResponseFuzzOptions& options)
{
    FuzzResult result;
    Random random(seed);
    // Shared, as the replica may still send a response whose attempt has ended.
    auto script = std::make_shared<const Script>();
    ByteStandIn replica(loop, [&script](ByteConnection& connection, const net::HttpRequest&) {
        play(connection, *std::shared_ptr<const Script>(script));
    });
    if (!replica.listen(result.finding))
        return result;
    result.finding.clear();
    for (; result.inputCount < inputs && result.finding.empty(); ++result.inputCount) {
        Sample sample = makeSample(random);
        bool isMutated = pick(random, 2);
        size_t sentBytes = pick(random, 3) ? pick(random, sample.bytes.size() + 1) : sample.bytes.size();
        std::string bytes = sample.bytes.substr(0, sentBytes);
        script = std::make_shared<const Script>(
            makeScript(isMutated ? mutate(bytes, sample.headBytes, random) : bytes, random));
        // Bytes without end may complete a response that was cut.
        isMutated = isMutated || script->ending == Ending::Endless;
        bool mayStayOpen = script->ending == Ending::Open || script->ending == Ending::Endless;
        bool isFramedWhole = sample.framing != Framing::UntilClose && sentBytes == sample.bytes.size() && !isMutated;
        base::Millis deadline = mayStayOpen && !isFramedWhole ? options.openDeadline : options.endDeadline;
        result.input = fmt::format("{} bytes, ending {}, {}\n{}", sentBytes, static_cast<int>(script->ending),
            sample.isStream ? "stream" : "plain", script->bytes);
        Attempt attempt = runAttempt(loop, replica.address(), sample.isStream, deadline);
        result.finding = anyFault(*script, attempt);
        if (result.finding.empty() && !isMutated)
            result.finding = sampleFault(sample, sentBytes, *script, attempt);
        if (result.finding.empty() && isMutated && attempt.outcome == AttemptOutcome::Complete)
            result.finding = mutatedFault(*script, attempt, sample.isStream);
        if (result.finding.empty() && attempt.duration > deadline + options.maxOverrun)
            result.finding = fmt::format("took {} ms", base::millisOf(attempt.duration));
    }
    base::TimePoint end = base::Clock::now() + options.maxOverrun;
    while (replica.openConnectionCount() && base::Clock::now() < end)
        net::sleepFor(base::Millis(5));
    if (result.finding.empty() && replica.openConnectionCount())
        result.finding = fmt::format("{} connections are still open", replica.openConnectionCount());
    replica.stop();
    return result;
}

} // namespace rattanshunt::lab

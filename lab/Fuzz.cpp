#include "Fuzz.h"

#include <cmath>
#include <map>
#include <random>

#include <fmt/format.h>

#include "GatewayFleet.h"
#include "base/Text.h"
#include "endpoints/EngineStream.h"
#include "gateway/ServerSentEvents.h"
#include "platform/PlatformCodec.h"

namespace rattanshunt::lab {

namespace {

    using Random = std::mt19937_64;

    constexpr base::Millis maxTime { 24 * 3600 * 1000 }; // 24 h: a decoder that returns a longer time is faulty
    constexpr size_t maxMutations = 6;

    // Fragments that decoders often handle wrongly: limits of numbers, other JSON types, separators, invalid UTF-8.
    const std::vector<std::string>& troublesomeFragments()
    {
        static const std::vector<std::string> list = { "", "0", "-1", "1e300", "99999999999999999999", "1e-300", "null",
            "true", "[]", "{}", "\"\"", "\n", "\n\n", "\r\n", ":", ",", "/", "id:", "data:", std::string(1, '\0'),
            "\xff\xfe", "NaN", "inf", "18446744073709551616", " ", "\\u0000" };
        return list;
    }

    std::string mutate(std::string text, Random& random)
    {
        size_t changes = 1 + random() % maxMutations;
        for (size_t i = 0; i < changes; ++i) {
            size_t position = text.empty() ? 0 : random() % text.size();
            size_t length = text.empty() ? 0 : std::min<size_t>(random() % 12, text.size() - position);
            switch (random() % 5) {
            case 0:
                if (!text.empty())
                    text[position] = static_cast<char>(random());
                break;
            case 1:
                text.erase(position, length);
                break;
            case 2:
                text.insert(position, troublesomeFragments()[random() % troublesomeFragments().size()]);
                break;
            case 3:
                text.insert(position, text.substr(position, length));
                break;
            default: {
                // Replaces the next number by a fragment.
                size_t digit = text.find_first_of("0123456789", position);
                size_t end = digit == std::string::npos ? digit : text.find_first_not_of("0123456789.", digit);
                if (digit != std::string::npos)
                    text.replace(digit, end == std::string::npos ? end : end - digit,
                        troublesomeFragments()[random() % troublesomeFragments().size()]);
            }
            }
        }
        return text;
    }

    std::string timeFault(const char* name, base::Millis time)
    {
        return time < base::Millis(0) || time > maxTime ? fmt::format("{} is {} ms", name, time.count()) : "";
    }

    std::string firstFault(std::initializer_list<std::string> faults)
    {
        for (const std::string& fault : faults) {
            if (!fault.empty())
                return fault;
        }
        return "";
    }

    // ---- Targets ---------------------------------------------------------------------------------

    std::string fuzzRequestHead(const gateway::WireCodec& codec, std::string& input, Random& random)
    {
        net::HttpRequest request = labRequest("/stream/x", "id-1", "m1/a1", "key");
        net::HttpHeader& header = request.headers[random() % request.headers.size()];
        header.value = mutate(header.value, random);
        input = header.name + ": " + header.value;
        gateway::RequestHead head = codec.readRequest(request);
        bool areTokensValid
            = std::isfinite(head.promptTokens) && head.promptTokens >= 0 && std::isfinite(head.maxOutputTokens);
        if (!areTokensValid || (head.totalTokens && !(std::isfinite(*head.totalTokens) && *head.totalTokens >= 0)))
            return "token counts are negative or not finite";
        return head.timeLeft ? timeFault("time left", *head.timeLeft) : "";
    }

    std::string fuzzResponseHead(const gateway::WireCodec& codec, std::string& input, Random& random)
    {
        net::HttpResponse response { 200,
            { { "Request-Id", "id-1" }, { "Server-Seal", "seal" }, { "Server-Load", "3,1,8" },
                { "Keep-Alive", "timeout=15, max=100" }, { "Not-Executed", "" } },
            "" };
        net::HttpHeader& header = response.headers[random() % response.headers.size()];
        header.value = mutate(header.value, random);
        input = header.name + ": " + header.value;
        gateway::ResponseHead head = codec.readResponseHead(response, "id-1");
        if (head.load && !(std::isfinite(head.load->running) && std::isfinite(head.load->slots)))
            return "the load is not finite";
        return head.idleTimeout ? timeFault("idle limit", std::chrono::duration_cast<base::Millis>(*head.idleTimeout))
                                : "";
    }

    // The splitter must give the same events however the bytes are divided into reads.
    std::string fuzzEvents(const gateway::WireCodec&, std::string& input, Random& random)
    {
        for (int id = 1; id <= 6; ++id)
            input += fmt::format("id: {}\ndata: token {}\n\n", id, id);
        input = mutate(input, random);
        gateway::EventSplitter wholeSplitter;
        std::string wholeEvents = gateway::eventsSplit(wholeSplitter, input);
        gateway::EventSplitter chunkedSplitter;
        std::string chunkedEvents;
        for (size_t position = 0; position < input.size();) {
            size_t length = std::min<size_t>(1 + random() % 20, input.size() - position);
            chunkedEvents += gateway::eventsSplit(chunkedSplitter, std::string_view(input).substr(position, length));
            position += length;
        }
        if (chunkedEvents != wholeEvents || chunkedSplitter.lastId != wholeSplitter.lastId
            || chunkedSplitter.completeEvents != wholeSplitter.completeEvents)
            return "events depend on how the bytes are divided into reads";
        return wholeEvents.size() + wholeSplitter.partial.size() > input.size()
            ? "the splitter gave more bytes than it received"
            : "";
    }

    // The same of an engine's completion, of which events that are not the request's must not be passed on.
    std::string fuzzCompletion(const gateway::WireCodec&, std::string& input, Random& random)
    {
        for (int i = 0; i < 6; ++i)
            input += fmt::format("data: {{\"id\":\"id-1\",\"choices\":[{{\"index\":0,\"text\":\"w{} \"}}],"
                                 "\"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":{}}}}}\n\n",
                i, i);
        input = mutate(input + "data: [DONE]\n\n", random);
        endpoints::EngineStream whole;
        whole.requestId = "id-1";
        std::string wholeEvents = endpoints::engineStreamFeed(whole, input);
        endpoints::EngineStream chunked;
        chunked.requestId = "id-1";
        std::string chunkedEvents;
        for (size_t position = 0; position < input.size();) {
            size_t length = std::min<size_t>(1 + random() % 40, input.size() - position);
            chunkedEvents += endpoints::engineStreamFeed(chunked, std::string_view(input).substr(position, length));
            position += length;
        }
        if (chunkedEvents != wholeEvents || chunked.isDone != whole.isDone || chunked.outputTokens != whole.outputTokens
            || chunked.hasForeignEvent != whole.hasForeignEvent || chunked.usageTokens != whole.usageTokens)
            return "events depend on how the bytes are divided into reads";
        if (wholeEvents + whole.partialEvent != input)
            return "events and the incomplete one are not what was received";
        if (whole.isDone && wholeEvents.find("[DONE]") == std::string::npos)
            return "complete without an end mark";
        if (!std::isfinite(whole.usageTokens) || whole.usageTokens < 0)
            return "the usage is negative or not finite";
        endpoints::engineEventsText(wholeEvents);
        return "";
    }

    std::string fuzzEntry(const gateway::WireCodec& codec, std::string& input, Random& random)
    {
        input = mutate(R"({"service":"engine","address":"10.0.0.1:80","zone":"z","slots":8,"state":"draining",)"
                       R"("timeLeftMs":3000,"born":1700000000000,"sequence":4,"models":["m1","m1/a1"]})",
            random);
        std::string fault;
        auto entry = codec.readEntry(codec.entryPrefix + "r-1", input, fault);
        if (!entry)
            return fault.empty() ? "an entry is rejected without a fault" : "";
        return firstFault({ std::isfinite(entry->slots) && entry->slots >= 0 ? "" : "slots are negative or not finite",
            entry->timeUntilRemoval ? timeFault("time left", *entry->timeUntilRemoval) : "" });
    }

    std::string fuzzReport(const gateway::WireCodec& codec, std::string& input, Random& random)
    {
        input = mutate(R"({"born":1700000000000,"sequence":7,"running":3,"waiting":1,"kvUsed":10,"kvTotal":100,)"
                       R"("busy":false,"models":["m1","m1/a1"],"coming":["m2/a1"],)"
                       R"("atHand":{"inMemory":["m1"],"onDisk":["m2"]}})",
            random);
        auto report = codec.readReport({ 200, {}, input });
        return report && !(std::isfinite(report->running) && std::isfinite(report->waiting)) ? "the load is not finite"
                                                                                             : "";
    }

    std::string fuzzConfiguration(const gateway::WireCodec& codec, std::string& input, Random& random)
    {
        input = mutate(labConfiguration(3, 100, 300, "\"key\""), random);
        std::string fault;
        auto configuration = codec.readConfiguration(input, fault);
        if (!configuration)
            return fault.empty() ? "a configuration is rejected without a fault" : "";
        for (const gateway::Route& route : configuration->routes) {
            std::string routeFault = firstFault({ timeFault("timeout", route.timeout),
                timeFault("target latency", route.targetLatency), timeFault("target gap", route.targetGap),
                route.maxAttempts < 1 ? "a route without attempts" : "" });
            if (!routeFault.empty())
                return routeFault;
        }
        for (const auto& [name, account] : configuration->accounts) {
            if (!(std::isfinite(account.rate) && account.rate >= 0 && account.burst >= 0))
                return "the limit of an account is negative or not finite";
        }
        return "";
    }

    using FuzzTarget = std::string (*)(const gateway::WireCodec&, std::string& input, Random&);

    const std::map<std::string, FuzzTarget>& targetTable()
    {
        static const std::map<std::string, FuzzTarget> list = { { "head", fuzzRequestHead },
            { "answer", fuzzResponseHead }, { "events", fuzzEvents }, { "completion", fuzzCompletion },
            { "entry", fuzzEntry }, { "report", fuzzReport }, { "configuration", fuzzConfiguration } };
        return list;
    }

} // namespace

std::vector<std::string> fuzzTargets()
{
    std::vector<std::string> names;
    for (const auto& [name, target] : targetTable())
        names.push_back(name);
    return names;
}

FuzzResult fuzzRun(const std::string& target, uint64_t seed, uint64_t inputs)
{
    FuzzResult result;
    gateway::WireCodec codec = platform::wireCodecCreate();
    Random random(seed);
    for (; result.inputCount < inputs && result.finding.empty(); ++result.inputCount) {
        result.input.clear();
        try {
            result.finding = targetTable().at(target)(codec, result.input, random);
        } catch (const std::exception& error) {
            result.finding = fmt::format("decoder throws: {}", error.what());
        }
    }
    return result;
}

} // namespace rattanshunt::lab

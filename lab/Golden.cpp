#include "Golden.h"

#include <map>
#include <regex>
#include <set>

#include <fmt/format.h>

#include "LabFleet.h"
#include "base/Text.h"
#include "net/Tap.h"

namespace rattanshunt::lab {

using nlohmann::json;

namespace {

    // Replaces base64 fields of the key-value service's JSON by their decoded text.
    void decodeBase64Fields(json& value)
    {
        if (value.is_array()) {
            for (json& item : value)
                decodeBase64Fields(item);
            return;
        }
        if (!value.is_object())
            return;
        for (auto& [field, item] : value.items()) {
            bool isEncoded = field == "key" || field == "value" || field == "range_end";
            auto bytes = isEncoded && item.is_string() ? base::base64Decode(item.get<std::string>()) : std::nullopt;
            if (bytes && base::isValidUtf8(*bytes))
                item = *bytes;
            else
                decodeBase64Fields(item);
        }
    }

    std::string decodeJsonLines(const std::string& text)
    {
        std::string decoded;
        for (const std::string& line : base::splitText(text, '\n')) {
            json object = json::parse(line, nullptr, false);
            if (object.is_object()) {
                decodeBase64Fields(object);
                decoded += object.dump() + "\n";
            } else
                decoded += line + "\n";
        }
        return decoded;
    }

    std::string normalizeText(std::string text, const std::map<std::string, std::string>& placeholders)
    {
        for (auto& [address, name] : placeholders) {
            for (size_t at; (at = text.find(address)) != std::string::npos;)
                text.replace(at, address.size(), name);
        }
        static const std::vector<std::pair<std::regex, std::string>> rules = {
            { std::regex("rsk_[0-9a-f]{48}"), "<secret>" },
            { std::regex("[0-9a-f]{40,64}"), "<digest>" },
            { std::regex("[0-9a-f]{16,39}"), "<id>" },
            { std::regex("127\\.0\\.0\\.1:[0-9]+"), "<address>" },
            { std::regex("(mod_revision|create_revision|revision|lease|ID|version|fencing|resource_version)(\\\\?\"):("
                         "\\\\?\"?)[0-9]+"),
                "$1$2:$3<n>" },
            { std::regex("(Content-Length|X-Deadline-Ms): [0-9]+"), "$1: <n>" },
            { std::regex("since=[0-9]+"), "since=<n>" },
            { std::regex("\"levels\\\\?\":\\{[^}]*\\}"), "\"levels\":<levels>" },
        };
        for (auto& [pattern, replacement] : rules)
            text = std::regex_replace(text, pattern, replacement);
        return text;
    }

    // Exchanges whose number and content depend only on timing.
    bool isBackground(const net::TapRecord& record, const std::string& request)
    {
        if (record.channel.starts_with("peer"))
            return true;
        for (const char* pathPart : { "/v3/watch", "/v3/lease/keepalive", "/rs/head", "GET /state", "GET /instances",
                 "GET /api/v1/s", "/readyz", "GET /runs" }) {
            if (request.find(pathPart) != std::string::npos)
                return true;
        }
        return false;
    }

    // Numbers in frames between peers differ between runs.
    std::string maskNumbers(const std::string& text)
    {
        static const std::regex number("-?[0-9]+(\\.[0-9]+)?(e[-+]?[0-9]+)?");
        return std::regex_replace(text, number, "<n>");
    }

    net::HttpResponse sendRequest(net::Loop& loop, const base::Address& address, const net::HttpRequest& request)
    {
        auto connection = net::HttpConnection::create(loop, address);
        return net::httpCall(*connection, request, base::Clock::now() + base::Seconds(10)).response;
    }

    net::HttpRequest completionRequest(const std::string& id, const std::string& secret, const json& body)
    {
        net::HttpRequest request { "POST", "/v1/completions",
            { { "Content-Type", "application/json" }, { "X-Request-Id", id } }, body.dump() };
        if (!secret.empty())
            request.headers.push_back({ "Authorization", "Bearer " + secret });
        return request;
    }

    void runGoldenSession(net::Loop& loop, LabFleet& fleet)
    {
        fleet.adminCall(
            "d1", "PUT", "/api/v1/model/bulletin", { { "pool", "drafter" }, { "bytes", 60 }, { "value", "high" } });
        fleet.adminCall("d1", "PUT", "/api/v1/account/acme", { { "rate", 10000 }, { "burst", 20000 } });
        fleet.adminCall("d1", "PUT", "/api/v1/account/small", { { "rate", 10 }, { "burst", 40 } });
        fleet.adminCall("d1", "PUT", "/api/v1/service/ledger", { { "pool", "ledger" } });
        fleet.adminCall("d1", "PUT", "/api/v1/route/swap", { { "prefix", "/swap" }, { "service", "ledger" } });
        fleet.adminCall("d1", "PUT", "/api/v1/account/acme", { { "rate", 10000 }, { "burst", 10 } });
        std::string key = fleet.createKey("d1", "acme-1", "acme");
        std::string smallKey = fleet.createKey("d1", "small-1", "small");
        net::sleepFor(base::Millis(400));
        base::Address caller = fleet.addresses("d1").client;
        json body = { { "model", "bulletin" }, { "prompt", "Roads are shut in the north." }, { "max_tokens", 4 } };
        sendRequest(loop, caller, completionRequest("short", key, body));
        body["stream"] = true;
        sendRequest(loop, caller, completionRequest("stream", key, body));
        sendRequest(loop, caller, completionRequest("no-key", "", body));
        sendRequest(loop, caller, completionRequest("unknown-key", "rsk_0", body));
        sendRequest(loop, caller,
            completionRequest(
                "too-much", smallKey, { { "model", "bulletin" }, { "prompt", "x" }, { "max_tokens", 400 } }));
        sendRequest(loop, caller, completionRequest("bad-field", key, { { "model", "bulletin" }, { "prompt", 5 } }));
        sendRequest(loop, caller, completionRequest("no-model", key, { { "model", "missing" }, { "prompt", "x" } }));
        net::HttpRequest swapRequest { "POST", "/swap",
            { { "X-Request-Id", "swap" }, { "Authorization", "Bearer " + key }, { "Idempotency-Key", "swap-1" } },
            R"({"call":"swap-1"})" };
        sendRequest(loop, caller, swapRequest);
        swapRequest.headers[0].value = "swap-again";
        sendRequest(loop, caller, swapRequest);
        swapRequest.headers[0].value = "swap-changed";
        swapRequest.body = R"({"call":"swap-2"})";
        sendRequest(loop, caller, swapRequest);
        fleet.adminCall("d1", "POST", "/api/v1/key/acme-1/withdraw");
        net::sleepFor(base::Millis(100));
        body["stream"] = false;
        sendRequest(loop, caller, completionRequest("withdrawn", key, body));
    }

} // namespace

std::string goldenSession(net::Loop& loop)
{
    std::vector<net::TapRecord> records;
    net::tapSet([&](const net::TapRecord& record) { records.push_back(record); });
    std::map<std::string, std::string> placeholders;
    {
        FleetPlan plan;
        plan.settings = labSettings();
        plan.platform.listLag = base::Millis(20);
        plan.platform.maxLoadStartsPerSecond = 100;
        EnginePlan engine;
        engine.options.id = "drafter-1";
        engine.options.loadTime = base::Millis(50);
        plan.engines.push_back(engine);
        plan.servicePools["ledger-1"] = "ledger";
        LabFleet fleet(loop, plan);
        fleet.start();
        // d1 must own the budget slots and placement before d2 starts.
        net::sleepFor(base::Millis(900));
        fleet.startDaemon("d2");
        fleet.waitReady("d2", base::Seconds(5));
        runGoldenSession(loop, fleet);
        for (const char* name : { "d1", "d2" }) {
            placeholders[base::formatAddress(fleet.addresses(name).client)] = std::string("<") + name + " callers>";
            placeholders[base::formatAddress(fleet.addresses(name).admin)] = std::string("<") + name + " admin>";
            placeholders[base::formatAddress(fleet.addresses(name).peer)] = std::string("<") + name + " peers>";
        }
        for (auto& [name, address] : fleet.standInAddresses())
            placeholders[base::formatAddress(address)] = "<" + name + ">";
    }
    net::tapSet(nullptr);
    std::string callerExchanges;
    std::set<std::string> otherExchanges;
    std::set<std::string> backgroundExchanges;
    for (const net::TapRecord& record : records) {
        std::string request = normalizeText(decodeJsonLines(record.request), placeholders);
        std::string response = normalizeText(decodeJsonLines(record.response), placeholders);
        std::string channel = normalizeText(record.channel, placeholders);
        std::string text = fmt::format("== {}\n{}--\n{}\n", channel, request, response);
        if (isBackground(record, request))
            backgroundExchanges.insert(channel + " "
                + (record.channel.starts_with("peer") ? maskNumbers(request).substr(0, 400)
                                                      : request.substr(0, request.find('\n'))));
        else if (channel.ends_with("callers>"))
            callerExchanges += text;
        else
            otherExchanges.insert(text);
    }
    std::string text = "#### callers, in order\n\n" + callerExchanges
        + "#### operators, endpoints and the key-value service, each distinct exchange\n\n";
    for (const std::string& item : otherExchanges)
        text += item;
    text += "#### background, each distinct kind\n\n";
    std::set<std::string> backgroundKinds;
    for (const std::string& item : backgroundExchanges)
        backgroundKinds.insert(item.substr(0, item.starts_with("peer") ? item.find(' ', 5) : item.size()));
    for (const std::string& item : backgroundKinds)
        text += item + "\n";
    return text;
}

} // namespace rattanshunt::lab

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

    // Replaces base64 fields of the key-value service's JSON by what they say.
    void decodeFields(json& value)
    {
        if (value.is_array()) {
            for (json& item : value)
                decodeFields(item);
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
                decodeFields(item);
        }
    }

    std::string decodeLines(const std::string& text)
    {
        std::string decoded;
        for (const std::string& line : base::splitText(text, '\n')) {
            json object = json::parse(line, nullptr, false);
            if (object.is_object()) {
                decodeFields(object);
                decoded += object.dump() + "\n";
            } else
                decoded += line + "\n";
        }
        return decoded;
    }

    std::string normalise(std::string text, const std::map<std::string, std::string>& names)
    {
        for (auto& [address, name] : names) {
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

    // Exchanges whose number and content depend on time alone.
    bool isBackground(const net::TapRecord& record, const std::string& request)
    {
        if (record.channel.starts_with("peer"))
            return true;
        for (const char* mark : { "/v3/watch", "/v3/lease/keepalive", "/rs/head", "GET /state", "GET /instances",
                 "GET /api/v1/s", "/readyz", "GET /runs" }) {
            if (request.find(mark) != std::string::npos)
                return true;
        }
        return false;
    }

    // Numbers in frames between peers differ from run to run.
    std::string withoutNumbers(const std::string& text)
    {
        static const std::regex number("-?[0-9]+(\\.[0-9]+)?(e[-+]?[0-9]+)?");
        return std::regex_replace(text, number, "<n>");
    }

    net::HttpResponse send(net::Loop& loop, const base::Address& address, const net::HttpRequest& request)
    {
        auto connection = net::HttpConnection::create(loop, address);
        return net::httpCall(*connection, request, base::Clock::now() + base::Seconds(10)).response;
    }

    net::HttpRequest completion(const std::string& id, const std::string& secret, const json& body)
    {
        net::HttpRequest request { "POST", "/v1/completions",
            { { "Content-Type", "application/json" }, { "X-Request-Id", id } }, body.dump() };
        if (!secret.empty())
            request.headers.push_back({ "Authorization", "Bearer " + secret });
        return request;
    }

    void runSession(net::Loop& loop, LabFleet& fleet)
    {
        fleet.adminCall(
            "d1", "PUT", "/api/v1/model/bulletin", { { "pool", "drafter" }, { "bytes", 60 }, { "value", "high" } });
        fleet.adminCall("d1", "PUT", "/api/v1/account/acme", { { "rate", 10000 }, { "burst", 20000 } });
        fleet.adminCall("d1", "PUT", "/api/v1/account/small", { { "rate", 10 }, { "burst", 40 } });
        fleet.adminCall("d1", "PUT", "/api/v1/service/ledger", { { "pool", "ledger" } });
        fleet.adminCall("d1", "PUT", "/api/v1/route/swap", { { "prefix", "/swap" }, { "service", "ledger" } });
        fleet.adminCall("d1", "PUT", "/api/v1/account/acme", { { "rate", 10000 }, { "burst", 10 } });
        std::string key = fleet.createKey("d1", "acme-1", "acme");
        std::string small = fleet.createKey("d1", "small-1", "small");
        net::sleepFor(base::Millis(400));
        base::Address caller = fleet.addresses("d1").client;
        json body = { { "model", "bulletin" }, { "prompt", "Roads are shut in the north." }, { "max_tokens", 4 } };
        send(loop, caller, completion("short", key, body));
        body["stream"] = true;
        send(loop, caller, completion("stream", key, body));
        send(loop, caller, completion("no-key", "", body));
        send(loop, caller, completion("unknown-key", "rsk_0", body));
        send(loop, caller,
            completion("too-much", small, { { "model", "bulletin" }, { "prompt", "x" }, { "max_tokens", 400 } }));
        send(loop, caller, completion("bad-field", key, { { "model", "bulletin" }, { "prompt", 5 } }));
        send(loop, caller, completion("no-model", key, { { "model", "missing" }, { "prompt", "x" } }));
        net::HttpRequest swap { "POST", "/swap",
            { { "X-Request-Id", "swap" }, { "Authorization", "Bearer " + key }, { "Idempotency-Key", "swap-1" } },
            R"({"call":"swap-1"})" };
        send(loop, caller, swap);
        swap.headers[0].value = "swap-again";
        send(loop, caller, swap);
        swap.headers[0].value = "swap-changed";
        swap.body = R"({"call":"swap-2"})";
        send(loop, caller, swap);
        fleet.adminCall("d1", "POST", "/api/v1/key/acme-1/withdraw");
        net::sleepFor(base::Millis(100));
        body["stream"] = false;
        send(loop, caller, completion("withdrawn", key, body));
    }

} // namespace

std::string goldenSession(net::Loop& loop)
{
    std::vector<net::TapRecord> records;
    net::tapSet([&](const net::TapRecord& record) { records.push_back(record); });
    std::map<std::string, std::string> names;
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
        // Budget slots and placement are d1's before d2 starts.
        net::sleepFor(base::Millis(900));
        fleet.startDaemon("d2");
        fleet.waitReady("d2", base::Seconds(5));
        runSession(loop, fleet);
        for (const char* name : { "d1", "d2" }) {
            names[base::formatAddress(fleet.addresses(name).client)] = std::string("<") + name + " callers>";
            names[base::formatAddress(fleet.addresses(name).admin)] = std::string("<") + name + " admin>";
            names[base::formatAddress(fleet.addresses(name).peer)] = std::string("<") + name + " peers>";
        }
        for (auto& [name, address] : fleet.standInAddresses())
            names[base::formatAddress(address)] = "<" + name + ">";
    }
    net::tapSet(nullptr);
    std::string callers;
    std::set<std::string> others;
    std::set<std::string> background;
    for (const net::TapRecord& record : records) {
        std::string request = normalise(decodeLines(record.request), names);
        std::string response = normalise(decodeLines(record.response), names);
        std::string channel = normalise(record.channel, names);
        std::string text = fmt::format("== {}\n{}--\n{}\n", channel, request, response);
        if (isBackground(record, request))
            background.insert(channel + " "
                + (record.channel.starts_with("peer") ? withoutNumbers(request).substr(0, 400)
                                                      : request.substr(0, request.find('\n'))));
        else if (channel.ends_with("callers>"))
            callers += text;
        else
            others.insert(text);
    }
    std::string text = "#### callers, in order\n\n" + callers
        + "#### operators, endpoints and the key-value service, each distinct exchange\n\n";
    for (const std::string& item : others)
        text += item;
    text += "#### background, each distinct kind\n\n";
    std::set<std::string> kinds;
    for (const std::string& item : background)
        kinds.insert(item.substr(0, item.starts_with("peer") ? item.find(' ', 5) : item.size()));
    for (const std::string& item : kinds)
        text += item + "\n";
    return text;
}

} // namespace rattanshunt::lab

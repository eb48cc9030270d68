// Entries of another writer among those of the replicas: nested, too long, or with numbers and addresses out of range.
// Each names no replica; the sound ones beside it hold, at the hub and at the members.
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "GatewayFleet.h"
#include "Support.h"
#include "base/Json.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;
using namespace rattanshunt::lab;

namespace {

const std::map<std::string, std::string>& soundFields()
{
    static const std::map<std::string, std::string> fields { { "service", "\"plain\"" },
        { "address", "\"127.0.0.1:1\"" }, { "zone", "\"dc-1\"" }, { "version", "\"v1\"" }, { "slots", "8" },
        { "state", "\"ready\"" }, { "coldLeftMs", "0" }, { "sequence", "1" }, { "born", "1700000000000" },
        { "models", R"([{"name":"m1","version":1,"adapters":["a1"]}])" } };
    return fields;
}

std::string entryText(std::map<std::string, std::string> fields)
{
    std::string text;
    for (const auto& [name, value] : fields)
        text += fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, value);
    return text + "}";
}

std::string entryWith(const std::string& field, const std::string& value)
{
    std::map<std::string, std::string> fields = soundFields();
    fields[field] = value;
    return entryText(fields);
}

std::string nested(size_t depth, char open, char close)
{
    return std::string(depth, open) + std::string(depth, close);
}

std::string nestedObjects(size_t depth)
{
    std::string text;
    for (size_t i = 0; i < depth; ++i)
        text += "{\"adapters\":";
    return text + "1" + std::string(depth, '}');
}

// Values that no field of an entry may have.
std::vector<std::string> oddValues(size_t maxDepth = 100000)
{
    std::vector<std::string> values { "null", "true", "-1", "-9223372036854775808", "9223372036854775807",
        "9223372036854775808", "18446744073709551615", "1e16", "1e308", "1e999", "{}", "{\"name\":{}}", "[[]]",
        "[null]" };
    for (size_t depth = 10; depth <= maxDepth; depth *= 10) {
        values.push_back(nested(depth, '[', ']'));
        values.push_back(nestedObjects(depth));
        values.push_back("[{\"name\":\"m1\",\"adapters\":" + nested(depth, '[', ']') + "}]");
    }
    return values;
}

// Entries that name no replica, by key. Only `models` is nested by more than `maxDepth`.
std::map<std::string, std::string> oddEntries(size_t maxDepth = 100000)
{
    std::map<std::string, std::string> entries;
    auto add = [&](const std::string& value) { entries[fmt::format("servers/odd-{:03}", entries.size())] = value; };
    for (const auto& [field, sound] : soundFields()) {
        for (const std::string& value : oddValues(field == "models" ? 20000 : maxDepth))
            add(entryWith(field, value));
    }
    for (const char* address : { "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:", "127.0.0.1", ":80",
             "host:80", "127.0.0.1:4294967297", "999.0.0.1:80" })
        add(entryWith("address", fmt::format("\"{}\"", address)));
    for (const char* field : { "service", "address", "zone", "slots", "state" }) {
        std::map<std::string, std::string> fields = soundFields();
        fields.erase(field);
        add(entryText(fields));
    }
    add("");
    add("\xff\xfe{");
    add("[]");
    add(entryWith("models", nestedObjects(20000)));
    add(nested(100000, '[', ']'));
    add(entryWith("zone", "\"" + std::string(1000000, 'z') + "\""));
    entries["servers/"] = entryText(soundFields());
    entries["servers/a b\r\nTenant: x"] = entryText(soundFields());
    return entries;
}

bool servesAt(GatewayFleet& fleet, LabGateway& gateway, const std::string& id)
{
    return fleet.call(gateway, labRequest("/safe/", id)).status == 200;
}

} // namespace

Test(foreign_entry, each_field_that_is_odd_makes_the_entry_unreadable, .timeout = 60)
{
    // On a fiber, as its stack is smaller than that of the main thread.
    runOnLoop([](net::Loop&) {
        gateway::WireCodec codec = platform::wireCodecCreate();
        std::string fault;
        cr_assert(codec.readEntry("servers/i-1", entryText(soundFields()), fault), "%s", fault.c_str());
        for (const auto& [key, value] : oddEntries()) {
            fault.clear();
            cr_expect_not(
                codec.readEntry(key, value, fault), "%s was read: %s", key.c_str(), value.substr(0, 300).c_str());
            cr_expect_not(fault.empty());
        }
    });
}

Test(foreign_entry, a_report_that_is_nested_or_out_of_range_is_no_report, .timeout = 60)
{
    runOnLoop([](net::Loop&) {
        gateway::WireCodec codec = platform::wireCodecCreate();
        auto read = [&](const std::string& field, const std::string& value) {
            std::map<std::string, std::string> fields { { "born", "1" }, { "models", "[]" }, { "coming", "[]" },
                { "sequence", "1" }, { "running", "0" }, { "waiting", "0" } };
            fields[field] = value;
            return codec.readReport({ 200, {}, entryText(fields) });
        };
        cr_expect(read("born", "2"));
        for (const char* field : { "born", "models", "coming", "sequence", "running", "waiting" }) {
            for (const std::string& value : oddValues())
                cr_expect_not(read(field, value), "%s: %s", field, value.substr(0, 100).c_str());
        }
        for (size_t depth : { 100, 1000, 10000, 100000 })
            cr_expect_not(codec.readReport({ 200, {}, nestedObjects(depth) }));
    });
}

// Guards against one entry that ends all gateways, or makes them stop following the list.
Test(foreign_entry, sound_entries_hold_beside_odd_ones_at_all_gateways, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        GatewayFleet fleet(loop);
        fleet.configure(labConfiguration(1));
        ReplicaStandInOptions options;
        fleet.addReplica(options);
        std::vector<LabGateway*> gateways;
        for (const char* name : { "g0", "g1" })
            gateways.push_back(&fleet.addGateway(name));
        cr_assert(fleet.waitReady());
        for (const auto& [key, value] : oddEntries(1000))
            fleet.store().put(key, value);
        net::sleepFor(base::Seconds(2));
        gateways.push_back(&fleet.addGateway("g2"));
        options.id = "i-2";
        fleet.addReplica(options);
        cr_assert(fleet.waitReady(), "a replica that came after the odd entries is not known everywhere");
        for (size_t i = 0; i < gateways.size(); ++i) {
            const directory::Directory& directory = gateways[i]->hubSync.directory();
            cr_expect_eq(directory.replicas.size(), 2, "%s knows %zu replicas",
                gateways[i]->hubSync.options().name.c_str(), directory.replicas.size());
            cr_expect(servesAt(fleet, *gateways[i], fmt::format("id-{}", i)));
        }
        fleet.stop();
    });
}

// Values of an item that this system writes itself, or that the store answers, must not end a process either.
Test(foreign_entry, odd_records_of_this_system_end_no_gateway, .timeout = 60)
{
    runOnLoop([](net::Loop& loop) {
        GatewayFleet fleet(loop);
        fleet.configure(labConfiguration(1));
        fleet.addReplica({});
        LabGateway& first = fleet.addGateway("g0");
        LabGateway& second = fleet.addGateway("g1");
        cr_assert(fleet.waitReady());
        for (const char* key : { "rs/fleet", "rs/parts", "rs/streams", "rs/orderer", "rs/hub" }) {
            for (const std::string& value :
                { std::string("{\"members\":\"x\",\"parts\":{},\"versions\":{},\"name\":1}"),
                    std::string("{\"members\":-1,\"parts\":[{\"until_ms\":18446744073709551615}],\"address\":[]}"),
                    std::string("{\"versions\":[[1,2,3]],\"streams\":[[\"a\",\"b\",[-1]]],\"era\":{}}"),
                    std::string("{\"parts\":[{\"service\":\"a\",\"part\":\"b\",\"until_ms\":0,\"blocks\":1e300}]}"),
                    nestedObjects(20000), std::string("\xff") }) {
                fleet.store().put(key, value);
                net::sleepFor(base::Millis(700));
            }
            fleet.store().remove(key);
        }
        base::TimePoint until = base::Clock::now() + base::Seconds(6);
        while (!servesAt(fleet, first, base::randomId()) && base::Clock::now() < until)
            net::sleepFor(base::Millis(100));
        cr_expect(servesAt(fleet, first, "id-1"));
        cr_expect(servesAt(fleet, second, "id-2"));
        fleet.stop();
    });
}

Test(foreign_entry, parsers_refuse_what_is_nested_too_deeply)
{
    auto packed = [](size_t depth) { return std::string(depth, '\x91') + '\x01'; };
    cr_expect_not(base::jsonTryParse(nested(base::maxJsonDepth, '[', ']')).is_discarded());
    cr_expect(base::jsonTryParse(nested(base::maxJsonDepth + 1, '[', ']')).is_discarded());
    cr_expect_not(base::jsonTryParseMessagePack(packed(base::maxJsonDepth)).is_discarded());
    cr_expect(base::jsonTryParseMessagePack(packed(base::maxJsonDepth + 1)).is_discarded());
    cr_expect(base::jsonTryParseMessagePack(packed(1000000)).is_discarded());
    // The values are those of the library's own parser.
    const char* text
        = R"({"a":[1,-2,3.5,"x",null,true,{"b":{},"c":[[]]}],"d":18446744073709551615,"a2":{"e":[{"f":1},2]}})";
    cr_expect(base::jsonParse(text) == nlohmann::json::parse(text));
    nlohmann::json value = nlohmann::json::parse(text);
    value["binary"] = nlohmann::json::binary({ 1, 2, 3 });
    std::string bytes;
    nlohmann::json::to_msgpack(value, bytes);
    cr_expect(base::jsonTryParseMessagePack(bytes) == value);
    cr_expect(base::jsonTryParse("{\"a\":1").is_discarded());
    cr_expect(base::jsonTryParse("1 2").is_discarded());
    cr_expect_throw(base::jsonParse("[1,]"), base::JsonFault);
}

// A parser without a limit on depth would bring the fault back.
Test(foreign_entry, all_parsing_has_a_limit_on_depth)
{
    namespace fs = std::filesystem;
    fs::path root = fs::path(SCENARIO_DIR) / ".." / "..";
    for (const char* folder : { "src", "platform" }) {
        for (const fs::directory_entry& entry : fs::recursive_directory_iterator(root / folder)) {
            if (!entry.is_regular_file() || entry.path().filename() == "Json.cpp")
                continue;
            std::ifstream file(entry.path());
            std::stringstream content;
            content << file.rdbuf();
            for (const char* call :
                { "json::parse(", "Json::parse(", "::from_msgpack(", "::sax_parse(", "json::accept(" })
                cr_expect(content.str().find(call) == std::string::npos, "%s contains %s", entry.path().c_str(), call);
        }
    }
}

#include "Verdict.h"

#include <map>

#include <fmt/format.h>

namespace rattanshunt::lab {

using nlohmann::json;

namespace {

    int64_t sumOf(const json& load, const char* field)
    {
        int64_t sum = 0;
        for (const json& kind : load.at("kinds"))
            sum += kind.at(field).get<int64_t>();
        return sum;
    }

    int64_t refusedOf(const json& kind)
    {
        int64_t sum = 0;
        for (const json& count : kind.at("refused"))
            sum += count.get<int64_t>();
        return sum;
    }

    // Whether every request sent has exactly one of the outcomes that a caller may see.
    bool allAccounted(const json& load)
    {
        for (const json& kind : load.at("kinds")) {
            int64_t ended = kind.at("whole").get<int64_t>() + kind.at("wrong").get<int64_t>()
                + kind.at("unknown").get<int64_t>() + kind.at("unreachable").get<int64_t>()
                + kind.at("silent").get<int64_t>() + refusedOf(kind);
            if (ended != kind.at("sent").get<int64_t>())
                return false;
        }
        return true;
    }

    VerdictLine memoryLine(const std::vector<json>& engines)
    {
        int overcommits = 0;
        for (const json& engine : engines)
            overcommits += engine.at("overcommits").get<int>();
        return { "memory on an endpoint is never overcommitted", overcommits == 0,
            fmt::format("{} overcommits", overcommits) };
    }

    VerdictLine replicasLine(const std::vector<json>& engines)
    {
        std::map<std::string, int> replicas;
        int most = 0;
        for (const json& engine : engines) {
            for (const json& model : engine.at("models"))
                most = std::max(most, ++replicas[model.get<std::string>()]);
        }
        return { "no more replicas than decided (1 of each model)", most <= 1,
            fmt::format("{} models loaded, at most {} replicas", replicas.size(), most) };
    }

    VerdictLine runsLine(const std::vector<json>& services)
    {
        std::map<std::string, int> runs;
        int most = 0;
        for (const json& service : services) {
            for (auto& [call, count] : service.at("runs").items()) {
                if (call.starts_with("notice"))
                    most = std::max(most, runs[call] += count.get<int>());
            }
        }
        return { "a call that may not be repeated runs at most once", most <= 1,
            fmt::format("{} calls, most runs of one: {}", runs.size(), most) };
    }

    VerdictLine keysLine(const VerdictInput& input)
    {
        bool sawKey = false;
        for (const auto* list : { &input.engines, &input.services }) {
            for (const json& endpoint : *list)
                sawKey = sawKey || endpoint.at("saw_key").get<bool>();
        }
        return { "no endpoint sees a key", !sawKey, sawKey ? "a key was seen" : "none seen" };
    }

    VerdictLine rateLine(const json& load)
    {
        // As set up by scripts/demo.sh: the account's rate is 1500 tokens per second and its burst 3000 tokens; a
        // request reserves and uses 116 tokens.
        constexpr double rate = 1500;
        constexpr double burst = 3000;
        constexpr double tokensPerRequest = 116;
        const json& kind = load.at("kinds").at("five-times-rate");
        double used = kind.at("whole").get<double>() * tokensPerRequest;
        double allowed = burst + rate * load.at("seconds").get<double>();
        return { "no account gets more than rate and burst", used <= allowed,
            fmt::format("{:.0f} tokens of at most {:.0f}", used, allowed) };
    }

} // namespace

std::vector<VerdictLine> verdict(const VerdictInput& input)
{
    int64_t unreachable = sumOf(input.load, "unreachable");
    std::vector<VerdictLine> lines;
    lines.push_back({ "every request ends in an answer, a refusal or 'unknown'",
        allAccounted(input.load) && !sumOf(input.load, "silent"),
        fmt::format("{} silent", sumOf(input.load, "silent")) });
    lines.push_back({ "a caller gets the whole answer to its own request", sumOf(input.load, "wrong") == 0,
        fmt::format("{} whole, {} wrong", sumOf(input.load, "whole"), sumOf(input.load, "wrong")) });
    lines.push_back(rateLine(input.load));
    lines.push_back(runsLine(input.services));
    lines.push_back(memoryLine(input.engines));
    lines.push_back(replicasLine(input.engines));
    lines.push_back(keysLine(input));
    lines.push_back({ "a withdrawn key stops working", input.withdrawnStatus == 401,
        fmt::format("status {}", input.withdrawnStatus) });
    lines.push_back({ "a graceful stop ends by itself", input.stopExit == 0,
        fmt::format("exit {}; {} requests found no instance", input.stopExit, unreachable) });
    return lines;
}

std::string outcomesTable(const json& load)
{
    std::string text = fmt::format("{:<18} {:>6} {:>6} {:>6} {:>8} {:>8} {:>7} {:>9} {:>9}  refused, not run\n", "kind",
        "sent", "whole", "wrong", "unknown", "unreach", "silent", "p50 ms", "p99 ms");
    for (auto& [name, kind] : load.at("kinds").items()) {
        text += fmt::format("{:<18} {:>6} {:>6} {:>6} {:>8} {:>8} {:>7} {:>9.1f} {:>9.1f}  ", name,
            kind.at("sent").get<int64_t>(), kind.at("whole").get<int64_t>(), kind.at("wrong").get<int64_t>(),
            kind.at("unknown").get<int64_t>(), kind.at("unreachable").get<int64_t>(), kind.at("silent").get<int64_t>(),
            kind.at("p50_s").get<double>() * 1000, kind.at("p99_s").get<double>() * 1000);
        for (auto& [reason, count] : kind.at("refused").items())
            text += fmt::format("{}={} ", reason, count.get<int64_t>());
        text += '\n';
    }
    return text;
}

} // namespace rattanshunt::lab

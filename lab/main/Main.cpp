// Command line of the lab: simulated platform, engines and services, load generator, tests and benchmarks. Not shipped.
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include "Bench.h"
#include "EngineStandIn.h"
#include "Explorer.h"
#include "Fuzz.h"
#include "Golden.h"
#include "Load.h"
#include "PlatformStandIn.h"
#include "ResponseFuzz.h"
#include "Scenario.h"
#include "ServiceStandIn.h"
#include "Soak.h"
#include "Verdict.h"
#include "base/Log.h"
#include "coordination/InstanceList.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to listen on");
DEFINE_string(platform_at, "", "IP:PORT of the platform stand-in; engines and services register there");
DEFINE_string(id, "engine-1", "identifier of this endpoint in the instance list");
DEFINE_string(pool, "drafter", "pool of this endpoint");
DEFINE_string(center, "dc-1", "data centre of this endpoint");
DEFINE_string(boot, "", "boot identifier; random if empty");
DEFINE_int64(memory, 100, "bytes of endpoint memory");
DEFINE_int32(slots, 8, "maximum number of requests in a batch");
DEFINE_int32(token_us, 1000, "microseconds to generate a token");
DEFINE_int32(load_ms, 500, "milliseconds to load a model at full speed of the weight store");
DEFINE_bool(checks_fencing, true, "refuse orders with an outdated fencing token");
DEFINE_bool(starts_loaded, false, "serve any model without an order");
DEFINE_double(loads_per_second, 2, "loads that the weight store starts per second");
DEFINE_int32(list_lag_ms, 500, "milliseconds until a change of an instance is listed");
DEFINE_string(targets, "", "IP:PORT list of daemons, for load");
DEFINE_string(plan, "", "JSON file with the kinds of requests, for load");
DEFINE_double(rate, 100, "requests per second, for load");
DEFINE_double(seconds, 5, "duration of load and soak, and of each fuzz target, in seconds");
DEFINE_int32(concurrency, 0, "requests in flight, for load; 0: open loop at --rate");
DEFINE_int64(seed, 1, "seed of random choices");
DEFINE_string(files, "", "scenario files, separated by commas");
DEFINE_string(load, "", "file with the output of load --json, for verdict");
DEFINE_string(engines, "", "file with the state of one engine per line, for verdict");
DEFINE_string(services, "", "file with the runs of one service per line, for verdict");
DEFINE_int32(withdrawn_status, 0, "HTTP status that a withdrawn key got, for verdict");
DEFINE_int32(stop_exit, -1, "exit code of a daemon that stopped gracefully, for verdict");
DEFINE_int32(depth, 12, "depth in steps up to which the explorer visits every state");
DEFINE_int64(states, 400000, "maximum number of states that the explorer visits, per case");
DEFINE_bool(trace, false, "print the trace of a scenario even if it passed");
DEFINE_string(log, "warning", "lowest level of events to log: debug, info, warning or error");
DEFINE_string(program, "", "path of the rattanshunt binary, for soak; beside this one if empty");
DEFINE_string(directory, "", "directory for settings and logs, for soak; a temporary one if empty");
DEFINE_int32(seeds, 1, "number of consecutive soaks, with seeds from --seed on");
DEFINE_int32(daemons, 3, "number of gateway processes, for soak");
DEFINE_int32(callers, 8, "number of concurrent callers, for soak");
DEFINE_int32(plain_replicas, 2, "number of plain replicas that keep the order of their responses, for soak");
DEFINE_int32(engine_replicas, 3, "number of engine replicas, for soak; without any, callers send plain requests only");
DEFINE_int32(unreliable_replicas, 1, "number of plain replicas that write refusals again and restart, for soak");
DEFINE_bool(json, false, "print JSON");

namespace {

using namespace rattanshunt;

constexpr int exitUsage = 2;

std::vector<std::string> s_arguments; // positional, after the command

base::Address listenAddress()
{
    auto address = base::parseAddress(FLAGS_listen);
    if (!address || !address->ip.starts_with("127."))
        throw std::runtime_error("listen: must be a loopback IP:PORT");
    return *address;
}

void waitForSignal(net::Loop& loop)
{
    net::Event stop;
    boost::asio::signal_set signals(loop.io(), SIGTERM, SIGINT);
    signals.async_wait([&stop](net::ErrorCode, int) { stop.set(); });
    stop.waitUntil();
}

void registerInstance(net::Loop& loop, const base::Address& address, int64_t memory, const std::string& boot)
{
    auto platformAddress = base::parseAddress(FLAGS_platform_at);
    if (!platformAddress)
        return;
    coordination::Instance instance { FLAGS_id, FLAGS_pool, address, FLAGS_center, boot,
        coordination::InstanceState::Live, memory, FLAGS_checks_fencing };
    auto connection = net::HttpConnection::create(loop, *platformAddress);
    net::httpCall(*connection, { "PUT", "/instances", {}, coordination::instanceToJson(instance).dump() },
        base::Clock::now() + base::Seconds(5));
}

// Serves a stand-in until SIGTERM or SIGINT.
template <typename StandIn>
int serveStandIn(net::Loop& loop, StandIn& standIn, const std::function<void(const base::Address&)>& onListening)
{
    base::Address address = listenAddress();
    std::string error;
    if (!standIn.listen(address, error)) {
        std::cerr << "listen: " << FLAGS_listen << ": " << error << "\n";
        return 1;
    }
    std::cout << "listening " << base::formatAddress(address) << std::endl;
    onListening(address);
    waitForSignal(loop);
    standIn.stop();
    return 0;
}

int runPlatform(net::Loop& loop)
{
    lab::PlatformStandInOptions options;
    options.maxLoadStartsPerSecond = FLAGS_loads_per_second;
    options.listLag = base::Millis(FLAGS_list_lag_ms);
    lab::PlatformStandIn standIn(loop, options);
    return serveStandIn(loop, standIn, [](const base::Address&) {});
}

int runEngine(net::Loop& loop)
{
    lab::EngineStandInOptions options;
    options.id = FLAGS_id;
    options.bootId = FLAGS_boot.empty() ? base::randomId() : FLAGS_boot;
    options.memoryBytes = FLAGS_memory;
    options.batchSlots = FLAGS_slots;
    options.timePerToken = base::Micros(FLAGS_token_us);
    options.loadTime = base::Millis(FLAGS_load_ms);
    options.checksFencing = FLAGS_checks_fencing;
    options.startsLoaded = FLAGS_starts_loaded;
    options.platformAddress = FLAGS_platform_at;
    lab::EngineStandIn standIn(loop, options);
    return serveStandIn(loop, standIn,
        [&](const base::Address& address) { registerInstance(loop, address, FLAGS_memory, options.bootId); });
}

int runService(net::Loop& loop)
{
    lab::ServiceStandIn standIn(loop);
    return serveStandIn(
        loop, standIn, [&](const base::Address& address) { registerInstance(loop, address, 0, base::randomId()); });
}

int runLoad(net::Loop& loop)
{
    lab::LoadPlan plan;
    for (const std::string& text : base::splitText(FLAGS_targets, ',')) {
        auto address = base::parseAddress(text);
        if (!address || !address->ip.starts_with("127."))
            throw std::runtime_error("targets: \"" + text + "\" is not a loopback IP:PORT");
        plan.targets.push_back(*address);
    }
    std::ifstream file(FLAGS_plan);
    nlohmann::json kinds = nlohmann::json::parse(file, nullptr, false);
    if (plan.targets.empty() || !kinds.is_array() || kinds.empty())
        throw std::runtime_error("load needs --targets and --plan, a JSON list of kinds");
    plan.kinds = lab::loadKindsParse(kinds);
    plan.rate = FLAGS_rate;
    plan.concurrency = static_cast<size_t>(std::max(FLAGS_concurrency, 0));
    plan.duration = base::durationOf(FLAGS_seconds);
    plan.seed = static_cast<uint64_t>(FLAGS_seed);
    base::TimePoint start = base::Clock::now();
    lab::LoadResult result = lab::loadRun(loop, plan);
    base::Duration elapsed = base::Clock::now() - start;
    std::cout << (FLAGS_json ? lab::loadJson(result, elapsed).dump(2) + "\n" : lab::loadText(result, elapsed));
    return 0;
}

// Runs the scenario files and prints failures, and the trace of those that failed.
int runScenarios(net::Loop& loop)
{
    int passed = 0;
    int failed = 0;
    for (const std::string& name : base::splitText(FLAGS_files, ',')) {
        std::ifstream file(name);
        std::stringstream text;
        text << file.rdbuf();
        lab::ScenarioScript script = lab::scenarioParse(text.str());
        if (!file)
            script.errors.emplace_back("cannot read the file");
        lab::ScenarioResult result = lab::scenarioRun(loop, script);
        ++(result.isPassed ? passed : failed);
        std::cout << (result.isPassed ? "passed " : "FAILED ") << name << std::endl;
        if (!result.isPassed || FLAGS_trace) {
            for (const std::string& line : result.trace)
                std::cout << "  " << line << "\n";
        }
        for (const std::string& failure : result.failures)
            std::cout << "  " << failure << std::endl;
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed ? 1 : 0;
}

nlohmann::json readJson(const std::string& name)
{
    std::ifstream file(name);
    nlohmann::json object = nlohmann::json::parse(file, nullptr, false);
    if (object.is_discarded())
        throw std::runtime_error(name + ": not valid JSON");
    return object;
}

std::vector<nlohmann::json> readJsonLines(const std::string& name)
{
    std::ifstream file(name);
    std::vector<nlohmann::json> list;
    std::string line;
    while (std::getline(file, line)) {
        nlohmann::json object = nlohmann::json::parse(line, nullptr, false);
        if (object.is_object())
            list.push_back(std::move(object));
    }
    return list;
}

int runVerdict(net::Loop&)
{
    lab::VerdictInput input { readJson(FLAGS_load), readJsonLines(FLAGS_engines), readJsonLines(FLAGS_services),
        FLAGS_withdrawn_status, FLAGS_stop_exit };
    std::cout << "\n" << lab::outcomesTable(input.load) << "\n";
    bool allHold = true;
    for (const lab::VerdictLine& line : lab::verdict(input)) {
        allHold = allHold && line.holds;
        std::cout << (line.holds ? "holds   " : "BROKEN  ") << line.property << ": " << line.observed << "\n";
    }
    return allHold ? 0 : 1;
}

int runBench(net::Loop&)
{
    static const std::map<std::string, lab::BenchTable (*)(uint64_t)> benches
        = { { "budget", lab::benchBudget }, { "placement", lab::benchPlacement }, { "routing", lab::benchRouting },
              { "once", lab::benchClaims }, { "config", lab::benchConfig }, { "usage", lab::benchUsage },
              { "waiting", lab::benchWaiting }, { "spill", lab::benchSpill }, { "capacity", lab::benchCapacity } };
    for (const std::string& name : s_arguments) {
        auto found = benches.find(name);
        if (found == benches.end())
            throw std::runtime_error("bench: \"" + name
                + "\" is not one of budget, placement, routing, once, config, usage, waiting, capacity");
        lab::BenchTable table = found->second(static_cast<uint64_t>(FLAGS_seed));
        std::cout << (FLAGS_json ? lab::benchJson(table).dump(2) : lab::benchText(table)) << std::endl;
    }
    return s_arguments.empty() ? exitUsage : 0;
}

int runGolden(net::Loop& loop)
{
    std::cout << lab::goldenSession(loop);
    return 0;
}

int runExplore(net::Loop&)
{
    lab::ExplorerLimits limits;
    limits.maxDepth = static_cast<size_t>(FLAGS_depth);
    limits.maxStates = static_cast<size_t>(FLAGS_states);
    limits.seed = static_cast<uint64_t>(FLAGS_seed);
    limits.randomWalks = 5000;
    int unexpected = 0;
    for (lab::ExplorerCase& item : lab::explorerCases()) {
        lab::ExplorerResult result = lab::explore(*item.model, limits);
        bool isExpected = result.violation.empty() == (item.removedSafeguard == lab::Safeguard::None);
        unexpected += !isExpected;
        std::cout << (isExpected ? "as expected  " : "UNEXPECTED   ") << item.name << ": " << result.stateCount
                  << " states, depth " << result.depthReached << (result.isComplete ? ", all visited" : "") << "\n";
        if (result.violation.empty())
            continue;
        std::cout << "    " << result.violation << "\n";
        for (const std::string& action : result.trace)
            std::cout << "      " << action << "\n";
    }
    return unexpected ? 1 : 0;
}

// Fuzzes all targets, or those named, for --seconds each.
int runFuzz(net::Loop& loop)
{
    constexpr uint64_t inputsPerRound = 20000;
    constexpr uint64_t responsesPerRound = 1000;
    const std::string responseTarget = "response";
    std::vector<std::string> known = lab::fuzzTargets();
    known.push_back(responseTarget);
    int failed = 0;
    for (const std::string& target : s_arguments.empty() ? known : s_arguments) {
        if (std::find(known.begin(), known.end(), target) == known.end()) {
            std::cerr << "unknown fuzz target \"" << target
                      << "\"; known: " << fmt::format("{}", fmt::join(known, ", ")) << "\n";
            return 2;
        }
        base::TimePoint end = base::Clock::now() + base::durationOf(FLAGS_seconds);
        auto seed = static_cast<uint64_t>(FLAGS_seed);
        lab::FuzzResult result;
        uint64_t inputs = 0;
        while (result.finding.empty() && base::Clock::now() < end) {
            result = target == responseTarget ? lab::fuzzResponses(loop, seed, responsesPerRound)
                                              : lab::fuzzRun(target, seed, inputsPerRound);
            inputs += result.inputCount;
            seed += result.finding.empty();
        }
        std::cout << fmt::format("{}: {} inputs, {}\n", target, inputs,
            result.finding.empty() ? "no finding" : fmt::format("seed {}: {}\n{}", seed, result.finding, result.input));
        failed += !result.finding.empty();
    }
    return failed ? 1 : 0;
}

int runSoak(net::Loop& loop)
{
    namespace fs = std::filesystem;
    int failed = 0;
    for (int i = 0; i < FLAGS_seeds; ++i) {
        lab::SoakOptions options;
        options.seed = static_cast<uint64_t>(FLAGS_seed + i);
        options.faultDuration = base::Seconds(static_cast<int64_t>(FLAGS_seconds));
        options.daemons = FLAGS_daemons;
        options.callers = FLAGS_callers;
        options.plainReplicas = FLAGS_plain_replicas;
        options.engineReplicas = FLAGS_engine_replicas;
        options.unreliableReplicas = FLAGS_unreliable_replicas;
        options.program = FLAGS_program.empty()
            ? (fs::read_symlink("/proc/self/exe").parent_path() / "rattanshunt").string()
            : FLAGS_program;
        fs::path root
            = FLAGS_directory.empty() ? fs::temp_directory_path() / "rattanshunt-soak" : fs::path(FLAGS_directory);
        options.directory = (root / fmt::format("{}-{}", getpid(), options.seed)).string();
        lab::SoakResult result = lab::soakRun(loop, options);
        std::cout << lab::soakText(options, result) << std::flush;
        if (result.violations.empty())
            fs::remove_all(options.directory);
        else
            std::cout << "  logs in " << options.directory << std::endl;
        failed += result.violations.empty() ? 0 : 1;
    }
    std::cout << FLAGS_seeds - failed << " passed, " << failed << " failed\n";
    return failed ? 1 : 0;
}

constexpr const char* usageText
    = "rattanshunt-lab platform | engine | service | load | scenario | verdict | bench "
      "NAME... | explore | golden | soak | fuzz [TARGET...] [flags]; --help lists the flags\n";

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usageText);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string command = argc > 1 ? argv[1] : "";
    s_arguments.assign(argv + std::min(argc, 2), argv + argc);
    std::map<std::string, int (*)(net::Loop&)> commands
        = { { "platform", runPlatform }, { "engine", runEngine }, { "service", runService }, { "load", runLoad },
              { "scenario", runScenarios }, { "verdict", runVerdict }, { "bench", runBench }, { "explore", runExplore },
              { "golden", runGolden }, { "soak", runSoak }, { "fuzz", runFuzz } };
    auto found = commands.find(command);
    if (found == commands.end()) {
        std::cerr << usageText;
        return exitUsage;
    }
    base::logSetup("rattanshunt-lab",
        FLAGS_log == "info"        ? base::LogLevel::Info
            : FLAGS_log == "debug" ? base::LogLevel::Debug
            : FLAGS_log == "error" ? base::LogLevel::Error
                                   : base::LogLevel::Warning);
    net::Loop loop;
    int code = 1;
    loop.run([&] {
        try {
            code = found->second(loop);
        } catch (const std::exception& error) {
            std::cerr << error.what() << "\n";
            code = exitUsage;
        }
    });
    return code;
}

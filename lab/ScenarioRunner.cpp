// Scenario commands that set a fleet up, generate load and inject faults.
#include "ScenarioRunner.h"

namespace rattanshunt::lab {

void ScenarioRunner::run(const ScenarioCommand& command)
{
    m_command = &command;
    addTrace(command.lineText);
    try {
        dispatch(command);
    } catch (const std::exception& error) {
        fail(error.what());
    }
}

// ---- Helpers ---------------------------------------------------------------------------------

void ScenarioRunner::addTrace(const std::string& text)
{
    m_result.trace.push_back(fmt::format("{:7.3f}  {}", base::secondsOf(base::Clock::now() - m_startedAt), text));
}

void ScenarioRunner::fail(const std::string& text)
{
    m_result.failures.push_back(fmt::format("line {}: {}: {}", m_command->line, m_command->lineText, text));
    addTrace("FAILED " + text);
}

std::string ScenarioRunner::option(const std::string& name, const std::string& defaultValue) const
{
    auto found = m_command->options.find(name);
    return found == m_command->options.end() ? defaultValue : found->second;
}

double ScenarioRunner::numberOption(const std::string& name, double defaultValue) const
{
    std::string text = option(name);
    return text.empty() ? defaultValue : std::stod(text);
}

LabFleet& ScenarioRunner::fleet()
{
    if (!m_fleet)
        throw std::runtime_error("start must come before this command");
    return *m_fleet;
}

std::string ScenarioRunner::anyDaemon()
{
    auto names = fleet().runningDaemons();
    std::erase_if(names, [&](const std::string& name) { return m_frozenDaemons.contains(name); });
    if (names.empty())
        throw std::runtime_error("no daemon is running");
    return names.front();
}

std::string ScenarioRunner::joinArguments(size_t firstIndex) const
{
    std::string text;
    for (size_t i = firstIndex; i < m_command->arguments.size(); ++i)
        text += m_command->arguments[i] + " ";
    return text;
}

// ---- Commands --------------------------------------------------------------------------------

void ScenarioRunner::dispatch(const ScenarioCommand& command)
{
    const std::string& name = command.name;
    std::string firstArgument = command.arguments.empty() ? "" : command.arguments[0];
    if (name == "fleet")
        configureFleet();
    else if (name == "store") {
        m_plan.platform.maxLoadStartsPerSecond = numberOption("loads_per_second", 100);
        m_plan.platform.listLag = base::Millis(static_cast<int64_t>(numberOption("list_lag_ms", 100)));
    } else if (name == "engine")
        addEngine(firstArgument);
    else if (name == "service")
        m_plan.servicePools[firstArgument] = option("pool", firstArgument);
    else if (name == "start")
        start();
    else if (name == "apply")
        apply(command.arguments[0], command.arguments[1], joinArguments(2));
    else if (name == "refuse-apply")
        refuseApply();
    else if (name == "key")
        createKey(firstArgument);
    else if (name == "withdraw")
        withdraw(firstArgument);
    else if (name == "load")
        startLoad(firstArgument);
    else if (name == "storm-models")
        applyStormModels(std::stoi(firstArgument));
    else if (name == "steward-engines") {
        for (int i = 1; i <= std::stoi(firstArgument); ++i)
            addEngine(fmt::format("steward-{}", i));
    } else if (name == "storm")
        startStorm(firstArgument);
    else if (name == "join")
        waitForLoad(*m_loads.at(firstArgument));
    else if (name == "repeat")
        repeatCalls(firstArgument);
    else if (name == "wait")
        wait();
    else if (name == "expect")
        expect();
    else if (name == "pause")
        net::sleepFor(base::durationOf(std::stod(firstArgument)));
    else
        dispatchFault(name, firstArgument);
}

void ScenarioRunner::dispatchFault(const std::string& name, const std::string& firstArgument)
{
    if (name == "kill") {
        m_frozenDaemons.erase(firstArgument);
        fleet().kill(firstArgument);
    } else if (name == "freeze") {
        m_frozenDaemons.insert(firstArgument);
        fleet().freeze(firstArgument);
    } else if (name == "thaw") {
        m_frozenDaemons.erase(firstArgument);
        fleet().thaw(firstArgument);
    } else if (name == "stop") {
        if (fleet().stopGracefully(firstArgument) != 0)
            fail("the daemon did not stop with exit code 0");
    } else if (name == "restart")
        fleet().startDaemon(firstArgument);
    else if (name == "gone")
        fleet().listAsGone(firstArgument);
    else if (name == "kv")
        fleet().setPlatformFaults({ { "kv", firstArgument }, { "delay_ms", static_cast<int>(numberOption("ms", 0)) },
            { "lose_every", static_cast<int>(numberOption("lose_every", 0)) } });
    else if (name == "store-fault")
        fleet().setPlatformFaults({ { "store_factor", numberOption("factor", 1) } });
    else if (name == "engine-fault")
        fleet().setEngineFaults(firstArgument, faultFromOptions());
    else if (name == "service-fault")
        fleet().setServiceFaults(firstArgument, faultFromOptions());
    else if (name == "evict")
        fleet().evict(firstArgument);
    else if (name == "reboot")
        fleet().restartEngine(firstArgument);
    else if (name == "leaving")
        fleet().setEngineState(firstArgument, coordination::InstanceState::Leaving);
}

json ScenarioRunner::faultFromOptions() const
{
    json fault = json::object();
    for (auto& [key, value] : m_command->options)
        fault[key] = value == "on" ? json(true) : value == "off" ? json(false) : json(std::stoi(value));
    return fault;
}

void ScenarioRunner::configureFleet()
{
    m_plan.daemonCount = static_cast<size_t>(numberOption("daemons", 1));
    m_plan.dataCenterCount = static_cast<size_t>(numberOption("centers", 1));
    m_plan.settings.budgetSlots = static_cast<size_t>(numberOption("budget_slots", 4));
    m_plan.settings.shareTerm = base::Seconds(static_cast<int64_t>(numberOption("share_term_seconds", 1800)));
    m_plan.settings.retryBudgetPercent = static_cast<size_t>(numberOption("retry_budget_percent", 10));
    m_plan.settings.freshnessLimit = base::Millis(static_cast<int64_t>(numberOption("freshness_limit_ms", 2500)));
}

void ScenarioRunner::addEngine(const std::string& id)
{
    EnginePlan engine;
    engine.options.id = id;
    engine.pool = option("pool", "drafter");
    engine.dataCenter = option("center", "dc-1");
    engine.options.memoryBytes = static_cast<int64_t>(numberOption("memory", 100));
    engine.options.batchSlots = static_cast<int>(numberOption("slots", 8));
    engine.options.timePerToken = base::Micros(static_cast<int64_t>(numberOption("token_us", 1000)));
    engine.options.loadTime = base::Millis(static_cast<int64_t>(numberOption("load_ms", 200)));
    engine.options.checksFencing = option("fencing", "on") == "on";
    m_plan.engines.push_back(std::move(engine));
}

void ScenarioRunner::start()
{
    m_fleet = std::make_unique<LabFleet>(m_loop, m_plan);
    if (!m_fleet->start())
        fail("the fleet did not become ready");
}

void ScenarioRunner::apply(const std::string& kind, const std::string& name, const std::string& text)
{
    json spec = json::parse(text, nullptr, false);
    if (spec.is_discarded())
        throw std::runtime_error("the resource is not valid JSON");
    net::HttpResponse response = fleet().adminCall(anyDaemon(), "PUT", "/api/v1/" + kind + "/" + name, spec);
    if (response.status != 200)
        fail("refused: " + response.body);
}

void ScenarioRunner::refuseApply()
{
    const auto& arguments = m_command->arguments;
    net::HttpResponse response = fleet().adminCall(anyDaemon(), "PUT", "/api/v1/" + arguments[1] + "/" + arguments[2],
        json::parse(joinArguments(3), nullptr, false));
    json body = json::parse(response.body, nullptr, false);
    bool isNamed = body.is_object() && body.contains("error") && body["error"].value("field", "") == arguments[0];
    if (response.status / 100 != 4 || !isNamed)
        fail("expected a refusal that names " + arguments[0] + ", got " + response.body);
}

void ScenarioRunner::createKey(const std::string& name)
{
    m_apiKeys[name] = fleet().createKey(anyDaemon(), name, option("account"));
    if (m_apiKeys[name].empty())
        fail("the key was not created");
}

void ScenarioRunner::withdraw(const std::string& name)
{
    net::HttpResponse response = fleet().adminCall(anyDaemon(), "POST", "/api/v1/key/" + name + "/withdraw");
    if (response.status != 200 && response.status != 202)
        fail("refused: " + response.body);
}

LoadKind ScenarioRunner::kindFromOptions(const std::string& name)
{
    LoadKind kind;
    kind.name = name;
    if (!option("key").empty())
        kind.apiKey = m_apiKeys.at(option("key"));
    kind.model = option("model");
    kind.path = option("path");
    kind.isStream = option("stream") == "on";
    kind.hasIdempotencyKey = option("idempotent") == "on";
    kind.maxTokens = static_cast<size_t>(numberOption("tokens", 16));
    kind.promptBytes = static_cast<size_t>(numberOption("prompt_bytes", 64));
    kind.priorityClass = option("value");
    kind.deadline = base::Millis(static_cast<int64_t>(numberOption("deadline_ms", 15000)));
    return kind;
}

std::vector<base::Address> ScenarioRunner::targets()
{
    std::vector<base::Address> list;
    auto names = base::splitText(option("on"), ',');
    for (const std::string& name : names.empty() ? fleet().runningDaemons() : names)
        list.push_back(fleet().addresses(name).client);
    return list;
}

void ScenarioRunner::runInBackground(const std::string& name, const std::shared_ptr<RunningLoad>& load)
{
    m_loads[name] = load;
    m_loop.spawn([this, load] {
        load->result = loadRun(m_loop, load->plan);
        load->isDone = true;
    });
}

void ScenarioRunner::startLoad(const std::string& name)
{
    auto load = std::make_shared<RunningLoad>();
    load->plan.targets = targets();
    load->plan.kinds = { kindFromOptions(name) };
    load->plan.rate = numberOption("rate", 50);
    load->plan.maxRequests = static_cast<size_t>(numberOption("count", 0));
    load->plan.duration = base::durationOf(numberOption("seconds", load->plan.maxRequests ? 60 : 2));
    load->plan.seed = m_loads.size() + 1;
    runInBackground(name, load);
}

void ScenarioRunner::applyStormModels(int count)
{
    int drafters = static_cast<int>(numberOption("drafters", count));
    for (int i = 1; i <= count; ++i) {
        bool isDrafter = i <= drafters;
        apply("model", fmt::format("model-{}", i),
            fmt::format(R"({{"pool":"{}","bytes":30,"value":"{}"}})", isDrafter ? "drafter" : "dispatch",
                isDrafter ? "high" : "normal"));
    }
}

void ScenarioRunner::startStorm(const std::string& name)
{
    auto load = std::make_shared<RunningLoad>();
    load->plan.targets = targets();
    int from = static_cast<int>(numberOption("from", 1));
    for (int i = from; i < from + static_cast<int>(numberOption("models", 10)); ++i) {
        LoadKind kind = kindFromOptions(name);
        kind.model = fmt::format("model-{}", i);
        load->plan.kinds.push_back(std::move(kind));
    }
    load->plan.rate = numberOption("rate", 200);
    load->plan.maxRequests = static_cast<size_t>(numberOption("count", 50));
    load->plan.duration = base::Seconds(60);
    load->plan.seed = m_loads.size() + 1;
    runInBackground(name, load);
}

void ScenarioRunner::waitForLoad(RunningLoad& load)
{
    while (!load.isDone)
        net::sleepFor(base::Millis(10));
}

const LoadTally& ScenarioRunner::waitForTally(const std::string& name)
{
    auto load = m_loads.find(name);
    if (load == m_loads.end())
        throw std::runtime_error("unknown load " + name);
    waitForLoad(*load->second);
    return load->second->result[name];
}

void ScenarioRunner::repeatCalls(const std::string& name)
{
    auto calls = waitForTally(name).sentCalls;
    auto addresses = targets();
    for (size_t i = 0; i < calls.size(); ++i) {
        net::HttpRequest request { "POST", option("path"),
            { { "Idempotency-Key", calls[i] }, { "Authorization", "Bearer " + m_apiKeys.at(option("key")) } },
            json({ { "call", calls[i] } }).dump() };
        auto connection = net::HttpConnection::create(m_loop, addresses[i % addresses.size()]);
        net::HttpResult result = net::httpCall(*connection, request, base::Clock::now() + base::Seconds(10));
        ++m_repeatCounts[result.error == net::HttpCallError::None ? std::to_string(result.response.status) : "none"];
    }
}

} // namespace rattanshunt::lab

#include "Scenario.h"

#include <set>
#include <sstream>

#include "LabFleet.h"

namespace rattanshunt::lab {

using nlohmann::json;

// ---- Parsing -----------------------------------------------------------------------------------

namespace {

    struct Word {
        const char* name;
        size_t least; // words after the name
        size_t most;
        const char* usage;
    };

    const std::vector<Word> vocabulary = {
        { "fleet", 0, 0, "fleet daemons=N centers=N [FLAG=VALUE ...]" },
        { "store", 0, 0, "store loads_per_second=N list_lag_ms=N" },
        { "engine", 1, 1, "engine NAME [pool= center= memory= slots= token_us= load_ms= fencing=on|off]" },
        { "service", 1, 1, "service NAME pool=POOL" },
        { "start", 0, 0, "start" },
        { "apply", 3, 1000, "apply KIND NAME JSON" },
        { "refuse-apply", 4, 1000, "refuse-apply FIELD KIND NAME JSON" },
        { "key", 1, 1, "key NAME account=ACCOUNT" },
        { "withdraw", 1, 1, "withdraw KEY" },
        { "load", 1, 1,
            "load NAME key=KEY (model=M | path=P) [rate= seconds= count= tokens= stream=on idempotent=on value= "
            "deadline_ms= on=d1,d2]" },
        { "storm-models", 1, 1,
            "storm-models N [drafters=N]: models model-1 to model-N, the first in pool drafter, the rest in dispatch" },
        { "steward-engines", 1, 1, "steward-engines N [as for engine]: engines steward-1 to steward-N" },
        { "storm", 1, 1,
            "storm NAME key=KEY models=N from=I pool=POOL count=N tokens=N [on=]: a load over many models at once" },
        { "join", 1, 1, "join LOAD" },
        { "repeat", 1, 1,
            "repeat LOAD key=KEY path=P: sends each of the load's calls once more with its idempotency key" },
        { "kill", 1, 1, "kill DAEMON" },
        { "freeze", 1, 1, "freeze DAEMON" },
        { "thaw", 1, 1, "thaw DAEMON" },
        { "stop", 1, 1, "stop DAEMON: gracefully" },
        { "restart", 1, 1, "restart DAEMON" },
        { "gone", 1, 1, "gone DAEMON: the platform lists its instance as gone" },
        { "kv", 1, 1, "kv ok|down|slow [ms=N lose_every=N]" },
        { "engine-fault", 1, 1, "engine-fault ENGINE [silent_after= cut_after= delay_orders_ms= foreign_answers=on]" },
        { "service-fault", 1, 1, "service-fault SERVICE [cut_answers= delay_ms=]" },
        { "store-fault", 0, 0, "store-fault factor=N" },
        { "evict", 1, 1, "evict ENGINE" },
        { "reboot", 1, 1, "reboot ENGINE" },
        { "leaving", 1, 1, "leaving ENGINE" },
        { "pause", 1, 1, "pause SECONDS" },
        { "wait", 1, 3,
            "wait ready D | revision | model M N | refused KEY REASON | served KEY | owner D | slots-held | idle M "
            "[within=SECONDS]" },
        { "expect", 1, 3,
            "expect LOAD [whole=N|all|P% wrong=N silent=N unknown=N refused-REASON=N] | runs-once LOAD | no-overcommit "
            "| no-key-seen | replicas M N | new-work ENGINE N" },
    };

    const Word* findWord(const std::string& name)
    {
        for (const Word& word : vocabulary) {
            if (name == word.name)
                return &word;
        }
        return nullptr;
    }

    bool isOption(const std::string& word)
    {
        size_t equals = word.find('=');
        return equals != std::string::npos && equals > 0 && word[0] != '{' && word[0] != '"';
    }

    ScenarioCommand parseLine(size_t number, const std::string& line)
    {
        ScenarioCommand command;
        command.line = number;
        command.text = line;
        std::istringstream words(line);
        words >> command.name;
        std::string word;
        bool isJson = false;
        while (words >> word) {
            isJson = isJson || word[0] == '{';
            size_t equals = word.find('=');
            if (!isJson && isOption(word))
                command.options[word.substr(0, equals)] = word.substr(equals + 1);
            else
                command.words.push_back(word);
        }
        return command;
    }

} // namespace

ScenarioScript scenarioParse(const std::string& text)
{
    ScenarioScript script;
    std::istringstream lines(text);
    std::string line;
    size_t number = 0;
    while (std::getline(lines, line)) {
        ++number;
        line = line.substr(0, line.find('#'));
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        ScenarioCommand command = parseLine(number, line);
        const Word* word = findWord(command.name);
        if (!word) {
            script.faults.push_back(fmt::format("line {}: \"{}\" is not a command", number, command.name));
            continue;
        }
        if (command.words.size() < word->least || command.words.size() > word->most) {
            script.faults.push_back(fmt::format("line {}: expected {}", number, word->usage));
            continue;
        }
        script.commands.push_back(std::move(command));
    }
    return script;
}

// ---- Running -----------------------------------------------------------------------------------

namespace {

    constexpr double defaultWait = 10; // seconds

    struct RunningLoad {
        LoadPlan plan;
        LoadResult result;
        bool isDone = false;
    };

    class Runner {
    public:
        Runner(net::Loop& loop, ScenarioResult& result)
            : m_loop(loop)
            , m_result(result)
            , m_start(base::Clock::now())
        {
            m_plan.settings = labSettings();
        }

        ~Runner()
        {
            for (auto& [name, load] : m_loads)
                waitForLoad(*load);
        }

        void run(const ScenarioCommand& command)
        {
            m_command = &command;
            note(command.text);
            try {
                dispatch(command);
            } catch (const std::exception& error) {
                fail(error.what());
            }
        }

    private:
        // ---- Helpers -----------------------------------------------------------------------------

        void note(const std::string& text)
        {
            m_result.trace.push_back(fmt::format("{:7.3f}  {}", base::secondsOf(base::Clock::now() - m_start), text));
        }

        void fail(const std::string& text)
        {
            m_result.failures.push_back(fmt::format("line {}: {}: {}", m_command->line, m_command->text, text));
            note("FAILED " + text);
        }

        std::string option(const std::string& name, const std::string& otherwise = "") const
        {
            auto found = m_command->options.find(name);
            return found == m_command->options.end() ? otherwise : found->second;
        }

        double number(const std::string& name, double otherwise) const
        {
            std::string text = option(name);
            return text.empty() ? otherwise : std::stod(text);
        }

        LabFleet& fleet()
        {
            if (!m_fleet)
                throw std::runtime_error("start must come before this command");
            return *m_fleet;
        }

        // A daemon that runs; operators' commands go there.
        std::string anyDaemon()
        {
            auto names = fleet().runningDaemons();
            std::erase_if(names, [&](const std::string& name) { return m_frozen.contains(name); });
            if (names.empty())
                throw std::runtime_error("no daemon runs");
            return names.front();
        }

        std::string jsonText(size_t firstWord) const
        {
            std::string text;
            for (size_t i = firstWord; i < m_command->words.size(); ++i)
                text += m_command->words[i] + " ";
            return text;
        }

        // ---- Commands ----------------------------------------------------------------------------

        void dispatch(const ScenarioCommand& command)
        {
            const std::string& name = command.name;
            std::string first = command.words.empty() ? "" : command.words[0];
            if (name == "fleet")
                setFleet();
            else if (name == "store") {
                m_plan.platform.storeLoadsPerSecond = number("loads_per_second", 100);
                m_plan.platform.listLag = base::Millis(static_cast<int64_t>(number("list_lag_ms", 100)));
            } else if (name == "engine")
                addEngine(first);
            else if (name == "service")
                m_plan.services[first] = option("pool", first);
            else if (name == "start")
                start();
            else if (name == "apply")
                apply(command.words[0], command.words[1], jsonText(2));
            else if (name == "refuse-apply")
                refuseApply();
            else if (name == "key")
                createKey(first);
            else if (name == "withdraw")
                withdraw(first);
            else if (name == "load")
                startLoad(first);
            else if (name == "storm-models")
                applyStormModels(std::stoi(first));
            else if (name == "steward-engines") {
                for (int i = 1; i <= std::stoi(first); ++i)
                    addEngine(fmt::format("steward-{}", i));
            } else if (name == "storm")
                startStorm(first);
            else if (name == "join")
                waitForLoad(*m_loads.at(first));
            else if (name == "repeat")
                repeatCalls(first);
            else if (name == "wait")
                wait();
            else if (name == "expect")
                expect();
            else if (name == "pause")
                net::sleepFor(base::durationOf(std::stod(first)));
            else
                breakThings(name, first);
        }

        void breakThings(const std::string& name, const std::string& first)
        {
            if (name == "kill") {
                m_frozen.erase(first);
                fleet().kill(first);
            } else if (name == "freeze") {
                m_frozen.insert(first);
                fleet().freeze(first);
            } else if (name == "thaw") {
                m_frozen.erase(first);
                fleet().thaw(first);
            } else if (name == "stop") {
                if (fleet().stopGracefully(first) != 0)
                    fail("the daemon did not stop with exit code 0");
            } else if (name == "restart")
                fleet().startDaemon(first);
            else if (name == "gone")
                fleet().declareGone(first);
            else if (name == "kv")
                fleet().platformFault({ { "kv", first }, { "delay_ms", static_cast<int>(number("ms", 0)) },
                    { "lose_every", static_cast<int>(number("lose_every", 0)) } });
            else if (name == "store-fault")
                fleet().platformFault({ { "store_factor", number("factor", 1) } });
            else if (name == "engine-fault")
                fleet().engineFault(first, faultJson());
            else if (name == "service-fault")
                fleet().serviceFault(first, faultJson());
            else if (name == "evict")
                fleet().evict(first);
            else if (name == "reboot")
                fleet().restartEngine(first);
            else if (name == "leaving")
                fleet().setEngineState(first, platform::InstanceState::Leaving);
        }

        json faultJson() const
        {
            json fault = json::object();
            for (auto& [key, value] : m_command->options)
                fault[key] = value == "on" ? json(true) : value == "off" ? json(false) : json(std::stoi(value));
            return fault;
        }

        void setFleet()
        {
            m_plan.daemons = static_cast<size_t>(number("daemons", 1));
            m_plan.centers = static_cast<size_t>(number("centers", 1));
            m_plan.settings.budgetSlots = static_cast<size_t>(number("budget_slots", 4));
            m_plan.settings.shareTerm = base::Seconds(static_cast<int64_t>(number("share_term_seconds", 1800)));
            m_plan.settings.retryBudgetPercent = static_cast<size_t>(number("retry_budget_percent", 10));
            m_plan.settings.freshnessLimit = base::Millis(static_cast<int64_t>(number("freshness_limit_ms", 2500)));
        }

        void addEngine(const std::string& id)
        {
            EnginePlan engine;
            engine.options.id = id;
            engine.pool = option("pool", "drafter");
            engine.center = option("center", "dc-1");
            engine.options.memoryBytes = static_cast<int64_t>(number("memory", 100));
            engine.options.slots = static_cast<int>(number("slots", 8));
            engine.options.tokenTime = base::Micros(static_cast<int64_t>(number("token_us", 1000)));
            engine.options.loadTime = base::Millis(static_cast<int64_t>(number("load_ms", 200)));
            engine.options.checksFencing = option("fencing", "on") == "on";
            m_plan.engines.push_back(std::move(engine));
        }

        void start()
        {
            m_fleet = std::make_unique<LabFleet>(m_loop, m_plan);
            if (!m_fleet->start())
                fail("the fleet did not become ready");
        }

        void apply(const std::string& kind, const std::string& name, const std::string& text)
        {
            json spec = json::parse(text, nullptr, false);
            if (spec.is_discarded())
                throw std::runtime_error("the resource is not JSON");
            net::HttpResponse answer = fleet().admin(anyDaemon(), "PUT", "/api/v1/" + kind + "/" + name, spec);
            if (answer.status != 200)
                fail("refused: " + answer.body);
        }

        void refuseApply()
        {
            const auto& words = m_command->words;
            net::HttpResponse answer = fleet().admin(
                anyDaemon(), "PUT", "/api/v1/" + words[1] + "/" + words[2], json::parse(jsonText(3), nullptr, false));
            json body = json::parse(answer.body, nullptr, false);
            bool isNamed = body.is_object() && body.contains("error") && body["error"].value("field", "") == words[0];
            if (answer.status / 100 != 4 || !isNamed)
                fail("expected a refusal that names " + words[0] + ", got " + answer.body);
        }

        void createKey(const std::string& name)
        {
            m_secrets[name] = fleet().createKey(anyDaemon(), name, option("account"));
            if (m_secrets[name].empty())
                fail("the key was not created");
        }

        void withdraw(const std::string& name)
        {
            net::HttpResponse answer = fleet().admin(anyDaemon(), "POST", "/api/v1/key/" + name + "/withdraw");
            if (answer.status != 200 && answer.status != 202)
                fail("refused: " + answer.body);
        }

        LoadKind kindFromOptions(const std::string& name)
        {
            LoadKind kind;
            kind.name = name;
            if (!option("key").empty())
                kind.secret = m_secrets.at(option("key"));
            kind.model = option("model");
            kind.path = option("path");
            kind.isStream = option("stream") == "on";
            kind.hasIdempotencyKey = option("idempotent") == "on";
            kind.maxTokens = static_cast<size_t>(number("tokens", 16));
            kind.promptBytes = static_cast<size_t>(number("prompt_bytes", 64));
            kind.value = option("value");
            kind.deadline = base::Millis(static_cast<int64_t>(number("deadline_ms", 15000)));
            return kind;
        }

        std::vector<base::Address> targets()
        {
            std::vector<base::Address> list;
            auto names = base::splitText(option("on"), ',');
            for (const std::string& name : names.empty() ? fleet().runningDaemons() : names)
                list.push_back(fleet().addresses(name).client);
            return list;
        }

        void runInBackground(const std::string& name, const std::shared_ptr<RunningLoad>& load)
        {
            m_loads[name] = load;
            m_loop.spawn([this, load] {
                load->result = loadRun(m_loop, load->plan);
                load->isDone = true;
            });
        }

        void startLoad(const std::string& name)
        {
            auto load = std::make_shared<RunningLoad>();
            load->plan.targets = targets();
            load->plan.kinds = { kindFromOptions(name) };
            load->plan.rate = number("rate", 50);
            load->plan.limit = static_cast<size_t>(number("count", 0));
            load->plan.duration = base::durationOf(number("seconds", load->plan.limit ? 60 : 2));
            load->plan.seed = m_loads.size() + 1;
            runInBackground(name, load);
        }

        // The first `drafters` models are bulletins' in pool drafter, the others in pool dispatch.
        void applyStormModels(int count)
        {
            int drafters = static_cast<int>(number("drafters", count));
            for (int i = 1; i <= count; ++i) {
                bool isDrafter = i <= drafters;
                apply("model", fmt::format("model-{}", i),
                    fmt::format(R"({{"pool":"{}","bytes":30,"value":"{}"}})", isDrafter ? "drafter" : "dispatch",
                        isDrafter ? "high" : "normal"));
            }
        }

        // One load with a kind for each model; the kinds share a name, so that one tally counts them all.
        void startStorm(const std::string& name)
        {
            auto load = std::make_shared<RunningLoad>();
            load->plan.targets = targets();
            int from = static_cast<int>(number("from", 1));
            for (int i = from; i < from + static_cast<int>(number("models", 10)); ++i) {
                LoadKind kind = kindFromOptions(name);
                kind.model = fmt::format("model-{}", i);
                load->plan.kinds.push_back(std::move(kind));
            }
            load->plan.rate = number("rate", 200);
            load->plan.limit = static_cast<size_t>(number("count", 50));
            load->plan.duration = base::Seconds(60);
            load->plan.seed = m_loads.size() + 1;
            runInBackground(name, load);
        }

        static void waitForLoad(RunningLoad& load)
        {
            while (!load.isDone)
                net::sleepFor(base::Millis(10));
        }

        const LoadTally& tallyOf(const std::string& name)
        {
            auto load = m_loads.find(name);
            if (load == m_loads.end())
                throw std::runtime_error("there is no load " + name);
            waitForLoad(*load->second);
            return load->second->result[name];
        }

        // Sends every call of a load again, with the same idempotency keys; counts stored answers and truthful
        // refusals.
        void repeatCalls(const std::string& name)
        {
            auto calls = tallyOf(name).calls;
            auto addresses = targets();
            for (size_t i = 0; i < calls.size(); ++i) {
                net::HttpRequest request { "POST", option("path"),
                    { { "Idempotency-Key", calls[i] }, { "Authorization", "Bearer " + m_secrets.at(option("key")) } },
                    json({ { "call", calls[i] } }).dump() };
                auto connection = net::HttpConnection::create(m_loop, addresses[i % addresses.size()]);
                net::HttpResult answer = net::httpCall(*connection, request, base::Clock::now() + base::Seconds(10));
                ++m_repeats[answer.error == net::HttpCallError::None ? std::to_string(answer.response.status) : "none"];
            }
        }

        // ---- Waiting and expecting ---------------------------------------------------------------

        void waitFor(const std::string& what, const std::function<bool()>& condition)
        {
            if (!fleet().waitUntil(condition, base::durationOf(number("within", defaultWait))))
                fail("did not happen in time: " + what);
        }

        json apiGet(const std::string& target)
        {
            json body = json::parse(fleet().admin(anyDaemon(), "GET", target).body, nullptr, false);
            return body.is_object() ? body : json::object();
        }

        std::string reasonFor(const std::string& key, const std::string& daemon)
        {
            net::HttpRequest request { "GET", "/v1/models", { { "Authorization", "Bearer " + m_secrets.at(key) } },
                "" };
            auto connection = net::HttpConnection::create(m_loop, fleet().addresses(daemon).client);
            net::HttpResult answer = net::httpCall(*connection, request, base::Clock::now() + base::Seconds(2));
            if (answer.error != net::HttpCallError::None)
                return "unreachable";
            return answer.response.status == 200 ? "none"
                                                 : std::string(net::httpHeader(answer.response.headers, "X-Reason"));
        }

        bool allAnswer(const std::string& key, const std::string& reason)
        {
            auto names = option("on").empty() ? fleet().runningDaemons() : base::splitText(option("on"), ',');
            return std::all_of(names.begin(), names.end(),
                [&](const std::string& name) { return m_frozen.contains(name) || reasonFor(key, name) == reason; });
        }

        size_t replicasOf(const std::string& model)
        {
            size_t count = 0;
            for (const std::string& id : fleet().engineIds()) {
                json state = fleet().engineState(id);
                for (const json& name : state.value("models", json::array()))
                    count += name == model;
            }
            return count;
        }

        void wait()
        {
            const auto& words = m_command->words;
            if (words[0] == "ready" && words.size() == 2)
                waitFor("ready", [&] { return fleet().waitReady(words[1], base::Duration::zero()); });
            else if (words[0] == "revision")
                waitFor("revision in force everywhere", [&] {
                    json status = apiGet("/api/v1/status");
                    return status.value("in_force_on", 0) == status.value("instances", -1);
                });
            else if (words[0] == "model" && words.size() == 3)
                waitFor("replicas", [&] { return replicasOf(words[1]) == std::stoul(words[2]); });
            else if (words[0] == "refused" && words.size() == 3)
                waitFor("refused with " + words[2], [&] { return allAnswer(words[1], words[2]); });
            else if (words[0] == "served" && words.size() == 2)
                waitFor("served", [&] { return allAnswer(words[1], "none"); });
            else if (words[0] == "owner" && words.size() == 2)
                waitFor("placement owner",
                    [&] { return apiGet("/api/v1/status").value("placement_owner", "") == words[1]; });
            else if (words[0] == "slots-held")
                waitFor("budget slots held by running daemons", [&] { return slotsAreHeld(); });
            else
                fail("the condition is not known");
        }

        bool slotsAreHeld()
        {
            auto running = fleet().runningDaemons();
            json state = apiGet("/api/v1/state");
            for (const json& slot : state.value("slots", json::array())) {
                std::string holder = slot.value("holder", "");
                if (std::find(running.begin(), running.end(), holder) == running.end())
                    return false;
            }
            return state.contains("slots");
        }

        void expect()
        {
            const auto& words = m_command->words;
            if (words[0] == "runs-once" && words.size() == 2)
                expectRunsOnce(words[1]);
            else if (words[0] == "no-overcommit")
                expectNoOvercommit();
            else if (words[0] == "no-key-seen") {
                if (fleet().endpointsSawKey())
                    fail("an endpoint has seen a key");
            } else if (words[0] == "replicas" && words.size() == 3) {
                if (size_t count = replicasOf(words[1]); count > std::stoul(words[2]))
                    fail(fmt::format("{} replicas are loaded", count));
            } else if (words[0] == "repeats" && words.size() == 1)
                expectRepeats();
            else
                expectLoad(words[0]);
        }

        void expectRepeats()
        {
            for (auto& [status, wanted] : m_command->options) {
                if (m_repeats[status] != std::stoi(wanted))
                    fail(fmt::format("{} repeats were answered with {}", m_repeats[status], status));
            }
        }

        void expectNoOvercommit()
        {
            for (const std::string& id : fleet().engineIds()) {
                json state = fleet().engineState(id);
                if (state.value("overcommits", 0))
                    fail(id + " had more loaded than its memory");
            }
        }

        void expectRunsOnce(const std::string& name)
        {
            const LoadTally& tally = tallyOf(name);
            auto runs = fleet().serviceRuns();
            for (const std::string& call : tally.calls) {
                if (runs[call] > 1)
                    fail(fmt::format("{} was run {} times", call, runs[call]));
            }
            for (const std::string& call : tally.wholeCalls) {
                if (runs[call] != 1)
                    fail(fmt::format("{} was answered whole but run {} times", call, runs[call]));
            }
            for (const std::string& call : tally.notRunCalls) {
                if (runs[call])
                    fail(fmt::format("{} was refused as not run but was run", call));
            }
        }

        void checkCount(const std::string& what, int64_t actual, const std::string& wanted, int64_t all)
        {
            if (wanted == "all" ? actual == all
                    : wanted.ends_with('%')
                    ? static_cast<double>(actual) * 100 >= std::stod(wanted) * static_cast<double>(all)
                    : wanted.starts_with("<") ? actual <= std::stoll(wanted.substr(1))
                    : wanted.starts_with(">") ? actual >= std::stoll(wanted.substr(1))
                                              : actual == std::stoll(wanted))
                return;
            fail(fmt::format("expected {}={}, got {} of {}; {}", what, wanted, actual, all,
                loadText(m_loads.at(m_command->words[0])->result, base::Seconds(1))));
        }

        void expectLoad(const std::string& name)
        {
            const LoadTally& tally = tallyOf(name);
            note(loadText(m_loads.at(name)->result, m_loads.at(name)->plan.duration));
            for (auto& [what, wanted] : m_command->options) {
                if (what == "whole")
                    checkCount(what, tally.whole, wanted,
                        tally.sent - (option("unreachable").empty() ? 0 : tally.unreachable));
                else if (what == "wrong")
                    checkCount(what, tally.wrong, wanted, tally.sent);
                else if (what == "silent")
                    checkCount(what, tally.silent, wanted, tally.sent);
                else if (what == "unknown")
                    checkCount(what, tally.unknown, wanted, tally.sent);
                else if (what == "unreachable")
                    checkCount(what, tally.unreachable, wanted, tally.sent);
                else if (what.starts_with("refused-")) {
                    auto found = tally.refused.find(what.substr(8));
                    checkCount(what, found == tally.refused.end() ? 0 : found->second, wanted, tally.sent);
                } else
                    fail("\"" + what + "\" is not known");
            }
        }

        net::Loop& m_loop;
        ScenarioResult& m_result;
        base::TimePoint m_start;
        const ScenarioCommand* m_command = nullptr;
        FleetPlan m_plan;
        std::unique_ptr<LabFleet> m_fleet;
        std::map<std::string, std::string> m_secrets;
        std::map<std::string, std::shared_ptr<RunningLoad>> m_loads;
        std::map<std::string, int> m_repeats;
        std::set<std::string> m_frozen;
    };

} // namespace

ScenarioResult scenarioRun(net::Loop& loop, const ScenarioScript& script)
{
    ScenarioResult result;
    result.failures = script.faults;
    if (script.faults.empty()) {
        Runner runner(loop, result);
        for (const ScenarioCommand& command : script.commands) {
            runner.run(command);
            // What follows a failed step would only repeat it.
            if (!result.failures.empty())
                break;
        }
    }
    result.isPassed = result.failures.empty();
    return result;
}

} // namespace rattanshunt::lab

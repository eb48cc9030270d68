#include "ScenarioRunner.h"

namespace rattanshunt::lab {

using nlohmann::json;

// ---- Parsing -----------------------------------------------------------------------------------

namespace {

    struct CommandSyntax {
        const char* name;
        size_t minArguments; // after the name
        size_t maxArguments;
        const char* usage;
    };

    const std::vector<CommandSyntax> commandSyntaxes = {
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

    const CommandSyntax* findCommandSyntax(const std::string& name)
    {
        for (const CommandSyntax& syntax : commandSyntaxes) {
            if (name == syntax.name)
                return &syntax;
        }
        return nullptr;
    }

    bool isOption(const std::string& word)
    {
        size_t equals = word.find('=');
        return equals != std::string::npos && equals > 0 && word[0] != '{' && word[0] != '"';
    }

    ScenarioCommand parseLine(size_t lineNumber, const std::string& line)
    {
        ScenarioCommand command;
        command.line = lineNumber;
        command.lineText = line;
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
                command.arguments.push_back(word);
        }
        return command;
    }

} // namespace

ScenarioScript scenarioParse(const std::string& text)
{
    ScenarioScript script;
    std::istringstream lines(text);
    std::string line;
    size_t lineNumber = 0;
    while (std::getline(lines, line)) {
        ++lineNumber;
        line = line.substr(0, line.find('#'));
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        ScenarioCommand command = parseLine(lineNumber, line);
        const CommandSyntax* syntax = findCommandSyntax(command.name);
        if (!syntax) {
            script.errors.push_back(fmt::format("line {}: \"{}\" is not a command", lineNumber, command.name));
            continue;
        }
        if (command.arguments.size() < syntax->minArguments || command.arguments.size() > syntax->maxArguments) {
            script.errors.push_back(fmt::format("line {}: expected {}", lineNumber, syntax->usage));
            continue;
        }
        script.commands.push_back(std::move(command));
    }
    return script;
}

ScenarioResult scenarioRun(net::Loop& loop, const ScenarioScript& script)
{
    ScenarioResult result;
    result.failures = script.errors;
    if (script.errors.empty()) {
        ScenarioRunner runner(loop, result);
        for (const ScenarioCommand& command : script.commands) {
            runner.run(command);
            // Later commands depend on earlier ones and would only report the same failure again.
            if (!result.failures.empty())
                break;
        }
    }
    result.isPassed = result.failures.empty();
    return result;
}

} // namespace rattanshunt::lab

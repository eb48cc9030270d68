#include "cli/AdminClient.h"
#include "base/Json.h"
#include "gateway/ExplainWhere.h"
#include "reports/RequestTimeline.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "net/Http.h"
#include "net/Loop.h"

DEFINE_string(admin, "127.0.0.1:8082", "IP:PORT of a daemon's admin address, for operators' commands");
DEFINE_string(token, "", "operators' token; better given as RATTANSHUNT_TOKEN");
DEFINE_string(f, "", "file with a JSON resource, or a list of them, for apply; - for standard input");
DEFINE_bool(dry_run, false, "only check, for apply and delete");
DEFINE_int64(
    resource_version, -1, "expected current version of the resource, for apply and delete; 0: it must not exist");
DEFINE_string(format, "text", "of the report: text, json or html");
DEFINE_bool(json, false, "print JSON, for explain where");
DEFINE_string(account, "", "client account of a new key");

namespace rattanshunt::cli {

using nlohmann::json;

namespace {

    constexpr base::Seconds commandTimeout { 30 };
    constexpr int exitDone = 0;
    constexpr int exitRefused = 1;
    constexpr int exitUsage = 2;

    // From --token or, without it, from RATTANSHUNT_TOKEN.
    std::string operatorToken()
    {
        const char* variable = std::getenv("RATTANSHUNT_TOKEN");
        return !FLAGS_token.empty() || !variable ? FLAGS_token : variable;
    }

    net::HttpRequest makeRequest(const std::string& method, const std::string& target, const std::string& body = {})
    {
        net::HttpRequest request { method, target, { { "Content-Type", "application/json" } }, body };
        if (!operatorToken().empty())
            request.headers.push_back({ "Authorization", "Bearer " + operatorToken() });
        return request;
    }

    // Sends one request, prints the response and returns the exit code.
    int send(net::Loop& loop, const base::Address& address, const net::HttpRequest& request)
    {
        auto connection = net::HttpConnection::create(loop, address);
        net::HttpResult result = net::httpCall(*connection, request, base::Clock::now() + commandTimeout);
        if (result.error != net::HttpCallError::None) {
            std::cerr << fmt::format("{}: {}\n", base::formatAddress(address), net::httpCallErrorName(result.error));
            return exitRefused;
        }
        bool isDone = result.response.status / 100 == 2;
        (isDone ? std::cout : std::cerr) << result.response.body;
        return isDone ? exitDone : exitRefused;
    }

    std::string writeOptionsQuery()
    {
        std::string query;
        if (FLAGS_dry_run)
            query = "?dry_run=1";
        if (FLAGS_resource_version >= 0)
            query += fmt::format("{}resource_version={}", query.empty() ? "?" : "&", FLAGS_resource_version);
        return query;
    }

    std::string readFile(const std::string& name)
    {
        std::stringstream text;
        if (name == "-") {
            text << std::cin.rdbuf();
            return text.str();
        }
        std::ifstream file(name);
        if (!file)
            throw std::runtime_error("cannot read the file " + name);
        text << file.rdbuf();
        return text.str();
    }

    // Applies each resource in turn. Continues after a refusal, so that all errors are reported at once.
    int apply(net::Loop& loop, const base::Address& address)
    {
        json items = base::jsonTryParse(readFile(FLAGS_f));
        if (items.is_object())
            items = json::array({ items });
        if (!items.is_array()) {
            std::cerr << "f: the file must hold a JSON object or a list of them\n";
            return exitUsage;
        }
        int code = exitDone;
        for (size_t i = 0; i < items.size(); ++i) {
            const json& item = items[i];
            bool isComplete = item.is_object() && item.contains("kind") && item.contains("name")
                && item.contains("spec") && item["kind"].is_string() && item["name"].is_string();
            if (!isComplete) {
                std::cerr << fmt::format("item {}: needs kind, name and spec\n", i);
                code = exitRefused;
                continue;
            }
            std::string target = fmt::format("/api/v1/{}/{}{}", item["kind"].get<std::string>(),
                item["name"].get<std::string>(), writeOptionsQuery());
            if (send(loop, address, makeRequest("PUT", target, item["spec"].dump())) != exitDone)
                code = exitRefused;
        }
        return code;
    }

    int watch(net::Loop& loop, const base::Address& address)
    {
        auto connection = net::HttpConnection::create(loop, address);
        auto deadline = [] { return base::Clock::now() + commandTimeout; };
        net::HttpResponse response;
        bool isOpen = connection->connect(deadline()) == net::HttpCallError::None
            && connection->send(makeRequest("GET", "/api/v1/watch"), deadline()) == net::HttpCallError::None
            && connection->readHead(response, deadline()) == net::HttpCallError::None;
        bool isEnd = false;
        while (isOpen && !isEnd) {
            std::string text;
            isOpen = connection->readSome(text, isEnd, deadline()) == net::HttpCallError::None;
            std::cout << text << std::flush;
        }
        return isEnd ? exitDone : exitRefused;
    }

    // Prints a usage error and returns the exit code.
    int usage(const std::string& errorText)
    {
        std::cerr << errorText << "\nSee `rattanshunt help`.\n";
        return exitUsage;
    }

    // Reads log files and prints the timeline of one request.
    int explainRequest(const std::string& id, const std::vector<std::string>& files)
    {
        std::vector<reports::LogRecord> records;
        for (const std::string& name : files) {
            std::ifstream file(name);
            if (!file)
                return usage(fmt::format("the log file \"{}\" cannot be read", name));
            std::string line;
            while (std::getline(file, line))
                records.push_back(reports::logRecordParse(name, line));
        }
        std::string timeline = reports::requestTimeline(id, records);
        if (timeline.empty()) {
            std::cout << "no line in these files names the request " << id << "\n";
            return exitRefused;
        }
        std::cout << timeline;
        return 0;
    }

    // Asks a gateway, at its metrics address, where a request would go.
    int explainWhere(net::Loop& loop, const base::Address& address, const std::vector<std::string>& fields)
    {
        std::string fault;
        auto question = gateway::whereQuestionFromArguments(fields, fault);
        if (!question)
            return usage(fault);
        auto connection = net::HttpConnection::create(loop, address);
        net::HttpResult result = net::httpCall(
            *connection, makeRequest("POST", "/explain/where", question->dump()), base::Clock::now() + commandTimeout);
        if (result.error != net::HttpCallError::None || result.response.status != 200) {
            std::cerr << fmt::format("{}: {} {}\n", base::formatAddress(address), net::httpCallErrorName(result.error),
                result.response.body);
            return exitRefused;
        }
        json answer = base::jsonTryParse(result.response.body);
        std::cout << (FLAGS_json ? answer.dump(2) + "\n" : gateway::whereText(answer));
        return exitDone;
    }

    int dispatch(net::Loop& loop, const base::Address& address, const std::vector<std::string>& arguments)
    {
        const std::string& command = arguments[0];
        if (command == "get" && (arguments.size() == 2 || arguments.size() == 3))
            return send(loop, address,
                makeRequest("GET", "/api/v1/" + arguments[1] + (arguments.size() == 3 ? "/" + arguments[2] : "")));
        if (command == "apply" && arguments.size() == 1 && !FLAGS_f.empty())
            return apply(loop, address);
        if (command == "delete" && arguments.size() == 3)
            return send(loop, address,
                makeRequest("DELETE", fmt::format("/api/v1/{}/{}{}", arguments[1], arguments[2], writeOptionsQuery())));
        if (command == "watch" && arguments.size() == 1)
            return watch(loop, address);
        if (command == "key" && arguments.size() == 3 && arguments[1] == "create")
            return send(loop, address,
                makeRequest("POST", fmt::format("/api/v1/key/{}/create", arguments[2]),
                    json({ { "account", FLAGS_account } }).dump()));
        if (command == "key" && arguments.size() == 3 && arguments[1] == "withdraw")
            return send(loop, address, makeRequest("POST", fmt::format("/api/v1/key/{}/withdraw", arguments[2])));
        if ((command == "status" || command == "state") && arguments.size() == 1)
            return send(loop, address, makeRequest("GET", "/api/v1/" + command));
        if (command == "counters" && arguments.size() == 1)
            return send(loop, address, makeRequest("GET", "/counters"));
        if (command == "report" && arguments.size() == 1)
            return send(loop, address, makeRequest("GET", "/api/v1/report?format=" + FLAGS_format));
        if (command == "explain" && arguments.size() >= 4 && arguments[1] == "request")
            return explainRequest(arguments[2], { arguments.begin() + 3, arguments.end() });
        if (command == "explain" && arguments.size() >= 2 && arguments[1] == "where")
            return explainWhere(loop, address, { arguments.begin() + 2, arguments.end() });
        if (command == "explain" && arguments.size() == 3)
            return send(
                loop, address, makeRequest("GET", fmt::format("/api/v1/explain/{}/{}", arguments[1], arguments[2])));
        return usage("unknown command \"" + command + "\" or wrong arguments");
    }

} // namespace

std::string helpText()
{
    return R"(rattanshunt: serves rarely used models

  rattanshunt serve [--check]             run a daemon; --check only checks the settings
  rattanshunt gateway [--check]           run a daemon in front of a platform's replicas
  rattanshunt settings                    table of all settings
  rattanshunt get KIND [NAME]             resources: model, adapter, account, key, route, service
  rattanshunt apply --f FILE              create or change resources; FILE holds {"kind","name","spec"} or a list of them
  rattanshunt delete KIND NAME
  rattanshunt watch                       changes of resources, a line each
  rattanshunt key create NAME --account A prints the secret once
  rattanshunt key withdraw NAME           final; in force within seconds
  rattanshunt status                      on how many instances the configuration is in force
  rattanshunt report [--format F]         service-level burn: text, json or html
  rattanshunt explain KIND NAME           model, account, instance or reason
  rattanshunt explain request ID FILE...  what happened to one request, from the log files of gateways
  rattanshunt explain where FIELD=VALUE...  where a request would go; --admin is a gateway's metrics address. Fields: host,
                                          path, account, model, adapter, id, parts, output_tokens, body_bytes
  rattanshunt state                       the daemon's own state
  rattanshunt counters
  rattanshunt help | version

Operators' commands take --admin IP:PORT, --token, --dry_run and --resource_version N.
Exit codes: 0 done, 1 refused or not reached, 2 wrong usage or settings.
)";
}

int adminClientRun(const std::vector<std::string>& arguments)
{
    auto address = base::parseAddress(FLAGS_admin);
    if (!address)
        return usage(fmt::format("admin: \"{}\" is not IP:PORT", FLAGS_admin));
    net::Loop loop;
    int code = exitRefused;
    std::string errorText;
    loop.run([&] {
        try {
            code = dispatch(loop, *address, arguments);
        } catch (const std::exception& error) {
            errorText = error.what();
        }
    });
    return errorText.empty() ? code : usage(errorText);
}

} // namespace rattanshunt::cli

// Scenario commands that wait for a state or check an outcome.
#include "ScenarioRunner.h"

namespace rattanshunt::lab {

namespace {
    constexpr double defaultWaitSeconds = 10;
}

// ---- Waiting and expecting -------------------------------------------------------------------

void ScenarioRunner::waitFor(const std::string& what, const std::function<bool()>& condition)
{
    if (!fleet().waitUntil(condition, base::durationOf(numberOption("within", defaultWaitSeconds))))
        fail("condition not met in time: " + what);
}

json ScenarioRunner::apiGet(const std::string& target)
{
    json body = json::parse(fleet().adminCall(anyDaemon(), "GET", target).body, nullptr, false);
    return body.is_object() ? body : json::object();
}

std::string ScenarioRunner::refusalReason(const std::string& key, const std::string& daemon)
{
    net::HttpRequest request { "GET", "/v1/models", { { "Authorization", "Bearer " + m_apiKeys.at(key) } }, "" };
    auto connection = net::HttpConnection::create(m_loop, fleet().addresses(daemon).client);
    net::HttpResult result = net::httpCall(*connection, request, base::Clock::now() + base::Seconds(2));
    if (result.error != net::HttpCallError::None)
        return "unreachable";
    return result.response.status == 200 ? "none" : std::string(net::httpHeader(result.response.headers, "X-Reason"));
}

bool ScenarioRunner::allDaemonsRespond(const std::string& key, const std::string& reason)
{
    auto names = option("on").empty() ? fleet().runningDaemons() : base::splitText(option("on"), ',');
    return std::all_of(names.begin(), names.end(),
        [&](const std::string& name) { return m_frozenDaemons.contains(name) || refusalReason(key, name) == reason; });
}

size_t ScenarioRunner::replicaCount(const std::string& model)
{
    size_t count = 0;
    for (const std::string& id : fleet().engineIds()) {
        json state = fleet().engineState(id);
        for (const json& name : state.value("models", json::array()))
            count += name == model;
    }
    return count;
}

void ScenarioRunner::wait()
{
    const auto& arguments = m_command->arguments;
    if (arguments[0] == "ready" && arguments.size() == 2)
        waitFor("ready", [&] { return fleet().waitReady(arguments[1], base::Duration::zero()); });
    else if (arguments[0] == "revision")
        waitFor("revision in force everywhere", [&] {
            json status = apiGet("/api/v1/status");
            return status.value("in_force_on", 0) == status.value("instances", -1);
        });
    else if (arguments[0] == "model" && arguments.size() == 3)
        waitFor("replicas", [&] { return replicaCount(arguments[1]) == std::stoul(arguments[2]); });
    else if (arguments[0] == "refused" && arguments.size() == 3)
        waitFor("refused with " + arguments[2], [&] { return allDaemonsRespond(arguments[1], arguments[2]); });
    else if (arguments[0] == "served" && arguments.size() == 2)
        waitFor("served", [&] { return allDaemonsRespond(arguments[1], "none"); });
    else if (arguments[0] == "owner" && arguments.size() == 2)
        waitFor(
            "placement owner", [&] { return apiGet("/api/v1/status").value("placement_owner", "") == arguments[1]; });
    else if (arguments[0] == "slots-held")
        waitFor("budget slots held by running daemons", [&] { return areSlotsHeld(); });
    else
        fail("unknown condition");
}

bool ScenarioRunner::areSlotsHeld()
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

void ScenarioRunner::expect()
{
    const auto& arguments = m_command->arguments;
    if (arguments[0] == "runs-once" && arguments.size() == 2)
        expectRunsOnce(arguments[1]);
    else if (arguments[0] == "no-overcommit")
        expectNoOvercommit();
    else if (arguments[0] == "no-key-seen") {
        if (fleet().hasEndpointReceivedKey())
            fail("an endpoint received an API key");
    } else if (arguments[0] == "replicas" && arguments.size() == 3) {
        if (size_t count = replicaCount(arguments[1]); count > std::stoul(arguments[2]))
            fail(fmt::format("{} replicas are loaded", count));
    } else if (arguments[0] == "repeats" && arguments.size() == 1)
        expectRepeats();
    else
        expectLoad(arguments[0]);
}

void ScenarioRunner::expectRepeats()
{
    for (auto& [status, expected] : m_command->options) {
        if (m_repeatCounts[status] != std::stoi(expected))
            fail(fmt::format("{} repeats got status {}", m_repeatCounts[status], status));
    }
}

void ScenarioRunner::expectNoOvercommit()
{
    for (const std::string& id : fleet().engineIds()) {
        json state = fleet().engineState(id);
        if (state.value("overcommits", 0))
            fail(id + " was ordered to load more than its memory holds");
    }
}

void ScenarioRunner::expectRunsOnce(const std::string& name)
{
    const LoadTally& tally = waitForTally(name);
    auto runs = fleet().serviceRunCounts();
    for (const std::string& call : tally.sentCalls) {
        if (runs[call] > 1)
            fail(fmt::format("{} ran {} times", call, runs[call]));
    }
    for (const std::string& call : tally.answeredCalls) {
        if (runs[call] != 1)
            fail(fmt::format("{} got a complete response but ran {} times", call, runs[call]));
    }
    for (const std::string& call : tally.notExecutedCalls) {
        if (runs[call])
            fail(fmt::format("{} was refused as not run but ran", call));
    }
}

void ScenarioRunner::checkCount(const std::string& what, int64_t actual, const std::string& expected, int64_t all)
{
    if (expected == "all" ? actual == all
            : expected.ends_with('%')
            ? static_cast<double>(actual) * 100 >= std::stod(expected) * static_cast<double>(all)
            : expected.starts_with("<") ? actual <= std::stoll(expected.substr(1))
            : expected.starts_with(">") ? actual >= std::stoll(expected.substr(1))
                                        : actual == std::stoll(expected))
        return;
    fail(fmt::format("expected {}={}, got {} of {}; {}", what, expected, actual, all,
        loadText(m_loads.at(m_command->arguments[0])->result, base::Seconds(1))));
}

void ScenarioRunner::expectLoad(const std::string& name)
{
    const LoadTally& tally = waitForTally(name);
    addTrace(loadText(m_loads.at(name)->result, m_loads.at(name)->plan.duration));
    for (auto& [what, expected] : m_command->options) {
        if (what == "whole")
            checkCount(
                what, tally.whole, expected, tally.sent - (option("unreachable").empty() ? 0 : tally.unreachable));
        else if (what == "wrong")
            checkCount(what, tally.wrong, expected, tally.sent);
        else if (what == "silent")
            checkCount(what, tally.silent, expected, tally.sent);
        else if (what == "unknown")
            checkCount(what, tally.unknown, expected, tally.sent);
        else if (what == "unreachable")
            checkCount(what, tally.unreachable, expected, tally.sent);
        else if (what.starts_with("refused-")) {
            auto found = tally.refused.find(what.substr(8));
            checkCount(what, found == tally.refused.end() ? 0 : found->second, expected, tally.sent);
        } else
            fail("unknown expectation \"" + what + "\"");
    }
}

} // namespace rattanshunt::lab

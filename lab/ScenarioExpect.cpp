// Commands that wait for a state or expect an outcome.
#include "ScenarioRunner.h"

namespace rattanshunt::lab {

namespace {
    constexpr double defaultWaitSeconds = 10; // seconds
}

// ---- Waiting and expecting -------------------------------------------------------------------

void ScenarioRunner::waitFor(const std::string& what, const std::function<bool()>& condition)
{
    if (!fleet().waitUntil(condition, base::durationOf(numberOption("within", defaultWaitSeconds))))
        fail("did not happen in time: " + what);
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
    net::HttpResult answer = net::httpCall(*connection, request, base::Clock::now() + base::Seconds(2));
    if (answer.error != net::HttpCallError::None)
        return "unreachable";
    return answer.response.status == 200 ? "none" : std::string(net::httpHeader(answer.response.headers, "X-Reason"));
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
    const auto& words = m_command->arguments;
    if (words[0] == "ready" && words.size() == 2)
        waitFor("ready", [&] { return fleet().waitReady(words[1], base::Duration::zero()); });
    else if (words[0] == "revision")
        waitFor("revision in force everywhere", [&] {
            json status = apiGet("/api/v1/status");
            return status.value("in_force_on", 0) == status.value("instances", -1);
        });
    else if (words[0] == "model" && words.size() == 3)
        waitFor("replicas", [&] { return replicaCount(words[1]) == std::stoul(words[2]); });
    else if (words[0] == "refused" && words.size() == 3)
        waitFor("refused with " + words[2], [&] { return allDaemonsRespond(words[1], words[2]); });
    else if (words[0] == "served" && words.size() == 2)
        waitFor("served", [&] { return allDaemonsRespond(words[1], "none"); });
    else if (words[0] == "owner" && words.size() == 2)
        waitFor("placement owner", [&] { return apiGet("/api/v1/status").value("placement_owner", "") == words[1]; });
    else if (words[0] == "slots-held")
        waitFor("budget slots held by running daemons", [&] { return areSlotsHeld(); });
    else
        fail("the condition is not known");
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
    const auto& words = m_command->arguments;
    if (words[0] == "runs-once" && words.size() == 2)
        expectRunsOnce(words[1]);
    else if (words[0] == "no-overcommit")
        expectNoOvercommit();
    else if (words[0] == "no-key-seen") {
        if (fleet().hasEndpointReceivedKey())
            fail("an endpoint has seen a key");
    } else if (words[0] == "replicas" && words.size() == 3) {
        if (size_t count = replicaCount(words[1]); count > std::stoul(words[2]))
            fail(fmt::format("{} replicas are loaded", count));
    } else if (words[0] == "repeats" && words.size() == 1)
        expectRepeats();
    else
        expectLoad(words[0]);
}

void ScenarioRunner::expectRepeats()
{
    for (auto& [status, wanted] : m_command->options) {
        if (m_repeatCounts[status] != std::stoi(wanted))
            fail(fmt::format("{} repeats were answered with {}", m_repeatCounts[status], status));
    }
}

void ScenarioRunner::expectNoOvercommit()
{
    for (const std::string& id : fleet().engineIds()) {
        json state = fleet().engineState(id);
        if (state.value("overcommits", 0))
            fail(id + " had more loaded than its memory");
    }
}

void ScenarioRunner::expectRunsOnce(const std::string& name)
{
    const LoadTally& tally = waitForTally(name);
    auto runs = fleet().serviceRunCounts();
    for (const std::string& call : tally.sentCalls) {
        if (runs[call] > 1)
            fail(fmt::format("{} was run {} times", call, runs[call]));
    }
    for (const std::string& call : tally.answeredCalls) {
        if (runs[call] != 1)
            fail(fmt::format("{} was answered whole but run {} times", call, runs[call]));
    }
    for (const std::string& call : tally.notExecutedCalls) {
        if (runs[call])
            fail(fmt::format("{} was refused as not run but was run", call));
    }
}

void ScenarioRunner::checkCount(const std::string& what, int64_t actual, const std::string& wanted, int64_t all)
{
    if (wanted == "all"             ? actual == all
            : wanted.ends_with('%') ? static_cast<double>(actual) * 100 >= std::stod(wanted) * static_cast<double>(all)
            : wanted.starts_with("<") ? actual <= std::stoll(wanted.substr(1))
            : wanted.starts_with(">") ? actual >= std::stoll(wanted.substr(1))
                                      : actual == std::stoll(wanted))
        return;
    fail(fmt::format("expected {}={}, got {} of {}; {}", what, wanted, actual, all,
        loadText(m_loads.at(m_command->arguments[0])->result, base::Seconds(1))));
}

void ScenarioRunner::expectLoad(const std::string& name)
{
    const LoadTally& tally = waitForTally(name);
    addTrace(loadText(m_loads.at(name)->result, m_loads.at(name)->plan.duration));
    for (auto& [what, wanted] : m_command->options) {
        if (what == "whole")
            checkCount(what, tally.whole, wanted, tally.sent - (option("unreachable").empty() ? 0 : tally.unreachable));
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

} // namespace rattanshunt::lab

// Runs the scenario files, each in a process of its own.
#include <fstream>
#include <sstream>

#include "Scenario.h"
#include "Support.h"

using namespace rattanshunt;

namespace {

void runFile(const char* name)
{
    std::ifstream file(std::string(SCENARIO_DIR) + "/" + name + ".scenario");
    cr_assert(file.good(), "%s cannot be read", name);
    std::stringstream text;
    text << file.rdbuf();
    lab::ScenarioResult result;
    tests::onLoop([&](net::Loop& loop) { result = lab::scenarioRun(loop, lab::scenarioParse(text.str())); });
    std::string failures;
    for (const std::string& failure : result.failures)
        failures += failure + "\n";
    cr_assert(result.isPassed, "%s", failures.c_str());
}

} // namespace

#define SCENARIO(identifier, file)                                                                                     \
    Test(scenario, identifier, .timeout = 120)                                                                         \
    {                                                                                                                  \
        runFile(file);                                                                                                 \
    }

SCENARIO(whole_path, "whole-path")
SCENARIO(rate_and_burst, "rate-and-burst")
SCENARIO(key_withdrawal, "key-withdrawal")
SCENARIO(withdrawal_in_outage, "withdrawal-in-outage")
SCENARIO(once_service_loses_answers, "once-service-loses-answers")
SCENARIO(kv_outage, "kv-outage")
SCENARIO(kill_daemon, "kill-daemon")
SCENARIO(frozen_owner, "frozen-owner")
SCENARIO(broken_streams, "broken-streams")
SCENARIO(graceful_stop, "graceful-stop")
SCENARIO(leaving_endpoint, "leaving-endpoint")
SCENARIO(lost_kv_answers, "lost-kv-answers")
SCENARIO(storm_mauritius, "storm-mauritius")
SCENARIO(storm_saigon, "storm-saigon")
SCENARIO(bad_input, "bad-input")

Test(scenario_language, wrong_lines_are_named_with_what_was_expected)
{
    auto script = lab::scenarioParse("fleet daemons=1\nexplode d1\nkill\n# fine\nstart\n");
    cr_assert_eq(script.errors.size(), 2);
    cr_assert_str_eq(script.errors[0].c_str(), "line 2: \"explode\" is not a command");
    cr_assert_str_eq(script.errors[1].c_str(), "line 3: expected kill DAEMON");
    cr_assert_eq(script.commands.size(), 2);
}

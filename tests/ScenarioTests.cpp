// Runs the scenario files; Criterion runs each test in a process of its own.
#include <fstream>
#include <sstream>

#include "Scenario.h"
#include "Support.h"

using namespace rattanshunt;

namespace {

void runScenarioFile(const char* name)
{
    std::ifstream file(std::string(SCENARIO_DIR) + "/" + name + ".scenario");
    cr_assert(file.good(), "scenario file %s.scenario cannot be read", name);
    std::stringstream text;
    text << file.rdbuf();
    lab::ScenarioResult result;
    tests::runOnLoop([&](net::Loop& loop) { result = lab::scenarioRun(loop, lab::scenarioParse(text.str())); });
    std::string failures;
    for (const std::string& failure : result.failures)
        failures += failure + "\n";
    cr_assert(result.isPassed, "%s", failures.c_str());
}

} // namespace

#define SCENARIO_TEST(identifier, file)                                                                                \
    Test(scenario, identifier, .timeout = 120)                                                                         \
    {                                                                                                                  \
        runScenarioFile(file);                                                                                         \
    }

SCENARIO_TEST(whole_path, "whole-path")
SCENARIO_TEST(rate_and_burst, "rate-and-burst")
SCENARIO_TEST(key_withdrawal, "key-withdrawal")
SCENARIO_TEST(withdrawal_in_outage, "withdrawal-in-outage")
SCENARIO_TEST(once_service_loses_answers, "once-service-loses-answers")
SCENARIO_TEST(kv_outage, "kv-outage")
SCENARIO_TEST(kill_daemon, "kill-daemon")
SCENARIO_TEST(frozen_owner, "frozen-owner")
SCENARIO_TEST(broken_streams, "broken-streams")
SCENARIO_TEST(graceful_stop, "graceful-stop")
SCENARIO_TEST(leaving_endpoint, "leaving-endpoint")
SCENARIO_TEST(lost_kv_answers, "lost-kv-answers")
SCENARIO_TEST(storm_mauritius, "storm-mauritius")
SCENARIO_TEST(storm_saigon, "storm-saigon")
SCENARIO_TEST(bad_input, "bad-input")

Test(scenario_language, errors_name_the_line_and_what_was_expected)
{
    auto script = lab::scenarioParse("fleet daemons=1\nexplode d1\nkill\n# fine\nstart\n");
    cr_assert_eq(script.errors.size(), 2);
    cr_assert_str_eq(script.errors[0].c_str(), "line 2: \"explode\" is not a command");
    cr_assert_str_eq(script.errors[1].c_str(), "line 3: expected kill DAEMON");
    cr_assert_eq(script.commands.size(), 2);
}

// Short runs of each fuzz target with a fixed seed; `rattanshunt-lab fuzz` does long runs.
#include "Fuzz.h"
#include "ResponseFuzz.h"
#include "Support.h"

using namespace rattanshunt;

Test(fuzz, platform_decoders_handle_any_input, .timeout = 120)
{
    for (const std::string& target : lab::fuzzTargets()) {
        lab::FuzzResult result = lab::fuzzRun(target, 20261204, 20000);
        cr_expect(result.finding.empty(), "%s, input %lu: %s\n%s", target.c_str(), result.inputCount,
            result.finding.c_str(), result.input.c_str());
    }
}

Test(fuzz, an_attempt_ends_within_its_bounds_and_takes_nothing_incomplete_as_complete, .timeout = 120)
{
    tests::runOnLoop([](net::Loop& loop) {
        lab::FuzzResult result = lab::fuzzResponses(loop, 20261204, 2000);
        cr_expect(result.finding.empty(), "input %lu: %s\n%s", result.inputCount, result.finding.c_str(),
            result.input.substr(0, 2000).c_str());
    });
}

// Short runs of each fuzz target with a fixed seed; `rattanshunt-lab fuzz` does long runs.
#include "Fuzz.h"
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

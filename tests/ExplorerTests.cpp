// The explorer with a bounded depth: whole decisions break no invariant, and each safeguard that is taken out is
// missed.
#include "Explorer.h"
#include "Support.h"

using namespace rattanshunt;

namespace {

void exploreCases(const char* prefix)
{
    size_t count = 0;
    for (lab::ExplorerCase& explorerCase : lab::explorerCases()) {
        if (!explorerCase.name.starts_with(prefix))
            continue;
        ++count;
        lab::ExplorerLimits limits;
        limits.depth = 9;
        limits.states = 60000;
        limits.walks = 5000; // a freeze over a takeover takes more steps than the depth
        lab::ExplorerResult result = lab::explore(*explorerCase.model, limits);
        std::string trace;
        for (const std::string& action : result.trace)
            trace += "\n  " + action;
        if (explorerCase.without == lab::Safeguard::None)
            cr_assert(result.violation.empty(), "%s: %s%s", explorerCase.name.c_str(), result.violation.c_str(),
                trace.c_str());
        else
            cr_assert(
                !result.violation.empty(), "%s: the missing safeguard was not noticed", explorerCase.name.c_str());
    }
    cr_assert_gt(count, 1);
}

} // namespace

// A macro, since each case is to fail under a name of its own.
#define EXPLORER_TEST(name)                                                                                            \
    Test(explorer, name, .timeout = 120)                                                                               \
    {                                                                                                                  \
        exploreCases(#name);                                                                                           \
    }

EXPLORER_TEST(budget)
EXPLORER_TEST(placement)
EXPLORER_TEST(once)
EXPLORER_TEST(config)
EXPLORER_TEST(attempts)
EXPLORER_TEST(orders)
EXPLORER_TEST(freshness)
EXPLORER_TEST(repeats)

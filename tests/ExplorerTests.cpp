// Model checking of the decision logic with a bounded depth: with all safeguards no invariant is violated, and with any
// one safeguard removed a violation is found.
#include "Explorer.h"
#include "Support.h"

using namespace rattanshunt;

namespace {

// `randomWalks`: a suspension that spans a takeover, or orders to two starts of a replica, take more steps than the
// depth of the exhaustive search.
void exploreCases(const char* prefix, size_t randomWalks = 5000)
{
    size_t count = 0;
    for (lab::ExplorerCase& explorerCase : lab::explorerCases()) {
        if (!explorerCase.name.starts_with(prefix))
            continue;
        ++count;
        lab::ExplorerLimits limits;
        limits.maxDepth = 9;
        limits.maxStates = 60000;
        limits.randomWalks = randomWalks;
        lab::ExplorerResult result = lab::explore(*explorerCase.model, limits);
        std::string trace;
        for (const std::string& action : result.trace)
            trace += "\n  " + action;
        if (explorerCase.removedSafeguard == lab::Safeguard::None)
            cr_assert(result.violation.empty(), "%s: %s%s", explorerCase.name.c_str(), result.violation.c_str(),
                trace.c_str());
        else
            cr_assert(!result.violation.empty(), "%s: no violation was found without the safeguard",
                explorerCase.name.c_str());
    }
    cr_assert_gt(count, 1);
}

} // namespace

// A macro, so that each group of cases is a test of its own. `name` is the prefix of the names of the group's cases.
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
Test(explorer, ledger, .timeout = 120)
{
    exploreCases("ledger", 20000);
}
EXPLORER_TEST(freshness)
EXPLORER_TEST(repeats)
EXPLORER_TEST(parts)
EXPLORER_TEST(versions)

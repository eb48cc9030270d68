// The explorer with a bounded depth: whole decisions break no invariant, and each safeguard that is taken out is
// missed.
#include "Explorer.h"
#include "Support.h"

using namespace rattanshunt;

namespace {

void exploreCases(const char* prefix)
{
    size_t count = 0;
    for (lab::ExplorerCase& item : lab::explorerCases()) {
        if (!item.name.starts_with(prefix))
            continue;
        ++count;
        lab::ExplorerLimits limits;
        limits.depth = 9;
        limits.states = 60000;
        limits.walks = 5000; // a freeze over a takeover takes more steps than the depth
        lab::ExplorerResult result = lab::explore(*item.model, limits);
        std::string trace;
        for (const std::string& action : result.trace)
            trace += "\n  " + action;
        if (item.without == lab::Safeguard::None)
            cr_assert(result.violation.empty(), "%s: %s%s", item.name.c_str(), result.violation.c_str(), trace.c_str());
        else
            cr_assert(!result.violation.empty(), "%s: the missing safeguard was not noticed", item.name.c_str());
    }
    cr_assert_gt(count, 1);
}

} // namespace

Test(explorer, budget, .timeout = 120)
{
    exploreCases("budget");
}
Test(explorer, placement, .timeout = 120)
{
    exploreCases("placement");
}
Test(explorer, once, .timeout = 120)
{
    exploreCases("once");
}
Test(explorer, config, .timeout = 120)
{
    exploreCases("config");
}
Test(explorer, attempts, .timeout = 120)
{
    exploreCases("attempts");
}
Test(explorer, orders, .timeout = 120)
{
    exploreCases("orders");
}
Test(explorer, freshness, .timeout = 120)
{
    exploreCases("freshness");
}
Test(explorer, repeats, .timeout = 120)
{
    exploreCases("repeats");
}

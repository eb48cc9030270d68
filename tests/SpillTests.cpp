// Sending work to other data centres: simulated load on the functions that decide, without a network.
#include "SpillSimulation.h"
#include "Support.h"

using namespace rattanshunt;
using namespace rattanshunt::lab;
using namespace rattanshunt::spill;

// Each load is played with the plan and with the fixed cost, which must fail the same conditions.
#define expectOnlyThePlan(load, holds)                                                                                 \
    do {                                                                                                               \
        cr_expect((holds)(simulateSpill(load, true)));                                                                 \
        cr_expect(!(holds)(simulateSpill(load, false)));                                                               \
    } while (false)

// Guards against work leaving a data centre that has room for it, and against two data centres exchanging work, while
// demand shifts between them by turns.
Test(spill, sends_away_what_exceeds_the_own_replicas_while_demand_shifts)
{
    SpillLoad load;
    load.demand = [](size_t c, double now) {
        return spillCenterSlots * (static_cast<size_t>(now / 10) % spillCenters == c ? 1.15 : 0.5);
    };
    expectOnlyThePlan(load, [](const SpillOutcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.crossed <= 0.25 * outcome.arrived
            && outcome.exchanged <= 0.02 * outcome.arrived && outcome.planChanges <= 6;
    });
}

// Guards against callers of the other data centres losing their replicas to those of one that lost half of its own.
Test(spill, a_data_center_that_loses_replicas_is_helped_without_displacing_others)
{
    SpillLoad load;
    load.demand = [](size_t c, double) { return spillCenterSlots * (c == 0 ? 0.85 : 0.55); };
    load.working = [](size_t c, double now) { return c == 0 && now > 20 ? 0.5 : 1.0; };
    expectOnlyThePlan(load, [](const SpillOutcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.displaced == 0
            && outcome.crossed <= 0.3 * outcome.arrived && outcome.planChanges <= 4;
    });
}

// Guards against transfers that serve nobody: what leaves a full data centre displaces work in another full one.
Test(spill, full_data_centers_keep_their_work)
{
    SpillLoad load;
    load.demand = [](size_t, double) { return spillCenterSlots * 1.15; };
    expectOnlyThePlan(load, [](const SpillOutcome& outcome) {
        return outcome.crossed <= 0.04 * outcome.arrived && outcome.displaced <= 0.03 * outcome.arrived
            && outcome.exchanged <= 0.01 * outcome.arrived;
    });
}

// Guards against filling other data centres by figures that no longer hold.
Test(spill, figures_that_are_seconds_old_displace_nobody)
{
    SpillLoad load;
    load.demand = [](size_t c, double now) {
        return spillCenterSlots * (static_cast<size_t>(now / 10) % spillCenters == c ? 1.15 : 0.5);
    };
    load.lag = 3;
    expectOnlyThePlan(load, [](const SpillOutcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.displaced == 0
            && outcome.crossed <= 0.2 * outcome.arrived && outcome.exchanged <= 0.01 * outcome.arrived;
    });
}

// Guards against work being sent over a link that is cut again and again, or being lost although a third data centre
// has room.
Test(spill, a_cut_link_is_avoided)
{
    SpillLoad load;
    load.demand = [](size_t c, double) { return spillCenterSlots * (c == 0 ? 1.15 : 0.5); };
    load.isCut = [](size_t from, size_t to) { return from + to == 1; };
    expectOnlyThePlan(load, [](const SpillOutcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.failedAttempts <= 0.03 * outcome.arrived
            && outcome.crossed <= 0.2 * outcome.arrived;
    });
}

// Guards against oscillation, and against work staying away, once a data centre has its replicas back.
Test(spill, work_returns_with_the_replicas)
{
    SpillLoad load;
    load.demand = [](size_t c, double) { return spillCenterSlots * (c == 0 ? 0.7 : 0.5); };
    load.working = [](size_t c, double now) { return c == 0 && now > 10 && now < 30 ? 0.5 : 1.0; };
    expectOnlyThePlan(load, [](const SpillOutcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.crossedLate <= 0.02 * outcome.arrived
            && outcome.planChanges <= 4;
    });
}

// Guards against shares that follow each small change of demand, and against kept shares that no longer pay.
Test(spill, a_plan_is_kept_until_a_change_gains_more_than_it_costs)
{
    SpillOptions options = spillSimulationOptions();
    WorkGroup group { { { "dc-a", 32, 36, {} }, { "dc-b", 32, 8, {} } }, 1, 0.025 };
    SpillShares shares = spillPlan(group, {}, options);
    cr_assert_eq(shares.size(), 1U);
    group.dataCenters[0].demand = 35.5;
    cr_expect(spillPlan(group, shares, options) == shares);
    group.dataCenters[0].demand = 16;
    cr_expect(spillPlan(group, shares, options).empty());
    cr_expect_lt(spillBenefit(group, shares, options), 0);
    // Others' work makes way for the own callers at once.
    group.dataCenters[0].demand = 36;
    group.dataCenters[1].demand = 31;
    cr_expect(spillPlan(group, shares, options).empty());
}

// Guards against sending away long prompts with a cached prefix while there are small requests, and against a share
// that is not met when there are none.
Test(spill, cheap_requests_go_first)
{
    SpillOptions options = spillSimulationOptions();
    double small = transferSeconds({ 0.01, 0 }, options);
    double cached = transferSeconds({ 0.1, 4000 }, options);
    double mean = (small + cached) / 2;
    SpillCredits credits;
    int sent[2] = {};
    for (int i = 0; i < 1000; ++i)
        sent[i % 2] += !spillTarget(credits, { { "dc-b", 0.3 } }, (i % 2 ? cached : small) / mean, 0.5).empty();
    cr_expect_geq(sent[0], 280);
    cr_expect_leq(sent[1], 20);
    int sentCached = 0;
    for (int i = 0; i < 1000; ++i)
        sentCached += !spillTarget(credits, { { "dc-b", 0.3 } }, cached / mean, 0.5).empty();
    cr_expect(sentCached >= 290 && sentCached <= 310);
}

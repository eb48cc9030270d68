// Work that is sent to other data centres, by callers' losses and by a fixed cost.
#include <fmt/format.h>

#include "Bench.h"
#include "SpillSimulation.h"

namespace rattanshunt::lab {

BenchTable benchSpill(uint64_t seed)
{
    BenchTable table;
    table.title = fmt::format(
        "Work sent to other data centres: {} data centres of {} slots, 60 s; requests", spillCenters, spillCenterSlots);
    table.columns = { "load", "way", "arrived", "lost", "crossed", "exchanged", "displaced", "plan changes" };
    auto byTurns = [](size_t c, double now) {
        return spillCenterSlots * (static_cast<size_t>(now / 10) % spillCenters == c ? 1.15 : 0.5);
    };
    auto firstBusy = [](size_t c, double) { return spillCenterSlots * (c == 0 ? 0.85 : 0.55); };
    auto halfLost = [](size_t c, double now) { return c == 0 && now > 20 ? 0.5 : 1.0; };
    std::pair<const char*, SpillLoad> loads[] = {
        { "demand shifts by turns", { byTurns } },
        { "the same, figures 3 s old", { .demand = byTurns, .lag = 3 } },
        { "one loses half of its replicas", { .demand = firstBusy, .working = halfLost } },
        { "all full", { [](size_t, double) { return spillCenterSlots * 1.15; } } },
        { "all have room",
            { [](size_t c, double) { return spillCenterSlots * (0.5 + 0.1 * static_cast<double>(c)); } } },
    };
    for (const auto& [name, load] : loads) {
        for (bool isPlanned : { true, false }) {
            SpillOutcome outcome = simulateSpill(load, isPlanned, seed);
            auto cell = [](double value) { return fmt::format("{:.0f}", value); };
            table.rows.push_back({ { name, isPlanned ? "by callers' losses" : "fixed cost of 0.04",
                cell(outcome.arrived), cell(outcome.lost), cell(outcome.crossed), cell(outcome.exchanged),
                cell(outcome.displaced), cell(outcome.planChanges) } });
        }
    }
    return table;
}

} // namespace rattanshunt::lab

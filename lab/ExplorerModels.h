// Internal to the explorer: what its models share, and their makers.
//
// Contents
//   [1] Base            ExplorerModelOf, a model that can be copied and has a safeguard taken out
//   [2] Time            explorerTimeAt(), SuspendableClock
//   [3] Makers          one file each
#pragma once

#include "Explorer.h"

#include <fmt/format.h>

#include "base/Time.h"

namespace rattanshunt::lab {

// ---- [1] Base ----------------------------------------------------------------------------------

template <typename Model> class ExplorerModelOf : public ExplorerModel {
public:
    explicit ExplorerModelOf(Safeguard without)
        : m_without(without)
    {
    }

    std::unique_ptr<ExplorerModel> clone() const override
    {
        return std::make_unique<Model>(static_cast<const Model&>(*this));
    }

protected:
    Safeguard m_without;
};

// ---- [2] Time ----------------------------------------------------------------------------------

constexpr base::Millis explorerTick { 1000 };

inline base::BootTime explorerTimeAt(int ticks)
{
    return base::BootTime {} + base::Seconds(1000) + explorerTick * ticks;
}

// The clock of a daemon that may be suspended. All times in ticks.
struct SuspendableClock {
    bool isSuspended = false;
    int suspendedAt = 0;
    int lost = 0; // while it was suspended
    int suspensions = 0;

    void suspend(int now)
    {
        isSuspended = true;
        suspendedAt = now;
        ++suspensions;
    }
    void resume(int now)
    {
        isSuspended = false;
        lost += now - suspendedAt;
    }

    // What the daemon reads at `now`: a clock that stops in a suspension lags behind.
    int read(int now, bool stopsWhenSuspended) const { return stopsWhenSuspended ? now - lost : now; }
    std::string key() const { return fmt::format("{} {} {} {}", isSuspended, suspendedAt, lost, suspensions); }
};

// ---- [3] Makers --------------------------------------------------------------------------------

std::unique_ptr<ExplorerModel> budgetModel(Safeguard without);
std::unique_ptr<ExplorerModel> placementModel(Safeguard without, bool checksFencing);
std::unique_ptr<ExplorerModel> onceModel(Safeguard without);
std::unique_ptr<ExplorerModel> configModel(Safeguard without);
std::unique_ptr<ExplorerModel> attemptsModel(Safeguard without);
std::unique_ptr<ExplorerModel> ordersModel(Safeguard without);
std::unique_ptr<ExplorerModel> freshnessModel(Safeguard without);
std::unique_ptr<ExplorerModel> repeatsModel(Safeguard without);

} // namespace rattanshunt::lab

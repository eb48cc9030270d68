// Internal to the explorer: what its models share, and the factory function of each model.
//
// Contents
//   [1] Base            ExplorerModelBase, implements clone() and holds the safeguard that is removed
//   [2] Time            explorerTimeAt(), SuspendableClock
//   [3] Factories       one file each
#pragma once

#include "Explorer.h"

#include <fmt/format.h>

#include "base/Time.h"

namespace rattanshunt::lab {

// ---- [1] Base ----------------------------------------------------------------------------------

template <typename Model> class ExplorerModelBase : public ExplorerModel {
public:
    explicit ExplorerModelBase(Safeguard removedSafeguard)
        : m_removedSafeguard(removedSafeguard)
    {
    }

    std::unique_ptr<ExplorerModel> clone() const override
    {
        return std::make_unique<Model>(static_cast<const Model&>(*this));
    }

protected:
    Safeguard m_removedSafeguard;
};

// ---- [2] Time ----------------------------------------------------------------------------------

constexpr base::Millis explorerTickDuration { 1000 };

inline base::BootTime explorerTimeAt(int ticks)
{
    return base::BootTime {} + base::Seconds(1000) + explorerTickDuration * ticks;
}

// The clock of a daemon that may be suspended. All times in ticks of explorerTickDuration.
struct SuspendableClock {
    bool isSuspended = false;
    int suspendedAt = 0;
    int suspendedTicks = 0; // ticks spent suspended so far
    int suspensionCount = 0;

    void suspend(int now)
    {
        isSuspended = true;
        suspendedAt = now;
        ++suspensionCount;
    }
    void resume(int now)
    {
        isSuspended = false;
        suspendedTicks += now - suspendedAt;
    }

    // What the daemon reads at `now`. A clock that stops during suspension lags behind real time afterwards.
    int read(int now, bool stopsWhenSuspended) const { return stopsWhenSuspended ? now - suspendedTicks : now; }
    std::string stateKey() const
    {
        return fmt::format("{} {} {} {}", isSuspended, suspendedAt, suspendedTicks, suspensionCount);
    }
};

// ---- [3] Factories -----------------------------------------------------------------------------

std::unique_ptr<ExplorerModel> budgetModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> placementModel(Safeguard removedSafeguard, bool checksFencing);
std::unique_ptr<ExplorerModel> idempotencyModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> configModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> attemptsModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> hubOrdersModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> replicaLedgerModel(Safeguard removedSafeguard, bool startsWithLateOrder);
std::unique_ptr<ExplorerModel> freshnessModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> retryBudgetModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> promptPartsModel(Safeguard removedSafeguard);
std::unique_ptr<ExplorerModel> versionsModel(Safeguard removedSafeguard);

} // namespace rattanshunt::lab

// Internal to the explorer: the makers of its models.
#pragma once

#include "Explorer.h"

namespace rattanshunt::lab {

std::unique_ptr<ExplorerModel> budgetModel(Safeguard without);
std::unique_ptr<ExplorerModel> placementModel(Safeguard without, bool checksFencing);
std::unique_ptr<ExplorerModel> onceModel(Safeguard without);
std::unique_ptr<ExplorerModel> configModel(Safeguard without);
std::unique_ptr<ExplorerModel> attemptsModel(Safeguard without);
std::unique_ptr<ExplorerModel> ordersModel(Safeguard without);
std::unique_ptr<ExplorerModel> freshnessModel(Safeguard without);
std::unique_ptr<ExplorerModel> repeatsModel(Safeguard without);

} // namespace rattanshunt::lab

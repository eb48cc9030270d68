#include "evacuation/Evacuations.h"

namespace rattanshunt::evacuation {

std::vector<EvacuationChange> evacuationsApply(
    Evacuations& evacuations, const std::set<std::string>& listed, base::BootTime asOf, bool mayBeIncomplete)
{
    std::vector<EvacuationChange> changes;
    if (asOf < evacuations.asOf)
        return changes;
    evacuations.asOf = asOf;
    for (const std::string& dataCenter : listed) {
        if (evacuations.dataCenters.insert(dataCenter).second)
            changes.push_back({ dataCenter, true });
    }
    if (mayBeIncomplete)
        return changes;
    std::erase_if(evacuations.dataCenters, [&](const std::string& dataCenter) {
        if (listed.contains(dataCenter))
            return false;
        changes.push_back({ dataCenter, false });
        return true;
    });
    return changes;
}

} // namespace rattanshunt::evacuation

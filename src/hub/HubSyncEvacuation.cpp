// Evacuated data centres: from the store to the hub, and with each sync reply to the members.
#include "base/Counters.h"
#include "base/Log.h"
#include "hub/HubSyncInternal.h"

namespace rattanshunt::hub {

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

// `asOf`: when the read was sent that tells.
void HubSync::applyEvacuations(const std::set<std::string>& listed, BootTime asOf)
{
    // The operator writes again what a copy of the store lacks.
    bool mayBeIncomplete = m_hasSeenRestore && m_storeRecoveredAt != BootTime {}
        && BootClock::now() - m_storeRecoveredAt < directory::lapseGracePeriod;
    auto changes = evacuation::evacuationsApply(m_evacuations, listed, asOf, mayBeIncomplete);
    for (const evacuation::EvacuationChange& change : changes) {
        if (!change.isBegun)
            presumeCold(change.dataCenter);
        base::counterAdd(change.isBegun ? "evacuations_begun_total" : "evacuations_ended_total");
        base::logEvent(LogLevel::Info, change.isBegun ? "evacuation.begun" : "evacuation.ended",
            { { "data_center", change.dataCenter }, { "knowledge_age_ms", ageMillis(BootClock::now(), asOf) } });
    }
    if (!changes.empty())
        notifySubscribers();
}

void HubSync::applyEvacuationsReply(const Json& body, BootTime asOf)
{
    if (body.contains("evacuated"))
        applyEvacuations(body.at("evacuated").get<std::set<std::string>>(), asOf);
}

} // namespace rattanshunt::hub

// Public methods of PlacementService.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

PlacementService::PlacementService(fleet::Fleet& fleet, const PlacementOptions& options)
    : m_impl(std::make_shared<Impl>(fleet, options))
{
    fleet.addMethod("demand", [impl = m_impl](const std::string& from, const json& body) {
        if (impl->isOwner)
            impl->applyReport(from, body);
        return json({ { "owner", impl->isOwner } });
    });
}

PlacementService::~PlacementService() = default;

void PlacementService::start()
{
    net::Loop& loop = m_impl->fleet.loop();
    loop.spawn([impl = m_impl] { impl->ownerLoop(); });
    loop.spawn([impl = m_impl] { impl->planLoop(); });
    loop.spawn([impl = m_impl] { impl->reportLoop(); });
}

void PlacementService::release()
{
    if (!m_impl->isOwner)
        return;
    m_impl->isOwner = false;
    m_impl->isStopped = true;
    OwnerRecord record { "", "", m_impl->epoch, base::randomId() };
    coordination::kvSwap(m_impl->fleet.kv(), std::string(ownerKvKey), m_impl->ownerRevision, ownerToText(record));
}

void PlacementService::stop()
{
    m_impl->isStopped = true;
}

void PlacementService::setCatalog(std::shared_ptr<const resources::Catalog> catalog)
{
    m_impl->catalog = std::move(catalog);
    m_impl->updatePlannerInputs();
}

void PlacementService::updateDemand(const WaitingRequest& request, bool isWaiting)
{
    m_impl->fleet.loop().post([impl = m_impl, request, isWaiting] { impl->updateDemand(request, isWaiting); });
}

void PlacementService::recordUse(const std::string& model)
{
    m_impl->fleet.loop().post([impl = m_impl, model] { ++impl->useCounts[model]; });
}

PlacementStatus PlacementService::status() const
{
    PlacementStatus status;
    auto record = m_impl->ownerRecord(nullptr);
    if (record) {
        status.owner = record->holder;
        status.epoch = record->epoch;
    }
    status.isOwn = m_impl->isOwner;
    for (auto& [id, client] : m_impl->endpointClients)
        status.idleAcceleratorSeconds += client.idleSeconds;
    status.loadsUnderWay = placementLoadingCount(m_impl->planner, false) + placementLoadingCount(m_impl->planner, true);
    status.changeHistory.assign(m_impl->changeHistory.begin(), m_impl->changeHistory.end());
    return status;
}

} // namespace rattanshunt::placement

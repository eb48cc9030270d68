// The public methods of PlacementService.
#include "placement/PlacementImpl.h"

namespace rattanshunt::placement {

PlacementService::PlacementService(fleet::Fleet& fleet, const PlannerOptions& options)
    : m_impl(std::make_shared<Impl>(fleet, options))
{
    fleet.addMethod("demand", [impl = m_impl](const std::string& from, const json& body) {
        if (impl->isOwner)
            impl->takeReport(from, body);
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
    coordination::kvSwap(m_impl->fleet.kv(), std::string(ownerKey), m_impl->ownerRevision, ownerToText(record));
}

void PlacementService::stop()
{
    m_impl->isStopped = true;
}

void PlacementService::setCatalog(std::shared_ptr<const resources::Catalog> catalog)
{
    m_impl->catalog = std::move(catalog);
    m_impl->updateInputs();
}

void PlacementService::need(const ModelNeed& item, bool isWaiting)
{
    m_impl->fleet.loop().post([impl = m_impl, item, isWaiting] { impl->need(item, isWaiting); });
}

void PlacementService::used(const std::string& model)
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
    for (auto& [id, entry] : m_impl->work)
        status.idleAcceleratorSeconds += entry.idleSeconds;
    status.loadsUnderWay = plannerLoading(m_impl->planner, false) + plannerLoading(m_impl->planner, true);
    status.recent.assign(m_impl->recent.begin(), m_impl->recent.end());
    return status;
}

} // namespace rattanshunt::placement

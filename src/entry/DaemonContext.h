// State and services that the control thread of a daemon shares with its traffic threads.
//
// The control thread publishes immutable catalogs and state flags. Traffic threads request tokens, idempotency claims
// and replicas through the services. All methods of this class may be called from any thread; each service states which
// of its methods may.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "budget/BudgetService.h"
#include "idempotency/ClaimService.h"
#include "net/Loop.h"
#include "placement/PlacementService.h"
#include "reports/RequestStats.h"
#include "resources/Catalog.h"
#include "settings/Settings.h"

namespace rattanshunt::entry {

class DaemonContext {
public:
    DaemonContext(const settings::Settings& daemonSettings, net::Loop& controlLoop,
        budget::BudgetService& budgetService, idempotency::ClaimService& claimService,
        placement::PlacementService& placementService)
        : settings(daemonSettings)
        , controlLoop(controlLoop)
        , budget(budgetService)
        , claims(claimService)
        , placement(placementService)
    {
    }

    const settings::Settings& settings;
    net::Loop& controlLoop;
    budget::BudgetService& budget;
    idempotency::ClaimService& claims; // call on the control thread only, through net::runOn(controlLoop, ...)
    placement::PlacementService& placement;
    std::string incarnation; // of this daemon process; set before the traffic threads start

    // -- commands --
    void publishCatalog(std::shared_ptr<const resources::Catalog> catalog)
    {
        std::lock_guard lock(m_mutex);
        m_catalog = std::move(catalog);
        m_catalogVersion.fetch_add(1, std::memory_order_release);
    }

    // Requests with an API key may be served with the current catalog until `freshUntil`; afterwards a key might have
    // been withdrawn without this daemon knowing.
    void publishKeyDataFreshUntil(base::TimePoint freshUntil)
    {
        m_keyDataFreshUntil.store(freshUntil.time_since_epoch().count(), std::memory_order_release);
    }
    void publishDraining() { m_isDraining.store(true, std::memory_order_release); }
    void publishReady() { m_isReady.store(true, std::memory_order_release); }

    // -- queries --
    uint64_t catalogVersion() const { return m_catalogVersion.load(std::memory_order_acquire); }
    std::shared_ptr<const resources::Catalog> catalog() const
    {
        std::lock_guard lock(m_mutex);
        return m_catalog;
    }
    // True if the known API keys are recent enough to accept a key.
    bool isKeyDataFresh(base::TimePoint now) const
    {
        return now.time_since_epoch().count() < m_keyDataFreshUntil.load(std::memory_order_acquire);
    }
    bool isDraining() const { return m_isDraining.load(std::memory_order_acquire); }
    bool isReady() const { return m_isReady.load(std::memory_order_acquire) && !isDraining(); }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const resources::Catalog> m_catalog = std::make_shared<resources::Catalog>();
    std::atomic<uint64_t> m_catalogVersion { 1 };
    std::atomic<base::TimePoint::rep> m_keyDataFreshUntil { 0 };
    std::atomic<bool> m_isDraining { false };
    std::atomic<bool> m_isReady { false };
};

} // namespace rattanshunt::entry

// What the traffic threads of one daemon share with its control thread.
//
// The control thread publishes immutable catalogs and times; traffic threads send requests for tokens, claims and
// replicas through the services' thread-safe methods. Every public method is safe from any thread.
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
    idempotency::ClaimService& claims; // use from fibers of `control`, through net::runOn()
    placement::PlacementService& placement;
    std::string incarnation; // set before traffic starts

    // -- commands --
    void publishCatalog(std::shared_ptr<const resources::Catalog> catalog)
    {
        std::lock_guard lock(m_mutex);
        m_catalog = std::move(catalog);
        m_catalogVersion.fetch_add(1, std::memory_order_release);
    }

    // Keyed requests may be served until `until` on what is known.
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

// Model placement: reports this daemon's demand to the placement owner, and acts as the owner while the owner record
// names this daemon.
//
// Contents
//   [1] Demand and status    WaitingRequest, PlacementStatus
//   [2] Service              PlacementService
//
// Control thread only, except updateDemand() and recordUse(), which may be called from any thread.
#pragma once

#include <memory>

#include "fleet/Fleet.h"
#include "placement/PlacementPlanner.h"
#include "resources/Catalog.h"

namespace rattanshunt::placement {

// ---- [1] Demand and status ---------------------------------------------------------------------

// A request that waits for a model without a loaded replica.
struct WaitingRequest {
    std::string model; // name of the model or adapter
    std::string account;
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    base::TimePoint since {};
};

struct PlacementStatus {
    std::string owner;
    int64_t epoch = 0;
    bool isOwn = false;
    size_t loadsUnderWay = 0;
    double idleAcceleratorSeconds = 0;      // with a model loaded but no request running, of all endpoints; owner only
    std::vector<std::string> changeHistory; // recent changes with their reasons, newest last
};

// ---- [2] Service -------------------------------------------------------------------------------

class PlacementService {
public:
    PlacementService(fleet::Fleet&, const PlacementOptions&);
    ~PlacementService();

    // -- commands --
    void start();
    void release(); // gives up ownership of placement; suspends
    void stop();
    void setCatalog(std::shared_ptr<const resources::Catalog>);

    // Reports that a request started (`isWaiting`) or stopped waiting for a replica. Thread-safe.
    void updateDemand(const WaitingRequest&, bool isWaiting);

    // Reports that a request was sent to a replica of the model. Thread-safe.
    void recordUse(const std::string& model);

    // -- queries --
    PlacementStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::placement

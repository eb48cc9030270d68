// Carries placement: tells the owner what this daemon's requests need, and acts as the owner when it holds the record.
//
// Contents
//   [1] Demand          what daemons report
//   [2] PlacementService
//
// All methods: control thread only, but for need() and used(), which any thread may call.
#pragma once

#include <memory>

#include "fleet/Fleet.h"
#include "placement/PlacementPlanner.h"
#include "resources/Catalog.h"

namespace rattanshunt::placement {

// ---- [1] Demand --------------------------------------------------------------------------------

// Requests of one daemon that wait for a model without a loaded replica.
struct WaitingRequest {
    std::string model; // or adapter
    std::string account;
    resources::PriorityClass priority = resources::PriorityClass::Normal;
    base::TimePoint since {};
};

struct PlacementStatus {
    std::string owner;
    int64_t epoch = 0;
    bool isOwn = false;
    size_t loadsUnderWay = 0;
    double idleAcceleratorSeconds = 0;      // of all endpoints: a model loaded, no request running; owner only
    std::vector<std::string> changeHistory; // latest changes with their reasons, newest last
};

// ---- [2] PlacementService ----------------------------------------------------------------------

class PlacementService {
public:
    PlacementService(fleet::Fleet&, const PlacementOptions&);
    ~PlacementService();

    // -- commands --
    void start();
    void release(); // gives ownership up; suspends
    void stop();
    void setCatalog(std::shared_ptr<const resources::Catalog>);

    // A request waits for a replica (`isWaiting`) or no longer does. Safe from any thread.
    void updateDemand(const WaitingRequest&, bool isWaiting);

    // A request for a model was sent to a replica. Safe from any thread.
    void recordUse(const std::string& model);

    // -- queries --
    PlacementStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::placement

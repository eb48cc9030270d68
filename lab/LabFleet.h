// A small fleet in one process, for scenarios and tests: daemons on threads of their own, and a simulated platform,
// engines and services that share one thread.
//
// Contents
//   [1] Plans           what a fleet consists of
//   [2] LabFleet        starts the fleet, injects faults, reads states
//
// kill() ends a daemon without notice to its peers; freeze() suspends all its threads, like a stopped process.
// Thread safety: call all methods in fibers of the loop that the LabFleet was created with. Methods that call daemons
// or stand-ins over HTTP suspend the fiber.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "EngineStandIn.h"
#include "Load.h"
#include "PlatformStandIn.h"
#include "ServiceStandIn.h"
#include "cli/Daemon.h"
#include "coordination/InstanceList.h"

namespace rattanshunt::lab {

// ---- [1] Plans ---------------------------------------------------------------------------------

struct EnginePlan {
    EngineStandInOptions options; // `options.id` is its name
    std::string pool = "drafter";
    std::string dataCenter = "dc-1";
};

struct FleetPlan {
    size_t daemonCount = 1;
    size_t dataCenterCount = 1;
    settings::Settings settings; // of each daemon; addresses, names and data centres are filled in
    PlatformStandInOptions platform;
    std::vector<EnginePlan> engines;
    std::map<std::string, std::string> servicePools; // pool by service name
};

// Settings with short intervals and timeouts, for tests.
settings::Settings labSettings();

// ---- [2] LabFleet ------------------------------------------------------------------------------

class LabFleet {
public:
    LabFleet(net::Loop&, FleetPlan);
    ~LabFleet();

    // Starts everything and waits until all daemons are ready and know all endpoints. Returns false if that takes
    // longer than `limit` or an address could not be bound.
    bool start(base::Duration limit = base::Seconds(20));

    // -- daemons, by name: d1, d2, ... --
    void startDaemon(const std::string& name);
    bool waitReady(const std::string& name, base::Duration limit);
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    int stopGracefully(const std::string& name); // waits until it has ended and returns its exit code; suspends
    void listAsGone(const std::string& name);    // the platform lists its instance as gone
    std::vector<std::string> runningDaemons() const;
    cli::DaemonAddresses addresses(const std::string& name) const;

    // -- stand-ins --
    void setPlatformFaults(const nlohmann::json&);
    void setEngineFaults(const std::string& id, const nlohmann::json&);
    void setServiceFaults(const std::string& name, const nlohmann::json&);
    void setEngineState(const std::string& id, coordination::InstanceState); // in the instance list
    void evict(const std::string& id);                                       // crashes the engine and lists it as gone

    // Crashes an engine and starts a new one at its address, with another boot identifier.
    void restartEngine(const std::string& id);

    nlohmann::json engineState(const std::string& id);
    std::vector<std::string> engineIds() const;
    std::map<std::string, int> serviceRunCounts(); // number of runs by call, over all services
    bool hasEndpointReceivedKey();
    nlohmann::json platformCallCounts();
    std::map<std::string, base::Address> standInAddresses() const; // by name; the platform is "platform"

    // -- operators' calls; status 0 and the error's name as body if there was no response --
    net::HttpResponse adminCall(const std::string& daemon, const std::string& method, const std::string& target,
        const nlohmann::json& body = nullptr);

    // Returns the key's secret; empty on failure.
    std::string createKey(const std::string& daemon, const std::string& name, const std::string& account);

    // Polls until `condition` holds. Returns false after `limit`. Suspends.
    bool waitUntil(const std::function<bool()>& condition, base::Duration limit);

private:
    struct StandInThread;
    struct DaemonState;

    net::HttpResponse call(const base::Address&, const net::HttpRequest&, base::Duration limit = base::Seconds(5));
    bool hasListedEndpoints(const std::string& daemon);
    void registerInstance(const coordination::Instance&);
    settings::Settings daemonSettings(const std::string& name, size_t number) const;

    net::Loop& m_loop;
    FleetPlan m_plan;
    std::unique_ptr<StandInThread> m_standInThread;
    std::map<std::string, DaemonState> m_daemons;
    base::Address m_platformAddress;
    std::map<std::string, coordination::Instance> m_instances;
};

} // namespace rattanshunt::lab

// A whole small fleet in one process: stand-ins and daemons on threads of their own, for scenarios and tests.
//
// Contents
//   [1] Plans           what to start
//   [2] LabFleet        starts it, breaks it, asks it
//
// Faults: kill() ends a daemon without a word to anybody; freeze() holds all its threads still, as a paused process.
// All methods: from the loop of the thread that made the LabFleet. Those that ask over HTTP suspend.
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
    EngineStandInOptions options; // `options.id` names it
    std::string pool = "drafter";
    std::string dataCenter = "dc-1";
};

struct FleetPlan {
    size_t daemonCount = 1;
    size_t dataCenterCount = 1;
    settings::Settings settings; // addresses, names and data centres are filled in
    PlatformStandInOptions platform;
    std::vector<EnginePlan> engines;
    std::map<std::string, std::string> servicePools; // pool by name
};

// Settings with short times, for tests.
settings::Settings labSettings();

// ---- [2] LabFleet ------------------------------------------------------------------------------

class LabFleet {
public:
    LabFleet(net::Loop&, FleetPlan);
    ~LabFleet();

    // Starts everything and waits until all daemons are ready. False if that takes longer than `limit`.
    bool start(base::Duration limit = base::Seconds(20));

    // -- daemons, by name: d1, d2, ... --
    void startDaemon(const std::string& name);
    bool waitReady(const std::string& name, base::Duration limit);
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    int stopGracefully(const std::string& name); // waits for the end; suspends
    void listAsGone(const std::string& name);    // the platform lists its instance as gone
    std::vector<std::string> runningDaemons() const;
    cli::DaemonAddresses addresses(const std::string& name) const;

    // -- stand-ins --
    void setPlatformFaults(const nlohmann::json&);
    void setEngineFaults(const std::string& id, const nlohmann::json&);
    void setServiceFaults(const std::string& name, const nlohmann::json&);
    void setEngineState(const std::string& id, coordination::InstanceState); // in the instance list
    void evict(const std::string& id);                                       // ends the engine and lists it as gone
    void restartEngine(const std::string& id);                               // a new boot at the same address
    nlohmann::json engineState(const std::string& id);
    std::vector<std::string> engineIds() const;
    std::map<std::string, int> serviceRunCounts(); // by call, over all services
    bool hasEndpointReceivedKey();
    nlohmann::json platformCallCounts();
    std::map<std::string, base::Address> standInAddresses() const; // by name, with "platform"

    // -- operators --
    net::HttpResponse adminCall(const std::string& daemon, const std::string& method, const std::string& target,
        const nlohmann::json& body = nullptr);
    std::string createKey(const std::string& daemon, const std::string& name, const std::string& account); // the secret

    // Waits until `condition` holds, looking every few milliseconds. Suspends.
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

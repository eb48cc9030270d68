// Internal to the scenarios: executes the commands of one script on a LabFleet.
//
// Commands are in ScenarioRunner.cpp (set-up, load, faults) and ScenarioExpect.cpp (wait, expect).
// Thread safety: call in a fiber of the loop; commands suspend it.
#pragma once

#include "Scenario.h"

#include <set>
#include <sstream>

#include "LabFleet.h"

namespace rattanshunt::lab {

using nlohmann::json;

struct RunningLoad {
    LoadPlan plan;
    LoadResult result;
    bool isDone = false;
};

class ScenarioRunner {
public:
    ScenarioRunner(net::Loop& loop, ScenarioResult& result)
        : m_loop(loop)
        , m_result(result)
        , m_startedAt(base::Clock::now())
    {
        m_plan.settings = labSettings();
    }

    ~ScenarioRunner()
    {
        for (auto& [name, load] : m_loads)
            waitForLoad(*load);
    }

    void run(const ScenarioCommand& command);

private:
    // ---- Helpers -----------------------------------------------------------------------------

    void addTrace(const std::string& text);
    void fail(const std::string& text);

    std::string option(const std::string& name, const std::string& defaultValue = "") const;

    double numberOption(const std::string& name, double defaultValue) const;
    LabFleet& fleet();

    // A daemon that is running and not suspended, for operator commands. Throws if there is none.
    std::string anyDaemon();

    std::string joinArguments(size_t firstIndex) const;

    // ---- Commands ----------------------------------------------------------------------------

    void dispatch(const ScenarioCommand& command);
    void dispatchFault(const std::string& name, const std::string& firstArgument);

    json faultFromOptions() const;
    void configureFleet();
    void addEngine(const std::string& id);
    void start();
    void apply(const std::string& kind, const std::string& name, const std::string& text);
    void refuseApply();
    void createKey(const std::string& name);
    void withdraw(const std::string& name);
    LoadKind kindFromOptions(const std::string& name);
    std::vector<base::Address> targets();
    void runInBackground(const std::string& name, const std::shared_ptr<RunningLoad>& load);
    void startLoad(const std::string& name);

    // The first `drafters` models are high-priority ones in pool drafter, the others normal ones in pool dispatch.
    void applyStormModels(int count);

    // Starts one load with a kind for each model. The kinds share a name, so one tally counts them all.
    void startStorm(const std::string& name);
    static void waitForLoad(RunningLoad& load);
    const LoadTally& waitForTally(const std::string& name);

    // Sends every call of a load again with its idempotency key and counts the responses by status.
    void repeatCalls(const std::string& name);

    // ---- Waiting and expecting ---------------------------------------------------------------

    void waitFor(const std::string& what, const std::function<bool()>& condition);
    json apiGet(const std::string& target);
    std::string refusalReason(const std::string& key, const std::string& daemon);
    bool allDaemonsRespond(const std::string& key, const std::string& reason);
    size_t replicaCount(const std::string& model);
    void wait();
    bool areSlotsHeld();
    void expect();
    void expectRepeats();
    void expectNoOvercommit();
    void expectRunsOnce(const std::string& name);
    void checkCount(const std::string& what, int64_t actual, const std::string& expected, int64_t all);
    void expectLoad(const std::string& name);

    net::Loop& m_loop;
    ScenarioResult& m_result;
    base::TimePoint m_startedAt;
    const ScenarioCommand* m_command = nullptr;
    FleetPlan m_plan;
    std::unique_ptr<LabFleet> m_fleet;
    std::map<std::string, std::string> m_apiKeys;
    std::map<std::string, std::shared_ptr<RunningLoad>> m_loads;
    std::map<std::string, int> m_repeatCounts;
    std::set<std::string> m_frozenDaemons;
};

} // namespace rattanshunt::lab

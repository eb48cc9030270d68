// Internal to the scenarios: carries out one script on a small fleet. Own thread only; commands suspend.
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

    std::string option(const std::string& name, const std::string& otherwise = "") const;

    double numberOption(const std::string& name, double otherwise) const;
    LabFleet& fleet();

    // A daemon that runs; operators' commands go there.
    std::string anyDaemon();

    std::string joinArguments(size_t firstWord) const;

    // ---- Commands ----------------------------------------------------------------------------

    void dispatch(const ScenarioCommand& command);
    void dispatchFault(const std::string& name, const std::string& first);

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

    // The first `drafters` models are bulletins' in pool drafter, the others in pool dispatch.
    void applyStormModels(int count);

    // One load with a kind for each model; the kinds share a name, so that one tally counts them all.
    void startStorm(const std::string& name);
    static void waitForLoad(RunningLoad& load);
    const LoadTally& waitForTally(const std::string& name);

    // Sends every call of a load again, with the same idempotency keys; counts stored answers and truthful
    // refusals.
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
    void checkCount(const std::string& what, int64_t actual, const std::string& wanted, int64_t all);
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

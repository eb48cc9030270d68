#include "Explorer.h"

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_map>

#include "base/Text.h"

namespace rattanshunt::lab {

namespace {

    struct Visited {
        std::string parent;
        std::string action;
    };

    std::vector<std::string> traceTo(
        const std::unordered_map<std::string, Visited>& visited, std::string key, const std::string& start)
    {
        std::vector<std::string> trace;
        while (key != start) {
            const Visited& step = visited.at(key);
            trace.push_back(step.action);
            key = step.parent;
        }
        std::reverse(trace.begin(), trace.end());
        return trace;
    }

    void walkRandomly(const ExplorerModel& start, const ExplorerLimits& limits, ExplorerResult& result)
    {
        std::mt19937_64 random(limits.seed);
        for (size_t walk = 0; walk < limits.randomWalks && result.violation.empty(); ++walk) {
            auto model = start.clone();
            std::vector<std::string> trace;
            for (size_t step = 0; step < limits.randomWalkSteps; ++step) {
                auto actions = model->actions();
                if (actions.empty())
                    break;
                trace.push_back(actions[random() % actions.size()]);
                model->perform(trace.back());
                if (auto broken = model->violation(); !broken.empty()) {
                    result.violation = broken;
                    result.trace = trace;
                    return;
                }
            }
        }
    }

} // namespace

ExplorerResult explore(const ExplorerModel& start, const ExplorerLimits& limits)
{
    ExplorerResult result;
    std::unordered_map<std::string, Visited> visited;
    struct Open {
        std::unique_ptr<ExplorerModel> model;
        std::string key;
        size_t depth;
    };
    std::deque<Open> open;
    std::string startKey = start.stateKey();
    visited[startKey] = {};
    open.push_back({ start.clone(), startKey, 0 });
    result.isComplete = true;
    while (!open.empty()) {
        Open current = std::move(open.front());
        open.pop_front();
        result.depthReached = std::max(result.depthReached, current.depth);
        if (current.depth >= limits.maxDepth)
            continue;
        for (const std::string& action : current.model->actions()) {
            auto next = current.model->clone();
            next->perform(action);
            std::string key = next->stateKey();
            if (!visited.try_emplace(key, Visited { current.key, action }).second)
                continue;
            if (auto broken = next->violation(); !broken.empty()) {
                result.violation = broken;
                result.trace = traceTo(visited, key, startKey);
                result.stateCount = visited.size();
                return result;
            }
            if (visited.size() >= limits.maxStates) {
                result.isComplete = false;
                open.clear();
                break;
            }
            open.push_back({ std::move(next), std::move(key), current.depth + 1 });
        }
    }
    result.stateCount = visited.size();
    walkRandomly(start, limits, result);
    return result;
}

} // namespace rattanshunt::lab

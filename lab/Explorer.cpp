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

    std::vector<std::string> traceFromStart(
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

    void runRandomWalks(const ExplorerModel& start, const ExplorerLimits& limits, ExplorerResult& result)
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
                if (auto violation = model->violation(); !violation.empty()) {
                    result.violation = violation;
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
    struct SearchNode {
        std::unique_ptr<ExplorerModel> model;
        std::string key;
        size_t depth;
    };
    std::deque<SearchNode> frontier;
    std::string startKey = start.stateKey();
    visited[startKey] = {};
    frontier.push_back({ start.clone(), startKey, 0 });
    result.isComplete = true;
    while (!frontier.empty()) {
        SearchNode node = std::move(frontier.front());
        frontier.pop_front();
        result.depthReached = std::max(result.depthReached, node.depth);
        if (node.depth >= limits.maxDepth)
            continue;
        for (const std::string& action : node.model->actions()) {
            auto next = node.model->clone();
            next->perform(action);
            std::string key = next->stateKey();
            if (!visited.try_emplace(key, Visited { node.key, action }).second)
                continue;
            if (auto violation = next->violation(); !violation.empty()) {
                result.violation = violation;
                result.trace = traceFromStart(visited, key, startKey);
                result.stateCount = visited.size();
                return result;
            }
            if (visited.size() >= limits.maxStates) {
                result.isComplete = false;
                frontier.clear();
                break;
            }
            frontier.push_back({ std::move(next), std::move(key), node.depth + 1 });
        }
    }
    result.stateCount = visited.size();
    runRandomWalks(start, limits, result);
    return result;
}

} // namespace rattanshunt::lab

#include "spill/SpillPlan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattanshunt::spill {

namespace {

    constexpr double stepsPerDataCenter = 32; // parts in which a data centre's demand is sent away
    constexpr double minStep = 0.02;          // slots; smaller parts only cost time
    constexpr double minCreditThreshold = 0.05;
    constexpr double maxCredit = 2; // bounds how much is sent at once after a time without suitable requests

    // The slots that take others' work. What is known of them loses value with its age.
    double importSlots(const DataCenterState& state, const SpillOptions& options)
    {
        base::Duration over = std::max<base::Duration>(base::Duration(0), state.age - options.trustedAge);
        return options.importLimit * state.slots
            * std::exp2(-base::secondsOf(over) / base::secondsOf(options.capacityHalfLife));
    }

    // Work in slots, by the index of the data centre that sends it and of the one that gets it.
    using Moves = std::vector<std::vector<double>>;

    Moves movesOf(const WorkGroup& group, const SpillShares& shares)
    {
        size_t count = group.dataCenters.size();
        Moves moves(count, std::vector<double>(count, 0));
        for (size_t i = 0; i < count; ++i) {
            for (size_t j = 0; j < count; ++j) {
                auto found = shares.find({ group.dataCenters[i].dataCenter, group.dataCenters[j].dataCenter });
                if (found != shares.end())
                    moves[i][j] = found->second * group.dataCenters[i].demand;
            }
        }
        return moves;
    }

    double sentFrom(const Moves& moves, size_t i)
    {
        double sum = 0;
        for (double move : moves[i])
            sum += move;
        return sum;
    }

    double receivedBy(const Moves& moves, size_t j)
    {
        double sum = 0;
        for (const std::vector<double>& row : moves)
            sum += row[j];
        return sum;
    }

    double transferLoss(const WorkGroup& group, double slots)
    {
        return slots / group.serviceSeconds * group.transferSeconds;
    }

    // Whether the moves could be decided on what is known now.
    bool isAllowed(const WorkGroup& group, const Moves& moves, const SpillOptions& options)
    {
        for (size_t i = 0; i < moves.size(); ++i) {
            double received = receivedBy(moves, i);
            bool isOverLimit
                = received > 0 && group.dataCenters[i].demand + received > importSlots(group.dataCenters[i], options);
            bool isExchange = received > 0 && sentFrom(moves, i) > 0;
            bool isTooOld = sentFrom(moves, i) > 0 && group.dataCenters[i].age > options.maxAge;
            if (isOverLimit || isExchange || isTooOld)
                return false;
        }
        return true;
    }

    Moves bestMoves(const WorkGroup& group, const SpillOptions& options)
    {
        const std::vector<DataCenterState>& states = group.dataCenters;
        size_t count = states.size();
        Moves moves(count, std::vector<double>(count, 0));
        std::vector<double> served; // demand that each data centre's replicas get
        served.reserve(count);
        for (const DataCenterState& state : states)
            served.push_back(state.demand);
        auto loss = [&](size_t i, double demand) {
            return callersLoss(demand, states[i].slots, group.serviceSeconds, options);
        };
        while (true) {
            double bestGain = 0;
            double bestStep = 0;
            size_t from = 0;
            size_t to = 0;
            for (size_t i = 0; i < count; ++i) {
                double step = std::min(served[i], std::max(minStep, states[i].demand / stepsPerDataCenter));
                if (step <= 1e-9 || states[i].age > options.maxAge || receivedBy(moves, i) > 0)
                    continue;
                double gainHere = loss(i, served[i]) - loss(i, served[i] - step) - transferLoss(group, step);
                for (size_t j = 0; j < count && gainHere > 0; ++j) {
                    if (j == i || sentFrom(moves, j) > 0 || served[j] + step > importSlots(states[j], options))
                        continue;
                    double gain = (gainHere - loss(j, served[j] + step) + loss(j, served[j])) / step;
                    if (gain > bestGain) {
                        bestGain = gain;
                        bestStep = step;
                        from = i;
                        to = j;
                    }
                }
            }
            if (bestStep <= 0)
                return moves;
            moves[from][to] += bestStep;
            served[from] -= bestStep;
            served[to] += bestStep;
        }
    }

    double benefitOf(const WorkGroup& group, const Moves& moves, const SpillOptions& options)
    {
        double benefit = 0;
        for (size_t i = 0; i < moves.size(); ++i) {
            const DataCenterState& state = group.dataCenters[i];
            double sent = sentFrom(moves, i);
            double served = state.demand - sent + receivedBy(moves, i);
            benefit += callersLoss(state.demand, state.slots, group.serviceSeconds, options)
                - callersLoss(served, state.slots, group.serviceSeconds, options) - transferLoss(group, sent);
        }
        return benefit;
    }

} // namespace

// ---- Plan --------------------------------------------------------------------------------------

double demandSmooth(double before, double counted, base::Duration elapsed, const SpillOptions& options)
{
    double weight = std::exp(-base::secondsOf(std::max<base::Duration>(base::Duration(0), elapsed))
        / base::secondsOf(options.demandTimeConstant));
    return before * weight + counted * (1 - weight);
}

double callersLoss(double demand, double slots, double serviceSeconds, const SpillOptions& options)
{
    double perSecond = 1 / std::max(1e-3, serviceSeconds);
    double inTime = std::min(demand, options.fullAt * slots);
    double lost = (demand - inTime) * perSecond * options.lostSeconds;
    if (inTime <= 0)
        return lost;
    // Mean wait in a queue with several servers, by Sakasegawa's approximation.
    double load = inTime / slots;
    double wait = serviceSeconds / slots * std::pow(load, std::sqrt(2 * (slots + 1)) - 1) / (1 - load);
    return lost + inTime * perSecond * std::min(wait, options.lostSeconds);
}

double spillBenefit(const WorkGroup& group, const SpillShares& shares, const SpillOptions& options)
{
    return benefitOf(group, movesOf(group, shares), options);
}

SpillShares spillPlan(const WorkGroup& group, const SpillShares& inForce, const SpillOptions& options)
{
    Moves moves = bestMoves(group, options);
    Moves movesInForce = movesOf(group, inForce);
    if (!inForce.empty() && isAllowed(group, movesInForce, options)) {
        double changed = 0;
        for (size_t i = 0; i < moves.size(); ++i) {
            for (size_t j = 0; j < moves.size(); ++j)
                changed += std::abs(moves[i][j] - movesInForce[i][j]);
        }
        double gain = benefitOf(group, moves, options) - benefitOf(group, movesInForce, options);
        if (gain <= options.changeCost * transferLoss(group, changed))
            return inForce;
    }
    SpillShares shares;
    for (size_t i = 0; i < moves.size(); ++i) {
        for (size_t j = 0; j < moves.size(); ++j) {
            if (moves[i][j] > 0)
                shares[{ group.dataCenters[i].dataCenter, group.dataCenters[j].dataCenter }]
                    = moves[i][j] / group.dataCenters[i].demand;
        }
    }
    return shares;
}

// ---- Requests ----------------------------------------------------------------------------------

double transferSeconds(const TransferCost& cost, const SpillOptions& options)
{
    return cost.megabytes * options.costPerMb + base::secondsOf(options.delay)
        + cost.cachedTokens * options.cachedTokenSeconds;
}

std::map<std::string, double> reachableShares(std::map<std::string, double> shares,
    const std::map<std::string, DataCenterKnowledge>& known, const SpillOptions& options)
{
    std::erase_if(shares, [&](const auto& item) {
        auto found = known.find(item.first);
        return found == known.end() || found->second.meanFailures >= options.maxMeanFailures;
    });
    return shares;
}

std::string spillTarget(
    SpillCredits& credits, const std::map<std::string, double>& shares, double relativeCost, double draw)
{
    std::erase_if(credits, [&](const auto& item) { return !shares.contains(item.first); });
    std::string target;
    double best = 0;
    for (const auto& [dataCenter, share] : shares) {
        auto [credit, isNew] = credits.try_emplace(dataCenter, draw - 0.5);
        credit->second = std::min(maxCredit, credit->second + share);
        if (target.empty() || credit->second > best) {
            target = dataCenter;
            best = credit->second;
        }
    }
    if (target.empty() || best < std::clamp(0.5 * relativeCost, minCreditThreshold, maxCredit))
        return {};
    credits[target] -= 1;
    return target;
}

double dataCenterCost(std::string_view dataCenter, const DataCenterChoice& choice, const DataCenterKnowledge& known,
    double fixedCost, const SpillOptions& options)
{
    bool isOwn = dataCenter == choice.own;
    if (!spillIsOn(options) || (!choice.hasLocalReplica && choice.target.empty()))
        return isOwn ? 0 : fixedCost;
    if (isOwn)
        return choice.target.empty() ? 0 : options.elsewhereCost;
    if (dataCenter == choice.target && known.load < options.fullAt)
        return 0;
    // The own replicas may be full for a moment that the plan does not see.
    bool hasRoom = known.load < options.importLimit && known.meanFailures < options.maxMeanFailures;
    if (hasRoom || !choice.hasLocalReplica)
        return options.overflowCost;
    return std::numeric_limits<double>::infinity();
}

} // namespace rattanshunt::spill

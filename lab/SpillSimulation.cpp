#include "SpillSimulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include "gateway/ReplicaSelection.h"

namespace rattanshunt::lab {

using namespace spill;

namespace {

    constexpr size_t centers = spillCenters;
    constexpr size_t replicasPerCenter = 4;
    constexpr double slotsPerReplica = spillCenterSlots / replicasPerCenter;
    constexpr double tick = 0.05; // seconds
    const std::string names[centers] = { "dc-a", "dc-b", "dc-c" };

    struct Request {
        size_t center = 0;
        double arrivedAt = 0;
        std::string target;
    };

    struct Running {
        size_t center = 0; // of the caller
        double endsAt = 0;
    };

    using Snapshot = std::vector<std::vector<double>>; // by replica: requests of each data centre's callers

} // namespace

SpillOptions spillSimulationOptions()
{
    SpillOptions options;
    options.costPerMb = 0.2;
    options.delay = base::Millis(5);
    return options;
}

SpillOutcome simulateSpill(const SpillLoad& load, bool isPlanned, uint64_t seed)
{
    SpillOptions options = spillSimulationOptions();
    std::mt19937_64 random(seed);
    std::mt19937_64 arrivalRandom(seed + 1); // the same arrivals for each way of deciding
    std::uniform_real_distribution<double> uniform(0, 1);
    gateway::ReplicaSelectionOptions selection;
    std::vector<std::vector<Running>> replicas(centers * replicasPerCenter);
    std::vector<std::string> ids;
    for (size_t r = 0; r < replicas.size(); ++r)
        ids.push_back("replica-" + std::to_string(r));
    std::vector<std::vector<double>> failures(centers, std::vector<double>(replicas.size(), 0));
    std::deque<Request> waiting;
    std::deque<std::pair<Snapshot, std::vector<double>>> past; // with the demand of each data centre
    std::vector<SpillCredits> credits(centers);
    SpillShares shares;
    std::vector<double> smoothed(centers, 0);
    SpillOutcome outcome;
    std::vector<std::vector<double>> sent(centers, std::vector<double>(centers, 0));
    std::vector<double> lostInWindow(centers, 0);
    auto runningOf = [&](size_t replica, size_t center) {
        return static_cast<double>(std::count_if(replicas[replica].begin(), replicas[replica].end(),
            [&](const Running& running) { return running.center == center; }));
    };
    auto isWorking = [&](size_t replica, double now) {
        return static_cast<double>(replica % replicasPerCenter)
            < load.working(replica / replicasPerCenter, now) * replicasPerCenter - 0.01;
    };
    auto place = [&](const Request& request, double now) {
        const Snapshot& known = past.front().first;
        std::map<std::string, DataCenterKnowledge> knowledge;
        std::vector<gateway::ReplicaCandidate> candidates;
        std::vector<size_t> indexes;
        for (size_t r = 0; r < replicas.size(); ++r) {
            if (!isWorking(r, now))
                continue;
            gateway::ReplicaCandidate candidate;
            candidate.id = ids[r];
            candidate.slots = slotsPerReplica;
            for (double count : known[r])
                candidate.reportedInFlight += count;
            candidate.ownInFlight = runningOf(r, request.center);
            candidate.ownInFlightAtReport = known[r][request.center];
            candidate.failureScore = failures[request.center][r];
            candidate.hasIdleConnection = true;
            double weight = 1 / (replicasPerCenter * load.working(r / replicasPerCenter, now));
            knowledge[names[r / replicasPerCenter]].load += gateway::replicaLoad(candidate, selection) * weight;
            knowledge[names[r / replicasPerCenter]].meanFailures += candidate.failureScore * weight;
            candidates.push_back(candidate);
            indexes.push_back(r);
        }
        for (size_t i = 0; i < candidates.size(); ++i) {
            size_t center = indexes[i] / replicasPerCenter;
            candidates[i].dataCenterCost
                = dataCenterCost(names[center], { names[request.center], request.target, true },
                    knowledge[names[center]], selection.otherDataCenterCost, isPlanned ? options : SpillOptions {});
        }
        auto chosen = gateway::replicaSelect(candidates, { 0, random() }, selection);
        if (!chosen)
            return false;
        size_t center = indexes[*chosen] / replicasPerCenter;
        if (load.isCut(request.center, center)) {
            failures[request.center][indexes[*chosen]] += 1;
            outcome.failedAttempts += 1;
            return false;
        }
        if (static_cast<double>(replicas[indexes[*chosen]].size()) >= slotsPerReplica)
            return false; // refused there
        replicas[indexes[*chosen]].push_back({ request.center, now + 0.5 + uniform(random) });
        sent[request.center][center] += 1;
        outcome.crossed += center != request.center;
        outcome.crossedLate += center != request.center && now > load.seconds * 0.75;
        return true;
    };
    auto endWindow = [&] {
        for (size_t i = 0; i < centers; ++i) {
            double received = 0;
            for (size_t j = 0; j < centers; ++j) {
                received += j == i ? 0 : sent[j][i];
                outcome.exchanged += j < i ? std::min(sent[i][j], sent[j][i]) : 0;
            }
            outcome.displaced += std::min(received, lostInWindow[i]);
            lostInWindow[i] = 0;
        }
        for (auto& row : sent)
            std::fill(row.begin(), row.end(), 0);
    };
    for (int step = 0; step * tick < load.seconds; ++step) {
        double now = step * tick;
        for (auto& replica : replicas)
            std::erase_if(replica, [&](const Running& running) { return running.endsAt <= now; });
        Snapshot snapshot(replicas.size(), std::vector<double>(centers, 0));
        std::vector<double> demand(centers, 0);
        for (size_t r = 0; r < replicas.size(); ++r) {
            for (size_t c = 0; c < centers; ++c)
                demand[c] += snapshot[r][c] = runningOf(r, c);
        }
        for (const Request& request : waiting)
            demand[request.center] += 1;
        past.emplace_back(snapshot, demand);
        if (static_cast<double>(past.size()) * tick > load.lag)
            past.pop_front();
        if (isPlanned && step % 10 == 0) {
            WorkGroup group { {}, 1, transferSeconds({ 0.1, 0 }, options) };
            for (size_t c = 0; c < centers; ++c) {
                smoothed[c] = demandSmooth(smoothed[c], past.front().second[c], base::Millis(500), options);
                group.dataCenters.push_back({ names[c], load.working(c, now - load.lag) * spillCenterSlots, smoothed[c],
                    base::durationOf(load.lag) });
            }
            SpillShares next = spillPlan(group, shares, options);
            outcome.planChanges += next.empty() != shares.empty();
            shares = next;
        }
        for (auto& row : failures) {
            for (double& score : row)
                score *= std::exp2(-tick / 2.5);
        }
        for (size_t c = 0; c < centers; ++c) {
            std::map<std::string, double> ownShares;
            std::map<std::string, DataCenterKnowledge> known;
            for (size_t r = 0; r < replicas.size(); ++r)
                known[names[r / replicasPerCenter]].meanFailures += failures[c][r] / replicasPerCenter;
            for (const auto& [link, share] : shares) {
                if (link.first == names[c])
                    ownShares[link.second] = share;
            }
            ownShares = reachableShares(ownShares, known, options);
            std::poisson_distribution<int> arrivals(load.demand(c, now) * tick);
            for (int i = arrivals(arrivalRandom); i > 0; --i) {
                outcome.arrived += 1;
                waiting.push_back({ c, now, spillTarget(credits[c], ownShares, 1, uniform(random)) });
            }
        }
        std::deque<Request> stillWaiting;
        for (const Request& request : waiting) {
            if (now - request.arrivedAt > 2) {
                outcome.lost += 1;
                lostInWindow[request.center] += 1;
            } else if (!place(request, now)) {
                stillWaiting.push_back(request);
            }
        }
        waiting.swap(stillWaiting);
        if (step % 40 == 39)
            endWindow();
    }
    return outcome;
}

} // namespace rattanshunt::lab

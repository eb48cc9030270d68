// Sending work to other data centres: simulated load on the functions that decide, without a network.
#include <cmath>
#include <deque>
#include <functional>
#include <random>

#include "Support.h"
#include "gateway/ReplicaSelection.h"
#include "spill/SpillPlan.h"

using namespace rattanshunt;
using namespace rattanshunt::spill;

namespace {

constexpr size_t centers = 3;
constexpr size_t replicasPerCenter = 4;
constexpr double slotsPerReplica = 8;
constexpr double centerSlots = replicasPerCenter * slotsPerReplica;
constexpr double tick = 0.05; // seconds
const std::string names[centers] = { "dc-a", "dc-b", "dc-c" };

SpillOptions testOptions()
{
    SpillOptions options;
    options.costPerMb = 0.2;
    options.delay = base::Millis(5);
    return options;
}

// One daemon per data centre, requests of about 1 s and 0.1 MB, callers that wait for 2 s. What is known of other
// daemons' requests is `lag` seconds old.
struct Load {
    std::function<double(size_t center, double now)> demand; // of its own callers, in slots
    std::function<double(size_t center, double now)> working = [](size_t, double) { return 1.0; }; // part of its slots
    std::function<bool(size_t from, size_t to)> isCut = [](size_t, size_t) { return false; };
    double lag = 0.3;
    double seconds = 60;
};

struct Outcome {
    double arrived = 0;
    double lost = 0;
    double crossed = 0;        // served in another data centre
    double crossedLate = 0;    // of them, after 3/4 of the time
    double exchanged = 0;      // within 2 s, requests that two data centres sent each other
    double displaced = 0;      // own callers of a data centre lost within 2 s of work for others there
    double failedAttempts = 0; // over a link that is cut
    int planChanges = 0;       // times that sending away begins or ends
};

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

Outcome simulate(const Load& load, bool isPlanned, const SpillOptions& options = testOptions())
{
    std::mt19937_64 random(7);
    std::mt19937_64 arrivalRandom(8); // the same arrivals for each way of deciding
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
    Outcome outcome;
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
                group.dataCenters.push_back({ names[c], load.working(c, now - load.lag) * centerSlots, smoothed[c],
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

} // namespace

// Each load is played with the plan and with the fixed cost, which must fail the same conditions.
#define expectOnlyThePlan(load, holds)                                                                                 \
    do {                                                                                                               \
        cr_expect((holds)(simulate(load, true)));                                                                      \
        cr_expect(!(holds)(simulate(load, false)));                                                                    \
    } while (false)

// Guards against work leaving a data centre that has room for it, and against two data centres exchanging work, while
// demand shifts between them by turns.
Test(spill, sends_away_what_exceeds_the_own_replicas_while_demand_shifts)
{
    Load load;
    load.demand = [](size_t c, double now) {
        return centerSlots * (static_cast<size_t>(now / 10) % centers == c ? 1.15 : 0.5);
    };
    expectOnlyThePlan(load, [](const Outcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.crossed <= 0.25 * outcome.arrived
            && outcome.exchanged <= 0.02 * outcome.arrived && outcome.planChanges <= 6;
    });
}

// Guards against callers of the other data centres losing their replicas to those of one that lost half of its own.
Test(spill, a_data_center_that_loses_replicas_is_helped_without_displacing_others)
{
    Load load;
    load.demand = [](size_t c, double) { return centerSlots * (c == 0 ? 0.85 : 0.55); };
    load.working = [](size_t c, double now) { return c == 0 && now > 20 ? 0.5 : 1.0; };
    expectOnlyThePlan(load, [](const Outcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.displaced == 0
            && outcome.crossed <= 0.3 * outcome.arrived && outcome.planChanges <= 4;
    });
}

// Guards against transfers that serve nobody: what leaves a full data centre displaces work in another full one.
Test(spill, full_data_centers_keep_their_work)
{
    Load load;
    load.demand = [](size_t, double) { return centerSlots * 1.15; };
    expectOnlyThePlan(load, [](const Outcome& outcome) {
        return outcome.crossed <= 0.04 * outcome.arrived && outcome.displaced <= 0.03 * outcome.arrived
            && outcome.exchanged <= 0.01 * outcome.arrived;
    });
}

// Guards against filling other data centres by figures that no longer hold.
Test(spill, figures_that_are_seconds_old_displace_nobody)
{
    Load load;
    load.demand = [](size_t c, double now) {
        return centerSlots * (static_cast<size_t>(now / 10) % centers == c ? 1.15 : 0.5);
    };
    load.lag = 3;
    expectOnlyThePlan(load, [](const Outcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.displaced == 0
            && outcome.crossed <= 0.2 * outcome.arrived && outcome.exchanged <= 0.01 * outcome.arrived;
    });
}

// Guards against work being sent over a link that is cut again and again, or being lost although a third data centre
// has room.
Test(spill, a_cut_link_is_avoided)
{
    Load load;
    load.demand = [](size_t c, double) { return centerSlots * (c == 0 ? 1.15 : 0.5); };
    load.isCut = [](size_t from, size_t to) { return from + to == 1; };
    expectOnlyThePlan(load, [](const Outcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.failedAttempts <= 0.03 * outcome.arrived
            && outcome.crossed <= 0.2 * outcome.arrived;
    });
}

// Guards against oscillation, and against work staying away, once a data centre has its replicas back.
Test(spill, work_returns_with_the_replicas)
{
    Load load;
    load.demand = [](size_t c, double) { return centerSlots * (c == 0 ? 0.7 : 0.5); };
    load.working = [](size_t c, double now) { return c == 0 && now > 10 && now < 30 ? 0.5 : 1.0; };
    expectOnlyThePlan(load, [](const Outcome& outcome) {
        return outcome.lost <= 0.01 * outcome.arrived && outcome.crossedLate <= 0.02 * outcome.arrived
            && outcome.planChanges <= 4;
    });
}

// Guards against shares that follow each small change of demand, and against kept shares that no longer pay.
Test(spill, a_plan_is_kept_until_a_change_gains_more_than_it_costs)
{
    SpillOptions options = testOptions();
    WorkGroup group { { { "dc-a", 32, 36, {} }, { "dc-b", 32, 8, {} } }, 1, 0.025 };
    SpillShares shares = spillPlan(group, {}, options);
    cr_assert_eq(shares.size(), 1U);
    group.dataCenters[0].demand = 35.5;
    cr_expect(spillPlan(group, shares, options) == shares);
    group.dataCenters[0].demand = 16;
    cr_expect(spillPlan(group, shares, options).empty());
    cr_expect_lt(spillBenefit(group, shares, options), 0);
    // Others' work makes way for the own callers at once.
    group.dataCenters[0].demand = 36;
    group.dataCenters[1].demand = 31;
    cr_expect(spillPlan(group, shares, options).empty());
}

// Guards against sending away long prompts with a cached prefix while there are small requests, and against a share
// that is not met when there are none.
Test(spill, cheap_requests_go_first)
{
    SpillOptions options = testOptions();
    double small = transferSeconds({ 0.01, 0 }, options);
    double cached = transferSeconds({ 0.1, 4000 }, options);
    double mean = (small + cached) / 2;
    SpillCredits credits;
    int sent[2] = {};
    for (int i = 0; i < 1000; ++i)
        sent[i % 2] += !spillTarget(credits, { { "dc-b", 0.3 } }, (i % 2 ? cached : small) / mean, 0.5).empty();
    cr_expect_geq(sent[0], 280);
    cr_expect_leq(sent[1], 20);
    int sentCached = 0;
    for (int i = 0; i < 1000; ++i)
        sentCached += !spillTarget(credits, { { "dc-b", 0.3 } }, cached / mean, 0.5).empty();
    cr_expect(sentCached >= 290 && sentCached <= 310);
}

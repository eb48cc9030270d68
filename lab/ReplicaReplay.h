// Replays many daemons that send streams to replicas whose speeds change, without a network. For tests.
// Thread safety: one thread.
#pragma once

#include <algorithm>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <vector>

#include "admission/WaitingQueue.h"
#include "base/Text.h"
#include "gateway/ReplicaSelection.h"
#include "pace/ReplicaPace.h"

namespace rattanshunt::lab {

struct ReplicaReplayOptions {
    enum class Header { Dropped, WithoutPace, WithPace } header = Header::WithPace; // what daemons read of Server-Load
    gateway::ReplicaSelectionOptions selection {};
    pace::PaceOptions pace {};
    admission::WaitingOptions waiting {};
    int daemons = 40;
    int replicas = 16;
    double requestsPerSecond = 70;
    int seconds = 40;
    unsigned seed = 1;
    int paceChangeMillis = 100;
    bool hasQueue = true;         // otherwise the first waiting request that looks for a slot takes it
    int expectedFirstEvent = 300; // milliseconds from sending, as daemons expect
    int burstFrom = 0;            // seconds
    int burstUntil = 0;
    double burstFactor = 2.4;
};

struct ReplayedKind {
    int target = 0; // milliseconds to the first event
    int leaveAfter = 0;
    int arrived = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    double heldInVain = 0; // seconds beyond an eighth of the target, of refused requests
};

struct ReplicaReplayResult {
    double busiestToMean = 0; // time average of the largest number of requests per speed, by its mean
    double firstEventP50 = 0; // milliseconds from arrival
    double firstEventP99 = 0;
    std::vector<ReplayedKind> kinds;
};

class ReplicaReplay {
public:
    explicit ReplicaReplay(const ReplicaReplayOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_replicas(static_cast<size_t>(options.replicas))
        , m_daemons(static_cast<size_t>(options.daemons))
    {
        for (size_t i = 0; i < m_replicas.size(); ++i) {
            m_replicas[i].id = "i-" + std::to_string(i);
            m_replicas[i].baseSpeed = draw(0.55, 1.2);
        }
        for (Daemon& daemon : m_daemons) {
            daemon.views.resize(m_replicas.size());
            daemon.queue = admission::WaitingQueue<Request>(options.waiting);
        }
    }

    ReplicaReplayResult run()
    {
        double untilArrival = 0;
        for (m_now = 0; m_now < m_options.seconds * 1000; ++m_now) {
            if (m_now % m_options.paceChangeMillis == 0) {
                for (Replica& replica : m_replicas)
                    replica.speed = std::clamp(replica.baseSpeed * draw(0.6, 1.4), 0.55, 1.2);
            }
            bool isBurst = m_now >= m_options.burstFrom * 1000 && m_now < m_options.burstUntil * 1000;
            untilArrival -= m_options.requestsPerSecond * (isBurst ? m_options.burstFactor : 1) / 1000;
            for (; untilArrival < 0; untilArrival += std::exponential_distribution<double>(1)(m_random))
                arrive();
            if (m_now % 1200 == 0)
                sendReports();
            for (Daemon& daemon : m_daemons)
                checkWaiting(daemon);
            for (size_t i = 0; i < m_replicas.size(); ++i)
                step(i);
            recordLoads();
        }
        ReplicaReplayResult result;
        result.busiestToMean = m_ratioSum / m_ratioCount;
        result.firstEventP50 = quantile(m_firstEvents, 0.5);
        result.firstEventP99 = quantile(m_firstEvents, 0.99);
        result.kinds = m_kinds;
        return result;
    }

private:
    struct Request {
        size_t daemon = 0;
        int arrivedAt = 0;
        size_t kind = 0;
        int checkAt = 0; // while it waits
        admission::WaitingTerms terms;
        uint64_t hash = 0;
        double prefillLeft = 0; // milliseconds of work
        double eventsLeft = 0;
        double untilEvent = 0;
    };
    struct Replica {
        std::string id;
        double baseSpeed = 1;
        double speed = 1;
        std::deque<Request> prefills;
        std::vector<Request> running;
        double inFlight() const { return static_cast<double>(prefills.size() + running.size()); }
    };
    struct View {
        double reported = 0;
        double waiting = 0;
        double own = 0;
        double ownAtReport = 0;
        double ownPrefills = 0;
        int reportedAt = -100000;
        pace::ReplicaPace pace;
    };
    struct Daemon {
        std::vector<View> views;
        std::list<Request> waiting;
        admission::WaitingQueue<Request> queue;
        bool isReleased = false; // one of its requests has ended
    };
    static constexpr double slots = 8;
    static constexpr int recheckInterval = 150;

    double draw(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    static base::BootTime timeOf(int millis) { return base::BootTime {} + base::Millis(1000000 + millis); }
    static double quantile(std::vector<double>& values, double q)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<size_t>(q * static_cast<double>(values.size() - 1))];
    }

    void arrive()
    {
        Request request;
        request.daemon = std::uniform_int_distribution<size_t>(0, m_daemons.size() - 1)(m_random);
        request.arrivedAt = m_now;
        request.hash = m_random();
        request.prefillLeft = draw(0, 1) < 0.15 ? 150 : 30;
        request.eventsLeft = draw(10, 50);
        request.kind = request.hash % m_kinds.size();
        ReplayedKind& kind = m_kinds[request.kind];
        kind.arrived += 1;
        int serviceTime = m_options.expectedFirstEvent;
        request.terms.targetAt = timeOf(m_now + kind.target - serviceTime);
        request.terms.leaveAt = timeOf(m_now + kind.leaveAfter - 150);
        Daemon& daemon = m_daemons[request.daemon];
        bool mustWait = m_options.hasQueue && daemon.queue.firstBefore(request.terms, timeOf(m_now));
        if (!mustWait && send(daemon, request))
            return;
        request.checkAt = m_now + recheckInterval;
        daemon.waiting.push_back(request);
        daemon.queue.add(daemon.waiting.back(), request.terms, true, timeOf(m_now));
    }

    void checkWaiting(Daemon& daemon)
    {
        base::BootTime now = timeOf(m_now);
        bool isDue = daemon.isReleased;
        for (Request& request : daemon.waiting) {
            isDue = isDue || request.checkAt <= m_now;
            if (request.checkAt <= m_now)
                request.checkAt += recheckInterval;
        }
        if (!isDue)
            return;
        daemon.isReleased = false;
        if (m_options.hasQueue) {
            daemon.queue.beginOffers();
            while (Request* request = daemon.queue.first(now)) {
                if (!send(daemon, *request)) {
                    daemon.queue.pass(*request, now);
                    continue;
                }
                daemon.queue.recordTaken(request->terms, now);
                daemon.queue.remove(*request, now);
                daemon.waiting.remove_if([&](const Request& each) { return &each == request; });
            }
        } else {
            daemon.waiting.sort([](const Request& a, const Request& b) { return a.hash < b.hash; });
            std::erase_if(daemon.waiting, [&](const Request& request) {
                return send(daemon, request) && (daemon.queue.remove(const_cast<Request&>(request), now), true);
            });
        }
        std::erase_if(daemon.waiting, [&](const Request& request) {
            auto expected = m_options.hasQueue ? daemon.queue.expectedWait(request.terms, now) : std::nullopt;
            if (now + expected.value_or(base::Duration(0)) < request.terms.leaveAt)
                return false;
            ReplayedKind& kind = m_kinds[request.kind];
            kind.refused += 1;
            kind.heldInVain += std::max(0.0, m_now - request.arrivedAt - kind.target / 8.0) / 1000;
            daemon.queue.remove(const_cast<Request&>(request), now);
            return true;
        });
    }

    bool send(Daemon& daemon, Request request)
    {
        std::vector<gateway::ReplicaCandidate> candidates;
        for (size_t i = 0; i < m_replicas.size(); ++i) {
            View& view = daemon.views[i];
            gateway::ReplicaCandidate candidate;
            candidate.id = m_replicas[i].id;
            candidate.slots = slots;
            candidate.reportedInFlight = view.reported;
            candidate.ownInFlight = view.own;
            candidate.ownInFlightAtReport = view.ownAtReport;
            candidate.reportAge = base::Millis(m_now - view.reportedAt);
            candidate.ownAwaitingFirstByte = view.ownPrefills;
            candidate.reportedWaiting = view.waiting;
            candidate.hasIdleConnection = true;
            if (m_options.header == ReplicaReplayOptions::Header::WithPace) {
                candidate.statesPace = true;
                double load = gateway::replicaLoad(candidate, m_options.selection);
                candidate.paceCost
                    = pace::paceCost({ view.pace, {}, load, view.ownPrefills }, timeOf(m_now), m_options.pace);
            }
            candidates.push_back(candidate);
        }
        auto chosen = gateway::replicaSelect(candidates, { 0, request.hash }, m_options.selection);
        if (!chosen)
            return false;
        daemon.views[*chosen].own += 1;
        daemon.views[*chosen].ownPrefills += 1;
        m_replicas[*chosen].prefills.push_back(request);
        return true;
    }

    // One millisecond of a replica: prefill of one request at a time, decoding of all that have a slot.
    void step(size_t index)
    {
        Replica& replica = m_replicas[index];
        if (!replica.prefills.empty() && replica.running.size() < static_cast<size_t>(slots)) {
            Request& request = replica.prefills.front();
            request.prefillLeft -= replica.speed;
            if (request.prefillLeft <= 0) {
                Request started = request;
                replica.prefills.pop_front();
                m_firstEvents.push_back(m_now - started.arrivedAt);
                ReplayedKind& kind = m_kinds[started.kind];
                (m_now - started.arrivedAt <= kind.target ? kind.inTime : kind.late) += 1;
                replica.running.push_back(started);
                recordHead(index, started);
            }
        }
        double gap = 20 * (1 + static_cast<double>(replica.running.size()) / slots);
        for (Request& request : replica.running) {
            request.untilEvent += replica.speed / gap;
            if (request.untilEvent < 1)
                continue;
            request.untilEvent -= 1;
            request.eventsLeft -= 1;
            if (request.eventsLeft <= 0) {
                m_daemons[request.daemon].views[index].own -= 1;
                m_daemons[request.daemon].isReleased = true;
            }
        }
        std::erase_if(replica.running, [](const Request& request) { return request.eventsLeft <= 0; });
    }

    void recordHead(size_t index, const Request& request)
    {
        View& view = m_daemons[request.daemon].views[index];
        view.ownPrefills -= 1;
        if (m_options.header == ReplicaReplayOptions::Header::Dropped)
            return;
        recordReport(view, index);
        if (m_options.header == ReplicaReplayOptions::Header::WithPace)
            pace::paceRecordStated(view.pace, 1 / m_replicas[index].speed, timeOf(m_now), m_options.pace);
    }

    void recordReport(View& view, size_t index) const
    {
        view.reported = m_replicas[index].inFlight();
        view.waiting = static_cast<double>(m_replicas[index].prefills.size());
        view.ownAtReport = view.own;
        view.reportedAt = m_now;
    }

    void sendReports()
    {
        for (Daemon& daemon : m_daemons) {
            for (size_t i = 0; i < m_replicas.size(); ++i)
                recordReport(daemon.views[i], i);
        }
    }

    void recordLoads()
    {
        double largest = 0;
        double sum = 0;
        for (const Replica& replica : m_replicas) {
            double weighted = replica.inFlight() / replica.speed;
            largest = std::max(largest, weighted);
            sum += weighted;
        }
        if (sum > 0) {
            m_ratioSum += largest / sum * static_cast<double>(m_replicas.size());
            m_ratioCount += 1;
        }
    }

    ReplicaReplayOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Replica> m_replicas;
    std::vector<Daemon> m_daemons;
    std::vector<double> m_firstEvents;
    std::vector<ReplayedKind> m_kinds { { 800, 3200 }, { 2500, 10000 } };
    double m_ratioSum = 0;
    double m_ratioCount = 0;
    int m_now = 0;
};

} // namespace rattanshunt::lab

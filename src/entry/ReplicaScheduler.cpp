#include "entry/ReplicaScheduler.h"

#include "base/Text.h"

namespace rattanshunt::entry {

namespace {
    constexpr base::Millis frontPollInterval { 5 };    // between checks of the request at the front of a queue
    constexpr base::Millis waiterPollInterval { 100 }; // between checks of the other requests
    constexpr base::Millis failureAvoidTime { 500 };
    constexpr base::Millis useReportInterval { 200 };
    constexpr base::Seconds minRatePeriod { 1 }; // over a shorter busy period, the rate is too uncertain

    int64_t microsOf(base::TimePoint time)
    {
        return std::chrono::duration_cast<base::Micros>(time.time_since_epoch()).count();
    }

    routing::Candidate candidateOf(const resources::EndpointInfo& endpoint, const std::string& dataCenter, int64_t now)
    {
        routing::Candidate candidate;
        candidate.endpoint = endpoint.id;
        candidate.slots = endpoint.load->batchSlots.load(std::memory_order_relaxed);
        candidate.reportedInFlight = endpoint.load->reportedInFlight.load(std::memory_order_relaxed);
        candidate.ownInFlight = endpoint.load->ownInFlight.load(std::memory_order_relaxed);
        candidate.ownInFlightAtReport = endpoint.load->ownInFlightAtReport.load(std::memory_order_relaxed);
        candidate.reportAge = base::Micros(now - endpoint.load->reportedAt.load(std::memory_order_relaxed));
        candidate.isInOtherDataCenter = endpoint.dataCenter != dataCenter;
        return candidate;
    }
}

ReplicaScheduler::ReplicaScheduler(net::Loop& loop, DaemonContext& context)
    : m_loop(loop)
    , m_context(context)
{
}

std::optional<resources::EndpointInfo> ReplicaScheduler::tryChooseEndpoint(
    const ReplicaRequest& request, uint64_t hash, bool& hasReplica) const
{
    auto catalog = m_context.catalog();
    auto ready = catalog->readyEndpointsByModel.find(request.model);
    hasReplica = ready != catalog->readyEndpointsByModel.end();
    if (!hasReplica)
        return std::nullopt;
    int64_t now = microsOf(base::Clock::now());
    std::vector<routing::Candidate> candidates;
    std::vector<const resources::EndpointInfo*> endpoints;
    for (const resources::EndpointInfo& endpoint : ready->second) {
        bool isAvoided = endpoint.load->avoidUntil.load(std::memory_order_relaxed) > now;
        if (isAvoided || request.excludedEndpoints.contains(endpoint.id))
            continue;
        candidates.push_back(candidateOf(endpoint, m_context.settings.dataCenter, now));
        endpoints.push_back(&endpoint);
    }
    auto chosen = routing::candidateChoose(candidates, request.promptPrefixHash, hash, m_choiceOptions);
    if (!chosen)
        return std::nullopt;
    const resources::EndpointInfo& endpoint = *endpoints[*chosen];
    endpoint.load->ownInFlight.fetch_add(1, std::memory_order_relaxed);
    return endpoint;
}

void ReplicaScheduler::reportUse(const std::string& model, ModelQueue& queue)
{
    base::TimePoint now = base::Clock::now();
    if (now - queue.useReportedAt < useReportInterval)
        return;
    queue.useReportedAt = now;
    m_context.placement.recordUse(model);
}

ReplicaGrant ReplicaScheduler::acquire(const ReplicaRequest& request)
{
    ModelQueue& queue = m_queues[request.model];
    uint64_t id = ++m_lastId;
    if (queue.fairQueue.items.empty()) {
        bool hasReplica = false;
        if (auto endpoint = tryChooseEndpoint(request, base::stableHash(request.model, id), hasReplica)) {
            reportUse(request.model, queue);
            return { Reason::None, *endpoint, false, base::Duration::zero() };
        }
    }
    if (m_waitingRequests >= m_context.settings.maxQueued)
        return { Reason::QueueFull, {}, false, {} };
    routing::QueueItem item { id, request.account, request.weight, request.priority, request.tokens, request.deadline };
    if (routing::queueWouldMissDeadline(
            queue.fairQueue, item, serviceRate(queue, base::Clock::now()), base::Clock::now()))
        return { Reason::DeadlineTooShort, {}, false, {} };
    if (queue.fairQueue.items.empty())
        queue.rateMeasuredSince = {};
    ++m_waitingRequests;
    routing::queuePush(queue.fairQueue, item);
    ReplicaGrant grant = waitForReplica(request, id);
    routing::queueRemove(queue.fairQueue, id);
    queue.waiters.erase(id);
    --m_waitingRequests;
    wakeFront(queue);
    if (grant.reason == Reason::None)
        reportUse(request.model, queue);
    return grant;
}

ReplicaGrant ReplicaScheduler::waitForReplica(const ReplicaRequest& request, uint64_t id)
{
    ModelQueue& queue = m_queues[request.model];
    net::Event wake;
    queue.waiters[id] = &wake;
    ReplicaGrant grant;
    bool isDemandReported = false;
    base::TimePoint queuedAt = base::Clock::now();
    auto updateDemand = [&](bool isWaiting) {
        if (isDemandReported != isWaiting)
            m_context.placement.updateDemand(
                { request.model, request.account, request.priority, request.arrivedAt }, isWaiting);
        isDemandReported = isWaiting;
    };
    while (true) {
        base::TimePoint now = base::Clock::now();
        bool isFront = routing::queueFront(queue.fairQueue) == id;
        bool hasReplica = false;
        auto endpoint
            = isFront ? tryChooseEndpoint(request, base::stableHash(request.model, id), hasReplica) : std::nullopt;
        if (!isFront)
            hasReplica = m_context.catalog()->readyEndpointsByModel.contains(request.model);
        if (endpoint) {
            grant.endpoint = std::move(*endpoint);
            break;
        }
        bool isCallerGone = request.isCancelled && *request.isCancelled;
        if (now >= request.deadline || isCallerGone) {
            grant.reason = isCallerGone ? Reason::CallerGone
                : hasReplica            ? Reason::DeadlineTooShort
                                        : Reason::NoReplica;
            break;
        }
        grant.wasColdStart |= !hasReplica;
        updateDemand(!hasReplica);
        wake.reset();
        wake.waitUntil(std::min(request.deadline, now + (isFront ? frontPollInterval : waiterPollInterval)));
    }
    updateDemand(false);
    if (grant.wasColdStart)
        grant.coldStartWait = base::Clock::now() - queuedAt;
    return grant;
}

// Measured only while requests wait: with an empty queue the rate reflects demand, not the capacity of the replicas.
double ReplicaScheduler::serviceRate(const ModelQueue& queue, base::TimePoint now)
{
    bool isKnown = queue.rateMeasuredSince != base::TimePoint {} && now - queue.rateMeasuredSince >= minRatePeriod;
    if (queue.fairQueue.items.empty() || !isKnown)
        return 0;
    return queue.tokensServed / base::secondsOf(now - queue.rateMeasuredSince);
}

void ReplicaScheduler::wakeFront(ModelQueue& queue)
{
    auto front = routing::queueFront(queue.fairQueue);
    if (!front)
        return;
    auto waiter = queue.waiters.find(*front);
    if (waiter != queue.waiters.end())
        waiter->second->set();
}

void ReplicaScheduler::release(const std::string& model, const resources::EndpointInfo& endpoint, double tokens)
{
    endpoint.load->ownInFlight.fetch_sub(1, std::memory_order_relaxed);
    ModelQueue& queue = m_queues[model];
    if (queue.rateMeasuredSince == base::TimePoint {}) {
        queue.rateMeasuredSince = base::Clock::now();
        queue.tokensServed = 0;
    }
    queue.tokensServed += tokens;
    wakeFront(queue);
}

void ReplicaScheduler::recordFailure(const resources::EndpointInfo& endpoint)
{
    endpoint.load->avoidUntil.store(microsOf(base::Clock::now() + failureAvoidTime), std::memory_order_relaxed);
}

std::optional<resources::EndpointInfo> ReplicaScheduler::chooseServiceEndpoint(
    const std::string& pool, uint64_t hash, const std::set<std::string>& excludedEndpoints)
{
    auto catalog = m_context.catalog();
    auto found = catalog->endpointsByPool.find(pool);
    if (found == catalog->endpointsByPool.end())
        return std::nullopt;
    int64_t now = microsOf(base::Clock::now());
    std::vector<const resources::EndpointInfo*> usable;
    for (const resources::EndpointInfo& endpoint : found->second) {
        bool isAvoided = endpoint.load->avoidUntil.load(std::memory_order_relaxed) > now;
        if (!isAvoided && !excludedEndpoints.contains(endpoint.id))
            usable.push_back(&endpoint);
    }
    if (usable.empty())
        return std::nullopt;
    auto inFlight = [](const resources::EndpointInfo* endpoint) {
        return endpoint->load->ownInFlight.load(std::memory_order_relaxed);
    };
    const resources::EndpointInfo* first = usable[hash % usable.size()];
    const resources::EndpointInfo* second = usable[(hash >> 32) % usable.size()];
    const resources::EndpointInfo* chosen = inFlight(second) < inFlight(first) ? second : first;
    chosen->load->ownInFlight.fetch_add(1, std::memory_order_relaxed);
    return *chosen;
}

} // namespace rattanshunt::entry

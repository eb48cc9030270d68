#include "entry/ReplicaScheduler.h"

#include "base/Text.h"

namespace rattanshunt::entry {

namespace {
    constexpr base::Millis pollInterval { 5 }; // the first in line looks again so often
    constexpr base::Millis idlePoll { 100 };   // the others
    constexpr base::Millis failurePause { 500 };
    constexpr base::Millis useReportInterval { 200 };
    constexpr base::Seconds rateBasis { 1 }; // a shorter busy time says nothing about the rate of service

    int64_t microsOf(base::TimePoint time)
    {
        return std::chrono::duration_cast<base::Micros>(time.time_since_epoch()).count();
    }

    routing::Candidate candidateOf(const resources::EndpointInfo& endpoint, const std::string& dataCenter, int64_t now)
    {
        routing::Candidate candidate;
        candidate.endpoint = endpoint.id;
        candidate.slots = endpoint.load->slots.load(std::memory_order_relaxed);
        candidate.reported = endpoint.load->reported.load(std::memory_order_relaxed);
        candidate.ownNow = endpoint.load->ownInFlight.load(std::memory_order_relaxed);
        candidate.ownThen = endpoint.load->ownAtReport.load(std::memory_order_relaxed);
        candidate.reportAge = base::Micros(now - endpoint.load->reportedAt.load(std::memory_order_relaxed));
        candidate.isAway = endpoint.dataCenter != dataCenter;
        return candidate;
    }
}

Replicas::Replicas(net::Loop& loop, Backbone& backbone)
    : m_loop(loop)
    , m_backbone(backbone)
{
}

std::optional<resources::EndpointInfo> Replicas::tryChoose(const ReplicaAsk& ask, uint64_t draw, bool& hasReplica) const
{
    auto catalog = m_backbone.catalog();
    auto ready = catalog->ready.find(ask.model);
    hasReplica = ready != catalog->ready.end();
    if (!hasReplica)
        return std::nullopt;
    int64_t now = microsOf(base::Clock::now());
    std::vector<routing::Candidate> candidates;
    std::vector<const resources::EndpointInfo*> endpoints;
    for (const resources::EndpointInfo& endpoint : ready->second) {
        bool isResting = endpoint.load->failedUntil.load(std::memory_order_relaxed) > now;
        if (isResting || ask.avoided.contains(endpoint.id))
            continue;
        candidates.push_back(candidateOf(endpoint, m_backbone.settings.dataCenter, now));
        endpoints.push_back(&endpoint);
    }
    auto chosen = routing::candidateChoose(candidates, ask.prefix, draw, m_options);
    if (!chosen)
        return std::nullopt;
    const resources::EndpointInfo& endpoint = *endpoints[*chosen];
    endpoint.load->ownInFlight.fetch_add(1, std::memory_order_relaxed);
    return endpoint;
}

void Replicas::noteUse(const std::string& model, ModelQueue& queue)
{
    base::TimePoint now = base::Clock::now();
    if (now - queue.usedReportedAt < useReportInterval)
        return;
    queue.usedReportedAt = now;
    m_backbone.placement.used(model);
}

ReplicaGrant Replicas::acquire(const ReplicaAsk& ask)
{
    ModelQueue& queue = m_queues[ask.model];
    uint64_t id = ++m_lastId;
    if (queue.queue.items.empty()) {
        bool hasReplica = false;
        if (auto endpoint = tryChoose(ask, base::stableHash(ask.model, id), hasReplica)) {
            noteUse(ask.model, queue);
            return { Reason::None, *endpoint, false, base::Duration::zero() };
        }
    }
    if (m_waiting >= m_backbone.settings.maxQueued)
        return { Reason::QueueFull, {}, false, {} };
    routing::QueueItem item { id, ask.account, ask.weight, ask.value, ask.tokens, ask.deadline };
    if (routing::queueWouldMiss(queue.queue, item, serviceRate(queue, base::Clock::now()), base::Clock::now()))
        return { Reason::DeadlineTooShort, {}, false, {} };
    if (queue.queue.items.empty())
        queue.servingSince = {};
    ++m_waiting;
    routing::queuePush(queue.queue, item);
    ReplicaGrant grant = wait(ask, id);
    routing::queueRemove(queue.queue, id);
    queue.waiters.erase(id);
    --m_waiting;
    wakeFront(queue);
    if (grant.reason == Reason::None)
        noteUse(ask.model, queue);
    return grant;
}

ReplicaGrant Replicas::wait(const ReplicaAsk& ask, uint64_t id)
{
    ModelQueue& queue = m_queues[ask.model];
    net::Event wake;
    queue.waiters[id] = &wake;
    ReplicaGrant grant;
    bool isNeeded = false;
    base::TimePoint queuedAt = base::Clock::now();
    auto announce = [&](bool isWaiting) {
        if (isNeeded != isWaiting)
            m_backbone.placement.need({ ask.model, ask.account, ask.value, ask.arrivedAt }, isWaiting);
        isNeeded = isWaiting;
    };
    while (true) {
        base::TimePoint now = base::Clock::now();
        bool isFirst = routing::queueFront(queue.queue) == id;
        bool hasReplica = false;
        auto endpoint = isFirst ? tryChoose(ask, base::stableHash(ask.model, id), hasReplica) : std::nullopt;
        if (!isFirst)
            hasReplica = m_backbone.catalog()->ready.contains(ask.model);
        if (endpoint) {
            grant.endpoint = std::move(*endpoint);
            break;
        }
        bool isGone = ask.isCancelled && *ask.isCancelled;
        if (now >= ask.deadline || isGone) {
            grant.reason = isGone ? Reason::CallerGone : hasReplica ? Reason::DeadlineTooShort : Reason::NoReplica;
            break;
        }
        grant.wasCold |= !hasReplica;
        announce(!hasReplica);
        wake.reset();
        wake.waitUntil(std::min(ask.deadline, now + (isFirst ? pollInterval : idlePoll)));
    }
    announce(false);
    if (grant.wasCold)
        grant.coldWait = base::Clock::now() - queuedAt;
    return grant;
}

// Only while requests wait does the rate of service show what the replicas can do.
double Replicas::serviceRate(const ModelQueue& queue, base::TimePoint now)
{
    bool isKnown = queue.servingSince != base::TimePoint {} && now - queue.servingSince >= rateBasis;
    if (queue.queue.items.empty() || !isKnown)
        return 0;
    return queue.tokensServed / base::secondsOf(now - queue.servingSince);
}

void Replicas::wakeFront(ModelQueue& queue)
{
    auto front = routing::queueFront(queue.queue);
    if (!front)
        return;
    auto waiter = queue.waiters.find(*front);
    if (waiter != queue.waiters.end())
        waiter->second->set();
}

void Replicas::release(const std::string& model, const resources::EndpointInfo& endpoint, double tokens)
{
    endpoint.load->ownInFlight.fetch_sub(1, std::memory_order_relaxed);
    ModelQueue& queue = m_queues[model];
    if (queue.servingSince == base::TimePoint {}) {
        queue.servingSince = base::Clock::now();
        queue.tokensServed = 0;
    }
    queue.tokensServed += tokens;
    wakeFront(queue);
}

void Replicas::noteFailure(const resources::EndpointInfo& endpoint)
{
    endpoint.load->failedUntil.store(microsOf(base::Clock::now() + failurePause), std::memory_order_relaxed);
}

std::optional<resources::EndpointInfo> Replicas::chooseService(
    const std::string& pool, uint64_t draw, const std::set<std::string>& avoided)
{
    auto catalog = m_backbone.catalog();
    auto found = catalog->pools.find(pool);
    if (found == catalog->pools.end())
        return std::nullopt;
    int64_t now = microsOf(base::Clock::now());
    std::vector<const resources::EndpointInfo*> usable;
    for (const resources::EndpointInfo& endpoint : found->second) {
        bool isResting = endpoint.load->failedUntil.load(std::memory_order_relaxed) > now;
        if (!isResting && !avoided.contains(endpoint.id))
            usable.push_back(&endpoint);
    }
    if (usable.empty())
        return std::nullopt;
    auto inFlight = [](const resources::EndpointInfo* endpoint) {
        return endpoint->load->ownInFlight.load(std::memory_order_relaxed);
    };
    const resources::EndpointInfo* first = usable[draw % usable.size()];
    const resources::EndpointInfo* second = usable[(draw >> 32) % usable.size()];
    const resources::EndpointInfo* chosen = inFlight(second) < inFlight(first) ? second : first;
    chosen->load->ownInFlight.fetch_add(1, std::memory_order_relaxed);
    return *chosen;
}

} // namespace rattanshunt::entry

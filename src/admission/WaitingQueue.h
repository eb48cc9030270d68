// The order in which a daemon's waiting requests are offered free slots of replicas, and how long each is expected to
// wait.
//
// Contents
//   [1] Data            WaitingTerms, WaitingOptions
//   [2] WaitingQueue
//
// Load pattern: replicas are full, and more requests arrive than can be served. If each waiting request looks for a
// slot by itself, the first to look takes it: one that can only be late, or has time left, before one that would meet
// its target latency. Requests are held to the end of their time although those before them use up all slots.
//
// Offers go to the more urgent priority first, unless a less urgent one is served much less often. Within a priority
// they go to requests that can still meet their target, the one with the least time left first, and then to late ones,
// the least late first: a late response still has some value, and less the later it is.
//
// Not thread-safe; the calling thread owns the data. `Request` is only referred to.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/Time.h"

namespace rattanshunt::admission {

// ---- [1] Data ----------------------------------------------------------------------------------

struct WaitingTerms {
    int priority = 5;           // 0 is the most urgent
    base::BootTime targetAt {}; // sent later than this, the request misses its target latency
    base::BootTime leaveAt {};  // sent later than this, it can't be served any more
    uint64_t kind = 0;          // requests of one kind can use the same replicas
};

struct WaitingOptions {
    base::Millis rateTimeConstant { 2000 }; // for smoothing the rate at which waiting requests get slots
    double minTaken = 3;                    // slots taken from which on the rate is used
    base::Millis minObservation { 1200 };   // the same for the time observed; slots may all be released at once
    double minLateFraction = 0.25;          // of the rate, left for late requests at least, as bursts end
    base::Seconds shareTimeConstant { 10 }; // for smoothing the served shares of priorities
    double minServedFraction = 0.5;         // of the largest served share, below which a priority goes first
    double minShareCount = 10;              // requests from which on a share counts
};

// ---- [2] WaitingQueue --------------------------------------------------------------------------

template <typename Request> class WaitingQueue {
public:
    explicit WaitingQueue(const WaitingOptions& options = {})
        : m_options(options)
    {
    }

    // -- commands --
    // Adds a request. `isNew`: it has not waited before.
    void add(Request& request, const WaitingTerms& terms, bool isNew, base::BootTime now)
    {
        remove(request, now);
        Kind& kind = advancedKind(terms.kind, now);
        kind.waiting += 1;
        if (isNew) {
            advancedShare(terms.priority, now).arrived += 1;
            if (now < terms.targetAt)
                kind.arrived += 1;
        }
        m_items[&request] = { terms, {}, false };
    }

    // Does nothing if the request is not in the queue.
    void remove(Request& request, base::BootTime now)
    {
        auto found = m_items.find(&request);
        if (found == m_items.end())
            return;
        advancedKind(found->second.terms.kind, now).waiting -= 1;
        m_items.erase(found);
        if (m_items.empty())
            m_passedKinds.clear();
    }

    // Records that a request that has waited got a slot. Others of its kind may be offered one as well.
    void recordTaken(const WaitingTerms& terms, base::BootTime now)
    {
        advancedKind(terms.kind, now).taken += 1;
        advancedShare(terms.priority, now).served += 1;
        m_passedKinds.erase(terms.kind);
    }

    // Forgets how often requests of a kind got slots, as when no replica can serve them at present.
    void forgetRate(uint64_t kind)
    {
        if (auto found = m_kinds.find(kind); found != m_kinds.end())
            found->second = { .waiting = found->second.waiting, .at = found->second.at };
    }

    // A slot was released, or something else has changed: all kinds may be offered slots again.
    void beginOffers() { m_passedKinds.clear(); }

    // Leaves a slot that another request found to one that firstBefore() returned.
    void leaveSlotTo(Request& request)
    {
        if (auto found = m_items.find(&request); found != m_items.end())
            found->second.hasSlotLeft = true;
    }

    // Records that a request found no slot. Its kind gets no offer until the next change. If another one had found a
    // slot and left it to this one, that does not happen again until `until`: the other one may use what this one
    // can't.
    void pass(Request& request, base::BootTime until)
    {
        auto found = m_items.find(&request);
        if (found == m_items.end())
            return;
        m_passedKinds.insert(found->second.terms.kind);
        if (std::exchange(found->second.hasSlotLeft, false))
            found->second.passedUntil = until;
    }

    // -- queries --
    bool contains(Request& request) const { return m_items.contains(&request); }
    size_t size() const { return m_items.size(); }

    // The request to be offered a slot next; null if there is none.
    Request* first(base::BootTime now) const
    {
        Request* first = nullptr;
        const WaitingTerms* best = nullptr;
        for (const auto& [request, item] : m_items) {
            if (m_passedKinds.contains(item.terms.kind) || (best && !goesBefore(item.terms, *best, now)))
                continue;
            first = request;
            best = &item.terms;
        }
        return first;
    }

    // The first request of the same kind that goes before one with these terms; null if there is none.
    Request* firstBefore(const WaitingTerms& terms, base::BootTime now) const
    {
        Request* first = nullptr;
        const WaitingTerms* best = &terms;
        for (const auto& [request, item] : m_items) {
            if (item.terms.kind != terms.kind || now < item.passedUntil || !goesBefore(item.terms, *best, now))
                continue;
            first = request;
            best = &item.terms;
        }
        return first;
    }

    // Time until a request with these terms is expected to get a slot; nothing if too little is known.
    std::optional<base::Duration> expectedWait(const WaitingTerms& terms, base::BootTime now) const
    {
        auto found = m_kinds.find(terms.kind);
        if (found == m_kinds.end())
            return std::nullopt;
        Kind kind = advanced(found->second, now);
        if (kind.taken < m_options.minTaken && kind.seconds < base::secondsOf(m_options.minObservation))
            return std::nullopt;
        double seconds = std::max(minSeconds, kind.seconds);
        // A slot that is just being offered counts, so that a rate is never 0.
        double rate = (kind.taken + 1) / seconds;
        if (now >= terms.targetAt)
            rate = std::max(rate - std::max(0.0, kind.arrived - 1) / seconds, rate * m_options.minLateFraction);
        double ahead = 0;
        for (const auto& [request, item] : m_items) {
            if (item.terms.kind == terms.kind && goesBefore(item.terms, terms, now))
                ahead += 1;
        }
        return base::durationOf((ahead + 1) / rate);
    }

    // Whether a request with terms `a` is offered a slot before one with terms `b`.
    bool goesBefore(const WaitingTerms& a, const WaitingTerms& b, base::BootTime now) const
    {
        int aPriority = effectivePriority(a.priority);
        int bPriority = effectivePriority(b.priority);
        if (aPriority != bPriority)
            return aPriority < bPriority;
        bool aIsLate = a.targetAt <= now;
        bool bIsLate = b.targetAt <= now;
        if (aIsLate != bIsLate)
            return bIsLate;
        return aIsLate ? a.targetAt > b.targetAt : a.targetAt < b.targetAt;
    }

private:
    struct Item {
        WaitingTerms terms;
        base::BootTime passedUntil {}; // slots are not left to it until then
        bool hasSlotLeft = false;      // another request left a slot to it, which it has not taken yet
    };
    // Of a kind, with exponential decay.
    struct Kind {
        double taken = 0;   // slots taken by requests that waited
        double arrived = 0; // requests that began to wait and could still meet their target
        double seconds = 0; // time in which requests waited
        size_t waiting = 0; // now
        base::BootTime at {};
    };
    struct Share {
        double arrived = 0;
        double served = 0;
        base::BootTime at {};
    };
    static constexpr double minSeconds = 0.01; // kinds with less are dropped
    static constexpr int mostUrgent = -1;

    Kind advanced(Kind kind, base::BootTime now) const
    {
        double timeConstant = base::secondsOf(m_options.rateTimeConstant);
        double decay = std::exp(-base::secondsOf(std::max(base::BootClock::duration(0), now - kind.at)) / timeConstant);
        kind.taken *= decay;
        kind.arrived *= decay;
        kind.seconds = kind.seconds * decay + (kind.waiting > 0 ? timeConstant * (1 - decay) : 0);
        kind.at = now;
        return kind;
    }

    Kind& advancedKind(uint64_t key, base::BootTime now)
    {
        if (!m_kinds.contains(key))
            std::erase_if(m_kinds, [&](const auto& item) {
                return item.second.waiting == 0 && advanced(item.second, now).seconds < minSeconds;
            });
        Kind& kind = m_kinds[key];
        kind = advanced(kind, now);
        return kind;
    }

    Share& advancedShare(int priority, base::BootTime now)
    {
        Share& share = m_shares[priority];
        double decay = std::exp(-base::secondsOf(std::max(base::BootClock::duration(0), now - share.at))
            / base::secondsOf(m_options.shareTimeConstant));
        share = { share.arrived * decay, share.served * decay, now };
        return share;
    }

    // A priority whose requests are served much less often than those of a more urgent one goes first until they are.
    int effectivePriority(int priority) const
    {
        auto own = m_shares.find(priority);
        if (own == m_shares.end() || own->second.arrived < m_options.minShareCount)
            return priority;
        double ownShare = own->second.served / own->second.arrived;
        for (auto it = m_shares.begin(); it != own; ++it) {
            if (it->second.arrived >= m_options.minShareCount
                && ownShare < m_options.minServedFraction * it->second.served / it->second.arrived)
                return mostUrgent;
        }
        return priority;
    }

    WaitingOptions m_options;
    std::map<Request*, Item> m_items;
    std::map<uint64_t, Kind> m_kinds;
    std::map<int, Share> m_shares;    // by priority
    std::set<uint64_t> m_passedKinds; // found no slot since the last change
};

} // namespace rattanshunt::admission

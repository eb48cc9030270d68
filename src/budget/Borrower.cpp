// Chooses the calls to send next and refuses requests that cannot be granted in time.
#include "budget/BorrowerParts.h"

#include <bit>

#include <fmt/format.h>

namespace rattanshunt::budget {

namespace {

    constexpr unsigned failuresUntilExcluded = 2; // in a row; then queued requests do without the lender
    constexpr size_t maxItemsPerCall = 512;
    constexpr base::Millis probeInterval { 40 };
    constexpr base::Millis levelLifetime { 40 }; // how long a level reported by a lender is relied on

    std::string makeWaiterId(const Borrower& borrower, uint64_t requestId)
    {
        return fmt::format("{}/{}", borrower.daemonName, requestId);
    }

    // Returns the untried slot with the highest level. An unknown level counts as just enough, so the preferred slot is
    // tried first while none is known.
    std::optional<size_t> bestSlot(const Borrower& borrower, const BorrowerRequest& waiting, base::TimePoint now)
    {
        std::optional<size_t> best;
        double bestLevel = 0;
        for (size_t i = 0; i < borrower.slots.size(); ++i) {
            size_t slot = (borrower.preferredSlot + i) % borrower.slots.size();
            const BorrowerSlot& state = borrower.slots[slot];
            if (waiting.triedSlotMask >> slot & 1 || state.retryAt > now)
                continue;
            auto known = state.knownLevels.find(waiting.request.account);
            double level = known == state.knownLevels.end() ? waiting.request.tokens : known->second.tokens;
            // Do not ask a lender that has just reported too few tokens.
            bool isKnownShort = known != state.knownLevels.end() && level < waiting.request.tokens
                && now < known->second.answeredAt + levelLifetime;
            if (isKnownShort)
                continue;
            if (best && level <= bestLevel)
                continue;
            best = slot;
            bestLevel = level;
        }
        return best;
    }

    BudgetItem makeItem(
        const Borrower& borrower, const BorrowerRequest& waiting, BudgetItemMode mode, base::TimePoint now)
    {
        const BudgetRequest& request = waiting.request;
        BudgetItem item;
        item.requestId = request.id;
        item.account = request.account;
        item.mode = mode;
        item.tokens = request.tokens;
        item.priority = request.priority;
        item.waited = std::chrono::duration_cast<base::Micros>(now - request.arrivedAt);
        item.queueKey = waiting.queueKey;
        item.waiterId = makeWaiterId(borrower, request.id);
        return item;
    }

    uint64_t answeringSlotMask(const Borrower& borrower)
    {
        uint64_t mask = 0;
        for (size_t slot = 0; slot < borrower.slots.size(); ++slot) {
            if (borrower.slots[slot].consecutiveFailures < failuresUntilExcluded)
                mask |= 1ull << slot;
        }
        return mask;
    }

    double partTokens(const BorrowerRequest& waiting)
    {
        return waiting.request.tokens / static_cast<double>(std::popcount(waiting.partSlotMask));
    }

    class CallBuilder {
    public:
        CallBuilder(Borrower& borrower)
            : m_borrower(borrower)
            , m_calls(borrower.slots.size())
        {
        }

        bool canAsk(size_t slot, base::TimePoint now) const
        {
            const BorrowerSlot& state = m_borrower.slots[slot];
            return !state.isBusy && state.retryAt <= now && m_calls[slot].items.size() < maxItemsPerCall;
        }

        void add(size_t slot, BudgetItem item) { m_calls[slot].items.push_back(std::move(item)); }

        std::vector<BorrowerCall> finish(base::TimePoint now)
        {
            std::vector<BorrowerCall> calls;
            for (size_t slot = 0; slot < m_calls.size(); ++slot) {
                BorrowerSlot& state = m_borrower.slots[slot];
                if (state.isBusy || state.retryAt > now)
                    continue;
                BudgetCall& call = m_calls[slot];
                moveReturns(state, call);
                if (call.items.empty() && call.returns.empty())
                    continue;
                state.isBusy = true;
                state.sentAt = now;
                bool hasProbe = std::any_of(call.items.begin(), call.items.end(),
                    [](const BudgetItem& item) { return item.mode == BudgetItemMode::Probe; });
                if (hasProbe)
                    state.nextProbeAt = now + probeInterval;
                state.pendingCall = call;
                calls.push_back({ slot, std::move(call) });
            }
            return calls;
        }

    private:
        static void moveReturns(BorrowerSlot& state, BudgetCall& call)
        {
            if (state.pendingReturns.empty())
                return;
            auto first = state.pendingReturns.begin();
            call.epoch = first->first;
            call.returns = std::move(first->second);
            state.pendingReturns.erase(first);
        }

        Borrower& m_borrower;
        std::vector<BudgetCall> m_calls;
    };

    void askOneLender(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        auto slot = bestSlot(borrower, waiting, now);
        if (!slot) {
            // All lenders were tried, are short of tokens or are paused after a failure: join the wait queue.
            waiting.lendersTried = borrower.slots.size();
            return;
        }
        if (!builder.canAsk(*slot, now))
            return;
        BudgetItem item = makeItem(borrower, waiting, BudgetItemMode::Take, now);
        item.extraTokens = waiting.request.extraTokens;
        waiting.isInFlight = true;
        waiting.triedSlotMask |= 1ull << *slot;
        ++waiting.lendersTried;
        builder.add(*slot, std::move(item));
    }

    size_t coordinatorSlot(const Borrower& borrower, const BorrowerRequest& waiting)
    {
        size_t first = std::hash<std::string>()(waiting.request.account) % borrower.slots.size();
        return (first + waiting.coordinatorsTried) % borrower.slots.size();
    }

    void askForQueueKey(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        size_t slot = coordinatorSlot(borrower, waiting);
        if (borrower.slots[slot].retryAt > now) {
            ++waiting.coordinatorsTried;
            return;
        }
        if (!builder.canAsk(slot, now))
            return;
        waiting.isInFlight = true;
        builder.add(slot, makeItem(borrower, waiting, BudgetItemMode::Enqueue, now));
    }

    void askForParts(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        if (!waiting.isTaking && allParts(waiting, &BorrowerPart::isReady)) {
            waiting.isTaking = true;
            for (BorrowerPart& part : waiting.parts)
                part.nextAskAt = now;
        }
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot) {
            BorrowerPart& part = waiting.parts[slot];
            bool isDue = waiting.isTaking || borrower.slots[slot].nextProbeAt <= now;
            if (part.isExcluded || part.isGranted || part.nextAskAt > now || !isDue || !builder.canAsk(slot, now))
                continue;
            BudgetItem item = makeItem(
                borrower, waiting, waiting.isTaking ? BudgetItemMode::TakeInOrder : BudgetItemMode::Probe, now);
            item.tokens = partTokens(waiting);
            item.maxWait = std::chrono::duration_cast<base::Micros>(waiting.request.deadline - now);
            item.isNewWaiter = !(waiting.askedSlotMask >> slot & 1);
            waiting.askedSlotMask |= 1ull << slot;
            part.nextAskAt = base::timeNever;
            builder.add(slot, std::move(item));
        }
    }

    void returnParts(Borrower& borrower, BorrowerRequest& waiting)
    {
        for (BorrowerPart& part : waiting.parts) {
            if (part.isGranted)
                borrowerReturn(borrower, waiting.request.account, part.grant, part.grant.tokens);
            part = { false, false, part.isExcluded, {}, {}, {} };
        }
        waiting.isTaking = false;
    }

    // Divides a queued request among the lenders that answer, and starts over when that set changes.
    void assignParts(Borrower& borrower, BorrowerRequest& waiting)
    {
        uint64_t slots = answeringSlotMask(borrower);
        if (slots == waiting.partSlotMask)
            return;
        returnParts(borrower, waiting);
        waiting.partSlotMask = slots;
        waiting.parts.assign(borrower.slots.size(), {});
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot)
            waiting.parts[slot].isExcluded = !(slots >> slot & 1);
    }

    // Returns all granted parts and starts over if one of them has expired before all were granted.
    void restartIfExpired(Borrower& borrower, BorrowerRequest& waiting, base::TimePoint now)
    {
        for (const BorrowerPart& part : waiting.parts) {
            if (part.isGranted && now >= part.sentAt + borrower.options.tokenValidity) {
                returnParts(borrower, waiting);
                return;
            }
        }
    }

    void leaveQueues(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot) {
            if (builder.canAsk(slot, now))
                builder.add(slot, makeItem(borrower, waiting, BudgetItemMode::Leave, now));
        }
    }

    // Refuses requests whose deadline has passed or whose turn comes too late.
    void refuseLate(Borrower& borrower, CallBuilder& builder, base::TimePoint now)
    {
        for (auto at = borrower.requests.begin(); at != borrower.requests.end();) {
            BorrowerRequest& waiting = at->second;
            if (waiting.request.deadline > now && !waiting.isTooLate) {
                ++at;
                continue;
            }
            returnParts(borrower, waiting);
            leaveQueues(borrower, waiting, builder, now);
            BudgetDecision decision;
            decision.id = at->first;
            decision.isUnreachable = !waiting.hasAnswer;
            decision.retryAfter = waiting.expectedWait;
            borrower.decisions.push_back(std::move(decision));
            at = borrower.requests.erase(at);
        }
    }

} // namespace

Borrower borrowerCreate(const BudgetOptions& options, const std::string& daemonName, size_t preferredSlot)
{
    Borrower borrower;
    borrower.options = options;
    borrower.daemonName = daemonName;
    borrower.preferredSlot = preferredSlot;
    borrower.slots.resize(options.slotCount);
    return borrower;
}

void borrowerAdd(Borrower& borrower, const BudgetRequest& request)
{
    borrower.requests[request.id].request = request;
}

void borrowerCancel(Borrower& borrower, uint64_t id)
{
    auto found = borrower.requests.find(id);
    if (found == borrower.requests.end())
        return;
    returnParts(borrower, found->second);
    borrower.requests.erase(found);
}

void borrowerReturn(Borrower& borrower, const std::string& account, const Grant& grant, double tokens)
{
    if (tokens != 0 && grant.slot < borrower.slots.size())
        borrower.slots[grant.slot].pendingReturns[grant.epoch].push_back({ account, tokens, grant.take });
}

std::vector<BorrowerCall> borrowerStep(Borrower& borrower, base::TimePoint now)
{
    CallBuilder builder(borrower);
    refuseLate(borrower, builder, now);
    for (auto& [id, waiting] : borrower.requests) {
        if (waiting.isInFlight)
            continue;
        if (waiting.isQueued) {
            assignParts(borrower, waiting);
            restartIfExpired(borrower, waiting, now);
            askForParts(borrower, waiting, builder, now);
            continue;
        }
        if (waiting.lendersTried < borrower.slots.size())
            askOneLender(borrower, waiting, builder, now);
        else
            askForQueueKey(borrower, waiting, builder, now);
    }
    return builder.finish(now);
}

base::TimePoint borrowerNextStepTime(const Borrower& borrower, base::TimePoint now)
{
    base::TimePoint next = base::timeNever;
    for (auto& [id, waiting] : borrower.requests) {
        next = waiting.isTooLate ? now : std::min(next, waiting.request.deadline);
        if (waiting.isInFlight)
            continue;
        if (!waiting.isQueued)
            next = std::min(next, now + base::Millis(1));
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot) {
            const BorrowerPart& part = waiting.parts[slot];
            if (part.isGranted || part.isExcluded || part.nextAskAt == base::timeNever)
                continue;
            next = std::min(
                next, waiting.isTaking ? part.nextAskAt : std::max(part.nextAskAt, borrower.slots[slot].nextProbeAt));
        }
    }
    return next;
}

} // namespace rattanshunt::budget

// Which calls to send next, and which requests are refused.
#include "budget/BorrowerParts.h"

#include <bit>

#include <fmt/format.h>

namespace rattanshunt::budget {

namespace {

    constexpr unsigned failuresUntilDown = 2; // then waiting requests do without the home
    constexpr size_t itemsPerCall = 512;
    constexpr base::Millis probeInterval { 40 };
    constexpr base::Millis levelLife { 40 }; // for which a home's answer about its level is relied on

    std::string waiterName(const Borrower& borrower, uint64_t id)
    {
        return fmt::format("{}/{}", borrower.name, id);
    }

    // The untried slot with the highest known level; the nearest one if nothing is known.
    std::optional<size_t> bestSlot(const Borrower& borrower, const BorrowerRequest& waiting, base::TimePoint now)
    {
        std::optional<size_t> best;
        double bestLevel = 0;
        for (size_t i = 0; i < borrower.slots.size(); ++i) {
            size_t slot = (borrower.nearestSlot + i) % borrower.slots.size();
            const BorrowerSlot& state = borrower.slots[slot];
            if (waiting.triedSlots >> slot & 1 || state.retryAt > now)
                continue;
            auto known = state.levels.find(waiting.request.account);
            double level = known == state.levels.end() ? waiting.request.tokens : known->second.tokens;
            // A home that has just said that it has too little need not be asked again.
            bool isKnownShort
                = known != state.levels.end() && level < waiting.request.tokens && now < known->second.at + levelLife;
            if (isKnownShort)
                continue;
            if (best && level <= bestLevel)
                continue;
            best = slot;
            bestLevel = level;
        }
        return best;
    }

    BudgetItem itemOf(const Borrower& borrower, const BorrowerRequest& waiting, ItemMode mode, base::TimePoint now)
    {
        const BudgetRequest& request = waiting.request;
        BudgetItem item;
        item.ref = request.id;
        item.account = request.account;
        item.mode = mode;
        item.tokens = request.tokens;
        item.value = request.value;
        item.waited = std::chrono::duration_cast<base::Micros>(now - request.arrivedAt);
        item.order = waiting.order;
        item.waiter = waiterName(borrower, request.id);
        return item;
    }

    uint64_t answeringSlots(const Borrower& borrower)
    {
        uint64_t mask = 0;
        for (size_t slot = 0; slot < borrower.slots.size(); ++slot) {
            if (borrower.slots[slot].failures < failuresUntilDown)
                mask |= 1ull << slot;
        }
        return mask;
    }

    double partTokens(const BorrowerRequest& waiting)
    {
        return waiting.request.tokens / static_cast<double>(std::popcount(waiting.partSlots));
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
            return !state.isBusy && state.retryAt <= now && m_calls[slot].items.size() < itemsPerCall;
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
                takeReturns(state, call);
                if (call.items.empty() && call.returns.empty())
                    continue;
                state.isBusy = true;
                state.sentAt = now;
                bool hasProbe = std::any_of(call.items.begin(), call.items.end(),
                    [](const BudgetItem& item) { return item.mode == ItemMode::Probe; });
                if (hasProbe)
                    state.probeAt = now + probeInterval;
                state.sent = call;
                calls.push_back({ slot, std::move(call) });
            }
            return calls;
        }

    private:
        static void takeReturns(BorrowerSlot& state, BudgetCall& call)
        {
            if (state.returns.empty())
                return;
            auto first = state.returns.begin();
            call.epoch = first->first;
            call.returns = std::move(first->second);
            state.returns.erase(first);
        }

        Borrower& m_borrower;
        std::vector<BudgetCall> m_calls;
    };

    void askOneHome(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        auto slot = bestSlot(borrower, waiting, now);
        if (!slot) {
            // All homes were tried or rest after a failure: go on to waiting in order.
            waiting.homesTried = borrower.slots.size();
            return;
        }
        if (!builder.canAsk(*slot, now))
            return;
        BudgetItem item = itemOf(borrower, waiting, ItemMode::Take, now);
        item.extra = waiting.request.extra;
        waiting.isInFlight = true;
        waiting.triedSlots |= 1ull << *slot;
        ++waiting.homesTried;
        builder.add(*slot, std::move(item));
    }

    size_t leadSlot(const Borrower& borrower, const BorrowerRequest& waiting)
    {
        size_t first = std::hash<std::string>()(waiting.request.account) % borrower.slots.size();
        return (first + waiting.leadsTried) % borrower.slots.size();
    }

    void askForPlace(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        size_t slot = leadSlot(borrower, waiting);
        if (borrower.slots[slot].retryAt > now) {
            ++waiting.leadsTried;
            return;
        }
        if (!builder.canAsk(slot, now))
            return;
        waiting.isInFlight = true;
        builder.add(slot, itemOf(borrower, waiting, ItemMode::Enqueue, now));
    }

    void askForParts(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        if (!waiting.isTaking && allParts(waiting, &BorrowerPart::isReady)) {
            waiting.isTaking = true;
            for (BorrowerPart& part : waiting.parts)
                part.nextAsk = now;
        }
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot) {
            BorrowerPart& part = waiting.parts[slot];
            bool isDue = waiting.isTaking || borrower.slots[slot].probeAt <= now;
            if (part.isLeftOut || part.isGranted || part.nextAsk > now || !isDue || !builder.canAsk(slot, now))
                continue;
            BudgetItem item
                = itemOf(borrower, waiting, waiting.isTaking ? ItemMode::TakeInOrder : ItemMode::Probe, now);
            item.tokens = partTokens(waiting);
            item.patience = std::chrono::duration_cast<base::Micros>(waiting.request.deadline - now);
            item.isNewcomer = !(waiting.askedSlots >> slot & 1);
            waiting.askedSlots |= 1ull << slot;
            part.nextAsk = base::timeNever;
            builder.add(slot, std::move(item));
        }
    }

    void giveBackParts(Borrower& borrower, BorrowerRequest& waiting)
    {
        for (BorrowerPart& part : waiting.parts) {
            if (part.isGranted)
                borrowerReturn(borrower, waiting.request.account, part.grant, part.grant.tokens);
            part = { false, false, part.isLeftOut, {}, {}, {} };
        }
        waiting.isTaking = false;
    }

    // Divides a waiting request over the homes that answer; starts again when those change.
    void assignParts(Borrower& borrower, BorrowerRequest& waiting)
    {
        uint64_t slots = answeringSlots(borrower);
        if (slots == waiting.partSlots)
            return;
        giveBackParts(borrower, waiting);
        waiting.partSlots = slots;
        waiting.parts.assign(borrower.slots.size(), {});
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot)
            waiting.parts[slot].isLeftOut = !(slots >> slot & 1);
    }

    // Parts that were granted too long before the others are returned, and gathering starts again.
    void restartIfStale(Borrower& borrower, BorrowerRequest& waiting, base::TimePoint now)
    {
        for (const BorrowerPart& part : waiting.parts) {
            if (part.isGranted && now >= part.sentAt + borrower.options.validity) {
                giveBackParts(borrower, waiting);
                return;
            }
        }
    }

    void leaveQueues(Borrower& borrower, BorrowerRequest& waiting, CallBuilder& builder, base::TimePoint now)
    {
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot) {
            if (builder.canAsk(slot, now))
                builder.add(slot, itemOf(borrower, waiting, ItemMode::Leave, now));
        }
    }

    // Refuses requests whose time is over and those whose turn comes too late.
    void refuseLate(Borrower& borrower, CallBuilder& builder, base::TimePoint now)
    {
        for (auto at = borrower.requests.begin(); at != borrower.requests.end();) {
            BorrowerRequest& waiting = at->second;
            if (waiting.request.deadline > now && !waiting.isLate) {
                ++at;
                continue;
            }
            giveBackParts(borrower, waiting);
            leaveQueues(borrower, waiting, builder, now);
            BudgetDecision decision;
            decision.id = at->first;
            decision.isUnreachable = !waiting.hasAnswer;
            decision.retryAfter = waiting.turnIn;
            borrower.decisions.push_back(std::move(decision));
            at = borrower.requests.erase(at);
        }
    }

} // namespace

Borrower borrowerCreate(const BudgetOptions& options, const std::string& name, size_t nearestSlot)
{
    Borrower borrower;
    borrower.options = options;
    borrower.name = name;
    borrower.nearestSlot = nearestSlot;
    borrower.slots.resize(options.slots);
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
    giveBackParts(borrower, found->second);
    borrower.requests.erase(found);
}

void borrowerReturn(Borrower& borrower, const std::string& account, const Grant& grant, double tokens)
{
    if (tokens != 0 && grant.slot < borrower.slots.size())
        borrower.slots[grant.slot].returns[grant.epoch].push_back({ account, tokens, grant.take });
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
            restartIfStale(borrower, waiting, now);
            askForParts(borrower, waiting, builder, now);
            continue;
        }
        if (waiting.homesTried < borrower.slots.size())
            askOneHome(borrower, waiting, builder, now);
        else
            askForPlace(borrower, waiting, builder, now);
    }
    return builder.finish(now);
}

base::TimePoint borrowerNextStep(const Borrower& borrower, base::TimePoint now)
{
    base::TimePoint next = base::timeNever;
    for (auto& [id, waiting] : borrower.requests) {
        next = waiting.isLate ? now : std::min(next, waiting.request.deadline);
        if (waiting.isInFlight)
            continue;
        if (!waiting.isQueued)
            next = std::min(next, now + base::Millis(1));
        for (size_t slot = 0; slot < waiting.parts.size(); ++slot) {
            const BorrowerPart& part = waiting.parts[slot];
            if (part.isGranted || part.isLeftOut || part.nextAsk == base::timeNever)
                continue;
            next = std::min(
                next, waiting.isTaking ? part.nextAsk : std::max(part.nextAsk, borrower.slots[slot].probeAt));
        }
    }
    return next;
}

} // namespace rattanshunt::budget

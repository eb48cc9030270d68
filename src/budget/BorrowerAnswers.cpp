// Applies lenders' answers and failed calls to the waiting requests.
#include "budget/BorrowerParts.h"

namespace rattanshunt::budget {

namespace {

    constexpr base::Millis retryDelay { 50 }; // doubled by each further failure in a row
    constexpr unsigned maxRetryDelayDoublings = 5;

    void grantRequest(Borrower& borrower, uint64_t id, std::vector<Grant> grants, base::TimePoint validUntil)
    {
        BudgetDecision decision;
        decision.id = id;
        decision.isGranted = true;
        decision.grants = std::move(grants);
        decision.validUntil = validUntil;
        borrower.decisions.push_back(std::move(decision));
        borrower.requests.erase(id);
    }

    void refuseUnsatisfiable(Borrower& borrower, uint64_t id)
    {
        BudgetDecision decision;
        decision.id = id;
        decision.isUnsatisfiable = true;
        borrower.decisions.push_back(std::move(decision));
        borrower.requests.erase(id);
    }

    bool isValid(const Borrower& borrower, base::TimePoint sentAt, base::TimePoint now)
    {
        return now < sentAt + borrower.options.tokenValidity || !borrower.options.checksTokenValidity;
    }

    void applyPartAnswer(Borrower& borrower, BorrowerRequest& waiting, size_t slot, const BudgetItemAnswer& item,
        int64_t epoch, base::TimePoint now)
    {
        if (waiting.parts.size() <= slot)
            return;
        if (item.status == BudgetItemStatus::TooLate) {
            waiting.isTooLate = true;
            waiting.expectedWait = std::max(waiting.expectedWait, item.retryAfter);
            return;
        }
        BorrowerPart& part = waiting.parts[slot];
        base::TimePoint sentAt = borrower.slots[slot].sentAt;
        part.isReady = item.status == BudgetItemStatus::Ready || item.status == BudgetItemStatus::Granted;
        part.nextAskAt = now + std::max<base::Duration>(item.retryAfter, base::Millis(waiting.isTaking ? 2 : 5));
        if (item.status != BudgetItemStatus::Granted) {
            // Parts granted by other lenders are kept; they are returned when they expire.
            return;
        }
        part.isGranted = true;
        part.grant = { slot, epoch, item.take, item.tokens };
        part.sentAt = sentAt;
        if (!allParts(waiting, &BorrowerPart::isGranted))
            return;
        std::vector<Grant> grants;
        base::TimePoint firstSentAt = now;
        for (const BorrowerPart& granted : waiting.parts) {
            if (granted.isExcluded)
                continue;
            grants.push_back(granted.grant);
            firstSentAt = std::min(firstSentAt, granted.sentAt);
        }
        if (isValid(borrower, firstSentAt, now))
            grantRequest(borrower, waiting.request.id, std::move(grants), firstSentAt + borrower.options.tokenValidity);
    }

    void applyItemAnswer(Borrower& borrower, size_t slot, const BudgetItem& asked, const BudgetItemAnswer& item,
        int64_t epoch, base::TimePoint now)
    {
        Grant grant { slot, epoch, item.take, item.tokens };
        auto found = borrower.requests.find(asked.requestId);
        bool isGranted = item.status == BudgetItemStatus::Granted;
        if (found == borrower.requests.end()) {
            if (isGranted)
                borrowerReturn(borrower, asked.account, grant, grant.tokens);
            return;
        }
        BorrowerRequest& waiting = found->second;
        waiting.hasAnswer = true;
        if (item.status == BudgetItemStatus::ExceedsCapacity || item.status == BudgetItemStatus::UnknownAccount) {
            refuseUnsatisfiable(borrower, asked.requestId);
            return;
        }
        borrower.slots[slot].knownLevels[asked.account] = { item.availableTokens, now };
        if (asked.mode == BudgetItemMode::Probe || asked.mode == BudgetItemMode::TakeInOrder) {
            applyPartAnswer(borrower, waiting, slot, item, epoch, now);
            return;
        }
        waiting.isInFlight = false;
        if (item.status == BudgetItemStatus::Queued) {
            waiting.isQueued = true;
            waiting.queueKey = item.queueKey;
            return;
        }
        if (!isGranted)
            return;
        base::TimePoint sentAt = borrower.slots[slot].sentAt;
        if (isValid(borrower, sentAt, now)) {
            grantRequest(borrower, asked.requestId, { grant }, sentAt + borrower.options.tokenValidity);
            return;
        }
        // The answer came too late for the tokens to be used. The request may ask this lender again.
        borrowerReturn(borrower, asked.account, grant, grant.tokens);
        waiting.triedSlotMask &= ~(1ull << slot);
        --waiting.lendersTried;
    }

} // namespace

void borrowerAnswer(Borrower& borrower, size_t slot, const BudgetAnswer& answer, base::TimePoint now)
{
    BorrowerSlot& state = borrower.slots[slot];
    if (!answer.epoch || answer.items.size() != state.pendingCall.items.size()) {
        borrowerFail(borrower, slot, now);
        return;
    }
    state.isBusy = false;
    state.consecutiveFailures = 0;
    state.epoch = answer.epoch;
    BudgetCall sent = std::move(state.pendingCall);
    state.pendingCall = {};
    for (size_t i = 0; i < sent.items.size(); ++i)
        applyItemAnswer(borrower, slot, sent.items[i], answer.items[i], answer.epoch, now);
}

void borrowerFail(Borrower& borrower, size_t slot, base::TimePoint now)
{
    BorrowerSlot& state = borrower.slots[slot];
    state.isBusy = false;
    state.retryAt = now + retryDelay * (1 << std::min(state.consecutiveFailures, maxRetryDelayDoublings));
    ++state.consecutiveFailures;
    state.knownLevels.clear();
    // Returns in a failed call are not sent again, because the lender could restore the tokens twice.
    for (const BudgetItem& asked : state.pendingCall.items) {
        auto found = borrower.requests.find(asked.requestId);
        if (found == borrower.requests.end())
            continue;
        found->second.isInFlight = false;
        if (asked.mode == BudgetItemMode::Enqueue)
            ++found->second.coordinatorsTried;
        bool isPart = asked.mode == BudgetItemMode::Probe || asked.mode == BudgetItemMode::TakeInOrder;
        if (isPart && slot < found->second.parts.size())
            found->second.parts[slot].nextAskAt = state.retryAt;
    }
    state.pendingCall = {};
}

} // namespace rattanshunt::budget

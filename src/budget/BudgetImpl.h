// Internal to budget/: slots that this daemon holds, and requests of its own that borrow. Own thread only.
#pragma once

#include "budget/BudgetService.h"

#include <set>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::budget {

using base::LogLevel;
using nlohmann::json;

inline constexpr base::Millis slotCheckInterval { 200 };
inline constexpr base::Seconds takeoverDelayPerRank {
    2
}; // each further candidate waits so much longer before it takes a slot
inline constexpr base::Seconds rebalanceDelay { 10 };    // a better placed daemon must have been there for so long
inline constexpr base::Millis callDeadlineMargin { 20 }; // an answer after the tokens' validity is of no use
inline constexpr base::Micros batchDelay { 300 };        // requests of this time share one call

struct BudgetService::Impl : std::enable_shared_from_this<BudgetService::Impl> {
    Impl(fleet::Fleet& ownFleet, const BudgetOptions& budgetOptions)
        : fleet(ownFleet)
        , options(budgetOptions)
        , borrower(borrowerCreate(budgetOptions, ownFleet.self().name,
              base::stableHash(ownFleet.self().dataCenter) % budgetOptions.slotCount))
        , catalog(std::make_shared<resources::Catalog>())
    {
    }

    struct SlotState {
        base::TimePoint sessionGoneSince {};     // when the holder's session was first missed
        base::TimePoint betterCandidateSince {}; // when a better placed daemon was first seen
        std::string goneIncarnation;
        base::TimePoint confirmedAt {};
        bool isWriting = false;
    };

    fleet::Fleet& fleet;
    BudgetOptions options;
    Borrower borrower;
    std::shared_ptr<const resources::Catalog> catalog;
    std::map<size_t, Lender> lenders;
    std::map<size_t, SlotState> slotStates;
    std::map<uint64_t, std::function<void(const BudgetDecision&)>> decisionCallbacks;
    uint64_t lastRequestId = 0;
    bool isStopped = false;
    bool isReleasing = false;
    bool isStepScheduled = false;
    net::TimerId stepTimer = 0;

    // ---- Slots -----------------------------------------------------------------------------------

    std::optional<SlotRecord> slotRecord(size_t slot, coordination::Revision& revision) const;

    bool isOwn(const SlotRecord& record) const;

    // Home state follows from the record alone, so that a write whose answer was lost is adopted when it is seen.
    void adoptSlot(size_t slot, const SlotRecord& record, coordination::Revision revision);
    void confirmSlot(size_t slot);

    size_t ownRank(size_t slot, std::string& bestName) const;
    SlotTakeoverEvidence takeoverEvidence(size_t slot, const std::optional<SlotRecord>& record, base::TimePoint now);
    void checkSlot(size_t slot, base::TimePoint now);
    void takeSlot(size_t slot, const std::optional<SlotRecord>& former, coordination::Revision revision);
    void writeSlot(size_t slot, const SlotRecord& record, coordination::Revision expected);

    // Gives the slot to a daemon that is better placed, once it has been there for a while.
    void rebalanceSlot(size_t slot, size_t rank, const std::string& best, base::TimePoint now);
    void releaseSlot(size_t slot, base::TimePoint now);
    void slotCheckLoop();

    // ---- Lending ---------------------------------------------------------------------------------

    BudgetAnswer lend(size_t slot, const BudgetCall& call);

    // ---- Borrowing -------------------------------------------------------------------------------

    void scheduleStep(base::Duration delay);
    void step();
    void sendCall(BorrowerCall call);
    void sendToPeer(const BorrowerCall& call);
    bool applyPeerAnswer(size_t slot, const json& body);
    void deliverDecisions();
};

} // namespace rattanshunt::budget

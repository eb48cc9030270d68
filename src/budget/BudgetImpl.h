// Internal to budget/: state of BudgetService, for the slots that this daemon holds and the requests that borrow here.
//
// Control thread only.
#pragma once

#include "budget/BudgetService.h"

#include <set>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::budget {

using base::LogLevel;
using nlohmann::json;

inline constexpr base::Millis slotCheckInterval { 200 };
inline constexpr base::Seconds takeoverDelayPerRank { 2 }; // extra wait per rank before taking a slot
inline constexpr base::Seconds rebalanceDelay { 10 };      // a better-ranked daemon must be present this long
inline constexpr base::Millis callDeadlineMargin { 20 };   // added to the tokens' validity; a later answer is useless
inline constexpr base::Micros batchDelay { 300 };          // requests within this time share one call

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
        base::TimePoint sessionGoneSince {};     // when the holder's session was first found missing
        base::TimePoint betterCandidateSince {}; // when a better-ranked daemon was first seen
        std::string goneIncarnation;             // of the holder that `sessionGoneSince` is about
        base::TimePoint confirmedAt {};          // see slotMayLend()
        bool isWriting = false;                  // a write of the slot record is in flight
    };

    fleet::Fleet& fleet;
    BudgetOptions options;
    Borrower borrower;
    std::shared_ptr<const resources::Catalog> catalog;
    std::map<size_t, Lender> lenders;       // by slot; only slots held by this daemon
    std::map<size_t, SlotState> slotStates; // by slot
    std::map<uint64_t, std::function<void(const BudgetDecision&)>> decisionCallbacks; // by request ID
    uint64_t lastRequestId = 0;
    bool isStopped = false;
    bool isReleasing = false;
    bool isStepScheduled = false;
    net::TimerId stepTimer = 0;

    // ---- Slots -----------------------------------------------------------------------------------

    std::optional<SlotRecord> slotRecord(size_t slot, coordination::Revision& revision) const;

    bool isOwn(const SlotRecord& record) const;

    // Creates the lender for a slot record that names this daemon. Depends on the record only, so a write that took
    // effect although its answer was lost is adopted as soon as the record is seen.
    void adoptSlot(size_t slot, const SlotRecord& record, coordination::Revision revision);
    void confirmSlot(size_t slot);

    // Returns this daemon's rank for the slot: 0 is best, the number of candidates if it is not one of them. `bestName`
    // is set to the best-ranked daemon, or is empty.
    size_t ownRank(size_t slot, std::string& bestName) const;
    SlotTakeoverEvidence takeoverEvidence(size_t slot, const std::optional<SlotRecord>& record, base::TimePoint now);
    void checkSlot(size_t slot, base::TimePoint now);
    void takeSlot(size_t slot, const std::optional<SlotRecord>& former, coordination::Revision revision);
    void writeSlot(size_t slot, const SlotRecord& record, coordination::Revision expected);

    // Releases the slot once a better-ranked daemon has been present for `rebalanceDelay`.
    void rebalanceSlot(size_t slot, size_t rank, const std::string& bestName, base::TimePoint now);

    // Stops lending from the slot and writes its record without a holder, with the remaining levels.
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

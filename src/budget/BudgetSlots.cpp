// Ownership of slots, and lending from the slots that this daemon holds.
#include "budget/BudgetImpl.h"

namespace rattanshunt::budget {

// ---- Slots ---------------------------------------------------------------------------------------

std::optional<SlotRecord> BudgetService::Impl::slotRecord(size_t slot, coordination::Revision& revision) const
{
    auto found = fleet.mirror().records.find(slotKvKey(slot));
    if (found == fleet.mirror().records.end())
        return std::nullopt;
    revision = found->second.modRevision;
    return slotFromText(found->second.value);
}

bool BudgetService::Impl::isOwn(const SlotRecord& record) const
{
    return record.holder == fleet.self().name && record.incarnation == fleet.self().incarnation;
}

void BudgetService::Impl::adoptSlot(size_t slot, const SlotRecord& record, coordination::Revision revision)
{
    Lender& lender = lenders[slot];
    if (lender.epoch == record.epoch)
        return;
    lender = {};
    lender.epoch = record.epoch;
    lender.takenOverRevision = revision;
    lender.isFirstHolder = record.epoch == 1;
    lender.handedOverLevels = record.levels;
    base::logEvent(LogLevel::Info, "budget.slot_taken", { { "slot", slot }, { "epoch", record.epoch } });
}

void BudgetService::Impl::confirmSlot(size_t slot)
{
    SlotState& state = slotStates[slot];
    if (fleet.isMember())
        state.confirmedAt = std::max(state.confirmedAt, fleet.mirror().freshAsOf);
}

size_t BudgetService::Impl::ownRank(size_t slot, std::string& bestName) const
{
    auto sessions = fleet.sessions();
    std::set<std::string> dataCenters;
    for (const fleet::Session& session : sessions)
        dataCenters.insert(session.dataCenter);
    std::vector<std::string> orderedDataCenters(dataCenters.begin(), dataCenters.end());
    std::string dataCenter = orderedDataCenters.empty() ? "" : orderedDataCenters[slot % orderedDataCenters.size()];
    auto ranked = fleet::ownersRank(sessions, fmt::format("slot/{}", slot), dataCenter);
    bestName = ranked.empty() ? "" : ranked.front().name;
    for (size_t i = 0; i < ranked.size(); ++i) {
        if (ranked[i].name == fleet.self().name)
            return i;
    }
    return ranked.size();
}

SlotTakeoverEvidence BudgetService::Impl::takeoverEvidence(
    size_t slot, const std::optional<SlotRecord>& record, base::TimePoint now)
{
    SlotTakeoverEvidence evidence;
    SlotState& state = slotStates[slot];
    evidence.isVacant = !record || record->holder.empty();
    if (evidence.isVacant)
        return evidence;
    auto session = fleet.sessionNamed(record->holder);
    evidence.isSessionGone = !session || session->incarnation != record->incarnation;
    if (!evidence.isSessionGone || state.goneIncarnation != record->incarnation)
        state.sessionGoneSince = {};
    if (evidence.isSessionGone && state.sessionGoneSince == base::TimePoint {}) {
        state.sessionGoneSince = now;
        state.goneIncarnation = record->incarnation;
    }
    evidence.sessionGoneSince = state.sessionGoneSince;
    auto address = base::parseAddress(record->address);
    evidence.isHolderKnownTerminated
        = evidence.isSessionGone && address && fleet.hasProofOfEnd(*address, record->incarnation, record->instance);
    return evidence;
}

void BudgetService::Impl::checkSlot(size_t slot, base::TimePoint now)
{
    coordination::Revision revision = 0;
    auto record = slotRecord(slot, revision);
    SlotState& state = slotStates[slot];
    std::string bestName;
    size_t rank = ownRank(slot, bestName);
    if (record && isOwn(*record)) {
        adoptSlot(slot, *record, revision);
        confirmSlot(slot);
        rebalanceSlot(slot, rank, bestName, now);
        return;
    }
    lenders.erase(slot);
    state.betterCandidateSince = {};
    SlotTakeoverEvidence evidence = takeoverEvidence(slot, record, now);
    // Only the best-ranked daemon takes a vacant slot. If the holder is gone, lower-ranked daemons may take it too,
    // each after its own delay.
    bool isNoHolderGone = !record || record->holder.empty() || state.sessionGoneSince == base::TimePoint {};
    base::TimePoint takeoverAt
        = isNoHolderGone ? now : state.sessionGoneSince + takeoverDelayPerRank * static_cast<int>(rank);
    bool isCandidate
        = rank < fleet.sessions().size() && fleet.isMember() && (rank == 0 || (!isNoHolderGone && now >= takeoverAt));
    if (isCandidate && !state.isWriting && !isReleasing && slotMayTake(evidence, now, options))
        takeSlot(slot, record, revision);
}

void BudgetService::Impl::takeSlot(
    size_t slot, const std::optional<SlotRecord>& former, coordination::Revision revision)
{
    SlotRecord record;
    record.holder = fleet.self().name;
    record.incarnation = fleet.self().incarnation;
    record.address = base::formatAddress(fleet.self().peerAddress);
    record.instance = fleet.options().instanceId;
    record.epoch = former ? former->epoch + 1 : 1;
    record.operation = base::randomId();
    if (former && former->holder.empty())
        record.levels = former->levels;
    writeSlot(slot, record, revision);
}

void BudgetService::Impl::writeSlot(size_t slot, const SlotRecord& record, coordination::Revision expected)
{
    slotStates[slot].isWriting = true;
    fleet.loop().spawn([self = shared_from_this(), slot, record, expected] {
        std::string text = slotToText(record);
        coordination::KvSwapResult result = coordination::kvSwap(self->fleet.kv(), slotKvKey(slot), expected, text);
        self->slotStates[slot].isWriting = false;
        if (result.outcome == coordination::KvSwapOutcome::Done)
            self->fleet.applyOwnWrite(slotKvKey(slot), text, result.modRevision);
    });
}

void BudgetService::Impl::rebalanceSlot(size_t slot, size_t rank, const std::string& bestName, base::TimePoint now)
{
    SlotState& state = slotStates[slot];
    if (rank == 0 || bestName.empty()) {
        state.betterCandidateSince = {};
        return;
    }
    if (state.betterCandidateSince == base::TimePoint {})
        state.betterCandidateSince = now;
    if (now - state.betterCandidateSince < rebalanceDelay || state.isWriting)
        return;
    state.betterCandidateSince = {};
    releaseSlot(slot, now);
}

void BudgetService::Impl::releaseSlot(size_t slot, base::TimePoint now)
{
    coordination::Revision revision = 0;
    auto record = slotRecord(slot, revision);
    auto lender = lenders.find(slot);
    if (!record || !isOwn(*record) || lender == lenders.end())
        return;
    SlotRecord released = *record;
    released.holder.clear();
    released.incarnation.clear();
    released.operation = base::randomId();
    released.levels = lenderLevels(lender->second, now);
    // Stop lending now, whether or not the write takes effect.
    lenders.erase(lender);
    slotStates[slot].confirmedAt = {};
    base::logEvent(LogLevel::Info, "budget.slot_released", { { "slot", slot } });
    writeSlot(slot, released, revision);
}

void BudgetService::Impl::slotCheckLoop()
{
    while (!isStopped) {
        base::TimePoint now = base::Clock::now();
        for (size_t slot = 0; slot < options.slotCount; ++slot) {
            if (!isReleasing && !slotStates[slot].isWriting)
                checkSlot(slot, now);
        }
        net::sleepFor(slotCheckInterval);
    }
}

// ---- Lending -------------------------------------------------------------------------------------

BudgetAnswer BudgetService::Impl::lend(size_t slot, const BudgetCall& call)
{
    base::TimePoint now = base::Clock::now();
    auto lender = lenders.find(slot);
    if (lender == lenders.end() || !slotMayLend(slotStates[slot].confirmedAt, now, options))
        return {};
    auto lookup = [this](const std::string& name) {
        auto account = catalog->accounts.find(name);
        if (account == catalog->accounts.end())
            return LenderAccountSpec {};
        return LenderAccountSpec { &account->second, catalog->accountCreateRevisions.at(name) };
    };
    return lenderAnswer(lender->second, call, lookup, options, now);
}

} // namespace rattanshunt::budget

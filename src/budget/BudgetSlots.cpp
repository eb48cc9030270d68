// Slots of the budget: who holds them, and lending from those that this daemon holds.
#include "budget/BudgetImpl.h"

namespace rattanshunt::budget {

// ---- Slots ---------------------------------------------------------------------------------------

std::optional<SlotRecord> BudgetService::Impl::recordOf(size_t slot, coordination::Revision& revision) const
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

void BudgetService::Impl::adopt(size_t slot, const SlotRecord& record, coordination::Revision revision)
{
    Home& home = homes[slot];
    if (home.epoch == record.epoch)
        return;
    home = {};
    home.epoch = record.epoch;
    home.takenOver = revision;
    home.isFirstHolder = record.epoch == 1;
    home.levels = record.levels;
    base::logEvent(LogLevel::Info, "budget.slot_taken", { { "slot", slot }, { "epoch", record.epoch } });
}

void BudgetService::Impl::confirm(size_t slot)
{
    SlotUpkeep& state = upkeep[slot];
    if (fleet.isMember())
        state.confirmedAt = std::max(state.confirmedAt, fleet.mirror().freshAsOf);
}

size_t BudgetService::Impl::rankFor(size_t slot, std::string& bestName) const
{
    auto sessions = fleet.sessions();
    std::set<std::string> centers;
    for (const fleet::Session& session : sessions)
        centers.insert(session.dataCenter);
    std::vector<std::string> ordered(centers.begin(), centers.end());
    std::string center = ordered.empty() ? "" : ordered[slot % ordered.size()];
    auto ranked = fleet::ownersRank(sessions, fmt::format("slot/{}", slot), center);
    bestName = ranked.empty() ? "" : ranked.front().name;
    for (size_t i = 0; i < ranked.size(); ++i) {
        if (ranked[i].name == fleet.self().name)
            return i;
    }
    return ranked.size();
}

SlotTakeover BudgetService::Impl::takeoverView(
    size_t slot, const std::optional<SlotRecord>& record, base::TimePoint now)
{
    SlotTakeover view;
    SlotUpkeep& state = upkeep[slot];
    view.isVacant = !record || record->holder.empty();
    if (view.isVacant)
        return view;
    auto session = fleet.sessionNamed(record->holder);
    view.isSessionGone = !session || session->incarnation != record->incarnation;
    if (!view.isSessionGone || state.goneHolder != record->incarnation)
        state.goneSince = {};
    if (view.isSessionGone && state.goneSince == base::TimePoint {}) {
        state.goneSince = now;
        state.goneHolder = record->incarnation;
    }
    view.goneSince = state.goneSince;
    auto address = base::parseAddress(record->address);
    view.hasProof
        = view.isSessionGone && address && fleet.hasProofOfEnd(*address, record->incarnation, record->instance);
    return view;
}

void BudgetService::Impl::upkeepSlot(size_t slot, base::TimePoint now)
{
    coordination::Revision revision = 0;
    auto record = recordOf(slot, revision);
    SlotUpkeep& state = upkeep[slot];
    std::string best;
    size_t rank = rankFor(slot, best);
    if (record && isOwn(*record)) {
        adopt(slot, *record, revision);
        confirm(slot);
        rebalance(slot, rank, best, now);
        return;
    }
    homes.erase(slot);
    state.betterSince = {};
    SlotTakeover view = takeoverView(slot, record, now);
    bool isFirst = !record || record->holder.empty() || state.goneSince == base::TimePoint {};
    base::TimePoint mayAct = isFirst ? now : state.goneSince + rankDelay * static_cast<int>(rank);
    bool isCandidate = rank < fleet.sessions().size() && fleet.isMember() && (rank == 0 || (!isFirst && now >= mayAct));
    if (isCandidate && !state.isWriting && !isReleasing && slotMayTake(view, now, options))
        take(slot, record, revision);
}

void BudgetService::Impl::take(size_t slot, const std::optional<SlotRecord>& former, coordination::Revision revision)
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
    upkeep[slot].isWriting = true;
    fleet.loop().spawn([self = shared_from_this(), slot, record, expected] {
        std::string text = slotToText(record);
        coordination::KvSwapResult swap = coordination::kvSwap(self->fleet.kv(), slotKvKey(slot), expected, text);
        self->upkeep[slot].isWriting = false;
        if (swap.outcome == coordination::KvSwapOutcome::Done)
            self->fleet.noteWritten(slotKvKey(slot), text, swap.modRevision);
    });
}

void BudgetService::Impl::rebalance(size_t slot, size_t rank, const std::string& best, base::TimePoint now)
{
    SlotUpkeep& state = upkeep[slot];
    if (rank == 0 || best.empty()) {
        state.betterSince = {};
        return;
    }
    if (state.betterSince == base::TimePoint {})
        state.betterSince = now;
    if (now - state.betterSince < rebalanceDelay || state.isWriting)
        return;
    state.betterSince = {};
    releaseSlot(slot, now);
}

void BudgetService::Impl::releaseSlot(size_t slot, base::TimePoint now)
{
    coordination::Revision revision = 0;
    auto record = recordOf(slot, revision);
    auto home = homes.find(slot);
    if (!record || !isOwn(*record) || home == homes.end())
        return;
    SlotRecord released = *record;
    released.holder.clear();
    released.incarnation.clear();
    released.operation = base::randomId();
    released.levels = homeLevels(home->second, now);
    // From here on nothing is lent, whether or not the write takes effect.
    homes.erase(home);
    upkeep[slot].confirmedAt = {};
    base::logEvent(LogLevel::Info, "budget.slot_released", { { "slot", slot } });
    writeSlot(slot, released, revision);
}

void BudgetService::Impl::upkeepLoop()
{
    while (!isStopped) {
        base::TimePoint now = base::Clock::now();
        for (size_t slot = 0; slot < options.slots; ++slot) {
            if (!isReleasing && !upkeep[slot].isWriting)
                upkeepSlot(slot, now);
        }
        net::sleepFor(upkeepInterval);
    }
}

// ---- Lending -------------------------------------------------------------------------------------

BudgetAnswer BudgetService::Impl::lend(size_t slot, const BudgetCall& call)
{
    base::TimePoint now = base::Clock::now();
    auto home = homes.find(slot);
    if (home == homes.end() || !slotMayLend(upkeep[slot].confirmedAt, now, options))
        return {};
    auto lookup = [this](const std::string& name) {
        auto account = catalog->accounts.find(name);
        if (account == catalog->accounts.end())
            return HomeAccountSpec {};
        return HomeAccountSpec { &account->second, catalog->accountsCreated.at(name) };
    };
    return homeAnswer(home->second, call, lookup, options, now);
}

} // namespace rattanshunt::budget

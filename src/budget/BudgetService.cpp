#include "budget/BudgetService.h"

#include <set>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::budget {

using base::LogLevel;
using nlohmann::json;

namespace {
    constexpr base::Millis upkeepInterval { 200 };
    constexpr base::Seconds rankDelay { 2 };       // each further candidate waits so much longer before it takes a slot
    constexpr base::Seconds rebalanceDelay { 10 }; // a better placed daemon must have been there for so long
    constexpr base::Millis callSlack { 20 };       // an answer after the tokens' validity is of no use
    constexpr base::Micros coalesceTime { 300 };   // requests of this time share one call
}

struct BudgetService::Impl : std::enable_shared_from_this<BudgetService::Impl> {
    Impl(fleet::Fleet& ownFleet, const BudgetOptions& budgetOptions)
        : fleet(ownFleet)
        , options(budgetOptions)
        , borrower(borrowerCreate(
              budgetOptions, ownFleet.self().name, base::stableHash(ownFleet.self().dataCenter) % budgetOptions.slots))
        , catalog(std::make_shared<resources::Catalog>())
    {
    }

    struct SlotUpkeep {
        base::TimePoint goneSince {};   // when the holder's session was first missed
        base::TimePoint betterSince {}; // when a better placed daemon was first seen
        std::string goneHolder;
        base::TimePoint confirmedAt {};
        bool isWriting = false;
    };

    fleet::Fleet& fleet;
    BudgetOptions options;
    Borrower borrower;
    std::shared_ptr<const resources::Catalog> catalog;
    std::map<size_t, Home> homes;
    std::map<size_t, SlotUpkeep> upkeep;
    std::map<uint64_t, std::function<void(const BudgetDecision&)>> waiting;
    uint64_t lastRequest = 0;
    bool isStopped = false;
    bool isReleasing = false;
    bool isStepPlanned = false;
    net::TimerId stepTimer = 0;

    // ---- Slots -----------------------------------------------------------------------------------

    std::optional<SlotRecord> recordOf(size_t slot, platform::Revision& revision) const
    {
        auto found = fleet.mirror().records.find(slotKvKey(slot));
        if (found == fleet.mirror().records.end())
            return std::nullopt;
        revision = found->second.modRevision;
        return slotFromText(found->second.value);
    }

    bool isOwn(const SlotRecord& record) const
    {
        return record.holder == fleet.self().name && record.incarnation == fleet.self().incarnation;
    }

    // Home state follows from the record alone, so that a write whose answer was lost is adopted when it is seen.
    void adopt(size_t slot, const SlotRecord& record, platform::Revision revision)
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

    void confirm(size_t slot)
    {
        SlotUpkeep& state = upkeep[slot];
        if (fleet.isMember())
            state.confirmedAt = std::max(state.confirmedAt, fleet.mirror().freshAsOf);
    }

    size_t rankFor(size_t slot, std::string& bestName) const
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

    SlotTakeover takeoverView(size_t slot, const std::optional<SlotRecord>& record, base::TimePoint now)
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

    void upkeepSlot(size_t slot, base::TimePoint now)
    {
        platform::Revision revision = 0;
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
        bool isCandidate
            = rank < fleet.sessions().size() && fleet.isMember() && (rank == 0 || (!isFirst && now >= mayAct));
        if (isCandidate && !state.isWriting && !isReleasing && slotMayTake(view, now, options))
            take(slot, record, revision);
    }

    void take(size_t slot, const std::optional<SlotRecord>& former, platform::Revision revision)
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

    void writeSlot(size_t slot, const SlotRecord& record, platform::Revision expected)
    {
        upkeep[slot].isWriting = true;
        fleet.loop().spawn([self = shared_from_this(), slot, record, expected] {
            std::string text = slotToText(record);
            platform::KvSwapResult swap = platform::kvSwap(self->fleet.kv(), slotKvKey(slot), expected, text);
            self->upkeep[slot].isWriting = false;
            if (swap.outcome == platform::KvSwapOutcome::Done)
                self->fleet.noteWritten(slotKvKey(slot), text, swap.modRevision);
        });
    }

    // Gives the slot to a daemon that is better placed, once it has been there for a while.
    void rebalance(size_t slot, size_t rank, const std::string& best, base::TimePoint now)
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

    void releaseSlot(size_t slot, base::TimePoint now)
    {
        platform::Revision revision = 0;
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

    void upkeepLoop()
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

    // ---- Lending ---------------------------------------------------------------------------------

    BudgetAnswer lend(size_t slot, const BudgetCall& call)
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

    // ---- Borrowing -------------------------------------------------------------------------------

    void planStep(base::Duration delay)
    {
        if (isStepPlanned || isStopped)
            return;
        isStepPlanned = true;
        if (delay <= base::Duration::zero()) {
            fleet.loop().post([self = shared_from_this()] { self->step(); });
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(fleet.loop().io(), delay);
        timer->async_wait([self = shared_from_this(), timer](net::ErrorCode) { self->step(); });
    }

    void step()
    {
        isStepPlanned = false;
        if (isStopped)
            return;
        base::TimePoint now = base::Clock::now();
        for (BorrowerCall& call : borrowerStep(borrower, now))
            send(std::move(call));
        deliver();
        base::TimePoint next = borrowerNextStep(borrower, base::Clock::now());
        fleet.loop().timers().cancel(stepTimer);
        if (next != base::timeNever)
            stepTimer = fleet.loop().timers().subscribe(next, [self = shared_from_this()] { self->planStep({}); });
    }

    void send(BorrowerCall call)
    {
        if (homes.contains(call.slot)) {
            borrowerAnswer(borrower, call.slot, lend(call.slot, call.call), base::Clock::now());
            planStep(coalesceTime);
            return;
        }
        fleet.loop().spawn([self = shared_from_this(), call = std::move(call)] { self->sendToPeer(call); });
    }

    void sendToPeer(const BorrowerCall& call)
    {
        platform::Revision revision = 0;
        auto record = recordOf(call.slot, revision);
        auto address = record ? base::parseAddress(record->address) : std::nullopt;
        bool isDone = false;
        if (record && !record->holder.empty() && address && !isOwn(*record)) {
            json body = { { "slot", call.slot }, { "call", budgetCallToJson(call.call) } };
            base::TimePoint deadline = borrower.slots[call.slot].sentAt + options.validity + callSlack;
            net::PeerResult result = fleet.peers().call(*address, "budget", body, deadline);
            if (result.error == net::PeerError::None)
                isDone = answerFromPeer(call.slot, result.body);
        }
        if (!isDone) {
            base::counterAdd("budget_calls_failed_total");
            borrowerFail(borrower, call.slot, base::Clock::now());
        }
        planStep({});
    }

    bool answerFromPeer(size_t slot, const json& body)
    {
        try {
            borrowerAnswer(borrower, slot, budgetAnswerFromJson(body), base::Clock::now());
            return true;
        } catch (const json::exception&) {
            return false;
        }
    }

    void deliver()
    {
        auto decisions = std::move(borrower.decisions);
        borrower.decisions.clear();
        for (const BudgetDecision& decision : decisions) {
            auto found = waiting.find(decision.id);
            if (found == waiting.end())
                continue;
            auto onDecision = std::move(found->second);
            waiting.erase(found);
            onDecision(decision);
        }
    }
};

BudgetService::BudgetService(fleet::Fleet& fleet, const BudgetOptions& options)
    : m_impl(std::make_shared<Impl>(fleet, options))
{
    fleet.addMethod("budget", [impl = m_impl](const std::string&, const json& body) {
        return budgetAnswerToJson(impl->lend(body.at("slot").get<size_t>(), budgetCallFromJson(body.at("call"))));
    });
}

BudgetService::~BudgetService() = default;

void BudgetService::start()
{
    m_impl->fleet.loop().spawn([impl = m_impl] { impl->upkeepLoop(); });
}

void BudgetService::release()
{
    m_impl->isReleasing = true;
    base::TimePoint deadline = base::Clock::now() + base::Seconds(2);
    for (size_t slot = 0; slot < m_impl->options.slots; ++slot)
        m_impl->releaseSlot(slot, base::Clock::now());
    auto isWriting = [&] {
        return std::any_of(
            m_impl->upkeep.begin(), m_impl->upkeep.end(), [](auto& item) { return item.second.isWriting; });
    };
    while (isWriting() && base::Clock::now() < deadline)
        net::sleepFor(base::Millis(10));
}

void BudgetService::stop()
{
    m_impl->isStopped = true;
}

void BudgetService::setCatalog(std::shared_ptr<const resources::Catalog> catalog)
{
    m_impl->catalog = std::move(catalog);
}

void BudgetService::request(BudgetRequest request, std::function<void(const BudgetDecision&)> onDecision)
{
    m_impl->fleet.loop().post(
        [impl = m_impl, request = std::move(request), onDecision = std::move(onDecision)]() mutable {
            request.id = ++impl->lastRequest;
            impl->waiting[request.id] = std::move(onDecision);
            borrowerAdd(impl->borrower, request);
            impl->planStep({});
        });
}

void BudgetService::giveBack(std::vector<UnusedTokens> unused)
{
    m_impl->fleet.loop().post([impl = m_impl, unused = std::move(unused)] {
        for (const UnusedTokens& item : unused)
            borrowerReturn(impl->borrower, item.account, item.grant, item.tokens);
        impl->planStep(coalesceTime);
    });
}

std::vector<SlotStatus> BudgetService::slots() const
{
    std::vector<SlotStatus> list;
    for (size_t slot = 0; slot < m_impl->options.slots; ++slot) {
        platform::Revision revision = 0;
        auto record = m_impl->recordOf(slot, revision);
        SlotStatus status { slot, record ? record->holder : "", record ? record->epoch : 0, false, {} };
        auto home = m_impl->homes.find(slot);
        if (home != m_impl->homes.end()) {
            status.isOwn = true;
            status.levels = homeLevels(home->second, base::Clock::now());
        }
        list.push_back(std::move(status));
    }
    return list;
}

} // namespace rattanshunt::budget

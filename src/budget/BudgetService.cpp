// Sends the borrower's calls, delivers its decisions, and implements the public methods of BudgetService.
#include "budget/BudgetImpl.h"

namespace rattanshunt::budget {

// ---- Borrowing -----------------------------------------------------------------------------------

void BudgetService::Impl::scheduleStep(base::Duration delay)
{
    if (isStepScheduled || isStopped)
        return;
    isStepScheduled = true;
    if (delay <= base::Duration::zero()) {
        fleet.loop().post([self = shared_from_this()] { self->step(); });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(fleet.loop().io(), delay);
    timer->async_wait([self = shared_from_this(), timer](net::ErrorCode) { self->step(); });
}

void BudgetService::Impl::step()
{
    isStepScheduled = false;
    if (isStopped)
        return;
    base::TimePoint now = base::Clock::now();
    for (BorrowerCall& call : borrowerStep(borrower, now))
        sendCall(std::move(call));
    deliverDecisions();
    base::TimePoint next = borrowerNextStepTime(borrower, base::Clock::now());
    fleet.loop().timers().cancel(stepTimer);
    if (next != base::timeNever)
        stepTimer = fleet.loop().timers().subscribe(next, [self = shared_from_this()] { self->scheduleStep({}); });
}

void BudgetService::Impl::sendCall(BorrowerCall call)
{
    if (lenders.contains(call.slot)) {
        borrowerAnswer(borrower, call.slot, lend(call.slot, call.call), base::Clock::now());
        scheduleStep(batchDelay);
        return;
    }
    fleet.loop().spawn([self = shared_from_this(), call = std::move(call)] { self->sendToPeer(call); });
}

void BudgetService::Impl::sendToPeer(const BorrowerCall& call)
{
    coordination::Revision revision = 0;
    auto record = slotRecord(call.slot, revision);
    auto address = record ? base::parseAddress(record->address) : std::nullopt;
    bool isDone = false;
    if (record && !record->holder.empty() && address && !isOwn(*record)) {
        json body = { { "slot", call.slot }, { "call", budgetCallToJson(call.call) } };
        base::TimePoint deadline = borrower.slots[call.slot].sentAt + options.tokenValidity + callDeadlineMargin;
        net::PeerResult result = fleet.peers().call(*address, "budget", body, deadline);
        if (result.error == net::PeerError::None)
            isDone = applyPeerAnswer(call.slot, result.body);
    }
    if (!isDone) {
        base::counterAdd("budget_calls_failed_total");
        borrowerFail(borrower, call.slot, base::Clock::now());
    }
    scheduleStep({});
}

bool BudgetService::Impl::applyPeerAnswer(size_t slot, const json& body)
{
    try {
        borrowerAnswer(borrower, slot, budgetAnswerFromJson(body), base::Clock::now());
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

void BudgetService::Impl::deliverDecisions()
{
    auto decisions = std::move(borrower.decisions);
    borrower.decisions.clear();
    for (const BudgetDecision& decision : decisions) {
        auto found = decisionCallbacks.find(decision.id);
        if (found == decisionCallbacks.end())
            continue;
        auto onDecision = std::move(found->second);
        decisionCallbacks.erase(found);
        onDecision(decision);
    }
}

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
    m_impl->fleet.loop().spawn([impl = m_impl] { impl->slotCheckLoop(); });
}

void BudgetService::release()
{
    m_impl->isReleasing = true;
    base::TimePoint deadline = base::Clock::now() + base::Seconds(2);
    for (size_t slot = 0; slot < m_impl->options.slotCount; ++slot)
        m_impl->releaseSlot(slot, base::Clock::now());
    auto isWriting = [&] {
        return std::any_of(
            m_impl->slotStates.begin(), m_impl->slotStates.end(), [](auto& item) { return item.second.isWriting; });
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
            request.id = ++impl->lastRequestId;
            impl->decisionCallbacks[request.id] = std::move(onDecision);
            borrowerAdd(impl->borrower, request);
            impl->scheduleStep({});
        });
}

void BudgetService::returnTokens(std::vector<UnusedTokens> unused)
{
    m_impl->fleet.loop().post([impl = m_impl, unused = std::move(unused)] {
        for (const UnusedTokens& item : unused)
            borrowerReturn(impl->borrower, item.account, item.grant, item.tokens);
        impl->scheduleStep(batchDelay);
    });
}

std::vector<SlotStatus> BudgetService::slots() const
{
    std::vector<SlotStatus> statuses;
    for (size_t slot = 0; slot < m_impl->options.slotCount; ++slot) {
        coordination::Revision revision = 0;
        auto record = m_impl->slotRecord(slot, revision);
        SlotStatus status { slot, record ? record->holder : "", record ? record->epoch : 0, false, {} };
        auto lender = m_impl->lenders.find(slot);
        if (lender != m_impl->lenders.end()) {
            status.isOwn = true;
            status.levels = lenderLevels(lender->second, base::Clock::now());
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace rattanshunt::budget

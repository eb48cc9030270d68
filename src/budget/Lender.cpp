#include "budget/Lender.h"
#include "base/Json.h"

#include <fmt/format.h>

namespace rattanshunt::budget {

using nlohmann::json;

namespace {

    constexpr base::Millis waiterTimeout { 400 }; // a waiter that does not ask again within this time is removed
    constexpr base::Millis minRetryAfter { 5 };
    constexpr base::Millis maxRetryAfter { 100 };
    constexpr base::Seconds maxTurnTime { 3600 };
    // Waiters ahead may use up 1/2 of a new waiter's remaining time. The rest is left for serving the request.
    constexpr int newWaiterTimeDivisor = 2;
    constexpr double extraMinLevelFraction = 0.5; // extra tokens are lent only from the upper half of the bucket

    LenderAccount* findAccount(Lender& lender, const std::string& name, const AccountLookup& lookup,
        const BudgetOptions& options, base::TimePoint now)
    {
        LenderAccountSpec spec = lookup(name);
        if (!spec.account)
            return nullptr;
        LenderShare share = lenderShare(*spec.account, options);
        auto found = lender.accounts.find(name);
        if (found != lender.accounts.end()) {
            bucketConfigure(found->second.bucket, share.rate, share.capacity, now);
            return &found->second;
        }
        // Start empty if there was a former holder: it may have lent all tokens just before it ended.
        bool wasNeverLent = lender.isFirstHolder || spec.createRevision > lender.takenOverRevision;
        double level = wasNeverLent ? share.capacity : 0;
        auto handedOver = lender.handedOverLevels.find(name);
        if (handedOver != lender.handedOverLevels.end())
            level = handedOver->second;
        LenderAccount account { bucketCreate(share.rate, share.capacity, level, now), {} };
        return &lender.accounts.emplace(name, std::move(account)).first->second;
    }

    void removeExpiredWaiters(LenderAccount& account, base::TimePoint now)
    {
        std::erase_if(account.waiters, [&](const LenderWaiter& waiter) { return waiter.expiresAt <= now; });
    }

    // Returns the tokens that other waiters ahead of `waiterId` at `queueKey` need.
    double tokensAhead(const LenderAccount& account, int64_t queueKey, const std::string& waiterId)
    {
        double sum = 0;
        for (const LenderWaiter& waiter : account.waiters) {
            bool isAhead = waiter.queueKey < queueKey || (waiter.queueKey == queueKey && waiter.waiterId < waiterId);
            if (isAhead && waiter.waiterId != waiterId)
                sum += waiter.tokens;
        }
        return sum;
    }

    base::Micros refillTime(const Bucket& bucket, double missing)
    {
        base::Duration wait = base::durationOf(bucket.rate > 0 ? missing / bucket.rate : 1);
        return std::chrono::duration_cast<base::Micros>(std::clamp<base::Duration>(wait, minRetryAfter, maxRetryAfter));
    }

    void refreshWaiter(LenderAccount& account, const BudgetItem& item, int64_t queueKey, base::TimePoint now)
    {
        std::erase_if(account.waiters, [&](const LenderWaiter& waiter) { return waiter.waiterId == item.waiterId; });
        LenderWaiter refreshed { item.waiterId, queueKey, item.tokens, now + waiterTimeout };
        auto position = std::find_if(account.waiters.begin(), account.waiters.end(), [&](const LenderWaiter& other) {
            return other.queueKey > queueKey || (other.queueKey == queueKey && other.waiterId > item.waiterId);
        });
        account.waiters.insert(position, std::move(refreshed));
    }

    void removeWaiter(LenderAccount& account, const std::string& waiterId)
    {
        std::erase_if(account.waiters, [&](const LenderWaiter& waiter) { return waiter.waiterId == waiterId; });
    }

    void answerTake(LenderAccount& account, const BudgetItem& item, BudgetItemAnswer& answer, base::TimePoint now)
    {
        Bucket& bucket = account.bucket;
        double reserved = tokensAhead(account, std::numeric_limits<int64_t>::max(), item.waiterId);
        double available = bucketLevel(bucket, now) - reserved;
        answer.availableTokens = available;
        if (available < item.tokens) {
            answer.retryAfter = refillTime(bucket, item.tokens - available);
            return;
        }
        double spare = reserved > 0 ? 0 : available - std::max(item.tokens, bucket.capacity * extraMinLevelFraction);
        double tokens = item.tokens + std::clamp(spare, 0.0, item.extraTokens);
        answer.take = bucketTake(bucket, tokens, now);
        if (!answer.take)
            return;
        answer.status = BudgetItemStatus::Granted;
        answer.tokens = tokens;
        answer.availableTokens = available - tokens;
    }

    void answerEnqueue(
        BudgetItemAnswer& answer, const BudgetItem& item, const BudgetOptions& options, base::TimePoint now)
    {
        base::Duration headStart = options.classHeadStart * static_cast<int>(item.priority);
        base::TimePoint arrival = now - item.waited - headStart;
        answer.status = BudgetItemStatus::Queued;
        answer.queueKey = std::chrono::duration_cast<base::Micros>(arrival.time_since_epoch()).count();
    }

    // Returns the time until the bucket has refilled from `available` to `tokens`, at most `maxTurnTime`.
    base::Micros timeUntilTurn(const Bucket& bucket, double tokens, double available)
    {
        if (tokens <= available)
            return base::Micros(0);
        if (bucket.rate <= 0)
            return std::chrono::duration_cast<base::Micros>(maxTurnTime);
        return std::chrono::duration_cast<base::Micros>(
            std::min<base::Duration>(base::durationOf((tokens - available) / bucket.rate), maxTurnTime));
    }

    bool isTurnTooLate(const Bucket& bucket, const BudgetItem& item, double available)
    {
        if (item.maxWait.count() <= 0)
            return false;
        return timeUntilTurn(bucket, item.tokens, available) > item.maxWait
            || (item.isNewWaiter && timeUntilTurn(bucket, 0, available) > item.maxWait / newWaiterTimeDivisor);
    }

    void answerInOrder(LenderAccount& account, const BudgetItem& item, BudgetItemAnswer& answer, base::TimePoint now)
    {
        Bucket& bucket = account.bucket;
        refreshWaiter(account, item, item.queueKey, now);
        double ahead = tokensAhead(account, item.queueKey, item.waiterId);
        double available = bucketLevel(bucket, now) - ahead;
        answer.availableTokens = available;
        if (isTurnTooLate(bucket, item, available)) {
            removeWaiter(account, item.waiterId);
            answer.status = BudgetItemStatus::TooLate;
            answer.retryAfter = timeUntilTurn(bucket, item.tokens, available);
            return;
        }
        if (available < item.tokens) {
            answer.retryAfter = refillTime(bucket, item.tokens - available);
            return;
        }
        if (item.mode == BudgetItemMode::Probe) {
            answer.status = BudgetItemStatus::Ready;
            return;
        }
        answer.take = bucketTake(bucket, item.tokens, now);
        if (!answer.take)
            return;
        removeWaiter(account, item.waiterId);
        answer.status = BudgetItemStatus::Granted;
        answer.tokens = item.tokens;
    }

    BudgetItemAnswer answerItem(Lender& lender, const BudgetItem& item, const AccountLookup& lookup,
        const BudgetOptions& options, base::TimePoint now)
    {
        BudgetItemAnswer answer;
        answer.requestId = item.requestId;
        LenderAccount* account = findAccount(lender, item.account, lookup, options, now);
        if (!account) {
            answer.status = BudgetItemStatus::UnknownAccount;
            return answer;
        }
        removeExpiredWaiters(*account, now);
        bool isPart = item.mode == BudgetItemMode::Probe || item.mode == BudgetItemMode::TakeInOrder;
        if (isPart && item.tokens > account->bucket.capacity) {
            answer.status = BudgetItemStatus::ExceedsCapacity;
            return answer;
        }
        switch (item.mode) {
        case BudgetItemMode::Take:
            answerTake(*account, item, answer, now);
            break;
        case BudgetItemMode::Enqueue:
            answerEnqueue(answer, item, options, now);
            break;
        case BudgetItemMode::Probe:
        case BudgetItemMode::TakeInOrder:
            answerInOrder(*account, item, answer, now);
            break;
        case BudgetItemMode::Leave:
            removeWaiter(*account, item.waiterId);
            break;
        }
        return answer;
    }

    void applyReturns(Lender& lender, const BudgetCall& call, const AccountLookup& lookup, const BudgetOptions& options,
        base::TimePoint now)
    {
        for (const TokenReturn& tokenReturn : call.returns) {
            LenderAccount* account = findAccount(lender, tokenReturn.account, lookup, options, now);
            if (!account)
                continue;
            // Charges apply in any epoch. Unused tokens can be returned only to the lender that granted them.
            if (tokenReturn.tokens < 0)
                bucketCharge(account->bucket, -tokenReturn.tokens, now);
            else if (call.epoch == lender.epoch)
                bucketReturn(account->bucket, tokenReturn.tokens, tokenReturn.take, now);
        }
    }

} // namespace

LenderShare lenderShare(const resources::Account& account, const BudgetOptions& options)
{
    double part = 1.0 / static_cast<double>(options.slotCount);
    LenderShare share { account.rate * part, account.burst * part };
    if (options.lowersBurst)
        share.capacity -= share.rate * base::secondsOf(options.tokenValidity);
    return share;
}

BudgetAnswer lenderAnswer(Lender& lender, const BudgetCall& call, const AccountLookup& lookup,
    const BudgetOptions& options, base::TimePoint now)
{
    BudgetAnswer answer;
    answer.epoch = lender.epoch;
    applyReturns(lender, call, lookup, options, now);
    for (const BudgetItem& item : call.items)
        answer.items.push_back(answerItem(lender, item, lookup, options, now));
    return answer;
}

std::map<std::string, double> lenderLevels(const Lender& lender, base::TimePoint now)
{
    std::map<std::string, double> levels = lender.handedOverLevels;
    for (auto& [name, account] : lender.accounts)
        levels[name] = bucketLevel(account.bucket, now);
    return levels;
}

json budgetCallToJson(const BudgetCall& call)
{
    json items = json::array();
    for (const BudgetItem& item : call.items) {
        items.push_back({ item.requestId, item.account, static_cast<int>(item.mode), item.tokens, item.extraTokens,
            static_cast<int>(item.priority), item.waited.count(), item.queueKey, item.waiterId, item.maxWait.count(),
            item.isNewWaiter });
    }
    json returns = json::array();
    for (const TokenReturn& tokenReturn : call.returns)
        returns.push_back({ tokenReturn.account, tokenReturn.tokens, tokenReturn.take });
    return { { "e", call.epoch }, { "i", std::move(items) }, { "r", std::move(returns) } };
}

BudgetCall budgetCallFromJson(const json& object)
{
    BudgetCall call;
    call.epoch = object.at("e").get<int64_t>();
    for (const json& entry : object.at("i")) {
        BudgetItem item;
        item.requestId = entry.at(0).get<uint64_t>();
        item.account = entry.at(1).get<std::string>();
        item.mode = static_cast<BudgetItemMode>(
            std::clamp(entry.at(2).get<int>(), 0, static_cast<int>(BudgetItemMode::Leave)));
        item.tokens = entry.at(3).get<double>();
        item.extraTokens = entry.at(4).get<double>();
        item.priority = static_cast<resources::PriorityClass>(std::clamp(entry.at(5).get<int>(), 0, 2));
        item.waited = base::Micros(entry.at(6).get<int64_t>());
        item.queueKey = entry.at(7).get<int64_t>();
        item.waiterId = entry.at(8).get<std::string>();
        // Version 0.2.0 does not send these two fields.
        if (entry.size() > 10) {
            item.maxWait = base::Micros(entry.at(9).get<int64_t>());
            item.isNewWaiter = entry.at(10).get<bool>();
        }
        call.items.push_back(std::move(item));
    }
    for (const json& entry : object.at("r"))
        call.returns.push_back(
            { entry.at(0).get<std::string>(), entry.at(1).get<double>(), entry.at(2).get<TakeNumber>() });
    return call;
}

json budgetAnswerToJson(const BudgetAnswer& answer)
{
    json items = json::array();
    for (const BudgetItemAnswer& item : answer.items) {
        items.push_back({ item.requestId, static_cast<int>(item.status), item.tokens, item.take, item.queueKey,
            item.availableTokens, item.retryAfter.count() });
    }
    return { { "e", answer.epoch }, { "i", std::move(items) } };
}

BudgetAnswer budgetAnswerFromJson(const json& object)
{
    BudgetAnswer answer;
    answer.epoch = object.at("e").get<int64_t>();
    for (const json& entry : object.at("i")) {
        BudgetItemAnswer item;
        item.requestId = entry.at(0).get<uint64_t>();
        item.status = static_cast<BudgetItemStatus>(
            std::clamp(entry.at(1).get<int>(), 0, static_cast<int>(BudgetItemStatus::TooLate)));
        item.tokens = entry.at(2).get<double>();
        item.take = entry.at(3).get<TakeNumber>();
        item.queueKey = entry.at(4).get<int64_t>();
        item.availableTokens = entry.at(5).get<double>();
        item.retryAfter = base::Micros(entry.at(6).get<int64_t>());
        answer.items.push_back(item);
    }
    return answer;
}

std::string slotKvKey(size_t slot)
{
    return fmt::format("{}{}", slotKeyPrefix, slot);
}

std::string slotToText(const SlotRecord& record)
{
    json object = { { "holder", record.holder }, { "incarnation", record.incarnation }, { "address", record.address },
        { "instance", record.instance }, { "epoch", record.epoch }, { "operation", record.operation },
        { "levels", record.levels } };
    return object.dump();
}

std::optional<SlotRecord> slotFromText(const std::string& text)
{
    json object = base::jsonTryParse(text);
    if (!object.is_object())
        return std::nullopt;
    try {
        return SlotRecord { object.at("holder").get<std::string>(), object.at("incarnation").get<std::string>(),
            object.at("address").get<std::string>(), object.at("instance").get<std::string>(),
            object.at("epoch").get<int64_t>(), object.at("operation").get<std::string>(),
            object.at("levels").get<std::map<std::string, double>>() };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

bool slotMayLend(base::TimePoint confirmedAt, base::TimePoint now, const BudgetOptions& options)
{
    return confirmedAt != base::TimePoint {} && now < confirmedAt + options.slotLeaseTerm;
}

bool slotMayTake(const SlotTakeoverEvidence& takeover, base::TimePoint now, const BudgetOptions& options)
{
    if (takeover.isVacant || takeover.isHolderKnownTerminated)
        return true;
    return takeover.isSessionGone && now >= takeover.sessionGoneSince + options.slotLeaseTerm;
}

} // namespace rattanshunt::budget

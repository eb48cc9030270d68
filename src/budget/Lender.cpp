#include "budget/Lender.h"

#include <fmt/format.h>

namespace rattanshunt::budget {

using nlohmann::json;

namespace {

    constexpr base::Millis waiterGrace { 400 }; // a waiter that does not ask again for this long has given up
    constexpr base::Millis retryLeast { 5 };
    constexpr base::Millis retryMost { 100 };
    constexpr base::Seconds turnNever { 3600 };
    constexpr int newcomerDivisor
        = 2; // part of a newcomer's time that those ahead of it may take; the rest is for service
    constexpr double extraFloor = 0.5; // extra is lent only from the upper half of the bucket

    HomeAccount* findAccount(Home& home, const std::string& name, const AccountLookup& lookup,
        const BudgetOptions& options, base::TimePoint now)
    {
        HomeAccountSpec spec = lookup(name);
        if (!spec.account)
            return nullptr;
        HomeShare share = homeShare(*spec.account, options);
        auto found = home.accounts.find(name);
        if (found != home.accounts.end()) {
            bucketConfigure(found->second.bucket, share.rate, share.capacity, now);
            return &found->second;
        }
        // A former holder may have lent all it had just before it ended.
        bool wasNeverLent = home.isFirstHolder || spec.createRevision > home.takenOver;
        double level = wasNeverLent ? share.capacity : 0;
        auto left = home.levels.find(name);
        if (left != home.levels.end())
            level = left->second;
        HomeAccount account { bucketCreate(share.rate, share.capacity, level, now), {} };
        return &home.accounts.emplace(name, std::move(account)).first->second;
    }

    void dropExpired(HomeAccount& account, base::TimePoint now)
    {
        std::erase_if(account.waiters, [&](const HomeWaiter& waiter) { return waiter.expiresAt <= now; });
    }

    double waitingTokens(const HomeAccount& account, int64_t beforeOrder, const std::string& self)
    {
        double sum = 0;
        for (const HomeWaiter& waiter : account.waiters) {
            bool isBefore = waiter.order < beforeOrder || (waiter.order == beforeOrder && waiter.waiter < self);
            if (isBefore && waiter.waiter != self)
                sum += waiter.tokens;
        }
        return sum;
    }

    base::Micros retryTime(const Bucket& bucket, double missing)
    {
        base::Duration wait = base::durationOf(bucket.rate > 0 ? missing / bucket.rate : 1);
        return std::chrono::duration_cast<base::Micros>(std::clamp<base::Duration>(wait, retryLeast, retryMost));
    }

    void keepWaiter(HomeAccount& account, const BudgetItem& item, int64_t order, base::TimePoint now)
    {
        std::erase_if(account.waiters, [&](const HomeWaiter& waiter) { return waiter.waiter == item.waiter; });
        HomeWaiter kept { item.waiter, order, item.tokens, now + waiterGrace };
        auto place = std::find_if(account.waiters.begin(), account.waiters.end(), [&](const HomeWaiter& other) {
            return other.order > order || (other.order == order && other.waiter > item.waiter);
        });
        account.waiters.insert(place, std::move(kept));
    }

    void leaveQueue(HomeAccount& account, const std::string& name)
    {
        std::erase_if(account.waiters, [&](const HomeWaiter& waiter) { return waiter.waiter == name; });
    }

    void answerTake(HomeAccount& account, const BudgetItem& item, BudgetItemAnswer& answer, base::TimePoint now)
    {
        Bucket& bucket = account.bucket;
        double waiting = waitingTokens(account, std::numeric_limits<int64_t>::max(), item.waiter);
        double free = bucketLevel(bucket, now) - waiting;
        answer.level = free;
        if (free < item.tokens) {
            answer.retryAfter = retryTime(bucket, item.tokens - free);
            return;
        }
        double spare = waiting > 0 ? 0 : free - std::max(item.tokens, bucket.capacity * extraFloor);
        double tokens = item.tokens + std::clamp(spare, 0.0, item.extra);
        answer.take = bucketTake(bucket, tokens, now);
        if (!answer.take)
            return;
        answer.status = ItemStatus::Granted;
        answer.tokens = tokens;
        answer.level = free - tokens;
    }

    void answerEnqueue(
        BudgetItemAnswer& answer, const BudgetItem& item, const BudgetOptions& options, base::TimePoint now)
    {
        base::Duration headStart = options.classHeadStart * static_cast<int>(item.value);
        base::TimePoint arrival = now - item.waited - headStart;
        answer.status = ItemStatus::Queued;
        answer.order = std::chrono::duration_cast<base::Micros>(arrival.time_since_epoch()).count();
    }

    // How long it takes until `tokens` beyond `free` have come in.
    base::Micros turnIn(const Bucket& bucket, double tokens, double free)
    {
        if (tokens <= free)
            return base::Micros(0);
        if (bucket.rate <= 0)
            return std::chrono::duration_cast<base::Micros>(turnNever);
        return std::chrono::duration_cast<base::Micros>(
            std::min<base::Duration>(base::durationOf((tokens - free) / bucket.rate), turnNever));
    }

    bool isTurnTooLate(const Bucket& bucket, const BudgetItem& item, double free)
    {
        if (item.patience.count() <= 0)
            return false;
        return turnIn(bucket, item.tokens, free) > item.patience
            || (item.isNewcomer && turnIn(bucket, 0, free) > item.patience / newcomerDivisor);
    }

    void answerInOrder(HomeAccount& account, const BudgetItem& item, BudgetItemAnswer& answer, base::TimePoint now)
    {
        Bucket& bucket = account.bucket;
        keepWaiter(account, item, item.order, now);
        double before = waitingTokens(account, item.order, item.waiter);
        double free = bucketLevel(bucket, now) - before;
        answer.level = free;
        if (isTurnTooLate(bucket, item, free)) {
            leaveQueue(account, item.waiter);
            answer.status = ItemStatus::Late;
            answer.retryAfter = turnIn(bucket, item.tokens, free);
            return;
        }
        if (free < item.tokens) {
            answer.retryAfter = retryTime(bucket, item.tokens - free);
            return;
        }
        if (item.mode == ItemMode::Probe) {
            answer.status = ItemStatus::Ready;
            return;
        }
        answer.take = bucketTake(bucket, item.tokens, now);
        if (!answer.take)
            return;
        leaveQueue(account, item.waiter);
        answer.status = ItemStatus::Granted;
        answer.tokens = item.tokens;
    }

    BudgetItemAnswer answerItem(Home& home, const BudgetItem& item, const AccountLookup& lookup,
        const BudgetOptions& options, base::TimePoint now)
    {
        BudgetItemAnswer answer;
        answer.ref = item.ref;
        HomeAccount* account = findAccount(home, item.account, lookup, options, now);
        if (!account) {
            answer.status = ItemStatus::Unknown;
            return answer;
        }
        dropExpired(*account, now);
        bool isPart = item.mode == ItemMode::Probe || item.mode == ItemMode::TakeInOrder;
        if (isPart && item.tokens > account->bucket.capacity) {
            answer.status = ItemStatus::Never;
            return answer;
        }
        switch (item.mode) {
        case ItemMode::Take:
            answerTake(*account, item, answer, now);
            break;
        case ItemMode::Enqueue:
            answerEnqueue(answer, item, options, now);
            break;
        case ItemMode::Probe:
        case ItemMode::TakeInOrder:
            answerInOrder(*account, item, answer, now);
            break;
        case ItemMode::Leave:
            leaveQueue(*account, item.waiter);
            break;
        }
        return answer;
    }

    void applyReturns(Home& home, const BudgetCall& call, const AccountLookup& lookup, const BudgetOptions& options,
        base::TimePoint now)
    {
        for (const GiveBack& giveBack : call.returns) {
            HomeAccount* account = findAccount(home, giveBack.account, lookup, options, now);
            if (!account)
                continue;
            if (giveBack.tokens < 0)
                bucketCharge(account->bucket, -giveBack.tokens, now);
            else if (call.epoch == home.epoch)
                bucketGiveBack(account->bucket, giveBack.tokens, giveBack.take, now);
        }
    }

} // namespace

HomeShare homeShare(const resources::Account& account, const BudgetOptions& options)
{
    double part = 1.0 / static_cast<double>(options.slots);
    HomeShare share { account.rate * part, account.burst * part };
    if (options.lowersBurst)
        share.capacity -= share.rate * base::secondsOf(options.validity);
    return share;
}

BudgetAnswer homeAnswer(
    Home& home, const BudgetCall& call, const AccountLookup& lookup, const BudgetOptions& options, base::TimePoint now)
{
    BudgetAnswer answer;
    answer.epoch = home.epoch;
    applyReturns(home, call, lookup, options, now);
    for (const BudgetItem& item : call.items)
        answer.items.push_back(answerItem(home, item, lookup, options, now));
    return answer;
}

std::map<std::string, double> homeLevels(const Home& home, base::TimePoint now)
{
    std::map<std::string, double> levels = home.levels;
    for (auto& [name, account] : home.accounts)
        levels[name] = bucketLevel(account.bucket, now);
    return levels;
}

json budgetCallToJson(const BudgetCall& call)
{
    json items = json::array();
    for (const BudgetItem& item : call.items) {
        items.push_back({ item.ref, item.account, static_cast<int>(item.mode), item.tokens, item.extra,
            static_cast<int>(item.value), item.waited.count(), item.order, item.waiter, item.patience.count(),
            item.isNewcomer });
    }
    json returns = json::array();
    for (const GiveBack& giveBack : call.returns)
        returns.push_back({ giveBack.account, giveBack.tokens, giveBack.take });
    return { { "e", call.epoch }, { "i", std::move(items) }, { "r", std::move(returns) } };
}

BudgetCall budgetCallFromJson(const json& object)
{
    BudgetCall call;
    call.epoch = object.at("e").get<int64_t>();
    for (const json& entry : object.at("i")) {
        BudgetItem item;
        item.ref = entry.at(0).get<uint64_t>();
        item.account = entry.at(1).get<std::string>();
        item.mode = static_cast<ItemMode>(std::clamp(entry.at(2).get<int>(), 0, static_cast<int>(ItemMode::Leave)));
        item.tokens = entry.at(3).get<double>();
        item.extra = entry.at(4).get<double>();
        item.value = static_cast<resources::ValueClass>(std::clamp(entry.at(5).get<int>(), 0, 2));
        item.waited = base::Micros(entry.at(6).get<int64_t>());
        item.order = entry.at(7).get<int64_t>();
        item.waiter = entry.at(8).get<std::string>();
        // Daemons of version 0.2.0 do not say how long a request may wait.
        if (entry.size() > 10) {
            item.patience = base::Micros(entry.at(9).get<int64_t>());
            item.isNewcomer = entry.at(10).get<bool>();
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
        items.push_back({ item.ref, static_cast<int>(item.status), item.tokens, item.take, item.order, item.level,
            item.retryAfter.count() });
    }
    return { { "e", answer.epoch }, { "i", std::move(items) } };
}

BudgetAnswer budgetAnswerFromJson(const json& object)
{
    BudgetAnswer answer;
    answer.epoch = object.at("e").get<int64_t>();
    for (const json& entry : object.at("i")) {
        BudgetItemAnswer item;
        item.ref = entry.at(0).get<uint64_t>();
        item.status
            = static_cast<ItemStatus>(std::clamp(entry.at(1).get<int>(), 0, static_cast<int>(ItemStatus::Late)));
        item.tokens = entry.at(2).get<double>();
        item.take = entry.at(3).get<TakeNumber>();
        item.order = entry.at(4).get<int64_t>();
        item.level = entry.at(5).get<double>();
        item.retryAfter = base::Micros(entry.at(6).get<int64_t>());
        answer.items.push_back(item);
    }
    return answer;
}

std::string slotKvKey(size_t slot)
{
    return fmt::format("{}{}", slotPrefix, slot);
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
    json object = json::parse(text, nullptr, false);
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
    return confirmedAt != base::TimePoint {} && now < confirmedAt + options.shareTerm;
}

bool slotMayTake(const SlotTakeover& takeover, base::TimePoint now, const BudgetOptions& options)
{
    if (takeover.isVacant || takeover.hasProof)
        return true;
    return takeover.isSessionGone && now >= takeover.goneSince + options.shareTerm;
}

} // namespace rattanshunt::budget

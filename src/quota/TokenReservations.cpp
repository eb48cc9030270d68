#include "quota/TokenReservations.h"

#include <cmath>
#include <limits>

namespace rattanshunt::quota {

using base::BootClock;
using base::BootTime;

namespace {

    constexpr double tokenTolerance = 1e-6;
    constexpr double minAskedRate = 1e-3;       // tokens per second; kinds below are forgotten
    constexpr double minRefillRate = 1e-3;      // tokens per second
    constexpr double minKindFraction = 0.001;   // of the refill, for any kind
    constexpr double correctionPower = 4;       // of the ratio between wanted and served share
    constexpr double maxCorrection = 4;         // of a kind's part of the refill
    constexpr double minPaceHorizon = 0.3;      // seconds; rates over shorter times vary too much
    constexpr double stockPeriod = 2;           // seconds, in which a stock of tokens is used up
    constexpr double minPaceFraction = 0.05;    // of the refill
    constexpr double urgencyPreference = 0.015; // by which a served share is raised for each step of urgency
    constexpr int maxUrgency = 3;
    constexpr double assumedRequests = 3; // with the wanted share, before a kind has asked for more

    KindKey kindOf(const TokenAsk& ask)
    {
        double classes = std::log(std::max(1.0, ask.tokens)) / std::log(sizeClassRatio);
        return { ask.route, static_cast<int>(classes) };
    }

    // Reservations and what limits them, as of `now`.
    struct Ledger {
        AccountReservations& account;
        HubQuota::AccountBucket& bucket;
        const AccountLimit& limit;
        double refillRate; // of the bucket, in tokens per second
        double pace;       // the same that can be granted evenly from now on
        BootTime now;
    };

    BootTime after(BootTime from, double seconds)
    {
        return from + std::chrono::ceil<BootClock::duration>(std::chrono::duration<double>(seconds));
    }

    // When a pending reservation counts: one whose time has passed may be used at any moment.
    BootTime usableAt(const TokenReservation& reservation, BootTime now)
    {
        return std::max(reservation.at, now);
    }

    void decay(double& value, base::Duration elapsed, base::Seconds timeConstant)
    {
        value *= std::exp(-base::secondsOf(std::max(base::Duration(0), elapsed)) / base::secondsOf(timeConstant));
    }

    // The even rate, in tokens per second, that the account can be granted from now on without reaching the window's
    // maximum before earlier usage leaves the window. Without it, an account whose burst is still in the window would
    // be granted nothing at all for seconds, and then another burst.
    double evenRate(const HubQuota::AccountBucket& bucket, const std::vector<TokenReservation>& pending,
        const AccountLimit& limit, double refillRate, BootTime now)
    {
        double left = maxWindowTokens(limit) - bucket.usedTokens;
        for (const TokenReservation& reservation : pending)
            left -= reservation.at <= now ? reservation.tokens : 0; // those of later times are part of the rate
        double rate = refillRate + std::max(0.0, bucket.tokens) / stockPeriod;
        for (const UsageSlot& slot : bucket.usageSlots) {
            double seconds = base::secondsOf(slot.startedAt + limit.window + grantLifetime - now);
            if (seconds > minPaceHorizon)
                rate = std::min(rate, left / seconds);
            left += slot.tokens;
        }
        return std::max(rate, refillRate * minPaceFraction);
    }

    // The earliest time from `from` on at which the bucket covers `tokens` and still covers all later reservations.
    BootTime bucketCovers(const Ledger& ledger, double tokens, BootTime from)
    {
        const auto& pending = ledger.account.pending;
        auto levelAt
            = [&](BootTime at) { return ledger.bucket.tokens + ledger.refillRate * base::secondsOf(at - ledger.now); };
        std::vector<double> reserved(pending.size() + 1, 0); // before each one
        for (size_t i = 0; i < pending.size(); ++i)
            reserved[i + 1] = reserved[i] + pending[i].tokens;
        size_t next = pending.size(); // the first one that is after the result
        while (next > 0 && pending[next - 1].at > from
            && levelAt(usableAt(pending[next - 1], ledger.now)) - reserved[next] >= tokens - tokenTolerance)
            --next;
        BootTime at = next > 0 ? std::max(from, usableAt(pending[next - 1], ledger.now)) : from;
        while (true) {
            double missing = tokens - tokenTolerance + reserved[next] - levelAt(at);
            BootTime covered = missing > 0 ? after(at, missing / ledger.refillRate) : at;
            if (next == pending.size() || covered <= usableAt(pending[next], ledger.now))
                return covered;
            at = std::max(at, usableAt(pending[next], ledger.now));
            ++next;
        }
    }

    // The earliest time from `at` on at which `tokens` more keep every window within its maximum; nothing if it is
    // after `latest`.
    std::optional<BootTime> windowAllows(const Ledger& ledger, double tokens, BootTime at, BootTime latest)
    {
        double allowed = maxWindowTokens(ledger.limit) - tokens;
        double all = ledger.bucket.usedTokens;
        for (const TokenReservation& reservation : ledger.account.pending)
            all += reservation.tokens;
        if (all <= allowed)
            return at <= latest ? std::optional(at) : std::nullopt;
        std::vector<UsageSlot> usage(ledger.bucket.usageSlots.begin(), ledger.bucket.usageSlots.end());
        for (const TokenReservation& reservation : ledger.account.pending)
            usage.push_back({ usableAt(reservation, ledger.now), reservation.tokens });
        std::stable_sort(usage.begin(), usage.end(),
            [](const UsageSlot& a, const UsageSlot& b) { return a.startedAt < b.startedAt; });
        base::Duration length = ledger.limit.window + grantLifetime;
        // Moves on until no window that contains `at` has too much. Each step leaves one slot behind.
        while (at <= latest) {
            std::optional<BootTime> excessStart;
            size_t first = 0;
            double sum = 0;
            for (const UsageSlot& slot : usage) {
                if (slot.startedAt > at + length)
                    break;
                sum += slot.tokens;
                while (usage[first].startedAt < std::max(slot.startedAt, at) - length)
                    sum -= usage[first++].tokens;
                bool endsWindow = slot.startedAt >= at || &slot == &usage.back()
                    || (&slot + 1)->startedAt > at; // a window that contains `at` ends here or at `at`
                if (endsWindow && sum > allowed) {
                    excessStart = usage[first].startedAt;
                    break;
                }
            }
            if (!excessStart)
                return at;
            at = std::max(at + base::Millis(1), *excessStart + length + base::Millis(1));
        }
        return std::nullopt;
    }

    std::optional<BootTime> earliestTime(const Ledger& ledger, double tokens, BootTime from, BootTime latest)
    {
        BootTime at = from;
        // Either limit may move the time past the other one's; few rounds suffice, as both only move it on.
        for (int round = 0; round < 8; ++round) {
            BootTime covered = bucketCovers(ledger, tokens, at);
            auto allowed = windowAllows(ledger, tokens, covered, latest);
            if (!allowed || *allowed == covered)
                return allowed;
            at = *allowed;
        }
        return std::nullopt;
    }

    // Tokens that are free now without delaying a reservation.
    double freeTokens(const Ledger& ledger)
    {
        double free = ledger.bucket.tokens;
        double reserved = 0;
        for (const TokenReservation& reservation : ledger.account.pending) {
            reserved += reservation.tokens;
            free = std::min(free,
                ledger.bucket.tokens
                    + ledger.refillRate * base::secondsOf(usableAt(reservation, ledger.now) - ledger.now) - reserved);
        }
        return free;
    }

    uint64_t addReservation(TokenReservations& reservations, AccountReservations& account, const TokenAsk& ask,
        BootTime at, bool isForRetry)
    {
        TokenReservation added { ++reservations.lastId, at, ask.tokens, kindOf(ask), isForRetry ? ask.requestKey : "",
            isForRetry };
        auto position = std::upper_bound(account.pending.begin(), account.pending.end(), at,
            [](BootTime time, const TokenReservation& reservation) { return time < reservation.at; });
        account.pending.insert(position, std::move(added));
        return reservations.lastId;
    }

    // What was granted to a kind and not used counts neither as served nor against its share.
    void revokeServed(AccountReservations& account, const TokenReservation& reservation)
    {
        auto kind = account.kinds.find(reservation.kind);
        if (kind != account.kinds.end())
            kind->second.served = std::max(0.0, kind->second.served - 1);
    }

    // ---- Shares of the kinds --------------------------------------------------------------------

    KindUsage& recordAsk(AccountReservations& account, const TokenAsk& ask, BootTime now)
    {
        for (auto& [key, kind] : account.kinds) {
            base::Duration elapsed = now - kind.decayedAt;
            decay(kind.askedRate, elapsed, demandTimeConstant);
            decay(kind.largestAsk, elapsed, servedTimeConstant);
            decay(kind.asked, elapsed, servedTimeConstant);
            decay(kind.served, elapsed, servedTimeConstant);
            kind.decayedAt = std::max(kind.decayedAt, now);
        }
        std::erase_if(account.kinds, [&](const auto& item) { return item.second.askedRate < minAskedRate; });
        auto [found, isNew] = account.kinds.try_emplace(kindOf(ask));
        KindUsage& kind = found->second;
        if (isNew)
            kind.decayedAt = kind.nextAt = kind.nextRetryAt = now;
        kind.priority = ask.priority;
        kind.askedRate += ask.tokens / base::secondsOf(demandTimeConstant);
        kind.largestAsk = std::max(kind.largestAsk, ask.tokens);
        return kind;
    }

    // Sums over the kinds of one route.
    struct RouteUsage {
        double asked = 0;
        double served = 0;
        double wantedServed = 0; // `asked`, weighted by the served share that each size class should have
        int smallestClass = std::numeric_limits<int>::max();
    };

    // How much more a kind should get if its served share is `share` and should be `wanted`.
    double shareCorrection(double served, double asked, double wanted)
    {
        double share = (served + assumedRequests * wanted) / (asked + assumedRequests);
        return share > 0 ? std::clamp(std::pow(wanted / share, correctionPower), 1 / maxCorrection, maxCorrection)
                         : maxCorrection;
    }

    // Each kind's part of the refill, in tokens per second. It follows what the kind asks for. Corrections keep the
    // served shares of all routes equal, and those of a route's size classes at their ratios: rates of rare requests
    // are estimated poorly, and requests that cannot wait lose refill that they have not used in time.
    std::map<KindKey, double> kindRefillRates(const Ledger& ledger)
    {
        std::map<std::string, RouteUsage> routes;
        for (const auto& [key, kind] : ledger.account.kinds)
            routes[key.route].smallestClass = std::min(routes[key.route].smallestClass, key.sizeClass);
        auto classShare = [&](const KindKey& key) {
            return std::max(minClassShare, std::pow(largerClassShare, key.sizeClass - routes[key.route].smallestClass));
        };
        double asked = 0;
        double served = 0;
        int leastUrgent = 0;
        for (const auto& [key, kind] : ledger.account.kinds) {
            RouteUsage& route = routes[key.route];
            route.asked += kind.asked;
            route.served += kind.served;
            route.wantedServed += kind.asked * classShare(key);
            asked += kind.asked;
            served += kind.served;
            leastUrgent = std::max(leastUrgent, kind.priority);
        }
        double common = asked > 0 ? served / asked : 1;
        std::map<KindKey, double> rates;
        double sum = 0;
        for (const auto& [key, kind] : ledger.account.kinds) {
            const RouteUsage& route = routes[key.route];
            double routeFactor = route.wantedServed > 0 ? route.asked / route.wantedServed : 1;
            double wanted = classShare(key) * routeFactor; // relative to the route's
            int urgency = std::clamp(leastUrgent - kind.priority, 0, maxUrgency);
            double rate = kind.askedRate * wanted
                * shareCorrection(route.served, route.asked, common * (1 + urgencyPreference * urgency))
                * shareCorrection(kind.served, kind.asked, wanted * (route.asked > 0 ? route.served / route.asked : 1));
            rates[key] = rate;
            sum += rate;
        }
        for (auto& [key, rate] : rates)
            rate = ledger.pace * std::max(minKindFraction, rate / sum);
        return rates;
    }

    // Refill that other kinds have not used yet and that is kept for them.
    double keptForOthers(const Ledger& ledger, const KindKey& own, const std::map<KindKey, double>& rates)
    {
        double kept = 0;
        for (const auto& [key, kind] : ledger.account.kinds) {
            base::Duration unused
                = std::clamp<base::Duration>(ledger.now - kind.nextAt, base::Duration(0), unusedRefillPeriod);
            if (key != own)
                kept += rates.at(key) * base::secondsOf(unused);
        }
        return kept;
    }

    // ---- Answers --------------------------------------------------------------------------------

    // A pending reservation for the retry of this request.
    std::optional<TokenAnswer> takeReservation(TokenReservations& reservations, Ledger& ledger, const TokenAsk& ask)
    {
        auto& pending = ledger.account.pending;
        auto found = std::find_if(pending.begin(), pending.end(), [&](const TokenReservation& reservation) {
            return reservation.isForRetry && reservation.requestKey == ask.requestKey
                && reservation.tokens >= ask.tokens - tokenTolerance;
        });
        if (ask.requestKey.empty() || found == pending.end())
            return std::nullopt;
        TokenAnswer answer;
        if (found->at <= ledger.now) {
            accountBucketConsume(ledger.bucket, found->tokens, ledger.now);
            pending.erase(found);
            answer.verdict = TokenVerdict::Granted;
        } else if (found->at - ledger.now <= ask.maxWait) {
            found->isForRetry = false;
            found->requestKey.clear();
            answer.verdict = TokenVerdict::GrantedLater;
            answer.startsIn = found->at - ledger.now;
            answer.reservation = found->id;
        } else {
            answer.retryIn = found->at - ledger.now;
            return answer;
        }
        answer.wasReserved = true;
        ++reservations.counts.taken;
        return answer;
    }

    TokenAnswer schedule(TokenReservations& reservations, Ledger& ledger, const TokenAsk& ask, KindUsage& kind)
    {
        BootTime now = ledger.now;
        std::map<KindKey, double> rates = kindRefillRates(ledger);
        double rate = rates.at(kindOf(ask));
        base::Duration ownTime = base::durationOf(ask.tokens / rate);
        kind.nextAt
            = std::max<BootTime>(kind.nextAt, now - unusedRefillPeriod - base::durationOf(kind.largestAsk / rate));
        // Grants from refill that others did not use must not keep a kind from its own share for long.
        kind.nextAt = std::min<BootTime>(kind.nextAt, now + ask.maxWait + ownTime);
        TokenAnswer answer;
        BootTime& pacedUntil = ledger.account.pacedUntil;
        pacedUntil = std::max<BootTime>(pacedUntil, now - unusedRefillPeriod);
        auto serve = [&](TokenVerdict verdict) {
            kind.served += 1;
            kind.nextAt += ownTime;
            pacedUntil += base::durationOf(ask.tokens / ledger.pace);
            answer.verdict = verdict;
        };
        bool mayTakeNow = kind.nextAt <= now
            || (pacedUntil <= now && freeTokens(ledger) - keptForOthers(ledger, kindOf(ask), rates) >= ask.tokens);
        if (mayTakeNow && earliestTime(ledger, ask.tokens, now, now)) {
            accountBucketConsume(ledger.bucket, ask.tokens, now);
            serve(TokenVerdict::Granted);
            return answer;
        }
        BootTime from = std::max(now, kind.nextAt);
        BootTime latest = now + ask.maxWait;
        auto at = earliestTime(ledger, ask.tokens, from, latest);
        if (at) {
            answer.startsIn = *at - now;
            answer.reservation = addReservation(reservations, ledger.account, ask, *at, false);
            serve(TokenVerdict::GrantedLater);
            ++reservations.counts.made;
            return answer;
        }
        kind.nextRetryAt = std::max(kind.nextRetryAt, now);
        from = std::max<BootTime>(std::max<BootTime>(from, now + minRetryDelay), kind.nextRetryAt);
        if (!ask.requestKey.empty())
            at = earliestTime(ledger, ask.tokens, from, now + ask.maxRetryDelay);
        if (ask.requestKey.empty() || !at)
            return answer;
        answer.retryIn = *at - now;
        addReservation(reservations, ledger.account, ask, *at, true);
        kind.nextRetryAt += base::durationOf(base::secondsOf(ownTime) / retryShare);
        serve(TokenVerdict::Refused);
        ++reservations.counts.promised;
        return answer;
    }

    Ledger ledgerOf(TokenReservations& reservations, HubQuota& quota, const std::string& account,
        const AccountLimit& limit, BootTime now)
    {
        AccountReservations& own = reservations.accounts[account];
        HubQuota::AccountBucket& bucket = hubQuotaBucket(quota, account, limit, now);
        double refillRate = std::max(minRefillRate, hubQuotaRefillRate(quota, limit, now));
        return { own, bucket, limit, refillRate, evenRate(bucket, own.pending, limit, refillRate, now), now };
    }

} // namespace

void tokensSettle(TokenReservations& reservations, HubQuota& quota, const std::string& account,
    const AccountLimit& limit, BootTime now)
{
    auto found = reservations.accounts.find(account);
    if (found == reservations.accounts.end() || found->second.pending.empty())
        return;
    HubQuota::AccountBucket& bucket = hubQuotaBucket(quota, account, limit, now);
    std::erase_if(found->second.pending, [&](const TokenReservation& reservation) {
        if (reservation.isForRetry) {
            if (now - reservation.at <= reservationLifetime)
                return false;
            revokeServed(found->second, reservation);
            ++reservations.counts.expired;
            return true;
        }
        if (reservation.at > now)
            return false;
        accountBucketConsume(bucket, reservation.tokens, reservation.at);
        return true;
    });
}

TokenAnswer tokensAsk(TokenReservations& reservations, HubQuota& quota, const std::string& account,
    const AccountLimit& limit, const TokenAsk& ask, BootTime now)
{
    tokensSettle(reservations, quota, account, limit, now);
    Ledger ledger = ledgerOf(reservations, quota, account, limit, now);
    if (auto reserved = takeReservation(reservations, ledger, ask))
        return *reserved;
    KindUsage& kind = recordAsk(ledger.account, ask, now);
    TokenAnswer answer;
    if (!accountIsShort(reservations, account, now)) {
        if (hubQuotaTake(quota, account, limit, ask.tokens, now)) {
            answer.verdict = TokenVerdict::Granted;
            return answer;
        }
        for (auto& [name, other] : ledger.account.kinds) {
            other.asked = other.served = 0;
            other.nextAt = other.nextRetryAt = now;
        }
        ledger.account.pacedUntil = now;
    }
    // Never covered, as before.
    if (ask.tokens > accountBucketCapacity(limit))
        return answer;
    kind.asked += 1;
    answer = schedule(reservations, ledger, ask, kind);
    if (answer.verdict != TokenVerdict::Granted)
        ledger.account.shortUntil = now + shortageMemory;
    return answer;
}

void tokensRelease(TokenReservations& reservations, HubQuota& quota, const std::string& account,
    const AccountLimit& limit, uint64_t reservation, double tokens, BootTime now)
{
    tokensSettle(reservations, quota, account, limit, now);
    auto found = reservations.accounts.find(account);
    if (found == reservations.accounts.end())
        return;
    auto& pending = found->second.pending;
    auto released = std::find_if(
        pending.begin(), pending.end(), [&](const TokenReservation& item) { return item.id == reservation; });
    ++reservations.counts.released;
    if (released == pending.end())
        return hubQuotaReturn(quota, account, tokens); // its time has come meanwhile
    revokeServed(found->second, *released);
    pending.erase(released);
}

bool accountIsShort(const TokenReservations& reservations, const std::string& account, BootTime now)
{
    auto found = reservations.accounts.find(account);
    return found != reservations.accounts.end() && (!found->second.pending.empty() || now < found->second.shortUntil);
}

} // namespace rattanshunt::quota

#include "quota/TokenReservations.h"

#include <cmath>
#include <limits>

#include "quota/TokenLedger.h"

namespace rattanshunt::quota {

using base::BootClock;
using base::BootTime;

namespace {

    constexpr double minAskedRate = 1e-3;     // tokens per second; kinds below are forgotten
    constexpr double minRefillRate = 1e-3;    // tokens per second
    constexpr double minKindFraction = 0.001; // of the refill, for any kind
    constexpr double correctionPower = 4;     // of the ratio between wanted and served share
    constexpr double maxCorrection = 4;       // of a kind's part of the refill
    constexpr base::Seconds maxPaceDebt {
        2
    }; // for which free tokens are kept after more than an even rate was granted
    constexpr double urgencyPreference = 0.015; // by which a served share is raised for each step of urgency
    constexpr int maxUrgency = 3;
    constexpr double assumedRequests = 3; // with the wanted share, before a kind has asked for more

    KindKey kindOf(const TokenAsk& ask)
    {
        double classes = std::log(std::max(1.0, ask.tokens)) / std::log(sizeClassRatio);
        return { ask.route, static_cast<int>(classes) };
    }

    void decay(double& value, base::Duration elapsed, base::Seconds timeConstant)
    {
        value *= std::exp(-base::secondsOf(std::max(base::Duration(0), elapsed)) / base::secondsOf(timeConstant));
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
    std::map<KindKey, double> kindRefillRates(const TokenLedger& ledger)
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
    double keptForOthers(const TokenLedger& ledger, const KindKey& own, const std::map<KindKey, double>& rates)
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
    std::optional<TokenAnswer> takeReservation(
        TokenReservations& reservations, TokenLedger& ledger, const TokenAsk& ask)
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

    TokenAnswer schedule(TokenReservations& reservations, TokenLedger& ledger, const TokenAsk& ask, KindUsage& kind)
    {
        BootTime now = ledger.now;
        std::map<KindKey, double> rates = kindRefillRates(ledger);
        double rate = rates.at(kindOf(ask));
        base::Duration ownTime = base::durationOf(std::min(maxSeconds, ask.tokens / rate));
        kind.nextAt = std::max<BootTime>(
            kind.nextAt, now - unusedRefillPeriod - base::durationOf(std::min(maxSeconds, kind.largestAsk / rate)));
        // Grants from refill that others did not use must not keep a kind from its own share for long.
        kind.nextAt = std::min<BootTime>(kind.nextAt, now + ask.maxWait + ownTime);
        TokenAnswer answer;
        BootTime& pacedUntil = ledger.account.pacedUntil;
        pacedUntil = std::clamp<BootTime>(pacedUntil, now - unusedRefillPeriod, now + maxPaceDebt);
        auto serve = [&](TokenVerdict verdict) {
            kind.served += 1;
            kind.nextAt += ownTime;
            pacedUntil += base::durationOf(std::min(maxSeconds, ask.tokens / ledger.pace));
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

    TokenLedger ledgerOf(TokenReservations& reservations, HubQuota& quota, const std::string& account,
        const AccountLimit& limit, BootTime now)
    {
        AccountReservations& own = reservations.accounts[account];
        HubQuota::AccountBucket& bucket = hubQuotaBucket(quota, account, limit, now);
        double refillRate = std::max(minRefillRate, hubQuotaRefillRate(quota, limit, now));
        double maxTokens = hubQuotaWindowTokens(quota, account, limit);
        double pace = evenRate(bucket, own.pending, limit, maxTokens, refillRate, now);
        return { own, bucket, limit, maxTokens, refillRate, pace, now };
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
    TokenLedger ledger = ledgerOf(reservations, quota, account, limit, now);
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

#include "quota/TokenLedger.h"

#include <algorithm>

namespace rattanshunt::quota {

using base::BootClock;
using base::BootTime;

namespace {

    constexpr double minPaceHorizon = 0.3;   // seconds; rates over shorter times vary too much
    constexpr double stockPeriod = 2;        // seconds, in which a stock of tokens is used up
    constexpr double minPaceFraction = 0.05; // of the refill

    BootTime after(BootTime from, double seconds)
    {
        return from
            + std::chrono::ceil<BootClock::duration>(std::chrono::duration<double>(std::min(maxSeconds, seconds)));
    }

    // When a pending reservation counts: one whose time has passed may be used at any moment.
    BootTime usableAt(const TokenReservation& reservation, BootTime now)
    {
        return std::max(reservation.at, now);
    }

    // The earliest time from `from` on at which the bucket covers `tokens` and still covers all later reservations.
    BootTime bucketCovers(const TokenLedger& ledger, double tokens, BootTime from)
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
    std::optional<BootTime> windowAllows(const TokenLedger& ledger, double tokens, BootTime at, BootTime latest)
    {
        double allowed = ledger.maxTokens - tokens;
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

} // namespace

double evenRate(const HubQuota::AccountBucket& bucket, const std::vector<TokenReservation>& pending,
    const AccountLimit& limit, double maxTokens, double refillRate, BootTime now)
{
    double left = maxTokens - bucket.usedTokens;
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

std::optional<BootTime> earliestTime(const TokenLedger& ledger, double tokens, BootTime from, BootTime latest)
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

double freeTokens(const TokenLedger& ledger)
{
    double free = ledger.bucket.tokens;
    double reserved = 0;
    for (const TokenReservation& reservation : ledger.account.pending) {
        reserved += reservation.tokens;
        free = std::min(free,
            ledger.bucket.tokens + ledger.refillRate * base::secondsOf(usableAt(reservation, ledger.now) - ledger.now)
                - reserved);
    }
    return free;
}

} // namespace rattanshunt::quota

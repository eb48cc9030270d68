// When tokens of an account are free, given its bucket, its usage window and what is reserved. Internal to quota/.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <optional>
#include <vector>

#include "quota/TokenReservations.h"

namespace rattanshunt::quota {

constexpr double tokenTolerance = 1e-6; // for rounding
constexpr double maxSeconds = 86400;    // longer times, of accounts with very low rates, would exceed a Duration

// Reservations and what limits them, as of `now`.
struct TokenLedger {
    AccountReservations& account;
    HubQuota::AccountBucket& bucket;
    const AccountLimit& limit;
    double maxTokens;  // in any window
    double refillRate; // of the bucket, in tokens per second
    double pace;       // the same that can be granted evenly from now on
    base::BootTime now;
};

// The even rate, in tokens per second, that the account can be granted from now on without reaching the window's
// maximum before earlier usage leaves the window. Without it, an account whose burst is still in the window would
// be granted nothing at all for seconds, and then another burst.
double evenRate(const HubQuota::AccountBucket& bucket, const std::vector<TokenReservation>& pending,
    const AccountLimit& limit, double maxTokens, double refillRate, base::BootTime now);

// The earliest time from `from` on at which the bucket covers `tokens` without delaying a reservation and no window
// exceeds its maximum; nothing if it is after `latest`.
std::optional<base::BootTime> earliestTime(
    const TokenLedger& ledger, double tokens, base::BootTime from, base::BootTime latest);

// Tokens that are free now without delaying a reservation.
double freeTokens(const TokenLedger& ledger);

} // namespace rattanshunt::quota

// Decides when a request gets tokens of an account that is short of them: now, from a time on, or not.
//
// Contents
//   [1] Data            TokenAsk, TokenAnswer, TokenReservation, AccountReservations, TokenReservations
//   [2] Decisions       tokensAsk(), tokensRelease(), tokensSettle()
//
// Load pattern: one account sends several times its rate, with several kinds of request. Some must start within half a
// second, others can wait for seconds, and some cost ten times as many tokens as others. Refused callers come back
// once. With first come, first served, requests that could have waited are refused, large requests find an empty bucket
// more often than small ones, and callers come back at times at which there are no tokens either.
//
// While an account is short, its refill is scheduled into the future. A request that can wait gets tokens at a later
// time, until which its daemon holds it. One that cannot is refused with a time at which tokens are reserved for the
// same request, or without a time if there will be none soon enough. Kinds of request, which are routes, share the
// refill in proportion to the tokens that they ask for. An account that is not short is granted tokens at once.
//
// Q: Why does each kind have a clock?  A: With a single queue, requests that can wait would fill it beyond the time
//    that urgent ones can wait, and the urgent kind would get nothing.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "quota/AccountQuota.h"

namespace rattanshunt::quota {

// ---- [1] Data ----------------------------------------------------------------------------------

// A reservation that was not used lapses this long after its time. A later use would no longer be covered by the time
// for which the hub tracks usage beyond the window, see grantLifetime.
constexpr base::Millis reservationLifetime { 500 };

// Without a shortage for this long, requests are granted at once again and nothing is remembered of the last one.
constexpr base::Millis shortageMemory { 1000 };

// Fraction of a kind's refill that may be reserved for requests that were refused and come back. The rest is for
// requests that can be held, since not every refused caller comes back.
constexpr double retryShare = 0.25;

// A retry is not asked for earlier than this: the caller needs time to receive the refusal and to connect.
constexpr base::Millis minRetryDelay { 200 };

// Time constants of what kinds ask for, and of their served shares.
constexpr base::Seconds demandTimeConstant { 4 };
constexpr base::Seconds servedTimeConstant { 20 };

// For this long a kind's unused refill is kept for it. Requests of a kind arrive unevenly.
constexpr base::Millis unusedRefillPeriod { 700 };

// Requests of a route are told apart by size, in classes of this ratio. Without classes small requests take the tokens
// that a large one waits for.
constexpr double sizeClassRatio = 4;

// Served share of a size class relative to the class below it, and to the smallest one at least. A request of 9,200
// tokens costs as many as eleven small ones; the platform's rules allow a quarter of the others' share.
constexpr double largerClassShare = 0.7;
constexpr double minClassShare = 0.45;

struct TokenAsk {
    std::string route;
    int priority = 5; // of the route; 0 is the most urgent
    double tokens = 0;
    base::Duration maxWait { 0 };       // how long the request may be held
    base::Duration maxRetryDelay { 0 }; // how long its caller would wait after a refusal
    std::string requestKey; // the same when the caller sends the request again; empty: no retry is recognised
};

enum class TokenVerdict {
    Granted,
    GrantedLater, // usable from TokenAnswer::startsIn on
    Refused,
};

struct TokenAnswer {
    TokenVerdict verdict = TokenVerdict::Refused;
    base::Duration startsIn { 0 };
    uint64_t reservation = 0;              // if granted later; for tokensRelease()
    std::optional<base::Duration> retryIn; // if refused: when tokens are reserved for the same request
    bool wasReserved = false;              // granted because of a reservation that an earlier refusal named
};

// Requests of one route and size class.
struct KindKey {
    std::string route;
    int sizeClass = 0;

    bool operator<(const KindKey& other) const
    {
        return std::tie(route, sizeClass) < std::tie(other.route, other.sizeClass);
    }
    bool operator==(const KindKey&) const = default;
};

// Tokens that become usable at a time in the future.
struct TokenReservation {
    uint64_t id = 0;
    base::BootTime at {};
    double tokens = 0;
    KindKey kind;
    std::string requestKey;  // of a refused request
    bool isForRetry = false; // false: a daemon holds the request
};

// Usage of an account by one kind of request. Rates and counts decay.
struct KindUsage {
    int priority = 5;
    double askedRate = 0;  // tokens per second
    double largestAsk = 0; // tokens
    double asked = 0;      // requests since the account became short
    double served = 0;     // those of them that were granted tokens
    base::BootTime decayedAt {};
    base::BootTime nextAt {};      // when the kind's share of the refill covers what it was granted
    base::BootTime nextRetryAt {}; // the same for the part that is for retries
};

struct AccountReservations {
    std::vector<TokenReservation> pending; // by time
    std::map<KindKey, KindUsage> kinds;
    base::BootTime pacedUntil {}; // when an even rate covers what was granted
    base::BootTime shortUntil {}; // unset: the account is not short
};

struct ReservationCounts {
    uint64_t made = 0;     // for requests that are held
    uint64_t promised = 0; // for retries
    uint64_t taken = 0;    // by retries
    uint64_t expired = 0;
    uint64_t released = 0;
};

struct TokenReservations {
    std::map<std::string, AccountReservations> accounts;
    uint64_t lastId = 0;
    ReservationCounts counts;
};

// ---- [2] Decisions -----------------------------------------------------------------------------

// Answers a request for tokens. Tokens that are granted now are deducted; those granted later are when their time has
// come.
TokenAnswer tokensAsk(TokenReservations&, HubQuota&, const std::string& account, const AccountLimit&, const TokenAsk&,
    base::BootTime now);

// Gives back the tokens of a reservation whose request has ended before it was sent.
void tokensRelease(TokenReservations&, HubQuota&, const std::string& account, const AccountLimit&, uint64_t reservation,
    double tokens, base::BootTime now);

// Deducts reservations whose time has come and drops those that were not used. The decisions above do so themselves.
void tokensSettle(TokenReservations&, HubQuota&, const std::string& account, const AccountLimit&, base::BootTime now);

// Whether the account's requests are being scheduled.
bool accountIsShort(const TokenReservations&, const std::string& account, base::BootTime now);

} // namespace rattanshunt::quota

// Tokens of an account that is short of them. The tests replay the schedule that the decision was made for: one account
// sends several times its rate, with kinds of request that differ in urgency and size, and refused callers come back
// once.
#include <random>

#include "Support.h"
#include "quota/TokenReservations.h"

using namespace rattanshunt;

namespace {

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000)
        + std::chrono::duration_cast<base::BootClock::duration>(base::durationOf(millis / 1000));
}

const quota::AccountLimit accountLimit { 30000, 69000, 110000 };

struct Kind {
    const char* name;
    int priority;
    double targetMillis;
    double requestsPerSecond;
    double remainingMillis;     // that the caller waits in all
    double largeFraction = 0.1; // of the requests, with 9,200 tokens; the others have 830
};

// The account's usual load is about half its rate; this is 7.5 times that, at a mean of 1,667 tokens a request.
const std::vector<Kind> usualKinds { { "chat", 1, 800, 27, 6000 }, { "batch", 2, 4000, 20, 15000 },
    { "code", 0, 500, 20, 4000 } };

struct Outcome {
    double asked = 0;
    double served = 0;
    double atOnce = 0;
    double heldMillis = 0;
    double retriesServed = 0;
    double retriesRefused = 0;
    double share() const { return served / std::max(1.0, asked); }
};

struct Play {
    std::map<std::string, Outcome> byKind;
    std::map<int, Outcome> bySize;
    std::vector<std::pair<base::BootTime, double>> usable; // when tokens become usable
    quota::TokenReservations reservations;
};

struct PlayOptions {
    bool usesReservations = true;
    double seconds = 30;
    double returningFraction = 1; // of the callers that were told a time
    double leavingFraction = 0;   // of the requests that are held
    double loadFactor = 1;
    unsigned seed = 1;
    std::vector<Kind> kinds = usualKinds;
    quota::AccountLimit limit = accountLimit;
};

Play play(const PlayOptions& options)
{
    struct Call {
        quota::TokenAsk ask;
        const Kind* kind = nullptr;
        bool isRetry = false;
    };
    Play result;
    quota::HubQuota hub;
    std::mt19937 random(options.seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::multimap<double, Call> calls;
    for (const Kind& kind : options.kinds) {
        double at = 0;
        while (at < options.seconds * 1000) {
            at += -std::log(1 - uniform(random)) * 1000 / (kind.requestsPerSecond * options.loadFactor);
            quota::TokenAsk ask { kind.name, kind.priority, uniform(random) < kind.largeFraction ? 9200.0 : 830.0,
                base::durationOf(kind.targetMillis * 0.6 / 1000), base::durationOf(kind.remainingMillis / 3000), "" };
            ask.requestKey = std::to_string(calls.size());
            calls.emplace(at, Call { ask, &kind, false });
        }
    }
    while (!calls.empty()) {
        auto [millis, call] = *calls.begin();
        calls.erase(calls.begin());
        base::BootTime now = bootAt(millis);
        quota::TokenAnswer answer;
        if (options.usesReservations) {
            answer = quota::tokensAsk(result.reservations, hub, "a", options.limit, call.ask, now);
        } else if (quota::hubQuotaTake(hub, "a", options.limit, call.ask.tokens, now)) {
            answer.verdict = quota::TokenVerdict::Granted;
        } else {
            answer.retryIn = base::durationOf(call.ask.tokens / options.limit.rate);
        }
        for (Outcome* outcome :
            { &result.byKind[call.kind->name], &result.bySize[static_cast<int>(call.ask.tokens)] }) {
            bool isServed = answer.verdict != quota::TokenVerdict::Refused;
            outcome->asked += call.isRetry ? 0 : 1;
            outcome->served += isServed ? 1 : 0;
            outcome->atOnce += answer.verdict == quota::TokenVerdict::Granted ? 1 : 0;
            outcome->heldMillis += base::secondsOf(answer.startsIn) * 1000;
            if (call.isRetry)
                (isServed ? outcome->retriesServed : outcome->retriesRefused) += 1;
        }
        if (answer.verdict == quota::TokenVerdict::GrantedLater) {
            cr_assert_leq(answer.startsIn.count(), call.ask.maxWait.count(), "held longer than the request can wait");
            if (uniform(random) < options.leavingFraction) {
                quota::tokensRelease(
                    result.reservations, hub, "a", options.limit, answer.reservation, call.ask.tokens, now);
                continue;
            }
        }
        if (answer.verdict != quota::TokenVerdict::Refused)
            result.usable.push_back({ now + answer.startsIn, call.ask.tokens });
        if (answer.verdict == quota::TokenVerdict::Refused && answer.retryIn && !call.isRetry
            && uniform(random) < options.returningFraction) {
            cr_assert(!options.usesReservations || *answer.retryIn <= call.ask.maxRetryDelay,
                "named a time at which the caller does not come back");
            call.isRetry = true;
            calls.emplace(millis + base::secondsOf(*answer.retryIn) * 1000 + uniform(random) * 100, call);
        }
    }
    std::sort(result.usable.begin(), result.usable.end());
    return result;
}

double largestWindow(const Play& result, const quota::AccountLimit& limit)
{
    double largest = 0;
    double sum = 0;
    size_t first = 0;
    for (const auto& [at, tokens] : result.usable) {
        sum += tokens;
        while (result.usable[first].first < at - limit.window)
            sum -= result.usable[first++].second;
        largest = std::max(largest, sum);
    }
    return largest;
}

double tokensServed(const Play& result)
{
    double sum = 0;
    for (const auto& [at, tokens] : result.usable)
        sum += tokens;
    return sum;
}

} // namespace

Test(reservations, routes_and_sizes_of_a_short_account_are_served_in_fair_proportion)
{
    // Guards against requests that could wait being refused as readily as urgent ones, large requests finding the
    // bucket empty every time (first come, first served: 0.04 against 0.77), and callers being told times without
    // tokens.
    for (unsigned seed = 1; seed <= 6; ++seed) {
        Play before = play({ .usesReservations = false, .seed = seed });
        Play result = play({ .seed = seed });
        double lowest = 1;
        double highest = 0;
        for (const auto& [name, outcome] : result.byKind) {
            lowest = std::min(lowest, outcome.share());
            highest = std::max(highest, outcome.share());
            cr_assert_eq(outcome.retriesRefused, 0, "%s: a caller came back at its time and was refused", name.c_str());
            cr_assert_gt(before.byKind[name].retriesRefused, 50);
        }
        cr_assert_leq(highest - lowest, 0.05, "served shares between %f and %f", lowest, highest);
        cr_assert_geq(result.bySize[9200].share(), 0.4 * result.bySize[830].share());
        cr_assert_lt(before.bySize[9200].share(), 0.25 * before.bySize[830].share());
        cr_assert_geq(tokensServed(result), 0.98 * tokensServed(before));
        // Most requests are held to their time instead of being refused.
        cr_assert_gt(result.reservations.counts.made, 400);
    }
}

Test(reservations, a_rare_route_with_large_urgent_requests_is_served_like_the_others)
{
    // Guards against a route being starved because its requests cannot wait until small ones leave enough tokens.
    for (unsigned seed = 1; seed <= 4; ++seed) {
        Play result = play({ .seconds = 60,
            .seed = seed,
            .kinds = { { "chat", 1, 800, 40, 6000, 0 }, { "batch", 2, 4000, 40, 15000, 0 },
                { "rare", 0, 500, 2, 4000, 1 } } });
        double common = (result.byKind["chat"].share() + result.byKind["batch"].share()) / 2;
        cr_assert_geq(
            result.byKind["rare"].share(), common - 0.08, "%f, others %f", result.byKind["rare"].share(), common);
    }
}

Test(reservations, no_window_exceeds_its_maximum)
{
    // Guards against tokens that are promised for later being granted to others as well. Callers that leave, callers
    // that do not come back and changes of load all move the time at which tokens are free. With a burst that is large
    // for the rate, the window's maximum is reached before the bucket is empty.
    std::mt19937 random(11);
    for (unsigned seed = 1; seed <= 120; ++seed) {
        auto fraction = [&] { return static_cast<double>(random() % 101) / 100; };
        PlayOptions options { .seconds = 25,
            .returningFraction = fraction(),
            .leavingFraction = fraction() / 2,
            .loadFactor = 0.2 + 2 * fraction(),
            .seed = seed };
        if (seed % 2) {
            options.limit = { 2000 + 20000 * fraction(), 30000 + 300000 * fraction(), 0 };
            options.kinds.push_back({ "patient", 3, 20000 * fraction(), 20 * fraction(), 30000, fraction() });
        }
        double largest = largestWindow(play(options), options.limit);
        cr_assert_leq(largest, quota::maxWindowTokens(options.limit) + 1e-6, "seed %u: %f", seed, largest);
    }
}

Test(reservations, an_account_that_is_not_short_is_granted_at_once)
{
    // Guards against a delay or refusal for accounts within their limit.
    for (unsigned seed = 1; seed <= 5; ++seed) {
        Play before = play({ .usesReservations = false, .loadFactor = 0.18, .seed = seed });
        Play result = play({ .loadFactor = 0.18, .seed = seed });
        cr_assert_eq(result.usable.size(), before.usable.size());
        for (const auto& [name, outcome] : result.byKind)
            cr_assert_eq(outcome.atOnce, outcome.asked);
    }
}

Test(reservations, a_reservation_is_for_the_retry_of_its_request_and_lapses)
{
    // Guards against a retry being refused at another daemon because its id is new, and against tokens being kept for
    // callers that do not come back.
    quota::AccountLimit limit { 1000, 1000, 0 };
    auto askFor = [](const char* key) {
        return quota::TokenAsk { "r", 1, 1000, base::Millis(0), base::Seconds(5), key };
    };
    for (double lateMillis : { 0.0, 400.0, 600.0 }) {
        quota::HubQuota hub;
        quota::TokenReservations reservations;
        auto ask = [&](const quota::TokenAsk& asked, double millis) {
            return quota::tokensAsk(reservations, hub, "a", limit, asked, bootAt(millis));
        };
        cr_assert(ask(askFor("first"), 0).verdict == quota::TokenVerdict::Granted);
        quota::TokenAnswer refused = ask(askFor("second"), 10);
        cr_assert(refused.verdict == quota::TokenVerdict::Refused && refused.retryIn);
        double reservedAt = 10 + base::secondsOf(*refused.retryIn) * 1000;
        cr_assert(ask(askFor("third"), reservedAt + lateMillis / 2).verdict == quota::TokenVerdict::Refused);
        quota::TokenAnswer retried = ask(askFor("second"), reservedAt + lateMillis + 0.01);
        cr_assert_eq(retried.wasReserved, lateMillis < 500);
        cr_assert(!retried.wasReserved || retried.verdict == quota::TokenVerdict::Granted);
        cr_assert_eq(reservations.counts.expired, lateMillis < 500 ? 0 : 1);
    }
}
